"""Histories of changes and faults, drawn at random and run on a fleet."""

import hypothesis.strategies as st

from tests import configuration_fleet

FAULTS = {
    "down": ("down", True),
    "up": ("down", False),
    "stale": ("stale_reads", 3),
    "lose answer": ("lost_answers", 1),
    "lose write": ("lost_writes", 1),
    "delay write": ("late_writes", 1),
}
PROCESS = ("kill", "start", "pause", "resume", "cut", "join")
CHANGES = ("propose", "propose", "race", "race", "again")
KINDS = (*CHANGES, *CHANGES, *PROCESS, *FAULTS, "lose messages")
PAUSES_SECONDS = (0.05, 0.3, 1.0, 3.0)
LONGEST = 60
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
            None if gone else _make_section(kind, index, value, flag)
        )
        for (kind, index), (value, flag, gone) in drawn.items()
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
        max_size=LONGEST,
    ),
)


def draw_history(random):
    """Draw a history without hypothesis, to count on a fixed list of them."""
    steps = [
        (
            random.choice(KINDS),
            random.randrange(9),
            random.randrange(9),
            random.randrange(1, 99),
            random.choice(PAUSES_SECONDS),
        )
        for _ in range(LONGEST)
    ]
    return random.choice((3, 5, 9)), steps


def run(history, checks_conditions=True, **policy):
    """Run a history, heal every fault and check what must hold."""
    count, steps = history
    fleet = configuration_fleet.Fleet(count=count, **policy)
    fleet.store.checks_conditions = checks_conditions
    fleet.run(3.0)
    for index, (kind, first, second, value, pause) in enumerate(steps):
        node = fleet.nodes[first % count]
        other = fleet.nodes[second % count]
        if kind in CHANGES:
            _change(fleet, kind, index, (node, other), value)
        elif kind in FAULTS:
            setattr(fleet.store, *FAULTS[kind])
        elif kind in PROCESS:
            _disturb(fleet, kind, node)
        else:
            fleet.lost_messages = LOST_MESSAGES
        fleet.run(pause)
    fleet.heal()
    fleet.check_end()


def _change(fleet, kind, index, nodes, value):
    if kind == "again":
        changes = sorted(fleet.proposed)
        if changes and nodes[0].alive:
            fleet.propose(nodes[0], changes[value % len(changes)], None)
        return
    for place, node in enumerate(nodes[: 1 + (kind == "race")]):
        if node.alive:
            account = _make_account(value % 6, value + place, template=False)
            change = f"c{index}-{place}"
            fleet.propose(node, change, {f"account {value % 6}": account})


def _disturb(fleet, kind, node):
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
