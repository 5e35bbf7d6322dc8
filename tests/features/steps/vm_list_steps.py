import behave
import trio

from jujubepass.backends import _backend_messages
from jujubepass.membership import _vm_client
from jujubepass.transport import _http_client
from standins import processes, system


@behave.given('a platform that lists "{first}" and "{second}"')
def step_platform(context, first, second):
    context.system = system.System(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_platform()
    for name in (first, second):
        add_vm(context, name)
    context.events = []
    address = _http_client.Address(host=processes.HOST, port=context.system.platform)
    context.vm_client = _vm_client.VmClient(
        client=_http_client.Client(), address=address, post=context.events.append
    )


def add_vm(context, name):
    context.system.register_vm(name, name.partition("-")[0], 9_999)


@behave.given("a row of an unknown role and one without an address")
def step_bad_rows(context):
    port = context.system.platform
    context.system.register_vm("printer-1", "printer", 9_999)
    processes.call("PUT", port, "/vms/engine-9", {"role": "engine"})


@behave.when("the list is read twice")
def step_twice(context):
    read_list(context, times=2)


@behave.when('"{name}" joins and the list is read')
def step_join(context, name):
    add_vm(context, name)
    read_list(context, times=1)


def read_list(context, times):
    context.events.clear()

    async def run():
        for _ in range(times):
            await context.vm_client.poll(_backend_messages.PollVms())

    trio.run(run)


@behave.then('both times "{names}" are listed')
def step_both(context, names):
    assert len(context.events) == 2, context.events
    check_names(context, names)


@behave.then('"{names}" are listed')
def step_listed(context, names):
    assert len(context.events) == 1, context.events
    check_names(context, names)


def check_names(context, names):
    for event in context.events:
        assert isinstance(event, _backend_messages.VmsListed), event
        assert sorted(vm.name for vm in event.vms) == names.split(", "), event


@behave.then("the platform sent its list {count:d} time")
def step_sent(context, count):
    counts = processes.read_counts(context.system.platform)
    assert counts["vm_lists"] == count, counts
