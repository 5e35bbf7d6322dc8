"""What backend servers say in their answers: leaving, retry times, limits."""

import attrs

from jujubepass import ids
from jujubepass.forwarding import (
    backend_list,
    board,
    clocks,
    exchange,
    pacing,
    request_limits,
    silences,
)

# Alias, because a field has the same name as the module.
_Pacing = pacing.Pacing


@attrs.define(kw_only=True)
class ServerSignals:
    """Pass on what an answer says of the server that sent it."""

    area: board.BackendArea
    backend_list: backend_list.BackendController
    silences: silences.Silences
    limits: request_limits.RequestLimits
    pacing: _Pacing | None = None

    def find_run(self, name: ids.BackendServerId) -> int | None:
        """Return the listed run of a server, which identifies it in later answers."""
        listed = self.area.listed.get(name)
        return listed.started_at if listed is not None else None

    def record(
        self, name: ids.BackendServerId, started_at: int | None, head: exchange.Signals
    ) -> None:
        """Record the signals in an answer of a server's run."""
        if started_at is None:
            return
        now = clocks.read_boot_clock()
        if head.is_leaving:
            self.backend_list.record_leaving(name, started_at, now)
        if head.retry_after_seconds is not None:
            self._record_silence(name, started_at, head, now)
        if head.limit is not None:
            self.limits.record((name, started_at), head.limit, now)

    def _record_silence(
        self,
        name: ids.BackendServerId,
        started_at: int,
        head: exchange.Signals,
        now: float,
    ) -> None:
        assert head.retry_after_seconds is not None
        at_fault = next(
            (
                each
                for each in self.area.listed.values()
                if head.at_fault is not None and each.address == head.at_fault
            ),
            None,
        )
        is_relayed = at_fault is not None and at_fault.name != name
        self.silences.record(
            name,
            started_at,
            head.retry_after_seconds,
            now,
            # The first engine may only have passed on what another one asked for.
            only_first=is_relayed,
        )
        if is_relayed and at_fault is not None:
            self.silences.record(
                at_fault.name, at_fault.started_at, head.retry_after_seconds, now
            )

    def record_answer(self, name: ids.BackendServerId, seconds: float) -> None:
        """Record the time of a plain server's answer."""
        if self.pacing is not None:
            self.pacing.record_answer(name, seconds)

    def record_rejected(self, name: ids.BackendServerId) -> None:
        """Record that a plain server answered that it did not run a request."""
        if self.pacing is not None:
            self.pacing.record_rejected(name, is_plain=True)

    def record_failed(self, name: ids.BackendServerId) -> None:
        """Record that a server gave no answer that can be used."""
        if self.pacing is not None:
            self.pacing.record_failed(name)

    def record_recovered(self, name: ids.BackendServerId) -> None:
        """Record that a server that did not respond to probes responds again."""
        if self.pacing is not None:
            self.pacing.record_recovered(name)
