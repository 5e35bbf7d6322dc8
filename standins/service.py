"""Stand-in for a plain service with calls that may not be repeated."""

import collections
import hashlib
import json
import logging
import typing
import urllib.parse

import attrs
import cappa
import trio

from jujubepass.transport import _http_server
from standins import knobs, rates

_MAX_WAIT_SECONDS = 1.0
_LIMITS = _http_server.ServerLimits(connections=5_000)

Responder = _http_server.Responder


@attrs.define(kw_only=True)
class ServiceKnobs:
    """Configure the service's faults and rate."""

    checks_fencing: bool = False
    answers_outcomes: bool = False
    hang_before_run: bool = False
    hang_after_run: bool = False
    lose_answers: float = 0
    refuse: bool = False
    delay_seconds: float = 0.0
    down: bool = False
    runs_per_second: float = 1_000.0
    leaving: bool = False
    refuses_when_leaving: bool = True


class Service:
    """Run calls and count the runs of each idempotency key."""

    def __init__(self, *, name: str, settings: ServiceKnobs) -> None:
        self._name = name
        self.settings = settings
        self._runs: collections.Counter[str] = collections.Counter()
        self._attempts: collections.Counter[str] = collections.Counter()
        self._fencing: collections.Counter[str] = collections.Counter()
        self._results: dict[str, object] = {}
        self._lookups = 0
        self._new_after_leaving = 0
        self._rate = rates.RateLimit(max_wait_seconds=_MAX_WAIT_SECONDS)

    async def handle(self, request: _http_server.Request, responder: Responder) -> None:
        """Serve one request."""
        parts = request.path.partition("?")[0].strip("/").split("/")
        if parts[0] == "knobs":
            await knobs.serve_knobs(self.settings, request, responder)
        elif parts[0] == "counts":
            await responder.send_json(200, self._describe_counts())
        elif not self.settings.down:
            await self._serve(parts, request, responder)

    def _describe_counts(self) -> dict[str, object]:
        return {
            "runs": self._runs,
            "attempts": self._attempts,
            "lookups": self._lookups,
            "new_after_leaving": self._new_after_leaving,
        }

    async def _serve(
        self, parts: list[str], request: _http_server.Request, responder: Responder
    ) -> None:
        if parts[0] == "outcomes" and len(parts) > 1:
            await self._serve_outcome(parts, request, responder)
            return
        self._new_after_leaving += self.settings.leaving
        if self.settings.refuse or self._refuses_new_requests():
            reason = "leaving" if self.settings.leaving else "refused"
            await _refuse(responder, reason)
        elif request.method == "GET":
            self._lookups += 1
            await trio.sleep(self.settings.delay_seconds)
            found = {"service": self._name, "path": request.path, "found": True}
            await responder.send_json(200, found)
        else:
            await self._serve_call(request, responder)

    def _refuses_new_requests(self) -> bool:
        return self.settings.leaving and self.settings.refuses_when_leaving

    async def _serve_call(
        self, request: _http_server.Request, responder: Responder
    ) -> None:
        key = request.headers.get("idempotency-key", "")
        fencing = int(request.headers.get("fencing-number", "0"))
        self._attempts[key] += 1
        if not await self._rate.acquire(self.settings.runs_per_second):
            await _refuse(responder, "full")
            return
        await trio.sleep(self.settings.delay_seconds)
        if self.settings.hang_before_run:
            await trio.sleep_forever()
        if self.settings.checks_fencing and fencing < self._fencing[key]:
            await responder.send_json(
                409, {"error": "old_fencing", "seen": self._fencing[key]}
            )
            return
        self._fencing[key] = max(fencing, self._fencing[key])
        result = self._run(key, request)
        if self.settings.hang_after_run:
            await trio.sleep_forever()
        is_lost, knob_value = knobs.draw_fault(self.settings.lose_answers, 1.0)
        self.settings.lose_answers = knob_value
        if not is_lost:
            await responder.send_json(200, result)

    def _run(self, key: str, request: _http_server.Request) -> object:
        self._runs[key] += 1
        result = {
            "service": self._name,
            "path": request.path,
            "key": key,
            "run": self._runs[key],
            "body": hashlib.sha256(request.body).hexdigest()[:16],
        }
        self._results[key] = result
        return result

    async def _serve_outcome(
        self, parts: list[str], request: _http_server.Request, responder: Responder
    ) -> None:
        key = urllib.parse.unquote(parts[1])
        if not self.settings.answers_outcomes:
            await responder.send_json(404, {"error": "no_outcomes"})
            return
        if request.method == "POST" and self.settings.checks_fencing:
            fencing = json.loads(request.body)["fencing"]
            self._fencing[key] = max(fencing, self._fencing[key])
        if key in self._results:
            outcome = {"state": "run", "result": self._results[key]}
        else:
            outcome = {"state": "absent"}
        await responder.send_json(200, outcome)


async def _refuse(responder: Responder, reason: str) -> None:
    body = json.dumps({"error": reason}).encode()
    await responder.send(503, body, headers={"retry-after": "1"})


@cappa.command(name="service")
@attrs.define(kw_only=True)
class Arguments:
    """Run a stand-in for a plain service."""

    name: typing.Annotated[str, cappa.Arg(long=True)]
    port: typing.Annotated[int, cappa.Arg(long=True)]
    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    checks_fencing: typing.Annotated[bool, cappa.Arg(long=True)] = False
    answers_outcomes: typing.Annotated[bool, cappa.Arg(long=True)] = False


def main() -> None:
    """Serve until the process is terminated."""
    arguments = cappa.parse(Arguments, completion=False)
    logging.basicConfig(level=logging.INFO)
    settings = ServiceKnobs(
        checks_fencing=arguments.checks_fencing,
        answers_outcomes=arguments.answers_outcomes,
    )
    service = Service(name=arguments.name, settings=settings)
    server = _http_server.Server(handler=service.handle, limits=_LIMITS)
    trio.run(server.serve, arguments.host, arguments.port)


if __name__ == "__main__":
    main()
