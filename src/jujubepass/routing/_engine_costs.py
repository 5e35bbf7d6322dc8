"""Predictions of the time that each engine would need for a request."""

import collections.abc

import attrs

from jujubepass import ids
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_area
from jujubepass.nodes import _blackboard
from jujubepass.routing import _prefixes
from jujubepass.transport import _http_client

_DEFAULT_LINK_SECONDS = 0.005
_KV_TOKENS_PER_LINK_DELAY = 256
_UNRELIABLE_REPORT_COST_FACTOR = 4.0
_FAILED_POLLS_TO_EXCLUDE = 3
_STALE_REPORT_SECONDS = 5.0
_SCARCE_MEMORY_COST_FACTOR = 4.0
_STEP_WAIT_FRACTION = 0.5


@attrs.frozen(kw_only=True)
class RouteRequest:
    """Describe the request to route.

    `holders` maps the engines that hold the request's KV cache to their stages; `only`
    restricts the engines that may be used.
    """

    model: ids.ModelId
    layers: int
    prompt_tokens: int
    sent_tokens: int
    tokens_left: int
    avoided: frozenset[ids.BackendServerId] = frozenset()
    blocks: tuple[str, ...] = ()
    holders: collections.abc.Mapping[ids.BackendServerId, _answer_messages.Stage] = (
        attrs.field(factory=dict)
    )
    only: frozenset[ids.BackendServerId] | None = None
    ignores_breakers: bool = False

    @property
    def context_tokens(self) -> int:
        """Return the number of tokens whose KV cache the next token needs."""
        return self.prompt_tokens + self.sent_tokens


@attrs.frozen(kw_only=True)
class Candidate:
    """Describe an engine with its predicted times for one request."""

    engine: ids.BackendServerId
    address: _http_client.Address
    first_layer: int
    end_layer: int
    first_token_seconds: float
    token_seconds: float
    link_seconds: collections.abc.Mapping[str, float]
    kv_from: _http_client.Address | None
    holds_cache: bool

    def get_link_seconds(self, next_candidate: "Candidate") -> float:
        """Return the one-way link delay to the next stage's engine."""
        return self.link_seconds.get(next_candidate.engine, _DEFAULT_LINK_SECONDS)


def list_candidates(
    request: RouteRequest, blackboard: _blackboard.Blackboard, now: float
) -> collections.abc.Iterator[Candidate]:
    """Yield the usable engines with their predicted times for a request."""
    sharers = blackboard.backends.estimate_sharing_nodes(
        blackboard.membership.count_live_nodes()
    )
    for name in blackboard.backends.list_polled():
        engine = blackboard.backends.engines[name]
        if _is_usable(name, engine, request, blackboard, now):
            yield _predict_candidate(name, engine, request, blackboard, sharers, now)


def _is_usable(
    name: ids.BackendServerId,
    engine: _backend_area.BackendServer,
    request: RouteRequest,
    blackboard: _blackboard.Blackboard,
    now: float,
) -> bool:
    report = engine.report
    if report is None or report.model != request.model:
        return False
    if request.only is not None:
        return name in request.only
    if engine.leaving or name in request.avoided:
        return False
    if engine.failed_polls >= _FAILED_POLLS_TO_EXCLUDE:
        return False
    if request.ignores_breakers:
        return True
    return not blackboard.answers.is_open(name, now, engine.report_received_at)


def _predict_candidate(
    name: ids.BackendServerId,
    engine: _backend_area.BackendServer,
    request: RouteRequest,
    blackboard: _blackboard.Blackboard,
    sharers: float,
    now: float,
) -> Candidate:
    report = engine.report
    assert report is not None
    holds_cache = name in request.holders
    load = _estimate_load(name, engine, blackboard, sharers)
    if holds_cache:
        # The reported load includes this request itself.
        load = max(0.0, load - 1.0)
    batch_utilization = (load + 1.0) / report.max_batch
    step_multiplier = max(1.0, batch_utilization) + _STEP_WAIT_FRACTION * min(
        1.0, load / report.max_batch
    )
    step_multiplier *= _compute_penalty(engine, request, now)
    token_seconds = report.step_seconds * step_multiplier
    prefill_seconds, kv_from = 0.0, None
    if not holds_cache:
        prefill_seconds, kv_from = _predict_prefill(engine, request, blackboard, now)
    return Candidate(
        engine=name,
        address=engine.vm.address,
        first_layer=report.first_layer,
        end_layer=report.end_layer,
        first_token_seconds=prefill_seconds * step_multiplier + token_seconds,
        token_seconds=token_seconds,
        link_seconds=report.link_seconds,
        kv_from=kv_from,
        holds_cache=holds_cache,
    )


def _estimate_load(
    name: ids.BackendServerId,
    engine: _backend_area.BackendServer,
    blackboard: _blackboard.Blackboard,
    sharers: float,
) -> float:
    """Add to the reported load the requests sent since, by this and other nodes.

    Other nodes are assumed to send at the same rate as this one.
    """
    report = engine.report
    assert report is not None
    dispatches = blackboard.answers.dispatched_at.get(name)
    recent_dispatches = 0
    if dispatches:
        while dispatches and dispatches[0] <= engine.reported_at:
            dispatches.popleft()
        recent_dispatches = len(dispatches)
    return report.running + report.waiting + recent_dispatches * sharers


def _compute_penalty(
    engine: _backend_area.BackendServer, request: RouteRequest, now: float
) -> float:
    report = engine.report
    assert report is not None
    factor = 1.0
    if engine.failed_polls or now - engine.reported_at > _STALE_REPORT_SECONDS:
        factor *= _UNRELIABLE_REPORT_COST_FACTOR
    if report.kv_free_tokens < request.context_tokens + request.tokens_left:
        factor *= _SCARCE_MEMORY_COST_FACTOR
    return factor


def _predict_prefill(
    engine: _backend_area.BackendServer,
    request: RouteRequest,
    blackboard: _blackboard.Blackboard,
    now: float,
) -> tuple[float, _http_client.Address | None]:
    """Predict the time to prefill, or to import the KV cache if that is faster."""
    report = engine.report
    assert report is not None
    cached = _prefixes.estimate_cached_words(engine, request.blocks, now)
    uncached_words = max(0.0, request.context_tokens - cached)
    prefill_seconds = uncached_words / report.prefill_tokens_per_second
    fastest: tuple[float, _http_client.Address | None] = (prefill_seconds, None)
    for holder, stage in request.holders.items():
        if stage.first_layer > report.first_layer or stage.end_layer < report.end_layer:
            continue
        holder_engine = blackboard.backends.engines.get(holder)
        if holder_engine is None or holder_engine.failed_polls:
            continue
        link_seconds = report.link_seconds.get(holder, _DEFAULT_LINK_SECONDS)
        seconds = link_seconds * (
            3.0 + request.context_tokens / _KV_TOKENS_PER_LINK_DELAY
        )
        if seconds < fastest[0]:
            fastest = (seconds, stage.address)
    return fastest
