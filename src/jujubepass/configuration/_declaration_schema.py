"""Schema of the sections that operators declare."""

import enum
import re

import attrs

from jujubepass import _ini, declarations, ids
from jujubepass.transport import _http_client

NAMES_SEPARATOR = ","

_SHA256 = re.compile(r"[0-9a-f]{64}")
_SHA256_MEANING = "SHA-256 of the key: 64 hexadecimal digits in lower case"
_NAMES = re.compile(rf"{_ini.NAME_PATTERN.pattern}( *, *{_ini.NAME_PATTERN.pattern})*")
_NAMES_MEANING = "names with commas between them"
_MAX_TEXT_CHARACTERS = 200
_TEXT = re.compile(rf"[^\n]{{1,{_MAX_TEXT_CHARACTERS}}}")
_TEXT_MEANING = f"1 to {_MAX_TEXT_CHARACTERS} characters on one line"


class BackendRole(enum.Enum):
    """Enumerate the roles of backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


def _text_key(meaning: str) -> str:
    key: str = _ini.key(
        default="", meaning=meaning, pattern=_TEXT, pattern_meaning=_TEXT_MEANING
    )
    return key


@attrs.frozen(kw_only=True)
class ModelSection:
    """Define the keys of [model NAME]."""

    layers: int = _ini.key(
        meaning="layers of the model", unit="layers", minimum=1, maximum=10_000
    )
    version: str = _ini.key(
        default="1",
        meaning="version of the weights",
        pattern=_ini.NAME_PATTERN,
        pattern_meaning=_ini.NAME_MEANING,
    )


@attrs.frozen(kw_only=True)
class ServiceSection:
    """Define [service NAME], which has no keys."""


@attrs.frozen(kw_only=True)
class KeySection:
    """Define the keys of [account NAME] that no template can set."""

    key_hash: str = _ini.key(
        meaning="hash of the account's key",
        pattern=_SHA256,
        pattern_meaning=_SHA256_MEANING,
        secret=True,
    )
    second_key_hash: str = _ini.key(
        default="",
        meaning="hash of a second valid key, for rotation",
        pattern=_SHA256,
        pattern_meaning=_SHA256_MEANING,
        secret=True,
    )


@attrs.frozen(kw_only=True)
class LimitSection:
    """Define the limits that [template NAME] sets."""

    requests_per_second: float = _ini.key(
        default=100.0,
        meaning="rate of requests, over all nodes",
        unit="requests/s",
        minimum=0.001,
        maximum=1_000_000,
    )
    burst: float = _ini.key(
        default=200.0,
        meaning="requests at once above the rate",
        unit="requests",
        minimum=1,
        maximum=1_000_000,
    )
    concurrency: int = _ini.key(
        default=64,
        meaning="requests in progress, over all nodes",
        unit="requests",
        minimum=1,
        maximum=100_000,
    )
    priority: int = _ini.key(
        default=1,
        meaning="priority; lower goes first, each step up halves the weight",
        minimum=0,
        maximum=9,
    )
    weight: float = _ini.key(
        default=1.0,
        meaning="part of the engines among accounts that wait, halved by priority",
        minimum=0.01,
        maximum=1_000,
    )
    max_tokens: int = _ini.key(
        default=1024,
        meaning="longest answer",
        unit="tokens",
        minimum=1,
        maximum=1_000_000,
    )
    models: str = _ini.key(
        default="",
        meaning="models that may be used; without the key, all",
        pattern=_NAMES,
        pattern_meaning=_NAMES_MEANING,
    )
    services: str = _ini.key(
        default="",
        meaning="services that may be used; without the key, all",
        pattern=_NAMES,
        pattern_meaning=_NAMES_MEANING,
    )


@attrs.frozen(kw_only=True)
class ParameterSection:
    """Define the parameter.NAME.* keys of [template NAME]."""

    type: declarations.ParameterKind = _ini.key(meaning="type of the parameter")
    default: str = _text_key("value of accounts that name none")
    minimum: float = _ini.key(default=float("-inf"), meaning="lowest number")
    maximum: float = _ini.key(default=float("inf"), meaning="highest number")
    unit: str = _text_key("unit of the number")
    pattern: str = _text_key("regular expression that the whole text fits")
    choices: str = _text_key("choices with commas between them")


@attrs.frozen(kw_only=True)
class BackendSection:
    """Define the keys of [backend NAME]."""

    role: BackendRole = _ini.key(meaning="what the backend server runs")
    address: _http_client.Address = _ini.key(meaning="where it listens")
    region: ids.RegionId = _ini.name_key("region that it stands in")
    failure_domain: ids.FailureDomainId = _ini.name_key("failure domain of the VM")
    accelerator: str = _text_key("kind of accelerator, for an engine")
    service: str = _text_key("service that it runs, for a service")
    checks_fencing: bool = _ini.key(
        default=False, meaning="whether it refuses old fencing numbers"
    )
    answers_outcomes: bool = _ini.key(
        default=False, meaning="whether it can be asked about an attempt"
    )


@attrs.frozen(kw_only=True)
class DrainSection:
    """Define the keys of [drain NAME]."""

    reason: str = _text_key("why the backend server is drained")
