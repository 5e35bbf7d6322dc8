import json
import os
import subprocess
import sys

import behave

from standins import processes, system
from tests import configuration_trials

COMMAND_TIMEOUT_SECONDS = 60
CHANGES_IN_RACE = 40
SAMPLE_SECONDS = 0.05
REFUSED = 1
OTHER_KEY = "another-key"
KNOB_BY_FAULT = {
    "loses the answer": "lose_answers",
    "loses the write": "lose_before_effect",
}


def start_command(context, node, *words):
    port = context.system.nodes[node].operators
    command = [sys.executable, "-m", "jujubepass", words[0], "--json"]
    command += [f"--node={processes.HOST}:{port}", *words[1:]]
    environment = {**os.environ, "JUJUBEPASS_OPERATOR_KEY": system.OPERATOR_KEY}
    return subprocess.Popen(
        command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )


def finish_command(process):
    output, errors = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    return process.returncode, json.loads(output), errors.decode()


def run_command(context, node, *words):
    return finish_command(start_command(context, node, *words))


def write_file(context, name, sections):
    path = context.system.processes.folder / f"{name}.ini"
    path.write_text(system.write_ini(sections))
    return str(path)


def write_account(context, name, index):
    return write_file(context, name, configuration_trials.declare(index))


def read_all(context):
    return [
        configuration_trials.read_node(context.system, name)
        for name in context.system.nodes
    ]


def apply_words(path, base, author):
    return ("apply", path, f"--base={base}", f"--author={author}")


@behave.given("{count:d} running nodes with the basic configuration")
def step_running(context, count):
    context.system = system.System(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_all(nodes=count)
    for node in context.system.nodes:
        processes.wait_for(
            lambda node=node: len(context.system.read_status(node)["nodes"]) == count,
            f"{node} knows {count} nodes",
        )


@behave.when("two operators apply different files on the same base at two nodes")
def step_race(context):
    running = [
        start_command(
            context,
            f"node-{index}",
            *apply_words(
                write_file(context, name, configuration_trials.declare(index)), 1, name
            ),
        )
        for index, name in ((1, "ana"), (2, "bruno"))
    ]
    context.results = dict(
        zip(("ana", "bruno"), map(finish_command, running), strict=True)
    )


@behave.then("one command ends with 0 and names 3 of 3 nodes")
def step_winner(context):
    codes = {name: result[0] for name, result in context.results.items()}
    assert sorted(codes.values()) == [0, REFUSED], context.results
    context.winner = min(codes, key=codes.get)
    value = context.results[context.winner][1]
    assert value["number"] == 2 and value["in_force_everywhere"], value
    assert len(value["nodes"]) == 3, value


@behave.then("the other ends with 1 and names the accepted sections, author and number")
def step_loser(context):
    loser = next(name for name in context.results if name != context.winner)
    value = context.results[loser][1]
    assert value["code"] == "base_moved" and value["number"] == 2, value
    (moved,) = value["moved"]
    index = 1 if context.winner == "ana" else 2
    assert moved["author"] == context.winner, moved
    assert moved["sections"] == [f"account a{index}"], moved


@behave.given("the store {fault} once")
def step_fault(context, fault):
    processes.change_knobs(context.system.platform, **{KNOB_BY_FAULT[fault]: 1})


@behave.when("an operator applies a file")
def step_apply(context):
    path = write_file(context, "one", configuration_trials.declare(1))
    context.result = run_command(context, "node-1", *apply_words(path, 1, "ana"))


@behave.then("it is accepted once and in force on {count:d} of {total:d} nodes")
def step_accepted(context, count, total):
    code, value, _ = context.result
    assert len(value["nodes"]) == count == total, value
    assert code == 0 and value["number"] == 2, context.result
    knobs = processes.call("GET", context.system.platform, "/knobs").read_json()
    assert not any(knobs[name] for name in KNOB_BY_FAULT.values()), knobs
    numbers = [
        configuration_trials.read_number(context, name) for name in context.system.nodes
    ]
    assert numbers == [2] * count, numbers


@behave.when('"{name}" is paused while {count:d} changes are applied')
def step_pause(context, name, count):
    context.system.processes.suspend(name)
    for index in range(count):
        context.newest = context.system.apply(
            configuration_trials.declare(index), base=1 + index
        )


@behave.when('"{name}" is resumed')
def step_go_on(context, name):
    context.system.processes.resume(name)


@behave.then("every running node has the newest number and one digest")
def step_newest(context):
    context.system.wait_for_number(context.newest)
    nodes = [
        configuration_trials.read_node(context.system, name)
        for name in context.system.nodes
    ]
    assert {node["configuration_number"] for node in nodes} == {context.newest}
    assert len({node["configuration_digest"] for node in nodes}) == 1, nodes


@behave.when("the store goes down")
def step_down(context):
    processes.change_knobs(context.system.platform, table_down=True)


@behave.then('a change is refused as "{code}"')
def step_refused(context, code):
    path = write_file(context, "one", configuration_trials.declare(1))
    result = run_command(context, "node-1", *apply_words(path, 1, "ana"))
    assert result[0] == REFUSED and result[1]["code"] == code, result


@behave.when('"{name}" is killed and started again')
def step_restart(context, name):
    context.system.processes.kill(name)
    context.system.start_node(name)
    context.restarted = name


@behave.then("it was never ready with an older number")
def step_ready(context):
    node = configuration_trials.read_node(context.system, context.restarted)
    assert node["state"] == "ready" and node["configuration_number"] == 1, node


@behave.when("the store comes back")
def step_back(context):
    processes.change_knobs(context.system.platform, table_down=False)


@behave.then("a change is accepted and in force on 3 of 3 nodes")
def step_in_force(context):
    path = write_file(context, "one", configuration_trials.declare(1))
    result = run_command(context, "node-1", *apply_words(path, 1, "ana"))
    assert result[0] == 0 and len(result[1]["nodes"]) == 3, result


@behave.when('an operator drains "{backend}"')
def step_drain(context, backend):
    context.backend = backend
    result = run_command(context, "node-1", "drain", backend, "--author=ana")
    assert result[0] == 0, result


def is_leaving(context, node):
    rows = context.system.read_status(node)["backends"]
    return next(r["leaving"] for r in rows if r["backend"] == context.backend)


def wait_leaving(context, wanted):
    for node in context.system.nodes:
        processes.wait_for(
            lambda node=node: is_leaving(context, node) is wanted,
            f"{context.backend} leaving: {wanted} on {node}",
        )


@behave.then("it is leaving on every node")
def step_leaving(context):
    wait_leaving(context, wanted=True)


@behave.when('an operator adds "{backend}" again')
def step_add(context, backend):
    result = run_command(context, "node-2", "add", backend, "--author=ana")
    assert result[0] == 0, result


@behave.then("it is not leaving on any node")
def step_not_leaving(context):
    wait_leaving(context, wanted=False)


def apply_sections(context, sections):
    base = configuration_trials.read_number(context, "node-1")
    path = write_file(context, "sections", sections)
    result = run_command(context, "node-1", *apply_words(path, base, "ana"))
    assert result[0] == 0, result


def is_served(context, key):
    return (
        context.system.send_model_request(
            "node-3", "hello", max_tokens=2, key=key
        ).status
        == 200
    )


@behave.when("an operator rotates an account's key")
def step_rotate(context):
    old = system.declare_account(system.CALLER_KEY)
    second = {"second_key_hash": system.hash_key(OTHER_KEY)}
    apply_sections(context, {f"account {system.ACCOUNT}": {**old, **second}})
    context.served = [is_served(context, system.CALLER_KEY)]
    context.served.append(is_served(context, OTHER_KEY))
    new = system.declare_account(OTHER_KEY)
    apply_sections(context, {f"account {system.ACCOUNT}": new})
    context.served.append(is_served(context, system.CALLER_KEY))
    context.served.append(is_served(context, OTHER_KEY))


@behave.then("the old and the new key serve, then the new one alone")
def step_rotated(context):
    assert context.served == [True, True, False, True], context.served


@behave.when("an operator retires a template that is in use")
def step_retire(context):
    sections = {
        "template t": {"burst": 5},
        **configuration_trials.declare(7, template="t"),
    }
    apply_sections(context, sections)
    words = ("retire", "template", "t", "--author=ana")
    context.result = run_command(context, "node-1", *words)


@behave.then("the command ends with 1 and names the account")
def step_named(context):
    code, value, _ = context.result
    assert code == REFUSED and "[account a7]" in value["detail"], context.result
