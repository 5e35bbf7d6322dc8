"""Incremental digest of all sections; an update costs time linear in the change."""

import collections.abc
import hashlib
import json

_DIGEST_BYTES = 16
_MODULUS = 1 << (8 * _DIGEST_BYTES)

EMPTY = "0" * (2 * _DIGEST_BYTES)

Section = collections.abc.Mapping[str, str]


def update_digest(
    digest: str,
    sections: collections.abc.Mapping[str, Section],
    delta: collections.abc.Mapping[str, Section | None],
) -> str:
    """Return the digest after a change.

    The digest is the sum of the hashes of all sections.
    """
    total = int(digest, 16)
    for title, section in delta.items():
        before = sections.get(title)
        if before is not None:
            total -= _hash_section(title, before)
        if section is not None:
            total += _hash_section(title, section)
    return f"{total % _MODULUS:0{2 * _DIGEST_BYTES}x}"


def _hash_section(title: str, section: Section) -> int:
    text = json.dumps([title, sorted(section.items())]).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
