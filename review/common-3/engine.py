"""The project's stand-in of an engine or server, with further faults.

The form of endless bytes `tiny chunks` is a body in chunks of one byte. A server that
has crashed is back after AWAY_SECONDS under another name. Until then connections to
its address are refused, or unanswered if AWAY_SILENT is 1. With GREY=NAME:SHARE, that
server answers a share of its requests with an error and does not run them. In state
`gone` a server removes its entry and goes on serving. ENTRY_SECONDS after its start it
writes its entry for the first time.
"""

import json
import os
import random
import sys
import time

import attrs
import trio

from jujubepass.transport import _http_server
from standins import path_engine, raw_answers

_TINY_CHUNKS = b"1\r\nx\r\n" * 10_922
_ENTRY_SECONDS = float(os.environ.get("ENTRY_SECONDS", "0"))
_GONE = "gone"
_CRASH_DELAY_SECONDS = 0.06
_GREY_SERVER, _, _GREY_TEXT = os.environ.get("GREY", "").partition(":")
_GREY_SHARE = float(_GREY_TEXT or "0")
_AWAY_SECONDS = float(os.environ.get("AWAY_SECONDS", "0"))
_IS_SILENT = os.environ.get("AWAY_SILENT") == "1"


def _is_in_span() -> bool:
    """Return whether the server is in trouble, 6.5 s at a time with pauses of 2 s."""
    return time.time() % 8.5 < 6.5


class Engine(path_engine.Engine):
    """Add the faults."""

    _has_left = False

    async def _write_endless(
        self,
        request: _http_server.Request,
        responder: path_engine.Responder,
        form: str,
    ) -> None:
        if form != "tiny chunks":
            await super()._write_endless(request, responder, form)
            return
        request_id = request.headers.get("x-request-id", "")
        fields = [("x-request-id", request_id), ("x-server-seal", "seal")]
        fields.append(("transfer-encoding", "chunked"))
        path_engine._log("endless begun", request_id)
        raw = raw_answers.UnframedResponder(responder=responder)
        await raw.start_fields(200, fields)
        while True:
            await raw.write(_TINY_CHUNKS)

    async def send_heartbeats(self) -> None:
        """Begin to write the entry some time after the start."""
        await trio.sleep(_ENTRY_SECONDS)
        await super().send_heartbeats()

    async def _write_entry(self) -> None:
        """Write the entry, or remove it for good once the server leaves so."""
        if self.settings.state != _GONE:
            await super()._write_entry()
        elif not self._has_left:
            self._has_left = True
            await self._put_entry(self._arguments.name, b"")

    async def _serve_plain(
        self,
        request: _http_server.Request,
        responder: path_engine.Responder,
        echo: list[tuple[str, str]],
    ) -> None:
        is_grey = self._arguments.name[:2] == _GREY_SERVER and _is_in_span()
        if not is_grey or random.random() >= _GREY_SHARE:
            await super()._serve_plain(request, responder, echo)
            return
        path_engine._log("failed", request.headers["x-request-id"])
        fields = [*echo, ("x-server-seal", self._arguments.name)]
        await responder.send_fields(500, fields, b"failed")

    async def _crash(self, request_id: str) -> None:
        """Fall silent, and start again with the same listener."""
        if not _AWAY_SECONDS:
            await super()._crash(request_id)
        await trio.sleep(_CRASH_DELAY_SECONDS)
        path_engine._log("crash", request_id)
        listener = None
        if _IS_SILENT:
            # Blocks the whole process: its connections stay open and silent.
            time.sleep(_AWAY_SECONDS)
            listener = self._listeners[0].socket.fileno()
            os.set_inheritable(listener, True)
        self._start_again(listener)

    def _start_again(self, listener: int | None = None) -> None:
        """Replace the process by one under another name at the same address."""
        name, _, number = self._arguments.name.partition("-")
        changes = {
            "name": f"{name}-{int(number or 1) + 1}",
            "previous": self._arguments.name,
            "knobs": json.dumps(attrs.asdict(self.settings)),
            "listener": listener,
        }
        arguments = [sys.executable, "-m", "engine"]
        for key, value in {**attrs.asdict(self._arguments), **changes}.items():
            if value is not None:
                arguments += [f"--{key}", str(value)]
        os.execv(sys.executable, arguments)


def main() -> None:
    """Serve until the process is terminated."""
    if "--previous" in sys.argv and not _IS_SILENT:
        # Nothing listens at the address meanwhile.
        time.sleep(_AWAY_SECONDS)
    path_engine.Engine = Engine
    path_engine.main()


if __name__ == "__main__":
    main()
