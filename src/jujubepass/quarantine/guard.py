"""Checks of requests against the quarantine, and what their runs tell it."""

import collections.abc
import contextlib
import typing

import attrs
import trio

from jujubepass import ids, reasons
from jujubepass.forwarding import (
    admission,
    backends,
    board,
    clocks,
    declarations,
    exchange,
)
from jujubepass.quarantine import abandonments, controller, fingerprints, suspects
from jujubepass.transport import _http_client

# A run that goes on for this long after its first data is sound: what crashes a server
# does so as it begins to run.
_PROOF_SECONDS = 1.0
# Maximum runs of one request under which a server has ended.
_MAX_SUSPECTED_RUNS = 2
_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 30.0

_OUTCOME_UNKNOWN = admission.Refusal(reason=reasons.RefusalReason.OUTCOME_UNKNOWN)


class Trials(typing.Protocol):
    """Claim the trials of suspects in quarantine."""

    async def claim_trial(self, keys: collections.abc.Collection[suspects.Key]) -> bool:
        """Claim the trial of a suspect; return whether this request has it."""


@attrs.define(kw_only=True)
class GuardedRequest:
    """Track what identifies one request, and its runs."""

    identity: fingerprints.Identity
    parts: tuple[suspects.PartKey, ...] = ()
    """Parts of its prompt that other requests may share."""
    runs: int = 0
    """Runs that have ended."""
    server_runs: dict[ids.BackendServerId, suspects.ServerRun] = attrs.field(
        factory=dict
    )
    """Runs of the servers in use."""
    is_proven: bool = False
    """Whether the run in use has outlasted the time in which its server crashes."""
    was_proven: bool = False
    """Whether the last run that broke had outlasted that time."""
    unproven: set[suspects.ServerRun] = attrs.field(factory=set)
    """Runs of servers on which the request broke before it was proven."""
    has_trial: bool = False
    """Whether the request may run once in spite of the quarantine."""
    is_trial_spent: bool = False
    """Whether the trial's request has run, or reached a server that refused it."""


def _is_cancellation(error: BaseException) -> bool:
    """Return whether a task was cancelled; nurseries group the errors of theirs."""
    if isinstance(error, BaseExceptionGroup):
        return all(map(_is_cancellation, error.exceptions))
    return isinstance(error, trio.Cancelled)


def identify(
    request: exchange.CallerRequest, account: declarations.Account | None
) -> fingerprints.Identity:
    """Return what identifies a request of an account."""
    return fingerprints.Identity(
        host=request.host,
        target=request.target,
        account=account.name if account is not None else "",
        body=request.body,
    )


def track(
    request: exchange.CallerRequest, admitted: exchange.Admitted
) -> GuardedRequest:
    """Return what the guard tracks of an admitted request."""
    return GuardedRequest(
        identity=identify(request, admitted.account),
        parts=suspects.list_part_keys(admitted.service.name, request.prompt_parts),
    )


@attrs.frozen(kw_only=True)
class Guard:
    """Keep suspects in quarantine from servers, and report runs to the quarantine."""

    area: board.BackendArea
    quarantine: controller.Quarantine
    trials: Trials
    schedule_probe: collections.abc.Callable[[ids.BackendServerId], None]

    def is_ready(self, now: float) -> bool:
        """Return whether the rows were read, or could not be read for some time."""
        return self.quarantine.is_ready(now)

    def refuse(self, request: GuardedRequest, now: float) -> admission.Refusal | None:
        """Return the refusal of a suspect for which no trial is due, or None."""
        # It has run well, whatever ended other servers meanwhile.
        if request.was_proven:
            return None
        if self._has_ended_servers(request, now):
            return _OUTCOME_UNKNOWN
        wait = self._find_wait(request, now)
        if wait is None or (request.has_trial and not request.is_trial_spent):
            return None
        if wait > 0.0 or request.runs or request.is_trial_spent:
            return self._make_refusal(request, wait)
        return None

    def withhold_retry(
        self,
        request: exchange.CallerRequest,
        account: declarations.Account | None,
        refusal: admission.Refusal,
    ) -> admission.Refusal:
        """Return a refusal without a time to retry if the request is in quarantine."""
        area = self.quarantine.blackboard.quarantine
        if refusal.retry_after_seconds is None or not area.quarantined:
            return refusal
        key = self.quarantine.fingerprints.make_key(identify(request, account))
        if key not in area.quarantined:
            return refusal
        return attrs.evolve(refusal, retry_after_seconds=None)

    def _find_wait(self, request: GuardedRequest, now: float) -> float | None:
        if not self.quarantine.blackboard.quarantine.quarantined:
            return None
        return self.quarantine.find_wait(self._list_keys(request), now)

    def _list_keys(self, request: GuardedRequest) -> tuple[suspects.Key, ...]:
        key = self.quarantine.fingerprints.make_key(request.identity)
        return (*request.parts, key)

    def find_digest(self, request: GuardedRequest) -> ids.RequestDigest:
        """Return the digest that stands for a request in log lines and rows."""
        return self.quarantine.fingerprints.make_key(request.identity).digest

    def _make_refusal(
        self, request: GuardedRequest, wait_seconds: float
    ) -> admission.Refusal:
        """Return the refusal of a request, or of a part that a trial may release."""
        found = self.quarantine.list_quarantined(self._list_keys(request))
        if any(isinstance(key, suspects.RequestKey) for key in found):
            # The same request would only meet the same refusal.
            return admission.Refusal(reason=reasons.RefusalReason.REQUEST_QUARANTINED)
        seconds = min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, wait_seconds))
        return admission.Refusal(
            reason=reasons.RefusalReason.PROMPT_QUARANTINED,
            retry_after_seconds=seconds,
        )

    def _has_ended_servers(self, request: GuardedRequest, now: float) -> bool:
        """Return whether servers have ended under too many runs of a request."""
        if request.runs < _MAX_SUSPECTED_RUNS:
            return False
        ended = sum(map(self.quarantine.ends.has_ended, request.unproven))
        # Sound parts leave the request itself to be suspected.
        is_proven = self.quarantine.is_proven(request.parts, now)
        return ended >= (suspects.MIN_ENDED_RUNS if is_proven else 1)

    async def claim(
        self, request: GuardedRequest, *, has_server: bool
    ) -> admission.Refusal | None:
        """Claim a trial if one is needed; return why not to run it, or None."""
        now = clocks.read_boot_clock()
        refusal = self.refuse(request, now)
        wait = self._find_wait(request, now)
        is_admitted = request.has_trial or request.was_proven
        if refusal is not None or wait is None or is_admitted:
            return refusal
        if not has_server:
            return None
        if not await self.trials.claim_trial(self._list_keys(request)):
            return self._make_refusal(request, wait)
        request.has_trial = True
        return None

    def return_trial(self, request: GuardedRequest) -> None:
        """Return the trial of a request that was refused without a run."""
        if request.has_trial and not request.is_trial_spent:
            now = clocks.read_boot_clock()
            self.quarantine.return_trial(self._list_keys(request), now)

    @contextlib.contextmanager
    def watch(
        self,
        request: GuardedRequest,
        servers: collections.abc.Iterable[ids.BackendServerId],
        scope: trio.CancelScope | None = None,
    ) -> collections.abc.Iterator[None]:
        """Record an attempt at some servers, and whether its caller left it.

        A scope that gives up the attempt for another reason may be cancelled.
        """
        request.is_proven = False
        request.server_runs = self._find_runs(servers)
        try:
            yield
        except BaseException as error:
            is_left = scope is None or not scope.cancel_called
            if is_left and _is_cancellation(error):
                self._record_abandoned(request)
            raise

    def _find_runs(
        self, servers: collections.abc.Iterable[ids.BackendServerId]
    ) -> dict[ids.BackendServerId, suspects.ServerRun]:
        listed = self.area.listed
        return {
            name: suspects.ServerRun(server=name, started_at=listed[name].started_at)
            for name in servers
            if name in listed
        }

    def may_move(self, request: GuardedRequest) -> bool:
        """Return whether a running request may go on at other servers."""
        if request.is_proven:
            return True
        wait = self._find_wait(request, clocks.read_boot_clock())
        # A trial is for one run.
        return wait is None and not request.has_trial

    def record_move(
        self,
        request: GuardedRequest,
        left: collections.abc.Set[ids.BackendServerId],
        servers: collections.abc.Iterable[ids.BackendServerId],
    ) -> None:
        """Record that a running request left some servers and goes on at others."""
        # One that leaves for good ends for that reason.
        broken = {name for name in left if not self._is_draining(name)}
        if broken and not request.is_proven:
            self._report_break(request, broken)
        request.server_runs = {**self._find_runs(servers), **request.server_runs}
        for name in left:
            request.server_runs.pop(name, None)

    def _is_draining(self, server: ids.BackendServerId) -> bool:
        listed = self.area.listed.get(server)
        if listed is None:
            return server in self.area.draining_since
        return listed.state is backends.BackendState.DRAINING

    def record_data(self, request: GuardedRequest, *, lasted_seconds: float) -> None:
        """Record data of a run that came some time after its first data."""
        if not request.is_proven and lasted_seconds >= _PROOF_SECONDS:
            self.record_proof(request)

    def record_end(
        self, request: GuardedRequest, answer: _http_client.StreamedAnswer
    ) -> None:
        """Record a complete answer, if it differs from one whose connection ended."""
        has_length = (
            "content-length" in answer.headers or "transfer-encoding" in answer.headers
        )
        if not request.is_proven and has_length:
            self.record_proof(request)

    def record_proof(self, request: GuardedRequest) -> None:
        """Record that a run has outlasted the time in which its server crashes."""
        request.is_proven = True
        keys: tuple[suspects.Key, ...] = request.parts
        # Requests are not identified as long as no server ends.
        if self.quarantine.blackboard.quarantine.records:
            keys = self._list_keys(request)
        self.quarantine.record_proof(keys, clocks.read_boot_clock())

    def record_break(
        self,
        request: GuardedRequest,
        servers: collections.abc.Set[ids.BackendServerId],
    ) -> None:
        """Record that a run broke, for which one of these servers may have ended."""
        request.runs += 1
        request.is_trial_spent = request.has_trial
        request.was_proven = request.is_proven
        if not request.is_proven:
            self._report_break(request, servers)

    def record_refusal(self, request: GuardedRequest) -> None:
        """Record that a server refused a request, which has reached it all the same."""
        request.is_trial_spent = request.has_trial

    def _report_break(
        self,
        request: GuardedRequest,
        servers: collections.abc.Set[ids.BackendServerId],
    ) -> None:
        runs = {run for name, run in request.server_runs.items() if name in servers}
        request.unproven |= runs
        self._report(request, runs)
        for run in runs:
            self.schedule_probe(run.server)

    def _record_abandoned(self, request: GuardedRequest) -> None:
        """Record that a run was given up, whose servers may still end under it."""
        if not request.is_proven:
            self.quarantine.record_abandoned(
                abandonments.Abandonment(
                    identity=request.identity,
                    parts=request.parts,
                    runs=frozenset(request.server_runs.values()),
                    left_at=clocks.read_boot_clock(),
                )
            )

    def _report(
        self,
        request: GuardedRequest,
        runs: collections.abc.Set[suspects.ServerRun],
    ) -> None:
        key = self.quarantine.fingerprints.remember(request.identity)
        now = clocks.read_boot_clock()
        self.quarantine.record_break((*request.parts, key), runs, now)

    def record_refused_connection(
        self, request: GuardedRequest, server: ids.BackendServerId
    ) -> None:
        """Record that nothing listens at the address of a server in use."""
        run = request.server_runs.get(server)
        if run is not None:
            now = clocks.read_boot_clock()
            self.quarantine.record_end(server, run.started_at, now)
