"""Simulation of nodes' controllers and engines under a simulated clock."""

import heapq
import itertools
import random

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages, _answers, _attempts
from jujubepass.backends import _backend_messages, _backends
from jujubepass.limits import _limit_messages
from jujubepass.membership import _membership_area
from jujubepass.nodes import _blackboard, _dispatch, _node_messages
from jujubepass.transport import _http_client
from standins import model
from tests import small_parts

MODEL = ids.ModelId("stairs-32")
LAYERS = 32
TICK_SECONDS = 0.02
LATENCY_SECONDS = 0.001
REPORT_LAG_SECONDS = 0.2
LINK_SECONDS = 0.001


class Trial:
    """Run nodes' controllers and simulated engines under one clock."""

    def __init__(self, *, engines, make_policies, nodes=1, seed=1, line_faults=None):
        self.now = 0.0
        self.random = random.Random(seed)
        self.line_faults = line_faults or small_parts.LineFaults()
        self.engines = {engine.name: engine for engine in engines}
        self.delivered = {}
        self.attempts = {}
        self._heap = []
        self._order = itertools.count()
        self.nodes = [self._make_node(i, nodes, make_policies) for i in range(nodes)]
        self._record_loads()
        self.run_until(1.0)

    def _make_node(self, index, nodes, make_policies):
        identity = _blackboard.Identity(
            node=ids.NodeId(f"node-{index}"),
            incarnation="1",
            region=ids.RegionId("r"),
            failure_domain=ids.FailureDomainId("a"),
        )
        board = _blackboard.Blackboard(identity=identity)
        board.configuration.declared = declarations.Declarations(
            models={MODEL: declarations.Model(name=MODEL, layers=LAYERS)}
        )
        for other in range(nodes - 1):
            name = ids.NodeId(f"peer-{other}")
            board.membership.peers[name] = _membership_area.Peer(
                node=name, address=_http_client.Address(host="peer", port=1)
            )
        counts = small_parts.Counts()
        routes, recovery = make_policies(random.Random(index))
        attempts = _attempts.Attempts(
            blackboard=board, routes=routes, recovery=recovery, counters=counts
        )
        timing = _backends.BackendTiming(load_poll_seconds=0.5, vm_poll_seconds=2.0)
        dispatcher = _dispatch.Dispatcher(
            controllers=[
                _backends.BackendController(blackboard=board, timing=timing),
                _answers.AnswerController(attempts=attempts),
            ]
        )
        node = small_parts.Node(
            index=index, board=board, counts=counts, dispatcher=dispatcher
        )
        self.at(index * TICK_SECONDS / nodes, lambda: self._tick(node))
        return node

    def at(self, when, act):
        """Schedule an action."""
        heapq.heappush(self._heap, (when, next(self._order), act))

    def run_until(self, end):
        """Run scheduled actions until the clock reaches `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = end

    def _tick(self, node):
        self.post(node, _node_messages.Tick())
        self.at(self.now + TICK_SECONDS, lambda: self._tick(node))

    def _record_loads(self):
        for engine in self.engines.values():
            engine.past_running.append((self.now, len(engine.running)))
            while (
                len(engine.past_running) > 1
                and engine.past_running[1][0] <= self.now - REPORT_LAG_SECONDS
            ):
                engine.past_running.popleft()
        self.at(self.now + REPORT_LAG_SECONDS / 2, self._record_loads)

    def post(self, node, event):
        """Dispatch an event and execute its commands."""
        for command in node.dispatcher.dispatch(event, self.now):
            name = "_on_" + type(command).__name__
            getattr(self, name)(node, command)

    def send_prompt(self, node, request, prompt, max_tokens, timeout_seconds=60.0):
        """Send a prompt to a node."""
        expected = model.expected_tokens(MODEL, prompt, max_tokens, LAYERS)
        self.delivered[request] = small_parts.Delivered(
            prompt=prompt,
            max_tokens=max_tokens,
            expected=expected,
            sent_at=self.now,
        )
        node.board.limits.admitted[request] = ids.AccountId("account")
        self.post(
            node,
            _answer_messages.PromptArrived(
                request=request,
                account=ids.AccountId("account"),
                model=MODEL,
                prompt=prompt,
                max_tokens=max_tokens,
                priority=1,
                deadline=self.now + timeout_seconds,
            ),
        )

    def disconnect_caller(self, node, request):
        """Disconnect a caller."""
        self.post(node, _answer_messages.CallerLeft(request=request))
        self._end(request, node, "left")

    def inject_fault(self, fault, name):
        """Inject a fault into an engine or clear one."""
        engine = self.engines[name]
        if fault == "kill":
            engine.dead = True
            engine.cached_tokens.clear()
            self._cut_streams(engine)
        elif fault == "restart":
            engine.dead, engine.incarnation = False, engine.incarnation + 1
        elif fault == "freeze":
            engine.frozen = True
        elif fault == "thaw":
            engine.frozen = False
        elif fault == "slow":
            engine.slowdown = 30.0
        else:
            engine.slowdown = 1.0

    def _cut_streams(self, engine):
        for attempt in list(self.attempts.values()):
            if attempt.command.stages[0].engine == engine.name:
                self._fail(attempt, _answer_messages.AttemptFault.STREAM_CUT, engine)

    def _on_PollVms(self, node, command):
        vms = tuple(
            _backend_messages.Vm(
                name=engine.name,
                role=_backend_messages.VmRole.ENGINE,
                address=engine.address,
                region=ids.RegionId("r"),
                failure_domain=ids.FailureDomainId("a"),
                state=_backend_messages.VmState.LIVE,
            )
            for engine in self.engines.values()
        )
        listed = _backend_messages.VmsListed(vms=vms, age_seconds=0.0)
        self.at(self.now + LATENCY_SECONDS, lambda: self.post(node, listed))

    def _on_PollCache(self, node, command):
        return None

    def _on_PollLoad(self, node, command):
        self._answer_poll(node, command.engine, 2.0)

    def _on_ProbeEngine(self, node, command):
        self._answer_poll(node, command.engine, command.timeout_seconds, probe=True)

    def _answer_poll(self, node, name, timeout_seconds, *, probe=False):
        engine = self.engines[name]
        failed = engine.dead or engine.frozen
        delay = 2 * LATENCY_SECONDS
        if engine.frozen and not engine.dead:
            delay = timeout_seconds

        def answer():
            if failed:
                event = _backend_messages.LoadUnanswered(engine=name, detail="silent")
            else:
                event = _backend_messages.LoadReported(report=self._report(engine))
            self.post(node, event)
            if probe:
                probed = _answer_messages.EngineProbed(engine=name, answered=not failed)
                self.post(node, probed)

        self.at(self.now + delay, answer)

    def _report(self, engine):
        at, running = engine.past_running[0]
        return _backend_messages.LoadReport(
            engine=engine.name,
            incarnation=str(engine.incarnation),
            model=MODEL,
            version="1",
            first_layer=engine.first_layer,
            end_layer=engine.end_layer,
            accelerator="a100",
            running=min(running, engine.max_batch),
            waiting=max(0, running - engine.max_batch),
            max_batch=engine.max_batch,
            step_seconds=engine.step_seconds * engine.slowdown,
            prefill_tokens_per_second=engine.prefill_tokens_per_second,
            kv_free_tokens=100_000,
            leaving=False,
            age_seconds=self.now - at,
            link_seconds=dict.fromkeys(self.engines, LINK_SECONDS),
        )

    def _on_StartAttempt(self, node, command):
        delivered = self.delivered[command.request]
        delivered.attempts += 1
        assert list(command.sent) == delivered.expected[: len(command.sent)]
        attempt = small_parts.Attempt(
            node=node, command=command, position=len(command.sent)
        )
        old = self.attempts.get(command.request)
        if old is not None:
            self._remove_attempt(old)
        self.attempts[command.request] = attempt
        first = self.engines[command.stages[0].engine]
        if first.dead:
            fault = _answer_messages.AttemptFault.NOT_CONNECTED
            self.at(
                self.now + LATENCY_SECONDS, lambda: self._fail(attempt, fault, first)
            )
            return
        for stage in command.stages:
            self.engines[stage.engine].running.add(command.request)
        context = len(delivered.prompt) + len(command.sent)
        prefill_seconds = sum(
            (context - self.engines[s.engine].cached_tokens.get(command.request, 0))
            / self.engines[s.engine].prefill_tokens_per_second
            for s in command.stages
        )
        self.at(
            self.now + prefill_seconds + self._get_delay(attempt),
            lambda: self._generate(attempt),
        )

    def _get_delay(self, attempt):
        seconds = 0.0
        for stage in attempt.command.stages:
            engine = self.engines[stage.engine]
            load = max(1.0, len(engine.running) / engine.max_batch)
            seconds += engine.step_seconds * engine.slowdown * load + LINK_SECONDS
        return seconds

    def _generate(self, attempt):
        request = attempt.command.request
        if self.attempts.get(request) is not attempt:
            return
        engines = [self.engines[stage.engine] for stage in attempt.command.stages]
        for engine in engines:
            if engine.dead:
                fault = _answer_messages.AttemptFault.STAGE_FAILED
                self._fail(attempt, fault, engine)
                return
        if any(engine.frozen for engine in engines):
            self.at(self.now + TICK_SECONDS, lambda: self._generate(attempt))
            return
        delivered = self.delivered[request]
        if attempt.position >= len(delivered.expected):
            self._finish(attempt, delivered)
            return
        delivered.generated += 1
        for engine in engines:
            engine.cached_tokens[request] = len(delivered.prompt) + attempt.position
        self._emit_token(attempt, delivered)

    def _finish(self, attempt, delivered):
        whole = len(delivered.expected) == delivered.max_tokens
        end = _answer_messages.AnswerEnd("length" if whole else "stop")
        command = attempt.command
        self._remove_attempt(attempt)
        self.post(
            attempt.node,
            _answer_messages.AttemptEnded(
                request=command.request, epoch=command.epoch, end=end
            ),
        )

    def _emit_token(self, attempt, delivered):
        command, line_faults = attempt.command, self.line_faults
        token = _answer_messages.Token(
            request=command.request,
            epoch=command.epoch,
            position=attempt.position,
            text=delivered.expected[attempt.position],
            receipts=tuple(
                (s.engine, s.first_layer, s.end_layer) for s in command.stages
            ),
        )
        attempt.position += 1
        lines = [token]
        draw = self.random.random
        if draw() < line_faults.duplicated:
            lines.append(token)
        if draw() < line_faults.crossed:
            crossed = ids.RequestId("another")
            lines.insert(0, attrs.evolve(token, request=crossed, text="crossed"))
        if draw() < line_faults.late:
            older = ids.Epoch(command.epoch - 1)
            lines.insert(0, attrs.evolve(token, epoch=older, text="late"))
        if draw() < line_faults.lost:
            lines.remove(token)
        if draw() < line_faults.layers_missing:
            wrong = attrs.evolve(token, receipts=token.receipts[1:], text="wrong")
            lines = [wrong if line is token else line for line in lines]
        if draw() < line_faults.cut:
            first = self.engines[command.stages[0].engine]
            self._fail(attempt, _answer_messages.AttemptFault.STREAM_CUT, first)
            return
        self.at(self.now + self._get_delay(attempt), lambda: self._generate(attempt))
        event = _answer_messages.TokensArrived(
            request=command.request,
            attempt_epoch=command.epoch,
            tokens=tuple(lines),
        )
        if draw() < line_faults.late:
            self.at(self.now + 0.3, lambda: self.post(attempt.node, event))
        self.post(attempt.node, event)

    def _fail(self, attempt, fault, engine):
        command = attempt.command
        if self.attempts.get(command.request) is not attempt:
            return
        self._remove_attempt(attempt)
        self.post(
            attempt.node,
            _answer_messages.AttemptFailed(
                request=command.request,
                epoch=command.epoch,
                fault=fault,
                engine=ids.BackendServerId(engine.name),
                detail="",
            ),
        )

    def _remove_attempt(self, attempt):
        request = attempt.command.request
        if self.attempts.get(request) is attempt:
            del self.attempts[request]
        for stage in attempt.command.stages:
            self.engines[stage.engine].running.discard(request)

    def _on_CancelAttempt(self, node, command):
        attempt = self.attempts.get(command.request)
        if attempt is not None and attempt.command.epoch <= command.epoch:
            self._remove_attempt(attempt)

    def _on_ReleaseCache(self, node, command):
        for stage in command.stages:
            self.engines[stage.engine].cached_tokens.pop(command.request, None)

    def _on_DeliverTokens(self, node, command):
        delivered = self.delivered[command.request]
        assert delivered.ended_at is None, "tokens after the end"
        delivered.tokens += command.tokens
        delivered.times += [self.now] * len(command.tokens)
        assert delivered.tokens == delivered.expected[: len(delivered.tokens)]

    def _on_FinishAnswer(self, node, command):
        delivered = self.delivered[command.request]
        assert delivered.tokens == delivered.expected, delivered
        self._end(command.request, node, command.end)

    def _on_Refuse(self, node, command):
        assert command.retry_after_seconds > 0.0
        assert isinstance(command.reason, reasons.RefusalReason)
        self._end(command.request, node, command.reason)

    def _end(self, request, node, end):
        delivered = self.delivered[request]
        assert delivered.ended_at is None, "ended twice"
        delivered.end, delivered.ended_at = end, self.now
        node.board.limits.admitted.pop(request, None)
        self.at(
            self.now,
            lambda: self.post(node, _limit_messages.RequestEnded(request=request)),
        )
