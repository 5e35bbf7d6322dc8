"""Shell that turns commands into I/O and I/O into events."""

import collections
import collections.abc
import logging
import typing

import attrs
import trio

from jujubepass import _dispatch

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
        """Dispatch an event; one that comes up meanwhile waits its turn."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                commands = self.dispatcher.dispatch(
                    self._events.popleft(), trio.current_time()
                )
                for command in commands:
                    self._execute(command)
        finally:
            self._dispatching = False

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
            _LOGGER.exception("command failed: %s", type(command).__name__)
        finally:
            self._running[type(command)] -= 1
