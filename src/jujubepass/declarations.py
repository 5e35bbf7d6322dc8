"""Operators' declarations: models, services, templates, accounts, backends."""

import collections.abc
import enum

import attrs

from jujubepass import ids
from jujubepass.backends import _backend_messages


class ParameterKind(enum.Enum):
    """Enumerate the types of a template's parameters."""

    INTEGER = "integer"
    DECIMAL = "decimal"
    TEXT = "text"
    CHOICE = "choice"


@attrs.frozen(kw_only=True)
class Parameter:
    """Declare one parameter of a template, whose value each account sets."""

    name: str
    kind: ParameterKind
    default: str = ""
    minimum: float = float("-inf")
    maximum: float = float("inf")
    unit: str = ""
    pattern: str = ""
    choices: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Template:
    """Declare limits, fixed or set by parameters, for several accounts."""

    name: ids.TemplateId
    limits: collections.abc.Mapping[str, str] = attrs.field(factory=dict)
    parameters: collections.abc.Mapping[str, Parameter] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Model:
    """Declare a model and its number of layers."""

    name: ids.ModelId
    layers: int
    version: str = "1"


@attrs.frozen(kw_only=True)
class Service:
    """Declare a plain service."""

    name: ids.ServiceId


@attrs.frozen(kw_only=True)
class Account:
    """Describe a client account with the limits derived from its template."""

    name: ids.AccountId
    template: ids.TemplateId
    key_hash: str = attrs.field(repr=False)
    second_key_hash: str = attrs.field(default="", repr=False)
    models: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    requests_per_second: float = 100.0
    burst: float = 200.0
    concurrency: int = 64
    priority: int = 1
    weight: float = 1.0
    max_tokens: int = 1024

    @property
    def key_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the keys that are valid now."""
        return tuple(filter(None, (self.key_hash, self.second_key_hash)))

    def may_use_model(self, model: ids.ModelId) -> bool:
        """Return whether the account may use a model; an empty set allows all."""
        return not self.models or model in self.models

    def may_use_service(self, service: ids.ServiceId) -> bool:
        """Return whether the account may use a service; an empty set allows all."""
        return not self.services or service in self.services


def index_accounts(
    accounts: collections.abc.Mapping[ids.AccountId, Account],
) -> dict[str, ids.AccountId]:
    """Map each valid key hash to its account's name."""
    return {
        key_hash: account.name
        for account in accounts.values()
        for key_hash in account.key_hashes
    }


@attrs.frozen(kw_only=True)
class Declarations:
    """Describe all declarations in force at one configuration number."""

    models: collections.abc.Mapping[ids.ModelId, Model] = attrs.field(factory=dict)
    services: collections.abc.Mapping[ids.ServiceId, Service] = attrs.field(
        factory=dict
    )
    templates: collections.abc.Mapping[ids.TemplateId, Template] = attrs.field(
        factory=dict
    )
    accounts: collections.abc.Mapping[ids.AccountId, Account] = attrs.field(
        factory=dict
    )
    backends: collections.abc.Mapping[ids.BackendServerId, _backend_messages.Vm] = (
        attrs.field(factory=dict)
    )
    drained: frozenset[str] = frozenset()
    accounts_by_key_hash: collections.abc.Mapping[str, ids.AccountId] = attrs.field(
        default=attrs.Factory(
            lambda self: index_accounts(self.accounts), takes_self=True
        ),
        repr=False,
        eq=False,
    )

    def find_account_by_key_hash(self, key_hash: str) -> Account | None:
        """Return the account that has a key with this SHA-256, in hex."""
        name = self.accounts_by_key_hash.get(key_hash)
        return None if name is None else self.accounts.get(name)
