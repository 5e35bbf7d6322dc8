"""Dispatch of events to the controllers that handle them."""

import collections
import collections.abc
import math
import typing

from jujubepass.nodes import _node_messages

Event = typing.Any
Command = typing.Any
EventHandler = collections.abc.Callable[
    [typing.Any, float], collections.abc.Iterable[Command]
]


class Controller(typing.Protocol):
    """Handle events by reading and writing the blackboard, without I/O."""

    def list_handlers(self) -> collections.abc.Mapping[type, EventHandler]:
        """Map each event type to the method that handles it."""


class Recorder(typing.Protocol):
    """Record dispatched events and the resulting commands."""

    def record(
        self, event: Event, now: float, commands: collections.abc.Sequence[Command]
    ) -> None:
        """Record one event with the resulting commands."""


class Dispatcher:
    """Dispatch each event to its controllers, in the order of `controllers`."""

    def __init__(
        self,
        *,
        controllers: collections.abc.Iterable[Controller],
        recorder: Recorder | None = None,
        pause_seconds: float = math.inf,
    ) -> None:
        self._handlers: dict[type, list[EventHandler]] = collections.defaultdict(list)
        self._recorder = recorder
        self._pause_seconds = pause_seconds
        self._last_dispatched_at: float | None = None
        for controller in controllers:
            for event_type, handler in controller.list_handlers().items():
                self._handlers[event_type].append(handler)

    def dispatch(self, event: Event, now: float) -> list[Command]:
        """Dispatch an event and return the commands of its controllers.

        Ticks are regular, so a long gap between events means that the process was
        paused; controllers then handle PauseDetected before the event.
        """
        previous = now if self._last_dispatched_at is None else self._last_dispatched_at
        self._last_dispatched_at = now
        if now - previous < self._pause_seconds:
            return self._dispatch(event, now)
        pause = _node_messages.PauseDetected(seconds=now - previous)
        return self._dispatch(pause, now) + self._dispatch(event, now)

    def _dispatch(self, event: Event, now: float) -> list[Command]:
        commands: list[Command] = []
        for handler in self._handlers.get(type(event), ()):
            commands.extend(handler(event, now))
        if self._recorder is not None:
            self._recorder.record(event, now, commands)
        return commands
