"""Shell that turns commands into I/O and I/O into events."""

import collections
import collections.abc
import logging
import typing

import attrs
import trio

from jujubepass.nodes import _dispatch

_LOGGER = logging.getLogger(__name__)

Execute = collections.abc.Callable[[typing.Any], None]
ExecuteAsync = collections.abc.Callable[
    [typing.Any], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


@attrs.define(kw_only=True)
class Shell:
    """Dispatch events and execute the commands that come of them."""

    dispatcher: _dispatch.Dispatcher
    nursery: trio.Nursery
    faults: int = attrs.field(default=0, init=False)
    _immediate: dict[type, Execute] = attrs.field(factory=dict, init=False)
    _spawned: dict[type, ExecuteAsync] = attrs.field(factory=dict, init=False)
    _events: collections.deque[typing.Any] = attrs.field(
        factory=collections.deque, init=False
    )
    _dispatching: bool = attrs.field(default=False, init=False)
    _executed: collections.Counter[type] = attrs.field(
        factory=collections.Counter, init=False
    )
    _running: collections.Counter[type] = attrs.field(
        factory=collections.Counter, init=False
    )

    def execute_with(self, command_type: type, execute: Execute) -> None:
        """Execute a type of command at once."""
        self._immediate[command_type] = execute

    def spawn_with(self, command_type: type, execute: ExecuteAsync) -> None:
        """Execute a type of command in a task of its own."""
        self._spawned[command_type] = execute

    def post(self, event: _dispatch.Event) -> None:
        """Dispatch an event; one that comes up meanwhile waits its turn.

        Raises what a controller raised on this event, not on those that waited.
        """
        if self._dispatching:
            self._events.append(event)
            return
        self._dispatching = True
        try:
            self._carry_out(event)
        finally:
            while self._events:
                self._carry_out_or_log(self._events.popleft())
            self._dispatching = False

    def post_or_log(self, event: _dispatch.Event) -> None:
        """Dispatch an event that nobody waits for; log and count a fault."""
        try:
            self.post(event)
        except Exception:
            self._count_fault(event)

    def _carry_out(self, event: _dispatch.Event) -> None:
        for command in self.dispatcher.dispatch(event, trio.current_time()):
            self._execute(command)

    def _carry_out_or_log(self, event: _dispatch.Event) -> None:
        try:
            self._carry_out(event)
        except Exception:
            self._count_fault(event)

    def _count_fault(self, event: _dispatch.Event) -> None:
        self.faults += 1
        _LOGGER.exception("event failed: %s", type(event).__name__)

    def count_executed(self) -> dict[str, float]:
        """Return how many commands of each type were executed."""
        return {each.__name__: count for each, count in self._executed.items()}

    def count_running(self, command_types: collections.abc.Iterable[type]) -> int:
        """Count the commands of some types that are being executed in tasks."""
        return sum(self._running[each] for each in command_types)

    def _execute(self, command: _dispatch.Command) -> None:
        self._executed[type(command)] += 1
        immediate = self._immediate.get(type(command))
        if immediate is not None:
            immediate(command)
        else:
            spawned = self._spawned[type(command)]
            self._running[type(command)] += 1
            self.nursery.start_soon(self._guard, spawned, command)

    async def _guard(self, spawned: ExecuteAsync, command: _dispatch.Command) -> None:
        try:
            await spawned(command)
        except Exception:
            self.faults += 1
            _LOGGER.exception("command failed: %s", type(command).__name__)
        finally:
            self._running[type(command)] -= 1
