"""Readings of running nodes for trials of the configuration."""

import threading

from jujubepass.transport import _http_client
from standins import processes, system

SAMPLE_SECONDS = 0.05


def read_node(running, name, timeout_seconds=10.0):
    """Read what a node tells operators of itself."""
    headers = {"authorization": f"Bearer {system.OPERATOR_KEY}"}
    port = running.nodes[name].operators
    path = "/operator/status"
    answer = processes.call(
        "GET", port, path, headers=headers, timeout_seconds=timeout_seconds
    )
    return answer.read_json()["nodes"][0]


def read_number(context, name):
    """Read the configuration number in force on a node of the context's system."""
    return read_node(context.system, name)["configuration_number"]


def declare(index, **parameters):
    """Write the section of one of the trials' accounts."""
    key = f"key-{index}"
    return {f"account a{index}": system.declare_account(key, **parameters)}


class Sampler:
    """Read the number and digest of every node, in a thread each, until stopped."""

    def __init__(self, *, watched):
        self.system = watched
        self.stopped = threading.Event()
        self.digests = {}
        self.faults = []
        self.threads = [
            threading.Thread(target=self.watch, args=(name,)) for name in watched.nodes
        ]
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End the threads."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def watch(self, name):
        """Follow one node; it is another process after a restart, once ready."""
        highest = 0
        while not self.stopped.wait(SAMPLE_SECONDS):
            try:
                node = read_node(self.system, name, timeout_seconds=1.0)
            except (_http_client.ClientError, KeyError):
                continue
            number = node["configuration_number"]
            digest = node["configuration_digest"]
            if node["state"] == "ready":
                if number < highest:
                    self.faults.append((name, highest, number))
                highest = max(number, highest)
            if self.digests.setdefault(number, digest) != digest:
                self.faults.append((name, number, digest))
