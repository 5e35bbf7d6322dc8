"""Predicts what each engine would cost one request."""

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
_SUSPECT_FACTOR = 4.0
_MOST_FAILED_POLLS = 3
_STALE_REPORT_SECONDS = 5.0
_SCARCE_MEMORY_FACTOR = 4.0
_WAIT_FOR_STEP_SHARE = 0.5


@attrs.frozen(kw_only=True)
class RouteRequest:
    """State what a route must serve; `holders` keep the request's KV cache."""

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
        """Return the tokens that a stage must know before the next one."""
        return self.prompt_tokens + self.sent_tokens


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold an engine with its predicted times for one request."""

    engine: ids.BackendServerId
    address: _http_client.Address
    first_layer: int
    end_layer: int
    first_token_seconds: float
    token_seconds: float
    link_seconds: collections.abc.Mapping[str, float]
    kv_from: _http_client.Address | None
    holds_cache: bool

    def find_link(self, following: "Candidate") -> float:
        """Return the delay one way to the engine of the next stage."""
        return self.link_seconds.get(following.engine, _DEFAULT_LINK_SECONDS)


def list_candidates(
    request: RouteRequest, blackboard: _blackboard.Blackboard, now: float
) -> collections.abc.Iterator[Candidate]:
    """List the engines that may serve a request."""
    sharers = blackboard.backends.count_sharers(
        blackboard.membership.count_live_nodes()
    )
    for name in blackboard.backends.list_polled():
        engine = blackboard.backends.engines[name]
        if _is_usable(name, engine, request, blackboard, now):
            yield _predict(name, engine, request, blackboard, sharers, now)


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
    if engine.failed_polls >= _MOST_FAILED_POLLS:
        return False
    if request.ignores_breakers:
        return True
    return not blackboard.answers.is_open(name, now, engine.heard_at)


def _predict(
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
    busy = _estimate_busy(name, engine, blackboard, sharers)
    if holds_cache:
        # The reported load counts this request itself.
        busy = max(0.0, busy - 1.0)
    load = (busy + 1.0) / report.max_batch
    share = max(1.0, load) + _WAIT_FOR_STEP_SHARE * min(1.0, busy / report.max_batch)
    share *= _weigh_doubt(engine, request, now)
    token_seconds = report.step_seconds * share
    prepare, kv_from = 0.0, None
    if not holds_cache:
        prepare, kv_from = _predict_prepare(engine, request, blackboard, now)
    return Candidate(
        engine=name,
        address=engine.vm.address,
        first_layer=report.first_layer,
        end_layer=report.end_layer,
        first_token_seconds=prepare * share + token_seconds,
        token_seconds=token_seconds,
        link_seconds=report.link_seconds,
        kv_from=kv_from,
        holds_cache=holds_cache,
    )


def _estimate_busy(
    name: ids.BackendServerId,
    engine: _backend_area.BackendServer,
    blackboard: _blackboard.Blackboard,
    sharers: float,
) -> float:
    """Correct the reported load by what was sent since, here and at other nodes."""
    report = engine.report
    assert report is not None
    sent = blackboard.answers.dispatched_at.get(name)
    sent_since = 0
    if sent:
        while sent and sent[0] <= engine.reported_at:
            sent.popleft()
        sent_since = len(sent)
    return report.running + report.waiting + sent_since * sharers


def _weigh_doubt(
    engine: _backend_area.BackendServer, request: RouteRequest, now: float
) -> float:
    report = engine.report
    assert report is not None
    factor = 1.0
    if engine.failed_polls or now - engine.reported_at > _STALE_REPORT_SECONDS:
        factor *= _SUSPECT_FACTOR
    if report.kv_free_tokens < request.context_tokens + request.tokens_left:
        factor *= _SCARCE_MEMORY_FACTOR
    return factor


def _predict_prepare(
    engine: _backend_area.BackendServer,
    request: RouteRequest,
    blackboard: _blackboard.Blackboard,
    now: float,
) -> tuple[float, _http_client.Address | None]:
    """Predict the time to prefill, or to import KV cache where that is faster."""
    report = engine.report
    assert report is not None
    cached = _prefixes.expect_cached_words(engine, request.blocks, now)
    missing = max(0.0, request.context_tokens - cached)
    prefill = missing / report.prefill_tokens_per_second
    fastest: tuple[float, _http_client.Address | None] = (prefill, None)
    for holder, stage in request.holders.items():
        if stage.first_layer > report.first_layer or stage.end_layer < report.end_layer:
            continue
        known = blackboard.backends.engines.get(holder)
        if known is None or known.failed_polls:
            continue
        link = report.link_seconds.get(holder, _DEFAULT_LINK_SECONDS)
        seconds = link * (3.0 + request.context_tokens / _KV_TOKENS_PER_LINK_DELAY)
        if seconds < fastest[0]:
            fastest = (seconds, stage.address)
    return fastest
