"""Commands that send requests to a node: status, plan, apply, retire, drain, add."""

import collections.abc
import os
import pathlib
import secrets
import typing

import attrs
import returns.result
import trio

from jujubepass import _ini, ids
from jujubepass.configuration import _declaration_files, _plans
from jujubepass.operators import _operator_client, _report
from jujubepass.transport import _http_client

KEY_VARIABLE = "JUJUBEPASS_OPERATOR_KEY"

_CHANGE_ID_BYTES = 8
_STATUS_POLL_INTERVAL_SECONDS = 0.1
_DEAD_STATE = "dead"
_STORE_UNAVAILABLE_CODE = "store_unavailable"
_MAX_POST_TRIES = 4
_POST_BACKOFF_SECONDS = 0.5

Json = typing.Any
Section = collections.abc.Mapping[str, str]
Operation = collections.abc.Callable[
    [_operator_client.OperatorClient], collections.abc.Awaitable[_report.Report]
]


@attrs.frozen(kw_only=True)
class Target:
    """Describe the node to contact and the source of the operators' key."""

    node: str
    key_file: pathlib.Path | None = None


@attrs.frozen(kw_only=True)
class ChangeOptions:
    """Describe the options common to all changes of the configuration."""

    base: int | None
    author: str
    change_id: str | None
    wait_seconds: float


class BadInputError(Exception):
    """Signal invalid input, found before a change is sent to a node."""


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


def plan(paths: tuple[pathlib.Path, ...]) -> Operation:
    """Show what applying the declarations would change."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Compare the files with the configuration in force."""
        declared_files = _read_declared_files(paths)
        new_plan = _make_plan(await client.read_configuration(), declared_files)
        value = attrs.asdict(new_plan)
        return _report.Report(value=value, lines=_plans.write_lines(new_plan))

    return operate


def apply(
    paths: tuple[pathlib.Path, ...], options: ChangeOptions, digest: str | None
) -> Operation:
    """Put declarations in force, based on the number that they were compared with."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Submit the files as one change."""
        declared_files = _read_declared_files(paths)
        if digest is not None:
            await _check_digest(client, declared_files, digest)
        return await _post_change(client, dict(declared_files.sections), options)

    return operate


async def _check_digest(
    client: _operator_client.OperatorClient,
    declared_files: _declaration_files.DeclaredFiles,
    digest: str,
) -> None:
    new_plan = _make_plan(await client.read_configuration(), declared_files)
    if new_plan.digest != digest:
        raise BadInputError(
            f"--digest {digest}: these files applied to number {new_plan.base} give"
            f" {new_plan.digest}; plan again"
        )


def retire(kind: str, names: tuple[str, ...], options: ChangeOptions) -> Operation:
    """Take declarations out of force; refused while in use."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Delete the sections, and the drains of backend servers."""
        sections = (await client.read_configuration())["sections"]
        delta: dict[str, None] = {}
        for name in names:
            title = f"{kind} {name}"
            if title not in sections and options.change_id is None:
                known = [t for t in sections if t.startswith(f"{kind} ")]
                allowed = _ini.suggest(title, known) or f"a {kind} in force"
                raise BadInputError(f"[{title}] is not in force; allowed: {allowed}")
            delta[title] = None
            if kind == "backend":
                delta[f"drain {name}"] = None
        return await _post_change(client, delta, options)

    return operate


def drain(servers: tuple[str, ...], reason: str, options: ChangeOptions) -> Operation:
    """Give backend servers no new work and let running work finish."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Declare the drains."""
        known = [row["backend"] for row in (await client.read_status())["backends"]]
        for server in servers:
            if server not in known:
                allowed = _ini.suggest(server, known) or "a backend server"
                raise BadInputError(
                    f"{server} is not a backend server; allowed: {allowed}"
                )
        section = {"reason": reason} if reason else {}
        delta = {f"drain {server}": section for server in servers}
        return await _post_change(client, delta, options)

    return operate


def add(
    servers: tuple[str, ...],
    declared: collections.abc.Mapping[str, str],
    options: ChangeOptions,
) -> Operation:
    """Give backend servers work: end their drains, or declare a new one."""

    async def operate(client: _operator_client.OperatorClient) -> _report.Report:
        """Delete the drains, and declare a new backend server."""
        if declared and len(servers) > 1:
            raise BadInputError("--role takes exactly one backend server")
        delta: dict[str, Section | None] = {f"drain {name}": None for name in servers}
        if declared:
            delta[f"backend {servers[0]}"] = declared
        return await _post_change(client, delta, options)

    return operate


def _make_plan(
    configuration: Json, declared_files: _declaration_files.DeclaredFiles
) -> _plans.Plan:
    new_plan = _plans.make_plan(configuration, declared_files)
    if new_plan.problems:
        raise BadInputError("\n".join(map(str, new_plan.problems)))
    return new_plan


async def _post_change(
    client: _operator_client.OperatorClient,
    sections: collections.abc.Mapping[str, Section | None],
    options: ChangeOptions,
) -> _report.Report:
    base = options.base
    if base is None:
        base = (await client.read_status())["nodes"][0]["configuration_number"]
    change = _operator_client.Change(
        change_id=ids.ChangeId(
            options.change_id or secrets.token_hex(_CHANGE_ID_BYTES)
        ),
        base=ids.ChangeNumber(base),
        author=options.author,
        sections=sections,
    )
    answer = await _post_until_outcome_known(client, change)
    return await _wait_until_in_force(client, change, answer, options.wait_seconds)


async def _post_until_outcome_known(
    client: _operator_client.OperatorClient, change: _operator_client.Change
) -> Json:
    """Retry a change while its outcome is unknown; its id makes that safe."""
    unknown_outcome: _operator_client.UnknownOutcomeError | None = None
    for _ in range(_MAX_POST_TRIES):
        try:
            return await client.post_change(change)
        except _operator_client.UnknownOutcomeError as error:
            unknown_outcome = error
        except _operator_client.UnreachableError:
            if unknown_outcome is None:
                raise
        except _operator_client.RefusedError as error:
            if unknown_outcome is None or error.code != _STORE_UNAVAILABLE_CODE:
                raise
        await trio.sleep(_POST_BACKOFF_SECONDS)
    assert unknown_outcome is not None
    raise unknown_outcome


@attrs.frozen(kw_only=True)
class _Rollout:
    """Describe the configuration number of each node, as one node reports it."""

    numbers: dict[str, int]
    dead: list[str]
    unreported: list[str]

    def is_in_force(self, number: int) -> bool:
        """Return whether every live node is known to have the number."""
        all_reached = bool(self.numbers) and min(self.numbers.values()) >= number
        return all_reached and not self.unreported

    def list_lines(self, number: int) -> list[str]:
        """List the nodes that are not known to have the number, one per line."""
        behind = [name for name, seen in self.numbers.items() if seen < number]
        lines = [f"not in force: {name}" for name in behind]
        lines += [
            f"dead, loads the newest configuration when it starts: {name}"
            for name in self.dead
        ]
        if self.unreported:
            lines.append(
                f"number unknown to the queried node: {len(self.unreported)} nodes"
            )
        return lines


async def _wait_until_in_force(
    client: _operator_client.OperatorClient,
    change: _operator_client.Change,
    answer: Json,
    wait_seconds: float,
) -> _report.Report:
    number = answer["number"]
    started = trio.current_time()
    rollout = _Rollout(numbers={}, dead=[], unreported=[])
    with trio.move_on_after(wait_seconds):
        while not rollout.is_in_force(number):
            rollout = await _read_rollout(client)
            if not rollout.is_in_force(number):
                await trio.sleep(_STATUS_POLL_INTERVAL_SECONDS)
    reached = sum(seen >= number for seen in rollout.numbers.values())
    seconds = trio.current_time() - started
    in_force = rollout.is_in_force(number)
    value = {
        **answer,
        "change_id": change.change_id,
        "nodes": rollout.numbers,
        "dead_nodes": rollout.dead,
        "unheard_nodes": rollout.unreported,
        "in_force_everywhere": in_force,
        "seconds": round(seconds, 3),
    }
    lines = (
        f"change {change.change_id} accepted as number {number}",
        f"in force on {reached} of {len(rollout.numbers)} nodes after {seconds:.1f} s",
        *rollout.list_lines(number),
    )
    code = _report.ExitCode.DONE if in_force else _report.ExitCode.NOT_IN_FORCE
    return _report.Report(code=code, value=value, lines=lines)


async def _read_rollout(client: _operator_client.OperatorClient) -> _Rollout:
    rollout = _Rollout(numbers={}, dead=[], unreported=[])
    for node in (await client.read_status()).get("nodes", ()):
        name = str(node["node"])
        if node.get("state") == _DEAD_STATE:
            rollout.dead.append(name)
            continue
        confirmed = node.get("confirmed_number")
        known = [] if confirmed is None else [int(confirmed)]
        if node.get("configuration_digest") != "":
            known.append(int(node["configuration_number"]))
        if known:
            rollout.numbers[name] = max(known)
        else:
            rollout.unreported.append(name)
    return rollout


def _read_declared_files(
    paths: tuple[pathlib.Path, ...],
) -> _declaration_files.DeclaredFiles:
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
