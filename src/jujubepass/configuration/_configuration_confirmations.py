"""Counts back along a push's segments which nodes have a change in force."""

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

ANSWER_SECONDS = 1.0
SILENT_SECONDS = 2.0
ROUND_SECONDS = 10.0
NAMED_NODES = 64

_LOOK_SECONDS = 0.25
_LARGEST_ROUNDS = 64
_HASH_BYTES = 7
_SUM_MODULUS = 1 << 63
_KEPT_HASHES = 4_096

_Key = tuple[ids.ChangeNumber, ids.NodeId | None]
_Commands = collections.abc.Iterator[_configuration_messages.ConfirmChanges]


@functools.lru_cache(maxsize=_KEPT_HASHES)
def _hash_name(name: ids.NodeId) -> int:
    data = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(data)


def _sum_names(names: collections.abc.Iterable[ids.NodeId]) -> int:
    return sum(map(_hash_name, names)) % _SUM_MODULUS


@attrs.frozen(kw_only=True)
class Sender:
    """Name the node that waits for the count."""

    node: ids.NodeId
    address: _http_client.Address


@attrs.define(kw_only=True)
class Round:
    """Hold what is known of one push and the nodes behind each relay."""

    entries: tuple[_configuration_messages.Entry, ...]
    number: ids.ChangeNumber
    sender: Sender | None
    started_at: float
    answered_at: float
    pushed_at: float
    looked_at: float
    behind: dict[ids.NodeId, frozenset[ids.NodeId]]
    confirmed: dict[ids.NodeId, frozenset[ids.NodeId]] = attrs.field(factory=dict)

    def find_missing(self) -> frozenset[ids.NodeId]:
        """Find the nodes behind the relays that are not known to have the change."""
        behind = frozenset[ids.NodeId]().union(*self.behind.values())
        return behind.difference(*self.confirmed.values())

    def find_stranded(self) -> frozenset[ids.NodeId]:
        """Find the missing nodes behind relays that gave no word."""
        stranded = frozenset[ids.NodeId]().union(
            *(self.behind[name] for name in self.behind.keys() - self.confirmed.keys())
        )
        return (stranded & self.find_missing()) - self.behind.keys()


@attrs.define(kw_only=True)
class Confirmations:
    """Keep the rounds of this node's pushes, each for a bounded time."""

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
        """Wait for the words of the relays that entries go to."""
        number = max(entry.number for entry in entries)
        key = (number, sender.node if sender is not None else None)
        self._rounds.pop(key, None)
        if len(self._rounds) >= _LARGEST_ROUNDS:
            del self._rounds[next(iter(self._rounds))]
        self._rounds[key] = Round(
            entries=entries,
            number=number,
            sender=sender,
            started_at=now,
            answered_at=now,
            pushed_at=now,
            looked_at=now,
            behind={relay.node: relay.members for relay in relays},
        )

    def note(self, event: _configuration_messages.ChangesConfirmed) -> None:
        """Keep a relay's word, if it accounts for each node behind the relay."""
        for held in self._rounds.values():
            if held.number == event.number and event.node in held.behind:
                self._note(held, event)

    def _note(
        self, held: Round, event: _configuration_messages.ChangesConfirmed
    ) -> None:
        behind = held.behind[event.node]
        confirmed = behind - frozenset(event.missing)
        if _sum_names(confirmed) != event.names_sum:
            return
        held.confirmed[event.node] = confirmed
        if held.sender is None:
            self.installer.note_confirmed(confirmed, event.number)

    def list_due(self, now: float) -> list[Round]:
        """List the rounds whose relays have had their time to give word."""
        due = [
            held
            for held in self._rounds.values()
            if now - held.pushed_at >= SILENT_SECONDS
        ]
        for held in due:
            held.pushed_at = now
        return due

    def answer_due(self, now: float) -> _Commands:
        """Send words that are whole or due, of each round in turn."""
        for key, held in list(self._rounds.items()):
            if now - held.looked_at >= _LOOK_SECONDS:
                yield from self._answer(key, held, now)

    def answer(self, number: ids.ChangeNumber, now: float) -> _Commands:
        """Send the words on a number that are whole or due, and end rounds."""
        for key, held in list(self._rounds.items()):
            if held.number == number:
                yield from self._answer(key, held, now)

    def _answer(self, key: _Key, held: Round, now: float) -> _Commands:
        held.looked_at = now
        missing = held.find_missing()
        if self.area.number < held.number:
            missing |= {self.node}
        if not missing or now - held.started_at >= ROUND_SECONDS:
            del self._rounds[key]
        if held.sender is None:
            return
        if not missing or now - held.answered_at >= ANSWER_SECONDS:
            held.answered_at = now
            yield self._make_word(held, held.sender, missing)

    def _make_word(
        self, held: Round, sender: Sender, missing: frozenset[ids.NodeId]
    ) -> _configuration_messages.ConfirmChanges:
        names = frozenset({self.node}).union(*held.behind.values()) - missing
        return _configuration_messages.ConfirmChanges(
            peer=sender.node,
            address=sender.address,
            number=held.number,
            names_sum=_sum_names(names),
            missing=tuple(sorted(missing)[:NAMED_NODES]),
        )
