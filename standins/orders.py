"""Orders that change the deployment of an engine."""

import typing

import attrs
import cattrs
import trio

from jujubepass.transport import _http_client
from standins import engine_state

_MAX_RECORDED_ORDERS = 50
_RETRY_INTERVAL_SECONDS = 0.2


class OrderExecutor:
    """Accept orders and load the deployment of the newest one."""

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        nursery: trio.Nursery,
        client: _http_client.Client,
        weights: _http_client.Address | None,
    ) -> None:
        self._state = state
        self._nursery = nursery
        self._client = client
        self._weights = weights
        self._wanted = state.actual
        self._fencing = 0
        self._orders: list[dict[str, typing.Any]] = []

    def handle_order(
        self, order: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Accept or refuse an order; return the status and body of the response."""
        fencing = int(order["fencing"])
        is_old = fencing < self._fencing
        refused = is_old and self._state.knobs.checks_fencing
        self._orders = [
            *self._orders[1 - _MAX_RECORDED_ORDERS :],
            {**order, "refused": refused},
        ]
        if refused:
            return 409, {"error": "old_fencing", "seen": self._fencing}
        self._fencing = max(fencing, self._fencing)
        wanted = cattrs.structure(order["wanted"], engine_state.Deployment)
        if wanted != self._wanted:
            self._wanted = wanted
            self._nursery.start_soon(self._load, wanted)
        return 200, self.describe_state()

    def describe_state(self) -> dict[str, typing.Any]:
        """Return the wanted and the actual deployment and the received orders."""
        return {
            "engine": self._state.name,
            "wanted": attrs.asdict(self._wanted),
            "actual": attrs.asdict(self._state.actual),
            "loading": self._state.loading,
            "fencing": self._fencing,
            "orders": self._orders,
        }

    async def _load(self, wanted: engine_state.Deployment) -> None:
        self._state.loading = True
        while self._weights and wanted is self._wanted:
            path = f"/weights/{wanted.model}/{wanted.version}"
            try:
                answer = await self._client.request("GET", self._weights, path)
            except _http_client.ClientError:
                answer = None
            if answer is not None and answer.status == 200:
                break
            await trio.sleep(_RETRY_INTERVAL_SECONDS)
        await trio.sleep(self._state.knobs.load_weights_seconds)
        while self._state.count_active():
            await trio.sleep(_RETRY_INTERVAL_SECONDS)
        if wanted is self._wanted:
            self._state.reset()
            self._state.actual = wanted
            self._state.loading = False
