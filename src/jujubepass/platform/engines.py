"""Reading of engines' reports, and orders to engines."""

import collections.abc
import json
import logging
import typing

import attrs

from jujubepass import _decoding, ids
from jujubepass.forwarding import backends, engines, pipelines
from jujubepass.platform import backends as entries
from jujubepass.platform import headers, wire
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)

_REQUEST_TIMEOUT_SECONDS = 0.5
_MIN_SLOWDOWN, _MAX_SLOWDOWN = 1e-3, 1e6
_MAX_ANSWER_BYTES = 1_048_576
_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_ORDER_OUTCOMES = {
    _ACCEPTED: engines.OrderOutcome.BEGUN,
    _OK: engines.OrderOutcome.DONE,
    # The engine's state or its number of begun orders has changed, or another engine
    # answers at the address.
    400: engines.OrderOutcome.REFUSED,
    409: engines.OrderOutcome.REFUSED,
    412: engines.OrderOutcome.REFUSED,
    421: engines.OrderOutcome.REFUSED,
}


@attrs.frozen(kw_only=True)
class HttpEngineControl:
    """Control engines over HTTP."""

    client: _http_client.Client

    async def read_report(self, engine: backends.Backend) -> engines.EngineReport:
        """Read an engine's report."""
        try:
            answer = await self.client.request(
                "GET",
                engine.address,
                "/v1/report",
                headers=((headers.EXPECTED_BACKEND, engine.name),),
                timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
                max_bytes=_MAX_ANSWER_BYTES,
            )
            if answer.status != _OK:
                raise engines.EngineError(
                    f"report request failed with status {answer.status}"
                )
            report = _decode_report(answer.read_json())
            return attrs.evolve(
                report,
                is_leaving=wire.read_leaving(answer.status, answer.headers),
                limit=wire.read_request_limit(
                    answer.status, tuple(answer.headers.items()), is_run=True
                ),
            )
        except _http_client.RefusedConnectionError as error:
            raise engines.EngineEndedError(f"cannot read report: {error!r}") from error
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            raise engines.EngineError(f"cannot read report: {error!r:.200}") from error

    async def check_listening(self, server: backends.Backend) -> None:
        """Check that something listens at a server's address."""
        try:
            await self.client.check_connection(server.address)
        except _http_client.RefusedConnectionError as error:
            raise engines.EngineEndedError(f"cannot connect: {error!r}") from error
        except _http_client.ClientError as error:
            raise engines.EngineError(f"cannot connect: {error!r}") from error

    async def order_span(
        self,
        engine: backends.Backend,
        span: backends.Span,
        *,
        orders_begun: int,
        cuts_requests: bool,
    ) -> engines.OrderOutcome:
        """Order an engine to load a span if its number of begun orders is unchanged."""
        order = {
            "operation": "place",
            "from": span.first,
            "to": span.end,
            "mode": "cancel" if cuts_requests else "queue_wait",
            "precondition": orders_begun,
        }
        status = await self._send_order(engine, order)
        outcome = _ORDER_OUTCOMES.get(status)
        if outcome is None:
            raise engines.EngineError(f"order failed with status {status}")
        return outcome

    async def move_request(
        self,
        engine: backends.Backend,
        request: ids.RequestId,
        pipeline: pipelines.Pipeline,
    ) -> engines.MoveOutcome:
        """Move a running request to another pipeline that starts at the same engine."""
        order = {
            "operation": "repath",
            "id": request,
            "path": wire.format_pipeline(pipeline),
        }
        status = await self._send_order(engine, order)
        if status in (_OK, _ACCEPTED):
            return engines.MoveOutcome.MOVED
        if status == _NOT_FOUND:
            return engines.MoveOutcome.ENDED
        return engines.MoveOutcome.REFUSED

    async def _send_order(
        self, engine: backends.Backend, order: collections.abc.Mapping[str, object]
    ) -> int:
        """Send an order without retries and return the status code of the answer."""
        try:
            answer = await self.client.request(
                "POST",
                engine.address,
                "/v1/order",
                body=json.dumps(order).encode(),
                headers=(
                    ("content-type", "application/json"),
                    (headers.EXPECTED_BACKEND, engine.name),
                ),
                timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
                max_bytes=_MAX_ANSWER_BYTES,
                fresh=True,
                once=True,
            )
        except _http_client.ClientError as error:
            raise engines.EngineError(f"outcome of order unknown: {error}") from error
        return answer.status


def _decode_report(value: typing.Any) -> engines.EngineReport:
    return engines.EngineReport(
        started_at=_decoding.read_integer(value.get("born") or 0),
        held=entries.read_span(value.get("layers")),
        is_busy=bool(value["busy"]),
        # In a report, "seqNo" counts orders. In the list of backend servers, it counts
        # heartbeats.
        orders_begun=_decoding.read_integer(value["seqNo"]),
        running=_decoding.read_integer(value.get("running") or 0),
        queued=_decoding.read_integer(value.get("queued") or 0),
        slowdown=_decoding.read_number(
            value.get("pace") or 1.0, minimum=_MIN_SLOWDOWN, maximum=_MAX_SLOWDOWN
        ),
        stalled=tuple(_read_stalled(value.get("stalled") or ())),
    )


def _read_stalled(
    value: collections.abc.Iterable[typing.Any],
) -> collections.abc.Iterator[tuple[ids.RequestId, _http_client.Address]]:
    """Yield the stalled requests that can be read."""
    for each in value:
        try:
            request = ids.RequestId(_decoding.read_text(each["id"]))
            address = _http_client.parse_address(_decoding.read_text(each["address"]))
        except _decoding.MALFORMED_ERRORS as error:
            _LOGGER.warning(
                "unreadable entry in a report", extra={"detail": repr(error)[:100]}
            )
            continue
        yield request, address
