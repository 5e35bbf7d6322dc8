"""Decoding of the operator's configuration."""

import collections.abc
import logging
import typing

import attrs

from jujubepass import _decoding, ids
from jujubepass.forwarding import declarations, feeds
from jujubepass.shortage import entries

_LOGGER = logging.getLogger(__name__)

_LOGGER = logging.getLogger(__name__)

# A step that takes a second longer for 1,000 tokens, or an event of more tokens than
# usual answers have, would leave no place on any engine.
_MAX_CONTEXT_MILLISECONDS = 1_000.0
_MAX_STRIDE = 1_000
_REPEAT_POLICIES = {
    "idempotent": declarations.RepeatPolicy.IDEMPOTENT,
    "non_idempotent": declarations.RepeatPolicy.NON_IDEMPOTENT,
    "streaming": declarations.RepeatPolicy.STREAM,
}
_Json = typing.Any


def read_configuration(
    key: str, row_version: int, value: _Json
) -> declarations.Declarations:
    """Decode the whole configuration; raises feeds.UnreadableRowError."""
    try:
        return _decode_configuration(value)
    except _decoding.MALFORMED_ERRORS as error:
        raise feeds.UnreadableRowError(
            f"invalid configuration: {error!r:.100}"
        ) from error


def _decode_configuration(value: _Json) -> declarations.Declarations:
    accounts = {
        key: declarations.Account(
            name=ids.AccountId(tenant["name"]),
            priority=tenant.get("priority"),
            weight=_decode_weight(tenant),
        )
        for tenant in value.get("tenants") or ()
        for key in tenant["apiKeys"]
    }
    services = [_decode_service(each) for each in value["services"]]
    return declarations.Declarations(
        version=int(value["version"]),
        routes=tuple(_decode_route(each) for each in value["routes"]),
        services={each.name: each for each in services},
        limits=_decode_limits(value.get("limits") or {}),
        accounts=accounts,
        # No list of tenants: requests need no key. An empty list: every key is refused.
        checks_keys=value.get("tenants") is not None,
    )


def _decode_weight(value: _Json) -> float:
    weight = value.get("weight", 1.0)
    if not entries.is_weight(weight):
        _LOGGER.warning(
            "invalid weight of a client account counts as 1",
            extra={"account": value["name"], "weight": f"{weight!r:.80}"},
        )
    return entries.clamp_weight(weight)


def _decode_route(value: _Json) -> declarations.Route:
    # A split lists services with weights. Without one, the route has one service.
    destinations_json = value.get("split") or [
        {"service": value["service"], "weight": 1.0}
    ]
    timeout_seconds = value["timeoutMs"] / 1_000.0
    return declarations.Route(
        name=value["name"],
        host=value["host"].lower(),
        prefix=value["prefix"],
        repeat_policy=_REPEAT_POLICIES.get(
            value["kind"], declarations.RepeatPolicy.NON_IDEMPOTENT
        ),
        timeout_seconds=timeout_seconds,
        goal_seconds=value.get("latencyGoalMs", value["timeoutMs"]) / 1_000.0,
        priority=value.get("priority", 0),
        destinations=tuple(
            declarations.Destination(
                service=ids.ServiceId(each["service"]), weight=each["weight"]
            )
            for each in destinations_json
        ),
        max_attempts=value.get("maxAttempts", 1),
        anonymous=bool(value.get("anonymous", False)),
        resumable=bool(value.get("resumable", False)),
        gap_seconds=value.get("gapTargetMs", value["timeoutMs"]) / 1_000.0,
    )


def _decode_service(value: _Json) -> declarations.Service:
    engine = value.get("engine")
    has_layers = engine is not None and engine.get("layers")
    return declarations.Service(
        name=ids.ServiceId(value["name"]),
        model=_decode_model(engine) if has_layers else None,
    )


def _decode_model(value: _Json) -> declarations.Model:
    models = value.get("models") or [{}]
    typical = value.get("usual") or {}
    return declarations.Model(
        layers=value["layers"],
        layer_megabytes=value["layerMb"],
        token_kilobytes=value["kvTokenBytes"] / 1_000.0,
        slots=value["slots"],
        step_seconds=value["step_ms"] / 1_000.0,
        step_seconds_per_sequence=value.get("per_seq_ms", 0.0) / 1_000.0,
        prefill_tokens_per_second=value["read_per_s"],
        load_seconds=models[0].get("loadS", 0.0),
        answer_tokens=typical.get("answer", 1),
        prompt_tokens=typical.get("prompt", 1),
        accelerators={
            each["name"]: declarations.Accelerator(
                memory_megabytes=each["sizeMb"],
                step_slowdown=each["pace"],
                prefill_slowdown=each["readX"],
            )
            for each in value.get("kinds") or ()
        },
        context_seconds_per_1k_tokens=_read_bounded(
            value, "context_per_k", 0.0, most=_MAX_CONTEXT_MILLISECONDS
        )
        / 1_000.0,
        stride=int(_read_bounded(value, "stride", 1, least=1, most=_MAX_STRIDE)),
    )


def _read_bounded(
    value: _Json, key: str, default: float, *, least: float = 0.0, most: float
) -> float:
    """Return a number of the load model, or its default if it is absurd."""
    found = value.get(key, default)
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and least <= found <= most:
        return float(found)
    _LOGGER.warning(
        "invalid value of an engine's load model",
        extra={"key": key, "value": f"{found!r:.40}", "used": default},
    )
    return default


def _decode_limits(
    value: collections.abc.Mapping[str, _Json],
) -> declarations.CallerLimits:
    defaults = declarations.CallerLimits()
    overrides = {}
    for name, field, scale in (
        ("maxHeaderBytes", "header_bytes", 1),
        ("maxBodyBytes", "body_bytes", 1),
        ("headerTimeoutMs", "header_timeout_seconds", 0.001),
        ("idleTimeoutMs", "idle_timeout_seconds", 0.001),
    ):
        if value.get(name):
            overrides[field] = value[name] * scale
    return attrs.evolve(defaults, **overrides)
