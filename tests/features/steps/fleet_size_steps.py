import behave

from tests import router_fleet

RATE = 140
# Seconds in which all requests are served, and seconds in which all fail.
SITUATIONS = {
    "no time": (0, 0),
    "a calm time": (40, 0),
    "a burst of failures": (40, 5),
}


# Guards against retries beyond the bound of all nodes, when each node's share did not
# depend on their number.
@behave.given("{count:d} nodes that share a retry allowance")
def step_fleet(context, count):
    context.routers = router_fleet.RouterFleet(count=count)
    context.routers.run(router_fleet.START_SECONDS)


@behave.when(
    "{rate:d} requests a second are served for {calm:d} seconds"
    " and then all fail for {failing:d} seconds"
)
def step_fail(context, rate, calm, failing):
    context.routers.run(calm, requests_per_second=rate, fails=False)
    context.routers.run(failing, requests_per_second=rate, fails=True)
    assert sum(context.routers.retries) > 0


def join_as_many(routers):
    for _ in range(len(routers.nodes)):
        routers.add_node()


def leave_half(routers):
    for node in routers.nodes[::2]:
        node.is_running = False


def resume_all(routers):
    for node in routers.nodes:
        node.is_running = True


def restart_half(routers):
    for node in routers.nodes[::2]:
        routers.restart_node(node)


def stop_reads_of_half(routers):
    for node in routers.nodes[::2]:
        node.can_read = False


def stop_writes_of_half(routers):
    for node in routers.nodes[::2]:
        node.can_write = False


def restart_without_store(routers):
    for node in list(routers.nodes):
        routers.restart_node(node)
    for node in routers.nodes:
        node.can_read = node.can_write = False


CHANGES = {
    "nothing changes": lambda routers: None,
    "as many nodes join": join_as_many,
    "half of the nodes leave": leave_half,
    "all nodes run again": resume_all,
    "half of the nodes restart": restart_half,
    "half of the nodes cannot read the store": stop_reads_of_half,
    "half of the nodes cannot write the store": stop_writes_of_half,
    "all nodes restart without the store": restart_without_store,
}


@behave.when("all requests fail for {seconds:d} seconds")
def step_all_fail(context, seconds):
    context.routers.run(seconds, requests_per_second=RATE, fails=True)


@behave.when("all requests are served for {seconds:d} seconds")
def step_all_served(context, seconds):
    context.routers.run(seconds, requests_per_second=RATE)


@behave.when("after {before}, {change}")
def step_change(context, before, change):
    calm_seconds, failing_seconds = SITUATIONS[before]
    context.routers.run(calm_seconds, requests_per_second=RATE)
    context.routers.run(failing_seconds, requests_per_second=RATE, fails=True)
    CHANGES[change](context.routers)


@behave.then("some window has at least {share:g} of the allowance of all nodes")
def step_uses_allowance(context, share):
    used = context.routers.find_most_used()
    assert used >= share, used


@behave.then("no window has more retries than the allowance of all nodes")
def step_within_allowance(context):
    excess, start = context.routers.find_excess()
    assert excess <= 0.0, f"{excess:.0f} retries over, in the window from {start:.1f} s"
