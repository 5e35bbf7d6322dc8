"""Area of the relayed tables, and a signal of their changes."""

import attrs
import trio

from jujubepass.forwarding import feeds
from jujubepass.relay import history

FEED_NAMES = ("configuration", "backends", "plans", "members", "prompts")
"""Names of the relayed tables; nodes of other versions skip those they lack."""
REFERENCE_FEED_NAME = "configuration"
"""Table by whose age nodes choose where they read."""
BACKENDS_FEED_NAME = "backends"


def _make_histories() -> dict[str, history.RowHistory]:
    return {name: history.RowHistory() for name in FEED_NAMES}


def _make_events() -> dict[str, trio.Event]:
    return {name: trio.Event() for name in FEED_NAMES}


@attrs.define(kw_only=True)
class RelayArea:
    """Store the rows of all tables; written by the feeds and by the link."""

    histories: dict[str, history.RowHistory] = attrs.field(factory=_make_histories)
    _table_changed: dict[str, trio.Event] = attrs.field(
        factory=_make_events, init=False
    )
    _changed: trio.Event = attrs.field(factory=trio.Event, init=False)

    def apply(
        self, name: str, changes: feeds.RowChanges, *, restarts: bool = False
    ) -> None:
        """Apply rows of a table and wake what waits for them."""
        if not self.histories[name].apply(changes, restarts=restarts):
            return
        self._table_changed[name].set()
        self._table_changed[name] = trio.Event()
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_table(self, name: str, seconds: float) -> None:
        """Wait until rows of a table are applied, or until the time has passed."""
        with trio.move_on_after(seconds):
            await self._table_changed[name].wait()

    async def wait_for_era(self, era: int) -> None:
        """Wait until rows of any table are of a later era."""
        while all(each.era <= era for each in self.histories.values()):
            await self._changed.wait()

    async def wait(self) -> None:
        """Wait until rows of any table are applied."""
        await self._changed.wait()
