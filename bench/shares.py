"""Measure the sharing of account limits: `python -m bench.shares`.

Runs the share and limit controllers of many nodes under a simulated clock, with
skewed load, failed nodes and network partitions.
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
REQUEST_SECONDS = 0.05
DEAD_SECONDS = 5.0
_LENGTH_PREFIX_BYTES = 4
_SETTLE_SECONDS = 20.0

Pick = collections.abc.Callable[[float, random.Random], int]
"""Choose the index of the node that receives a request at a given time."""


@attrs.frozen(kw_only=True)
class AccountLoad:
    """Describe the load of one account."""

    account: ids.AccountId
    rate: float
    pick: Pick


@attrs.define(kw_only=True)
class Node:
    """Represent one node, with its controllers and the traffic that it sent."""

    blackboard: _blackboard.Blackboard
    dispatcher: _dispatch.Dispatcher
    alive: bool = True
    partition: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0


class Cluster:
    """Simulate nodes that share account limits."""

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
            self.schedule(
                self.random.random() * TICK_SECONDS, lambda n=node: self._tick(n)
            )

    def _make_node(self, index: int, nodes: int) -> Node:
        identity = _blackboard.Identity(
            node=ids.NodeId(f"node-{index}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("d"),
        )
        blackboard = _blackboard.Blackboard(identity=identity)
        blackboard.node.state = _node_messages.NodeState.READY
        blackboard.configuration.declared = self._declared
        for other in range(nodes):
            if other != index:
                name = ids.NodeId(f"node-{other}")
                blackboard.membership.peers[name] = _membership_area.Peer(
                    node=name,
                    address=_http_client.Address(host="127.0.0.1", port=other + 1),
                    state=_membership_area.PeerState.ALIVE,
                )
        controllers: list[_dispatch.Controller] = []
        if self._shared:
            controllers.append(_shares.ShareController(blackboard=blackboard))
        else:
            blackboard.shares.divisor = nodes
        controllers.append(_limits.LimitController(blackboard=blackboard))
        dispatcher = _dispatch.Dispatcher(controllers=controllers)
        return Node(blackboard=blackboard, dispatcher=dispatcher)

    def schedule(self, when: float, action: collections.abc.Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Run every action that is due by a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def schedule_requests(self, load: AccountLoad, seconds: float) -> None:
        """Schedule an account's requests."""
        when = self.now + self.random.expovariate(load.rate)
        while when < seconds:
            self.schedule(when, lambda: self._arrive(load))
            when += self.random.expovariate(load.rate)

    def kill(self, index: int) -> None:
        """Stop a node; the others detect it after DEAD_SECONDS."""
        self.nodes[index].alive = False
        self._update_peer_states(lambda a, b: b is not self.nodes[index])

    def partition(self, first: int) -> None:
        """Separate the first nodes from the rest by a network partition."""
        for index, node in enumerate(self.nodes):
            node.partition = index < first
        self._update_peer_states(lambda a, b: a.partition == b.partition)

    def heal(self) -> None:
        """End the network partition."""
        for node in self.nodes:
            node.partition = 0
        self._update_peer_states(lambda a, b: b.alive, delay=1.0)

    def _update_peer_states(
        self,
        is_alive_for: collections.abc.Callable[[Node, Node], bool],
        delay: float = DEAD_SECONDS,
    ) -> None:
        def _apply() -> None:
            for node, other in itertools.permutations(self.nodes, 2):
                peer = node.blackboard.membership.peers[other.blackboard.identity.node]
                state = _membership_area.PeerState
                peer.state = state.ALIVE if is_alive_for(node, other) else state.DEAD

        self.schedule(self.now + delay, _apply)

    def _tick(self, node: Node) -> None:
        if node.alive:
            self._post(node, _node_messages.Tick())
            self.schedule(self.now + TICK_SECONDS, lambda: self._tick(node))

    def _arrive(self, load: AccountLoad) -> None:
        index = load.pick(self.now, self.random)
        node = self.nodes[index]
        if not node.alive:
            return
        event = _call_messages.LookupArrived(
            request=ids.RequestId(f"r{next(self._order)}"),
            account=load.account,
            service=ids.ServiceId("s"),
            path="/",
            deadline=self.now + 1.0,
        )
        commands = self._post(node, event)
        if any(isinstance(command, _answer_messages.Refuse) for command in commands):
            self.refused += 1
            return
        self.admitted[load.account].append((self.now, index))
        ended = _limit_messages.RequestEnded(request=event.request)
        self.schedule(self.now + REQUEST_SECONDS, lambda: self._post(node, ended))

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
        node.sent_bytes += len(data) + _LENGTH_PREFIX_BYTES
        node.sent_messages += 1
        target = self.nodes[command.address.port - 1]
        if target.alive and target.partition == node.partition:
            event = _peer_codec.decode_event(data)
            self.schedule(self.now + LATENCY_SECONDS, lambda: self._post(target, event))

    def compute_rate(self, account: ids.AccountId, start: float, end: float) -> float:
        """Return the rate of admitted requests between two times."""
        times = self.admitted[account]
        return sum(start <= when < end for when, _ in times) / (end - start)


def declare(name: str, rate: float, burst: float | None = None) -> declarations.Account:
    """Declare an account with a rate limit."""
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
    """Send three times the limit to one node, and after 40 s to another node."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)], shared=shared)
    pick: Pick = lambda now, rng: 0 if now < 40.0 else 1
    cluster.schedule_requests(AccountLoad(account=BIG, rate=3 * RATE, pick=pick), 80.0)
    cluster.run(80.0)
    moved = (t for t in itertools.count(40) if _is_moved(cluster, t))
    return {
        "case": "skew",
        "nodes": nodes,
        "shared": shared,
        "first_node_of_limit": round(cluster.compute_rate(BIG, 20, 40) / RATE, 3),
        "second_node_of_limit": round(cluster.compute_rate(BIG, 60, 80) / RATE, 3),
        "seconds_to_move": next(moved) - 40 if shared else None,
        "most_in_1_s_of_limit": round(find_max_requests(cluster, 15.0, 80.0) / RATE, 3),
    }


def _is_moved(cluster: Cluster, second: int) -> bool:
    rate = cluster.compute_rate(BIG, second, second + 1)
    return second >= 70 or rate >= 0.45 * RATE


def find_max_requests(cluster: Cluster, start: float, end: float) -> float:
    """Return the maximum number of admitted requests in any whole second."""
    seconds = collections.Counter(
        int(when) for when, _ in cluster.admitted[BIG] if start <= when < end
    )
    return float(max(seconds.values()))


def measure_kill(nodes: int) -> dict[str, object]:
    """Kill a node while every node receives more than its share of the limit."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)])
    cluster.schedule_requests(
        AccountLoad(account=BIG, rate=4 * RATE, pick=_pick_any(nodes)), 90.0
    )
    cluster.run(30.0)
    cluster.kill(1)
    cluster.run(90.0)
    below_limit = [
        second
        for second in range(30, 88)
        if cluster.compute_rate(BIG, second, second + 2) < 0.95 * RATE
    ]
    return {
        "case": "kill",
        "nodes": nodes,
        "before_of_limit": round(cluster.compute_rate(BIG, 15, 30) / RATE, 3),
        "after_of_limit": round(cluster.compute_rate(BIG, 60, 90) / RATE, 3),
        "seconds_below_95_percent": max(below_limit, default=30) + 1 - 30,
        "most_in_1_s_of_limit": round(find_max_requests(cluster, 15.0, 90.0) / RATE, 3),
    }


def measure_partition(nodes: int, seconds: float = 60.0) -> dict[str, object]:
    """Partition the nodes into halves that each receive more than the limit."""
    cluster = Cluster(nodes=nodes, accounts=[declare("big", RATE)])
    end = 30.0 + seconds + 60.0
    cluster.schedule_requests(
        AccountLoad(account=BIG, rate=6 * RATE, pick=_pick_any(nodes)), end
    )
    cluster.run(30.0)
    cluster.partition(nodes // 2)
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
    """Send load of many accounts, a tenth of them skewed to two nodes each."""
    names = [f"account-{index}" for index in range(accounts)]
    rate = 24.0 * nodes / accounts
    declared = [declare(name, 2 * rate, 8 * rate) for name in names]
    cluster = Cluster(nodes=nodes, accounts=declared, shared=shared)
    for index, name in enumerate(names):
        pick = _pick_any(nodes)
        if index % 10 == 0:
            first = cluster.random.randrange(nodes)
            pick = _pick_pair(first, nodes)
        cluster.schedule_requests(
            AccountLoad(account=ids.AccountId(name), rate=rate, pick=pick), seconds
        )
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


def _pick_pair(first: int, nodes: int) -> Pick:
    return lambda now, rng: (first + rng.randrange(2)) % nodes


def main() -> None:
    """Print one JSON line for each case."""
    for nodes, shared in itertools.product((3, 9), (False, True)):
        print(json.dumps(measure_skew(nodes, shared)))
    for nodes in (3, 9):
        print(json.dumps(measure_kill(nodes)))
        print(json.dumps(measure_partition(nodes)))
    for nodes, shared in itertools.product((9, 90), (False, True)):
        print(json.dumps(measure_bytes(nodes, 11 * nodes, 50.0, shared)))


if __name__ == "__main__":
    main()
