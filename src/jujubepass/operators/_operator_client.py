"""Client of a node's operator listener."""

import collections.abc
import json
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.transport import _http_client

_REQUEST_TIMEOUT_SECONDS = 10.0
_SUCCESS_STATUSES = range(200, 300)
_OUTCOME_UNKNOWN_CODE = "outcome_unknown"

Json = typing.Any
_Result = typing.TypeVar("_Result")


class OperatorClientError(Exception):
    """Signal that a node did not carry out an operation."""


class UnreachableError(OperatorClientError):
    """Signal that the node did not answer and did not receive a change."""


class UnknownOutcomeError(OperatorClientError):
    """Signal an unknown outcome; posting again with the same id is safe."""


@attrs.frozen(kw_only=True)
class RefusedError(OperatorClientError):
    """Signal that the node refused the request, with its stable code."""

    status: int
    code: str
    detail: str
    body: Json

    def __str__(self) -> str:
        return f"{self.code}: {self.detail}"


@attrs.frozen(kw_only=True)
class Change:
    """Describe one change of the configuration."""

    change_id: ids.ChangeId
    base: ids.ChangeNumber
    author: str
    sections: collections.abc.Mapping[str, collections.abc.Mapping[str, str] | None]


@attrs.frozen(kw_only=True)
class OperatorClient:
    """Send an operator's requests to one node."""

    address: _http_client.Address
    key: str = attrs.field(repr=False)
    timeout_seconds: float = _REQUEST_TIMEOUT_SECONDS
    http: _http_client.Client = attrs.field(factory=_http_client.Client)

    async def read_status(self) -> Json:
        """Read the state of the node, its peers and the backend servers."""
        return await self._read("/operator/status")

    async def read_configuration(self) -> Json:
        """Read the configuration in force: its number, digest and sections."""
        return await self._read("/operator/configuration")

    async def post_change(self, change: Change) -> Json:
        """Submit a change; repeating it with the same id has no further effect."""
        body = json.dumps(attrs.asdict(change)).encode()
        try:
            return await self._request("POST", "/operator/changes", body)
        except _http_client.NotSentError as error:
            raise UnreachableError(str(error)) from error
        except _http_client.InterruptedAnswerError as error:
            raise _make_unknown_outcome_error(change, str(error)) from error
        except RefusedError as error:
            if error.code != _OUTCOME_UNKNOWN_CODE:
                raise
            raise _make_unknown_outcome_error(change, error.code) from error

    async def _read(self, path: str) -> Json:
        try:
            return await self._request("GET", path, b"")
        except _http_client.ClientError as error:
            raise UnreachableError(str(error)) from error

    async def _request(self, method: str, path: str, body: bytes) -> Json:
        headers = {"authorization": f"Bearer {self.key}"}
        if body:
            headers["content-type"] = "application/json"
        answer = await self.http.request(
            method,
            self.address,
            path,
            body=body,
            headers=headers,
            timeout_seconds=self.timeout_seconds,
        )
        value = answer.read_json()
        if answer.status not in _SUCCESS_STATUSES:
            raise _make_refused_error(answer.status, value)
        return value


def run_operation(
    client: OperatorClient,
    operation: collections.abc.Callable[
        [OperatorClient], collections.abc.Awaitable[_Result]
    ],
) -> _Result:
    """Run one operation against a node and return its result."""

    async def run() -> _Result:
        """Await the operation."""
        return await operation(client)

    return trio.run(run)


def _make_unknown_outcome_error(change: Change, reason: str) -> UnknownOutcomeError:
    return UnknownOutcomeError(
        f"{reason}; the change may have been accepted: apply it again at any node with"
        f" --change-id {change.change_id} --base {change.base}"
    )


def _make_refused_error(status: int, value: Json) -> RefusedError:
    problem = value if isinstance(value, dict) else {}
    return RefusedError(
        status=status,
        code=str(problem.get("code", f"http_{status}")),
        detail=str(problem.get("detail", "the node gave no reason")),
        body=value,
    )
