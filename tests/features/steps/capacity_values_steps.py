import math
import random

import attrs
import behave

from jujubepass import ids
from jujubepass.capacity import codec, engine_index, own_use
from jujubepass.forwarding import board


def make_recorder():
    blackboard = board.Blackboard(
        node=ids.NodeId("n1"), failure_domain=ids.FailureDomainId("a")
    )
    return own_use.OwnUse(index=engine_index.EngineIndex(blackboard=blackboard))


@behave.then("free places that are negative, infinite or not a number are unknown")
def step_invalid_places(context):
    recorder = make_recorder()
    for value in (-1.0, math.inf, -math.inf, math.nan):
        recorder.set_free_places(3.0)
        recorder.set_free_places(value)
        assert recorder.free_places is None, value
    assert recorder.invalid_values == 4


@behave.then("a number of waiting requests below zero counts as zero")
def step_invalid_waiting(context):
    recorder = make_recorder()
    recorder.record_waiting(2, -1)
    recorder.record_waiting(12, 1)
    recorder.record_waiting(-4, 1)
    assert recorder.waiting == (1, 0, 0, 0, 0, 0, 0, 0, 0, 1), recorder.waiting
    assert recorder.invalid_values == 1


def make_datagram(context, *, kind=codec.Kind.REPORT, content=None, number=1 << 31):
    """Return a datagram of the last node for the first collector."""
    collector, sender = (
        context.network.list_domain()[0],
        context.network.list_domain()[-1],
    )
    header = codec.Header(
        kind=kind,
        sender=codec.make_digest(sender.name),
        process=sender.capacity.process,
        number=number,
        sent_at=context.network.now,
    )
    (body,) = codec.write_bodies(content or codec.Content())
    return collector, header, body


def assert_dropped(context, reason, *datagrams):
    capacity = context.network.list_domain()[0].capacity
    before = capacity.inbox.drops[reason]
    for data in datagrams:
        capacity.receive(data, context.network.now)
    assert capacity.inbox.drops[reason] == before + 1, capacity.inbox.drops


@behave.then("a datagram under another token is dropped as {reason:S}")
def step_other_token(context, reason):
    _, header, body = make_datagram(context)
    assert_dropped(context, reason, codec.seal(header, body, "another"))


@behave.then("a datagram of a node without a row is dropped as {reason:S}")
def step_stranger(context, reason):
    collector, header, body = make_datagram(context)
    header = attrs.evolve(header, sender=codec.make_digest("stranger"))
    assert_dropped(context, reason, codec.seal(header, body, collector.row.token))


@behave.then("a datagram that arrives twice is dropped as {reason:S}")
def step_twice(context, reason):
    collector, header, body = make_datagram(context, kind=codec.Kind.FULL, number=1)
    data = codec.seal(header, body, collector.row.token)
    assert_dropped(context, reason, data, data)


@behave.then("a line of the own domain is dropped as {reason:S}")
def step_own_line(context, reason):
    collector, header, body = make_datagram(context, kind=codec.Kind.DOMAIN)
    assert_dropped(context, reason, codec.seal(header, body, collector.row.token))


@behave.then("a report with {count:d} waiting requests is dropped as {reason:S}")
def step_absurd_waiting(context, count, reason):
    collector, header, _ = make_datagram(context, number=(1 << 31) - 1)
    body = codec._SECTION.pack(codec._Section.WAITING, 1) + codec._COUNT.pack(3, count)
    assert_dropped(context, reason, codec.seal(header, body, collector.row.token))


@behave.then("a datagram cut short is dropped as {reason:S}")
def step_short(context, reason):
    collector, header, body = make_datagram(context)
    data = codec.seal(header, body, collector.row.token)
    assert_dropped(context, reason, data[:40])


@behave.then("each node knows the use of all engines as before")
def step_as_before(context):
    network = context.network
    for node in network.list_domain():
        wrong = network.find_wrong(node, network.list_engines())
        assert not wrong, (node.name, next(iter(wrong.items())))


@behave.then("no random datagram, and none with a valid MAC, raises an error")
def step_random(context):
    random_source = random.Random(5)
    collector, header, _ = make_datagram(context)
    for number in range(4_000):
        data = random_source.randbytes(random_source.randrange(1_300))
        collector.capacity.receive(data, context.network.now)
        header = attrs.evolve(
            header,
            kind=random_source.choice(list(codec.Kind)),
            number=(1 << 30) + number,
            parts=random_source.choice((1, 1, 2)),
        )
        body = bytearray()
        for _ in range(random_source.randrange(4)):
            body += bytes((random_source.randrange(12), 0, random_source.randrange(4)))
            body += random_source.randbytes(random_source.randrange(40))
        data = codec.seal(header, bytes(body), collector.row.token)
        collector.capacity.receive(data, context.network.now)
    context.network.run(1.0)


def draw_content(random_source):
    def draw_uses():
        found = {}
        for _ in range(random_source.choice((0, 1, 30, 400))):
            running = random_source.choice((1, 255, 256, 65_535))
            digest = random_source.randbytes(codec.DIGEST_BYTES)
            found[digest] = running, random_source.randint(0, running)
        return found

    def draw_counts():
        return tuple(random_source.choice((0, 1, 1_000_000)) for _ in range(10))

    return codec.Content(
        uses=draw_uses(),
        foreign_uses=draw_uses(),
        remote_uses={(b"12345678", key): n for key, n in draw_uses().items()},
        full={key: 0.125 for key in draw_uses()},
        waiting=draw_counts(),
        arrivals=draw_counts(),
        ends=random_source.randrange(1_000),
        nodes=random_source.randrange(100),
        lines=tuple(
            codec.Line(
                domain=random_source.randbytes(codec.DIGEST_BYTES),
                free_places=random_source.choice((None, 0.0, 12.25, 999_999.0)),
                waiting=(0, 0, random_source.randrange(65_536), *[0] * 7),
                age_seconds=1.5,
            )
            for _ in range(random_source.choice((0, 2, 33)))
        ),
    )


@behave.then(
    "random reports and views are read as they were written, in datagrams of"
    " {size:d} bytes"
)
def step_round_trip(context, size):
    random_source = random.Random(3)
    header = codec.Header(
        kind=codec.Kind.VIEW, sender=b"12345678", process=1, number=2, sent_at=3.5
    )
    for _ in range(200):
        content = draw_content(random_source)
        bodies = codec.write_bodies(content)
        found = []
        for body in bodies:
            data = codec.seal(header, body, "token")
            assert len(data) <= size, len(data)
            read, part = codec.unseal(data, "token")
            assert read == header, read
            found.append(part)
        assert codec.read_content(b"".join(found)) == content


@behave.when(
    "a collector's clock loses {drift:d} milliseconds a second for {seconds:d} seconds"
)
def step_drift(context, drift, seconds):
    """Let time pass at once, as only the difference of the clocks matters."""
    network = context.network
    collector, node = (
        context.network.list_domain()[0],
        context.network.list_domain()[-1],
    )
    start = network.now
    (body,) = codec.write_bodies(codec.Content(nodes=28))
    for number in range(4 * seconds):
        now = start + 0.25 * number
        header = codec.Header(
            kind=codec.Kind.VIEW,
            sender=codec.make_digest(collector.name),
            process=collector.capacity.process,
            number=(1 << 31) + number,
            sent_at=now - 0.001 * drift * 0.25 * number,
        )
        node.capacity.receive(codec.seal(header, body, node.row.token), now)
        context.unknown += not node.view.is_known(now)
