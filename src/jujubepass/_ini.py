"""Parsing of INI text into attrs classes, reporting all problems at once."""

import collections.abc
import configparser
import difflib
import enum
import math
import re
import typing

import attrs
import cattrs
import cattrs.errors
import cattrs.gen

from jujubepass.transport import _http_client

Sections = dict[str, dict[str, str]]

_RULE_METADATA_KEY = "jujubepass.rule"
_MAX_SHOWN_CHARACTERS = 80
_MAX_SHOWN_START_CHARACTERS = 24
_END_OF_START_PATTERN = re.compile(r"[\s=]")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_MEANING = "1 to 63 letters, digits, dots, underscores or hyphens"
_Schema = typing.TypeVar("_Schema")


@attrs.frozen(kw_only=True)
class Problem:
    """Describe one problem of an INI file and what is allowed instead."""

    file: str
    section: str = ""
    key: str = ""
    value: str = ""
    what: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}]" if self.section else self.file
        if self.key:
            place += f" {self.key}"
        value = f" = {self.value}" if self.value else ""
        return f"{place}{value}: {self.what}; allowed: {self.allowed}"


@attrs.frozen(kw_only=True)
class Rule:
    """Describe one key: its meaning, its unit and the values it allows."""

    meaning: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    pattern: re.Pattern[str] | None = None
    pattern_meaning: str = ""
    secret: bool = False


class RuleViolationError(ValueError):
    """Signal a value that violates the rule of its key."""


def key(*, default: object = attrs.NOTHING, **rule: typing.Any) -> typing.Any:
    """Declare one INI key as an attrs field with a `Rule`."""
    return attrs.field(
        default=default,
        validator=_check_rule,
        repr=not rule.get("secret", False),
        metadata={_RULE_METADATA_KEY: Rule(**rule)},
    )


def name_key(meaning: str) -> typing.Any:
    """Declare a key that holds a name."""
    return key(meaning=meaning, pattern=NAME_PATTERN, pattern_meaning=NAME_MEANING)


def seconds_key(
    default: float, meaning: str, *, minimum: float, maximum: float
) -> typing.Any:
    """Declare a key that holds a duration."""
    return key(
        default=default,
        meaning=meaning,
        unit="seconds",
        minimum=minimum,
        maximum=maximum,
    )


def get_rule(field: "attrs.Attribute[typing.Any]") -> Rule:
    """Return the rule that a field was declared with."""
    rule = field.metadata[_RULE_METADATA_KEY]
    assert isinstance(rule, Rule)
    return rule


def describe_allowed(field: "attrs.Attribute[typing.Any]") -> str:
    """Return a text that lists the values a field allows."""
    rule = get_rule(field)
    base = _find_base_type(field.type)
    if issubclass(base, enum.Enum):
        return "one of " + ", ".join(str(member.value) for member in base)
    if base is _http_client.Address:
        return "host:port, such as 127.0.0.1:8080"
    if base is bool:
        return "true or false"
    if rule.pattern is not None:
        return rule.pattern_meaning
    if base is str:
        return "any text but the empty one"
    return ("a whole number" if base is int else "a number") + _describe_bounds(rule)


def read_sections(file: str, text: str) -> tuple[Sections, list[Problem]]:
    """Split INI text into its sections; return syntax errors as problems."""
    problems: list[Problem] = []
    parser = _make_parser(strict=True)
    try:
        parser.read_string(text, source=file)
    except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as e:
        problems.append(_describe_duplicate(file, e))
        parser = _make_parser(strict=False)
        try:
            parser.read_string(text, source=file)
        except configparser.Error as error:
            problems += _describe_syntax(file, error)
    except configparser.Error as error:
        problems += _describe_syntax(file, error)
    sections = {
        name: {k: v or "" for k, v in parser.items(name)} for name in parser.sections()
    }
    return sections, problems


def structure_section(
    schema: type[_Schema],
    file: str,
    section: str,
    values: collections.abc.Mapping[str, str],
) -> tuple[_Schema | None, list[Problem]]:
    """Convert one section to its class; return None if it has problems."""
    try:
        return _CONVERTER.structure(values, schema), []
    except cattrs.errors.ClassValidationError as error:
        return None, _describe_invalid(schema, file, section, values, error)


def structure_sections(
    schema: type, file: str, text: str
) -> tuple[dict[str, typing.Any], list[Problem]]:
    """Convert INI text to the sections of a class; problems leave them incomplete."""
    sections, problems = read_sections(file, text)
    schemas = {field.name: field.type for field in attrs.fields(schema)}
    for name in sorted(set(sections) - set(schemas)):
        allowed = suggest(name, schemas)
        problems.append(
            Problem(file=file, section=name, what="is no section", allowed=allowed)
        )
    read: dict[str, typing.Any] = {}
    for name, section_schema in schemas.items():
        assert section_schema is not None
        value, found = structure_section(
            section_schema, file, name, sections.get(name, {})
        )
        problems += found
        read[name] = value
    return read, problems


def suggest(name: str, allowed: collections.abc.Iterable[str]) -> str:
    """Return a text with all allowed names and the one nearest to `name`."""
    names = list(allowed)
    nearest = difflib.get_close_matches(name, names, n=1, cutoff=0.0)
    listed = ", ".join(names)
    return f"{listed} (nearest: {nearest[0]})" if nearest else listed


def shorten(value: str, max_characters: int = _MAX_SHOWN_CHARACTERS) -> str:
    """Return the value quoted, and truncated to fit into one line of a message."""
    shown = value if len(value) <= max_characters else value[:max_characters]
    return repr(shown) + ("..." if shown != value else "")


def _format_value_start(value: str) -> str:
    """Return the first word of a value; a secret may follow on a continuation line."""
    start = _END_OF_START_PATTERN.split(value, maxsplit=1)[0]
    shown = shorten(start, _MAX_SHOWN_START_CHARACTERS)
    return shown if start == value or shown.endswith("...") else f"{shown}..."


def _check_rule(
    _instance: object, field: "attrs.Attribute[typing.Any]", value: typing.Any
) -> None:
    rule = get_rule(field)
    if value == field.default:
        return
    if rule.pattern is not None and not rule.pattern.fullmatch(value):
        raise RuleViolationError("does not fit")
    if isinstance(value, str) and not value:
        raise RuleViolationError("is empty")
    if isinstance(value, float) and not math.isfinite(value):
        raise RuleViolationError("is not finite")
    if rule.minimum is not None and value < rule.minimum:
        raise RuleViolationError("is too low")
    if rule.maximum is not None and value > rule.maximum:
        raise RuleViolationError("is too high")


def _find_base_type(annotation: typing.Any) -> type:
    annotation = next(iter(typing.get_args(annotation)), annotation)  # T of T | None
    while hasattr(annotation, "__supertype__"):
        annotation = annotation.__supertype__
    assert isinstance(annotation, type)
    return annotation


def _describe_bounds(rule: Rule) -> str:
    if rule.minimum is None:
        return ""
    if rule.maximum is None:
        return f", at least {rule.minimum:.15g}"
    return f" from {rule.minimum:.15g} to {rule.maximum:.15g}"


def _make_parser(*, strict: bool) -> configparser.RawConfigParser:
    return configparser.RawConfigParser(
        strict=strict,
        delimiters=("=",),
        default_section="",
        empty_lines_in_values=False,
    )


def _describe_duplicate(
    file: str,
    error: configparser.DuplicateSectionError | configparser.DuplicateOptionError,
) -> Problem:
    return Problem(
        file=file,
        section=error.section,
        key=getattr(error, "option", ""),
        what=f"stands twice (line {error.lineno})",
        allowed="each section and key once",
    )


def _describe_syntax(file: str, error: configparser.Error) -> list[Problem]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        lines = [(error.lineno, "stands before any section")]
    elif isinstance(error, configparser.ParsingError):
        lines = [(line, "is neither a section nor a key") for line, _ in error.errors]
    else:
        lines = [(0, type(error).__name__)]
    allowed = "a [section] line, then lines of key = value"
    return [
        Problem(file=file, what=f"line {line} {what}", allowed=allowed)
        for line, what in lines
    ]


def _describe_invalid(
    schema: type,
    file: str,
    section: str,
    values: collections.abc.Mapping[str, str],
    error: cattrs.errors.ClassValidationError,
) -> list[Problem]:
    fields = attrs.fields_dict(schema)
    field_errors, other_errors = error.group_exceptions()
    problems = []
    for cause, note in field_errors:
        field = fields[note.name]
        value = values.get(note.name, "")
        if get_rule(field).secret and value:
            value = f"(hidden, {len(value)} characters)"
        elif note.name in values:
            value = _format_value_start(value)
        problems.append(
            Problem(
                file=file,
                section=section,
                key=note.name,
                value=value,
                what="is missing" if note.name not in values else str(cause),
                allowed=describe_allowed(field),
            )
        )
    for other in other_errors:
        if not isinstance(other, cattrs.errors.ForbiddenExtraKeysError):
            raise other
        problems += _describe_extra(file, section, values, fields, other.extra_fields)
    return problems


def _describe_extra(
    file: str,
    section: str,
    values: collections.abc.Mapping[str, str],
    fields: collections.abc.Mapping[str, typing.Any],
    extra: collections.abc.Iterable[str],
) -> list[Problem]:
    return [
        Problem(
            file=file,
            section=section,
            key=name,
            what="is no key of this section",
            allowed=suggest(name, fields),
        )
        for name in sorted(extra)
    ]


def _parse_int(text: str, _type: object) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise RuleViolationError("is not a whole number") from error


def _parse_float(text: str, _type: object) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise RuleViolationError("is not a number") from error


def _parse_bool(text: str, _type: object) -> bool:
    if text not in ("true", "false"):
        raise RuleViolationError("is neither true nor false")
    return text == "true"


def _parse_address(text: str, _type: object) -> _http_client.Address:
    try:
        return _http_client.parse_address(text)
    except ValueError as error:
        raise RuleViolationError("is not host:port") from error


def _make_enum_hook(
    choices: type[enum.Enum],
) -> collections.abc.Callable[[str, object], enum.Enum]:
    def parse(text: str, _type: object) -> enum.Enum:
        """Find the member by its value."""
        try:
            return choices(text)
        except ValueError as error:
            raise RuleViolationError("is not a choice") from error

    return parse


def _make_field_hook(
    converter: cattrs.Converter, field: "attrs.Attribute[typing.Any]"
) -> collections.abc.Callable[[str, object], object]:
    parse = converter.get_structure_hook(_find_base_type(field.type))

    def read(text: str, annotation: typing.Any) -> object:
        """Parse the text and check the field's rule."""
        value = parse(text, annotation)
        _check_rule(None, field, value)
        return value

    return read


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(int, _parse_int)
    converter.register_structure_hook(float, _parse_float)
    converter.register_structure_hook(bool, _parse_bool)
    converter.register_structure_hook(_http_client.Address, _parse_address)
    converter.register_structure_hook_factory(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _make_enum_hook,
    )

    @converter.register_structure_hook_factory(
        lambda kind: attrs.has(kind) and kind is not _http_client.Address
    )
    def make_section_hook(schema: typing.Any) -> typing.Any:
        """Make the function that reads one section."""
        overrides: dict[str, typing.Any] = {
            field.name: cattrs.gen.override(
                struct_hook=_make_field_hook(converter, field)
            )
            for field in attrs.fields(schema)
        }
        return cattrs.gen.make_dict_structure_fn(
            schema, converter, _cattrs_forbid_extra_keys=True, **overrides
        )

    return converter


_CONVERTER = _make_converter()
