"""Result files and plots of experiments."""

import collections.abc
import json
import os
import pathlib
import platform
import time
import typing

import attrs
import matplotlib
import matplotlib.figure

import jujubepass

Row = dict[str, typing.Any]


@attrs.frozen(kw_only=True)
class Plot:
    """Describe the columns of a plot; `series` splits the rows into series."""

    x: str
    y: str
    series: str = ""
    logarithmic: bool = False


@attrs.define(kw_only=True)
class Result:
    """Collect the measurements of one run: one row per point, and a summary."""

    name: str
    seed: int
    parameters: Row
    plot: Plot
    rows: list[Row] = attrs.field(factory=list)
    summary: Row = attrs.field(factory=dict)
    started_at: str = attrs.field(
        factory=lambda: time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    )

    def add(self, **row: typing.Any) -> None:
        """Add a row and print it, to show the progress of a long run."""
        self.rows.append(row)
        print(_format_row(row), flush=True)

    def write(self, folder: pathlib.Path) -> pathlib.Path:
        """Write NAME.json and NAME.png; return the path of the JSON file."""
        folder.mkdir(parents=True, exist_ok=True)
        value = {
            **attrs.asdict(self),
            "version": jujubepass.__version__,
            "python": platform.python_version(),
            "processors": os.cpu_count(),
        }
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(value, indent=1) + "\n")
        self._draw().savefig(folder / f"{self.name}.png", dpi=80)
        return path

    def list_lines(self) -> collections.abc.Iterator[str]:
        """Yield one line for each figure of the summary."""
        for key, value in self.summary.items():
            yield f"{key}: {_format_value(value)}"

    def _draw(self) -> matplotlib.figure.Figure:
        figure = matplotlib.figure.Figure(figsize=(6, 4), layout="constrained")
        axes = figure.add_subplot()
        for label, rows in self._split_rows().items():
            xs = [row[self.plot.x] for row in rows]
            ys = [row[self.plot.y] for row in rows]
            axes.plot(xs, ys, marker="o", linestyle="", label=label)
        if self.plot.logarithmic:
            axes.set_xscale("log")
        if self.plot.series:
            axes.legend()
        axes.set_xlabel(self.plot.x.replace("_", " "))
        axes.set_ylabel(self.plot.y.replace("_", " "))
        axes.set_title(f"{self.name}, seed {self.seed}")
        return figure

    def _split_rows(self) -> dict[str, list[Row]]:
        lines: dict[str, list[Row]] = {}
        for row in self.rows:
            label = str(row.get(self.plot.series, ""))
            lines.setdefault(label, []).append(row)
        return lines


def _format_row(row: Row) -> str:
    return "  ".join(f"{key}={_format_value(value)}" for key, value in row.items())


def _format_value(value: typing.Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
