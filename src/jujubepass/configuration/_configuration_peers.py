"""Controller that passes changes between nodes, and mends what a node missed."""

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

PAGE_SECTIONS = 1_000

_ASK_AGAIN_SECONDS = 1.0
_HEARD_SECONDS = 5.0
_SETTLE_SECONDS = 1.0
_SENT_ENTRIES = 100

_Commands = collections.abc.Iterator[_dispatch.Command]


@attrs.frozen(kw_only=True)
class _Heard:
    number: ids.ChangeNumber
    ready: bool
    at: float


@attrs.define(kw_only=True)
class _Collection:
    number: ids.ChangeNumber
    digest: str
    sections: dict[str, _configuration_messages.Section]
    last_title: str = ""


@attrs.define(kw_only=True)
class PeerConfigurationController:
    """Push changes on, answer peers and ask them for what is missing."""

    blackboard: _blackboard.Blackboard
    installer: _configuration_installer.Installer
    address: _http_client.Address
    _confirmations: _configuration_confirmations.Confirmations = attrs.field(init=False)
    _targets: dict[ids.NodeId, _configuration_push.Target] = attrs.field(
        factory=dict, init=False
    )
    _heard: dict[ids.NodeId, _Heard] = attrs.field(factory=dict, init=False)
    _first_ready_at: float | None = attrs.field(default=None, init=False)
    _asked_at: float = attrs.field(default=float("-inf"), init=False)
    _collection: _Collection | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._confirmations = _configuration_confirmations.Confirmations(
            area=self.blackboard.configuration,
            installer=self.installer,
            node=ids.NodeId(self.blackboard.identity.node),
        )

    def list_handlers(self) -> collections.abc.Mapping[type, _dispatch.EventHandler]:
        """Map each event type to the method that handles it."""
        return {
            _backend_messages.VmsListed: self.place_nodes,
            _membership_messages.HeartbeatReceived: self.compare,
            _node_messages.Tick: self.go_on,
            _configuration_messages.ChangesConfirmed: self.note_confirmed,
            _configuration_messages.ChangeCommitted: self.push,
            _configuration_messages.ChangesPushed: self.install_pushed,
            _configuration_messages.ChangesAsked: self.send_changes,
            _configuration_messages.PageAsked: self.send_page,
            _configuration_messages.PageReceived: self.collect_page,
        }

    def place_nodes(
        self, event: _backend_messages.VmsListed, now: float
    ) -> collections.abc.Iterable[_dispatch.Command]:
        """Keep where the nodes stand."""
        self._targets = {
            ids.NodeId(vm.name): _configuration_push.Target(
                place=(vm.region, vm.failure_domain, vm.name), address=vm.address
            )
            for vm in event.vms
            if vm.role is _backend_messages.VmRole.NODE
        }
        return ()

    def push(
        self, event: _configuration_messages.ChangeCommitted, now: float
    ) -> _Commands:
        """Send an accepted change to the heads of all segments."""
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

    def note_confirmed(
        self, event: _configuration_messages.ChangesConfirmed, now: float
    ) -> _Commands:
        """Take a relay's word, and answer this node's sender when all is known."""
        self._confirmations.note(event)
        yield from self._confirmations.answer(event.number, now)

    def go_on(self, event: _node_messages.Tick, now: float) -> _Commands:
        """Pass pushes round silent relays, send words that are due, and start."""
        for held in self._confirmations.list_due(now):
            stranded = held.find_stranded() & self._targets.keys()
            targets = filter(None, map(self._find_target, stranded))
            relays = _configuration_push.choose_relays(targets)
            held.behind |= {relay.node: relay.members for relay in relays}
            yield from self._push(held.entries, relays)
        yield from self._confirmations.answer_due(now)
        yield from self.start_from_peers(event, now)

    def _find_target(self, name: ids.NodeId) -> _configuration_push.Target | None:
        peer = self.blackboard.membership.peers.get(name)
        if peer is None or peer.state is _membership_area.PeerState.DEAD:
            return None
        alive = peer.state is _membership_area.PeerState.ALIVE
        return attrs.evolve(self._targets[name], alive=alive)

    def install_pushed(
        self, event: _configuration_messages.ChangesPushed, now: float
    ) -> _Commands:
        """Install what a peer sent, pass it on, and ask for a gap."""
        if not event.entries:
            return
        yield from self._install(event.entries, now)
        yield from self._pass_on(event, now)
        highest = max(entry.number for entry in event.entries)
        self.installer.note_heard(highest)
        target = self._targets.get(event.node)
        if target is not None and highest > self.blackboard.configuration.number:
            yield from self._ask(event.node, target.address, now)

    def _pass_on(
        self, event: _configuration_messages.ChangesPushed, now: float
    ) -> _Commands:
        relays = []
        if event.segment is not None:
            relays = self._choose_relays(event.segment)
        sender = self._targets.get(event.node)
        if event.confirm and sender is not None:
            waiting = _configuration_confirmations.Sender(
                node=event.node, address=sender.address
            )
            self._confirmations.open(event.entries, waiting, relays, now)
        yield from self._push(event.entries, relays)
        number = max(entry.number for entry in event.entries)
        yield from self._confirmations.answer(number, now)

    def _install(
        self,
        entries: collections.abc.Iterable[_configuration_messages.Entry],
        now: float,
    ) -> _Commands:
        if self.installer.install(entries):
            yield from self._report(now)

    def _report(self, now: float) -> _Commands:
        area = self.blackboard.configuration
        self.installer.note_installed(now, caught_up=area.caught_up)
        yield _configuration_messages.ConfigurationInstalled(number=area.number)

    def compare(
        self, event: _membership_messages.HeartbeatReceived, now: float
    ) -> _Commands:
        """Ask a peer that has a higher number."""
        heartbeat = event.heartbeat
        ready = heartbeat.state is _node_messages.NodeState.READY
        number = heartbeat.configuration_number
        self._heard[heartbeat.node] = _Heard(number=number, ready=ready, at=now)
        self.installer.note_heard(number)
        if ready and self._first_ready_at is None:
            self._first_ready_at = now
        peer = self.blackboard.membership.peers.get(heartbeat.node)
        if peer is not None and number > self.blackboard.configuration.number:
            yield from self._ask(heartbeat.node, peer.address, now)

    def _ask(
        self, node: ids.NodeId, address: _http_client.Address, now: float
    ) -> _Commands:
        if now - self._asked_at < _ASK_AGAIN_SECONDS:
            return
        self._asked_at = now
        self._collection = None
        yield _configuration_messages.AskChanges(
            peer=node, address=address, after=self.blackboard.configuration.number
        )

    def send_changes(
        self, event: _configuration_messages.ChangesAsked, now: float
    ) -> _Commands:
        """Answer with the changes that are kept, else with all sections."""
        area = self.blackboard.configuration
        if event.after >= area.number:
            return
        recent = area.recent
        if recent and recent[0].number <= event.after + 1:
            entries = [entry for entry in recent if entry.number > event.after]
            yield _configuration_messages.PushChanges(
                peer=event.node,
                address=event.address,
                entries=tuple(entries[:_SENT_ENTRIES]),
            )
        else:
            yield self._make_page(event.node, event.address, "")

    def send_page(
        self, event: _configuration_messages.PageAsked, now: float
    ) -> _Commands:
        """Answer with the sections after a title."""
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
            sections={title: area.sections[title] for title in titles[:PAGE_SECTIONS]},
            last=len(titles) <= PAGE_SECTIONS,
        )
        return _configuration_messages.SendPage(peer=node, address=address, page=page)

    def collect_page(
        self, event: _configuration_messages.PageReceived, now: float
    ) -> _Commands:
        """Collect all sections at one number, then install them."""
        page = event.page
        target = self._targets.get(event.node)
        if page.number <= self.blackboard.configuration.number or target is None:
            return
        if page.after == "":
            self._collection = _Collection(
                number=page.number, digest=page.digest, sections={}
            )
        collection = self._collection
        if collection is None or page.after != collection.last_title:
            return
        if page.number != collection.number:
            yield self._ask_page(event.node, target.address, "", now)
            return
        collection.sections.update(page.sections)
        collection.last_title = max(page.sections, default="")
        if not page.last:
            yield self._ask_page(event.node, target.address, collection.last_title, now)
            return
        self._collection = None
        installed = self.installer.install_whole(
            page.number, page.digest, collection.sections
        )
        if installed:
            yield from self._report(now)

    def _ask_page(
        self, node: ids.NodeId, address: _http_client.Address, after: str, now: float
    ) -> _configuration_messages.AskPage:
        self._asked_at = now
        return _configuration_messages.AskPage(peer=node, address=address, after=after)

    def start_from_peers(self, event: _node_messages.Tick, now: float) -> _Commands:
        """While the store is silent, take the highest that ready peers give."""
        area = self.blackboard.configuration
        if area.caught_up or area.store_answers or self._first_ready_at is None:
            return
        if now - self._first_ready_at < _SETTLE_SECONDS:
            return
        ready = any(
            heard.ready and now - heard.at < _HEARD_SECONDS
            for heard in self._heard.values()
        )
        if ready and area.number >= area.highest_heard:
            self.installer.note_installed(now, caught_up=True)
            yield _configuration_messages.ConfigurationInstalled(number=area.number)
