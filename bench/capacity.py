"""Cost of control at the target size, worked out from measured slopes."""

import json
import pathlib

import attrs

from bench import experiments, results

_SLOPES = ("control-nodes", "control-engines", "control-accounts", "control-changes")


@attrs.frozen(kw_only=True)
class Target:
    """Hold the size that the system has to carry."""

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
    """Hold one cost: a slope, by how many of its unit a node meets."""

    role: str
    unit: str
    count: float
    core_share_each: float
    bytes_per_second_each: float
    mebibytes_each: float = 0.0

    def describe(self) -> results.Row:
        """Multiply out."""
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
    read = {name: _read_summary(folder / f"{name}.json") for name in _SLOPES}
    result = results.Result(
        name="capacity",
        seed=options.seed,
        parameters=attrs.asdict(target),
        plot=results.Plot(x="core_percent", y="bytes_per_second", series="role"),
    )
    for line in list_lines(target, read):
        result.rows.append(line.describe())
    for key in ("core_percent", "bytes_per_second", "mebibytes"):
        result.summary[key] = sum(row[key] for row in result.rows)
    result.summary["budget_core_percent"] = 100 * target.core_share
    result.summary["budget_bytes_per_second"] = target.bytes_per_second
    result.summary["budget_mebibytes"] = target.resident_mebibytes
    for row in result.rows:
        print(_format(row))
    return result


def list_lines(target: Target, read: dict[str, results.Row]) -> list[Line]:
    """List the lines of today's code, each with what a node meets at the target."""
    nodes, engines = read["control-nodes"], read["control-engines"]
    accounts = read["control-accounts"]
    started = Line(
        role="timer and listeners",
        unit="node",
        count=1,
        core_share_each=engines["core_share_start"],
        bytes_per_second_each=engines["platform_sent_bytes_per_second_start"]
        + engines["platform_received_bytes_per_second_start"],
        mebibytes_each=engines["resident_mebibytes_start"],
    )
    listed = Line(
        role="VM list",
        unit="VM",
        count=target.engines + target.nodes,
        core_share_each=0.0,
        bytes_per_second_each=_sum_bytes(engines, "engines", "platform"),
    )
    return [
        started,
        _make_line("heartbeats", "nodes", target.nodes - 1, nodes, "peers"),
        _make_line("load reads", "engines", target.engines, engines, "engines"),
        listed,
        _make_line("accounts", "accounts", target.accounts, accounts, "platform"),
    ]


def _make_line(
    role: str, unit: str, count: float, summary: results.Row, side: str
) -> Line:
    return Line(
        role=role,
        unit=unit,
        count=count,
        core_share_each=summary[f"core_share_per_{unit}"],
        bytes_per_second_each=_sum_bytes(summary, unit, side),
        mebibytes_each=summary[f"resident_mebibytes_per_{unit}"],
    )


def _sum_bytes(summary: results.Row, unit: str, side: str) -> float:
    return float(
        summary[f"{side}_sent_bytes_per_second_per_{unit}"]
        + summary[f"{side}_received_bytes_per_second_per_{unit}"]
    )


def _read_summary(path: pathlib.Path) -> results.Row:
    value: results.Row = json.loads(path.read_text())["summary"]
    return value


def _format(row: results.Row) -> str:
    return (
        f"| {row['role']} | {row['count']:,.0f} {row['unit']} "
        f"| {row['core_percent_each']:.4f} | {row['core_percent']:.1f} "
        f"| {row['bytes_per_second_each']:.0f} | {row['bytes_per_second']:,.0f} "
        f"| {row['mebibytes']:.1f} |"
    )
