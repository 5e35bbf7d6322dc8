"""Random histories of changes and faults, run on a fleet."""

import hypothesis.strategies as st

from tests import configuration_fleet

FAULTS = {
    "down": ("down", True),
    "up": ("down", False),
    "stale": ("stale_reads", 3),
    "lose answer": ("lost_answers", 1),
    "lose write": ("lost_writes", 1),
    "delay write": ("delayed_writes", 1),
}
PROCESS = ("kill", "start", "pause", "resume", "cut", "join")
CHANGES = ("propose", "propose", "race", "race", "again")
KINDS = (*CHANGES, *CHANGES, *PROCESS, *FAULTS, "lose messages")
PAUSES_SECONDS = (0.05, 0.3, 1.0, 3.0)
MAX_STEPS = 60
LOST_MESSAGES = 20


def _make_account(index, value, template):
    section = {"key_hash": f"{index:064x}"}
    if template:
        return {**section, "template": f"t{index % 2}", "rate": str(value)}
    return {**section, "concurrency": str(value)}


def _make_template(value):
    return {
        "requests_per_second": "{rate}",
        "burst": str(value),
        "parameter.rate.type": "integer",
        "parameter.rate.default": "5",
    }


_NUMBERS = st.integers(1, 99)
_TITLES = st.one_of(
    st.tuples(st.just("account"), st.integers(0, 5)),
    st.tuples(st.just("template"), st.integers(0, 1)),
    st.tuples(st.just("drain"), st.integers(0, 1)),
)


def _make_section(kind, index, value, flag):
    if kind == "account":
        return _make_account(index, value, flag)
    return _make_template(value) if kind == "template" else {}


DELTAS = st.dictionaries(
    _TITLES, st.tuples(_NUMBERS, st.booleans(), st.booleans()), min_size=1, max_size=4
).map(
    lambda drawn: {
        f"{kind} {'' if kind == 'account' else 't'}{index}": (
            None if deleted else _make_section(kind, index, value, flag)
        )
        for (kind, index), (value, flag, deleted) in drawn.items()
    }
)
HISTORIES = st.tuples(
    st.sampled_from((3, 5, 9)),
    st.lists(
        st.tuples(
            st.sampled_from(KINDS),
            st.integers(0, 8),
            st.integers(0, 8),
            _NUMBERS,
            st.sampled_from(PAUSES_SECONDS),
        ),
        min_size=10,
        max_size=MAX_STEPS,
    ),
)


def draw_history(random):
    """Draw a history from a seeded generator, without hypothesis."""
    steps = [
        (
            random.choice(KINDS),
            random.randrange(9),
            random.randrange(9),
            random.randrange(1, 99),
            random.choice(PAUSES_SECONDS),
        )
        for _ in range(MAX_STEPS)
    ]
    return random.choice((3, 5, 9)), steps


def run(history, checks_conditions=True, **policy):
    """Run a history, end every fault and check the invariants."""
    count, steps = history
    fleet = configuration_fleet.Fleet(count=count, **policy)
    fleet.store.checks_conditions = checks_conditions
    fleet.run(3.0)
    for index, (kind, first, second, value, pause) in enumerate(steps):
        node = fleet.nodes[first % count]
        other = fleet.nodes[second % count]
        if kind in CHANGES:
            _propose_change(fleet, kind, index, (node, other), value)
        elif kind in FAULTS:
            setattr(fleet.store, *FAULTS[kind])
        elif kind in PROCESS:
            _apply_process_fault(fleet, kind, node)
        else:
            fleet.lost_messages = LOST_MESSAGES
        fleet.run(pause)
    fleet.heal()
    fleet.check_end()


def _propose_change(fleet, kind, index, nodes, value):
    if kind == "again":
        changes = sorted(fleet.proposed)
        if changes and nodes[0].alive:
            fleet.propose(nodes[0], changes[value % len(changes)], None)
        return
    for offset, node in enumerate(nodes[: 1 + (kind == "race")]):
        if node.alive:
            account = _make_account(value % 6, value + offset, template=False)
            change = f"c{index}-{offset}"
            fleet.propose(node, change, {f"account {value % 6}": account})


def _apply_process_fault(fleet, kind, node):
    if kind == "kill":
        node.alive = False
    elif kind == "start" and not node.alive:
        node.start()
    elif kind == "pause":
        node.paused = node.alive
    elif kind == "resume" and node.alive:
        fleet.resume(node)
    elif kind in ("cut", "join"):
        node.cut = kind == "cut"
