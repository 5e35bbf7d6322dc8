"""HTTP interface for operators."""

import collections.abc
import hashlib
import hmac
import json
import math
import typing

import attrs
import trio

from jujubepass import ids, traces
from jujubepass.configuration import _configuration_codec, _configuration_messages
from jujubepass.nodes import _blackboard, _node_messages
from jujubepass.telemetry import _metrics
from jujubepass.transport import _http_server

_PROPOSAL_TIMEOUT_SECONDS = 10.0
_MAX_SHOWN_CHANGES = 20

PostEvent = collections.abc.Callable[[typing.Any], None]
ChangeOutcome = (
    _configuration_messages.ChangeAccepted | _configuration_messages.ChangeRefused
)


@attrs.define(kw_only=True)
class ChangeOutcomes:
    """Deliver the outcomes of changes to the requests that wait for them."""

    _waiting: dict[ids.ChangeId, trio.MemorySendChannel[ChangeOutcome]] = attrs.field(
        factory=dict, init=False
    )

    def open(self, change: ids.ChangeId) -> trio.MemoryReceiveChannel[ChangeOutcome]:
        """Return a channel that receives the outcome of a change."""
        sender, receiver = trio.open_memory_channel[ChangeOutcome](1)
        self._waiting[change] = sender
        return receiver

    def put(self, outcome: ChangeOutcome) -> None:
        """Deliver an outcome, if a request waits for it."""
        sender = self._waiting.pop(outcome.change, None)
        if sender is not None:
            sender.send_nowait(outcome)


@attrs.frozen(kw_only=True)
class OperatorApi:
    """Serve requests that carry the operators' key, metrics and health checks."""

    blackboard: _blackboard.Blackboard
    metrics: _metrics.Metrics
    post: PostEvent
    change_outcomes: ChangeOutcomes
    key_hash: str
    recorder: traces.MemoryRecorder | None = None

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Serve one request."""
        if request.path == "/metrics":
            content_type = _metrics.CONTENT_TYPE
            data = self.metrics.expose()
            await responder.send(200, data, content_type=content_type)
        elif request.path == "/healthz":
            await responder.send(200, b"ok\n", content_type="text/plain")
        elif request.path == "/readyz":
            ready = self.blackboard.node.state is _node_messages.NodeState.READY
            body = self.blackboard.node.state.value.encode() + b"\n"
            status = 200 if ready else 503
            await responder.send(status, body, content_type="text/plain")
        elif not self._is_operator(request):
            detail = "Send the operators' key as 'Authorization: Bearer KEY'."
            await responder.send_problem(401, "unknown_operator", detail)
        else:
            await self._serve(request, responder)

    def _is_operator(self, request: _http_server.Request) -> bool:
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        return hmac.compare_digest(key_hash, self.key_hash)

    async def _serve(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        endpoint = (request.method, request.path)
        if endpoint == ("GET", "/operator/status"):
            await responder.send_json(200, self._describe_status())
        elif endpoint == ("GET", "/operator/configuration"):
            await responder.send_json(200, self._describe_configuration())
        elif endpoint == ("POST", "/operator/changes"):
            await self._propose(request, responder)
        elif endpoint == ("GET", "/operator/trace"):
            await self._send_trace(responder)
        else:
            detail = f"{request.method} {request.path} is not served here."
            await responder.send_problem(404, "unknown_path", detail)

    async def _send_trace(self, responder: _http_server.Responder) -> None:
        if self.recorder is None:
            detail = "Nothing is recorded; set record = memory in [trace]."
            await responder.send_problem(404, "not_recorded", detail)
            return
        text = traces.write_trace(self.recorder.copy_trace())
        await responder.send(200, text.encode(), content_type="application/x-ndjson")

    def _describe_status(self) -> dict[str, typing.Any]:
        blackboard = self.blackboard
        nodes = [
            {
                "node": blackboard.identity.node,
                "state": blackboard.node.state.value,
                "configuration_number": blackboard.configuration.number,
                "configuration_digest": blackboard.configuration.digest,
                "configuration_age_seconds": self._compute_configuration_age_seconds(),
                "store_answers": blackboard.configuration.store_answers,
            }
        ]
        nodes += [
            {
                "node": peer.node,
                "state": peer.state.value,
                "configuration_number": peer.configuration_number,
                "configuration_digest": peer.configuration_digest,
                "confirmed_number": blackboard.configuration.confirmed.get(peer.node),
            }
            for peer in blackboard.membership.peers.values()
        ]
        backends = [
            {
                "backend": name,
                "role": backend.vm.role.value,
                "leaving": backend.leaving,
                "failed_polls": backend.failed_polls,
            }
            for area in (blackboard.backends.engines, blackboard.backends.services)
            for name, backend in area.items()
        ]
        return {"nodes": nodes, "backends": backends}

    def _compute_configuration_age_seconds(self) -> float | None:
        installed_at = self.blackboard.configuration.installed_at
        is_installed = math.isfinite(installed_at)
        return trio.current_time() - installed_at if is_installed else None

    def _describe_configuration(self) -> dict[str, typing.Any]:
        area = self.blackboard.configuration
        return {
            "number": area.number,
            "digest": area.digest,
            "sections": area.sections,
            "changes": [
                {
                    "number": entry.number,
                    "change": entry.change,
                    "author": entry.author,
                    "digest": entry.digest,
                    "sections": sorted(entry.delta),
                }
                for entry in list(area.recent)[-_MAX_SHOWN_CHANGES:]
            ],
        }

    async def _propose(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        try:
            fields = json.loads(request.body)
            event = _configuration_messages.ChangeProposed(
                change=ids.ChangeId(str(fields["change_id"])),
                base=ids.ChangeNumber(int(fields["base"])),
                author=str(fields["author"]),
                sections=_configuration_codec.read_delta(fields["sections"]),
            )
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            detail = f"A change needs change_id, base, author, sections: {error!r}."
            await responder.send_problem(400, "malformed_request", detail)
            return
        receiver = self.change_outcomes.open(event.change)
        self.post(event)
        with trio.move_on_after(_PROPOSAL_TIMEOUT_SECONDS):
            outcome = await receiver.receive()
            if isinstance(outcome, _configuration_messages.ChangeAccepted):
                answer = {"number": outcome.number, "digest": outcome.digest}
                await responder.send_json(200, answer)
            else:
                await responder.send_problem(
                    outcome.status,
                    outcome.code,
                    outcome.detail,
                    extra=_describe_refusal(outcome),
                )
            return
        detail = "The change's outcome is not known yet; send the same change_id again."
        await responder.send_problem(504, "outcome_unknown", detail)


def _describe_refusal(
    refusal: _configuration_messages.ChangeRefused,
) -> dict[str, typing.Any]:
    return {
        "number": refusal.number,
        "moved": [attrs.asdict(moved) for moved in refusal.moved],
        "problems": [attrs.asdict(problem) for problem in refusal.problems],
    }
