"""Speeds of accelerator kinds and of the links between them."""

import attrs


@attrs.frozen(kw_only=True)
class Accelerator:
    """Describe one accelerator kind."""

    step_seconds: float
    max_batch: int
    prefill_tokens_per_second: float
    kv_tokens: int


KINDS = {
    "a100": Accelerator(
        step_seconds=0.010,
        max_batch=16,
        prefill_tokens_per_second=8_000.0,
        kv_tokens=200_000,
    ),
    "l4": Accelerator(
        step_seconds=0.030,
        max_batch=8,
        prefill_tokens_per_second=2_000.0,
        kv_tokens=60_000,
    ),
}

_UNKNOWN_LINK_SECONDS = 0.001
_LINK_SECONDS = {
    ("a100", "a100"): 0.0002,
    ("a100", "l4"): 0.002,
    ("l4", "l4"): 0.02,
}


def find_link_seconds(first: str, second: str) -> float:
    """Return the delay one way between two accelerator kinds."""
    low, high = sorted((first, second))
    return _LINK_SECONDS.get((low, high), _UNKNOWN_LINK_SECONDS)
