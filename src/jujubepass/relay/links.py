"""Links over which nodes ask each other for rows."""

import logging
import secrets
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import clocks, feeds, members
from jujubepass.relay import area, codec, sources
from jujubepass.transport import _http_client, _http_server

_LOGGER = logging.getLogger(__name__)

PATH = "/v1/rows"
_WAIT_SECONDS = 1.0
# A first query and those of or to a node with old rows are answered at once. A node
# without rows waits for the first ones.
_FIRST_ANSWER_TIMEOUT_SECONDS = 0.4
_MAX_WAIT_SECONDS = 5.0
# A node that answers no query this long after its wait is taken for lost.
_ANSWER_MARGIN_SECONDS = 0.5
# Interval at which a node that reads the store checks whether another one may serve it.
_CHECK_INTERVAL_SECONDS = 0.5
# Delay between queries while no known node has fresh rows; it doubles each time.
_MIN_STALE_BACKOFF_SECONDS = 0.05
_MAX_STALE_BACKOFF_SECONDS = 0.2
_FORBIDDEN = 403
_OK = 200


class LinkError(Exception):
    """Signal that a node gave no valid answer."""


class Transport(typing.Protocol):
    """Carry a query to another node; raises LinkError."""

    async def ask(
        self, address: _http_client.Address, data: bytes, timeout_seconds: float
    ) -> bytes:
        """Send a query and return the answer."""


@attrs.frozen(kw_only=True)
class HttpTransport:
    """Carry queries over HTTP."""

    client: _http_client.Client

    async def ask(
        self, address: _http_client.Address, data: bytes, timeout_seconds: float
    ) -> bytes:
        """Send a query and return the answer."""
        try:
            answer = await self.client.request(
                "POST",
                address,
                PATH,
                body=data,
                timeout_seconds=timeout_seconds,
                once=True,
            )
        except _http_client.ClientError as error:
            raise LinkError(str(error)) from error
        if answer.status != _OK:
            raise LinkError(f"answered {answer.status}")
        return answer.body


@attrs.define(kw_only=True)
class RelayServer:
    """Answer the queries of other nodes."""

    node: ids.NodeId
    area: area.RelayArea
    controller: sources.SourceController
    token: str
    answered: int = attrs.field(default=0, init=False)
    rejected: int = attrs.field(default=0, init=False)

    async def __call__(
        self, request: _http_server.Request, responder: _http_server.Responder
    ) -> None:
        """Answer a query over HTTP."""
        try:
            data = await self.answer(request.body)
        except codec.MessageError as error:
            _LOGGER.warning(
                "query for rows rejected",
                extra={"peer": request.peer, "detail": str(error)},
            )
            await responder.send(_FORBIDDEN, b"")
            return
        await responder.send(_OK, data, content_type="application/octet-stream")

    async def answer(self, data: bytes) -> bytes:
        """Wait for news and return the report; raises codec.MessageError."""
        try:
            query = codec.read_query(data, self.token)
        except codec.MessageError:
            self.rejected += 1
            raise
        self.controller.record_offer(ids.NodeId(query.node), query.row_age_seconds)
        with trio.move_on_after(min(query.wait_seconds, _MAX_WAIT_SECONDS)):
            while not self._has_news(query):
                await self.area.wait()
        self.answered += 1
        report = codec.Report(
            nonce=query.nonce,
            now=clocks.read_boot_clock(),
            changes={
                name: self._find_changes(name, position)
                for name, position in query.positions.items()
                if name in self.area.histories
                and self.area.histories[name].version is not None
            },
        )
        return codec.write_report(report, self.token)

    def _find_changes(self, name: str, position: codec.Position) -> feeds.RowChanges:
        history = self.area.histories[name]
        changes = history.find_since(position.version, position.era)
        return attrs.evolve(
            changes, origin=changes.origin or self.node, hops=changes.hops + 1
        )

    def _has_news(self, query: codec.Query) -> bool:
        return any(
            known.version is not None
            and (
                position.confirmed_at is None
                or known.confirmed_at > position.confirmed_at
            )
            for name, position in query.positions.items()
            if (known := self.area.histories.get(name)) is not None
        )


@attrs.define(kw_only=True)
class _Link:
    """Track what one node has reported, and its clock."""

    node: ids.NodeId
    token: str
    clock: clocks.RemoteClock = attrs.field(factory=clocks.RemoteClock)
    confirmed_at: dict[str, float] = attrs.field(factory=dict)
    """Confirmations of its tables, on its clock."""
    configuration_confirmed_at: float = float("-inf")
    """Confirmation of its configuration, on the local clock."""
    configuration_origin: str = ""
    """Node that read its configuration from the store."""
    configuration_hops: int = 0
    """Number of nodes that passed its configuration on."""
    is_stale: bool = False
    """Whether the rows of its last answer were old."""


@attrs.define(kw_only=True)
class RelayLink:
    """Ask the chosen node for rows, one query at a time."""

    area: area.RelayArea
    controller: sources.SourceController
    transport: Transport
    queries: int = attrs.field(default=0, init=False)
    failures: int = attrs.field(default=0, init=False)
    _link: _Link | None = attrs.field(default=None, init=False)
    _stale_backoff_seconds: float = attrs.field(default=0.0, init=False)

    async def run(self) -> None:
        """Ask for rows until cancelled."""
        while True:
            now = clocks.read_boot_clock()
            source = self.controller.choose(now, self._find_row_age(now))
            if source is None:
                self._link = None
                with trio.move_on_after(_CHECK_INTERVAL_SECONDS):
                    await self.area.wait()
                continue
            await self._ask(source)

    def _find_row_age(self, now: float) -> float:
        return now - self.area.histories[area.REFERENCE_FEED_NAME].confirmed_at

    async def _ask(self, source: members.Member) -> None:
        link = self._link
        if link is None or link.node != source.node or link.token != source.token:
            link = self._link = _Link(node=source.node, token=source.token)
        self.queries += 1
        sent_at = clocks.read_boot_clock()
        try:
            report = await self._exchange(source, link, sent_at)
        except (LinkError, codec.MessageError, trio.TooSlowError) as error:
            self.failures += 1
            self._link = None
            now = clocks.read_boot_clock()
            self.controller.record_silence(source, now, str(error) or "no answer")
            return
        now = clocks.read_boot_clock()
        hops_before = self.area.histories[area.REFERENCE_FEED_NAME].hops
        self._apply(report, link, sent_at, now)
        age = now - link.configuration_confirmed_at
        answer = sources.Answer(
            node=source.node,
            row_age_seconds=age,
            origin=link.configuration_origin,
            is_nearer=link.configuration_hops <= hops_before + 1,
        )
        self.controller.record_answer(answer, now)
        link.is_stale = age > self.controller.find_max_row_age()
        if not link.is_stale:
            self._stale_backoff_seconds = 0.0
            return
        backoff = max(_MIN_STALE_BACKOFF_SECONDS, 2.0 * self._stale_backoff_seconds)
        self._stale_backoff_seconds = min(backoff, _MAX_STALE_BACKOFF_SECONDS)
        await trio.sleep(self._stale_backoff_seconds)

    async def _exchange(
        self, source: members.Member, link: _Link, sent_at: float
    ) -> codec.Report:
        assert source.address is not None
        has_rows = self.area.histories[area.REFERENCE_FEED_NAME].version is not None
        is_old = self._find_row_age(sent_at) > self.controller.find_max_row_age()
        is_immediate = has_rows and (is_old or link.is_stale or not link.confirmed_at)
        wait_seconds = 0.0 if is_immediate else _WAIT_SECONDS
        query = codec.Query(
            nonce=secrets.token_hex(8),
            node=self.controller.blackboard.node,
            row_age_seconds=self._find_row_age(sent_at),
            wait_seconds=wait_seconds,
            positions={
                name: codec.Position(
                    version=each.version,
                    era=each.era,
                    confirmed_at=link.confirmed_at.get(name),
                )
                for name, each in self.area.histories.items()
            },
        )
        timeout_seconds = (
            _FIRST_ANSWER_TIMEOUT_SECONDS
            if is_immediate
            else wait_seconds + _ANSWER_MARGIN_SECONDS
        )
        with trio.fail_after(timeout_seconds):
            data = await self.transport.ask(
                source.address,
                codec.write_query(query, source.token),
                timeout_seconds,
            )
        return codec.read_report(data, source.token, query.nonce)

    def _apply(
        self, report: codec.Report, link: _Link, sent_at: float, now: float
    ) -> None:
        # The node's clock was read after the query was sent, so that the difference
        # bounds the local time of everything on that clock.
        reported_at = min(now, link.clock.bound_local_time(report.now, sent_at))
        for name, changes in report.changes.items():
            if name not in self.area.histories:
                continue
            link.confirmed_at[name] = changes.confirmed_at
            age = max(0.0, report.now - changes.confirmed_at)
            confirmed_at = reported_at - age
            if name == area.REFERENCE_FEED_NAME:
                link.configuration_confirmed_at = confirmed_at
                link.configuration_origin = changes.origin
                link.configuration_hops = changes.hops
            self.area.apply(name, attrs.evolve(changes, confirmed_at=confirmed_at))
