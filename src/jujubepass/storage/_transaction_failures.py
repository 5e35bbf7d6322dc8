"""Classification of transactions without a usable answer."""

from jujubepass.storage import _store_messages
from jujubepass.transport import _http_client

Failure = _store_messages.TransactionUnsent | _store_messages.TransactionUnclear


def classify_error(operation: _store_messages.OperationId, error: Exception) -> Failure:
    """Return the event for a transaction that was not sent or may have run."""
    detail = str(error)
    if isinstance(error, _http_client.NotSentError):
        return _store_messages.TransactionUnsent(operation=operation, detail=detail)
    return _store_messages.TransactionUnclear(operation=operation, detail=detail)


def classify_status(
    operation: _store_messages.OperationId, detail: str, *, had_no_effect: bool
) -> Failure:
    """Return the event for a transaction that was refused or may have run."""
    if had_no_effect:
        return _store_messages.TransactionUnsent(operation=operation, detail=detail)
    return _store_messages.TransactionUnclear(operation=operation, detail=detail)
