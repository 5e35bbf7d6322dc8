"""Commands that contact no node: serve, check, replay, settings, version."""

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
    """Run a node until it stops; return its exit code or a report of bad settings."""
    if forwarding_settings.is_forwarding(path):
        return _serve_forwarding(path)
    result = settings.read_settings(path)
    if isinstance(result, returns.result.Failure):
        return _report_problems(result.failure().problems)
    return _run_node(result.unwrap())


def _serve_forwarding(path: pathlib.Path) -> _report.Report | int:
    # Imported here because only this command needs the node's modules.
    from jujubepass.platform import assembly

    source = forwarding_settings.SettingsFile(path=path)
    result = source.read()
    if isinstance(result, returns.result.Failure):
        return _report_problems(result.failure().problems)
    return assembly.run(result.unwrap(), source)


def check(
    settings_path: pathlib.Path | None, declaration_paths: tuple[pathlib.Path, ...]
) -> _report.Report:
    """Check settings and declarations without a node."""
    problems: _declaration_files.Problems = ()
    if settings_path is not None:
        problems += _check_settings(settings_path)
    if declaration_paths:
        result = _declaration_files.check_declarations(declaration_paths)
        problems += result.swap().value_or(())
    if problems:
        return _report_problems(problems)
    if settings_path is None and not declaration_paths:
        return _report.report_failure(
            _report.ExitCode.BAD_INPUT,
            "nothing to check: give --settings FILE or declarations",
        )
    return _report.Report(value={"problems": []}, lines=("no problems",))


def _check_settings(path: pathlib.Path) -> _declaration_files.Problems:
    if forwarding_settings.is_forwarding(path):
        forwarding_result = forwarding_settings.read_settings(path)
        return forwarding_result.swap().map(lambda error: error.problems).value_or(())
    result = settings.read_settings(path)
    return result.swap().map(lambda error: error.problems).value_or(())


def replay(trace: pathlib.Path, policy: str) -> _report.Report:
    """Replay a recorded trace and compare its outcomes."""
    # Imported here because only this command needs the controllers.
    from jujubepass import traces

    try:
        recorded = traces.read_trace(trace.read_text())
    except (OSError, UnicodeDecodeError, traces.TraceError) as error:
        return _report.report_failure(_report.ExitCode.BAD_INPUT, str(error))
    replayed = traces.replay_trace(recorded, naive=policy == "naive")
    value = {
        "events": replayed.events,
        "dropped_before": recorded.dropped,
        "commands": dict(sorted(replayed.commands.items())),
        "differing_events": [each.number for each in replayed.differences],
    }
    report = _report.report_value(value)
    if replayed.differences and policy != "naive":
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
    # Imported here because only this command needs the node's modules.
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
        _LOGGER.critical("node stopped by a system error: %s", reasons, exc_info=errors)
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
