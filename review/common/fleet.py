"""Nodes of a small deployment, as processes that the deploy file's command starts."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from itertools import repeat

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_READY_TIMEOUT_SECONDS = 20.0
# A case ends within 120 s, whatever happens.
_LONGEST_SECONDS = 110.0
_PORTS = {"front": 8227, "ready": 8220, "metrics": 9464, "internal": 7340}
_TAKEN_HOSTS = set()
BOUNDS = {
    **{"contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200},
    **{"configApplyMs": 2000, "strictRevoke": True, "revokeMs": 5000},
    **{"retryBudget": 0.2, "budgetWindowS": 10, "budgetSlack": 202},
}


class CannotRunError(Exception):
    """Signal that a case could not run."""


def render(template, values):
    """Fill a settings template; covers the forms that the project's one uses."""

    def section(found):
        """Return a section for each entry of its value."""
        value = look_up(found[1], values)
        return "" if value is None else render(found[2], {**values, ".": value})

    def look_up(name, scope):
        """Return the value of a dotted name."""
        if name == ".":
            return scope["."]
        value = scope
        for each in name.split("."):
            if value is None:
                return None
            value = value[int(each)] if isinstance(value, list) else value.get(each)
        return value

    def place(found):
        """Return a value as text."""
        value = look_up(found[1], values)
        if value is None:
            return ""
        if isinstance(value, bool):
            return json.dumps(value)
        return str(value)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}", place, text)


def pick_host():
    """Return a loopback address at which the ports of a node are free."""
    for _ in range(50):
        host = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}.1"
        if host not in _TAKEN_HOSTS and all(
            map(is_free, repeat(host), _PORTS.values())
        ):
            _TAKEN_HOSTS.add(host)
            return host
    raise CannotRunError("no loopback address is free")


def is_free(host, port):
    """Return whether nothing listens at an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Node:
    """Run one node, and start it again after each end as the platform does."""

    def __init__(self, name, zone, store_address, folder, *, restart_seconds=1.0):
        self.name = name
        self.zone = zone
        self.host = pick_host()
        self.front = (self.host, _PORTS["front"])
        self.ready = (self.host, _PORTS["ready"])
        self.ends = []
        """Ends that nobody caused, as (time, exit code)."""
        self._store_address = store_address
        self._folder = folder
        self._restart_seconds = restart_seconds
        self._is_first = True
        self._is_ending = False
        self._process = None
        self._launching = None
        self._task = None

    def _write_settings(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["router"]["run"])
        template = (ROOT / deploy["roles"]["router"]["template"]).read_text()
        values = {
            **{"nodeName": self.name, "region": "r", "zone": self.zone},
            **{"bootstrap": self._is_first, "ip": self.host, "bounds": BOUNDS},
            "listen": {
                "front": f"{self.host}:{self.front[1]}",
                "ready": f"{self.host}:{self.ready[1]}",
            },
            "internalPorts": [_PORTS["internal"], 7355],
            "platform": {"address": self._store_address},
        }
        self.settings = pathlib.Path(self._folder) / f"{self.name}.ini"
        self.settings.write_text(render(template, values))

    async def start(self):
        """Start the process and what starts it again."""
        await self._launch()
        self._task = asyncio.create_task(self._keep_running())

    async def _launch(self):
        # A process that is being started must be known to `stop`.
        self._launching = asyncio.create_task(self._spawn())
        await asyncio.shield(self._launching)

    async def _spawn(self):
        self._write_settings()
        self._is_first = False
        python = [sys.executable, *self._command[1:]]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JUJUBEPASS_SETTINGS"] = str(self.settings)
        with open(pathlib.Path(self._folder) / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *python, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def _keep_running(self):
        while True:
            code = await self._process.wait()
            if self._is_ending:
                return
            self.ends.append((time.monotonic(), code))
            await asyncio.sleep(self._restart_seconds)
            await self._launch()

    def send_signal(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def is_ready(self):
        """Ask the node whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                request = f"GET /v1/readiness HTTP/1.1\r\nHost: {self.host}\r\n\r\n"
                writer.write(request.encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self):
        """Wait until the node is ready."""
        end = time.monotonic() + _READY_TIMEOUT_SECONDS
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        """End the process for good."""
        self._is_ending = True
        if self._task is not None:
            self._task.cancel()
        if self._launching is not None:
            await asyncio.gather(self._launching, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    def read_log(self):
        """Return the log of all processes of the node."""
        return (pathlib.Path(self._folder) / f"{self.name}.log").read_text()


class Record:
    """Collect what was sent, answered and run, for a case's record."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._lines = []
        self._began_at = time.monotonic()

    def write(self, event, **values):
        """Add one event with its time in seconds."""
        at = time.monotonic() - self._began_at
        shown = " ".join(f"{key}={value}" for key, value in values.items())
        self._lines.append(f"{at:8.3f} {event} {shown}".rstrip())

    def close(self):
        """Write the record."""
        self._path.write_text("\n".join([*self._lines, ""]), encoding="utf-8")


def run_case(play, case):
    """Run a case in a temporary folder; return the exit code."""
    record = Record(pathlib.Path(case).with_name("record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(_play_until_stopped(play, folder, record))
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}")
        return 2
    finally:
        record.close()


async def _play_until_stopped(play, folder, record):
    # A case that is terminated ends the processes that it started, too.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(_LONGEST_SECONDS):
        return await play(folder, record)
