"""Summaries and fits shared by the measurements of the cost of control."""

import typing

import attrs

from bench import results, trials, usage

_COMMANDS_METRIC = "jujubepass_commands_total"


@attrs.frozen(kw_only=True)
class Cost:
    """Summarize the cost of control for one node, as medians over the nodes."""

    core_share: usage.Spread
    resident_mebibytes: usage.Spread
    rates: dict[str, float]
    sent: dict[str, float]
    received: dict[str, float]


def summarize(usages: typing.Mapping[str, trials.NodeUsage]) -> Cost:
    """Return the median over the nodes of each figure."""
    each = list(usages.values())
    keys = {key for use in each for key in use.rates}
    return Cost(
        core_share=usage.Spread.of(use.core_share for use in each),
        resident_mebibytes=usage.Spread.of(
            use.resident_bytes / usage.MEBIBYTE for use in each
        ),
        rates={
            key: usage.Spread.of(use.rates.get(key, 0.0) for use in each).median
            for key in keys
        },
        sent={
            side: usage.Spread.of(use.sent[side] for use in each).median
            for side in trials.SIDES
        },
        received={
            side: usage.Spread.of(use.received[side] for use in each).median
            for side in trials.SIDES
        },
    )


def describe(cost: Cost) -> results.Row:
    """Return a cost as the columns of a row."""
    row: results.Row = {
        "core_share": cost.core_share.median,
        "core_share_lowest": cost.core_share.minimum,
        "core_share_highest": cost.core_share.maximum,
        "resident_mebibytes": cost.resident_mebibytes.median,
    }
    for side in trials.SIDES:
        row[f"{side}_sent_bytes_per_second"] = cost.sent[side]
        row[f"{side}_received_bytes_per_second"] = cost.received[side]
    row["store_calls_per_second"] = sum(
        cost.rates.get(_format_command_sample(name), 0.0)
        for name in ("ReadRows", "ScanRows", "Transact")
    )
    row["load_polls_per_second"] = cost.rates.get(
        _format_command_sample("PollLoad"), 0.0
    )
    return row


def _format_command_sample(name: str) -> str:
    return f'{_COMMANDS_METRIC}{{command="{name}"}}'


_MIN_POINTS = 2

FIGURES = (
    "core_share",
    "resident_mebibytes",
    *(f"{side}_sent_bytes_per_second" for side in trials.SIDES),
    *(f"{side}_received_bytes_per_second" for side in trials.SIDES),
    "store_calls_per_second",
)


def add_slopes(
    result: results.Result,
    x: str,
    columns: typing.Sequence[str] = FIGURES,
    *,
    min_x: float = 0.0,
    max_x: float = float("inf"),
    prefix: str = "",
) -> None:
    """Add each column's linear fit against x and its maximum residual."""
    rows = [row for row in result.rows if min_x <= row[x] <= max_x]
    xs = [float(row[x]) for row in rows]
    if len(set(xs)) < _MIN_POINTS:
        return
    for column in columns:
        ys = [float(row[column]) for row in rows]
        line = usage.fit_line(xs, ys)
        max_residual = max(
            abs(y - line["start"] - line["slope"] * x_value)
            for x_value, y in zip(xs, ys, strict=True)
        )
        result.summary[f"{prefix}{column}_start"] = line["start"]
        result.summary[f"{prefix}{column}_per_{x}"] = line["slope"]
        result.summary[f"{prefix}{column}_worst_distance"] = max_residual
