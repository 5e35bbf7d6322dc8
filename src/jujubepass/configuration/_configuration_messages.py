"""Events and commands of configuration changes."""

import collections.abc

import attrs

from jujubepass import _ini, ids
from jujubepass.transport import _http_client

Section = collections.abc.Mapping[str, str]
Sections = collections.abc.Mapping[str, Section]
Delta = collections.abc.Mapping[str, Section | None]
"""Sections set, and None for each section deleted."""


@attrs.frozen(kw_only=True)
class Entry:
    """Hold one accepted change with the digest of all sections after it."""

    number: ids.ChangeNumber
    digest: str
    change: ids.ChangeId
    author: str
    delta: Delta = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Segment:
    """Bound the nodes that a receiver passes a change on to, by place."""

    first: tuple[str, str, str]
    last: tuple[str, str, str]


@attrs.frozen(kw_only=True)
class ChangeProposed:
    """Report an operator's change, planned against a base number."""

    change: ids.ChangeId
    base: ids.ChangeNumber
    author: str
    sections: Delta


@attrs.frozen(kw_only=True)
class ChangeAccepted:
    """Command word to the operator that a change is accepted."""

    change: ids.ChangeId
    number: ids.ChangeNumber
    digest: str


@attrs.frozen(kw_only=True)
class Moved:
    """Name a change that came between a plan and its apply."""

    number: ids.ChangeNumber
    change: ids.ChangeId
    author: str
    sections: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ChangeRefused:
    """Command word to the operator that a change is not accepted."""

    change: ids.ChangeId
    status: int
    code: str
    detail: str
    number: ids.ChangeNumber = ids.ChangeNumber(0)
    moved: tuple[Moved, ...] = ()
    problems: tuple[_ini.Problem, ...] = ()


@attrs.frozen(kw_only=True)
class ChangeCommitted:
    """Report that the store holds a change that this node proposed."""

    entry: Entry


@attrs.frozen(kw_only=True)
class ConfigurationInstalled:
    """Report, on this node, that a configuration is in force or known as newest."""

    number: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class PushChanges:
    """Command entries to a peer, for it and for a segment of nodes behind it."""

    peer: ids.NodeId
    address: _http_client.Address
    entries: tuple[Entry, ...]
    segment: Segment | None = None
    confirm: bool = False


@attrs.frozen(kw_only=True)
class ChangesPushed:
    """Report entries from a peer."""

    node: ids.NodeId
    entries: tuple[Entry, ...]
    segment: Segment | None = None
    confirm: bool = False


@attrs.frozen(kw_only=True)
class ConfirmChanges:
    """Command word to a change's sender: which nodes behind this one have it."""

    peer: ids.NodeId
    address: _http_client.Address
    number: ids.ChangeNumber
    names_sum: int
    missing: tuple[ids.NodeId, ...]


@attrs.frozen(kw_only=True)
class ChangesConfirmed:
    """Report a relay's word on the nodes that it passed a change on to."""

    node: ids.NodeId
    number: ids.ChangeNumber
    names_sum: int
    missing: tuple[ids.NodeId, ...]


@attrs.frozen(kw_only=True)
class AskChanges:
    """Command a question to a peer for what came after a number."""

    peer: ids.NodeId
    address: _http_client.Address
    after: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class ChangesAsked:
    """Report a peer's question for what came after a number."""

    node: ids.NodeId
    address: _http_client.Address
    after: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class AskPage:
    """Command a question to a peer for sections after a title."""

    peer: ids.NodeId
    address: _http_client.Address
    after: str


@attrs.frozen(kw_only=True)
class PageAsked:
    """Report a peer's question for sections after a title."""

    node: ids.NodeId
    address: _http_client.Address
    after: str


@attrs.frozen(kw_only=True)
class Page:
    """Hold some of all sections at one number, in order of title."""

    number: ids.ChangeNumber
    digest: str
    after: str
    sections: Sections = attrs.field(repr=False)
    last: bool


@attrs.frozen(kw_only=True)
class SendPage:
    """Command a page to a peer."""

    peer: ids.NodeId
    address: _http_client.Address
    page: Page


@attrs.frozen(kw_only=True)
class PageReceived:
    """Report a page from a peer."""

    node: ids.NodeId
    page: Page


PeerCommand = PushChanges | ConfirmChanges | AskChanges | AskPage | SendPage
PeerEvent = ChangesPushed | ChangesConfirmed | ChangesAsked | PageAsked | PageReceived
