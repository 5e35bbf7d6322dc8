"""Deterministic language model whose tokens depend on every layer in order."""

import collections.abc
import hashlib

BLOCK_WORDS = 16
"""Number of words in one prefix block."""

STOP_TOKEN = "<stop>"
"""Token that ends an answer early; about 1 position in 4,000 yields it."""

_MASK = (1 << 64) - 1
_STOP_TOKEN_DIVISOR = 4_001
_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "to")


class Context:
    """Maintain a digest of a prompt and of the answer tokens after it."""

    __slots__ = ("_digest",)

    def __init__(
        self,
        *,
        model: str,
        prompt: collections.abc.Sequence[str],
        sent: collections.abc.Sequence[str] = (),
    ) -> None:
        self._digest = hashlib.sha256("\x1f".join([model, *prompt]).encode())
        for token in sent:
            self.append(token)

    def append(self, token: str) -> None:
        """Append one answer token."""
        self._digest.update(f"\x1e{token}".encode())

    def start(self) -> int:
        """Return the activation that enters the first layer."""
        return int.from_bytes(self._digest.digest()[:8])


def run_layers(activation: int, first_layer: int, end_layer: int) -> int:
    """Mix an activation through a range of layers."""
    for layer in range(first_layer, end_layer):
        activation = (activation * 0x9E3779B97F4A7C15 + 2 * layer + 1) & _MASK
        activation ^= activation >> 29
    return activation


def read_token(activation: int) -> str:
    """Return the token that the last layer's activation encodes."""
    if activation % _STOP_TOKEN_DIVISOR == 0:
        return STOP_TOKEN
    count = len(_SYLLABLES)
    first, rest = activation % count, activation // count
    return _SYLLABLES[first] + _SYLLABLES[rest % count] + _SYLLABLES[rest // count % 12]


def expected_tokens(
    model: str,
    prompt: collections.abc.Sequence[str],
    max_tokens: int,
    layers: int,
) -> list[str]:
    """Return the complete answer to a prompt as tokens."""
    context = Context(model=model, prompt=prompt)
    tokens: list[str] = []
    while len(tokens) < max_tokens:
        token = read_token(run_layers(context.start(), 0, layers))
        if token == STOP_TOKEN:
            break
        tokens.append(token)
        context.append(token)
    return tokens


def hash_blocks(model: str, prompt: collections.abc.Sequence[str]) -> list[str]:
    """Return a chained hash for each complete prefix block of a prompt."""
    previous = model
    hashes = []
    for start in range(0, len(prompt) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = "\x1f".join(prompt[start : start + BLOCK_WORDS])
        previous = hashlib.sha256((previous + block).encode()).hexdigest()[:16]
        hashes.append(previous)
    return hashes
