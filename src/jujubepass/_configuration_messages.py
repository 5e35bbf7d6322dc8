"""Events and commands of configuration changes."""

import collections.abc

import attrs

from jujubepass import ids

Sections = collections.abc.Mapping[str, collections.abc.Mapping[str, str]]


@attrs.frozen(kw_only=True)
class ChangeProposed:
    """Report an operator's change, planned against a base number."""

    change: ids.ChangeId
    base: ids.ChangeNumber
    author: str
    sections: Sections


@attrs.frozen(kw_only=True)
class ChangeAccepted:
    """Command word to the operator that a change is accepted."""

    change: ids.ChangeId
    number: ids.ChangeNumber
    digest: str


@attrs.frozen(kw_only=True)
class ChangeRefused:
    """Command word to the operator that a change is not accepted."""

    change: ids.ChangeId
    status: int
    code: str
    detail: str
