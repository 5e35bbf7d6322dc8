"""Bytes of a body that grows, in blocks of one size."""

import attrs

# Blocks of one size leave no gaps between each other: buffers that grow side by side
# fragment the heap to twice what they hold.
_BLOCK_BYTES = 65_536


@attrs.define(kw_only=True)
class Blocks:
    """Collect bytes, however few come at once."""

    _full: list[bytes] = attrs.field(factory=list, init=False)
    _last: bytearray = attrs.field(factory=bytearray, init=False)

    def __len__(self) -> int:
        return len(self._full) * _BLOCK_BYTES + len(self._last)

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes to the end."""
        self._last += data
        while len(self._last) >= _BLOCK_BYTES:
            self._full.append(bytes(self._last[:_BLOCK_BYTES]))
            del self._last[:_BLOCK_BYTES]

    def join(self) -> bytes:
        """Return all bytes."""
        if not self._full:
            return bytes(self._last)
        return b"".join((*self._full, self._last))
