"""Load model of engines: the time of a step by the requests that run."""

from jujubepass.forwarding import declarations


def compute_request_tokens(model: declarations.Model) -> float:
    """Return the tokens of a typical request halfway through its answer."""
    return model.prompt_tokens + model.answer_tokens / 2.0


def compute_sequence_seconds(model: declarations.Model) -> float:
    """Return how much longer a step takes for each request that runs."""
    thousands = compute_request_tokens(model) / 1_000.0
    context_seconds = model.context_seconds_per_1k_tokens * thousands
    return model.step_seconds_per_sequence + context_seconds


def predict_step_seconds(
    model: declarations.Model, requests: float, *, slowdown: float = 1.0
) -> float:
    """Return the time of a step of all layers on an engine with a slowdown."""
    return slowdown * (model.step_seconds + requests * compute_sequence_seconds(model))
