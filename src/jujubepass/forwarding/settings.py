"""Settings of a forwarding node, read from an INI file."""

import logging
import os
import pathlib
import typing

import attrs
import returns.result

from jujubepass import _ini, ids
from jujubepass import settings as node_settings
from jujubepass.transport import _http_client

_LOGGER = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class Node:
    """Describe this node and its location."""

    name: ids.NodeId = _ini.name_key("unique name of this node")
    region: ids.RegionId = _ini.name_key("region that the VM stands in")
    failure_domain: ids.FailureDomainId = _ini.name_key("failure domain of the VM")
    first_start: bool = _ini.key(
        default=False, meaning="whether the whole system starts for the first time"
    )


@attrs.frozen(kw_only=True)
class Listen:
    """Contain the addresses that this node listens on."""

    callers: _http_client.Address = _ini.key(meaning="listener for callers")
    readiness: _http_client.Address = _ini.key(meaning="listener for the balancer")
    metrics: _http_client.Address = _ini.key(meaning="listener for metrics")
    relay: _http_client.Address | None = _ini.key(
        default=None,
        meaning="listener for the nodes of the failure domain;"
        " without it the node reads the store for itself alone",
    )


@attrs.frozen(kw_only=True)
class Store:
    """Contain the address of the platform's store."""

    address: _http_client.Address = _ini.key(meaning="the platform's store")


@attrs.frozen(kw_only=True)
class Bounds:
    """Contain the bounds that the platform sets."""

    revocation_milliseconds: int = _ini.key(
        default=5_000,
        meaning="time after which a revoked key runs nothing any more",
        unit="milliseconds",
        minimum=100,
        maximum=3_600_000,
    )
    configuration_milliseconds: int = _ini.key(
        default=2_000,
        meaning="time after which no request is handled by an older configuration",
        unit="milliseconds",
        minimum=100,
        maximum=3_600_000,
    )
    drain_milliseconds: int = _ini.key(
        default=2_000,
        meaning="time after which a leaving backend server gets no request any more",
        unit="milliseconds",
        minimum=100,
        maximum=3_600_000,
    )
    shutdown_seconds: float = _ini.seconds_key(
        8.0, "time from SIGTERM to SIGKILL", minimum=0.1, maximum=3_600.0
    )
    retry_share: float = _ini.key(
        default=0.2,
        meaning="retries that a request pays for, over all nodes",
        minimum=0.0,
        maximum=10.0,
    )
    retry_slack: float = _ini.key(
        default=200.0,
        meaning="retries of a service beside those, over all nodes, in the window",
        unit="retries",
        minimum=0.0,
        maximum=1e9,
    )
    retry_window_seconds: float = _ini.seconds_key(
        10.0, "window in which retries are counted", minimum=0.1, maximum=3_600.0
    )


@attrs.frozen(kw_only=True)
class Shortage:
    """Configure what happens while first engines have too few places."""

    shared_view: bool = _ini.key(
        default=False,
        meaning="whether the nodes of a failure domain share what they run on engines,"
        " where a service's priorities or pipelines differ, and choose by it",
    )
    queue: bool = _ini.key(
        default=False,
        meaning="whether model requests with different priorities wait at this node"
        " for places; needs the shared view",
    )


@attrs.frozen(kw_only=True)
class Pace:
    """Configure how fast servers that have started or recovered get requests."""

    slow_start: bool = _ini.key(
        default=False,
        meaning="whether such servers of services that use the shared view get only as"
        " many requests at once as their responses allow",
    )


@attrs.frozen(kw_only=True)
class Limits:
    """Contain the limits of the node's VM."""

    memory_megabytes: int = _ini.key(
        default=200,
        meaning="memory of the VM, of which clients may make the node hold a part",
        unit="megabytes",
        minimum=64,
        maximum=10_000_000,
    )
    descriptors: int = _ini.key(
        default=4_100,
        meaning="descriptors that the VM allows, which bound the connections",
        unit="descriptors",
        minimum=100,
        maximum=10_000_000,
    )


@attrs.frozen(kw_only=True)
class Settings:
    """Contain all settings of one forwarding node."""

    node: Node
    listen: Listen
    store: Store
    bounds: Bounds = attrs.field(factory=Bounds)
    shortage: Shortage = attrs.field(factory=Shortage)
    pace: Pace = attrs.field(factory=Pace)
    limits: Limits = attrs.field(factory=Limits)
    log: node_settings.Log = attrs.field(factory=node_settings.Log)


class Source(typing.Protocol):
    """Read settings and detect changes of them."""

    def read_stamp(self) -> object:
        """Return a value that differs after each change; None if unreadable."""

    def read(
        self,
    ) -> returns.result.Result[Settings, node_settings.SettingsError]:
        """Read the settings; a failure contains every problem found."""


@attrs.frozen(kw_only=True)
class SettingsFile:
    """Read settings from a file."""

    path: str | os.PathLike[str]

    def read_stamp(self) -> object:
        """Return the file's inode, size and modification time."""
        try:
            found = os.stat(self.path)
        except OSError as error:
            _LOGGER.debug("settings file: %s", error)
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns

    def read(
        self,
    ) -> returns.result.Result[Settings, node_settings.SettingsError]:
        """Read the file; a failure contains every problem found."""
        return read_settings(self.path)


def is_forwarding(path: str | os.PathLike[str]) -> bool:
    """Return whether a file configures a forwarding node, by its section `store`."""
    try:
        text = pathlib.Path(path).read_bytes().decode("utf-8-sig")
    except (OSError, ValueError):
        # Reading the settings reports what is wrong with the file.
        return False
    return "store" in _ini.read_sections(str(path), text)[0]


def read_settings(
    path: str | os.PathLike[str],
) -> returns.result.Result[Settings, node_settings.SettingsError]:
    """Read a settings file; a failure contains every problem found."""
    try:
        text = pathlib.Path(path).read_bytes().decode("utf-8-sig")
    except (OSError, ValueError) as error:
        problem = _ini.Problem(
            file=str(path),
            what=f"cannot be read ({error})",
            allowed="INI text in UTF-8",
        )
        return returns.result.Failure(node_settings.SettingsError(problems=(problem,)))
    return parse_settings(str(path), text)


def parse_settings(
    file: str, text: str
) -> returns.result.Result[Settings, node_settings.SettingsError]:
    """Parse settings from INI text; `file` is named in problems."""
    read, problems = _ini.structure_sections(Settings, file, text)
    if problems:
        found = node_settings.SettingsError(problems=tuple(problems))
        return returns.result.Failure(found)
    return returns.result.Success(Settings(**read))
