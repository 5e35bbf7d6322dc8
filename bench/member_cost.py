"""Cost and speed of membership, by membership controllers in one process.

Run `python -m bench.member_cost NODES REGIONS DOMAINS SAMPLED`; one heartbeat in
SAMPLED is encoded, and its size is counted SAMPLED times.
"""

import sys
import time

from jujubepass.membership import _membership_area
from tests import member_network

_WARM_UP_SECONDS = 3.0
_IDLE_SECONDS = 4.0
_DETECTION_TIMEOUT_SECONDS = 60.0
_State = _membership_area.PeerState


def measure(nodes: int, regions: int, domains: int, sampled: int) -> None:
    """Print the cost of heartbeats and the time until all nodes detect a failure."""
    network = member_network.Network(
        nodes=nodes, regions=regions, domains=domains, sampled=sampled
    )
    network.start_all(acquainted=True)
    network.run(_WARM_UP_SECONDS)
    network.sent_bytes = network.sent_messages = 0
    started = time.process_time()
    network.run(_IDLE_SECONDS)
    core = (time.process_time() - started) / _IDLE_SECONDS / nodes
    per_second = 1.0 / _IDLE_SECONDS / nodes
    neighbours = [len(board.membership.neighbours) for board in network.boards.values()]
    print(f"nodes {nodes}, neighbours {min(neighbours)}-{max(neighbours)}")
    print(f"idle: {network.sent_messages * per_second:.1f} heartbeats/s a node")
    print(f"idle: {network.sent_bytes * per_second:.0f} bytes/s each way a node")
    print(f"idle: {core:.2%} of a core a node")
    victim = next(iter(network.dispatchers))
    _measure_failure(network, [victim], "one node")
    domain = network.vms[victim].failure_domain
    rest = [
        name
        for name in network.dispatchers
        if network.vms[name].failure_domain == domain
    ]
    if domains > 1:
        _measure_failure(network, rest, f"a failure domain of {len(rest)}")


def _measure_failure(
    network: member_network.Network, names: list[str], what: str
) -> None:
    for name in names:
        network.kill(name)
    network.sent_bytes = 0
    started = network.now
    detection_seconds = network.run_until(
        lambda: all(network.agree({_State.DEAD}, name) for name in names),
        _DETECTION_TIMEOUT_SECONDS,
    )
    rate = network.sent_bytes / max(network.now - started, 1.0) / len(network.vms)
    false_detections = sum(
        peer.state is _State.DEAD and peer.node in network.dispatchers
        for viewer in network.dispatchers
        for peer in network.boards[viewer].membership.peers.values()
    )
    print(
        f"{what}: dead for all nodes after {detection_seconds} s, "
        f"at {rate:.0f} bytes/s; {false_detections} false detections"
    )


if __name__ == "__main__":
    measure(*map(int, sys.argv[1:5]))
