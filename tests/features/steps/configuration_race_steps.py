import random
import threading
import time

import behave

from jujubepass.transport import _http_client
from standins import processes, system
from tests import configuration_trials

CHANGES_IN_RACE = 40


def propose(running, node, change, base, sections):
    """Propose a change over HTTP; return (status, body), or None if unclear."""
    body = {"change_id": change, "base": base, "author": change, "sections": sections}
    headers = {"authorization": f"Bearer {system.OPERATOR_KEY}"}
    port = running.nodes[node].operators
    try:
        answer = processes.call(
            "POST", port, "/operator/changes", body, headers=headers
        )
    except _http_client.ClientError:
        return None
    return answer.status, answer.read_json()


def race(context, generator, index):
    names = [name for name in context.system.nodes if name not in context.stopped]
    first, second = generator.sample(names, 2)
    base = max(
        configuration_trials.read_number(context, name) for name in (first, second)
    )
    proposals = []
    for position, node in enumerate((first, second)):
        sections = configuration_trials.declare(position, concurrency=str(1 + index))
        change = f"change-{index}-{position}"
        arguments = (context.system, node, change, base, sections)
        proposals.append((change, arguments))
    threads = [
        threading.Thread(
            target=lambda change=change, arguments=arguments: context.answers.update(
                {change: propose(*arguments)}
            )
        )
        for change, arguments in proposals
    ]
    for thread in threads:
        thread.start()
    return threads


def inject_process_fault(context, generator):
    name = generator.choice(list(context.system.nodes))
    if name in context.stopped:
        kind = context.stopped.pop(name)
        if kind == "paused":
            context.system.processes.resume(name)
        else:
            context.system.start_node(name, wait=False)
            processes.wait_for(
                lambda: processes.can_connect(context.system.nodes[name].operators),
                f"{name} listens",
            )
    elif len(context.stopped) < 3:
        kind = context.stopped[name] = generator.choice(("paused", "killed"))
        if kind == "paused":
            context.system.processes.suspend(name)
        else:
            context.system.processes.kill(name)


@behave.when(
    "operators race at random nodes while nodes are paused, killed and restarted"
)
def step_nine(context):
    generator = random.Random(3)
    context.answers, context.stopped = {}, {}
    context.sampler = configuration_trials.Sampler(watched=context.system)
    context.add_cleanup(context.sampler.stop)
    for index in range(CHANGES_IN_RACE):
        threads = race(context, generator, index)
        if index % 3 == 0:
            inject_process_fault(context, generator)
        for thread in threads:
            thread.join()
        time.sleep(configuration_trials.SAMPLE_INTERVAL_SECONDS)
    for name, kind in context.stopped.items():
        if kind == "paused":
            context.system.processes.resume(name)
        else:
            context.system.start_node(name)
    context.newest = max(
        configuration_trials.read_number(context, name) for name in context.system.nodes
    )
    context.system.wait_for_number(context.newest)
    context.sampler.stop()


@behave.then("no node's number decreased and no number had two digests")
def step_forward(context):
    assert not context.sampler.violations, context.sampler.violations
    seen = len(context.sampler.digests)
    assert seen > CHANGES_IN_RACE // 2, (seen, context.newest)


@behave.then("each number has one change, and no refused change has a number")
def step_one_each(context):
    path = "/table/scan?prefix=configuration/change/&limit=1000"
    rows = processes.call("GET", context.system.platform, path).read_json()["rows"]
    changes = {row["value"]["number"]: row["value"]["change"] for row in rows}
    assert sorted(changes) == list(range(1, len(changes) + 1)), changes
    assert len(changes) == context.newest, (len(changes), context.newest)
    accepted = {c: a for c, a in context.answers.items() if a and a[0] == 200}
    for change, (_, body) in accepted.items():
        assert changes[body["number"]] == change, (change, body)
    for change, answer in context.answers.items():
        if answer and answer[0] in (409, 422, 503):
            assert change not in changes.values(), (change, answer)
