"""Client accounts by name, resolved lazily after a change of their template."""

import collections.abc

import attrs

from jujubepass import declarations, ids


@attrs.frozen(kw_only=True)
class UnresolvedAccount:
    """Defer the computation of an account's limits after its template changed.

    The account's name and keys are unchanged.
    """

    previous: declarations.Account
    resolve: collections.abc.Callable[[], declarations.Account]

    @property
    def name(self) -> ids.AccountId:
        """Return the account's name."""
        return self.previous.name

    @property
    def template(self) -> ids.TemplateId:
        """Return the name of the account's template."""
        return self.previous.template

    @property
    def key_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the keys that are valid now."""
        return self.previous.key_hashes


Entry = declarations.Account | UnresolvedAccount


class AccountMap(collections.abc.Mapping[ids.AccountId, declarations.Account]):
    """Map names to accounts and resolve an account on first access."""

    __slots__ = ("entries",)

    def __init__(self, *, entries: dict[ids.AccountId, Entry]) -> None:
        self.entries = entries

    def __getitem__(self, name: ids.AccountId) -> declarations.Account:
        entry = self.entries[name]
        if isinstance(entry, UnresolvedAccount):
            entry = self.entries[name] = entry.resolve()
        return entry

    def __iter__(self) -> collections.abc.Iterator[ids.AccountId]:
        return iter(self.entries)

    def __len__(self) -> int:
        return len(self.entries)


def get_entries(
    accounts: collections.abc.Mapping[ids.AccountId, declarations.Account],
) -> collections.abc.Mapping[ids.AccountId, Entry]:
    """Return the entries of the accounts without resolving any of them."""
    return accounts.entries if isinstance(accounts, AccountMap) else accounts
