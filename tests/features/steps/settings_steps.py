import contextlib
import io
import pathlib
import tempfile

import behave
import hypothesis
import returns.result
from hypothesis import strategies

from jujubepass import cli, settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
FILE = "node.ini"
PEER_KEY = "peer-key-that-nobody-may-see"
KEY_HASH = "5e" * 32
VALID_SECTIONS = {
    "node": {"name": "n1", "region": "montevideo", "failure_domain": "a"},
    "listen": {
        "callers": "127.0.0.1:8080",
        "operators": "127.0.0.1:8081",
        "peers": "127.0.0.1:8082",
    },
    "platform": {
        "table": "127.0.0.1:9000",
        "objects": "127.0.0.1:9000",
        "vms": "127.0.0.1:9000",
    },
    "security": {"peer_key": PEER_KEY, "operator_key_hash": KEY_HASH},
}
FUZZ_EXAMPLES = 300


def write_ini(sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines)


def read(text):
    return settings.parse_settings(FILE, text)


@behave.given("valid settings")
def step_valid(context):
    context.sections = {
        section: dict(values) for section, values in VALID_SECTIONS.items()
    }


@behave.given('the settings\' key "{section}.{key}" is "{value}"')
def step_key(context, section, key, value):
    context.sections.setdefault(section, {})[key] = value


@behave.when("the settings are read")
def step_read(context):
    context.result = read(write_ini(context.sections))


@behave.when('the settings text "{text}" is read')
def step_read_text(context, text):
    context.result = read(text.replace("\\n", "\n"))


@behave.when("settings are read from a missing file")
def step_read_absent(context):
    with tempfile.TemporaryDirectory() as folder:
        context.result = settings.read_settings(pathlib.Path(folder) / "absent.ini")


@behave.then("these problems are found")
def step_problems(context):
    context.problems = context.result.failure().problems
    found = [(p.section, p.key, p.value, p.allowed) for p in context.problems]
    headings = ("section", "key", "value", "allowed")
    expected = [tuple(row[name] for name in headings) for row in context.table]
    assert sorted(found) == sorted(expected), found


@behave.then(
    "each problem's line names its file, section, key, value and what is allowed"
)
def step_lines(context):
    lines = str(context.result.failure()).splitlines()
    assert len(lines) == len(context.problems)
    for line, problem in zip(lines, context.problems, strict=True):
        assert line.startswith(f"{FILE}: [{problem.section}] {problem.key} = "), line
        assert problem.value in line and problem.allowed in line, line


@behave.then('a problem says "{what}"')
def step_problem(context, what):
    lines = str(context.result.failure()).splitlines()
    assert any(what in line for line in lines), lines


@behave.then(
    "their text shows neither the peers' key nor the hash of the operators' key"
)
def step_secrets(context):
    shown = repr(context.result.unwrap()) + str(context.result.unwrap())
    assert PEER_KEY not in shown and KEY_HASH not in shown


names = strategies.sampled_from(
    [section for section in VALID_SECTIONS]
    + [key for values in VALID_SECTIONS.values() for key in values]
    + ["timing", "tick_seconds", "log", "level", "DEFAULT", "nmae"]
)
values = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(["nan", "1e999", "-1", "0", "\u0661", "9" * 5000, "a\n b"]),
)
texts = strategies.one_of(
    strategies.text(),
    strategies.lists(
        strategies.one_of(
            names.map("[{}]".format),
            strategies.builds("{} = {}".format, names, values),
            strategies.text(max_size=20),
        )
    ).map("\n".join),
    strategies.dictionaries(
        names, strategies.dictionaries(names, values, max_size=4), max_size=4
    ).map(lambda changes: write_ini({**VALID_SECTIONS, **changes})),
)


@behave.then("any INI text gives settings or problems")
def step_fuzz(context):
    @hypothesis.settings(
        max_examples=FUZZ_EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(texts)
    def check(text):
        result = read(text)
        if isinstance(result, returns.result.Success):
            assert isinstance(result.unwrap(), settings.Settings)
            return
        error = result.failure()
        assert isinstance(error, settings.SettingsError)
        assert error.problems
        assert all(problem.what and problem.allowed for problem in error.problems)
        assert PEER_KEY not in str(error)

    check()


@behave.then('docs/settings.md equals what "settings" prints')
def step_reference(context):
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        assert cli.run(["settings"]) == 0
    assert (ROOT / "docs" / "settings.md").read_text() == printed.getvalue()
