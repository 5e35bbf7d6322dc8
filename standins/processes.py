"""Processes of a test system on loopback: start, wait, suspend, kill and stop."""

import collections.abc
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import typing

import trio

from jujubepass.transport import _http_client

HOST = "127.0.0.1"

_POLL_INTERVAL_SECONDS = 0.02
_READY_TIMEOUT_SECONDS = 20.0
_STOP_TIMEOUT_SECONDS = 10.0
_MAX_SHOWN_OUTPUT_BYTES = 4_000


class TrialError(Exception):
    """Report a failed process or a condition that was not met in time."""


class Ports:
    """Allocate ports in order, skipping those that cannot be bound."""

    def __init__(self, *, first: int, count: int = 200) -> None:
        self._next = first
        self._end = first + count

    def allocate(self) -> int:
        """Return the next port that can be bound."""
        while self._next < self._end:
            port = self._next
            self._next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise TrialError(f"no free port below {self._end}")


def wait_for(
    condition: collections.abc.Callable[[], typing.Any],
    what: str,
    timeout_seconds: float = _READY_TIMEOUT_SECONDS,
) -> typing.Any:
    """Poll a condition until it returns a true value; return that value."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TrialError(f"condition not met within {timeout_seconds:g} s: {what}")
        time.sleep(_POLL_INTERVAL_SECONDS)


def can_connect(port: int) -> bool:
    """Return whether a port accepts connections."""
    with socket.socket() as probe:
        probe.settimeout(1.0)
        return probe.connect_ex((HOST, port)) == 0


def call(
    method: str,
    port: int,
    path: str,
    body: object = None,
    *,
    headers: collections.abc.Mapping[str, str] | None = None,
    timeout_seconds: float = 10.0,
) -> _http_client.Answer:
    """Send one request and return the response; encode other bodies than bytes as JSON.

    Raises the HTTP client's errors.
    """
    data = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()

    async def send() -> _http_client.Answer:
        """Send the request on a new connection."""
        return await _http_client.Client().request(
            method,
            _http_client.Address(host=HOST, port=port),
            path,
            body=data,
            headers={"connection": "close", **(headers or {})},
            timeout_seconds=timeout_seconds,
        )

    return trio.run(send)


def returns_ok(port: int, path: str) -> bool:
    """Return whether a GET of a path returns status 200."""
    try:
        return call("GET", port, path, timeout_seconds=1.0).status == 200
    except _http_client.ClientError:
        return False


def change_knobs(port: int, **changes: object) -> None:
    """Set knobs of a stand-in."""
    answer = call("POST", port, "/knobs", changes)
    if answer.status != 200:
        raise TrialError(f"change of knobs rejected: {answer.body.decode()}")


def read_counts(port: int) -> typing.Any:
    """Return the counters of a stand-in."""
    return call("GET", port, "/counts").read_json()


def register_vm(
    platform_port: int,
    name: str,
    role: str,
    port: int,
    *,
    region: str = "montevideo",
    failure_domain: str = "a",
    state: str = "live",
    **properties: object,
) -> None:
    """Register a VM in the platform's VM list."""
    vm = {
        "role": role,
        "address": f"{HOST}:{port}",
        "region": region,
        "failure_domain": failure_domain,
        "state": state,
        "properties": properties,
    }
    call("PUT", platform_port, f"/vms/{name}", vm)


class Processes:
    """Manage the processes of one test system and their output."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="trial-")
        self.folder = pathlib.Path(self._folder.name)
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        port: int | None = None,
        path: str | None = None,
        environment: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Run a module; wait until its port accepts, or its path returns status 200."""
        with open(self.folder / f"{name}.log", "ab") as output:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})},
            )
        if port is not None:
            wait_for(lambda: self._is_ready(name, port, path), f"{name} ready")

    def _is_ready(self, name: str, port: int, path: str | None) -> bool:
        if self._running[name].poll() is not None:
            raise TrialError(
                f"{name} exited before it was ready:\n{self.read_output(name)}"
            )
        return returns_ok(port, path) if path else can_connect(port)

    def read_output(self, name: str) -> str:
        """Return the end of a process's output."""
        data = (self.folder / f"{name}.log").read_bytes()
        return data[-_MAX_SHOWN_OUTPUT_BYTES:].decode(errors="replace")

    def get_pid(self, name: str) -> int:
        """Return a process's id."""
        return self._running[name].pid

    def has_exited(self, name: str) -> bool:
        """Return whether a process has exited."""
        return self._running[name].poll() is not None

    def suspend(self, name: str) -> None:
        """Suspend a process, as happens to a paused VM."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._running[name].send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process without waiting for its exit."""
        self._running[name].terminate()

    def wait(self, name: str, timeout_seconds: float) -> int:
        """Wait for a process to exit; return its exit code."""
        try:
            return self._running[name].wait(timeout_seconds)
        except subprocess.TimeoutExpired as error:
            raise TrialError(
                f"{name} did not exit within {timeout_seconds:g} s"
            ) from error

    def stop(self, name: str, timeout_seconds: float = _STOP_TIMEOUT_SECONDS) -> int:
        """Terminate a process, kill it after a time-out; return its exit code."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            return process.wait(timeout_seconds)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.wait()
            raise TrialError(
                f"{name} did not exit within {timeout_seconds:g} s"
            ) from error

    def close(self) -> None:
        """Kill all running processes and delete their output."""
        for name in list(self._running):
            self.kill(name)
        self._folder.cleanup()
