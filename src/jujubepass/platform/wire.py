"""Translates callers' requests and backend servers' answers."""

import uuid

import attrs

from jujubepass import ids
from jujubepass.forwarding import exchange, pipelines
from jujubepass.platform import headers
from jujubepass.transport import _http_client, _http_server

_HOP_BY_HOP = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "te", "trailer"),
        *("transfer-encoding", "upgrade", "expect", "content-length"),
        *("proxy-authenticate", "proxy-authorization"),
    )
)
_SET_BY_NODE = frozenset(
    (
        *(headers.KEY, headers.ACCOUNT, headers.PATIENCE, headers.EXPECTED_BACKEND),
        *(headers.PRIORITY, headers.PATH, headers.RESUME_AFTER),
    )
)
_LAST_PRIORITY = 9
_MISDIRECTED = 421
# A caller takes these as a promise that the request has not run.
_PROMISES = frozenset((408, _MISDIRECTED, 429, 503))
_NOT_RUN_STATUSES = frozenset((400, 429, 503))
_FIRST_FAILURE = 300


@attrs.frozen(kw_only=True)
class HttpWire:
    """Translate by the platform's header fields."""

    def read_request(
        self, request: _http_server.Request, now: float
    ) -> exchange.CallerRequest:
        """Read a caller's request."""
        given = request.headers
        request_id = given.get(headers.REQUEST) or f"none-{uuid.uuid4().hex}"
        return exchange.CallerRequest(
            request_id=ids.RequestId(request_id),
            host=given.get("host", ""),
            method=request.method,
            target=request.path,
            key=given.get(headers.KEY),
            arrived_at=now,
            timeout_seconds=_read_milliseconds(given.get(headers.PATIENCE)),
            resume_after=given.get(headers.RESUME_AFTER),
            max_answer_tokens=_read_answer_tokens(given.get(headers.SIZE)),
            fields=_drop(request.fields, _HOP_BY_HOP | _SET_BY_NODE),
            body=request.body,
        )

    def write_request(
        self, request: exchange.CallerRequest, attempt: exchange.Attempt
    ) -> exchange.Fields:
        """Return the header fields of a request to a backend server."""
        left = max(1, int(attempt.remaining_seconds * 1_000))
        fields = [
            *request.fields,
            (headers.PATIENCE, str(left)),
            (headers.EXPECTED_BACKEND, attempt.backend),
            (headers.PRIORITY, str(min(_LAST_PRIORITY, max(0, attempt.priority)))),
        ]
        if attempt.account is not None:
            fields.append((headers.ACCOUNT, attempt.account))
        resume_after = attempt.resume_after or request.resume_after
        if resume_after is not None:
            fields.append((headers.RESUME_AFTER, resume_after))
        if attempt.pipeline is not None:
            fields.append((headers.PATH, write_path(attempt.pipeline)))
        return fields

    def read_answer(
        self, request: exchange.CallerRequest, status: int, fields: exchange.Fields
    ) -> exchange.AnswerHead:
        """Read the start of a backend server's answer."""
        given = dict(fields)
        at_fault = given.get(headers.AT_FAULT)
        return exchange.AnswerHead(
            kind=_read_kind(request, status, given),
            status=status,
            fields=_drop(fields, _HOP_BY_HOP),
            at_fault=_parse_address(at_fault) if at_fault else None,
        )

    def write_refusal(self, request: exchange.CallerRequest) -> exchange.Fields:
        """Return the header fields that the node's own answers carry."""
        return ((headers.REQUEST, request.request_id),)


def write_path(pipeline: pipelines.Pipeline) -> str:
    """Write a path as a list of engines with their layers."""
    return ",".join(f"{stage.address}={stage.span}" for stage in pipeline.stages)


def _read_kind(
    request: exchange.CallerRequest, status: int, given: dict[str, str]
) -> exchange.AnswerKind:
    echo = given.get(headers.REQUEST)
    if echo is not None and echo != request.request_id:
        return exchange.AnswerKind.MISMATCHED
    if status == _MISDIRECTED:
        return exchange.AnswerKind.NOT_RUN
    if headers.NOT_RUN in given and status in _NOT_RUN_STATUSES:
        return exchange.AnswerKind.NOT_RUN
    if status in _PROMISES:
        return exchange.AnswerKind.UNVERIFIED
    if status < _FIRST_FAILURE:
        proven = headers.PROOF in given and "content-encoding" not in given
        if not proven or echo is None:
            return exchange.AnswerKind.UNVERIFIED
    return exchange.AnswerKind.RAN


def _drop(fields: exchange.Fields, names: frozenset[str]) -> exchange.Fields:
    """Leave out fields, and those that concern one connection alone."""
    named = {
        name.strip().lower()
        for field, value in fields
        if field == "connection"
        for name in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name not in names and name not in named
    )


def _read_milliseconds(text: str | None) -> float | None:
    """Return seconds, or None when nothing or no number was given."""
    if text is None or not text.isdigit():
        return None
    return int(text) / 1_000.0


def _read_answer_tokens(text: str | None) -> int:
    """Return the second of two numbers; 0 when there is none."""
    number = (text or "").partition(",")[2].strip()
    return int(number) if number.isdigit() else 0


def _parse_address(text: str) -> _http_client.Address | None:
    try:
        return _http_client.parse_address(text)
    except ValueError:
        return None
