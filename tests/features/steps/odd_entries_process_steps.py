"""Steps for node processes that read odd entries of other writers."""

import json
import time

import behave

from standins import forwarding_system, processes
from tests.features.steps import odd_entries_steps


@behave.given("a system of {nodes:d} nodes on the platform")
def step_system(context, nodes):
    context.system = forwarding_system.ForwardingSystem(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=nodes)


ODD_ENTRIES = {
    "deep": odd_entries_steps.make_nested(900),
    "deeper": odd_entries_steps.make_nested(100_000),
    "infinite": json.dumps({**odd_entries_steps.ENTRY, "slots": 0})
    .encode()
    .replace(b" 0,", b" 1e999,"),
    "huge": json.dumps({**odd_entries_steps.ENTRY, "born": 10**400}).encode(),
    "port": json.dumps(
        {**odd_entries_steps.ENTRY, "address": "10.0.0.1:70000"}
    ).encode(),
    "no-port": json.dumps(
        {**odd_entries_steps.ENTRY, "address": "127.0.0.1:0"}
    ).encode(),
    "host": json.dumps({**odd_entries_steps.ENTRY, "address": "a..b:80"}).encode(),
    "reversed": json.dumps(
        {**odd_entries_steps.ENTRY, "layers": {"from": 8, "to": 1}}
    ).encode(),
    "wide": json.dumps(
        {**odd_entries_steps.ENTRY, "layers": {"from": 0, "to": 10**12}}
    ).encode(),
    "list": b"[1, 2]",
    "bytes": b"\xff\xfe",
}


@behave.when("odd entries are written among those of the servers")
def step_odd_entries(context):
    for name, data in ODD_ENTRIES.items():
        context.system.write_row("servers", name, data)
    # The services of the others get an odd server each, too.
    plain = {
        **odd_entries_steps.ENTRY,
        "service": forwarding_system.PLAIN_SERVICE,
        "layers": None,
    }
    for name, address in (("p1", "a..b:80"), ("p2", "10.0.0.1:70000")):
        context.system.write_row("servers", name, {**plain, "address": address})
    time.sleep(1.0)


NEW_MEMBER = forwarding_system.Member(name="s3", domain="a")


@behave.when("a server is added and another one leaves")
def step_change(context):
    system = context.system
    system.start_member(NEW_MEMBER)
    for name in ("s1", "s2"):
        processes.change_knobs(system.ports[name], state="draining")
    # Nodes may use a draining server for as long as changes of the list take.
    time.sleep(2.0)


@behave.then("each node follows the list and sends requests to the new server")
def step_follow(context):
    system = context.system
    for node in system.nodes:
        assert system.is_ready(node), node
        answer = system.send_request(node, "GET", forwarding_system.LOOKUP_PATH)
        assert answer.status == 200, (node, answer)
        runs = system.read_counts(NEW_MEMBER.name)["runs"]
        assert system.last_request in runs, (node, runs)
        assert system.request_stream(node).status == 200, node


@behave.then("no task of a node has failed")
def step_no_failures(context):
    for node in context.system.nodes:
        for line in context.system.read_log(node):
            assert line["message"] != "task failed; restarting it", (node, line)
            assert line["level"] not in ("ERROR", "CRITICAL"), (node, line)
