"""Prefix blocks of prompts, and how much of one an engine may still cache."""

import collections.abc
import hashlib

from jujubepass import ids
from jujubepass.backends import _backend_area

BLOCK_WORDS = 16
"""Words in one prefix block."""

_MOST_BLOCKS = 128
_HALF_LIFE_SECONDS = 300.0


def hash_blocks(
    model: ids.ModelId, prompt: collections.abc.Sequence[str]
) -> tuple[str, ...]:
    """Return the hashes of a prompt's leading whole blocks."""
    previous = str(model)
    hashes = []
    end = min(len(prompt) - BLOCK_WORDS + 1, _MOST_BLOCKS * BLOCK_WORDS)
    for start in range(0, end, BLOCK_WORDS):
        block = "\x1f".join(prompt[start : start + BLOCK_WORDS])
        previous = hashlib.sha256(
            (previous + block).encode(errors="surrogatepass")
        ).hexdigest()[:16]
        hashes.append(previous)
    return tuple(hashes)


def expect_cached_words(
    engine: _backend_area.BackendServer,
    blocks: collections.abc.Sequence[str],
    now: float,
) -> float:
    """Return the words expected in an engine's cache, by age and gaps of its news."""
    words = 0.0
    trust = 1.0 - engine.cache_gap_share
    for block in blocks:
        stored_at = engine.cached_prefixes.get(block)
        if stored_at is None:
            break
        words += BLOCK_WORDS * trust * 0.5 ** ((now - stored_at) / _HALF_LIFE_SECONDS)
    return words
