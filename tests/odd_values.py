"""Odd values that another writer may leave in place of sound ones."""

import copy
import json

import hypothesis.strategies

DEPTH = 500


def nest(depth):
    """Return lists in lists."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


ODD_TEXTS = (
    "",
    "x",
    "²",
    "-1",
    "nan",
    "1e999",
    "9" * 400,
    "9" * 5_000,
    "\x00",
    "\ud800",
    "a b",
    "10.0.0.1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:²",
    "a..b:80",
    "a\x00b:80",
    ":80",
    "x" * 300 + ":80",
)
ODD_VALUES = (
    *(None, True, False, -1, 0, 1, 0.5, 2**53 + 1, 2**70, 10**400, -(10**400)),
    *(float("inf"), float("-inf"), float("nan"), 1e300),
    *ODD_TEXTS,
    *([], {}, [[]], [None], [1], [[1, 2]], {"x": None}, {"from": 9, "to": 1}),
    *({"from": -(10**9), "to": 10**9}, {"from": 0, "to": 10**400}),
    nest(DEPTH),
)
ANY_JSON = hypothesis.strategies.recursive(
    hypothesis.strategies.sampled_from(ODD_VALUES),
    lambda inner: hypothesis.strategies.one_of(
        hypothesis.strategies.lists(inner, max_size=3),
        hypothesis.strategies.dictionaries(
            hypothesis.strategies.text(max_size=8), inner, max_size=3
        ),
    ),
    max_leaves=6,
)


def list_places(value, place=()):
    """Yield the places of all values in nested objects and lists."""
    yield place
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from list_places(inner, (*place, key))
    elif isinstance(value, (list, tuple)):
        for index, inner in enumerate(value):
            yield from list_places(inner, (*place, index))


def replace(value, place, odd):
    """Return a copy with another value at a place."""
    if not place:
        return odd
    copied = copy.deepcopy(value)
    inner = copied
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = odd
    return copied


def list_variants(value):
    """Yield copies with an odd value at one place, or without it."""
    for place in list_places(value):
        for odd in ODD_VALUES:
            yield place, replace(value, place, odd)
        if place and isinstance(place[-1], str):
            copied = copy.deepcopy(value)
            inner = copied
            for key in place[:-1]:
                inner = inner[key]
            del inner[place[-1]]
            yield place, copied


def shorten(value):
    """Return the start of a value's text, for messages."""
    try:
        return json.dumps(value)[:200]
    except RecursionError:
        return "nested"
