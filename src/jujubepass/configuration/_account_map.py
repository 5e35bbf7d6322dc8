"""Client accounts by name, some resolved from their new template on first use."""

import collections.abc

import attrs

from jujubepass import declarations, ids


@attrs.frozen(kw_only=True)
class UnresolvedAccount:
    """Hold an account whose template changed; its name and keys did not."""

    before: declarations.Account
    resolve: collections.abc.Callable[[], declarations.Account]

    @property
    def name(self) -> ids.AccountId:
        """Return the account's name."""
        return self.before.name

    @property
    def template(self) -> ids.TemplateId:
        """Return the name of the account's template."""
        return self.before.template

    @property
    def key_hashes(self) -> tuple[str, ...]:
        """Return the hashes of the keys that are valid now."""
        return self.before.key_hashes


Entry = declarations.Account | UnresolvedAccount


class AccountMap(collections.abc.Mapping[ids.AccountId, declarations.Account]):
    """Map names to accounts."""

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
    """Return the accounts without resolving any."""
    return accounts.entries if isinstance(accounts, AccountMap) else accounts
