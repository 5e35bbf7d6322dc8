"""HTTP client for plain services."""

import collections.abc
import json
import typing
import urllib.parse

import attrs
import trio

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.calls import _call_messages
from jujubepass.transport import _http_client

_OUTCOME_TIMEOUT_SECONDS = 2.0
_UNAVAILABLE = 503
_LEAVING = b'"leaving"'

Post = collections.abc.Callable[[typing.Any], None]


@attrs.define(kw_only=True)
class ServiceClient:
    """Execute commands to plain services and post the resulting events."""

    client: _http_client.Client
    post: Post
    _scopes: dict[ids.AttemptId, trio.CancelScope] = attrs.field(
        factory=dict, init=False
    )

    async def send_call(self, command: _call_messages.SendCall) -> None:
        """Send a non-repeatable call once.

        A reused connection may prove closed, which leaves the outcome unclear, so it
        is used only if the server checks fencing numbers and answers outcome queries.
        """
        if trio.current_time() >= command.send_before:
            unsent = _call_messages.CallUnsent(
                request=command.request,
                attempt=command.attempt,
                detail="the send window had passed",
            )
            self.post(unsent)
            return
        headers = {
            "content-type": "application/json",
            "idempotency-key": command.key,
            "call-attempt": command.attempt,
            "fencing-number": str(command.fencing),
        }
        fresh = not command.reuse_connection
        body = command.body.encode()
        await self._exchange(command, "POST", body, headers, fresh=fresh, once=True)

    async def send_lookup(self, command: _call_messages.SendLookup) -> None:
        """Send one attempt of a lookup."""
        with trio.CancelScope() as scope:
            self._scopes[command.attempt] = scope
            try:
                await self._exchange(command, "GET", b"", {})
            finally:
                del self._scopes[command.attempt]

    async def cancel_lookup(self, command: _call_messages.CancelLookup) -> None:
        """Cancel a lookup attempt."""
        scope = self._scopes.get(command.attempt)
        if scope is not None:
            scope.cancel()

    async def _exchange(
        self,
        command: _call_messages.SendCall | _call_messages.SendLookup,
        method: str,
        body: bytes,
        headers: dict[str, str],
        *,
        fresh: bool = False,
        once: bool = False,
    ) -> None:
        request, attempt = command.request, command.attempt
        event: typing.Any
        try:
            answer = await self.client.request(
                method,
                command.address,
                command.path,
                body=body,
                headers=headers,
                timeout_seconds=command.timeout_seconds,
                fresh=fresh,
                once=once,
            )
            self._report_leaving(command.backend, answer)
            event = _call_messages.CallAnswered(
                request=request,
                attempt=attempt,
                status=answer.status,
                body=answer.body.decode(errors="replace"),
                retry_after_seconds=_read_retry_after(answer),
            )
        except _http_client.NotSentError as error:
            event = _call_messages.CallUnsent(
                request=request, attempt=attempt, detail=str(error)
            )
        except _http_client.ClientError as error:
            event = _call_messages.CallUnclear(
                request=request, attempt=attempt, detail=str(error)
            )
        self.post(event)

    def _report_leaving(
        self, backend: ids.BackendServerId, answer: _http_client.Answer
    ) -> None:
        if answer.status == _UNAVAILABLE and _LEAVING in answer.body:
            self.post(_backend_messages.LeavingAnswered(backend=backend))

    async def query_outcome(self, command: _call_messages.AskOutcome) -> None:
        """Query a call's outcome; first fence older attempts if a number is given."""
        path = f"/outcomes/{urllib.parse.quote(command.key, safe=':')}"
        method, body = "GET", b""
        if command.fencing:
            method, path = "POST", f"{path}/fence"
            body = b'{"fencing": %d}' % command.fencing
        try:
            answer = await self.client.request(
                method,
                command.address,
                path,
                body=body,
                timeout_seconds=_OUTCOME_TIMEOUT_SECONDS,
            )
            found = answer.read_json()
            state = _call_messages.OutcomeState(found["state"])
            result = json.dumps({"result": found.get("result")})
        except (
            _http_client.ClientError,
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            self.post(
                _call_messages.OutcomeUntold(
                    request=command.request, attempt=command.attempt, detail=str(error)
                )
            )
            return
        self.post(
            _call_messages.OutcomeTold(
                request=command.request,
                attempt=command.attempt,
                state=state,
                body=result,
            )
        )


def _read_retry_after(answer: _http_client.Answer) -> float | None:
    text = answer.headers.get("retry-after", "")
    return float(text) if text.isdecimal() else None
