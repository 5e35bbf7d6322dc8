"""Attempts that callers left, kept until the end of a server shows that they matter."""

import collections
import collections.abc

import attrs

from jujubepass.quarantine import fingerprints, suspects

_KEPT_SECONDS = 10.0
_MAX_KEPT = 256
_MAX_BODY_BYTES = 8_388_608


@attrs.frozen(kw_only=True, eq=False)
class Abandonment:
    """Describe an attempt that its caller left before it was proven."""

    identity: fingerprints.Identity
    parts: tuple[suspects.PartKey, ...]
    runs: frozenset[suspects.ServerRun]
    left_at: float


@attrs.define(kw_only=True)
class Abandonments:
    """Keep the last attempts that callers left, without identifying their requests."""

    _kept: collections.deque[Abandonment] = attrs.field(
        factory=collections.deque, init=False
    )

    def add(self, each: Abandonment) -> bool:
        """Keep an attempt; return whether one at the same request is kept already."""
        self._drop_old(each.left_at)
        is_known = any(each.identity.equals(other.identity) for other in self._kept)
        self._kept.append(each)
        while len(self._kept) > _MAX_KEPT or self._count_bytes() > _MAX_BODY_BYTES:
            self._kept.popleft()
        return is_known

    def take(self, now: float) -> collections.abc.Iterable[Abandonment]:
        """Return and forget the attempts that may have ended a server by now."""
        self._drop_old(now)
        found, self._kept = self._kept, collections.deque()
        return found

    def _drop_old(self, now: float) -> None:
        while self._kept and now - self._kept[0].left_at > _KEPT_SECONDS:
            self._kept.popleft()

    def _count_bytes(self) -> int:
        return sum(len(each.identity.body) for each in self._kept)
