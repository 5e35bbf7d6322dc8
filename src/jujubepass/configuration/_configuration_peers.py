"""Controller that pushes changes between nodes and repairs missed changes."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages
from jujubepass.configuration import (
    _configuration_confirmations,
    _configuration_installer,
    _configuration_messages,
    _configuration_push,
)
from jujubepass.membership import _membership_area, _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.transport import _http_client

MAX_PAGE_SECTIONS = 1_000

_REQUEST_INTERVAL_SECONDS = 1.0
_ADVERTISEMENT_TIMEOUT_SECONDS = 5.0
_PEER_START_DELAY_SECONDS = 1.0
_MAX_ENTRIES_PER_REPLY = 100

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class _Advertisement:
    number: ids.ChangeNumber
    ready: bool
    received_at: float


@attrs.define(kw_only=True)
class _PageCollection:
    number: ids.ChangeNumber
    digest: str
    sections: dict[str, _configuration_messages.Section]
    last_title: str = ""


@attrs.define(kw_only=True)
class PeerConfigurationController:
    """Forward pushed changes, serve peers' requests and request missing changes."""

    blackboard: _blackboard.Blackboard
    installer: _configuration_installer.Installer
    address: _http_client.Address
    _confirmations: _configuration_confirmations.Confirmations = attrs.field(init=False)
    _targets: dict[ids.NodeId, _configuration_push.Target] = attrs.field(
        factory=dict, init=False
    )
    _advertisements: dict[ids.NodeId, _Advertisement] = attrs.field(
        factory=dict, init=False
    )
    _first_ready_at: float | None = attrs.field(default=None, init=False)
    _requested_at: float = attrs.field(default=float("-inf"), init=False)
    _collection: _PageCollection | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._confirmations = _configuration_confirmations.Confirmations(
            area=self.blackboard.configuration,
            installer=self.installer,
            node=ids.NodeId(self.blackboard.identity.node),
        )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _backend_messages.VmsListed: self.update_targets,
            _membership_messages.HeartbeatReceived: self.compare_numbers,
            _node_messages.Tick: self.handle_tick,
            _configuration_messages.ChangesConfirmed: self.record_confirmation,
            _configuration_messages.ChangeCommitted: self.push,
            _configuration_messages.ChangesPushed: self.install_pushed,
            _configuration_messages.ChangesAsked: self.send_changes,
            _configuration_messages.PageAsked: self.send_page,
            _configuration_messages.PageReceived: self.collect_page,
        }

    def update_targets(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Update the locations and addresses of the nodes."""
        self._targets = {
            ids.NodeId(vm.name): _configuration_push.Target(
                location=(vm.region, vm.failure_domain, vm.name), address=vm.address
            )
            for vm in event.vms
            if vm.role is _backend_messages.VmRole.NODE
        }
        return ()

    def push(
        self, event: _configuration_messages.ChangeCommitted, now: float
    ) -> _Commands:
        """Push an accepted change to the relay of each segment."""
        relays = self._choose_relays(None)
        self._confirmations.open((event.entry,), None, relays, now)
        yield from self._push((event.entry,), relays)

    def _push(
        self,
        entries: tuple[_configuration_messages.Entry, ...],
        relays: collections.abc.Iterable[_configuration_push.Relay],
    ) -> _Commands:
        for relay in relays:
            yield _configuration_messages.PushChanges(
                peer=relay.node,
                address=relay.address,
                entries=entries,
                segment=relay.segment,
                confirm=True,
            )

    def _choose_relays(
        self, segment: _configuration_messages.Segment | None
    ) -> list[_configuration_push.Relay]:
        targets = filter(None, map(self._find_target, self._targets))
        return _configuration_push.choose_relays(targets, segment)

    def record_confirmation(
        self, event: _configuration_messages.ChangesConfirmed, now: float
    ) -> _Commands:
        """Record a relay's confirmation and report to the sender once complete."""
        self._confirmations.record(event)
        yield from self._confirmations.report(event.number, now)

    def handle_tick(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Push past relays that timed out, send due confirmations, and try to start."""
        for pending in self._confirmations.list_timed_out(now):
            orphaned = pending.find_orphaned() & self._targets.keys()
            targets = filter(None, map(self._find_target, orphaned))
            relays = _configuration_push.choose_relays(targets)
            pending.members_by_relay |= {relay.node: relay.members for relay in relays}
            yield from self._push(pending.entries, relays)
        yield from self._confirmations.report_due(now)
        yield from self.accept_peer_configuration(event, now)

    def _find_target(self, name: ids.NodeId) -> _configuration_push.Target | None:
        peer = self.blackboard.membership.peers.get(name)
        if peer is None or peer.state is _membership_area.PeerState.DEAD:
            return None
        alive = peer.state is _membership_area.PeerState.ALIVE
        return attrs.evolve(self._targets[name], alive=alive)

    def install_pushed(
        self, event: _configuration_messages.ChangesPushed, now: float
    ) -> _Commands:
        """Install pushed entries, forward them and request entries that are missing."""
        if not event.entries:
            return
        yield from self._install(event.entries, now)
        yield from self._forward(event, now)
        highest = max(entry.number for entry in event.entries)
        self.installer.record_advertised_number(highest)
        target = self._targets.get(event.node)
        if target is not None and highest > self.blackboard.configuration.number:
            yield from self._request_changes(event.node, target.address, now)

    def _forward(
        self, event: _configuration_messages.ChangesPushed, now: float
    ) -> _Commands:
        relays = []
        if event.segment is not None:
            relays = self._choose_relays(event.segment)
        sender = self._targets.get(event.node)
        if event.confirm and sender is not None:
            recipient = _configuration_confirmations.Sender(
                node=event.node, address=sender.address
            )
            self._confirmations.open(event.entries, recipient, relays, now)
        yield from self._push(event.entries, relays)
        number = max(entry.number for entry in event.entries)
        yield from self._confirmations.report(number, now)

    def _install(
        self,
        entries: collections.abc.Iterable[_configuration_messages.Entry],
        now: float,
    ) -> _Commands:
        if self.installer.install(entries):
            yield from self._report_installation(now)

    def _report_installation(self, now: float) -> _Commands:
        area = self.blackboard.configuration
        self.installer.record_installation(now, caught_up=area.caught_up)
        yield _configuration_messages.ConfigurationInstalled(number=area.number)

    def compare_numbers(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> _Commands:
        """Request changes from a peer that advertises a higher number."""
        heartbeat = event.heartbeat
        ready = heartbeat.state is _node_messages.NodeState.READY
        number = heartbeat.configuration_number
        self._advertisements[heartbeat.node] = _Advertisement(
            number=number, ready=ready, received_at=now
        )
        self.installer.record_advertised_number(number)
        if ready and self._first_ready_at is None:
            self._first_ready_at = now
        peer = self.blackboard.membership.peers.get(heartbeat.node)
        if peer is not None and number > self.blackboard.configuration.number:
            yield from self._request_changes(heartbeat.node, peer.address, now)

    def _request_changes(
        self, node: ids.NodeId, address: _http_client.Address, now: float
    ) -> _Commands:
        if now - self._requested_at < _REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        self._collection = None
        yield _configuration_messages.AskChanges(
            peer=node, address=address, after=self.blackboard.configuration.number
        )

    def send_changes(
        self, event: _configuration_messages.ChangesAsked, now: float
    ) -> _Commands:
        """Reply with recent changes, or else with the first page of sections."""
        area = self.blackboard.configuration
        if event.after >= area.number:
            return
        recent = area.recent
        if recent and recent[0].number <= event.after + 1:
            entries = [entry for entry in recent if entry.number > event.after]
            yield _configuration_messages.PushChanges(
                peer=event.node,
                address=event.address,
                entries=tuple(entries[:_MAX_ENTRIES_PER_REPLY]),
            )
        else:
            yield self._make_page(event.node, event.address, "")

    def send_page(
        self, event: _configuration_messages.PageAsked, now: float
    ) -> _Commands:
        """Reply with the page of sections after a title."""
        yield self._make_page(event.node, event.address, event.after)

    def _make_page(
        self, node: ids.NodeId, address: _http_client.Address, after: str
    ) -> _configuration_messages.SendPage:
        area = self.blackboard.configuration
        titles = sorted(title for title in area.sections if title > after)
        page = _configuration_messages.Page(
            number=area.number,
            digest=area.digest,
            after=after,
            sections={
                title: area.sections[title] for title in titles[:MAX_PAGE_SECTIONS]
            },
            last=len(titles) <= MAX_PAGE_SECTIONS,
        )
        return _configuration_messages.SendPage(peer=node, address=address, page=page)

    def collect_page(
        self, event: _configuration_messages.PageReceived, now: float
    ) -> _Commands:
        """Collect the pages of all sections at one number, then install them."""
        page = event.page
        target = self._targets.get(event.node)
        if page.number <= self.blackboard.configuration.number or target is None:
            return
        if page.after == "":
            self._collection = _PageCollection(
                number=page.number, digest=page.digest, sections={}
            )
        collection = self._collection
        if collection is None or page.after != collection.last_title:
            return
        if page.number != collection.number:
            yield self._request_page(event.node, target.address, "", now)
            return
        collection.sections.update(page.sections)
        collection.last_title = max(page.sections, default="")
        if not page.last:
            yield self._request_page(
                event.node, target.address, collection.last_title, now
            )
            return
        self._collection = None
        installed = self.installer.install_snapshot(
            page.number, page.digest, collection.sections
        )
        if installed:
            yield from self._report_installation(now)

    def _request_page(
        self, node: ids.NodeId, address: _http_client.Address, after: str, now: float
    ) -> _configuration_messages.AskPage:
        self._requested_at = now
        return _configuration_messages.AskPage(peer=node, address=address, after=after)

    def accept_peer_configuration(
        self, event: _node_messages.Tick, now: float
    ) -> _Commands:
        """Accept the highest number of ready peers while the store does not answer."""
        area = self.blackboard.configuration
        if area.caught_up or area.store_answers or self._first_ready_at is None:
            return
        if now - self._first_ready_at < _PEER_START_DELAY_SECONDS:
            return
        ready = any(
            advertisement.ready
            and now - advertisement.received_at < _ADVERTISEMENT_TIMEOUT_SECONDS
            for advertisement in self._advertisements.values()
        )
        if ready and area.number >= area.highest_advertised:
            self.installer.record_installation(now, caught_up=True)
            yield _configuration_messages.ConfigurationInstalled(number=area.number)
