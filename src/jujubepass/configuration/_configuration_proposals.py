"""Controller that accepts operators' changes, at most one for each base number."""

import collections.abc
import enum

import attrs

from jujubepass import _ini, ids
from jujubepass.configuration import (
    _configuration,
    _configuration_digest,
    _configuration_installer,
    _configuration_messages,
    _configuration_rows,
    _declaration_changes,
)
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.storage import _object_messages, _store_messages

_CONFLICT = 409
_GONE = 410
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_RETRY_INTERVAL_SECONDS = 0.2
_PROPOSAL_TIMEOUT_SECONDS = 8.0
_CHANGES_PER_READ = 20

_Commands = collections.abc.Iterator[_dispatch.Command]
_Failed = _store_messages.TransactionUnsent | _store_messages.TransactionUnclear


class _Phase(enum.Enum):
    READING = "reading"
    STORING = "storing"
    WRITING = "writing"


@attrs.define(kw_only=True)
class _Proposal:
    event: _configuration_messages.ChangeProposed
    deadline: float
    phase: _Phase = _Phase.READING
    unclear: bool = False
    retry_at: float | None = None
    operation: _store_messages.OperationId | None = None
    entry: _configuration_messages.Entry | None = None
    transact: _store_messages.Transact | None = None


@attrs.define(kw_only=True)
class ProposalController:
    """Commit proposed changes to the store.

    The row of the change's id shows whether a write with unclear outcome took effect.
    """

    blackboard: _blackboard.Blackboard
    installer: _configuration_installer.Installer
    _proposals: dict[ids.ChangeId, _Proposal] = attrs.field(factory=dict, init=False)
    _operations: dict[_store_messages.OperationId, _Proposal] = attrs.field(
        factory=dict, init=False
    )
    _operation_count: int = attrs.field(default=0, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _configuration_messages.ChangeProposed: self.propose,
            _node_messages.Tick: self.retry,
            _store_messages.RowsRead: self.decide,
            _store_messages.ReadFailed: self.handle_failure,
            _object_messages.ObjectWritten: self.write_change_row,
            _object_messages.ObjectFailed: self.handle_failure,
            _store_messages.Transacted: self.accept,
            _store_messages.TransactionConflicted: self.handle_conflict,
            _store_messages.TransactionUnsent: self.handle_failure,
            _store_messages.TransactionUnclear: self.record_unclear_outcome,
        }

    def propose(
        self, event: _configuration_messages.ChangeProposed, now: float
    ) -> _Commands:
        """Read the current rows of the store before a change is written."""
        if event.change not in self._proposals:
            proposal = _Proposal(event=event, deadline=now + _PROPOSAL_TIMEOUT_SECONDS)
            self._proposals[event.change] = proposal
            yield self._read(proposal)

    def _read(self, proposal: _Proposal) -> _store_messages.ReadRows:
        proposal.phase = _Phase.READING
        number = self.blackboard.configuration.number
        return _store_messages.ReadRows(
            operation=self._begin_operation(proposal),
            keys=(
                _configuration_rows.HEAD_KEY,
                _configuration_rows.SNAPSHOT_KEY,
                _configuration_rows.make_id_key(proposal.event.change),
                _configuration_rows.make_change_key(proposal.event.base + 1),
                *_configuration_rows.list_change_keys(number, _CHANGES_PER_READ),
            ),
        )

    def _begin_operation(self, proposal: _Proposal) -> _store_messages.OperationId:
        self._operation_count += 1
        proposal.retry_at = None
        prefix = _configuration.PROPOSAL_PREFIX
        operation = _store_messages.OperationId(
            f"{prefix}{proposal.event.change}/{self._operation_count}"
        )
        proposal.operation = operation
        self._operations[operation] = proposal
        return operation

    def _end_operation(
        self, operation: _store_messages.OperationId
    ) -> _Proposal | None:
        """Return the proposal that waits for an operation, or None."""
        proposal = self._operations.pop(operation, None)
        if proposal is None or proposal.operation != operation:
            return None
        change = proposal.event.change
        return proposal if self._proposals.get(change) is proposal else None

    def retry(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Read again for proposals that are due; abort those past their deadline."""
        for proposal in list(self._proposals.values()):
            if now >= proposal.deadline:
                yield self._abort(proposal)
            elif proposal.retry_at is not None and now >= proposal.retry_at:
                yield self._read(proposal)

    def decide(self, event: _store_messages.RowsRead, now: float) -> _Commands:
        """Refuse or write the change, depending on the rows read from the store."""
        proposal = self._end_operation(event.operation)
        if proposal is None:
            return
        area = self.blackboard.configuration
        known_row = event.rows.get(
            _configuration_rows.make_id_key(proposal.event.change)
        )
        head = event.rows.get(_configuration_rows.HEAD_KEY)
        number = _configuration_rows.read_number(head)
        if known_row is not None:
            yield self._reply_to_known_id(proposal, known_row.value)
        elif number != area.number or proposal.event.base > number:
            proposal.retry_at = now + _RETRY_INTERVAL_SECONDS
        elif proposal.event.base < number:
            yield self._refuse_outdated_base(proposal, event.rows)
        else:
            yield from self._check(proposal, 0 if head is None else head.version)

    def _check(self, proposal: _Proposal, head_version: int) -> _Commands:
        area = self.blackboard.configuration
        delta = {
            title: section
            for title, section in proposal.event.sections.items()
            if section != area.sections.get(title)
        }
        if not delta:
            yield self._accept(proposal, area.number, area.digest)
            return
        update = _declaration_changes.update_declarations(
            area.declared, area.sections, delta
        )
        if update.problems:
            yield self._refuse_problems(proposal, update.problems)
            return
        digest = _configuration_digest.update_digest(area.digest, area.sections, delta)
        proposal.entry = _configuration_messages.Entry(
            number=ids.ChangeNumber(area.number + 1),
            digest=digest,
            change=proposal.event.change,
            author=proposal.event.author,
            delta=delta,
        )
        yield self._store(proposal, proposal.entry, head_version)

    def _store(
        self,
        proposal: _Proposal,
        entry: _configuration_messages.Entry,
        head_version: int,
    ) -> _dispatch.Command:
        operation = self._begin_operation(proposal)
        name = None
        if _configuration_rows.is_large(entry):
            incarnation = self.blackboard.identity.incarnation
            name = _configuration_rows.make_delta_name(incarnation, operation)
        proposal.transact = _configuration_rows.write_transaction(
            operation,
            entry,
            head_version,
            _configuration_rows.hash_delta(proposal.event.sections),
            name,
        )
        if name is None:
            proposal.phase = _Phase.WRITING
            return proposal.transact
        proposal.phase = _Phase.STORING
        data = _configuration_rows.write_delta(entry.delta)
        return _object_messages.PutObject(operation=operation, name=name, data=data)

    def write_change_row(
        self, event: _object_messages.ObjectWritten, now: float
    ) -> _Commands:
        """Write the row of a large change after its object was written."""
        proposal = self._end_operation(event.operation)
        if proposal is not None and proposal.transact is not None:
            self._operations[event.operation] = proposal
            proposal.phase = _Phase.WRITING
            yield proposal.transact

    def accept(self, event: _store_messages.Transacted, now: float) -> _Commands:
        """Install the change and notify the operator and the peers."""
        proposal = self._end_operation(event.operation)
        if proposal is None or proposal.entry is None:
            return
        entry = proposal.entry
        if self.installer.install([entry]):
            self.installer.record_installation(now, caught_up=True)
            yield _configuration_messages.ConfigurationInstalled(number=entry.number)
        yield _configuration_messages.ChangeCommitted(entry=entry)
        yield self._accept(proposal, entry.number, entry.digest)

    def _accept(
        self, proposal: _Proposal, number: int, digest: str
    ) -> _configuration_messages.ChangeAccepted:
        del self._proposals[proposal.event.change]
        return _configuration_messages.ChangeAccepted(
            change=proposal.event.change,
            number=ids.ChangeNumber(number),
            digest=digest,
        )

    def _reply_to_known_id(
        self, proposal: _Proposal, row: _store_messages.Row
    ) -> _configuration_messages.ChangeAccepted | _configuration_messages.ChangeRefused:
        event = proposal.event
        if row["content"] == _configuration_rows.hash_delta(event.sections):
            return self._accept(proposal, row["number"], row["digest"])
        detail = f"Change id {event.change} stands for another change. Choose a new id."
        return self._refuse(proposal, _CONFLICT, "change_id_reused", detail)

    def handle_conflict(
        self, event: _store_messages.TransactionConflicted, now: float
    ) -> _Commands:
        """Read which change was committed first; it may be this one."""
        proposal = self._end_operation(event.operation)
        if proposal is not None:
            yield self._read(proposal)

    def record_unclear_outcome(
        self, event: _store_messages.TransactionUnclear, now: float
    ) -> _Commands:
        """Schedule a read to find out whether the change was written."""
        proposal = self._end_operation(event.operation)
        if proposal is not None:
            proposal.unclear = True
            proposal.retry_at = now + _RETRY_INTERVAL_SECONDS
        yield from ()

    def handle_failure(
        self,
        event: _store_messages.ReadFailed
        | _store_messages.TransactionUnsent
        | _object_messages.ObjectFailed,
        now: float,
    ) -> _Commands:
        """Refuse a change that was certainly not written, or else read again later."""
        proposal = self._end_operation(event.operation)
        if proposal is None:
            return
        if proposal.unclear:
            proposal.retry_at = now + _RETRY_INTERVAL_SECONDS
        else:
            yield self._refuse(
                proposal,
                _UNAVAILABLE,
                "store_unavailable",
                f"This node wrote nothing: {event.detail}",
            )

    def _abort(self, proposal: _Proposal) -> _configuration_messages.ChangeRefused:
        if proposal.unclear or proposal.phase is _Phase.WRITING:
            detail = (
                "The change may be accepted; ask any node again with change id"
                f" {proposal.event.change}."
            )
            return self._refuse(proposal, _GATEWAY_TIMEOUT, "outcome_unknown", detail)
        number = self.blackboard.configuration.number
        detail = (
            f"This node wrote nothing: it has number {number} in force"
            f" and could not reach base {proposal.event.base} in time."
        )
        return self._refuse(proposal, _UNAVAILABLE, "store_unavailable", detail)

    def _refuse_outdated_base(
        self,
        proposal: _Proposal,
        rows: collections.abc.Mapping[str, _store_messages.VersionedRow],
    ) -> _configuration_messages.ChangeRefused:
        area = self.blackboard.configuration
        base = proposal.event.base
        if _configuration_rows.make_change_key(base + 1) not in rows:
            # The rows of a change and of its id are removed in one transaction, so
            # it is unknown whether this change id was accepted.
            detail = f"Number {base} is too old to tell what became of this change."
            return self._refuse(proposal, _GONE, "base_forgotten", detail)
        moved = tuple(
            _configuration_messages.Moved(
                number=entry.number,
                change=entry.change,
                author=entry.author,
                sections=tuple(entry.delta),
            )
            for entry in area.recent
            if entry.number > base
        )
        detail = (
            f"The configuration moved from {base} to {area.number}."
            " Nothing was applied. Plan again."
        )
        return self._refuse(proposal, _CONFLICT, "base_moved", detail, moved=moved)

    def _refuse_problems(
        self, proposal: _Proposal, problems: tuple[_ini.Problem, ...]
    ) -> _configuration_messages.ChangeRefused:
        detail = "; ".join(map(str, problems))
        return self._refuse(
            proposal, _UNPROCESSABLE, "bad_declarations", detail, problems=problems
        )

    def _refuse(
        self,
        proposal: _Proposal,
        status: int,
        code: str,
        detail: str,
        moved: tuple[_configuration_messages.Moved, ...] = (),
        problems: tuple[_ini.Problem, ...] = (),
    ) -> _configuration_messages.ChangeRefused:
        del self._proposals[proposal.event.change]
        return _configuration_messages.ChangeRefused(
            change=proposal.event.change,
            status=status,
            code=code,
            detail=detail,
            number=self.blackboard.configuration.number,
            moved=moved,
            problems=problems,
        )
