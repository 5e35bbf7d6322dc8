"""Routes, services and client accounts of one version of the configuration.

declarations.find_route("shop.example", "/orders/17")
"""

import collections.abc
import enum

import attrs

from jujubepass import ids


class RepeatPolicy(enum.Enum):
    """Enumerate whether and how a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Destination:
    """Assign a share of a route's requests to a service."""

    service: ids.ServiceId
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Describe how requests for one host and path prefix are served."""

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    timeout_seconds: float
    goal_seconds: float
    priority: int
    destinations: tuple[Destination, ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap_seconds: float = float("inf")

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.repeat_policy is RepeatPolicy.STREAM:
            return self.resumable
        return self.repeat_policy is RepeatPolicy.IDEMPOTENT


@attrs.frozen(kw_only=True)
class Accelerator:
    """Describe a kind of accelerator; slowdown factors multiply the model's times."""

    memory_megabytes: float
    step_slowdown: float
    prefill_slowdown: float


@attrs.frozen(kw_only=True)
class Model:
    """Describe the model whose layers are distributed over a service's engines."""

    layers: int
    layer_megabytes: float
    token_kilobytes: float
    """Cache memory of one token over all layers."""
    slots: int
    step_seconds: float
    step_seconds_per_sequence: float
    prefill_tokens_per_second: float
    load_seconds: float
    """Time to load all layers onto one engine."""
    answer_tokens: float
    prompt_tokens: float
    accelerators: collections.abc.Mapping[str, Accelerator]
    context_seconds_per_1k_tokens: float = 0.0
    """Time that a step takes longer for each 1,000 tokens in the cache."""
    stride: int = 1
    """Steps in a pass, and so tokens in an event."""


@attrs.frozen(kw_only=True)
class Service:
    """Describe a service; its backend servers are engines if it has a model."""

    name: ids.ServiceId
    model: Model | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limit the size and duration of callers' requests, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 75.0


@attrs.frozen(kw_only=True)
class Account:
    """Describe a client account; without a priority the route's applies."""

    name: ids.AccountId
    priority: int | None = None
    weight: float = 1.0
    """Share of scarce places, relative to other accounts."""


@attrs.frozen(kw_only=True)
class Declarations:
    """Describe one version of the configuration that requests are served by."""

    version: int
    routes: tuple[Route, ...]
    services: collections.abc.Mapping[ids.ServiceId, Service]
    limits: CallerLimits
    accounts: collections.abc.Mapping[str, Account]
    """Client accounts by key."""
    checks_keys: bool
    _by_host: dict[str, dict[str, Route]] = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.partition("?")[0].rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_model_services(self) -> list[Service]:
        """Return the services whose backend servers are engines."""
        return [each for each in self.services.values() if each.model is not None]
