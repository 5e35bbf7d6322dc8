"""Digests that name the listed runs of engines in datagrams."""

import attrs

from jujubepass import ids
from jujubepass.capacity import codec
from jujubepass.forwarding import backends, board

# A request beyond its slots waits at the engine; larger counts are faults.
_MAX_SLOT_FACTOR = 4
# Bounds the cost of counts that name no listed engine.
_RENEWAL_INTERVAL_SECONDS = 0.25
# Only collectors renew the index; other nodes forget engines that have gone once they
# outnumber the listed ones.
_MAX_KEPT_FACTOR = 2


@attrs.define(kw_only=True)
class EngineIndex:
    """Translate between listed engines and digests of their runs."""

    blackboard: board.Blackboard
    unknown_engines: int = attrs.field(default=0, init=False)
    """Counts of engines that are not listed, or of another run."""
    absurd_counts: int = attrs.field(default=0, init=False)
    _digests: dict[ids.BackendServerId, tuple[int, bytes]] = attrs.field(
        factory=dict, init=False
    )
    """Start and digest of the run that each engine had last."""
    _names: dict[bytes, ids.BackendServerId] = attrs.field(factory=dict, init=False)
    """Engines of this failure domain; only collectors need them."""
    _revision: int = attrs.field(default=-1, init=False)
    _renewed_at: float = attrs.field(default=float("-inf"), init=False)
    _slots: dict[ids.ServiceId, int] = attrs.field(factory=dict, init=False)
    _declared: object = attrs.field(default=None, init=False)

    def find_digest(self, name: ids.BackendServerId) -> bytes | None:
        """Return the digest of an engine's listed run."""
        engine = self.blackboard.backends.listed.get(name)
        if engine is None:
            return None
        known = self._digests.get(name)
        if known is not None and known[0] == engine.started_at:
            return known[1]
        digest = codec.make_digest(f"{name}/{engine.started_at}")
        self._digests[name] = engine.started_at, digest
        if len(self._digests) > _MAX_KEPT_FACTOR * len(self.blackboard.backends.listed):
            self._remove_unlisted()
        return digest

    def is_valid(self, digest: bytes, use: tuple[int, int], now: float) -> bool:
        """Return whether a count is one of a domain's engine; count others."""
        engine = self._find_engine(digest, now)
        if engine is None:
            self.unknown_engines += 1
            return False
        if not self.is_credible(engine, use[0], use[1]):
            self.absurd_counts += 1
            return False
        return True

    def is_credible(
        self, engine: backends.Backend, running: float, prefilling: float
    ) -> bool:
        """Return whether an engine can have so many requests."""
        declared = self.blackboard.configuration.declarations
        if declared is not self._declared:
            services = declared.find_model_services() if declared else []
            self._slots = {
                each.name: each.model.slots for each in services if each.model
            }
            self._declared = declared
        slots = max(engine.slots, self._slots.get(engine.service, 1))
        return 0 <= prefilling <= running <= _MAX_SLOT_FACTOR * slots

    def _find_engine(self, digest: bytes, now: float) -> backends.Backend | None:
        """Return the engine of this domain whose listed run a digest names."""
        name = self._names.get(digest)
        if name is None:
            self._renew(now)
            name = self._names.get(digest)
        if name is None or self.find_digest(name) != digest:
            return None
        return self.blackboard.backends.listed[name]

    def _renew(self, now: float) -> None:
        """Index the engines that are listed now."""
        area = self.blackboard.backends
        if (
            area.revision == self._revision
            or now - self._renewed_at < _RENEWAL_INTERVAL_SECONDS
        ):
            return
        self._revision, self._renewed_at = area.revision, now
        self._remove_unlisted()
        domain = self.blackboard.failure_domain
        self._names = {}
        for engine in area.listed.values():
            if engine.failure_domain == domain:
                digest = self.find_digest(engine.name)
                if digest is not None:
                    self._names[digest] = engine.name

    def _remove_unlisted(self) -> None:
        for name in self._digests.keys() - self.blackboard.backends.listed.keys():
            del self._digests[name]
