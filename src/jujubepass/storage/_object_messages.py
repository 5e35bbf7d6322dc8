"""Events and commands of the platform's object store."""

import attrs

from jujubepass.storage import _store_messages


@attrs.frozen(kw_only=True)
class PutObject:
    """Command a write of a whole object."""

    operation: _store_messages.OperationId
    name: str
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class GetObject:
    """Command a read of a whole object."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class DeleteObject:
    """Command the deletion of an object."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class ObjectWritten:
    """Report a written object."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectRead:
    """Report the content of an object."""

    operation: _store_messages.OperationId
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ObjectDeleted:
    """Report a deleted object."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectFailed:
    """Report a failed object operation."""

    operation: _store_messages.OperationId
    detail: str
