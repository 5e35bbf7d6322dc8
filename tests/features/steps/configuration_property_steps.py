import random

import behave
import hypothesis
import hypothesis.strategies as st

from jujubepass import _ini, declarations
from jujubepass.configuration import (
    _configuration_codec,
    _configuration_messages,
    _configuration_push,
    _declaration_changes,
)
from jujubepass.transport import _http_client, _peer_codec
from tests import configuration_history

EXAMPLES = 150
QUICK = hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)


@behave.given("{count:d} nodes in {regions:d} regions and {domains:d} failure domains")
def step_locations(context, count, regions, domains):
    context.targets = []
    for index in range(count):
        domain = index % domains
        location = (
            f"region-{domain % regions}",
            f"domain-{domain}",
            f"node-{index:03d}",
        )
        address = _http_client.Address(host="10.0.0.1", port=1 + index)
        target = _configuration_push.Target(location=location, address=address)
        context.targets.append(target)


def push(targets, origin):
    """Return the messages received, sent, sent between regions, and the hops."""
    by_name = {target.location[2]: target for target in targets}
    received, sent, cross_region, max_depth = {}, {}, 0, 0
    waiting = [(origin, None, 0)]
    while waiting:
        target, segment, depth = waiting.pop()
        max_depth = max(max_depth, depth)
        others = [each for each in targets if each is not target]
        relays = _configuration_push.choose_relays(others, segment)
        if depth and segment is None:
            relays = []
        sent[target.location[2]] = len(relays)
        for relay in relays:
            other = by_name[relay.node]
            received[relay.node] = received.get(relay.node, 0) + 1
            cross_region += other.location[0] != target.location[0]
            waiting.append((other, relay.segment, depth + 1))
    return received, sent, cross_region, max_depth


@behave.when("a change is pushed from each of {count:d} nodes")
def step_push(context, count):
    chosen = random.Random(1).sample(context.targets, count)
    context.pushes = [(origin, push(context.targets, origin)) for origin in chosen]


@behave.then("each other node receives it once, and the origin at most once")
def step_once(context):
    for origin, (received, _, _, _) in context.pushes:
        others = {each.location[2] for each in context.targets} - {origin.location[2]}
        assert others <= received.keys(), others - received.keys()
        repeated = {name: n for name, n in received.items() if n > 1}
        assert not repeated, repeated


@behave.then("no node sends more than {count:d} messages, over at most {hops:d} hops")
def step_fan_out(context, count, hops):
    for _, (_, sent, _, max_depth) in context.pushes:
        assert max(sent.values()) <= count
        assert max_depth <= hops, max_depth


@behave.then("at most {count:d} messages cross regions")
def step_crossing(context, count):
    crossings = [cross_region for _, (_, _, cross_region, _) in context.pushes]
    assert max(crossings) <= count, crossings


@behave.then(
    "any sequence of changes gives the same declarations as its resulting sections"
)
def step_incremental(context):
    @QUICK
    @hypothesis.given(st.lists(configuration_history.DELTAS, max_size=8))
    def check(deltas):
        declared, sections = declarations.Declarations(), {}
        for delta in deltas:
            update = _declaration_changes.update_declarations(declared, sections, delta)
            if update.problems:
                continue
            lazily = _declaration_changes.update_declarations(
                declared, sections, delta, accepted=True
            )
            declared = lazily.declared
            sections = _declaration_changes.merge_delta(sections, delta)
        whole = _declaration_changes.update_declarations(
            declarations.Declarations(), {}, sections
        )
        assert not whole.problems, whole.problems
        assert dict(whole.declared.accounts) == dict(declared.accounts)
        assert whole.declared.templates == declared.templates
        assert whole.declared.accounts_by_key_hash == declared.accounts_by_key_hash
        assert whole.declared.drained == declared.drained

    check()


@behave.then("any message is decoded or refused")
def step_any_bytes(context):
    entry = _configuration_messages.Entry(
        number=1, digest="0" * 32, change="c", author="a", delta={"account a": {}}
    )
    segment = _configuration_messages.Segment(
        first=("r", "d", "a"), last=("r", "d", "b")
    )
    address = _http_client.Address(host="h", port=1)
    push_command = _configuration_messages.PushChanges(
        peer="p", address=address, entries=(entry,), segment=segment
    )
    message = _configuration_codec.make_message(push_command, "n", address)
    confirmation = _configuration_messages.ConfirmChanges(
        peer="p", address=address, number=1, names_sum=1 << 62, missing=("a", "b")
    )
    confirmation_message = _configuration_codec.make_message(confirmation, "n", address)
    confirmation_bytes = _peer_codec.encode_struct(confirmation_message)
    assert _peer_codec.decode_event(confirmation_bytes) == (
        _configuration_messages.ChangesConfirmed(
            node="n", number=1, names_sum=1 << 62, missing=("a", "b")
        )
    )
    messages = st.sampled_from([_peer_codec.encode_struct(message), confirmation_bytes])

    @QUICK
    @hypothesis.given(messages, st.binary(max_size=60), st.integers(0), st.integers())
    def check(valid, noise, position, width):
        position %= len(valid) + 1
        mutated = valid[:position] + noise + valid[position + abs(width) % 8 :]
        for data in (noise, mutated):
            try:
                _peer_codec.decode_event(data)
            except _peer_codec.PeerCodecError:
                continue

    check()


@behave.then("any declaration file is read or refused")
def step_any_text(context):
    words = st.sampled_from(
        ["[account a]", "[template t]", "key_hash = ", "parameter.x.type = text", "="]
    )
    text = st.lists(st.one_of(words, st.text(max_size=20)), max_size=12)

    @QUICK
    @hypothesis.given(text.map("\n".join))
    def check(text):
        sections, _ = _ini.read_sections("f", text)
        update = _declaration_changes.update_declarations(
            declarations.Declarations(), {}, sections
        )
        assert all(str(problem) for problem in update.problems)

    check()
