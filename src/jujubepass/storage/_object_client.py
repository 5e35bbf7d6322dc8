"""Client of the platform's object store."""

import typing
import urllib.parse

import attrs

from jujubepass.storage import _object_messages
from jujubepass.transport import _http_client

_OK = 200
_REQUEST_TIMEOUT_SECONDS = 10.0


class Objects(typing.Protocol):
    """Execute object commands and return the outcome of each as an event."""

    async def put(
        self, command: _object_messages.PutObject
    ) -> _object_messages.ObjectWritten | _object_messages.ObjectFailed:
        """Write a whole object."""

    async def get(
        self, command: _object_messages.GetObject
    ) -> _object_messages.ObjectRead | _object_messages.ObjectFailed:
        """Read a whole object."""

    async def delete(
        self, command: _object_messages.DeleteObject
    ) -> _object_messages.ObjectDeleted | _object_messages.ObjectFailed:
        """Delete an object."""


@attrs.frozen(kw_only=True)
class ObjectPaths:
    """Configure the path prefix of an object's name for each operation."""

    put: str = "/objects/"
    get: str = "/objects/"
    delete: str = "/objects/"


@attrs.frozen(kw_only=True)
class HttpObjects:
    """Access the object store over HTTP."""

    client: _http_client.Client
    address: _http_client.Address
    timeout_seconds: float = _REQUEST_TIMEOUT_SECONDS
    paths: ObjectPaths = attrs.field(factory=ObjectPaths)

    async def put(
        self, command: _object_messages.PutObject
    ) -> _object_messages.ObjectWritten | _object_messages.ObjectFailed:
        """Write a whole object."""
        answer = await self._request("PUT", self.paths.put, command, command.data)
        if isinstance(answer, _object_messages.ObjectFailed):
            return answer
        return _object_messages.ObjectWritten(operation=command.operation)

    async def get(
        self, command: _object_messages.GetObject
    ) -> _object_messages.ObjectRead | _object_messages.ObjectFailed:
        """Read a whole object."""
        answer = await self._request("GET", self.paths.get, command)
        if isinstance(answer, _object_messages.ObjectFailed):
            return answer
        return _object_messages.ObjectRead(
            operation=command.operation, data=answer.body
        )

    async def delete(
        self, command: _object_messages.DeleteObject
    ) -> _object_messages.ObjectDeleted | _object_messages.ObjectFailed:
        """Delete an object."""
        answer = await self._request("DELETE", self.paths.delete, command)
        if isinstance(answer, _object_messages.ObjectFailed):
            return answer
        return _object_messages.ObjectDeleted(operation=command.operation)

    async def _request(
        self,
        method: str,
        path_prefix: str,
        command: _object_messages.PutObject
        | _object_messages.GetObject
        | _object_messages.DeleteObject,
        body: bytes = b"",
    ) -> _http_client.Answer | _object_messages.ObjectFailed:
        path = path_prefix + urllib.parse.quote(command.name, safe="")
        try:
            answer = await self.client.request(
                method,
                self.address,
                path,
                body=body,
                timeout_seconds=self.timeout_seconds,
            )
        except _http_client.ClientError as error:
            detail = str(error)
        else:
            if answer.status == _OK:
                return answer
            detail = f"object store answered {answer.status}"
        return _object_messages.ObjectFailed(operation=command.operation, detail=detail)
