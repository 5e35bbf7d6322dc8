"""Comparison of the configuration in force with declaration files."""

import collections.abc
import typing

import attrs

from jujubepass import _ini, declarations
from jujubepass.configuration import (
    _configuration_digest,
    _declaration_changes,
    _declaration_files,
)

_MAX_SHOWN_ACCOUNTS = 20

Json = typing.Any
Section = collections.abc.Mapping[str, str]


@attrs.frozen(kw_only=True)
class Plan:
    """Describe the changes that applying declaration files would make."""

    base: int
    digest: str
    changes: tuple[str, ...]
    accounts: tuple[str, ...]
    undeclared: tuple[str, ...]
    problems: tuple[_ini.Problem, ...]


def make_plan(configuration: Json, wanted: _declaration_files.DeclaredFiles) -> Plan:
    """Compare a node's configuration with the sections of files."""
    current = configuration["sections"]
    delta = {
        title: section
        for title, section in wanted.sections.items()
        if section != current.get(title)
    }
    before = _declaration_changes.update_declarations(
        declarations.Declarations(), {}, current
    ).declared
    update = _declaration_changes.update_declarations(
        before, current, delta, wanted.files
    )
    changes: list[str] = []
    for title in sorted(delta):
        changes += _compare_section(title, current.get(title), delta[title])
    return Plan(
        base=configuration["number"],
        digest=_configuration_digest.update_digest(
            configuration["digest"], current, delta
        ),
        changes=tuple(changes),
        accounts=tuple(_compare_accounts(before, update.declared)),
        undeclared=tuple(sorted(set(current) - set(wanted.sections))),
        problems=update.problems,
    )


def write_lines(plan: Plan) -> tuple[str, ...]:
    """Format a plan as lines of text."""
    lines = list(plan.changes) or ["no changes"]
    if plan.accounts:
        lines += ["client accounts with other limits:"]
        lines += [f"  {line}" for line in plan.accounts[:_MAX_SHOWN_ACCOUNTS]]
    if len(plan.accounts) > _MAX_SHOWN_ACCOUNTS:
        lines.append(f"  and {len(plan.accounts) - _MAX_SHOWN_ACCOUNTS} more")
    if plan.undeclared:
        lines.append(f"in force and in no file given: {len(plan.undeclared)} sections")
    return (*lines, f"base: {plan.base}", f"digest: {plan.digest}")


def _compare_section(
    title: str, before: Section | None, after: Section
) -> collections.abc.Iterator[str]:
    yield f"{'+' if before is None else '~'} [{title}]"
    old = before or {}
    for key in sorted({*old, *after}):
        if old.get(key) == after.get(key):
            continue
        if key in old:
            yield f"  -{key} = {old[key]}"
        if key in after:
            yield f"  +{key} = {after[key]}"


def _compare_accounts(
    before: declarations.Declarations, after: declarations.Declarations
) -> collections.abc.Iterator[str]:
    for name, account in sorted(after.accounts.items()):
        old = before.accounts.get(name)
        if old is account:
            continue
        changed = [
            f"{field} {'' if old is None else _format(getattr(old, field)) + ' -> '}"
            f"{_format(getattr(account, field))}"
            for field in _LIMITS
            if old is None or getattr(old, field) != getattr(account, field)
        ]
        if changed:
            yield f"{name}: {', '.join(changed)}"


_LIMITS = tuple(
    field
    for field in attrs.fields_dict(declarations.Account)
    if field not in ("name", "template", "key_hash", "second_key_hash")
)


def _format(value: object) -> str:
    if isinstance(value, frozenset):
        return "+".join(sorted(value)) or "all"
    return f"{value:g}" if isinstance(value, float) else str(value)
