"""The command line."""

import collections.abc
import pathlib
import typing

import attrs
import cappa

import jujubepass
from jujubepass.operators import _local_commands, _operator_commands, _report

_NODE_EXAMPLE = "--node 10.0.0.5:8081"
_CHANGE_EXAMPLE = f"{_NODE_EXAMPLE} --base 41 --author ana"
_DEFAULT_WAIT_SECONDS = 8.0
_EXIT_CODES = "Exit codes: " + "; ".join(
    f"{code.value} {meaning}" for code, meaning in _report.EXIT_CODE_MEANINGS.items()
)


class Command(typing.Protocol):
    """Define the interface of a parsed command."""

    @property
    def json(self) -> bool:
        """Return whether the report is printed as JSON."""

    def run(self) -> _report.Report | int:
        """Run the command; return the report to print, or only an exit code."""


def _format_description(example: str) -> str:
    return f"Example: jujubepass {example}\n\n{_EXIT_CODES}"


def _define_command(
    name: str, help_line: str, example: str
) -> collections.abc.Callable[[type], typing.Any]:
    return cappa.command(
        name=name, help=help_line, description=_format_description(example)
    )


def _define_option(help_line: str) -> typing.Any:
    return cappa.Arg(long=True, help=help_line)


_JsonFlag = typing.Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
_Servers = typing.Annotated[
    list[str], cappa.Arg(help="Backend servers, by name.", num_args=-1, required=True)
]


@attrs.frozen(kw_only=True)
class _LocalCommand:
    json: _JsonFlag = False


@attrs.frozen(kw_only=True)
class _NodeCommand(_LocalCommand):
    node: typing.Annotated[
        str, _define_option("Operator listener of any node, as host:port.")
    ]
    key_file: typing.Annotated[
        pathlib.Path | None,
        _define_option(
            "File with the operators' key; "
            f"without it, {_operator_commands.KEY_VARIABLE} holds the key."
        ),
    ] = None

    def _run_on_node(self, operation: _operator_commands.Operation) -> _report.Report:
        target = _operator_commands.Target(node=self.node, key_file=self.key_file)
        return _operator_commands.run(target, operation)


@attrs.frozen(kw_only=True)
class _ChangeCommand(_NodeCommand):
    base: typing.Annotated[
        int | None,
        _define_option("Number that the change was planned on; else the one in force."),
    ] = None
    author: typing.Annotated[str, _define_option("Who makes the change.")]
    change_id: typing.Annotated[
        str | None, _define_option("Id of a change whose answer was lost.")
    ] = None
    wait_seconds: typing.Annotated[
        float, _define_option("Time to wait until the change is in force everywhere.")
    ] = _DEFAULT_WAIT_SECONDS

    @property
    def _change_options(self) -> _operator_commands.ChangeOptions:
        return _operator_commands.ChangeOptions(
            base=self.base,
            author=self.author,
            change_id=self.change_id,
            wait_seconds=self.wait_seconds,
        )


@_define_command("serve", "Run a node until SIGTERM.", "serve node.ini")
@attrs.frozen(kw_only=True)
class Serve(_LocalCommand):
    """Run a node until SIGTERM."""

    settings: typing.Annotated[pathlib.Path, cappa.Arg(help="Settings file.")]

    def run(self) -> _report.Report | int:
        """Run the node."""
        return _local_commands.serve(self.settings)


@_define_command(
    "check",
    "Check settings and declarations without a node.",
    "check --settings node.ini declarations/",
)
@attrs.frozen(kw_only=True)
class Check(_LocalCommand):
    """Check settings and declarations without a node."""

    settings: typing.Annotated[
        pathlib.Path | None, _define_option("Settings file to check.")
    ] = None
    declarations: typing.Annotated[
        list[pathlib.Path], cappa.Arg(help="INI files, or folders with them.")
    ] = attrs.field(factory=list)

    def run(self) -> _report.Report:
        """Check the files."""
        return _local_commands.check(self.settings, tuple(self.declarations))


@_define_command(
    "plan",
    "Show what applying declarations would change.",
    f"plan declarations/ {_NODE_EXAMPLE}",
)
@attrs.frozen(kw_only=True)
class Plan(_NodeCommand):
    """Show what applying declarations would change."""

    declarations: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(help="INI files, or folders with them.", num_args=-1, required=True),
    ]

    def run(self) -> _report.Report:
        """Compare the files with the configuration in force."""
        return self._run_on_node(_operator_commands.plan(tuple(self.declarations)))


@_define_command(
    "apply",
    "Put declarations in force.",
    f"apply declarations/ {_CHANGE_EXAMPLE}",
)
@attrs.frozen(kw_only=True)
class Apply(_ChangeCommand):
    """Put declarations in force."""

    declarations: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(help="INI files, or folders with them.", num_args=-1, required=True),
    ]
    base: typing.Annotated[int, _define_option("Number that plan printed.")]
    digest: typing.Annotated[
        str | None,
        _define_option("Digest that plan printed; refuses any other outcome."),
    ] = None

    def run(self) -> _report.Report:
        """Submit the files as one change."""
        paths = tuple(self.declarations)
        operation = _operator_commands.apply(paths, self._change_options, self.digest)
        return self._run_on_node(operation)


@_define_command(
    "retire",
    "Take declarations out of force.",
    f"retire template old-counter {_CHANGE_EXAMPLE}",
)
@attrs.frozen(kw_only=True)
class Retire(_ChangeCommand):
    """Take declarations out of force."""

    kind: typing.Annotated[
        typing.Literal["template", "account", "backend", "model", "service"],
        cappa.Arg(help="What to retire."),
    ]
    names: typing.Annotated[
        list[str], cappa.Arg(help="Names.", num_args=-1, required=True)
    ]

    def run(self) -> _report.Report:
        """Submit the change."""
        names = tuple(self.names)
        operation = _operator_commands.retire(self.kind, names, self._change_options)
        return self._run_on_node(operation)


@_define_command(
    "drain",
    "Give backend servers no new work.",
    f"drain engine-7 {_CHANGE_EXAMPLE}",
)
@attrs.frozen(kw_only=True)
class Drain(_ChangeCommand):
    """Give backend servers no new work."""

    servers: _Servers
    reason: typing.Annotated[
        str | None, _define_option("Why, for those who come after.")
    ] = None

    def run(self) -> _report.Report:
        """Submit the change."""
        servers = tuple(self.servers)
        operation = _operator_commands.drain(
            servers, self.reason or "", self._change_options
        )
        return self._run_on_node(operation)


@_define_command(
    "add",
    "Give backend servers work, also after a drain.",
    f"add engine-7 {_CHANGE_EXAMPLE}",
)
@attrs.frozen(kw_only=True)
class Add(_ChangeCommand):
    """Give backend servers work, also after a drain."""

    servers: _Servers
    role: typing.Annotated[
        typing.Literal["engine", "service"] | None,
        _define_option(
            "Role of a new backend server; then --address and the rest count."
        ),
    ] = None
    address: typing.Annotated[str | None, _define_option("Address, as host:port.")] = (
        None
    )
    region: typing.Annotated[str | None, _define_option("Region.")] = None
    failure_domain: typing.Annotated[str | None, _define_option("Failure domain.")] = (
        None
    )
    accelerator: typing.Annotated[
        str | None, _define_option("Kind of accelerator.")
    ] = None
    service: typing.Annotated[str | None, _define_option("Service that it runs.")] = (
        None
    )
    checks_fencing: typing.Annotated[
        bool, _define_option("It refuses old fencing numbers.")
    ] = False
    answers_outcomes: typing.Annotated[
        bool, _define_option("It can be asked about an attempt.")
    ] = False

    def run(self) -> _report.Report:
        """Submit the change."""
        servers = tuple(self.servers)
        declared = self._make_section() if self.role is not None else {}
        return self._run_on_node(
            _operator_commands.add(servers, declared, self._change_options)
        )

    def _make_section(self) -> dict[str, str]:
        values = {
            "role": self.role or "",
            "address": self.address or "",
            "region": self.region or "",
            "failure_domain": self.failure_domain or "",
            "accelerator": self.accelerator or "",
            "service": self.service or "",
            "checks_fencing": "true" if self.checks_fencing else "",
            "answers_outcomes": "true" if self.answers_outcomes else "",
        }
        return {key: value for key, value in values.items() if value}


@_define_command("status", "Show a node's state.", f"status {_NODE_EXAMPLE}")
@attrs.frozen(kw_only=True)
class Status(_NodeCommand):
    """Show a node's state."""

    def run(self) -> _report.Report:
        """Read the node's state."""
        return self._run_on_node(_operator_commands.show_status)


@_define_command(
    "replay",
    "Replay a recorded trace and compare its outcomes.",
    "replay trace.jsonl --policy naive",
)
@attrs.frozen(kw_only=True)
class Replay(_LocalCommand):
    """Replay a recorded trace and compare its outcomes."""

    trace: typing.Annotated[pathlib.Path, cappa.Arg(help="Recorded trace.")]
    policy: typing.Annotated[
        typing.Literal["router", "naive"], _define_option("Policy that decides.")
    ] = "router"

    def run(self) -> _report.Report:
        """Replay the trace."""
        return _local_commands.replay(self.trace, self.policy)


@_define_command("settings", "Show the reference of all settings.", "settings")
@attrs.frozen(kw_only=True)
class ShowSettings(_LocalCommand):
    """Show the reference of all settings."""

    def run(self) -> _report.Report:
        """Report the reference of all settings."""
        return _local_commands.show_settings()


@_define_command("version", "Show the version.", "version")
@attrs.frozen(kw_only=True)
class Version(_LocalCommand):
    """Show the version."""

    def run(self) -> _report.Report:
        """Report the version."""
        return _local_commands.show_version()


@cappa.command(
    name="jujubepass",
    help="Router for model pipelines over mixed accelerators.",
    description=_format_description("COMMAND --help"),
)
@attrs.frozen(kw_only=True)
class Program:
    """Define the program's commands."""

    command: cappa.Subcommands[
        Serve
        | Check
        | Plan
        | Apply
        | Retire
        | Drain
        | Add
        | Status
        | Replay
        | ShowSettings
        | Version
    ]


def run(arguments: collections.abc.Sequence[str]) -> int:
    """Run one command line and return its exit code."""
    program = cappa.parse(
        Program,
        argv=list(arguments),
        version=jujubepass.__version__,
        completion=False,
    )
    command: Command = program.command
    result = command.run()
    if isinstance(result, int):
        return result
    _report.print_report(result, as_json=command.json)
    return int(result.code)
