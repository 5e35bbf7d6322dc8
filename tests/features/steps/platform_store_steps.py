import time

import behave

from standins import forwarding_system, processes

# Time limits that the users require.
MAX_UNCONFIRMED_SECONDS = 3.5
MAX_RECOVERY_SECONDS = 2.5


FAULT_KNOBS = {
    "503": {"status": 503},
    "429": {"status": 429},
    "no answer": {"silent": True},
    "reset": {"reset": True},
}
NO_FAULT_KNOBS = {"status": 0, "silent": False, "reset": False}


@behave.when('the store fails with "{fault}" for 4 seconds')
def step_store_fails(context, fault):
    # Waits for changes that began before the fault end within two seconds.
    processes.change_knobs(context.system.store_port, **FAULT_KNOBS[fault])
    context.failed_at = time.monotonic()


@behave.then(
    "each node refuses keys within 3.5 seconds of its last confirmation"
    " and is not ready"
)
def step_stale(context):
    def is_stale(node):
        answer = context.system.send_request(node, "GET", forwarding_system.LOOKUP_PATH)
        return answer.status == 503 and not context.system.is_ready(node)

    # A wait for changes that began before the fault may still confirm the configuration
    # for two seconds.
    max_seconds = MAX_UNCONFIRMED_SECONDS + 2.0
    for node in context.system.nodes:
        timeout_seconds = context.failed_at + max_seconds - time.monotonic()
        processes.wait_for(
            lambda node=node: is_stale(node), f"{node} stale", timeout_seconds
        )


@behave.then("when the store is back, each node serves again within 2.5 seconds")
def step_recovered(context):
    processes.change_knobs(context.system.store_port, **NO_FAULT_KNOBS)
    for node in context.system.nodes:
        processes.wait_for(
            lambda node=node: context.system.is_ready(node), node, MAX_RECOVERY_SECONDS
        )
        answer = context.system.send_request(node, "GET", forwarding_system.LOOKUP_PATH)
        assert answer.status == 200, answer


@behave.then("an engine killed afterwards is replaced by a new plan")
def step_planned_around(context):
    context.system.processes.kill("e2")
    context.execute_steps(
        "Then streams are served in each failure domain within 10 seconds"
    )


@behave.when("the store loses its history of changes")
def step_lose_history(context):
    processes.call("POST", context.system.store_port, "/forget", {})


@behave.when("other writers list backend servers that cannot be decoded")
def step_unreadable(context):
    write = context.system.write_row
    write("servers", "x1", b"\xff not JSON")
    write("servers", "x2", {"service": forwarding_system.MODEL_SERVICE})
    write("servers", "x3", [1, 2])
    write("servers", "x4", {"service": 7, "address": "1:2", "zone": "a", "state": "up"})
    write("servers", "e1", b"{")
    time.sleep(0.5)
