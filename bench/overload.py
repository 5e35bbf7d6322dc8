"""Measure admission under overload: `python -m bench.overload`.

Runs the limit controllers of several nodes against batching engines, under a
simulated clock; the same seed gives the same figures.
"""

import collections
import collections.abc
import heapq
import itertools
import json
import random
import typing

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_area, _answer_messages
from jujubepass.backends import _backend_area, _backend_messages
from jujubepass.limits import _admission, _fairness, _limit_messages, _limits
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.transport import _http_client

MODEL = ids.ModelId("m")
LARGE = ids.AccountId("large")
STEP_SECONDS = 0.03
TOKENS = 64
MAX_BATCH = 8
REPORT_SECONDS = 0.5
TICK_SECONDS = 0.02
WARM_UP_SECONDS = 20.0
"""Requests that arrive within this time from the start are not counted."""


@attrs.frozen(kw_only=True)
class Load:
    """Describe the arrivals, the nodes and the engines of a trial."""

    factor: float
    seconds: float = 80.0
    nodes: int = 3
    engines: int = 12
    small_accounts: int = 10
    small_rate: float = 0.5
    deadline_seconds: float = 8.0
    seed: int = 1

    @property
    def bound(self) -> float:
        """Return the requests a second that engines with full batches complete."""
        return self.engines * MAX_BATCH / (TOKENS * STEP_SECONDS)


@attrs.define(kw_only=True)
class Policy:
    """Describe a policy of admission."""

    name: str
    make_queue: _admission.MakeQueue
    early_refusal: bool
    unbounded: bool = False


class FifoQueue:
    """Queue requests in order of arrival."""

    def __init__(self) -> None:
        self.cost = 0.0
        self._entries: dict[ids.RequestId, _fairness.Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: _fairness.Entry) -> None:
        """Add a request."""
        self._entries[entry.event.request] = entry
        self.cost += entry.cost

    def pop(self) -> _fairness.Entry | None:
        """Remove and return the oldest request."""
        if not self._entries:
            return None
        entry = self._entries.pop(next(iter(self._entries)))
        self.cost -= entry.cost
        return entry

    def remove(self, event: _answer_messages.PromptArrived) -> _fairness.Entry | None:
        """Remove and return a request."""
        entry = self._entries.pop(event.request, None)
        if entry is not None:
            self.cost -= entry.cost
        return entry

    def predict_cost_ahead(self, account: ids.AccountId, weight: float) -> float:
        """Return the cost of all queued requests."""
        return self.cost


POLICIES = (
    Policy(name="naive", make_queue=FifoQueue, early_refusal=False, unbounded=True),
    Policy(name="fifo", make_queue=FifoQueue, early_refusal=True),
    Policy(name="fair", make_queue=_fairness.StartTimeFairQueue, early_refusal=True),
)


@attrs.define(kw_only=True)
class Engine:
    """Simulate an engine that runs one batch at a fixed step and queues the rest."""

    name: str
    running: dict[ids.RequestId, float] = attrs.field(factory=dict)
    waiting: dict[ids.RequestId, int] = attrs.field(factory=dict)

    def describe(self) -> _backend_messages.LoadReport:
        """Return the load report."""
        return _backend_messages.LoadReport(
            engine=ids.BackendServerId(self.name),
            incarnation="1",
            model=MODEL,
            version="1",
            first_layer=0,
            end_layer=1,
            accelerator="x",
            running=len(self.running),
            waiting=len(self.waiting),
            max_batch=MAX_BATCH,
            step_seconds=STEP_SECONDS,
            prefill_tokens_per_second=1e6,
            kv_free_tokens=1_000_000,
            leaving=False,
            age_seconds=0.0,
            link_seconds={},
        )


@attrs.define(kw_only=True)
class Node:
    """Group the blackboard and the dispatcher of one node."""

    blackboard: _blackboard.Blackboard
    dispatcher: _dispatch.Dispatcher


@attrs.define(kw_only=True)
class Result:
    """Count the outcomes of requests and record their times."""

    arrived: int = 0
    in_time: int = 0
    missed_deadline: int = 0
    refusals: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refusal_waits: list[float] = attrs.field(factory=list)
    small_seconds: list[float] = attrs.field(factory=list)
    large_seconds: list[float] = attrs.field(factory=list)
    small_arrived: int = 0
    small_in_time: int = 0
    retry_after: list[float] = attrs.field(factory=list)


class Trial:
    """Run one policy under one load."""

    def __init__(self, load: Load, policy: Policy) -> None:
        self.load = load
        self.policy = policy
        self.random = random.Random(load.seed)
        self.result = Result()
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._engines = [Engine(name=f"e{i}") for i in range(load.engines)]
        self._accounts = declare_accounts(load.small_accounts)
        self._nodes = [self._make_node(i) for i in range(load.nodes)]
        self._prompts: dict[ids.RequestId, _answer_messages.PromptArrived] = {}
        self._arrived_at: dict[ids.RequestId, float] = {}
        self._nodes_by_request: dict[ids.RequestId, Node] = {}
        self._engines_by_request: dict[ids.RequestId, Engine] = {}

    def run(self) -> Result:
        """Run until the last request has ended."""
        large = self.load.factor * self.load.bound
        large -= self.load.small_accounts * self.load.small_rate
        self._schedule_arrivals(LARGE, large)
        for index in range(self.load.small_accounts):
            account = ids.AccountId(f"small-{index}")
            self._schedule_arrivals(account, self.load.small_rate)
        for node in self._nodes:
            offset = self.random.random() * TICK_SECONDS
            self._repeat(offset, TICK_SECONDS, self._make_tick(node))
            offset = self.random.random() * REPORT_SECONDS
            self._repeat(offset, REPORT_SECONDS, self._make_report(node))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _make_node(self, index: int) -> Node:
        identity = _blackboard.Identity(
            node=ids.NodeId(f"n{index}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("d"),
        )
        blackboard = _blackboard.Blackboard(identity=identity)
        blackboard.node.state = _node_messages.NodeState.READY
        blackboard.configuration.declared = self._accounts
        address = _http_client.Address(host="127.0.0.1", port=1)
        for other in range(self.load.nodes):
            name = ids.NodeId(f"n{other}")
            if other != index:
                blackboard.membership.peers[name] = _membership_area.Peer(
                    node=name, address=address
                )
        for engine in self._engines:
            name = ids.BackendServerId(engine.name)
            vm = typing.cast(_backend_messages.Vm, None)
            blackboard.backends.engines[name] = _backend_area.BackendServer(
                vm=vm, report=engine.describe()
            )
        admission = _admission.Admission(
            blackboard=blackboard,
            make_queue=self.policy.make_queue,
            early_refusal=self.policy.early_refusal,
        )
        if self.policy.unbounded:
            blackboard.backends.engines.clear()
        limits = _limits.LimitController(blackboard=blackboard, admission=admission)
        return Node(
            blackboard=blackboard, dispatcher=_dispatch.Dispatcher(controllers=[limits])
        )

    def _schedule(
        self, when: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _repeat(
        self, when: float, period: float, action: collections.abc.Callable[[], None]
    ) -> None:
        def _run() -> None:
            action()
            if self.now < self.load.seconds + 2 * self.load.deadline_seconds:
                self._schedule(self.now + period, _run)

        self._schedule(when, _run)

    def _make_tick(self, node: Node) -> collections.abc.Callable[[], None]:
        return lambda: self._post(node, _node_messages.Tick())

    def _make_report(self, node: Node) -> collections.abc.Callable[[], None]:
        def _report() -> None:
            for engine in self._engines:
                name = ids.BackendServerId(engine.name)
                backend = node.blackboard.backends.engines.get(name)
                if backend is not None:
                    backend.report = engine.describe()

        return _report

    def _schedule_arrivals(self, account: ids.AccountId, rate: float) -> None:
        when = self.random.expovariate(rate)
        while when < self.load.seconds:
            self._schedule(when, lambda: self._arrive(account))
            when += self.random.expovariate(rate)

    def _arrive(self, account: ids.AccountId) -> None:
        request = ids.RequestId(f"r{next(self._order)}")
        event = _answer_messages.PromptArrived(
            request=request,
            account=account,
            model=MODEL,
            prompt=("a",) * 16,
            max_tokens=TOKENS,
            priority=1,
            deadline=self.now + self.load.deadline_seconds,
        )
        node = self.random.choice(self._nodes)
        self._prompts[request] = event
        self._nodes_by_request[request] = node
        self._arrived_at[request] = self.now
        if self._is_counted(request):
            self.result.arrived += 1
            self.result.small_arrived += account != LARGE
        self._post(node, event)

    def _is_counted(self, request: ids.RequestId) -> bool:
        return self._arrived_at[request] >= WARM_UP_SECONDS

    def _post(self, node: Node, event: typing.Any) -> None:
        for command in node.dispatcher.dispatch(event, self.now):
            if isinstance(command, _answer_messages.Refuse):
                self._refuse(node, command)
            elif isinstance(command, _limit_messages.StartQueued):
                self._start(node, command.event)
        arrived = isinstance(event, _answer_messages.PromptArrived)
        if arrived and event.request in node.blackboard.limits.admitted:
            self._start(node, event)

    def _refuse(self, node: Node, command: _answer_messages.Refuse) -> None:
        if self._is_counted(command.request):
            self.result.refusals[command.reason.code] += 1
            self.result.retry_after.append(command.retry_after_seconds)
            waited = self.now - self._arrived_at[command.request]
            self.result.refusal_waits.append(waited)
        self._post(node, _limit_messages.RequestEnded(request=command.request))

    def _start(self, node: Node, event: _answer_messages.PromptArrived) -> None:
        answer = _answer_area.Answer(
            arrived=event, arrived_at=self.now, layers=1, epoch=ids.Epoch(1)
        )
        node.blackboard.answers.answers[event.request] = answer
        engine = min(
            self._engines, key=lambda each: len(each.running) + len(each.waiting)
        )
        self._engines_by_request[event.request] = engine
        if len(engine.running) < MAX_BATCH:
            self._run_on(engine, event.request)
        else:
            engine.waiting[event.request] = 1
            self._schedule(event.deadline, lambda: self._expire(engine, event.request))

    def _run_on(self, engine: Engine, request: ids.RequestId) -> None:
        deadline = self._prompts[request].deadline
        engine.running[request] = deadline
        completed_at = self.now + TOKENS * STEP_SECONDS
        self._schedule(
            min(completed_at, deadline),
            lambda: self._end_run(request, completed_at <= deadline),
        )

    def _expire(self, engine: Engine, request: ids.RequestId) -> None:
        if engine.waiting.pop(request, None) is not None:
            self._end_request(request, False)

    def _end_run(self, request: ids.RequestId, completed: bool) -> None:
        engine = self._engines_by_request[request]
        del engine.running[request]
        if engine.waiting:
            next_request = next(iter(engine.waiting))
            del engine.waiting[next_request]
            self._run_on(engine, next_request)
        self._end_request(request, completed)

    def _end_request(self, request: ids.RequestId, completed: bool) -> None:
        node = self._nodes_by_request[request]
        if self._is_counted(request):
            self._record_end(request, completed)
        node.blackboard.answers.answers[request].sent = [""] * TOKENS
        if completed:
            end = _answer_messages.AttemptEnded(
                request=request,
                epoch=ids.Epoch(1),
                end=_answer_messages.AnswerEnd.LENGTH,
            )
            self._post(node, end)
        del node.blackboard.answers.answers[request]
        self._post(node, _limit_messages.RequestEnded(request=request))

    def _record_end(self, request: ids.RequestId, completed: bool) -> None:
        seconds = self.now - self._arrived_at[request]
        small = self._prompts[request].account != LARGE
        self.result.in_time += completed
        self.result.missed_deadline += not completed
        self.result.small_in_time += completed and small
        if completed:
            durations = (
                self.result.small_seconds if small else self.result.large_seconds
            )
            durations.append(seconds)


def declare_accounts(small_accounts: int) -> declarations.Declarations:
    """Declare one large account and several small ones with very high limits."""
    names = [LARGE, *(ids.AccountId(f"small-{i}") for i in range(small_accounts))]
    accounts = {
        name: declarations.Account(
            name=name,
            template=ids.TemplateId("t"),
            key_hash=name,
            requests_per_second=1e4,
            burst=1e4,
            concurrency=100_000,
        )
        for name in names
    }
    models = {MODEL: declarations.Model(name=MODEL, layers=1)}
    return declarations.Declarations(models=models, accounts=accounts)


def compute_quantile(values: collections.abc.Sequence[float], quantile: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0
    )


def summarize(load: Load, policy: Policy, result: Result) -> dict[str, object]:
    """Return one row of figures."""
    counted_seconds = load.seconds - WARM_UP_SECONDS
    early = reasons.RefusalReason.DEADLINE_UNREACHABLE.code
    return {
        "policy": policy.name,
        "load": load.factor,
        "goodput_of_bound": round(result.in_time / counted_seconds / load.bound, 3),
        "late": result.missed_deadline,
        "refused_deadline": result.refusals[early],
        "refused_other": result.refusals.total() - result.refusals[early],
        "refused_after_1_s": sum(wait > 1.0 for wait in result.refusal_waits),
        "refusal_p95_s": round(compute_quantile(result.refusal_waits, 0.95), 3),
        "retry_after_p50_s": round(compute_quantile(result.retry_after, 0.5), 2),
        "small_in_time": round(result.small_in_time / max(1, result.small_arrived), 3),
        "small_p95_s": round(compute_quantile(result.small_seconds, 0.95), 2),
        "large_p95_s": round(compute_quantile(result.large_seconds, 0.95), 2),
    }


def measure(
    factors: collections.abc.Iterable[float], seed: int = 1, nodes: int = 3
) -> list[dict[str, object]]:
    """Measure every policy at every load."""
    rows = []
    for factor, policy in itertools.product(factors, POLICIES):
        load = Load(factor=factor, seed=seed, nodes=nodes)
        rows.append(summarize(load, policy, Trial(load, policy).run()))
    return rows


def main() -> None:
    """Print one JSON line for each policy and load."""
    for row in measure((0.5, 1.0, 2.0, 4.0)):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
