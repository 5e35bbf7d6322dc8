"""Measure the rate and cost of postings, with and without group writes.

Run `python -m bench.postings`; it starts and stops stand-ins on loopback.
"""

import collections
import os
import pathlib
import random
import time
import typing

import attrs
import cappa
import trio

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_area
from jujubepass.calls import (
    _call_area,
    _call_control,
    _call_journal,
    _call_messages,
    _call_steps,
    _service_client,
)
from jujubepass.membership import _vm_client
from jujubepass.nodes import _blackboard, _dispatch, _node_messages, _shell
from jujubepass.storage import _store_messages, _table_client
from jujubepass.transport import _http_client
from standins import processes, system

_ACCOUNT = ids.AccountId("munafa-counter")
_SERVICE = ids.ServiceId("postings")
_BACKENDS = 3
_REQUEST_SECONDS = 10.0
_TICK_SECONDS = 0.02
_FIRST_PORT = int(os.environ.get("JUJUBEPASS_FIRST_PORT", "10000"))


@attrs.frozen(kw_only=True)
class Variant:
    """Describe a way to write rows."""

    name: str
    largest_group: int
    claims_first: bool = False


VARIANTS = (
    Variant(name="one write, alone", largest_group=1),
    Variant(name="one write, grouped", largest_group=100),
    Variant(name="claim, then dispatch, alone", largest_group=1, claims_first=True),
    Variant(name="claim, then dispatch, grouped", largest_group=100, claims_first=True),
)


class ClaimingSteps(_call_steps.CallSteps):
    """Write each row a second time before the call is sent."""

    def send(self, call: _call_area.OpenCall, now: float) -> list[_dispatch.Command]:
        """Write the row a second time, then send the call."""
        if call.attempts % 2:
            return self._write_attempt(call, _call_area.CallStep.OPENING, now)
        return super().send(call, now)


class Counts(collections.Counter[str]):
    """Count retries and unknown outcomes."""

    def count_retry(self, reason: typing.Any) -> None:
        self[reason.value] += 1

    def count_unknown_outcome(self, cause: typing.Any) -> None:
        self[cause.value] += 1


@attrs.define(kw_only=True)
class Journal:
    """Run the call controllers on a shell without listeners."""

    variant: Variant
    trial: system.System
    waiting: dict[str, trio.Event] = attrs.field(factory=dict)
    answered: int = 0
    refused: int = 0
    seconds: list[float] = attrs.field(factory=list)
    blackboard: _blackboard.Blackboard = attrs.field(init=False)
    counts: Counts = attrs.field(factory=Counts, init=False)

    def make_shell(self, nursery: trio.Nursery) -> _shell.Shell:
        identity = _blackboard.Identity(
            node=ids.NodeId("bench"),
            incarnation=self.variant.name,
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("a"),
        )
        self.blackboard = _blackboard.Blackboard(identity=identity)
        self.blackboard.node.state = _node_messages.NodeState.READY
        controllers = _call_control.make_controllers(
            blackboard=self.blackboard,
            counters=self.counts,
            timing=_call_journal.CallTiming(),
            random=random.Random(1),
            largest_group=self.variant.largest_group,
        )
        if self.variant.claims_first:
            self._claim_first(controllers)
        dispatcher = _dispatch.Dispatcher(controllers=controllers)
        shell = _shell.Shell(dispatcher=dispatcher, nursery=nursery)
        self._connect(shell)
        return shell

    def _claim_first(self, controllers: list[typing.Any]) -> None:
        steps = controllers[0].steps
        claiming = ClaimingSteps(
            blackboard=steps.blackboard,
            counters=steps.counters,
            journal=steps.journal,
            balance=steps.balance,
        )
        controllers[0].steps = controllers[1].steps = claiming

    def _connect(self, shell: _shell.Shell) -> None:
        client = _http_client.Client()
        address = _http_client.Address(host=processes.HOST, port=self.trial.platform)
        table = _table_client.HttpTable(
            client=client, address=address, timeout_seconds=2.0
        )
        services = _service_client.ServiceClient(client=client, post=shell.post)

        def post_outcome(run_operation: typing.Any) -> typing.Any:
            async def execute(command: typing.Any) -> None:
                shell.post(await run_operation(command))

            return execute

        shell.register_spawned(_store_messages.Transact, post_outcome(table.transact))
        shell.register_spawned(_store_messages.ReadRows, post_outcome(table.read))
        shell.register_spawned(_store_messages.ScanRows, post_outcome(table.scan))
        shell.register_spawned(_call_messages.SendCall, services.send_call)
        shell.register_spawned(_call_messages.AskOutcome, services.query_outcome)
        shell.register_immediate(_call_messages.AnswerCall, self.record_answer)
        shell.register_immediate(_answer_messages.Refuse, self.record_refusal)

    def record_answer(self, answer: _call_messages.AnswerCall) -> None:
        self.answered += 1
        self.waiting.pop(answer.request).set()

    def record_refusal(self, refusal: _answer_messages.Refuse) -> None:
        self.refused += 1
        self.waiting.pop(refusal.request).set()

    async def list_backends(self, shell: _shell.Shell) -> None:
        found: list[typing.Any] = []
        vms = _vm_client.VmClient(
            client=_http_client.Client(),
            address=_http_client.Address(host=processes.HOST, port=self.trial.platform),
            post=found.append,
        )
        await vms.poll(None)
        area = self.blackboard.backends
        for vm in found[0].vms:
            backend = _backend_area.BackendServer(vm=vm)
            area.services[ids.BackendServerId(vm.name)] = backend

    async def post_calls(self, shell: _shell.Shell, worker: int) -> None:
        for index in range(10**9):
            request = ids.RequestId(f"{worker}-{index}")
            self.waiting[request] = event = trio.Event()
            self.blackboard.limits.admitted[request] = _ACCOUNT
            now = trio.current_time()
            key = f"{self.variant.name}-{request}"
            shell.post(
                _call_messages.CallArrived(
                    request=request,
                    account=_ACCOUNT,
                    service=_SERVICE,
                    key=ids.IdempotencyKey(key),
                    path="/credits",
                    body='{"amount": 1250}',
                    body_digest=key,
                    deadline=now + _REQUEST_SECONDS,
                )
            )
            await event.wait()
            del self.blackboard.limits.admitted[request]
            self.seconds.append(trio.current_time() - now)


async def _tick(shell: _shell.Shell) -> None:
    while True:
        shell.post(_node_messages.Tick())
        await trio.sleep(_TICK_SECONDS)


def read_table_counts(trial: system.System) -> int:
    """Return the number of transactions that the table has executed."""
    return int(processes.read_counts(trial.platform)["transactions"])


async def measure(
    variant: Variant, trial: system.System, concurrency: int, seconds: float
) -> None:
    """Run one variant for a number of seconds and print its figures."""
    journal = Journal(variant=variant, trial=trial)
    async with trio.open_nursery() as nursery:
        shell = journal.make_shell(nursery)
        await journal.list_backends(shell)
        shell.post(_call_messages.WallClockRead(seconds=time.time()))
        nursery.start_soon(_tick, shell)
        transactions = await trio.to_thread.run_sync(read_table_counts, trial)
        started, cpu = trio.current_time(), time.process_time()
        for worker in range(concurrency):
            nursery.start_soon(journal.post_calls, shell, worker)
        await trio.sleep(seconds)
        elapsed = trio.current_time() - started
        cpu = time.process_time() - cpu
        transactions_after = await trio.to_thread.run_sync(read_table_counts, trial)
        nursery.cancel_scope.cancel()
    print_line(journal, elapsed, cpu, (transactions_after - transactions) / elapsed)


def print_line(
    journal: Journal, elapsed: float, cpu: float, transactions: float
) -> None:
    """Print the figures of a variant."""
    answered = max(1, journal.answered)
    ranked = sorted(journal.seconds) or [0.0]
    print(
        f"{journal.variant.name:31}"
        f"{journal.answered / elapsed:9.0f} postings/s"
        f"{transactions:7.0f} transactions/s"
        f"{1e3 * cpu / answered:7.2f} ms CPU each"
        f"{1e3 * ranked[len(ranked) // 2]:8.1f} ms p50"
        f"{1e3 * ranked[int(0.99 * (len(ranked) - 1))]:8.1f} ms p99"
        f"{journal.refused:5} refused",
        flush=True,
    )


def read_cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _post_to_node(port: int, worker: int, answered: list[int]) -> None:
    client = _http_client.Client()
    address = _http_client.Address(host=processes.HOST, port=port)
    for index in range(10**9):
        answer = await client.request(
            "POST",
            address,
            f"/services/{_SERVICE}/credits",
            body=b'{"amount": 1250}',
            headers={
                "authorization": f"Bearer {system.CALLER_KEY}",
                "idempotency-key": f"whole-{worker}-{index}",
            },
            timeout_seconds=_REQUEST_SECONDS,
        )
        answered.append(answer.status)


async def measure_node(trial: system.System, concurrency: int, seconds: float) -> None:
    """Send postings to a node process and print the cost of one posting."""
    answered: list[int] = []
    pid = trial.processes.get_pid("node-1")
    port = trial.nodes["node-1"].callers
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            cpu = read_cpu_seconds(pid)
            for worker in range(concurrency):
                nursery.start_soon(_post_to_node, port, worker, answered)
    cpu = read_cpu_seconds(pid) - cpu
    done = answered.count(200)
    print(
        f"{'request path through one node':31}{done / seconds:9.0f} postings/s"
        f"{1e3 * cpu / max(1, done):32.2f} ms CPU each"
        f"{len(answered) - done:5} refused",
        flush=True,
    )


def start_node(trial: system.System) -> None:
    """Start one node with an account whose limits are not reached."""
    trial.start_node("node-1")
    account = system.declare_account(
        system.CALLER_KEY, requests_per_second=10_000, burst=10_000, concurrency=1_000
    )
    sections = {f"service {_SERVICE}": {}, f"account {_ACCOUNT}": account}
    trial.wait_for_number(trial.apply(sections))


@cappa.command(name="postings")
@attrs.define(kw_only=True)
class Arguments:
    """Measure postings a second through the journal, for each variant."""

    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 5.0
    concurrency: typing.Annotated[int, cappa.Arg(long=True)] = 128
    transactions_per_second: typing.Annotated[float, cappa.Arg(long=True)] = 500.0
    runs_per_second: typing.Annotated[float, cappa.Arg(long=True)] = 5_000.0


def main() -> None:
    """Start the stand-ins and measure each variant."""
    arguments = cappa.parse(Arguments, completion=False)
    specs = [
        system.ServiceSpec(name=f"postings-{index}", service=_SERVICE)
        for index in range(_BACKENDS)
    ]
    with system.System(first_port=_FIRST_PORT) as trial:
        trial.start_platform()
        trial.start_services(specs)
        processes.change_knobs(
            trial.platform, transactions_per_second=arguments.transactions_per_second
        )
        for port in trial.services.values():
            processes.change_knobs(port, runs_per_second=arguments.runs_per_second)
        print(
            f"{arguments.concurrency} callers, {_BACKENDS} backend servers, table at"
            f" {arguments.transactions_per_second:g} transactions/s, each server at"
            f" {arguments.runs_per_second:g} runs/s"
        )
        for variant in VARIANTS:
            trio.run(measure, variant, trial, arguments.concurrency, arguments.seconds)
        start_node(trial)
        trio.run(measure_node, trial, arguments.concurrency, arguments.seconds)


if __name__ == "__main__":
    main()
