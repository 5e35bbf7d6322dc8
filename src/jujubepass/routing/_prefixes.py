"""Prefix blocks of prompts and estimates of their presence in engine caches."""

import collections.abc
import hashlib

from jujubepass import ids
from jujubepass.backends import _backend_area

BLOCK_WORDS = 16
"""Number of words in one prefix block."""

_MAX_BLOCKS = 128
_CACHE_HALF_LIFE_SECONDS = 300.0


def hash_blocks(
    model: ids.ModelId, prompt: collections.abc.Sequence[str]
) -> tuple[str, ...]:
    """Return the chained hashes of a prompt's leading complete blocks."""
    previous = str(model)
    hashes = []
    end = min(len(prompt) - BLOCK_WORDS + 1, _MAX_BLOCKS * BLOCK_WORDS)
    for start in range(0, end, BLOCK_WORDS):
        block = "\x1f".join(prompt[start : start + BLOCK_WORDS])
        previous = hashlib.sha256(
            (previous + block).encode(errors="surrogatepass")
        ).hexdigest()[:16]
        hashes.append(previous)
    return tuple(hashes)


def estimate_cached_words(
    engine: _backend_area.BackendServer,
    blocks: collections.abc.Sequence[str],
    now: float,
) -> float:
    """Estimate how many of a prompt's words are in an engine's cache.

    The estimate decreases with the age of the cache events and with gaps in them.
    """
    words = 0.0
    reported_fraction = 1.0 - engine.cache_gap_share
    for block in blocks:
        stored_at = engine.cached_prefixes.get(block)
        if stored_at is None:
            break
        words += (
            BLOCK_WORDS
            * reported_fraction
            * 0.5 ** ((now - stored_at) / _CACHE_HALF_LIFE_SECONDS)
        )
    return words
