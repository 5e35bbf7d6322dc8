"""Events and commands for the platform's object store."""

import attrs

from jujubepass.storage import _store_messages


@attrs.frozen(kw_only=True)
class PutObject:
    """Command a whole object to be written."""

    operation: _store_messages.OperationId
    name: str
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class GetObject:
    """Command a whole object to be read."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class DeleteObject:
    """Command an object to be deleted."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class ObjectWritten:
    """Report that an object is written."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectRead:
    """Report an object's bytes."""

    operation: _store_messages.OperationId
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ObjectDeleted:
    """Report that an object is deleted."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectFailed:
    """Report an object operation without success."""

    operation: _store_messages.OperationId
    detail: str
