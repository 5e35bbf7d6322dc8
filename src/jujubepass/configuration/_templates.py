"""Templates with typed, bounded parameters, and accounts that set them."""

import collections
import collections.abc
import re
import typing

import attrs

from jujubepass import _ini, declarations, ids
from jujubepass.configuration import _declaration_schema

TEMPLATE_KEY = "template"

_PREFIX = "parameter."
_PLACEHOLDER = re.compile(r"\{(\S+)\}")
_PARAMETER_NAME = re.compile(r"[a-z][a-z0-9_]{0,62}")
_PARAMETER_NAME_MEANING = (
    "a lower-case letter, then up to 62 letters, digits, underscores"
)
_RESERVED = (TEMPLATE_KEY, "key_hash", "second_key_hash")
_KEY_NAMES = tuple(attrs.fields_dict(_declaration_schema.KeySection))

Values = collections.abc.Mapping[str, str]
Templates = collections.abc.Mapping[ids.TemplateId, declarations.Template]
Limits = dict[str, typing.Any]
"""Fields of an account that its template determines, by name."""

Problems = list[_ini.Problem]


def read_template(
    file: str, title: str, name: str, values: Values
) -> tuple[declarations.Template | None, Problems]:
    """Return the template of [template NAME], or None if a problem was found."""
    limits = {k: v for k, v in values.items() if not k.startswith(_PREFIX)}
    parameters, problems = _read_parameters(file, title, values)
    fixed = {k: v for k, v in limits.items() if not _PLACEHOLDER.fullmatch(v)}
    _, found = _ini.structure_section(
        _declaration_schema.LimitSection, file, title, fixed
    )
    problems += found
    problems += _check_placeholders(file, title, limits, parameters)
    if problems:
        return None, problems
    template = declarations.Template(
        name=ids.TemplateId(name), limits=limits, parameters=parameters
    )
    return template, []


def _read_parameters(
    file: str, title: str, values: Values
) -> tuple[dict[str, declarations.Parameter], Problems]:
    grouped: dict[str, dict[str, str]] = collections.defaultdict(dict)
    problems: Problems = []
    for key, value in values.items():
        if key.startswith(_PREFIX):
            name, _, attribute = key.removeprefix(_PREFIX).partition(".")
            grouped[name][attribute] = value
    parameters = {}
    for name, attributes in grouped.items():
        parameter, found = _read_parameter(file, title, name, attributes)
        problems += found
        if parameter is not None:
            parameters[name] = parameter
    return parameters, problems


def _read_parameter(
    file: str, title: str, name: str, attributes: Values
) -> tuple[declarations.Parameter | None, Problems]:
    prefix = f"{_PREFIX}{name}."
    if not _PARAMETER_NAME.fullmatch(name) or name in _RESERVED:
        problem = _ini.Problem(
            file=file,
            section=title,
            key=prefix,
            what="has a name that no parameter can have",
            allowed=f"{_PARAMETER_NAME_MEANING}; none of {', '.join(_RESERVED)}",
        )
        return None, [problem]
    read, found = _ini.structure_section(
        _declaration_schema.ParameterSection, file, title, attributes
    )
    if read is None:
        return None, [attrs.evolve(each, key=prefix + each.key) for each in found]
    parameter = _make_parameter(name, read)
    inconsistency = _find_inconsistency(parameter)
    if inconsistency is None:
        return parameter, []
    key, what, allowed = inconsistency
    value = _ini.shorten(attributes.get(key, ""))
    problem = _ini.Problem(
        file=file,
        section=title,
        key=prefix + key,
        value=value,
        what=what,
        allowed=allowed,
    )
    return None, [problem]


def _make_parameter(
    name: str, read: _declaration_schema.ParameterSection
) -> declarations.Parameter:
    return declarations.Parameter(
        name=name,
        kind=read.type,
        default=read.default,
        minimum=read.minimum,
        maximum=read.maximum,
        unit=read.unit,
        pattern=read.pattern,
        choices=split_names(read.choices),
    )


def _find_inconsistency(
    parameter: declarations.Parameter,
) -> tuple[str, str, str] | None:
    if parameter.minimum > parameter.maximum:
        allowed = f"a number up to the maximum, {parameter.maximum:g}"
        return "minimum", "is over the maximum", allowed
    if parameter.kind is declarations.ParameterKind.CHOICE and not parameter.choices:
        return "choices", "is missing", "choices with commas between them"
    try:
        re.compile(parameter.pattern)
    except re.error as error:
        return "pattern", f"is no regular expression ({error})", "one, such as [a-z]+"
    if parameter.default:
        what = find_violation(parameter, parameter.default)
        if what is not None:
            return "default", what, describe_parameter(parameter)
    return None


def find_violation(parameter: declarations.Parameter, value: str) -> str | None:
    """Return how a value violates a parameter's bounds, or None."""
    kind = parameter.kind
    if kind is declarations.ParameterKind.CHOICE:
        return None if value in parameter.choices else "is not a choice"
    if kind is declarations.ParameterKind.TEXT:
        fits = not parameter.pattern or re.fullmatch(parameter.pattern, value)
        return None if fits else "does not fit the pattern"
    try:
        is_integer = kind is declarations.ParameterKind.INTEGER
        number = int(value) if is_integer else float(value)
    except ValueError:
        return f"is no {kind.value}"
    if not parameter.minimum <= number <= parameter.maximum:
        return "is out of bounds"
    return None


def describe_parameter(parameter: declarations.Parameter) -> str:
    """Describe the values that a parameter accepts."""
    if parameter.kind is declarations.ParameterKind.CHOICE:
        return "one of " + ", ".join(parameter.choices)
    if parameter.kind is declarations.ParameterKind.TEXT:
        return f"text that fits {parameter.pattern}" if parameter.pattern else "text"
    unit = f" {parameter.unit}" if parameter.unit else ""
    bounds = f"from {parameter.minimum:g} to {parameter.maximum:g}{unit}"
    return f"{parameter.kind.value} {bounds}"


def _check_placeholders(
    file: str,
    title: str,
    limits: Values,
    parameters: collections.abc.Mapping[str, declarations.Parameter],
) -> Problems:
    known = attrs.fields_dict(_declaration_schema.LimitSection)
    problems = []
    for key, value in limits.items():
        match = _PLACEHOLDER.fullmatch(value)
        if match is None:
            continue
        if key not in known:
            what, allowed = "is no key of this section", _ini.suggest(key, known)
        elif match[1] not in parameters:
            what = "names no parameter of this template"
            allowed = _ini.suggest(match[1], parameters)
        else:
            continue
        problems.append(
            _ini.Problem(
                file=file,
                section=title,
                key=key,
                value=value,
                what=what,
                allowed=allowed,
            )
        )
    return problems


def read_account(
    file: str, title: str, name: str, values: Values, templates: Templates
) -> tuple[declarations.Account | None, Problems]:
    """Return the account of [account NAME], or None if a problem was found."""
    keys = {k: v for k, v in values.items() if k in _KEY_NAMES}
    key, problems = _ini.structure_section(
        _declaration_schema.KeySection, file, title, keys
    )
    limits, found = read_limits(file, title, values, templates)
    problems += found
    if problems or key is None or limits is None:
        return None, problems
    account = declarations.Account(
        name=ids.AccountId(name),
        template=ids.TemplateId(values.get(TEMPLATE_KEY, "")),
        key_hash=key.key_hash,
        second_key_hash=key.second_key_hash,
        **limits,
    )
    return account, []


def read_limits(
    file: str, title: str, values: Values, templates: Templates
) -> tuple[Limits | None, Problems]:
    """Return an account's limits from its template and parameters."""
    filled, problems = _expand_limits(file, title, values, templates)
    if filled is None or problems:
        return None, problems
    section, found = _ini.structure_section(
        _declaration_schema.LimitSection, file, title, filled
    )
    if section is None:
        return None, found
    limits: Limits = {each: getattr(section, each) for each in _PLAIN_LIMITS}
    limits["models"] = frozenset(split_names(section.models))
    limits["services"] = frozenset(split_names(section.services))
    return limits, []


_PLAIN_LIMITS = tuple(
    name
    for name in attrs.fields_dict(_declaration_schema.LimitSection)
    if name not in ("models", "services")
)


def _expand_limits(
    file: str, title: str, values: Values, templates: Templates
) -> tuple[dict[str, str] | None, Problems]:
    given = {k: v for k, v in values.items() if k not in _RESERVED}
    template = ids.TemplateId(values.get(TEMPLATE_KEY, ""))
    if not template:
        return given, []
    if template in templates:
        return _fill_template(file, title, given, templates[template])
    problem = _ini.Problem(
        file=file,
        section=title,
        key=TEMPLATE_KEY,
        value=template,
        what="names no template",
        allowed=_ini.suggest(template, templates) or "a template",
    )
    return None, [problem]


def _fill_template(
    file: str, title: str, given: Values, template: declarations.Template
) -> tuple[dict[str, str], Problems]:
    filled: dict[str, str] = {}
    problems: Problems = []
    parameters = template.parameters
    for name in sorted(set(given) - set(parameters)):
        allowed = _ini.suggest(name, parameters) or "no parameter"
        what = f"is no parameter of template {template.name}"
        problems.append(
            _ini.Problem(file=file, section=title, key=name, what=what, allowed=allowed)
        )
    for name, parameter in parameters.items():
        value = given.get(name, parameter.default)
        violation = find_violation(parameter, value) if value else "is missing"
        if violation is None:
            filled[name] = value
            continue
        problems.append(
            _ini.Problem(
                file=file,
                section=title,
                key=name,
                value=_ini.shorten(value) if value else "",
                what=violation,
                allowed=describe_parameter(parameter),
            )
        )
    if problems:
        return {}, problems
    limits = {
        key: filled[match[1]] if (match := _PLACEHOLDER.fullmatch(value)) else value
        for key, value in template.limits.items()
    }
    return limits, []


def split_names(text: str) -> tuple[str, ...]:
    """Split names separated by commas."""
    parts = text.split(_declaration_schema.NAMES_SEPARATOR)
    return tuple(part.strip() for part in parts if part.strip())
