"""Shell that executes commands as I/O and dispatches the resulting events."""

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
    """Dispatch events and execute the resulting commands."""

    dispatcher: _dispatch.Dispatcher
    nursery: trio.Nursery
    faults: int = attrs.field(default=0, init=False)
    _immediate_executors: dict[type, Execute] = attrs.field(factory=dict, init=False)
    _spawned_executors: dict[type, ExecuteAsync] = attrs.field(factory=dict, init=False)
    _queued_events: collections.deque[typing.Any] = attrs.field(
        factory=collections.deque, init=False
    )
    _dispatching: bool = attrs.field(default=False, init=False)
    _executed: collections.Counter[type] = attrs.field(
        factory=collections.Counter, init=False
    )
    _running: collections.Counter[type] = attrs.field(
        factory=collections.Counter, init=False
    )

    def register_immediate(self, command_type: type, execute: Execute) -> None:
        """Register the function that executes a type of command immediately."""
        self._immediate_executors[command_type] = execute

    def register_spawned(self, command_type: type, execute: ExecuteAsync) -> None:
        """Register the function that executes a type of command in its own task."""
        self._spawned_executors[command_type] = execute

    def post(self, event: _dispatch.Event) -> None:
        """Dispatch an event; events posted meanwhile are queued and dispatched next.

        Raises exceptions of controllers on this event, but not on queued events.
        """
        if self._dispatching:
            self._queued_events.append(event)
            return
        self._dispatching = True
        try:
            self._process(event)
        finally:
            while self._queued_events:
                self._process_or_log(self._queued_events.popleft())
            self._dispatching = False

    def post_or_log(self, event: _dispatch.Event) -> None:
        """Dispatch an event; log and count a fault instead of raising it."""
        try:
            self.post(event)
        except Exception:
            self._record_fault(event)

    def _process(self, event: _dispatch.Event) -> None:
        for command in self.dispatcher.dispatch(event, trio.current_time()):
            self._execute(command)

    def _process_or_log(self, event: _dispatch.Event) -> None:
        try:
            self._process(event)
        except Exception:
            self._record_fault(event)

    def _record_fault(self, event: _dispatch.Event) -> None:
        self.faults += 1
        _LOGGER.exception("event failed: %s", type(event).__name__)

    def count_executed(self) -> dict[str, float]:
        """Return the number of executed commands by type name."""
        return {each.__name__: count for each, count in self._executed.items()}

    def count_running(self, command_types: collections.abc.Iterable[type]) -> int:
        """Return the number of commands of the given types that run in tasks."""
        return sum(self._running[each] for each in command_types)

    def _execute(self, command: _dispatch.Command) -> None:
        self._executed[type(command)] += 1
        execute_immediately = self._immediate_executors.get(type(command))
        if execute_immediately is not None:
            execute_immediately(command)
        else:
            execute = self._spawned_executors[type(command)]
            self._running[type(command)] += 1
            self.nursery.start_soon(self._execute_or_log, execute, command)

    async def _execute_or_log(
        self, execute: ExecuteAsync, command: _dispatch.Command
    ) -> None:
        try:
            await execute(command)
        except Exception:
            self.faults += 1
            _LOGGER.exception("command failed: %s", type(command).__name__)
        finally:
            self._running[type(command)] -= 1
