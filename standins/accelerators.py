"""Speeds of accelerator kinds and delays of the links between them."""

import attrs


@attrs.frozen(kw_only=True)
class Accelerator:
    """Describe the speed and memory of one accelerator kind."""

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

_DEFAULT_LINK_SECONDS = 0.001
_LINK_SECONDS = {
    ("a100", "a100"): 0.0002,
    ("a100", "l4"): 0.002,
    ("l4", "l4"): 0.02,
}


def find_link_seconds(first: str, second: str) -> float:
    """Return the one-way link delay between two accelerator kinds."""
    first_kind, second_kind = sorted((first, second))
    return _LINK_SECONDS.get((first_kind, second_kind), _DEFAULT_LINK_SECONDS)
