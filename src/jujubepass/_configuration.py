"""Controller that accepts changes and installs what was accepted."""

import collections.abc
import hashlib
import json

import attrs

from jujubepass import (
    _blackboard,
    _configuration_messages,
    _dispatch,
    _node_messages,
    _store_messages,
    declarations,
    ids,
)

HEAD_KEY = "configuration/head"
_CONFLICT = 409
_UNAVAILABLE = 503


@attrs.define(kw_only=True)
class ConfigurationController:
    """Write the configuration area; never install a lower number."""

    blackboard: _blackboard.Blackboard
    poll_seconds: float
    _polled_at: float = attrs.field(default=float("-inf"), init=False)
    _polls: int = attrs.field(default=0, init=False)
    _head_version: int = attrs.field(default=0, init=False)
    _sections: dict[str, dict[str, str]] = attrs.field(factory=dict, init=False)
    _proposals: dict[
        _store_messages.OperationId, _configuration_messages.ChangeProposed
    ] = attrs.field(factory=dict, init=False)

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _node_messages.Tick: self.poll,
            _store_messages.RowsRead: self.install,
            _configuration_messages.ChangeProposed: self.propose,
            _store_messages.Transacted: self.accept,
            _store_messages.TransactionConflicted: self.refuse,
            _store_messages.TransactionUnsent: self.refuse,
            _store_messages.TransactionUnclear: self.refuse,
        }

    def poll(
        self, event: _node_messages.Tick, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Read the head when it is due."""
        if now - self._polled_at < self.poll_seconds:
            return ()
        self._polled_at = now
        self._polls += 1
        operation = _store_messages.OperationId(f"configuration/poll/{self._polls}")
        return (_store_messages.ReadRows(operation=operation, keys=(HEAD_KEY,)),)

    def install(
        self, event: _store_messages.RowsRead, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Install a head that is newer than the one in force."""
        if not event.operation.startswith("configuration/poll/"):
            return ()
        area = self.blackboard.configuration
        row = event.rows.get(HEAD_KEY)
        if row is None or row.value["number"] <= area.number:
            return ()
        self._head_version = row.version
        self._sections = {k: dict(v) for k, v in row.value["sections"].items()}
        area.number = ids.ChangeNumber(row.value["number"])
        area.digest = row.value["digest"]
        area.declared = declarations.build_declarations(self._sections)
        return ()

    def propose(
        self, event: _configuration_messages.ChangeProposed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Write a change against its base."""
        area = self.blackboard.configuration
        if event.base != area.number:
            detail = f"The configuration moved from {event.base} to {area.number}."
            return (_refuse(event, _CONFLICT, "base_moved", detail),)
        sections = {**self._sections, **{k: dict(v) for k, v in event.sections.items()}}
        try:
            declarations.build_declarations(sections)
        except declarations.DeclarationError as error:
            return (_refuse(event, 422, "bad_declarations", str(error)),)
        text = json.dumps(sections, sort_keys=True)
        value = {
            "number": area.number + 1,
            "digest": hashlib.sha256(text.encode()).hexdigest()[:16],
            "change": event.change,
            "author": event.author,
            "sections": sections,
        }
        operation = _store_messages.OperationId(f"configuration/{event.change}")
        self._proposals[operation] = event
        condition = _store_messages.Condition(key=HEAD_KEY, version=self._head_version)
        return (
            _store_messages.Transact(
                operation=operation,
                conditions=(condition,),
                writes=(_store_messages.Write(key=HEAD_KEY, value=value),),
            ),
        )

    def accept(
        self, event: _store_messages.Transacted, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Tell the operator and read the head at once."""
        proposal = self._proposals.pop(event.operation, None)
        if proposal is None:
            return ()
        self._polled_at = float("-inf")
        accepted = _configuration_messages.ChangeAccepted(
            change=proposal.change,
            number=ids.ChangeNumber(proposal.base + 1),
            digest="",
        )
        return (accepted,)

    def refuse(
        self,
        event: _store_messages.TransactionConflicted
        | _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear,
        now: float,
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Tell the operator that the change is not accepted."""
        proposal = self._proposals.pop(event.operation, None)
        if proposal is None:
            return ()
        if isinstance(event, _store_messages.TransactionConflicted):
            detail = "Another change was accepted first. Plan again."
            return (_refuse(proposal, _CONFLICT, "base_moved", detail),)
        return (_refuse(proposal, _UNAVAILABLE, "store_unavailable", event.detail),)


def _refuse(
    event: _configuration_messages.ChangeProposed, status: int, code: str, detail: str
) -> _configuration_messages.ChangeRefused:
    return _configuration_messages.ChangeRefused(
        change=event.change, status=status, code=code, detail=detail
    )
