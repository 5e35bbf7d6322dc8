"""What operators declare: models, services, templates, accounts, backend servers."""

import collections.abc

import attrs

from jujubepass import ids


@attrs.frozen(kw_only=True)
class Model:
    """Declare a model and how many layers it has."""

    name: ids.ModelId
    layers: int
    version: str = "1"


@attrs.frozen(kw_only=True)
class Service:
    """Declare a plain service."""

    name: ids.ServiceId


@attrs.frozen(kw_only=True)
class Account:
    """Hold a client account with the parameters its template gave it."""

    name: ids.AccountId
    template: ids.TemplateId
    key_hash: str = attrs.field(repr=False)
    models: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    requests_per_second: float = 100.0
    burst: float = 200.0
    concurrency: int = 64
    priority: int = 1
    weight: float = 1.0
    max_tokens: int = 1024

    def may_use_model(self, model: ids.ModelId) -> bool:
        """Tell whether the account may use a model; no list allows every one."""
        return not self.models or model in self.models

    def may_use_service(self, service: ids.ServiceId) -> bool:
        """Tell whether the account may use a service; no list allows every one."""
        return not self.services or service in self.services


@attrs.frozen(kw_only=True)
class Declarations:
    """Hold everything declared, at one configuration number."""

    models: collections.abc.Mapping[ids.ModelId, Model] = attrs.field(factory=dict)
    services: collections.abc.Mapping[ids.ServiceId, Service] = attrs.field(
        factory=dict
    )
    accounts: collections.abc.Mapping[ids.AccountId, Account] = attrs.field(
        factory=dict
    )
    drained: frozenset[str] = frozenset()
    _accounts_by_key_hash: dict[str, Account] = attrs.field(
        init=False, repr=False, eq=False
    )

    @_accounts_by_key_hash.default
    def _index_accounts(self) -> dict[str, Account]:
        return {account.key_hash: account for account in self.accounts.values()}

    def find_account_by_key_hash(self, key_hash: str) -> Account | None:
        """Find the account whose key has this SHA-256, in hex."""
        return self._accounts_by_key_hash.get(key_hash)


class DeclarationError(Exception):
    """Report declarations that cannot be accepted."""


def build_declarations(
    sections: collections.abc.Mapping[str, collections.abc.Mapping[str, str]],
) -> Declarations:
    """Build declarations from INI sections; raise DeclarationError."""
    models: dict[ids.ModelId, Model] = {}
    services: dict[ids.ServiceId, Service] = {}
    accounts: dict[ids.AccountId, Account] = {}
    drained: set[str] = set()
    for title, section in sections.items():
        kind, _, name = title.partition(" ")
        if kind == "model":
            model = ids.ModelId(name)
            models[model] = Model(name=model, layers=int(section["layers"]))
        elif kind == "service":
            services[ids.ServiceId(name)] = Service(name=ids.ServiceId(name))
        elif kind == "account":
            account = ids.AccountId(name)
            accounts[account] = Account(
                name=account,
                template=ids.TemplateId(section.get("template", "")),
                key_hash=section["key_hash"],
            )
        elif kind == "drain":
            drained.add(name)
        else:
            raise DeclarationError(f"[{title}] is no known kind of section.")
    return Declarations(
        models=models,
        services=services,
        accounts=accounts,
        drained=frozenset(drained),
    )
