"""Sum of the reports of a failure domain, kept by its collectors."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.capacity import codec, engine_index, inbox

# A report counts for this long; at the rate of a busy node it is repeated four times.
_REPORT_SECONDS = 1.0
# An idle node reports once a second, and its counts are zero: two reports may be lost.
_IDLE_REPORT_SECONDS = 3.25
# Lines of failure domains are sent once a second; two of them may be lost.
MAX_LINE_AGE_SECONDS = 3.0
# Nodes that do not report for this time get no view.
_RECEIVER_SECONDS = 3.25


@attrs.frozen(kw_only=True)
class _Report:
    content: codec.Content
    number: int
    made_at: float
    """Boot-clock time of this node at which the report was made."""
    is_idle: bool

    def is_fresh(self, now: float) -> bool:
        """Return whether the report still counts."""
        limit = _IDLE_REPORT_SECONDS if self.is_idle else _REPORT_SECONDS
        return now - self.made_at <= limit


@attrs.frozen(kw_only=True)
class _DomainReport:
    domain: ids.FailureDomainId
    content: codec.Content
    made_at: float


@attrs.define(kw_only=True)
class Collector:
    """Add up what the nodes of a failure domain report."""

    index: engine_index.EngineIndex
    reports_read: int = attrs.field(default=0, init=False)
    _reports: dict[ids.NodeId, _Report] = attrs.field(factory=dict, init=False)
    _domains: dict[ids.NodeId, _DomainReport] = attrs.field(factory=dict, init=False)
    """Reports of the collectors of other failure domains, by sender."""

    @property
    def has_reports(self) -> bool:
        """Return whether nodes report to this one."""
        return bool(self._reports)

    def add_message(self, message: inbox.Message, now: float) -> None:
        """Take a report, or the line of another failure domain."""
        made_at = now - message.age_seconds
        if message.header.kind is codec.Kind.DOMAIN:
            self._domains[message.member.node] = _DomainReport(
                domain=message.member.failure_domain,
                content=message.content,
                made_at=made_at,
            )
            return
        self.add_report(message.member.node, message.header, message.content, made_at)

    def add_report(
        self,
        node: ids.NodeId,
        header: codec.Header,
        content: codec.Content,
        made_at: float,
    ) -> None:
        """Replace a node's report."""
        self.reports_read += 1
        self._reports[node] = _Report(
            content=content,
            number=header.number,
            made_at=made_at,
            is_idle=header.is_idle,
        )

    def find_echo(self, node: ids.NodeId, now: float) -> int:
        """Return the number of a node's report that counts now; 0 if there is none."""
        report = self._reports.get(node)
        return report.number if report is not None and report.is_fresh(now) else 0

    def list_receivers(self, now: float) -> list[ids.NodeId]:
        """Return the nodes whose last report is recent, and forget the others."""
        for node, report in list(self._reports.items()):
            if now - report.made_at > _RECEIVER_SECONDS:
                del self._reports[node]
        return list(self._reports)

    def list_domain_senders(self, now: float) -> list[ids.NodeId]:
        """Return the nodes of other failure domains that sent their line lately."""
        self._remove_old_domains(now)
        return list(self._domains)

    def sum_reports(self, now: float) -> codec.Content:
        """Add up the reports that count now, and the use by other failure domains."""
        fresh = [each.content for each in self._reports.values() if each.is_fresh(now)]
        domains = self._find_latest_domains(now)
        return codec.Content(
            uses=self._add_uses((each.uses for each in fresh), now),
            foreign_uses=self._add_uses(
                (each.content.uses for each in domains.values()), now
            ),
            remote_uses=_add_remote_uses(each.remote_uses for each in fresh),
            waiting=_add_counts(each.waiting for each in fresh),
            arrivals=_add_counts(each.arrivals for each in fresh),
            ends=sum(each.ends for each in fresh),
            nodes=len(fresh),
        )

    def list_lines(self, now: float) -> tuple[codec.Line, ...]:
        """Return the lines of the other failure domains."""
        return tuple(
            attrs.evolve(line, age_seconds=now - report.made_at)
            for report in self._find_latest_domains(now).values()
            for line in report.content.lines[:1]
        )

    def _add_uses(
        self, uses: collections.abc.Iterable[codec.Uses], now: float
    ) -> codec.Uses:
        """Add up uses by engine, without invalid ones."""
        found: dict[bytes, tuple[int, int]] = {}
        for each in uses:
            for digest, use in each.items():
                if not self.index.is_valid(digest, use, now):
                    continue
                running, prefilling = found.get(digest, (0, 0))
                found[digest] = running + use[0], prefilling + use[1]
        return found

    def _find_latest_domains(
        self, now: float
    ) -> dict[ids.FailureDomainId, _DomainReport]:
        self._remove_old_domains(now)
        latest: dict[ids.FailureDomainId, _DomainReport] = {}
        for report in self._domains.values():
            known = latest.get(report.domain)
            if known is None or report.made_at > known.made_at:
                latest[report.domain] = report
        return latest

    def _remove_old_domains(self, now: float) -> None:
        for node, report in list(self._domains.items()):
            if now - report.made_at > MAX_LINE_AGE_SECONDS:
                del self._domains[node]


def _add_remote_uses(
    uses: collections.abc.Iterable[codec.RemoteUses],
) -> codec.RemoteUses:
    """Add up uses that the collectors of the engines' domains check."""
    found: dict[tuple[bytes, bytes], tuple[int, int]] = {}
    for each in uses:
        for key, use in each.items():
            running, prefilling = found.get(key, (0, 0))
            found[key] = running + use[0], prefilling + use[1]
    return found


def _add_counts(
    counts: collections.abc.Iterable[tuple[int, ...]],
) -> tuple[int, ...]:
    found = [0] * len(codec.NO_COUNTS)
    for each in counts:
        if each is not codec.NO_COUNTS:
            found = [one + other for one, other in zip(found, each, strict=True)]
    return tuple(found)
