"""Incremental changes of declarations, checked before they are applied."""

import collections.abc
import functools
import typing

import attrs

from jujubepass import _ini, declarations, ids
from jujubepass.backends import _backend_messages
from jujubepass.configuration import _account_map, _declaration_schema, _templates

Section = collections.abc.Mapping[str, str]
Sections = collections.abc.Mapping[str, Section]
Delta = collections.abc.Mapping[str, Section | None]
"""New values of sections by title; None deletes a section."""

Problems = list[_ini.Problem]

KINDS = ("model", "service", "template", "account", "backend", "drain")
DEFAULT_FILE = "change"


@attrs.frozen(kw_only=True)
class Update:
    """Describe the declarations after a change and the problems of the change."""

    declared: declarations.Declarations
    problems: tuple[_ini.Problem, ...]


@attrs.define(kw_only=True)
class _Draft:
    """Build changed declarations; a kind's mapping is copied on its first change."""

    declared: declarations.Declarations
    sections: Sections
    delta: Delta
    files: collections.abc.Mapping[str, str]
    resolve_lazily: bool
    problems: Problems = attrs.field(factory=list)
    _copies: dict[str, dict[typing.Any, typing.Any]] = attrs.field(factory=dict)

    def read(self, field: str) -> collections.abc.Mapping[typing.Any, typing.Any]:
        """Return a kind's current mapping in the draft."""
        copy = self._copies.get(field)
        current: collections.abc.Mapping[typing.Any, typing.Any]
        current = getattr(self.declared, field)
        return current if copy is None else copy

    def copy_mapping(self, field: str) -> dict[typing.Any, typing.Any]:
        """Return the draft's own copy of a kind's mapping, made on first use."""
        copy = self._copies.get(field)
        if copy is None:
            current = getattr(self.declared, field)
            if field == "accounts":
                current = _account_map.get_entries(current)
            copy = self._copies[field] = dict(current)
        return copy

    def list_accounts(self) -> collections.abc.Iterable[_account_map.Entry]:
        """Return the current accounts in the draft without resolving any of them."""
        copy = self._copies.get("accounts")
        if copy is not None:
            return copy.values()
        return _account_map.get_entries(self.declared.accounts).values()

    def get_file(self, title: str) -> str:
        """Return the name of the file that contains a section."""
        return self.files.get(title, DEFAULT_FILE)

    def add_problem(self, title: str, **fields: str) -> None:
        """Record a problem of a section."""
        file = self.get_file(title)
        self.problems.append(_ini.Problem(file=file, section=title, **fields))

    def finish(self) -> Update:
        """Return the changed declarations and all problems found."""
        copies: dict[str, typing.Any] = dict(self._copies)
        drained = copies.pop("drains", None)
        if drained is not None:
            copies["drained"] = frozenset(drained)
        accounts = copies.get("accounts")
        if accounts is not None:
            copies["accounts"] = _account_map.AccountMap(entries=accounts)
        declared = attrs.evolve(self.declared, **copies)
        return Update(declared=declared, problems=tuple(self.problems))


def update_declarations(
    declared: declarations.Declarations,
    sections: Sections,
    delta: Delta,
    files: collections.abc.Mapping[str, str] | None = None,
    *,
    accepted: bool = False,
) -> Update:
    """Apply a change to the declarations of `sections`, without invalid sections.

    After a template changed, accounts are resolved on first use if the change was
    accepted, and resolved and checked at once if it was not.
    """
    draft = _Draft(
        declared=declared,
        sections=sections,
        delta=delta,
        files=files or {},
        resolve_lazily=accepted,
    )
    changed: dict[str, list[tuple[str, str]]] = {kind: [] for kind in KINDS}
    for title in delta:
        kind, _, name = title.partition(" ")
        if _check_title(draft, title, kind, name):
            changed[kind].append((title, name))
    for kind in ("model", "service", "template", "backend", "drain"):
        for title, name in changed[kind]:
            _APPLY_BY_KIND[kind](draft, title, name)
    _apply_accounts(draft, changed["account"], changed["template"])
    if not accepted:
        _check_deleted(draft)
    return draft.finish()


def merge_delta(sections: Sections, delta: Delta) -> dict[str, Section]:
    """Return all sections after a change."""
    merged = dict(sections)
    for title, section in delta.items():
        if section is None:
            merged.pop(title, None)
        else:
            merged[title] = section
    return merged


def _check_title(draft: _Draft, title: str, kind: str, name: str) -> bool:
    if kind not in KINDS:
        allowed = _ini.suggest(kind, KINDS) + ", each with a name"
        draft.add_problem(title, what="is no kind of section", allowed=allowed)
        return False
    if not _ini.NAME_PATTERN.fullmatch(name):
        draft.add_problem(
            title,
            what="has no valid name",
            allowed=f"[{kind} NAME], NAME being {_ini.NAME_MEANING}",
        )
        return False
    return True


def _apply_model(draft: _Draft, title: str, name: str) -> None:
    section = draft.delta[title]
    models = draft.copy_mapping("models")
    if section is None:
        models.pop(name, None)
        return
    read = _structure_section(draft, _declaration_schema.ModelSection, title, section)
    if read is not None:
        models[name] = declarations.Model(
            name=ids.ModelId(name), layers=read.layers, version=read.version
        )


def _apply_service(draft: _Draft, title: str, name: str) -> None:
    section = draft.delta[title]
    services = draft.copy_mapping("services")
    if section is None:
        services.pop(name, None)
        return
    if _structure_section(draft, _declaration_schema.ServiceSection, title, section):
        services[name] = declarations.Service(name=ids.ServiceId(name))


def _apply_template(draft: _Draft, title: str, name: str) -> None:
    section = draft.delta[title]
    templates = draft.copy_mapping("templates")
    if section is None:
        templates.pop(name, None)
        return
    file = draft.get_file(title)
    template, found = _templates.read_template(file, title, name, section)
    draft.problems += found
    if template is not None:
        templates[name] = template


def _apply_backend(draft: _Draft, title: str, name: str) -> None:
    section = draft.delta[title]
    backends = draft.copy_mapping("backends")
    if section is None:
        if name in backends and name not in draft.declared.drained:
            allowed = f"drain it first: [drain {name}]"
            draft.add_problem(title, what="is in use: it takes work", allowed=allowed)
        backends.pop(name, None)
        return
    read = _structure_section(draft, _declaration_schema.BackendSection, title, section)
    if read is not None:
        backends[name] = _backend_messages.Vm(
            name=name,
            role=_backend_messages.VmRole(read.role.value),
            address=read.address,
            region=read.region,
            failure_domain=read.failure_domain,
            state=_backend_messages.VmState.LIVE,
            accelerator=read.accelerator,
            service=ids.ServiceId(read.service),
            checks_fencing=read.checks_fencing,
            answers_outcomes=read.answers_outcomes,
        )


def _apply_drain(draft: _Draft, title: str, name: str) -> None:
    section = draft.delta[title]
    drains = draft._copies.setdefault("drains", dict.fromkeys(draft.declared.drained))
    if section is None:
        drains.pop(name, None)
    elif _structure_section(draft, _declaration_schema.DrainSection, title, section):
        drains[name] = None


_APPLY_BY_KIND: dict[str, collections.abc.Callable[[_Draft, str, str], None]] = {
    "model": _apply_model,
    "service": _apply_service,
    "template": _apply_template,
    "backend": _apply_backend,
    "drain": _apply_drain,
}

_Schema = typing.TypeVar("_Schema")


def _structure_section(
    draft: _Draft, schema: type[_Schema], title: str, section: Section
) -> _Schema | None:
    file = draft.get_file(title)
    read, found = _ini.structure_section(schema, file, title, section)
    draft.problems += found
    return read


def _apply_accounts(
    draft: _Draft,
    accounts: list[tuple[str, str]],
    templates: list[tuple[str, str]],
) -> None:
    if not accounts and not templates:
        return
    known = draft.copy_mapping("accounts")
    names = {name for title, name in templates if draft.delta[title] is not None}
    changed = {name for _, name in accounts}
    if names:
        _update_account_limits(draft, known, names, changed)
    index = draft.copy_mapping("accounts_by_key_hash") if accounts else {}
    for _, name in accounts:
        before = known.pop(name, None)
        for key_hash in before.key_hashes if before else ():
            index.pop(key_hash, None)
    for title, name in accounts:
        section = draft.delta[title]
        if section is not None:
            _apply_account(draft, title, name, section)


def _update_account_limits(
    draft: _Draft,
    known: dict[ids.AccountId, _account_map.Entry],
    templates: set[str],
    changed: set[str],
) -> None:
    """Recompute the limits of unchanged accounts whose template changed."""
    read = draft.read("templates")
    for name, entry in known.items():
        if entry.template not in templates or name in changed:
            continue
        before = entry
        if isinstance(entry, _account_map.UnresolvedAccount):
            before = entry.previous
        assert isinstance(before, declarations.Account)
        recompute = functools.partial(
            _recompute_limits, before, draft.sections[f"account {name}"], read
        )
        if draft.resolve_lazily:
            known[name] = _account_map.UnresolvedAccount(
                previous=before, resolve=recompute
            )
        else:
            account = recompute(draft.problems)
            _check_limits(draft, account)
            known[name] = account


def _recompute_limits(
    before: declarations.Account,
    section: Section,
    templates: _templates.Templates,
    problems: Problems | None = None,
) -> declarations.Account:
    title = f"account {before.name}"
    limits, found = _templates.read_limits(DEFAULT_FILE, title, section, templates)
    if problems is not None:
        problems += found
    return before if limits is None else attrs.evolve(before, **limits)


def _apply_account(draft: _Draft, title: str, name: str, section: Section) -> None:
    account, found = _templates.read_account(
        draft.get_file(title), title, name, section, draft.read("templates")
    )
    draft.problems += found
    if account is None:
        return
    _check_limits(draft, account)
    index = draft.copy_mapping("accounts_by_key_hash")
    for key_hash in account.key_hashes:
        other = index.setdefault(key_hash, account.name)
        if other != account.name:
            what = f"is also a key of [account {other}]"
            allowed = "a key of its own for each account"
            draft.add_problem(title, key="key_hash", what=what, allowed=allowed)
    draft.copy_mapping("accounts")[name] = account


def _check_limits(draft: _Draft, account: declarations.Account) -> None:
    title = f"account {account.name}"
    _check_names(draft, title, "models", account.models)
    _check_names(draft, title, "services", account.services)


def _check_names(draft: _Draft, title: str, field: str, names: frozenset[str]) -> None:
    known = draft.read(field)
    for name in sorted(names - known.keys()):
        allowed = _ini.suggest(name, known) or f"one of the {field} declared"
        draft.add_problem(
            title, key=field, value=name, what="is not declared", allowed=allowed
        )


def _check_deleted(draft: _Draft) -> None:
    """Add a problem for each deleted section that an account still uses."""
    for title, section in draft.delta.items():
        kind, _, name = title.partition(" ")
        if section is not None or kind not in ("model", "service", "template"):
            continue
        users = [
            entry.name
            for entry in draft.list_accounts()
            if name in _list_names(draft, entry, kind)
        ]
        if users:
            what = f"is in use by {_list_users(users)}"
            allowed = "change those accounts first"
            draft.add_problem(title, what=what, allowed=allowed)


def _list_names(draft: _Draft, entry: _account_map.Entry, kind: str) -> frozenset[str]:
    if kind == "template":
        return frozenset((entry.template,))
    account = entry
    if isinstance(account, _account_map.UnresolvedAccount):
        account = account.resolve()
    names = {"model": account.models, "service": account.services}
    return names[kind]


_MAX_SHOWN_USERS = 10


def _list_users(users: list[ids.AccountId]) -> str:
    shown = ", ".join(f"[account {name}]" for name in sorted(users)[:_MAX_SHOWN_USERS])
    more = len(users) - _MAX_SHOWN_USERS
    return f"{shown} and {more} more" if more > 0 else shown
