"""View that a node has of what all nodes run, from the views of its collectors."""

import attrs

from jujubepass import ids
from jujubepass.capacity import codec, collector, engine_index, own_use, view
from jujubepass.forwarding import board

# A view that is older gives way to that of another collector. Two views may be late.
_MAX_PREFERRED_AGE_SECONDS = 0.6
_MAX_AGE_SECONDS = 1.0
# Collectors of idle nodes send once a second. Their views hold for longer, but give way
# to others like the views of busy ones.
_IDLE_EXTENSION_SECONDS = 1.25
# A collector that reaches less than this share of the nodes that another one counts
# has been cut off or has just begun.
_MIN_COVERED_SHARE = 0.5
# Own reports that a view may contain.
_MAX_KEPT_REPORTS = 32


@attrs.define(kw_only=True)
class _Received:
    """Keep the last view of one collector."""

    content: codec.Content
    made_at: float
    echo: int
    is_idle: bool

    @property
    def preferred_until(self) -> float:
        """Return the time from which another collector's view is better."""
        return self.made_at + _MAX_PREFERRED_AGE_SECONDS

    @property
    def known_until(self) -> float:
        """Return the time from which the view tells nothing any more."""
        return self.made_at + _MAX_AGE_SECONDS + self.is_idle * _IDLE_EXTENSION_SECONDS


@attrs.define(kw_only=True)
class _Selected:
    """Describe what the other nodes run, by the view in use."""

    node: ids.NodeId
    """Collector whose view it is."""
    received: _Received
    until: float
    """Time at which the view must be chosen again."""
    own: codec.Content
    """Own report that the view contains."""
    is_late: bool
    """Whether another collector's view is better as soon as it arrives."""


@attrs.define(kw_only=True)
class SharedView:
    """Tell what all nodes run; implements view.View."""

    blackboard: board.Blackboard
    index: engine_index.EngineIndex
    own: own_use.OwnUse
    views_read: int = attrs.field(default=0, init=False)
    is_in_use: bool = attrs.field(default=False, init=False)
    """Whether this node shares what it runs."""
    _views: dict[ids.NodeId, _Received] = attrs.field(factory=dict, init=False)
    _reports: dict[int, codec.Content] = attrs.field(factory=dict, init=False)
    _selected: _Selected | None = attrs.field(default=None, init=False)
    _full: dict[bytes, float] = attrs.field(factory=dict, init=False)
    """Times until which engines count as full, by the digests of their runs."""
    _lines: dict[bytes, tuple[codec.Line, float]] = attrs.field(
        factory=dict, init=False
    )
    """Lines of other failure domains, with the times at which they were made."""

    def keep_report(self, number: int, content: codec.Content) -> None:
        """Remember an own report, which views will contain."""
        while len(self._reports) >= _MAX_KEPT_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._reports[number] = content

    def install(
        self,
        node: ids.NodeId,
        header: codec.Header,
        content: codec.Content,
        made_at: float,
    ) -> None:
        """Take the view of a collector."""
        self.views_read += 1
        self._views[node] = _Received(
            content=content,
            made_at=made_at,
            echo=header.echo,
            is_idle=header.is_idle,
        )
        if not self._is_second(node, content):
            self._selected = None
        for line in content.lines:
            self._add_line(line, made_at)

    def _is_second(self, node: ids.NodeId, content: codec.Content) -> bool:
        """Return whether a new view leaves the one in use as it is."""
        selected = self._selected
        if selected is None or selected.node == node or selected.is_late:
            return False
        order = [each.node for each in self.blackboard.members.neighbors]
        if selected.node not in order or node not in order:
            return False
        covered = selected.received.content.nodes
        return (
            order.index(selected.node) < order.index(node)
            and covered >= _MIN_COVERED_SHARE * content.nodes
        )

    def clear(self) -> None:
        """Forget all views, as none of them is renewed."""
        self._views.clear()
        self._lines.clear()
        self._full.clear()
        self._selected = None

    def add_full(self, digest: bytes, until: float, now: float) -> None:
        """Record that an engine rejected a request of some node."""
        until = min(until, now + codec.MAX_FULL_SECONDS)
        if until > now:
            self._full[digest] = max(until, self._full.get(digest, until))

    def list_full(self, now: float) -> dict[bytes, float]:
        """Return the seconds for which engines still count as full."""
        self._full = {
            digest: until for digest, until in self._full.items() if until > now
        }
        return {digest: until - now for digest, until in self._full.items()}

    def find_use(
        self, engine: ids.BackendServerId, now: float
    ) -> view.EngineUse | None:
        """Return the requests on an engine of this failure domain."""
        selected = self._select(now)
        listed = self.blackboard.backends.listed.get(engine)
        if selected is None or listed is None:
            return None
        # Other nodes of its own domain, which are not counted here, use it as well.
        if listed.failure_domain != self.blackboard.failure_domain:
            return None
        digest = self.index.find_digest(engine)
        content, before = selected.received.content, selected.own.uses
        running: float
        prefilling: float
        running, prefilling = self.own.find_use(engine)
        if digest is not None and digest in content.uses:
            total, own = content.uses[digest], before.get(digest, (0, 0))
            running += max(0, total[0] - own[0])
            prefilling += max(0, total[1] - own[1])
        if digest is not None and digest in content.foreign_uses:
            foreign = content.foreign_uses[digest]
            running, prefilling = running + foreign[0], prefilling + foreign[1]
        prefilling = min(prefilling, running)
        if not self.index.is_credible(listed, running, prefilling):
            self.index.absurd_counts += 1
            return None
        return view.EngineUse(running=running, prefilling=prefilling)

    def is_full(self, engine: ids.BackendServerId, now: float) -> bool:
        """Return whether an engine has just rejected a request of some node."""
        if not self._full or not self.is_in_use:
            return False
        digest = self.index.find_digest(engine)
        return digest is not None and now < self._full.get(digest, now)

    def find_demand(self, now: float) -> view.Demand | None:
        """Return what arrives, waits and ends in this failure domain."""
        selected = self._select(now)
        if selected is None:
            return None
        content = selected.received.content
        waiting = zip(
            content.waiting, selected.own.waiting, self.own.waiting, strict=True
        )
        return view.Demand(
            waiting=tuple(
                max(0, total - before) + own for total, before, own in waiting
            ),
            arrivals_per_second=tuple(
                max(0, total - own) + own
                for total, own in zip(
                    content.arrivals, selected.own.arrivals, strict=True
                )
            ),
            ends_per_second=max(0, content.ends - selected.own.ends)
            + selected.own.ends,
            nodes=content.nodes,
        )

    def list_domains(self, now: float) -> list[view.DomainLine]:
        """Return the lines of the other failure domains whose room is known."""
        names = {
            codec.make_digest(each): each for each in self.blackboard.members.sizes
        }
        return [
            view.DomainLine(
                domain=names[digest],
                free_places=line.free_places,
                waiting=tuple(float(each) for each in line.waiting),
                age_seconds=now - made_at,
            )
            for digest, (line, made_at) in self._lines.items()
            if line.free_places is not None
            and digest in names
            and now - made_at <= collector.MAX_LINE_AGE_SECONDS
        ]

    def find_collector(self, now: float) -> ids.NodeId | None:
        """Return the node whose view is in use, or None."""
        selected = self._select(now)
        return selected.node if selected is not None else None

    def find_age(self, now: float) -> float | None:
        """Return the age of the view in use in seconds, or None."""
        selected = self._select(now)
        return now - selected.received.made_at if selected is not None else None

    def count_covered(self, now: float) -> int:
        """Return how many nodes the view in use covers; 0 without one."""
        selected = self._select(now)
        return selected.received.content.nodes if selected is not None else 0

    def sum_use(self, now: float) -> tuple[float, float] | None:
        """Return the sums of requests running and being read on all engines."""
        if self._select(now) is None:
            return None
        uses = (self.find_use(each, now) for each in self.blackboard.backends.listed)
        found = [each for each in uses if each is not None]
        return sum(each.running for each in found), sum(
            each.prefilling for each in found
        )

    def _select(self, now: float) -> _Selected | None:
        """Return the view in use, which is chosen when its age requires it."""
        selected = self._selected
        if selected is not None and now < selected.until:
            return selected
        node = self._choose(now) if self.is_in_use else None
        self._selected = self._prepare(node, now) if node is not None else None
        return self._selected

    def is_known(self, now: float) -> bool:
        """Return whether there is a view that may be used."""
        return self.is_in_use and self._choose(now) is not None

    def _choose(self, now: float) -> ids.NodeId | None:
        """Return the first collector unless its view is late or covers few nodes."""
        turns = {
            each.node: turn
            for turn, each in enumerate(self.blackboard.members.neighbors)
        }
        for node in self._views.keys() - turns.keys():
            del self._views[node]
        # A view of this node alone tells nothing of the others.
        known = [
            (node, each)
            for node, each in self._views.items()
            if now <= each.known_until
            and each.content.nodes > (len(turns) > 1 and each.echo in self._reports)
        ]
        most = max((each.content.nodes for _, each in known), default=0)
        ranked = [
            (
                each.content.nodes < _MIN_COVERED_SHARE * most,
                now > each.preferred_until,
                turns[node],
                node,
            )
            for node, each in known
        ]
        return min(ranked)[-1] if ranked else None

    def _prepare(self, node: ids.NodeId, now: float) -> _Selected:
        received = self._views[node]
        own = self._reports.get(received.echo) or codec.Content()
        # A late view is in use as long as none is better; only one that arrives is.
        is_late = now > received.preferred_until
        return _Selected(
            node=node,
            received=received,
            until=received.known_until if is_late else received.preferred_until,
            own=own,
            is_late=is_late,
        )

    def _add_line(self, line: codec.Line, made_at: float) -> None:
        line_made_at = made_at - line.age_seconds
        known = self._lines.get(line.domain)
        if known is None or line_made_at > known[1]:
            self._lines[line.domain] = line, line_made_at
