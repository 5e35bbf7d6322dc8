"""HTTP client that sends orders to engines and reads their state."""

import collections.abc
import json
import typing

import attrs
import trio

from jujubepass import _decoding, ids
from jujubepass.orders import _order_area, _order_messages
from jujubepass.transport import _http_client

_REQUEST_TIMEOUT_SECONDS = 2.0
_OK = 200
_CONFLICT = 409

Post = collections.abc.Callable[[typing.Any], None]


@attrs.define(kw_only=True)
class OrderClient:
    """Execute order commands and post the resulting events."""

    client: _http_client.Client
    post: Post

    async def read_state(self, command: _order_messages.ReadEngineState) -> None:
        """Read an engine's state."""
        engine = command.engine
        try:
            answer = await self.client.request(
                "GET",
                command.address,
                "/state",
                timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
            )
            found = answer.read_json()
            event = _order_messages.EngineStateRead(
                engine=engine,
                wanted=_read_deployment(found["wanted"]),
                actual=_read_deployment(found["actual"]),
                loading=bool(found.get("loading", False)),
            )
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS):
            self.post(_order_messages.EngineStateUnread(engine=engine))
            return
        self.post(event)

    async def send_order(self, command: _order_messages.SendOrder) -> None:
        """Send an order unless its lease has expired."""
        engine = command.engine
        seconds_left = command.until - trio.current_time()
        if seconds_left <= 0.0:
            self.post(_order_messages.OrderWithheld(engine=engine))
            return
        try:
            answer = await self.client.request(
                "POST",
                command.address,
                "/orders",
                body=json.dumps(_write_order(command)).encode(),
                headers={"content-type": "application/json"},
                timeout_seconds=min(_REQUEST_TIMEOUT_SECONDS, seconds_left),
                fresh=True,
            )
        except _http_client.ClientError:
            self.post(_order_messages.OrderUnclear(engine=engine))
            return
        if answer.status == _OK:
            self.post(_order_messages.OrderTaken(engine=engine))
        elif answer.status == _CONFLICT:
            self.post(_order_messages.OrderRefused(engine=engine))
        else:
            self.post(_order_messages.OrderUnclear(engine=engine))


def _write_order(command: _order_messages.SendOrder) -> dict[str, typing.Any]:
    wanted = attrs.asdict(command.wanted)
    return {
        "order": f"{command.engine}/{command.fencing}",
        "fencing": command.fencing,
        "wanted": {**wanted, "adapters": list(command.wanted.adapters)},
    }


def _read_deployment(found: dict[str, typing.Any]) -> _order_area.Deployment:
    return _order_area.Deployment(
        model=ids.ModelId(found["model"]),
        version=str(found["version"]),
        first_layer=int(found["first_layer"]),
        end_layer=int(found["end_layer"]),
        role=str(found.get("role", "generate")),
        adapters=tuple(found.get("adapters", ())),
    )
