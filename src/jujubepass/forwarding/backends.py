"""Backend servers as described by their entries in the list."""

import enum

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


class BackendState(enum.Enum):
    """Enumerate whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Span:
    """Describe a range of layers, from `first` up to but excluding `end`."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


@attrs.frozen(kw_only=True)
class Backend:
    """Describe one run of a backend server, as given by its entry."""

    name: ids.BackendServerId
    service: ids.ServiceId
    address: _http_client.Address
    failure_domain: ids.FailureDomainId
    state: BackendState
    slots: int = 1
    started_at: int = 0
    """Start of this run in Unix milliseconds; identifies the run."""
    accelerator: str = ""
    held: Span | None = None
