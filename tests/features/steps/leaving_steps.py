import time

import behave

from jujubepass import declarations, ids
from jujubepass.backends import _backend_messages, _backends, _departures
from jujubepass.membership import _membership_messages
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.transport import _http_client
from standins import processes, system
from tests import traffic

Role = _backend_messages.VmRole
VmState = _backend_messages.VmState
ENGINE = ids.BackendServerId("engine-1")
RECORDS = (
    *system.SERVICES,
    system.ServiceSpec(name="records-2", service="records", checks_fencing=False),
)


def make_vm(name, role, state=VmState.LIVE, service=""):
    return _backend_messages.Vm(
        name=name,
        role=role,
        address=_http_client.Address(host="10.0.0.2", port=1),
        region=ids.RegionId("r"),
        failure_domain=ids.FailureDomainId("d"),
        state=state,
        service=ids.ServiceId(service),
    )


def make_report(incarnation, leaving, age=0.0):
    return _backend_messages.LoadReport(
        engine=ENGINE,
        incarnation=incarnation,
        model=ids.ModelId("m"),
        version="1",
        first_layer=0,
        end_layer=1,
        accelerator="a100",
        running=0,
        waiting=0,
        max_batch=1,
        step_seconds=0.1,
        prefill_tokens_per_second=1.0,
        kv_free_tokens=0,
        leaving=leaving,
        age_seconds=age,
        link_seconds={},
    )


class Observer:
    """Drive the controllers of backend servers and departures."""

    def __init__(self):
        identity = _blackboard.Identity(
            node=ids.NodeId("n"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("d"),
        )
        self.blackboard = _blackboard.Blackboard(identity=identity)
        timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
        controllers = [
            _backends.BackendController(blackboard=self.blackboard, timing=timing),
            _departures.DepartureController(blackboard=self.blackboard),
        ]
        self.dispatcher = _dispatch.Dispatcher(controllers=controllers)
        self.now = 1000.0

    def post(self, event):
        self.now += 0.5
        self.dispatcher.dispatch(event, self.now)

    def list(self, engine_state, age=0.0):
        vms = [make_vm("bookings-1", Role.SERVICE, service="bookings")]
        if engine_state is not None:
            vms.append(make_vm(ENGINE, Role.ENGINE, engine_state))
        self.post(_backend_messages.VmsListed(vms=tuple(vms), age_seconds=age))

    def report(self, incarnation, leaving, age=0.0):
        report = make_report(incarnation, leaving, age)
        self.post(_backend_messages.LoadReported(report=report))

    def drain(self, *names):
        self.blackboard.configuration.declared = declarations.Declarations(
            drained=frozenset(names)
        )
        self.post(_node_messages.Tick())

    def receive_gossip(self, incarnation):
        row = _membership_messages.DepartureRow(
            backend=ENGINE, incarnation=incarnation, age_seconds=0.1
        )
        heartbeat = _membership_messages.Heartbeat(
            node=ids.NodeId("other"),
            incarnation="1",
            state=_node_messages.NodeState.READY,
            configuration_number=ids.ChangeNumber(0),
            configuration_digest="",
            departures=(row,),
        )
        self.post(_membership_messages.HeartbeatReceived(heartbeat=heartbeat))

    def refuse(self, name):
        backend = ids.BackendServerId(name)
        self.post(_backend_messages.LeavingAnswered(backend=backend))


REPORTS = {
    "the list shows engine-1 as leaving": lambda node: node.list(VmState.LEAVING),
    "the list shows engine-1 as live": lambda node: node.list(VmState.LIVE),
    "the list no longer shows engine-1": lambda node: node.list(None),
    "an older list shows engine-1 as live": lambda node: node.list(VmState.LIVE, 9.0),
    "an operator drains engine-1": lambda node: node.drain(ENGINE),
    "an operator drains nothing": lambda node: node.drain(),
    "engine-1 reports that it is leaving": lambda node: node.report("i1", True),
    "engine-1 reports under a new incarnation": lambda node: node.report("i2", False),
    "an older report of engine-1 says that it is not leaving": (
        lambda node: node.report("i1", False, 9.0)
    ),
    "a newer report of engine-1 says that it is not leaving": (
        lambda node: node.report("i1", False)
    ),
    "engine-1 refuses work as leaving": lambda node: node.refuse(ENGINE),
    "bookings-1 refuses work as leaving": lambda node: node.refuse("bookings-1"),
    "a peer reports that engine-1 is leaving": lambda node: node.receive_gossip("i1"),
    "a peer reports that engine-1 was leaving at its old incarnation": (
        lambda node: node.receive_gossip("i1")
    ),
}


@behave.given("a node that knows engine-1 and the service bookings")
def step_observer(context):
    context.observer = Observer()
    context.observer.list(VmState.LIVE)
    context.observer.report("i1", False)
    assert not is_leaving(context)


def is_leaving(context):
    return context.observer.blackboard.backends.engines[ENGINE].leaving


def add_report_step(text):
    @behave.when(text)
    def step_report(context):
        REPORTS[text](context.observer)


for each in REPORTS:
    add_report_step(each)


@behave.when("the list cannot be read for an hour")
def step_unlisted(context):
    for _ in range(7200):
        event = _backend_messages.VmsUnlisted(detail="down")
        context.observer.post(event)
        context.observer.post(_node_messages.Tick())


@behave.then("engine-1 takes no new work")
def step_leaving(context):
    assert is_leaving(context)


@behave.then("engine-1 takes new work")
def step_staying(context):
    assert not is_leaving(context)


@behave.then("the service bookings has no backend server for new work")
def step_service(context):
    service = ids.ServiceId("bookings")
    assert not context.observer.blackboard.backends.list_service_backends(service)


@behave.given("a system of three nodes with traffic")
def step_traffic(context):
    context.system = system.System(first_port=context.first_port)
    context.add_cleanup(context.system.processes.close)
    context.system.start_platform()
    context.system.start_engines()
    context.system.start_services(RECORDS)
    context.system.start_nodes(3)
    number = context.system.apply(system.declare_basics())
    context.system.wait_for_number(number)
    context.traffic = traffic.Traffic(trial=context.system)
    context.add_cleanup(context.traffic.stop)
    context.traffic.wait_for_more()


def count_work(context, engine, service):
    trial = context.system
    engine_counts = processes.read_counts(trial.engines[engine])
    service_counts = processes.read_counts(trial.services[service])
    return (
        len(engine_counts["runs"]),
        engine_counts["asked_after_leaving"],
        service_counts["lookups"],
        service_counts["new_after_leaving"],
    )


def leave_by_own_report(trial, engine, service):
    processes.change_knobs(trial.engines[engine], leaving=True)
    processes.change_knobs(trial.services[service], leaving=True)


def leave_by_list(trial, engine, service):
    port = trial.engines[engine]
    trial.register_vm(engine, "engine", port, state="leaving", accelerator="l4")
    port = trial.services[service]
    trial.register_vm(service, "service", port, state="leaving", service="records")


def leave_by_operator(trial, engine, service):
    trial.apply({f"drain {engine}": {}, f"drain {service}": {}}, base=1)


LEAVE_BY = {
    "their own report": leave_by_own_report,
    "the list": leave_by_list,
    "an operator": leave_by_operator,
}


@behave.when('"{engine}" and "{service}" begin to leave by {way}')
def step_leave(context, engine, service, way):
    context.leaving = (engine, service)
    LEAVE_BY[way](context.system, engine, service)
    context.left_at = time.monotonic()


@behave.then("within {seconds:g} seconds they receive no new work")
def step_no_new_work(context, seconds):
    def received_none():
        before = count_work(context, *context.leaving)
        started = time.monotonic()
        context.traffic.wait_for_more()
        after = count_work(context, *context.leaving)
        context.last_work_before = started - context.left_at
        return before == after

    processes.wait_for(received_none, "no new work", seconds)
    print(f"last new work before {context.last_work_before:.2f} s")


@behave.then("no answer was wrong or refused")
def step_no_faults(context):
    faults = context.traffic.stop()
    assert not faults, faults[:5]
