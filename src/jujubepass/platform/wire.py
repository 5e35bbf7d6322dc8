"""Translation of requests and answers to and from the platform's header fields."""

import collections.abc
import logging
import math
import re
import uuid

import attrs

from jujubepass import _decoding, ids
from jujubepass.forwarding import exchange, pipelines
from jujubepass.platform import headers
from jujubepass.transport import _http_client, _http_server

_LOGGER = logging.getLogger(__name__)

_HOP_BY_HOP_FIELDS = frozenset(
    (
        *("connection", "keep-alive", "proxy-connection", "te", "trailer"),
        *("transfer-encoding", "upgrade", "expect", "content-length"),
        *("proxy-authenticate", "proxy-authorization"),
    )
)
_FIELDS_SET_BY_NODE = frozenset(
    (
        *(
            headers.ACCOUNT_KEY,
            headers.ACCOUNT,
            headers.TIMEOUT,
            headers.EXPECTED_BACKEND,
        ),
        *(headers.PRIORITY, headers.PIPELINE, headers.RESUME_AFTER),
    )
)
_MAX_PRIORITY = 9
_MISDIRECTED = 421
_UNAVAILABLE = 503
# A caller concludes from these statuses that the request has not run.
_NOT_RUN_STATUSES_FOR_CALLERS = frozenset((408, _MISDIRECTED, 429, 503))
_NOT_RUN_STATUSES = frozenset((400, 429, 503))
_MIN_NON_SUCCESS_STATUS = 300
# Only the size of the header limits the number of decimals.
_REQUEST_LIMIT = re.compile(r"[0-9]{1,12}(\.[0-9]+)?", re.ASCII)
_MAX_LOGGED_LENGTH = 80


@attrs.frozen(kw_only=True)
class HttpWire:
    """Translate requests and answers with the platform's header fields."""

    def read_request(
        self, request: _http_server.Request, now: float
    ) -> exchange.CallerRequest:
        """Parse a caller's request."""
        headers_by_name = request.headers
        request_id = (
            headers_by_name.get(headers.REQUEST_ID) or f"none-{uuid.uuid4().hex}"
        )
        return exchange.CallerRequest(
            request_id=ids.RequestId(request_id),
            host=headers_by_name.get("host", ""),
            method=request.method,
            target=request.path,
            key=headers_by_name.get(headers.ACCOUNT_KEY),
            arrived_at=now,
            timeout_seconds=_parse_milliseconds(headers_by_name.get(headers.TIMEOUT)),
            resume_after=headers_by_name.get(headers.RESUME_AFTER),
            max_answer_tokens=_parse_max_answer_tokens(
                headers_by_name.get(headers.TOKEN_COUNTS)
            ),
            fields=_remove_fields(
                request.fields, _HOP_BY_HOP_FIELDS | _FIELDS_SET_BY_NODE
            ),
            body=request.body,
            prompt_parts=_parse_prompt_parts(
                headers_by_name.get(headers.PROMPT_PREFIX)
            ),
        )

    def write_request(
        self, request: exchange.CallerRequest, attempt: exchange.Attempt
    ) -> exchange.Fields:
        """Return the header fields of a request to a backend server."""
        remaining_milliseconds = max(1, int(attempt.remaining_seconds * 1_000))
        fields = [
            *request.fields,
            (headers.TIMEOUT, str(remaining_milliseconds)),
            (headers.EXPECTED_BACKEND, attempt.backend),
            (headers.PRIORITY, str(min(_MAX_PRIORITY, max(0, attempt.priority)))),
        ]
        if attempt.account is not None:
            fields.append((headers.ACCOUNT, attempt.account))
        resume_after = attempt.resume_after or request.resume_after
        if resume_after is not None:
            fields.append((headers.RESUME_AFTER, resume_after))
        if attempt.pipeline is not None:
            fields.append((headers.PIPELINE, format_pipeline(attempt.pipeline)))
        return fields

    def read_answer(
        self,
        request: exchange.CallerRequest,
        status: int,
        fields: exchange.Fields,
        *,
        is_first: bool,
    ) -> exchange.AnswerHead:
        """Parse and classify the start of a backend server's answer."""
        headers_by_name = dict(fields)
        at_fault = headers_by_name.get(headers.AT_FAULT)
        kind = _classify_answer(request, status, headers_by_name, is_first=is_first)
        return exchange.AnswerHead(
            kind=kind,
            status=status,
            fields=_remove_fields(fields, _HOP_BY_HOP_FIELDS),
            at_fault=_parse_address(at_fault) if at_fault else None,
            is_leaving=read_leaving(status, headers_by_name),
            retry_after_seconds=_read_retry_after(status, headers_by_name),
            limit=read_request_limit(
                status, fields, is_run=kind is exchange.AnswerKind.RAN
            ),
        )

    def write_refusal(self, request: exchange.CallerRequest) -> exchange.Fields:
        """Return the header fields of an answer that the node produces itself."""
        return ((headers.REQUEST_ID, request.request_id),)


def read_leaving(
    status: int, headers_by_name: collections.abc.Mapping[str, str]
) -> bool:
    """Return whether the server that answers is leaving."""
    # Another server than the expected one answers with this status.
    return status != _MISDIRECTED and headers_by_name.get(headers.LEAVING) == "1"


def read_request_limit(
    status: int, fields: exchange.Fields, *, is_run: bool
) -> exchange.RequestLimit | None:
    """Parse the request limit that an answer names.

    Only an answer to a request that ran tells that there is none.
    """
    if status == _MISDIRECTED:
        return None
    texts = [value for name, value in fields if name == headers.REQUEST_LIMIT]
    if not texts:
        return exchange.RequestLimit(requests_per_second=math.inf) if is_run else None
    text = ", ".join(texts)
    is_valid = _REQUEST_LIMIT.fullmatch(text) is not None
    return exchange.RequestLimit(
        requests_per_second=float(text) if is_valid else None,
        text=text[:_MAX_LOGGED_LENGTH],
    )


def _read_retry_after(
    status: int, headers_by_name: collections.abc.Mapping[str, str]
) -> float | None:
    """Parse the seconds for which the server wants no requests, if it refused one."""
    text = headers_by_name.get(headers.RETRY_AFTER)
    if status != _UNAVAILABLE or text is None:
        return None
    try:
        return float(text)
    except ValueError:
        _LOGGER.warning(
            "unreadable retry time of a backend server", extra={"text": text[:80]}
        )
        return None


def format_pipeline(pipeline: pipelines.Pipeline) -> str:
    """Format a pipeline as a list of engine addresses with their spans."""
    return ",".join(f"{stage.address}={stage.span}" for stage in pipeline.stages)


def _classify_answer(
    request: exchange.CallerRequest,
    status: int,
    headers_by_name: dict[str, str],
    *,
    is_first: bool,
) -> exchange.AnswerKind:
    echoed_request_id = headers_by_name.get(headers.REQUEST_ID)
    if echoed_request_id is None and not is_first:
        # It may be an answer to an earlier request on the connection that came late.
        return exchange.AnswerKind.MISMATCHED
    if echoed_request_id is not None and echoed_request_id != request.request_id:
        return exchange.AnswerKind.MISMATCHED
    if status == _MISDIRECTED:
        return exchange.AnswerKind.NOT_RUN
    if headers.NOT_RUN in headers_by_name and status in _NOT_RUN_STATUSES:
        return exchange.AnswerKind.NOT_RUN
    if status in _NOT_RUN_STATUSES_FOR_CALLERS:
        return exchange.AnswerKind.UNVERIFIED
    if status < _MIN_NON_SUCCESS_STATUS:
        verified = (
            headers.SEAL in headers_by_name
            and "content-encoding" not in headers_by_name
        )
        if not verified or echoed_request_id is None:
            return exchange.AnswerKind.UNVERIFIED
    return exchange.AnswerKind.RAN


def _remove_fields(fields: exchange.Fields, names: frozenset[str]) -> exchange.Fields:
    """Remove the named header fields and those that the connection field lists."""
    connection_fields = {
        name.strip().lower()
        for field, value in fields
        if field == "connection"
        for name in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name not in names and name not in connection_fields
    )


def _parse_milliseconds(text: str | None) -> float | None:
    """Parse milliseconds into seconds; None if the text is missing or not a number."""
    milliseconds = _decoding.parse_digits(text)
    return None if milliseconds is None else milliseconds / 1_000.0


def _parse_max_answer_tokens(text: str | None) -> int:
    """Return the number after the comma; 0 if there is none."""
    return _decoding.parse_digits((text or "").partition(",")[2].strip()) or 0


def _parse_prompt_parts(text: str | None) -> tuple[ids.PromptPartId, ...]:
    """Return the parts of a prompt but the last.

    A malformed entry stands for a part as well: engines may read it, and crash on it.
    Only the size of the header limits the number of parts and the length of a name.
    """
    found = []
    for entry in (text or "").split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if not tokens.strip().isdigit():
            name = entry.partition(":")[0].strip()
        if name:
            found.append(ids.PromptPartId(name))
    return tuple(found[:-1])


def _parse_address(text: str) -> _http_client.Address | None:
    try:
        return _http_client.parse_address(text)
    except ValueError:
        return None
