"""Reports that commands print, and exit codes."""

import collections.abc
import enum
import json
import sys
import typing

import attrs

Json = typing.Any


class ExitCode(enum.IntEnum):
    """Enumerate the exit codes of commands."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


EXIT_CODE_MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.REFUSED: "refused, or in conflict with another change",
    ExitCode.BAD_INPUT: "bad input",
    ExitCode.UNREACHABLE: "the node did not answer",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force on every node in time",
}


@attrs.frozen(kw_only=True)
class Report:
    """Describe the result of a command, as JSON and as lines of text."""

    code: ExitCode = ExitCode.DONE
    value: Json
    lines: tuple[str, ...]


def report_failure(code: ExitCode, error: str, lines: tuple[str, ...] = ()) -> Report:
    """Make the report of a command that failed."""
    value = {"error": error, "problems": list(lines)}
    return Report(code=code, value=value, lines=(f"error: {error}", *lines))


def report_value(value: Json) -> Report:
    """Make a report that prints a JSON value, one key per line."""
    return Report(value=value, lines=tuple(_format_lines(value, "")))


def print_report(report: Report, *, as_json: bool) -> None:
    """Print JSON or success to standard output, failures to standard error."""
    if as_json:
        print(json.dumps(report.value, indent=2))
        return
    stream = sys.stdout if report.code is ExitCode.DONE else sys.stderr
    for line in report.lines:
        print(line, file=stream)


def _format_lines(value: Json, indent: str) -> collections.abc.Iterator[str]:
    if isinstance(value, dict):
        items = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [("-", item) for item in value]
    else:
        yield f"{indent}{value}"
        return
    for label, item in items:
        name = label if label == "-" else f"{label}:"
        if isinstance(item, (dict, list)) and item:
            yield f"{indent}{name}"
            yield from _format_lines(item, indent + "  ")
        else:
            yield f"{indent}{name} {_format_scalar(item)}"


def _format_scalar(value: Json) -> str:
    return value if isinstance(value, str) else json.dumps(value)
