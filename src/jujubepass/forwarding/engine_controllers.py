"""Controllers of engines: choice, probes, orders, moves and stalled streams."""

import attrs

from jujubepass.forwarding import (
    backend_list,
    board,
    engine_choice,
    engines,
    evacuation,
    moves,
    ordering,
    probing,
    server_signals,
    silences,
    slowdowns,
    stall_watch,
    suspicion,
)

# Aliases, because fields have the same names as the modules.
_BackendController = backend_list.BackendController
_Evacuation = evacuation.Evacuation
_Silences = silences.Silences


@attrs.define(kw_only=True)
class EngineControllers:
    """Build the controllers that share what is known of the engines."""

    blackboard: board.Blackboard
    suspects: suspicion.Suspects
    control: engines.EngineControl
    backend_list: _BackendController
    silences: _Silences = attrs.field(init=False)
    signals: server_signals.ServerSignals = attrs.field(init=False)
    prober: probing.Prober = attrs.field(init=False)
    choice: engine_choice.EngineChoice = attrs.field(init=False)
    stalls: stall_watch.StallWatch = attrs.field(init=False)
    evacuation: _Evacuation = attrs.field(init=False)
    orders: ordering.OrderSender = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        area = self.blackboard.backends
        tracker = slowdowns.SlowdownTracker()
        self.silences = silences.Silences(area=area)
        self.signals = server_signals.ServerSignals(
            area=area, backend_list=self.backend_list, silences=self.silences
        )
        self.prober = probing.Prober(
            blackboard=self.blackboard,
            suspects=self.suspects,
            control=self.control,
            slowdowns=tracker,
            signals=self.signals,
        )
        self.choice = engine_choice.EngineChoice(
            blackboard=self.blackboard,
            suspects=self.suspects,
            slowdowns=tracker,
            silences=self.silences,
        )
        self.orders = ordering.OrderSender(
            blackboard=self.blackboard, control=self.control, silences=self.silences
        )
        self._watch_streams()

    def _watch_streams(self) -> None:
        mover = moves.Mover(
            blackboard=self.blackboard, choice=self.choice, control=self.control
        )
        self.stalls = stall_watch.StallWatch(
            blackboard=self.blackboard,
            suspects=self.suspects,
            prober=self.prober,
            mover=mover,
        )
        self.evacuation = evacuation.Evacuation(
            blackboard=self.blackboard, stalls=self.stalls, mover=mover
        )
