"""Cost of control at the target size, extrapolated from measured slopes."""

import json
import pathlib

import attrs

from bench import experiments, results, usage

_RESULTS = (
    "control-nodes",
    "control-engines",
    "control-accounts",
    "control-changes",
    "control-size",
)
_MAX_READS_PER_SECOND = 96.0
_STORE_CALLS_PER_SECOND = 0.64
_MIN_LISTED_COST = 0.0005
_COUNTED_ELSEWHERE = (
    "AnswerController",
    "MembershipController",
    "sent to peers: Heartbeat",
)


@attrs.frozen(kw_only=True)
class Target:
    """Describe the target size of the system and the budget of a node."""

    nodes: int = 700
    engines: int = 12_000
    accounts: int = 7_900
    regions: int = 9
    failure_domains: int = 34
    changes_per_second: float = 25_000 / 86_400
    requests_per_second: float = 17_000.0
    tokens_per_second: float = 6_100_000.0
    core_share: float = 0.049
    resident_mebibytes: float = 256.0
    bytes_per_second: float = 3_000.0


@attrs.frozen(kw_only=True)
class Line:
    """Describe one cost: the cost of one unit and the number of units per node."""

    role: str
    unit: str
    count: float
    core_share_each: float
    bytes_per_second_each: float
    mebibytes_each: float = 0.0

    def describe(self) -> results.Row:
        """Return the row of the cost, with its totals for one node."""
        return {
            "role": self.role,
            "count": self.count,
            "unit": self.unit,
            "core_percent_each": 100 * self.core_share_each,
            "core_percent": 100 * self.count * self.core_share_each,
            "bytes_per_second_each": self.bytes_per_second_each,
            "bytes_per_second": self.count * self.bytes_per_second_each,
            "mebibytes": self.count * self.mebibytes_each,
        }


def run(options: experiments.Options) -> results.Result:
    """Read the committed results and multiply by the target's counts."""
    target = Target()
    folder = pathlib.Path("bench/results")
    measured = {name: _read_rows(folder / f"{name}.json") for name in _RESULTS}
    result = results.Result(
        name="capacity",
        seed=options.seed,
        parameters=attrs.asdict(target),
        plot=results.Plot(x="core_percent", y="bytes_per_second", series="role"),
    )
    for line in list_lines(target, measured):
        result.rows.append(line.describe())
    for key in ("core_percent", "bytes_per_second", "mebibytes"):
        result.summary[key] = sum(row[key] for row in result.rows)
    result.summary["budget_core_percent"] = 100 * target.core_share
    result.summary["budget_bytes_per_second"] = target.bytes_per_second
    result.summary["budget_mebibytes"] = target.resident_mebibytes
    for row in result.rows:
        print(_format(row))
    return result


def list_lines(target: Target, measured: dict[str, list[results.Row]]) -> list[Line]:
    """List the costs of control for one node at the target size."""
    engines, nodes = measured["control-engines"], measured["control-nodes"]
    changes, accounts = (
        measured["control-changes"],
        measured["control-accounts"],
    )
    few, many = min(engines, key=_count_engines), max(engines, key=_count_engines)
    polls = _slope(engines, "load_polls_per_second", "core_share")
    idle = few["core_share"] - few["load_polls_per_second"] * polls
    calls = few["store_calls_per_second"]
    largest = max(nodes, key=lambda row: row["nodes"])
    change_bytes = "peers_received_bytes_per_second"
    lines = [
        _line("timer and listeners", "node", 1, idle, 0.0, few["resident_mebibytes"]),
        _line(
            "heartbeats",
            "set of neighbours",
            1,
            largest["core_share"]
            - min(nodes, key=lambda row: row["nodes"])["core_share"],
            _sum_bytes(largest, "peers"),
        ),
        _line(
            "load and cache reads",
            "reads/s",
            _MAX_READS_PER_SECOND,
            polls,
            _sum_bytes(many, "engines") / many["load_polls_per_second"],
        ),
        _line(
            "configuration",
            "changes/s",
            target.changes_per_second,
            _slope(changes, "changes_per_second", "core_share"),
            2 * _slope(changes, "changes_per_second", change_bytes),
        ),
        _line(
            "accounts",
            "account",
            target.accounts,
            0.0,
            0.0,
            _slope(accounts, "accounts", "resident_mebibytes"),
        ),
        _line(
            "table reads",
            "calls/s",
            _STORE_CALLS_PER_SECOND,
            0.0,
            _sum_bytes(few, "platform") / calls,
        ),
    ]
    return lines + _list_size_lines(measured["control-size"])


def _list_size_lines(rows: list[results.Row]) -> list[Line]:
    """List the costs of each controller at the largest simulated size."""
    largest = max(row["nodes"] for row in rows)
    return [
        _line(row["controller"], "node", 1, row["core_share"], row["bytes_per_second"])
        for row in rows
        if row["nodes"] == largest
        and row["controller"] not in _COUNTED_ELSEWHERE
        and row["core_share"] + row["bytes_per_second"] > _MIN_LISTED_COST
    ]


def _line(
    role: str,
    unit: str,
    count: float,
    core: float,
    traffic: float,
    mebibytes: float = 0,
) -> Line:
    return Line(
        role=role,
        unit=unit,
        count=count,
        core_share_each=core,
        bytes_per_second_each=traffic,
        mebibytes_each=mebibytes,
    )


def _count_engines(row: results.Row) -> int:
    return int(row["engines"])


def _slope(rows: list[results.Row], x: str, y: str) -> float:
    return usage.fit_line([row[x] for row in rows], [row[y] for row in rows])["slope"]


def _sum_bytes(row: results.Row, side: str) -> float:
    sent = row[f"{side}_sent_bytes_per_second"]
    return float(sent + row[f"{side}_received_bytes_per_second"])


def _read_rows(path: pathlib.Path) -> list[results.Row]:
    value: list[results.Row] = json.loads(path.read_text())["rows"]
    return value


def _format(row: results.Row) -> str:
    return (
        f"| {row['role']} | {row['count']:,.3g} {row['unit']} "
        f"| {row['core_percent_each']:.4f} | {row['core_percent']:.2f} "
        f"| {row['bytes_per_second_each']:,.0f} | {row['bytes_per_second']:,.0f} "
        f"| {row['mebibytes']:.1f} |"
    )
