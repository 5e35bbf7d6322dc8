"""Commands that ask no node: serve, check, replay, settings, version."""

import collections.abc
import logging
import pathlib

import attrs
import returns.result
import trio

import jujubepass
from jujubepass import settings
from jujubepass.configuration import _declaration_files
from jujubepass.forwarding import settings as forwarding_settings
from jujubepass.operators import _report, _settings_reference
from jujubepass.telemetry import _logs

_LOGGER = logging.getLogger(__name__)


def serve(path: pathlib.Path) -> _report.Report | int:
    """Run a node until it is told to stop; return its exit code."""
    if forwarding_settings.is_forwarding(path):
        return _serve_forwarding(path)
    read = settings.read_settings(path)
    if isinstance(read, returns.result.Failure):
        return _report_problems(read.failure().problems)
    return _run_node(read.unwrap())


def _serve_forwarding(path: pathlib.Path) -> _report.Report | int:
    # The node's modules are needed by this command alone.
    from jujubepass.platform import assembly

    source = forwarding_settings.SettingsFile(path=path)
    found = source.read()
    if isinstance(found, returns.result.Failure):
        return _report_problems(found.failure().problems)
    return assembly.run(found.unwrap(), source)


def check(
    settings_path: pathlib.Path | None, declaration_paths: tuple[pathlib.Path, ...]
) -> _report.Report:
    """Check settings and declarations without a node."""
    problems: _declaration_files.Problems = ()
    if settings_path is not None:
        problems += _check_settings(settings_path)
    if declaration_paths:
        found = _declaration_files.check_declarations(declaration_paths)
        problems += found.swap().value_or(())
    if problems:
        return _report_problems(problems)
    if settings_path is None and not declaration_paths:
        return _report.report_failure(
            _report.ExitCode.BAD_INPUT,
            "nothing to check: name --settings FILE, or declarations",
        )
    return _report.Report(value={"problems": []}, lines=("no problems",))


def _check_settings(path: pathlib.Path) -> _declaration_files.Problems:
    if forwarding_settings.is_forwarding(path):
        found = forwarding_settings.read_settings(path)
        return found.swap().map(lambda error: error.problems).value_or(())
    read = settings.read_settings(path)
    return read.swap().map(lambda error: error.problems).value_or(())


def replay(trace: pathlib.Path, policy: str) -> _report.Report:
    """Replay a recorded trace and compare its outcomes."""
    # The controllers are needed by this command alone.
    from jujubepass import traces

    try:
        read = traces.read_trace(trace.read_text())
    except (OSError, UnicodeDecodeError, traces.TraceError) as error:
        return _report.report_failure(_report.ExitCode.BAD_INPUT, str(error))
    found = traces.replay_trace(read, naive=policy == "naive")
    value = {
        "events": found.events,
        "dropped_before": read.dropped,
        "commands": dict(sorted(found.commands.items())),
        "differing_events": [each.number for each in found.differences],
    }
    report = _report.report_value(value)
    if found.differences and policy != "naive":
        return attrs.evolve(report, code=_report.ExitCode.REFUSED)
    return report


def show_settings() -> _report.Report:
    """Show the reference of all settings."""
    rows = [attrs.asdict(row) for row in _settings_reference.list_rows()]
    page = _settings_reference.write_reference()
    return _report.Report(value=rows, lines=tuple(page.splitlines()))


def show_version() -> _report.Report:
    """Show the version."""
    version = jujubepass.__version__
    return _report.Report(value={"version": version}, lines=(version,))


def _run_node(node_settings: settings.Settings) -> int:
    # The node's modules are needed by this command alone.
    from jujubepass.nodes import _node

    security = node_settings.security
    _logs.set_up(
        node_settings.log, secrets=(security.peer_key, security.operator_key_hash)
    )
    code = int(_report.ExitCode.REFUSED)
    try:
        code = trio.run(_node.run, node_settings)
    except* OSError as errors:
        reasons = "; ".join(_list_messages(errors))
        _LOGGER.critical("node stopped by the system: %s", reasons, exc_info=errors)
    return code


def _list_messages(
    errors: BaseExceptionGroup[BaseException],
) -> collections.abc.Iterator[str]:
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _list_messages(error)
        else:
            yield str(error)


def _report_problems(problems: _declaration_files.Problems) -> _report.Report:
    return _report.Report(
        code=_report.ExitCode.BAD_INPUT,
        value={
            "error": f"{len(problems)} problems",
            "problems": [attrs.asdict(problem) for problem in problems],
        },
        lines=tuple(map(str, problems)),
    )
