"""Backend servers as they list themselves."""

import enum

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


class BackendState(enum.Enum):
    """Say whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Span:
    """Hold a range of layers: the first, and one past the last."""

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def __str__(self) -> str:
        return f"{self.first}-{self.end}"


@attrs.frozen(kw_only=True)
class Backend:
    """Describe one run of a backend server, as it lists itself."""

    name: ids.BackendServerId
    service: ids.ServiceId
    address: _http_client.Address
    failure_domain: ids.FailureDomainId
    state: BackendState
    slots: int = 1
    started_at: int = 0
    """Start of this run in Unix milliseconds; another value is another run."""
    accelerator: str = ""
    held: Span | None = None
