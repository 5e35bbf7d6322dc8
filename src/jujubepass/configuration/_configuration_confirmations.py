"""Confirmations of a pushed change, aggregated from relays back to the sender."""

import collections.abc
import functools
import hashlib

import attrs

from jujubepass import ids
from jujubepass.configuration import (
    _configuration_area,
    _configuration_installer,
    _configuration_messages,
    _configuration_push,
)
from jujubepass.transport import _http_client

REPORT_INTERVAL_SECONDS = 1.0
RELAY_TIMEOUT_SECONDS = 2.0
ROUND_TIMEOUT_SECONDS = 10.0
MAX_MISSING_NAMES = 64

_CHECK_INTERVAL_SECONDS = 0.25
_MAX_ROUNDS = 64
_HASH_BYTES = 7
_SUM_MODULUS = 1 << 63
_MAX_CACHED_HASHES = 4_096

_Key = tuple[ids.ChangeNumber, ids.NodeId | None]
_Commands = collections.abc.Iterator[_configuration_messages.ConfirmChanges]


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _hash_name(name: ids.NodeId) -> int:
    data = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(data)


def _sum_names(names: collections.abc.Iterable[ids.NodeId]) -> int:
    return sum(map(_hash_name, names)) % _SUM_MODULUS


@attrs.frozen(kw_only=True)
class Sender:
    """Identify the node that this node reports confirmations to."""

    node: ids.NodeId
    address: _http_client.Address


@attrs.define(kw_only=True)
class Round:
    """Track which nodes behind each relay confirmed one push."""

    entries: tuple[_configuration_messages.Entry, ...]
    number: ids.ChangeNumber
    sender: Sender | None
    started_at: float
    reported_at: float
    pushed_at: float
    checked_at: float
    members_by_relay: dict[ids.NodeId, frozenset[ids.NodeId]]
    confirmed_by_relay: dict[ids.NodeId, frozenset[ids.NodeId]] = attrs.field(
        factory=dict
    )

    def find_missing(self) -> frozenset[ids.NodeId]:
        """Return the nodes behind relays that have not confirmed the change."""
        members = frozenset[ids.NodeId]().union(*self.members_by_relay.values())
        return members.difference(*self.confirmed_by_relay.values())

    def find_orphaned(self) -> frozenset[ids.NodeId]:
        """Return the missing nodes behind relays that sent no confirmation."""
        orphaned = frozenset[ids.NodeId]().union(
            *(
                self.members_by_relay[name]
                for name in self.members_by_relay.keys()
                - self.confirmed_by_relay.keys()
            )
        )
        return (orphaned & self.find_missing()) - self.members_by_relay.keys()


@attrs.define(kw_only=True)
class Confirmations:
    """Track the confirmation rounds of this node's pushes, with a timeout each."""

    area: _configuration_area.ConfigurationArea
    installer: _configuration_installer.Installer
    node: ids.NodeId
    _rounds: dict[_Key, Round] = attrs.field(factory=dict, init=False)

    def open(
        self,
        entries: tuple[_configuration_messages.Entry, ...],
        sender: Sender | None,
        relays: collections.abc.Iterable[_configuration_push.Relay],
        now: float,
    ) -> None:
        """Start a round that waits for confirmations from relays."""
        number = max(entry.number for entry in entries)
        key = (number, sender.node if sender is not None else None)
        self._rounds.pop(key, None)
        if len(self._rounds) >= _MAX_ROUNDS:
            del self._rounds[next(iter(self._rounds))]
        self._rounds[key] = Round(
            entries=entries,
            number=number,
            sender=sender,
            started_at=now,
            reported_at=now,
            pushed_at=now,
            checked_at=now,
            members_by_relay={relay.node: relay.members for relay in relays},
        )

    def record(self, event: _configuration_messages.ChangesConfirmed) -> None:
        """Record a relay's confirmation if its sum matches the relay's nodes."""
        for pending in self._rounds.values():
            if (
                pending.number == event.number
                and event.node in pending.members_by_relay
            ):
                self._record(pending, event)

    def _record(
        self, pending: Round, event: _configuration_messages.ChangesConfirmed
    ) -> None:
        members = pending.members_by_relay[event.node]
        names = members - frozenset(event.missing)
        if _sum_names(names) != event.names_sum:
            return
        pending.confirmed_by_relay[event.node] = names
        if pending.sender is None:
            self.installer.record_confirmed(names, event.number)

    def list_timed_out(self, now: float) -> list[Round]:
        """Return the rounds whose relays timed out, and restart their timeouts."""
        due = [
            pending
            for pending in self._rounds.values()
            if now - pending.pushed_at >= RELAY_TIMEOUT_SECONDS
        ]
        for pending in due:
            pending.pushed_at = now
        return due

    def report_due(self, now: float) -> _Commands:
        """Send the confirmations that are complete or due, for every round."""
        for key, pending in list(self._rounds.items()):
            if now - pending.checked_at >= _CHECK_INTERVAL_SECONDS:
                yield from self._report(key, pending, now)

    def report(self, number: ids.ChangeNumber, now: float) -> _Commands:
        """Send confirmations of a number that are complete or due, and end rounds."""
        for key, pending in list(self._rounds.items()):
            if pending.number == number:
                yield from self._report(key, pending, now)

    def _report(self, key: _Key, pending: Round, now: float) -> _Commands:
        pending.checked_at = now
        missing = pending.find_missing()
        if self.area.number < pending.number:
            missing |= {self.node}
        if not missing or now - pending.started_at >= ROUND_TIMEOUT_SECONDS:
            del self._rounds[key]
        if pending.sender is None:
            return
        if not missing or now - pending.reported_at >= REPORT_INTERVAL_SECONDS:
            pending.reported_at = now
            yield self._make_confirmation(pending, pending.sender, missing)

    def _make_confirmation(
        self, pending: Round, sender: Sender, missing: frozenset[ids.NodeId]
    ) -> _configuration_messages.ConfirmChanges:
        names = (
            frozenset({self.node}).union(*pending.members_by_relay.values()) - missing
        )
        return _configuration_messages.ConfirmChanges(
            peer=sender.node,
            address=sender.address,
            number=pending.number,
            names_sum=_sum_names(names),
            missing=tuple(sorted(missing)[:MAX_MISSING_NAMES]),
        )
