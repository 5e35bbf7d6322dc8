"""Client of a node's operator listener."""

import collections.abc
import json
import typing

import attrs
import trio

from jujubepass import ids
from jujubepass.transport import _http_client

_TIMEOUT_SECONDS = 10.0
_SUCCESS = range(200, 300)
_OUTCOME_UNKNOWN = "outcome_unknown"

Json = typing.Any
_Answer = typing.TypeVar("_Answer")


class OperatorClientError(Exception):
    """Report an operation that a node did not carry out."""


class UnreachableError(OperatorClientError):
    """Report that the node did not answer and holds no change of ours."""


class UnclearOutcomeError(OperatorClientError):
    """Report that a change may have taken effect; its id settles it."""


@attrs.frozen(kw_only=True)
class RefusedError(OperatorClientError):
    """Report that the node refused, with its stable code."""

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
    """Ask one node, on behalf of an operator."""

    address: _http_client.Address
    key: str = attrs.field(repr=False)
    timeout_seconds: float = _TIMEOUT_SECONDS
    http: _http_client.Client = attrs.field(factory=_http_client.Client)

    async def read_status(self) -> Json:
        """Read what the node knows of itself and its peers."""
        return await self._read("/operator/status")

    async def read_configuration(self) -> Json:
        """Read the configuration in force: its number, digest and sections."""
        return await self._read("/operator/configuration")

    async def post_change(self, change: Change) -> Json:
        """Offer a change; posting it again with the same id does no harm."""
        body = json.dumps(attrs.asdict(change)).encode()
        try:
            return await self._request("POST", "/operator/changes", body)
        except _http_client.NotSentError as error:
            raise UnreachableError(str(error)) from error
        except _http_client.InterruptedAnswerError as error:
            raise _describe_unclear(change, str(error)) from error
        except RefusedError as error:
            if error.code != _OUTCOME_UNKNOWN:
                raise
            raise _describe_unclear(change, error.code) from error

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
        if answer.status not in _SUCCESS:
            raise _describe_refusal(answer.status, value)
        return value


def run_operation(
    client: OperatorClient,
    operation: collections.abc.Callable[
        [OperatorClient], collections.abc.Awaitable[_Answer]
    ],
) -> _Answer:
    """Run one operation against a node to its end."""

    async def run() -> _Answer:
        """Await the operation."""
        return await operation(client)

    return trio.run(run)


def _describe_unclear(change: Change, reason: str) -> UnclearOutcomeError:
    return UnclearOutcomeError(
        f"{reason}; the change may be accepted: apply it again, at any node, with"
        f" --change-id {change.change_id} --base {change.base}"
    )


def _describe_refusal(status: int, value: Json) -> RefusedError:
    problem = value if isinstance(value, dict) else {}
    return RefusedError(
        status=status,
        code=str(problem.get("code", f"http_{status}")),
        detail=str(problem.get("detail", "the node gave no reason")),
        body=value,
    )
