"""Log lines of the attempts of model requests."""

import logging

from jujubepass.forwarding import exchange, pipelines

_LOGGER = logging.getLogger(__name__)

_MAX_LOGGED_PROMPT_PARTS = 8


def log_not_run(
    request: exchange.CallerRequest,
    pipeline: pipelines.Pipeline,
    detail: str,
    *,
    events: int,
) -> None:
    """Log an attempt that an engine did not run, after events of earlier ones."""
    _log(request, pipeline, {"outcome": "not run", "events": events, "detail": detail})


def log_broken(
    request: exchange.CallerRequest,
    pipeline: pipelines.Pipeline,
    detail: str,
    *,
    events: int,
    run_events: int,
) -> None:
    """Log a run that broke, with the events of all runs and of this one."""
    parts = request.prompt_parts[:_MAX_LOGGED_PROMPT_PARTS]
    fields = {
        "outcome": "broken",
        "events": events,
        "run_events": run_events,
        "prompt_parts": ",".join(parts),
        "detail": detail,
    }
    _log(request, pipeline, fields)


def _log(
    request: exchange.CallerRequest,
    pipeline: pipelines.Pipeline,
    fields: dict[str, object],
) -> None:
    _LOGGER.info(
        "attempt ended",
        extra={
            "request": request.request_id,
            "backend": pipeline.stages[0].engine,
            "parts": len(pipeline.stages),
            **fields,
        },
    )
