"""Client of the platform's table service."""

import json
import typing
import urllib.parse

import attrs

from jujubepass import _decoding
from jujubepass.storage import _store_messages, _transaction_failures
from jujubepass.transport import _http_client

_OK = 200
_CONFLICT = 409
_NO_EFFECT_STATUSES = (400, 401, 403, 413, 429, 503)


class Table(typing.Protocol):
    """Execute store commands and return the outcome of each as an event."""

    async def transact(
        self, command: _store_messages.Transact
    ) -> _store_messages.TransactionOutcome:
        """Run a conditional transaction."""

    async def read(
        self, command: _store_messages.ReadRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by key."""

    async def scan(
        self, command: _store_messages.ScanRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by prefix."""


@attrs.frozen(kw_only=True)
class HttpTable:
    """Access the table service over HTTP."""

    client: _http_client.Client
    address: _http_client.Address
    timeout_seconds: float

    async def transact(
        self, command: _store_messages.Transact
    ) -> (
        _store_messages.Transacted
        | _store_messages.TransactionConflicted
        | _store_messages.TransactionUnsent
        | _store_messages.TransactionUnclear
    ):
        """Run a conditional transaction.

        A status such as 503 and a failed connect mean that it took no effect.
        """
        operation = command.operation
        try:
            answer = await self._post(
                "/table/transact", _write_transaction(command), once=True
            )
            if answer.status == _OK:
                versions = answer.read_json()["versions"]
                return _store_messages.Transacted(
                    operation=operation, versions=versions
                )
            if answer.status == _CONFLICT:
                rows = tuple(map(_parse_row, answer.read_json()["conflicts"]))
                return _store_messages.TransactionConflicted(
                    operation=operation, rows=rows
                )
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            return _transaction_failures.classify_error(operation, error)
        return _transaction_failures.classify_status(
            operation,
            f"table service answered {answer.status}",
            had_no_effect=answer.status in _NO_EFFECT_STATUSES,
        )

    async def read(
        self, command: _store_messages.ReadRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by key."""
        try:
            answer = await self._post("/table/read", {"keys": list(command.keys)})
            if answer.status == _OK:
                found = answer.read_json()["rows"]
                rows = {key: _parse_row({"key": key, **found[key]}) for key in found}
                return _store_messages.RowsRead(operation=command.operation, rows=rows)
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            return _store_messages.ReadFailed(
                operation=command.operation, detail=str(error)
            )
        return _store_messages.ReadFailed(
            operation=command.operation,
            detail=f"table service answered {answer.status}",
        )

    async def scan(
        self, command: _store_messages.ScanRows
    ) -> _store_messages.RowsRead | _store_messages.ReadFailed:
        """Read rows by prefix."""
        query = urllib.parse.urlencode(
            {"prefix": command.prefix, "after": command.after, "limit": command.limit}
        )
        try:
            answer = await self.client.request(
                "GET",
                self.address,
                f"/table/scan?{query}",
                timeout_seconds=self.timeout_seconds,
            )
            if answer.status == _OK:
                found = answer.read_json()
                rows = {row["key"]: _parse_row(row) for row in found["rows"]}
                return _store_messages.RowsRead(
                    operation=command.operation, rows=rows, more=found["more"]
                )
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            return _store_messages.ReadFailed(
                operation=command.operation, detail=str(error)
            )
        return _store_messages.ReadFailed(
            operation=command.operation,
            detail=f"table service answered {answer.status}",
        )

    async def _post(
        self, path: str, body: object, *, once: bool = False
    ) -> _http_client.Answer:
        return await self.client.request(
            "POST",
            self.address,
            path,
            body=json.dumps(body).encode(),
            headers={"content-type": "application/json"},
            timeout_seconds=self.timeout_seconds,
            once=once,
        )


def _write_transaction(command: _store_messages.Transact) -> dict[str, typing.Any]:
    return {
        "conditions": [
            {"key": each.key, "version": each.version} for each in command.conditions
        ],
        "writes": [{"key": each.key, "value": each.value} for each in command.writes],
    }


def _parse_row(row: typing.Any) -> _store_messages.VersionedRow:
    return _store_messages.VersionedRow(
        key=row["key"], version=row["version"], value=row["value"] or {}
    )
