"""Measure how account limits are shared: `python -m bench.shares`.

Drives the share and limit controllers of many nodes under a clock of its own, with
skewed callers, nodes that die and nodes that part.
"""

import collections
import collections.abc
import heapq
import itertools
import json
import random
import typing

import attrs

from jujubepass import declarations, ids
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages
from jujubepass.limits import (
    _limit_messages,
    _limits,
    _share_codec,
    _share_messages,
    _shares,
)
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.transport import _http_client, _peer_codec

TICK_SECONDS = 0.1
LATENCY_SECONDS = 0.002
RUN_SECONDS = 0.05
DEAD_SECONDS = 5.0
_LENGTH_BYTES = 4
_SETTLE_SECONDS = 20.0

Pick = collections.abc.Callable[[float, random.Random], int]
"""Choose the node that a request of this time goes to."""


@attrs.frozen(kw_only=True)
class Demand:
    """Describe the requests of one account."""

    account: ids.AccountId
    rate: float
    pick: Pick


@attrs.define(kw_only=True)
class Node:
    """Hold one node's controllers and what it sent."""

    board: _blackboard.Blackboard
    dispatcher: _dispatch.Dispatcher
    alive: bool = True
    part: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0


class Cluster:
    """Run nodes that share limits."""

    def __init__(
        self,
        *,
        nodes: int,
        accounts: collections.abc.Iterable[declarations.Account],
        shared: bool = True,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.admitted: dict[ids.AccountId, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self.refused = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._shared = shared
        self._declared = declarations.Declarations(
            accounts={account.name: account for account in accounts},
            services={
                ids.ServiceId("s"): declarations.Service(name=ids.ServiceId("s"))
            },
        )
        self.nodes = [self._make_node(i, nodes) for i in range(nodes)]
        for node in self.nodes:
            self.at(self.random.random() * TICK_SECONDS, lambda n=node: self._tick(n))

    def _make_node(self, index: int, nodes: int) -> Node:
        identity = _blackboard.Identity(
            node=ids.NodeId(f"node-{index}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("d"),
        )
        board = _blackboard.Blackboard(identity=identity)
        board.node.state = _node_messages.NodeState.READY
        board.configuration.declared = self._declared
        for other in range(nodes):
            if other != index:
                name = ids.NodeId(f"node-{other}")
                board.membership.peers[name] = _membership_area.Peer(
                    node=name,
                    address=_http_client.Address(host="127.0.0.1", port=other + 1),
                    state=_membership_area.PeerState.ALIVE,
                )
        controllers: list[_dispatch.Controller] = []
        if self._shared:
            controllers.append(_shares.ShareController(blackboard=board))
        else:
            board.shares.divisor = nodes
        controllers.append(_limits.LimitController(blackboard=board))
        dispatcher = _dispatch.Dispatcher(controllers=controllers)
        return Node(board=board, dispatcher=dispatcher)

    def at(self, when: float, act: collections.abc.Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self, seconds: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def plan(self, demand: Demand, seconds: float) -> None:
        """Plan an account's requests."""
        when = self.now + self.random.expovariate(demand.rate)
        while when < seconds:
            self.at(when, lambda: self._arrive(demand))
            when += self.random.expovariate(demand.rate)

    def kill(self, index: int) -> None:
        """End a node; the others find out after a time."""
        self.nodes[index].alive = False
        self._tell(lambda a, b: b is not self.nodes[index])

    def part(self, first: int) -> None:
        """Part the first nodes from the rest."""
        for index, node in enumerate(self.nodes):
            node.part = index < first
        self._tell(lambda a, b: a.part == b.part)

    def heal(self) -> None:
        """Join the parts again."""
        for node in self.nodes:
            node.part = 0
        self._tell(lambda a, b: b.alive, delay=1.0)

    def _tell(
        self,
        sees: collections.abc.Callable[[Node, Node], bool],
        delay: float = DEAD_SECONDS,
    ) -> None:
        def _apply() -> None:
            for node, other in itertools.permutations(self.nodes, 2):
                peer = node.board.membership.peers[other.board.identity.node]
                state = _membership_area.PeerState
                peer.state = state.ALIVE if sees(node, other) else state.DEAD

        self.at(self.now + delay, _apply)

    def _tick(self, node: Node) -> None:
        if node.alive:
            self._post(node, _node_messages.Tick())
            self.at(self.now + TICK_SECONDS, lambda: self._tick(node))

    def _arrive(self, demand: Demand) -> None:
        index = demand.pick(self.now, self.random)
        node = self.nodes[index]
        if not node.alive:
            return
        event = _call_messages.LookupArrived(
            request=ids.RequestId(f"r{next(self._order)}"),
            account=demand.account,
            service=ids.ServiceId("s"),
            path="/",
            deadline=self.now + 1.0,
        )
        commands = self._post(node, event)
        if any(isinstance(command, _answer_messages.Refuse) for command in commands):
            self.refused += 1
            return
        self.admitted[demand.account].append((self.now, index))
        ended = _limit_messages.RequestEnded(request=event.request)
        self.at(self.now + RUN_SECONDS, lambda: self._post(node, ended))

    def _post(self, node: Node, event: typing.Any) -> list[typing.Any]:
        commands = node.dispatcher.dispatch(event, self.now)
        for command in commands:
            if isinstance(command, _share_messages.SendDemands):
                self._send(node, command, _share_codec.build_demands(command))
            elif isinstance(command, _share_messages.SendGrants):
                self._send(node, command, _share_codec.build_grants(command))
        return commands

    def _send(self, node: Node, command: typing.Any, message: typing.Any) -> None:
        data = _peer_codec.encode_struct(message)
        node.sent_bytes += len(data) + _LENGTH_BYTES
        node.sent_messages += 1
        target = self.nodes[command.address.port - 1]
        if target.alive and target.part == node.part:
            event = _peer_codec.decode_event(data)
            self.at(self.now + LATENCY_SECONDS, lambda: self._post(target, event))

    def compute_rate(self, account: ids.AccountId, start: float, end: float) -> float:
        """Return the admitted requests a second between two times."""
        times = self.admitted[account]
        return sum(start <= when < end for when, _ in times) / (end - start)


def declare(name: str, rate: float, burst: float | None = None) -> declarations.Account:
    """Declare an account with a rate."""
    return declarations.Account(
        name=ids.AccountId(name),
        template=ids.TemplateId("t"),
        key_hash=name,
        requests_per_second=rate,
        burst=rate if burst is None else burst,
        concurrency=100_000,
    )


BIG = ids.AccountId("big")
RATE = 100.0


def _pick_any(nodes: int) -> Pick:
    return lambda now, rng: rng.randrange(nodes)


def measure_skew(nodes: int, shared: bool) -> dict[str, object]:
    """Send three times the limit to one node, and to another one later."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)], shared=shared)
    pick: Pick = lambda now, rng: 0 if now < 40.0 else 1
    cluster.plan(Demand(account=BIG, rate=3 * RATE, pick=pick), 80.0)
    cluster.run(80.0)
    moved = (t for t in itertools.count(40) if _is_moved(cluster, t))
    return {
        "case": "skew",
        "nodes": nodes,
        "shared": shared,
        "first_node_of_limit": round(cluster.compute_rate(BIG, 20, 40) / RATE, 3),
        "second_node_of_limit": round(cluster.compute_rate(BIG, 60, 80) / RATE, 3),
        "seconds_to_move": next(moved) - 40 if shared else None,
        "most_in_1_s_of_limit": round(find_most(cluster, 15.0, 80.0) / RATE, 3),
    }


def _is_moved(cluster: Cluster, second: int) -> bool:
    rate = cluster.compute_rate(BIG, second, second + 1)
    return second >= 70 or rate >= 0.45 * RATE


def find_most(cluster: Cluster, start: float, end: float) -> float:
    """Return the most admitted requests in any whole second."""
    seconds = collections.Counter(
        int(when) for when, _ in cluster.admitted[BIG] if start <= when < end
    )
    return float(max(seconds.values()))


def measure_kill(nodes: int) -> dict[str, object]:
    """Kill a node while every node is asked for more than its part."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)])
    cluster.plan(Demand(account=BIG, rate=4 * RATE, pick=_pick_any(nodes)), 90.0)
    cluster.run(30.0)
    cluster.kill(1)
    cluster.run(90.0)
    regained = [
        second
        for second in range(30, 88)
        if cluster.compute_rate(BIG, second, second + 2) < 0.95 * RATE
    ]
    return {
        "case": "kill",
        "nodes": nodes,
        "before_of_limit": round(cluster.compute_rate(BIG, 15, 30) / RATE, 3),
        "after_of_limit": round(cluster.compute_rate(BIG, 60, 90) / RATE, 3),
        "seconds_below_95_percent": max(regained, default=30) + 1 - 30,
        "most_in_1_s_of_limit": round(find_most(cluster, 15.0, 90.0) / RATE, 3),
    }


def measure_part(nodes: int, seconds: float = 60.0) -> dict[str, object]:
    """Part the nodes in two, each asked for more than the limit."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)])
    end = 30.0 + seconds + 60.0
    cluster.plan(Demand(account=BIG, rate=6 * RATE, pick=_pick_any(nodes)), end)
    cluster.run(30.0)
    cluster.part(nodes // 2)
    cluster.run(30.0 + seconds)
    cluster.heal()
    cluster.run(end)
    healed = 30.0 + seconds
    return {
        "case": "part",
        "nodes": nodes,
        "first_15_s_of_limit": round(cluster.compute_rate(BIG, 30, 45) / RATE, 3),
        "later_of_limit": round(cluster.compute_rate(BIG, 55, healed) / RATE, 3),
        "after_heal_of_limit": round(
            cluster.compute_rate(BIG, healed + 15, end) / RATE, 3
        ),
    }


def measure_bytes(
    nodes: int, accounts: int, seconds: float, shared: bool = True
) -> dict[str, object]:
    """Send an even load of many accounts, a tenth of them skewed to a few nodes."""
    names = [f"account-{index}" for index in range(accounts)]
    rate = 24.0 * nodes / accounts
    declared = [declare(name, 2 * rate, 8 * rate) for name in names]
    cluster = Cluster(nodes=nodes, accounts=declared, shared=shared)
    for index, name in enumerate(names):
        pick = _pick_any(nodes)
        if index % 10 == 0:
            first = cluster.random.randrange(nodes)
            pick = _pick_few(first, nodes)
        cluster.plan(Demand(account=ids.AccountId(name), rate=rate, pick=pick), seconds)
    cluster.run(_SETTLE_SECONDS)
    for node in cluster.nodes:
        node.sent_bytes = 0
    cluster.refused = 0
    cluster.admitted.clear()
    cluster.run(seconds)
    counted_seconds = seconds - _SETTLE_SECONDS
    sent = [node.sent_bytes / counted_seconds for node in cluster.nodes]
    total = sum(map(len, cluster.admitted.values()))
    return {
        "case": "bytes",
        "nodes": nodes,
        "accounts": accounts,
        "shared": shared,
        "mean_bytes_per_second": round(sum(sent) / nodes),
        "most_bytes_per_second": round(max(sent)),
        "refused_part": round(cluster.refused / (cluster.refused + total), 4),
    }


def _pick_few(first: int, nodes: int) -> Pick:
    return lambda now, rng: (first + rng.randrange(2)) % nodes


def main() -> None:
    """Print one JSON line for each case."""
    for nodes, shared in itertools.product((3, 9), (False, True)):
        print(json.dumps(measure_skew(nodes, shared)))
    for nodes in (3, 9):
        print(json.dumps(measure_kill(nodes)))
        print(json.dumps(measure_part(nodes)))
    for nodes, shared in itertools.product((9, 90), (False, True)):
        print(json.dumps(measure_bytes(nodes, 11 * nodes, 50.0, shared)))


if __name__ == "__main__":
    main()
