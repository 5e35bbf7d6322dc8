"""Reference page of the settings, generated from their schema."""

import collections.abc
import enum
import typing

import attrs

from jujubepass import _ini, settings

_INTRODUCTION = """\
# Settings

One INI file per node, read at start by `jujubepass serve` and checked by
`jujubepass check --settings`. This page is written by `jujubepass settings`.
Keys are `key = value`, one a line; `#` and `;` start comment lines.
"""
_HEADING = (
    "| key | default | allowed | unit | meaning |\n| --- | --- | --- | --- | --- |"
)


@attrs.frozen(kw_only=True)
class Row:
    """Describe one key of the settings."""

    section: str
    key: str
    default: str
    allowed: str
    unit: str
    meaning: str


def list_rows() -> collections.abc.Iterator[Row]:
    """List every key, section by section."""
    for section, schema in _list_sections():
        for field in attrs.fields(schema):
            rule = _ini.get_rule(field)
            yield Row(
                section=section,
                key=field.name,
                default=_format_default(field.default),
                allowed=_ini.describe_allowed(field),
                unit=rule.unit,
                meaning=rule.meaning + (" (never logged)" if rule.secret else ""),
            )


def write_reference() -> str:
    """Return the reference page in Markdown."""
    rows = list(list_rows())
    parts = [_INTRODUCTION]
    for section, schema in _list_sections():
        lines = [f"## [{section}]", "", schema.__doc__ or "", "", _HEADING]
        lines += [_format_row(row) for row in rows if row.section == section]
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def _list_sections() -> list[tuple[str, type[typing.Any]]]:
    return [
        (field.name, field.type)
        for field in attrs.fields(settings.Settings)
        if field.type is not None
    ]


def _format_row(row: Row) -> str:
    cells = [f"`{row.key}`", row.default, row.allowed, row.unit, row.meaning]
    return "| " + " | ".join(cells) + " |"


def _format_default(default: object) -> str:
    if default is None:
        return "none"
    if default is attrs.NOTHING:
        return "required"
    return str(default.value if isinstance(default, enum.Enum) else default)
