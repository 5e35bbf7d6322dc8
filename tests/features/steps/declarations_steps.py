import pathlib

import behave
import returns.result

from jujubepass import _ini, declarations
from jujubepass.configuration import _declaration_changes, _declaration_files

ROOT = pathlib.Path(__file__).resolve().parents[3]
FIRST_KEY, SECOND_KEY, FIELD_KEY = "a" * 64, "b" * 64, "c" * 64
EXAMPLE = f"""
[model stairs]
layers = 32
[service bookings]
[template counter]
requests_per_second = {{rate}}
concurrency = {{streams}}
models = stairs
parameter.rate.type = decimal
parameter.rate.minimum = 1
parameter.rate.maximum = 500
parameter.rate.default = 20
parameter.rate.unit = requests/s
parameter.streams.type = integer
parameter.streams.default = 8
parameter.tier.type = choice
parameter.tier.choices = gold, silver
parameter.tier.default = silver
parameter.label.type = text
parameter.label.pattern = [a-z]+
parameter.label.default = none
[template phone]
services = bookings
[account desk]
template = counter
key_hash = {FIRST_KEY}
rate = 40
[account field]
template = counter
key_hash = {FIELD_KEY}
[account van]
template = phone
key_hash = {"d" * 64}
[backend e9]
role = engine
address = 10.0.0.9:9000
region = r
failure_domain = a
"""


def build(sections):
    return _declaration_changes.update_declarations(
        declarations.Declarations(), {}, sections
    )


def change(context, delta):
    update = _declaration_changes.update_declarations(
        context.declared, context.sections, delta
    )
    return update


@behave.given("the example declarations")
def step_example(context):
    context.sections, problems = _ini.read_sections("example.ini", EXAMPLE)
    assert not problems, problems
    context.update = build(context.sections)
    context.declared = context.update.declared


@behave.then("they have no problems")
def step_no_problems(context):
    assert not context.update.problems, context.update.problems


@behave.then('account "{name}" has requests_per_second {rate:d} and concurrency {n:d}')
def step_limits(context, name, rate, n):
    account = context.declared.accounts[name]
    assert (account.requests_per_second, account.concurrency) == (rate, n), account
    assert account.models == {"stairs"}


@behave.when('account "{name}" gets a second key')
def step_second_key(context, name):
    title = f"account {name}"
    section = {**context.sections[title], "second_key_hash": SECOND_KEY}
    update = change(context, {title: section})
    assert not update.problems, update.problems
    context.declared = update.declared


@behave.when('account "{name}" drops its first key')
def step_drop_key(context, name):
    title = f"account {name}"
    section = {**context.sections[title], "key_hash": SECOND_KEY}
    update = change(context, {title: section})
    assert not update.problems, update.problems
    context.declared = update.declared


def find_name(context, key_hash):
    account = context.declared.find_account_by_key_hash(key_hash)
    return None if account is None else account.name


@behave.then('both keys find account "{name}"')
def step_both_keys(context, name):
    assert find_name(context, FIRST_KEY) == find_name(context, SECOND_KEY) == name


@behave.then('only the second key finds account "{name}"')
def step_one_key(context, name):
    assert find_name(context, FIRST_KEY) is None
    assert find_name(context, SECOND_KEY) == name


@behave.when("[{title}] is changed by {key} = {value}")
def step_change(context, title, key, value):
    value = FIRST_KEY if value == "KEY" else value
    section = {**context.sections.get(title, {}), key: value}
    context.update = change(context, {title: section})


@behave.then('the problem contains "{problem}"')
def step_problem(context, problem):
    shown = "\n".join(map(str, context.update.problems))
    assert problem in shown, shown
    assert all(each.file and each.section for each in context.update.problems)


@behave.when("several sections are invalid")
def step_several(context):
    context.update = change(
        context,
        {
            "model stairs": {"layers": "x"},
            "template counter": {"burst": "-1", "weight": "0"},
            "account desk": {"template": "none"},
            "drain e9": {"why": "x"},
        },
    )


@behave.then("each of them has its problem")
def step_each(context):
    found = {(each.section, each.key) for each in context.update.problems}
    wanted = {
        ("model stairs", "layers"),
        ("template counter", "burst"),
        ("template counter", "weight"),
        ("account desk", "template"),
        ("account desk", "key_hash"),
        ("drain e9", "why"),
    }
    assert wanted <= found, found


@behave.then('retiring "{title}" names its users "{users}"')
def step_in_use(context, title, users):
    update = change(context, {title: None})
    shown = "\n".join(map(str, update.problems))
    assert f"is in use by {users}" in shown, shown


@behave.then('retiring "{title}" is refused until it is drained')
def step_drain_first(context, title):
    assert change(context, {title: None}).problems
    drained = change(context, {"drain e9": {}}).declared
    update = _declaration_changes.update_declarations(
        drained, context.sections, {title: None, "drain e9": None}
    )
    assert not update.problems, update.problems


@behave.then('retiring "{title}" is allowed')
def step_allowed(context, title):
    assert not change(context, {title: None}).problems


@behave.then("each folder of examples has no problems")
def step_examples(context):
    folders = sorted((ROOT / "examples").iterdir())
    assert len(folders) >= 2, folders
    for folder in folders:
        read = _declaration_files.check_declarations([folder])
        assert isinstance(read, returns.result.Success), read.failure()
