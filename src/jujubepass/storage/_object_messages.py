"""Events and commands of the platform's object store."""

import attrs

from jujubepass.storage import _store_messages


@attrs.frozen(kw_only=True)
class PutObject:
    """Command that a whole object be written."""

    operation: _store_messages.OperationId
    name: str
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class GetObject:
    """Command that a whole object be read."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class DeleteObject:
    """Command that an object be deleted."""

    operation: _store_messages.OperationId
    name: str


@attrs.frozen(kw_only=True)
class ObjectWritten:
    """Report an object as written."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectRead:
    """Report the content of an object."""

    operation: _store_messages.OperationId
    data: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ObjectDeleted:
    """Report an object as deleted."""

    operation: _store_messages.OperationId


@attrs.frozen(kw_only=True)
class ObjectFailed:
    """Report a failed object operation."""

    operation: _store_messages.OperationId
    detail: str
