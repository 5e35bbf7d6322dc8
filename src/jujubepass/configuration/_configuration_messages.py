"""Events and commands of configuration changes."""

import collections.abc

import attrs

from jujubepass import _ini, ids
from jujubepass.transport import _http_client

Section = collections.abc.Mapping[str, str]
Sections = collections.abc.Mapping[str, Section]
Delta = collections.abc.Mapping[str, Section | None]
"""New values of sections by title; None deletes a section."""


@attrs.frozen(kw_only=True)
class Entry:
    """Describe an accepted change, with the digest of all sections after it."""

    number: ids.ChangeNumber
    digest: str
    change: ids.ChangeId
    author: str
    delta: Delta = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Segment:
    """Describe the range of node locations that a receiver forwards a change to."""

    first: tuple[str, str, str]
    last: tuple[str, str, str]


@attrs.frozen(kw_only=True)
class ChangeProposed:
    """Report a change proposed by an operator against a base number."""

    change: ids.ChangeId
    base: ids.ChangeNumber
    author: str
    sections: Delta


@attrs.frozen(kw_only=True)
class ChangeAccepted:
    """Command a reply to the operator that a change was accepted."""

    change: ids.ChangeId
    number: ids.ChangeNumber
    digest: str


@attrs.frozen(kw_only=True)
class Moved:
    """Describe a change accepted between an operator's plan and its application."""

    number: ids.ChangeNumber
    change: ids.ChangeId
    author: str
    sections: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ChangeRefused:
    """Command a reply to the operator that a change was refused."""

    change: ids.ChangeId
    status: int
    code: str
    detail: str
    number: ids.ChangeNumber = ids.ChangeNumber(0)
    moved: tuple[Moved, ...] = ()
    problems: tuple[_ini.Problem, ...] = ()


@attrs.frozen(kw_only=True)
class ChangeCommitted:
    """Report a change of this node that was committed to the store."""

    entry: Entry


@attrs.frozen(kw_only=True)
class ConfigurationInstalled:
    """Report a configuration installed or confirmed up to date on this node."""

    number: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class PushChanges:
    """Command a push of entries to a peer, which forwards them to a segment."""

    peer: ids.NodeId
    address: _http_client.Address
    entries: tuple[Entry, ...]
    segment: Segment | None = None
    confirm: bool = False


@attrs.frozen(kw_only=True)
class ChangesPushed:
    """Report entries received from a peer."""

    node: ids.NodeId
    entries: tuple[Entry, ...]
    segment: Segment | None = None
    confirm: bool = False


@attrs.frozen(kw_only=True)
class ConfirmChanges:
    """Command a report to a change's sender of the nodes that installed the change."""

    peer: ids.NodeId
    address: _http_client.Address
    number: ids.ChangeNumber
    names_sum: int
    missing: tuple[ids.NodeId, ...]


@attrs.frozen(kw_only=True)
class ChangesConfirmed:
    """Report a relay's confirmation for the nodes that it forwarded a change to."""

    node: ids.NodeId
    number: ids.ChangeNumber
    names_sum: int
    missing: tuple[ids.NodeId, ...]


@attrs.frozen(kw_only=True)
class AskChanges:
    """Command a request to a peer for the changes after a number."""

    peer: ids.NodeId
    address: _http_client.Address
    after: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class ChangesAsked:
    """Report a peer's request for the changes after a number."""

    node: ids.NodeId
    address: _http_client.Address
    after: ids.ChangeNumber


@attrs.frozen(kw_only=True)
class AskPage:
    """Command a request to a peer for the sections after a title."""

    peer: ids.NodeId
    address: _http_client.Address
    after: str


@attrs.frozen(kw_only=True)
class PageAsked:
    """Report a peer's request for the sections after a title."""

    node: ids.NodeId
    address: _http_client.Address
    after: str


@attrs.frozen(kw_only=True)
class Page:
    """Describe a page of all sections at one number, ordered by title."""

    number: ids.ChangeNumber
    digest: str
    after: str
    sections: Sections = attrs.field(repr=False)
    last: bool


@attrs.frozen(kw_only=True)
class SendPage:
    """Command the sending of a page to a peer."""

    peer: ids.NodeId
    address: _http_client.Address
    page: Page


@attrs.frozen(kw_only=True)
class PageReceived:
    """Report a page received from a peer."""

    node: ids.NodeId
    page: Page


PeerCommand = PushChanges | ConfirmChanges | AskChanges | AskPage | SendPage
PeerEvent = ChangesPushed | ChangesConfirmed | ChangesAsked | PageAsked | PageReceived
