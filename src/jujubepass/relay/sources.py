"""Choice of where a node reads the store's rows: the store or another node.

The nodes of a failure domain form a tree in an order that all derive from their rows;
its first ones, the readers, read the store.
"""

import enum
import logging
import math
import random

import attrs

from jujubepass import ids
from jujubepass.forwarding import board, members
from jujubepass.relay import area

_LOGGER = logging.getLogger(__name__)

READERS_PER_DOMAIN = 2
_CHILDREN_PER_NODE = 8
# Readers of a tree wait for half of the time in which a change must apply, so that the
# rows that they pass on are confirmed twice as often as those of a node that reads for
# itself. Trees pay for that in failure domains of more nodes than twice the readers.
_DIRECT_WAIT_SECONDS = 2.0
_TREE_WAIT_SHARE = 0.5
_MIN_TREE_NODES = 2 * READERS_PER_DOMAIN + 1
# Shares of the time at which a node of a tree tries other sources, and range of those
# at which it reads the store itself.
_TREE_ROW_AGE_SHARE = 0.55
_TREE_READ_AGE_SHARES = (0.6, 0.7)
_DIRECT_ROW_AGE_SECONDS = 2.2
_DIRECT_READ_AGES_SECONDS = (2.3, 2.8)
# Keys are accepted until the configuration's age is 0.6 of the time for revoked keys.
_REVOCATION_SHARE = 0.5
_STALE_SECONDS = 0.3
# A node whose parent has old rows stays with another one for this long, then it asks
# the parent again.
_SUBSTITUTE_SECONDS = 2.0
_MIN_SILENCE_SECONDS = 2.0
_MAX_SILENCE_SECONDS = 60.0
# While the store is away, the nodes that are not readers together read each table this
# often.
_OUTAGE_READS_PER_SECOND = 20.0
_MIN_OUTAGE_INTERVAL_SECONDS = 0.5


class ReadReason(enum.Enum):
    """Enumerate why a node reads the store itself."""

    START = "start"
    """No rows are known yet, or the store has lost its history."""
    READER = "reader"
    SUBSTITUTE = "substitute"
    """The readers have old rows, and the store serves this node."""
    ROWS_OLD = "rows_old"
    """No other node has had newer rows for too long."""
    FAILED = "failed"
    """A read as a reader or for old rows had no usable answer."""


@attrs.define(kw_only=True)
class _Silence:
    token: str
    """Token of the node's process; a new process is asked at once."""
    until: float
    times: int = 1


@attrs.frozen(kw_only=True)
class Answer:
    """Describe the configuration's rows that a node answered with."""

    node: ids.NodeId
    row_age_seconds: float
    origin: str
    """Node that read the rows from the store."""
    is_nearer: bool
    """Whether no more nodes passed them on than the rows that this node had."""


@attrs.frozen(kw_only=True)
class _Predecessors:
    """List the available nodes before this one in the order of all."""

    neighbors: tuple[members.Member, ...]
    """Nodes of the failure domain of which they are some."""
    valid_until: float
    """Boot-clock time at which the first silence among them ends."""
    nodes: tuple[members.Member, ...] | None
    """None if this node's own row was not read back yet."""


@attrs.define(kw_only=True)
class SourceController:
    """Choose the source of rows by rank, silence and age."""

    blackboard: board.Blackboard
    is_enabled: bool = True
    """Whether this node takes part; otherwise it reads the store."""
    random_source: random.Random = attrs.field(factory=random.Random)
    changes: int = attrs.field(default=0, init=False)
    _silences: dict[ids.NodeId, _Silence] = attrs.field(factory=dict, init=False)
    _stale_until: dict[ids.NodeId, float] = attrs.field(factory=dict, init=False)
    _chosen: ids.NodeId | None = attrs.field(default=None, init=False)
    _substitute: ids.NodeId | None = attrs.field(default=None, init=False)
    """Node that had newer rows than the parent."""
    _substitute_until: float = attrs.field(default=float("-inf"), init=False)
    _offer: ids.NodeId | None = attrs.field(default=None, init=False)
    """Node that asked last while it had fresh rows."""
    _watched_reader: int = attrs.field(default=0, init=False)
    """Reader that this node asks while it reads as a substitute."""
    _is_watched_stale: bool = attrs.field(default=False, init=False)
    _reads_as_substitute: bool = attrs.field(default=False, init=False)
    _has_failed_reference: bool = attrs.field(default=False, init=False)
    """Whether the last read of the reference table failed."""
    _predecessors: _Predecessors | None = attrs.field(default=None, init=False)
    """Those found last; None once silences have changed."""

    def choose(self, now: float, row_age_seconds: float) -> members.Member | None:
        """Return the node to read from; None to read the store.

        `row_age_seconds` is the age of the rows that this node has.
        """
        parent = self._find_parent(now)
        if row_age_seconds > self.find_max_row_age():
            source = self._find_fresher(parent, now)
        else:
            source = self._find_substitute(parent, now) or parent
        self._record_choice(source)
        return source

    def _is_tree(self) -> bool:
        """Return whether rows are passed on in this failure domain."""
        neighbors = self.blackboard.members.neighbors
        return self.is_enabled and len(neighbors) >= _MIN_TREE_NODES

    def find_wait(self, bound_seconds: float) -> float:
        """Return a reader's wait for changes that must apply within a time."""
        if not self._is_tree():
            return _DIRECT_WAIT_SECONDS
        return min(_DIRECT_WAIT_SECONDS, _TREE_WAIT_SHARE * bound_seconds)

    def find_read_ages(self, bound_seconds: float) -> tuple[float, float]:
        """Return the range of ages at which a node reads the store itself."""
        if not self._is_tree():
            return _DIRECT_READ_AGES_SECONDS
        least, most = _TREE_READ_AGE_SHARES
        return least * bound_seconds, most * bound_seconds

    def find_configuration_bound(self) -> float:
        """Return the time in which a changed configuration must apply, in seconds."""
        bounds = self.blackboard.bounds
        return 0.001 * min(
            bounds.configuration_milliseconds,
            _REVOCATION_SHARE * bounds.revocation_milliseconds,
        )

    def find_drain_bound(self) -> float:
        """Return the time in which a leaving server must be left, in seconds."""
        return 0.001 * self.blackboard.bounds.drain_milliseconds

    def find_max_row_age(self) -> float:
        """Return the configuration's age at which other sources are tried."""
        if not self._is_tree():
            return _DIRECT_ROW_AGE_SECONDS
        return _TREE_ROW_AGE_SHARE * self.find_configuration_bound()

    def is_reader(self, now: float) -> bool:
        """Return whether this node reads the store, as none before it answers."""
        return self._find_parent(now) is None

    def has_others(self, now: float) -> bool:
        """Return whether another node of the failure domain may answer."""
        return any(
            each.node != self.blackboard.node and self._is_available(each, now)
            for each in self.blackboard.members.neighbors
        )

    def find_outage_interval(self) -> float:
        """Return the interval of reads while the store fails."""
        area = self.blackboard.members
        first = [each.node for each in area.neighbors[:READERS_PER_DOMAIN]]
        if self.blackboard.node in first or not self._is_tree():
            return _MIN_OUTAGE_INTERVAL_SECONDS
        return members.share_interval(
            len(area.nodes),
            per_second=_OUTAGE_READS_PER_SECOND,
            least=_MIN_OUTAGE_INTERVAL_SECONDS,
        )

    def count_readers(self) -> int:
        """Return how many nodes read the store while all answer."""
        sizes = self.blackboard.members.sizes.values()
        if not self.is_enabled:
            return sum(sizes)
        return sum(
            READERS_PER_DOMAIN if size >= _MIN_TREE_NODES else size for size in sizes
        )

    def is_substitute(self) -> bool:
        """Return whether this node reads the store for readers that cannot."""
        return self._reads_as_substitute

    def record_answer(self, answer: Answer, now: float) -> None:
        """Record that a node answered, and choose between it and the parent."""
        if self._silences.pop(answer.node, None) is not None:
            self._predecessors = None
        is_fresh = answer.row_age_seconds <= self.find_max_row_age()
        if not is_fresh:
            self._stale_until[answer.node] = now + _STALE_SECONDS
        elif self._precedes(answer.origin):
            self._reads_as_substitute = False
        elif self._is_watched_stale:
            # This reader is served now; the next one may not be.
            self._watched_reader = (self._watched_reader + 1) % READERS_PER_DOMAIN
        self._is_watched_stale = self._reads_as_substitute and not is_fresh
        parent = self._find_parent(now)
        if parent is not None and answer.node == parent.node:
            # Rows that more nodes passed on may have come from this one.
            if is_fresh and answer.is_nearer:
                self._substitute = None
            else:
                self._substitute_until = now + _SUBSTITUTE_SECONDS
        elif not is_fresh:
            if answer.node == self._substitute:
                self._substitute = None
        elif answer.node != self._substitute:
            # The parent is asked once more: it learns from the query that this node has
            # fresh rows.
            self._substitute = answer.node
            self._substitute_until = now

    def record_offer(self, node: ids.NodeId, row_age_seconds: float) -> None:
        """Record how old the rows of a node are that asked this one."""
        if row_age_seconds <= self.find_max_row_age():
            self._offer = node

    def record_read(self, reason: ReadReason) -> None:
        """Record that the store served this node."""
        self._has_failed_reference = False
        self._substitute = None
        if reason is ReadReason.ROWS_OLD:
            self._reads_as_substitute = True
            self._watched_reader = self.random_source.randrange(READERS_PER_DOMAIN)

    def record_silence(self, source: members.Member, now: float, detail: str) -> None:
        """Leave a node out of the order, for longer each time."""
        known = self._silences.get(source.node)
        is_known = known is not None and known.token == source.token
        times = known.times + 1 if known is not None and is_known else 1
        seconds = _MIN_SILENCE_SECONDS * math.exp2(times - 1)
        seconds = min(_MAX_SILENCE_SECONDS, seconds)
        self._silences[source.node] = _Silence(
            token=source.token, until=now + seconds, times=times
        )
        self._predecessors = None
        _LOGGER.info(
            "node gave no rows",
            extra={"source": source.node, "seconds": seconds, "detail": detail},
        )

    def _find_parent(self, now: float) -> members.Member | None:
        if not self._is_tree():
            return None
        before = self._find_predecessors(now)
        if before is None or len(before) < READERS_PER_DOMAIN:
            return None
        if self._reads_as_substitute:
            # The reader learns from its queries that this node has fresh rows.
            return before[self._watched_reader]
        return before[(len(before) - READERS_PER_DOMAIN) // _CHILDREN_PER_NODE]

    def _find_predecessors(self, now: float) -> tuple[members.Member, ...] | None:
        """Return the available nodes before this one; None without an own row."""
        neighbors = self.blackboard.members.neighbors
        known = self._predecessors
        if (
            known is not None
            and known.neighbors is neighbors
            and now < known.valid_until
        ):
            return known.nodes
        names = [each.node for each in neighbors]
        nodes = None
        if self.blackboard.node in names:
            before = neighbors[: names.index(self.blackboard.node)]
            nodes = tuple(each for each in before if self._is_available(each, now))
        ends = (each.until for each in self._silences.values() if each.until > now)
        self._predecessors = _Predecessors(
            neighbors=neighbors,
            valid_until=min(ends, default=math.inf),
            nodes=nodes,
        )
        return nodes

    def _find_fresher(
        self, parent: members.Member | None, now: float
    ) -> members.Member | None:
        """Return a node that may have newer rows than the parent, if there is one.

        A reader asks others too, as the store may serve them and not this node.
        """
        if not self.is_enabled:
            return None
        if parent is not None and now >= self._stale_until.get(parent.node, now):
            return parent
        others = [
            each
            for each in self.blackboard.members.neighbors
            if each.node != self.blackboard.node
            and self._is_available(each, now)
            and now >= self._stale_until.get(each.node, now)
        ]
        offered = (each for each in others if each.node == self._offer)
        if (offering := next(offered, None)) is not None:
            return offering
        return self.random_source.choice(others) if others else parent

    def record_failed_read(self, name: str) -> None:
        """Record that the store did not serve this node a table."""
        self._reads_as_substitute = False
        if name == area.REFERENCE_FEED_NAME:
            self._has_failed_reference = True

    def is_read_pointless(self, name: str, reason: ReadReason) -> bool:
        """Return whether to read no table but the reference, as its last read failed.

        Each call to a store that is away is charged. Readers also try the list, which
        may have changed most when the store returns.
        """
        if name == area.REFERENCE_FEED_NAME or not self._has_failed_reference:
            return False
        return reason is not ReadReason.READER or name != area.BACKENDS_FEED_NAME

    def _precedes(self, origin: str) -> bool:
        """Return whether a node stands before this one in the order of all."""
        for each in self.blackboard.members.neighbors:
            if each.node in (origin, self.blackboard.node):
                return each.node != self.blackboard.node
        return False

    def _find_substitute(
        self, parent: members.Member | None, now: float
    ) -> members.Member | None:
        if parent is not None and now >= self._substitute_until:
            return None
        return next(
            (
                each
                for each in self.blackboard.members.neighbors
                if each.node == self._substitute and self._is_available(each, now)
            ),
            None,
        )

    def _is_available(self, node: members.Member, now: float) -> bool:
        silence = self._silences.get(node.node)
        is_silent = (
            silence is not None and silence.token == node.token and now < silence.until
        )
        return node.address is not None and not is_silent

    def _record_choice(self, source: members.Member | None) -> None:
        chosen = source.node if source is not None else None
        if chosen == self._chosen:
            return
        _LOGGER.info(
            "source of rows changed",
            extra={"before": self._chosen or "store", "source": chosen or "store"},
        )
        self._chosen = chosen
        self.changes += 1
