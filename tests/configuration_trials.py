"""Status of running nodes for tests of the configuration."""

import threading

from jujubepass.transport import _http_client
from standins import processes, system

SAMPLE_INTERVAL_SECONDS = 0.05


def read_node(running, name, timeout_seconds=10.0):
    """Return a node's own row of its operator status."""
    headers = {"authorization": f"Bearer {system.OPERATOR_KEY}"}
    port = running.nodes[name].operators
    path = "/operator/status"
    answer = processes.call(
        "GET", port, path, headers=headers, timeout_seconds=timeout_seconds
    )
    return answer.read_json()["nodes"][0]


def read_number(context, name):
    """Return the configuration number in force on a node of the context's system."""
    return read_node(context.system, name)["configuration_number"]


def declare(index, **parameters):
    """Return the section of one of the tests' accounts."""
    key = f"key-{index}"
    return {f"account a{index}": system.declare_account(key, **parameters)}


class Sampler:
    """Poll the number and digest of every node, each in a thread, until stopped."""

    def __init__(self, *, watched):
        self.system = watched
        self.stopped = threading.Event()
        self.digests = {}
        self.violations = []
        self.threads = [
            threading.Thread(target=self.watch, args=(name,)) for name in watched.nodes
        ]
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Stop the threads."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def watch(self, name):
        """Poll one node and record decreasing numbers and differing digests.

        A restarted process may report lower numbers until it is ready.
        """
        highest = 0
        while not self.stopped.wait(SAMPLE_INTERVAL_SECONDS):
            try:
                node = read_node(self.system, name, timeout_seconds=1.0)
            except (_http_client.ClientError, KeyError):
                continue
            number = node["configuration_number"]
            digest = node["configuration_digest"]
            if node["state"] == "ready":
                if number < highest:
                    self.violations.append((name, highest, number))
                highest = max(number, highest)
            if self.digests.setdefault(number, digest) != digest:
                self.violations.append((name, number, digest))
