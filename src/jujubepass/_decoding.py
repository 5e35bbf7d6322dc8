"""Decoding of what other programs write, which may be malformed in any way.

_decoding.read_integer(row["slots"], minimum=1, maximum=1_000)
"""

import json
import math
import re
import typing

MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors that odd values raise where they are read."""
MAX_INTEGER = 2**53
"""Largest number that other programs read exactly from JSON."""
# What is read is encoded and walked again, which recurses.
_MAX_DEPTH = 64
_DIGITS = re.compile(r"[0-9]{1,15}", re.ASCII)


def load_json(data: bytes | str, *, max_depth: int = _MAX_DEPTH) -> typing.Any:
    """Parse JSON; raises ValueError, also for values that are nested too deeply."""
    try:
        value = json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if is_too_deep(value, max_depth=max_depth):
        raise ValueError("nested too deeply")
    return value


def is_too_deep(value: typing.Any, *, max_depth: int = _MAX_DEPTH) -> bool:
    """Return whether lists and objects are nested too deeply."""
    level = [value] if isinstance(value, (list, dict)) else []
    for _ in range(max_depth):
        found: list[typing.Any] = []
        for outer in level:
            found += outer.values() if isinstance(outer, dict) else outer
        level = [each for each in found if isinstance(each, (list, dict))]
        if not level:
            return False
    return True


def read_integer(
    value: typing.Any, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return a whole number in a range; raises ValueError or TypeError."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise TypeError("not a whole number")
    if not minimum <= value <= maximum:
        raise ValueError(f"not in the range from {minimum} to {maximum}")
    return value


def read_number(
    value: typing.Any, *, minimum: float = 0.0, maximum: float = 1e15
) -> float:
    """Return a finite number in a range; raises ValueError or TypeError."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError("not a number")
    if not minimum <= value <= maximum or not math.isfinite(value):
        raise ValueError(f"not in the range from {minimum:g} to {maximum:g}")
    return float(value)


def read_text(value: typing.Any) -> str:
    """Return a text that can be encoded; raises ValueError or TypeError."""
    if not isinstance(value, str):
        raise TypeError("not a text")
    value.encode()
    return value


def parse_digits(text: str | None) -> int | None:
    """Return the number that a text consists of, or None."""
    return int(text) if text and _DIGITS.fullmatch(text) else None
