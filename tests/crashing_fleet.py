"""Simulated nodes, engines and plain servers, and requests that crash them."""

import attrs
import trio

from jujubepass import ids
from jujubepass.forwarding import (
    clocks,
    declarations,
    exchange,
    replies,
    service_choice,
    service_exchange,
    silences,
)
from jujubepass.platform import wire
from tests import (
    quarantine_callers,
    quarantine_engines,
    quarantine_fleet,
    quarantine_records,
    small_fleet,
)

SERVICE = ids.ServiceId("records")
SERVERS = 6
ALLOWED_ENDS = 3
ALLOWED_SENDS_AFTER = quarantine_fleet.ALLOWED_REQUESTS_AFTER
CONTACT_SECONDS = quarantine_fleet.CONTACT_SECONDS
LOOKUP_ROUTE = declarations.Route(
    name="history",
    host=small_fleet.ROUTE.host,
    prefix="/history/",
    repeat_policy=declarations.RepeatPolicy.IDEMPOTENT,
    timeout_seconds=2.5,
    goal_seconds=0.2,
    priority=1,
    destinations=(declarations.Destination(service=SERVICE, weight=1.0),),
    max_attempts=2,
)
BOOKING_ROUTE = attrs.evolve(
    LOOKUP_ROUTE,
    name="visits",
    prefix="/visits/",
    repeat_policy=declarations.RepeatPolicy.NON_IDEMPOTENT,
    max_attempts=1,
)


@attrs.frozen(kw_only=True)
class Call:
    """Describe what a caller asks for, each time that it asks."""

    target: str
    body: str = ""
    parts: tuple[str, ...] = ()

    @property
    def identity(self):
        """Return what its servers recognize a request by, beside the only account."""
        return f"{self.target} {self.body}"


KINDS = {
    "lookup": Call(target="/history/bad"),
    "booking": Call(target="/visits/new", body="bad"),
    "stream": Call(target="/drafts/new", body="bad"),
    "stream with prompt parts": Call(
        target="/drafts/new", body="bad", parts=("system", "common-1", "common-2")
    ),
}
POPULAR = Call(target="/history/popular")


def draw_sound(random_source):
    """Return one of many requests, few of which come again."""
    number = random_source.randrange(10**9)
    kind = random_source.choice(("lookup", "booking", "stream"))
    if kind == "lookup":
        return Call(target=f"/history/{number}")
    if kind == "booking":
        return Call(target="/visits/new", body=f"visit {number}")
    parts = quarantine_callers.draw_sound(random_source)
    return Call(target="/drafts/new", body=f"prompt {number}", parts=parts)


class Node(quarantine_fleet.Node):
    """Serve streams and calls of a plain service."""

    def _make_parts(self):
        super()._make_parts()
        declared = self.blackboard.configuration.declarations
        self.blackboard.configuration.declarations = declarations.Declarations(
            version=1,
            routes=(*declared.routes, LOOKUP_ROUTE, BOOKING_ROUTE),
            services={
                **declared.services,
                SERVICE: declarations.Service(name=SERVICE),
            },
            limits=declared.limits,
            accounts=declared.accounts,
            checks_keys=True,
        )
        self.services = service_exchange.ServiceExchange(
            sender=self.streams.sender,
            admission_control=self.streams.admission_control,
            choice=service_choice.ServiceChoice(
                blackboard=self.blackboard,
                suspects=self.suspects,
                silences=silences.Silences(area=self.blackboard.backends),
            ),
            permits=small_fleet.make_permits(self.blackboard),
            guard=self.streams.guard,
            suspects=self.suspects,
            budgets=self.streams.budgets,
            count_retry=lambda reason: None,
        )

    def find_exchange(self, admitted):
        return self.streams if admitted.service.model else self.services


class Fleet(quarantine_fleet.Fleet):
    """Run nodes, engines, servers and callers."""

    def __init__(self, *, count, seed=1, bad=()):
        self.bad = {each.identity for each in bad}
        super().__init__(count=count, seed=seed, bad_parts=())

    def make_engines(self):
        numbers = range(quarantine_fleet.ENGINES, quarantine_fleet.ENGINES + SERVERS)
        return [
            *super().make_engines(),
            *(
                quarantine_engines.Engine(number=number, service=SERVICE)
                for number in numbers
            ),
        ]

    def make_node(self, number):
        return Node(fleet=self, number=number)

    def list_servers(self):
        return [each for each in self.engines.values() if each.service == SERVICE]

    def find_cause(self, request):
        identity = f"{request.target} {request.body.decode()}"
        return identity if identity in self.bad else None

    async def send_calls(self, rate, seconds, draw, nodes=None):
        """Let callers send requests at a rate to random nodes that run."""
        end = trio.current_time() + seconds
        while True:
            await trio.sleep(self.random_source.expovariate(rate))
            if trio.current_time() >= end:
                return
            call = draw(self.random_source)
            self.nursery.start_soon(self._make_call, call, nodes or self.nodes)

    async def _make_call(self, call, nodes):
        """Send a request, and send it again elsewhere as callers may."""
        for _ in range(2):
            running = [each for each in nodes if each.is_running]
            if not running:
                return
            node = self.random_source.choice(running)
            reply, responder = await self.serve_call(node, call)
            outcome = quarantine_records.Outcome(
                at=reply.request.arrived_at,
                parts=(call.identity,),
                node=node.name,
                has_begun=reply.started,
                reason=reply.reason,
            )
            self.outcomes.append(outcome)
            if reply.outcome == "answered" or reply.status == 502:
                return
            await trio.sleep(min(1.0, responder.retry_after_seconds or 0.0))

    async def serve_call(self, node, call):
        """Let a node serve a request; return its reply and the responder."""
        request = self._make_request(call)
        responder = quarantine_callers.Responder()
        reply = replies.Reply(
            request=request, wire=wire.HttpWire(), responder=responder
        )
        await self._serve(node, request, reply)
        return reply, responder

    def _make_request(self, call):
        return exchange.CallerRequest(
            request_id=ids.RequestId(f"r{next(self.numbers)}"),
            host=small_fleet.ROUTE.host,
            method="POST" if call.body else "GET",
            target=call.target,
            key="ana-key",
            arrived_at=clocks.read_boot_clock(),
            timeout_seconds=20.0,
            resume_after=None,
            max_answer_tokens=10,
            fields=(),
            body=call.body.encode(),
            prompt_parts=tuple(map(ids.PromptPartId, call.parts)),
        )

    def find_deadline(self, part, ends=ALLOWED_ENDS):
        """Return the time from which no more such requests may reach servers."""
        return super().find_deadline(part, ends)

    def list_late(self, part, nodes=None):
        """Return the arrivals of a request that came too late."""
        deadline = self.find_deadline(part)
        return [
            each
            for each in self.arrivals
            if each.cause == part
            and each.at > deadline
            and (nodes is None or each.node in nodes)
        ]

    def list_outcomes(self, start, end, identity=None):
        """Return the outcomes of sound requests, or of one, sent in a time."""
        return [
            each
            for each in self.outcomes
            if start <= each.at < end
            and (
                each.parts[0] == identity
                if identity is not None
                else each.parts[0] not in self.bad
            )
        ]
