"""Datagrams of the shared view: sections of integers under a MAC.

The receiver's token makes the MAC, as for the messages of the relay.
"""

import collections.abc
import enum
import hashlib
import hmac
import struct

import attrs

from jujubepass.capacity import view

MAX_DATAGRAM_BYTES = 1_200
"""Fits the smallest usual link with tunnels, so that no datagram is fragmented."""
DIGEST_BYTES = 8
MAX_FULL_SECONDS = 0.25
"""Longest time for which a rejection counts; as suspicion of a full engine."""

_VERSION = 1
_MAC_BYTES = 32
_IDLE_FLAG = 0x80
_MAX_PARTS = 64
_MAX_COUNT = 0xFFFF
# Requests or places of a failure domain; larger numbers are faults.
_MAX_SCALAR = 1_000_000
_UNKNOWN_SCALAR = 0xFFFFFFFF
# Centuries; larger numbers are no boot clock.
_MAX_CLOCK_MICROSECONDS = 1 << 53
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3
# Free places are counted in hundredths.
_PLACE_PARTS = 100.0
_MAX_FREE = 100 * _MAX_SCALAR
# Version, kind with the flag, part, parts, sender, process, number, clock and echo.
_HEADER = struct.Struct("!BBBB8sIIQI")
_SECTION = struct.Struct("!BH")
_USE = struct.Struct("!8sHH")
# Most counts are small, and they make up most of a message.
_SMALL_USE = struct.Struct("!8sBB")
_MAX_SMALL_COUNT = 0xFF
_REMOTE_USE = struct.Struct("!8s8sHH")
_FULL = struct.Struct("!8sH")
_COUNT = struct.Struct("!BI")
_LINE = struct.Struct("!8sIH")
_LINE_WAITING = struct.Struct("!BBH")
_BODY_BYTES = MAX_DATAGRAM_BYTES - _MAC_BYTES - _HEADER.size


class CodecError(Exception):
    """Signal bytes that are no valid datagram."""


class MacError(CodecError):
    """Signal a datagram that the receiver's token did not sign."""


class Kind(enum.IntEnum):
    """Enumerate the kinds of a datagram."""

    REPORT = 1
    VIEW = 2
    DOMAIN = 3
    FULL = 4


class _Section(enum.IntEnum):
    USE = 1
    FOREIGN_USE = 2
    FULL = 3
    WAITING = 4
    ARRIVALS = 5
    SCALAR = 6
    LINE = 7
    LINE_WAITING = 8
    REMOTE_USE = 9
    SMALL_USE = 10


class _Scalar(enum.IntEnum):
    ENDS = 0
    NODES = 1


_RECORDS = {
    _Section.USE: _USE,
    _Section.FOREIGN_USE: _USE,
    _Section.REMOTE_USE: _REMOTE_USE,
    _Section.SMALL_USE: _SMALL_USE,
    _Section.FULL: _FULL,
    _Section.WAITING: _COUNT,
    _Section.ARRIVALS: _COUNT,
    _Section.SCALAR: _COUNT,
    _Section.LINE: _LINE,
    _Section.LINE_WAITING: _LINE_WAITING,
}

Uses = collections.abc.Mapping[bytes, tuple[int, int]]
"""Requests running and prompts being read, by the digest of the engine's run."""
RemoteUses = collections.abc.Mapping[tuple[bytes, bytes], tuple[int, int]]
"""The same for engines of other failure domains, by the domain's digest first."""
NO_COUNTS = (0,) * view.PRIORITIES


@attrs.frozen(kw_only=True)
class Header:
    """Describe the sender of a datagram and its place among others."""

    kind: Kind
    sender: bytes
    """Digest of the sending node's name."""
    process: int
    """Random id of the sender's process."""
    number: int
    """Increases with each message of a process."""
    sent_at: float
    """Time on the sender's boot clock."""
    echo: int = 0
    """Number of the receiver's report that a view contains, 0 for none; for rejections,
    1 if a collector passes them on."""
    part: int = 0
    parts: int = 1
    is_idle: bool = False
    """Whether there is nothing to tell, so that the message holds for longer."""


@attrs.frozen(kw_only=True)
class Line:
    """Describe the room of a failure domain, by the digest of its name."""

    domain: bytes
    free_places: float | None
    waiting: tuple[int, ...] = NO_COUNTS
    age_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class Content:
    """Describe what a message of any kind tells."""

    uses: Uses = attrs.field(factory=dict)
    foreign_uses: Uses = attrs.field(factory=dict)
    """Requests of the nodes of other failure domains."""
    remote_uses: RemoteUses = attrs.field(factory=dict)
    """Requests of this domain's nodes on engines of others."""
    full: collections.abc.Mapping[bytes, float] = attrs.field(factory=dict)
    """Seconds for which engines that rejected a request still count as full."""
    waiting: tuple[int, ...] = NO_COUNTS
    arrivals: tuple[int, ...] = NO_COUNTS
    """Requests that arrived in the last second, by priority."""
    ends: int = 0
    """Streams that ended in the last second."""
    nodes: int = 0
    """Nodes whose reports a view adds up."""
    lines: tuple[Line, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing runs, waits, arrives, ends or is full."""
        return not (
            self.uses
            or self.foreign_uses
            or self.remote_uses
            or self.full
            or self.ends
            or any(self.waiting)
            or any(self.arrivals)
        )


def make_digest(text: str) -> bytes:
    """Return the digest by which datagrams name something."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def write_bodies(content: Content) -> list[bytes]:
    """Encode content into as many bodies of datagrams as needed."""
    bodies = [bytearray()]
    for section, records in _list_sections(content):
        size = _RECORDS[section].size
        while records:
            room = (_BODY_BYTES - len(bodies[-1]) - _SECTION.size) // size
            if room < 1:
                bodies.append(bytearray())
                continue
            taken, records = records[:room], records[room:]
            bodies[-1] += _SECTION.pack(section, len(taken)) + b"".join(taken)
    return [bytes(each) for each in bodies]


def _list_sections(
    content: Content,
) -> collections.abc.Iterator[tuple[_Section, list[bytes]]]:
    scalars = {_Scalar.ENDS: content.ends, _Scalar.NODES: content.nodes}
    yield (
        _Section.SCALAR,
        [_COUNT.pack(name, min(_MAX_SCALAR, n)) for name, n in scalars.items() if n],
    )
    yield _Section.WAITING, _write_counts(content.waiting)
    yield _Section.ARRIVALS, _write_counts(content.arrivals)
    yield (
        _Section.FULL,
        [
            _FULL.pack(digest, max(0, round(seconds * _MILLISECONDS)))
            for digest, seconds in content.full.items()
        ],
    )
    small = {key: n for key, n in content.uses.items() if max(n) <= _MAX_SMALL_COUNT}
    large = {key: n for key, n in content.uses.items() if key not in small}
    yield _Section.SMALL_USE, [_SMALL_USE.pack(key, *n) for key, n in small.items()]
    yield _Section.USE, _write_uses(large)
    yield _Section.FOREIGN_USE, _write_uses(content.foreign_uses)
    yield (
        _Section.REMOTE_USE,
        [
            _REMOTE_USE.pack(*key, *_limit_use(use))
            for key, use in content.remote_uses.items()
        ],
    )
    lines = content.lines[: 0xFF + 1]
    yield _Section.LINE, [_write_line(each) for each in lines]
    yield (
        _Section.LINE_WAITING,
        [
            _LINE_WAITING.pack(index, priority, min(_MAX_COUNT, count))
            for index, line in enumerate(lines)
            for priority, count in enumerate(line.waiting)
            if count
        ],
    )


def _write_counts(counts: tuple[int, ...]) -> list[bytes]:
    return [
        _COUNT.pack(priority, min(_MAX_SCALAR, count))
        for priority, count in enumerate(counts)
        if count
    ]


def _write_uses(uses: Uses) -> list[bytes]:
    return [_USE.pack(digest, *_limit_use(use)) for digest, use in uses.items()]


def _limit_use(use: tuple[int, int]) -> tuple[int, int]:
    return min(_MAX_COUNT, use[0]), min(_MAX_COUNT, use[1])


def _write_line(line: Line) -> bytes:
    free = _UNKNOWN_SCALAR
    if line.free_places is not None:
        free = min(_MAX_FREE, max(0, round(line.free_places * _PLACE_PARTS)))
    age = min(_MAX_COUNT, max(0, round(line.age_seconds * _MILLISECONDS)))
    return _LINE.pack(line.domain, free, age)


def read_content(body: bytes) -> Content:
    """Decode the joined bodies of a message; raises CodecError."""
    found: dict[_Section, list[tuple[bytes | int, ...]]] = {}
    try:
        offset = 0
        while offset < len(body):
            tag, count = _SECTION.unpack_from(body, offset)
            section = _Section(tag)
            offset += _SECTION.size
            end = offset + count * _RECORDS[section].size
            if end > len(body):
                raise CodecError("section exceeds the message")
            records = _RECORDS[section].iter_unpack(body[offset:end])
            found.setdefault(section, []).extend(records)
            offset = end
        return _make_content(found)
    except (struct.error, ValueError, IndexError) as error:
        raise CodecError(f"invalid message: {error!r:.100}") from error


def _make_content(
    found: collections.abc.Mapping[_Section, list[tuple[bytes | int, ...]]],
) -> Content:
    def list_records(section: _Section) -> list[tuple]:  # type: ignore[type-arg]
        """Return the records of a section, if it has any."""
        return found.get(section, [])

    scalars = dict(list_records(_Section.SCALAR))
    if any(each > _MAX_SCALAR for each in scalars.values()):
        raise CodecError("absurd number of streams or nodes")
    waiting: dict[int, list[tuple[int, int]]] = {}
    for index, priority, count in list_records(_Section.LINE_WAITING):
        waiting.setdefault(index, []).append((priority, count))
    lines = tuple(
        _read_line(record, waiting.get(index, []))
        for index, record in enumerate(list_records(_Section.LINE))
    )
    return Content(
        uses=_read_uses(list_records(_Section.SMALL_USE) + list_records(_Section.USE)),
        foreign_uses=_read_uses(list_records(_Section.FOREIGN_USE)),
        remote_uses={
            (domain, digest): (running, prefilling)
            for domain, digest, running, prefilling in list_records(_Section.REMOTE_USE)
        },
        full={
            digest: min(MAX_FULL_SECONDS, left / _MILLISECONDS)
            for digest, left in list_records(_Section.FULL)
        },
        waiting=_read_counts(list_records(_Section.WAITING)),
        arrivals=_read_counts(list_records(_Section.ARRIVALS)),
        ends=scalars.get(_Scalar.ENDS, 0),
        nodes=scalars.get(_Scalar.NODES, 0),
        lines=lines,
    )


def _read_line(record: tuple[bytes, int, int], waiting: list[tuple[int, int]]) -> Line:
    domain, free, age = record
    if free != _UNKNOWN_SCALAR and free > _MAX_FREE:
        raise CodecError("absurd number of places")
    return Line(
        domain=domain,
        free_places=None if free == _UNKNOWN_SCALAR else free / _PLACE_PARTS,
        waiting=_read_counts(waiting),
        age_seconds=age / _MILLISECONDS,
    )


def _read_uses(records: list[tuple[bytes, int, int]]) -> Uses:
    return {digest: (running, prefilling) for digest, running, prefilling in records}


def _read_counts(records: list[tuple[int, int]]) -> tuple[int, ...]:
    if not records:
        return NO_COUNTS
    counts = [0] * view.PRIORITIES
    for priority, count in records:
        if count > _MAX_SCALAR:
            raise CodecError("absurd number of requests")
        counts[priority] = count
    return tuple(counts)


def seal(
    header: Header,
    body: bytes,
    token: str,
    *,
    part: int = 0,
    parts: int = 1,
    echo: int | None = None,
) -> bytes:
    """Return a datagram for the node that holds a token.

    The place among others and the echo are given apart, as a header is sent to many.
    """
    data = (
        _HEADER.pack(
            _VERSION,
            header.kind | (_IDLE_FLAG if header.is_idle else 0),
            part,
            parts,
            header.sender,
            header.process,
            header.number,
            round(header.sent_at * _MICROSECONDS),
            header.echo if echo is None else echo,
        )
        + body
    )
    return hmac.digest(token.encode(), data, hashlib.sha256) + data


def unseal(data: bytes, token: str) -> tuple[Header, bytes]:
    """Check the MAC and decode the header; raises CodecError."""
    if not _MAC_BYTES + _HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise CodecError("invalid length")
    mac, message = data[:_MAC_BYTES], data[_MAC_BYTES:]
    expected = hmac.digest(token.encode(), message, hashlib.sha256)
    if not hmac.compare_digest(mac, expected):
        raise MacError("the MAC does not match")
    version, kind, part, parts, sender, process, number, clock, echo = (
        _HEADER.unpack_from(message)
    )
    if version != _VERSION or clock > _MAX_CLOCK_MICROSECONDS:
        raise CodecError("invalid version or clock")
    if not part < parts <= _MAX_PARTS:
        raise CodecError("invalid part")
    try:
        header = Header(
            kind=Kind(kind & ~_IDLE_FLAG),
            sender=sender,
            process=process,
            number=number,
            sent_at=clock / _MICROSECONDS,
            echo=echo,
            part=part,
            parts=parts,
            is_idle=bool(kind & _IDLE_FLAG),
        )
    except ValueError as error:
        raise CodecError(f"unknown kind {kind}") from error
    return header, message[_HEADER.size :]
