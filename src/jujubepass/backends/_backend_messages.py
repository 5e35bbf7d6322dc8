"""Events and commands about VMs, backend servers and their load."""

import collections.abc
import enum

import attrs

from jujubepass import ids
from jujubepass.transport import _http_client


class VmRole(enum.Enum):
    """Enumerate the roles of VMs."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.Enum):
    """Enumerate the states of VMs in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Vm:
    """Describe one VM of the platform's list."""

    name: str
    role: VmRole
    address: _http_client.Address
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    state: VmState
    accelerator: str = ""
    service: ids.ServiceId = ids.ServiceId("")
    checks_fencing: bool = False
    answers_outcomes: bool = False


@attrs.frozen(kw_only=True)
class VmsListed:
    """Report the platform's VM list, which is `age_seconds` old or older."""

    vms: tuple[Vm, ...]
    age_seconds: float


@attrs.frozen(kw_only=True)
class VmsUnlisted:
    """Report a failed read of the platform's VM list."""

    detail: str


@attrs.frozen(kw_only=True)
class LoadReport:
    """Describe the state and load of an engine, `age_seconds` ago or earlier."""

    engine: ids.BackendServerId
    incarnation: str
    model: ids.ModelId
    version: str
    first_layer: int
    end_layer: int
    accelerator: str
    running: int
    waiting: int
    max_batch: int
    step_seconds: float
    prefill_tokens_per_second: float
    kv_free_tokens: int
    leaving: bool
    age_seconds: float
    link_seconds: collections.abc.Mapping[str, float]


@attrs.frozen(kw_only=True)
class LoadReported:
    """Report the load of an engine."""

    report: LoadReport


@attrs.frozen(kw_only=True)
class LoadUnanswered:
    """Report a load poll that an engine did not answer."""

    engine: ids.BackendServerId
    detail: str


@attrs.frozen(kw_only=True)
class LeavingAnswered:
    """Report a backend server that refused work because it is leaving."""

    backend: ids.BackendServerId


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Describe a prefix block that an engine stored or evicted."""

    sequence: int
    stored: bool
    prefix: str


@attrs.frozen(kw_only=True)
class CacheEventsReported:
    """Report cache events of an engine, some of which may be missing."""

    engine: ids.BackendServerId
    events: tuple[CacheEvent, ...]
    next_sequence: int


@attrs.frozen
class PollVms:
    """Command a read of the platform's VM list."""


@attrs.frozen(kw_only=True)
class PollLoad:
    """Command a read of the load of an engine."""

    engine: ids.BackendServerId
    address: _http_client.Address


@attrs.frozen(kw_only=True)
class PollCache:
    """Command a read of the cache events of an engine."""

    engine: ids.BackendServerId
    address: _http_client.Address
    after: int
