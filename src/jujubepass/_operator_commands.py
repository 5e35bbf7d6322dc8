"""Commands that ask a node: status, plan, apply, retire, drain, add, explain."""

import collections.abc
import difflib
import os
import pathlib
import secrets
import typing

import attrs
import returns.result
import trio

from jujubepass import (
    _declaration_files,
    _http_client,
    _operator_client,
    _report,
    ids,
)

KEY_VARIABLE = "JUJUBEPASS_OPERATOR_KEY"

_CHANGE_ID_BYTES = 8
_STATUS_POLL_SECONDS = 0.2

Json = typing.Any
Operation = collections.abc.Callable[
    [_operator_client.OperatorClient], collections.abc.Awaitable[_report.Report]
]


@attrs.frozen(kw_only=True)
class Target:
    """Name the node to ask and where its key is found."""

    node: str
    key_file: pathlib.Path | None = None


@attrs.frozen(kw_only=True)
class ChangeOptions:
    """Hold what every change of the configuration names."""

    base: int
    author: str
    change_id: str | None
    wait_seconds: float


class BadInputError(Exception):
    """Report input that no node needs to see."""


def run(target: Target, operation: Operation) -> _report.Report:
    """Run an operation against a node and report how it ended."""
    try:
        client = _make_client(target)
        return _operator_client.run_operation(client, operation)
    except BadInputError as error:
        return _report.report_failure(_report.ExitCode.BAD_INPUT, str(error))
    except _operator_client.RefusedError as error:
        return _report_refusal(error)
    except _operator_client.OperatorClientError as error:
        return _report.report_failure(_report.ExitCode.UNREACHABLE, str(error))


async def show_status(client: _operator_client.OperatorClient) -> _report.Report:
    """Show a node's state."""
    return _report.report_value(await client.read_status())


def explain(request: str) -> Operation:
    """Show why a request was routed or refused as it was."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Ask the node."""
        answer = await client.read_explanation(ids.RequestId(request))
        return _report.report_value(answer)

    return operate


def plan(paths: tuple[pathlib.Path, ...]) -> Operation:
    """Show what applying the declarations would change."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Compare the files with the configuration in force."""
        wanted = _read_declarations(paths)
        current = await client.read_configuration()
        changes = compare_declarations(current.get("declarations", {}), wanted)
        number = current.get("number", 0)
        value = {"base": number, "changes": changes}
        lines = tuple(changes) or ("no changes",)
        return _report.Report(value=value, lines=(*lines, f"base: {number}"))

    return operate


def apply(paths: tuple[pathlib.Path, ...], options: ChangeOptions) -> Operation:
    """Put declarations in force, against the base they were planned on."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Offer the files as one change."""
        change = _make_change(options, declarations=_read_declarations(paths))
        return await _post_change(client, change, options)

    return operate


def retire(names: tuple[str, ...], options: ChangeOptions) -> Operation:
    """Take declarations out of force; refused while in use."""
    return _offer(options, retire=names)


def drain(servers: tuple[str, ...], options: ChangeOptions) -> Operation:
    """Give backend servers no new work and let running work finish."""
    return _offer(options, drain=tuple(map(ids.BackendServerId, servers)))


def add(servers: tuple[str, ...], options: ChangeOptions) -> Operation:
    """Give backend servers work, also after a drain."""
    return _offer(options, add=tuple(map(ids.BackendServerId, servers)))


def compare_declarations(
    current: collections.abc.Mapping[str, str],
    wanted: collections.abc.Mapping[str, str],
) -> list[str]:
    """List the lines that differ, file by file."""
    changes: list[str] = []
    for name in sorted({*current, *wanted}):
        changes += difflib.unified_diff(
            current.get(name, "").splitlines(),
            wanted.get(name, "").splitlines(),
            fromfile=f"{name} (in force)",
            tofile=f"{name} (wanted)",
            lineterm="",
        )
    return changes


def _offer(options: ChangeOptions, **fields: typing.Any) -> Operation:
    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Offer the change."""
        return await _post_change(client, _make_change(options, **fields), options)

    return operate


def _make_change(
    options: ChangeOptions, **fields: typing.Any
) -> _operator_client.Change:
    change_id = options.change_id or secrets.token_hex(_CHANGE_ID_BYTES)
    return _operator_client.Change(
        change_id=ids.ChangeId(change_id),
        base=ids.ChangeNumber(options.base),
        author=options.author,
        **fields,
    )


async def _post_change(
    client: _operator_client.OperatorClient,
    change: _operator_client.Change,
    options: ChangeOptions,
) -> _report.Report:
    answer = await client.post_change(change)
    number = answer["number"]
    started = trio.current_time()
    numbers: dict[str, int] = {}
    with trio.move_on_after(options.wait_seconds):
        while not numbers or min(numbers.values()) < number:
            numbers = await _read_numbers(client)
            await trio.sleep(_STATUS_POLL_SECONDS)
    reached = sum(seen >= number for seen in numbers.values())
    in_force = bool(numbers) and reached == len(numbers)
    value = {**answer, "nodes": numbers, "in_force_everywhere": in_force}
    seconds = trio.current_time() - started
    lines = (
        f"change {change.change_id} accepted as number {number}",
        f"in force on {reached} of {len(numbers)} nodes after {seconds:.1f} s",
    )
    code = _report.ExitCode.DONE if in_force else _report.ExitCode.NOT_IN_FORCE
    return _report.Report(code=code, value=value, lines=lines)


async def _read_numbers(client: _operator_client.OperatorClient) -> dict[str, int]:
    status = await client.read_status()
    return {
        str(node["node"]): int(node["configuration_number"])
        for node in status.get("nodes", ())
    }


def _read_declarations(
    paths: tuple[pathlib.Path, ...],
) -> _declaration_files.Declarations:
    read = _declaration_files.read_declarations(paths)
    if isinstance(read, returns.result.Failure):
        raise BadInputError("\n".join(map(str, read.failure())))
    return read.unwrap()


def _make_client(target: Target) -> _operator_client.OperatorClient:
    try:
        address = _http_client.parse_address(target.node)
    except ValueError as error:
        raise BadInputError(f"--node {error}") from error
    return _operator_client.OperatorClient(address=address, key=_read_key(target))


def _read_key(target: Target) -> str:
    if target.key_file is None:
        key = os.environ.get(KEY_VARIABLE, "")
    else:
        try:
            key = target.key_file.read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as error:
            raise BadInputError(f"--key-file {target.key_file}: {error}") from error
    if not key:
        raise BadInputError(
            f"no operator key: set {KEY_VARIABLE}, or name a file with --key-file"
        )
    return key


def _report_refusal(error: _operator_client.RefusedError) -> _report.Report:
    lines = _report.report_value(error.body).lines
    return _report.Report(
        code=_report.ExitCode.REFUSED,
        value=error.body,
        lines=(f"refused: {error}", *lines),
    )
