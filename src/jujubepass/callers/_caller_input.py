"""Parsing and validation of callers' requests."""

import collections.abc
import hashlib
import hmac
import json
import math
import typing
import urllib.parse

import attrs

from jujubepass import declarations, ids, reasons
from jujubepass.answers import _answer_messages
from jujubepass.calls import _call_messages
from jujubepass.transport import _http_server

_DEFAULT_MAX_TOKENS = 128
_DEFAULT_TIMEOUT_SECONDS = 60.0
_MAX_TIMEOUT_SECONDS = 600.0
_MAX_KEY_CHARACTERS = 200
_KEY_DESCRIPTION = f"1 to {_MAX_KEY_CHARACTERS} printable characters, new for each call"
_MAX_PROMPT_WORDS = 100_000
_BEARER_PREFIX = "Bearer "
_RESERVED_SEGMENT = "outcomes"


@attrs.frozen(kw_only=True)
class CallerInputError(Exception):
    """Signal an invalid request, with the reason for its refusal."""

    reason: reasons.RefusalReason
    detail: str


@attrs.frozen(kw_only=True)
class ModelInput:
    """Describe a validated model request."""

    event: _answer_messages.PromptArrived
    stream: bool


def find_account(
    request: _http_server.Request, declared: declarations.Declarations
) -> declarations.Account:
    """Return the client account that the request's key belongs to."""
    authorization = request.headers.get("authorization", "")
    if not authorization.startswith(_BEARER_PREFIX):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_ACCOUNT,
            detail="Send the account's key as 'Authorization: Bearer KEY'.",
        )
    key = authorization.removeprefix(_BEARER_PREFIX).strip()
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    account = declared.find_account_by_key_hash(key_hash)
    hashes = () if account is None else account.key_hashes
    if account is None or not any(hmac.compare_digest(h, key_hash) for h in hashes):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_ACCOUNT,
            detail="No client account has this key. Check it with your operator.",
        )
    return account


def read_model_request(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
    request_id: ids.RequestId,
    now: float,
) -> ModelInput:
    """Validate a completion or chat request."""
    fields = _read_json_object(request.body)
    model = ids.ModelId(str(fields.get("model", "")))
    if model not in declared.models or not account.may_use_model(model):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_MODEL,
            detail=f"{model!r} is no model of this account.",
        )
    max_tokens = fields.get("max_tokens", min(_DEFAULT_MAX_TOKENS, account.max_tokens))
    if type(max_tokens) is not int or not 1 <= max_tokens <= account.max_tokens:
        raise _make_malformed_error(f"max_tokens must be 1 to {account.max_tokens}.")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise _make_malformed_error("stream must be true or false.")
    event = _answer_messages.PromptArrived(
        request=request_id,
        account=account.name,
        model=model,
        prompt=_read_prompt(fields),
        max_tokens=max_tokens,
        priority=account.priority,
        deadline=now + _read_timeout_seconds(request),
    )
    return ModelInput(event=event, stream=stream)


def read_call(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
    request_id: ids.RequestId,
    now: float,
) -> _call_messages.CallArrived:
    """Validate a call that may not be repeated."""
    service, path = _read_service(request, account, declared)
    key = request.headers.get("idempotency-key", "")
    if not key:
        raise CallerInputError(
            reason=reasons.RefusalReason.MISSING_IDEMPOTENCY_KEY,
            detail=f"Send an Idempotency-Key of {_KEY_DESCRIPTION}.",
        )
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        raise CallerInputError(
            reason=reasons.RefusalReason.INVALID_IDEMPOTENCY_KEY,
            detail=(
                f"The Idempotency-Key has {len(key)} characters."
                f" Send one of {_KEY_DESCRIPTION}."
            ),
        )
    try:
        body = request.body.decode()
    except UnicodeDecodeError as error:
        raise _make_malformed_error("The body must be UTF-8 text.") from error
    digest = hashlib.sha256(f"{service}\n{path}\n{body}".encode()).hexdigest()
    return _call_messages.CallArrived(
        request=request_id,
        account=account.name,
        service=service,
        key=ids.IdempotencyKey(key),
        path=path,
        body=body,
        body_digest=digest,
        deadline=now + _read_timeout_seconds(request),
    )


def read_lookup(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
    request_id: ids.RequestId,
    now: float,
) -> _call_messages.LookupArrived:
    """Validate a lookup, which is idempotent."""
    service, path = _read_service(request, account, declared)
    return _call_messages.LookupArrived(
        request=request_id,
        account=account.name,
        service=service,
        path=path,
        deadline=now + _read_timeout_seconds(request),
    )


def _read_service(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
) -> tuple[ids.ServiceId, str]:
    _, _, name, *rest = request.path.split("/", 3)
    service = ids.ServiceId(name)
    if service not in declared.services or not account.may_use_service(service):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_SERVICE,
            detail=f"{name!r} is no service of this account.",
        )
    path = "/" + (rest[0] if rest else "")
    _check_service_path(path)
    return service, path


def _check_service_path(path: str) -> None:
    """Reject paths of the interface that services offer to nodes only."""
    segments = urllib.parse.unquote(path.partition("?")[0]).split("/")[1:]
    if (
        segments[0] == _RESERVED_SEGMENT
        or "." in segments
        or ".." in segments
        or "" in segments[:-1]
    ):
        raise _make_malformed_error(
            f"A service's path must not start with /{_RESERVED_SEGMENT}, nor hold empty"
            " parts, '.' or '..'."
        )


def _read_json_object(body: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _make_malformed_error(f"The body is not JSON: {error}.") from error
    if not isinstance(value, dict):
        raise _make_malformed_error("The body must be a JSON object.")
    return value


def _read_prompt(fields: collections.abc.Mapping[str, typing.Any]) -> tuple[str, ...]:
    text = fields.get("prompt")
    if "messages" in fields:
        text = _join_messages(fields["messages"])
    if not isinstance(text, str) or not text.strip():
        raise _make_malformed_error(
            "Send a prompt (text) or messages (a list of role, content)."
        )
    if not _is_unicode(text):
        raise _make_malformed_error(
            "The prompt holds half a surrogate pair. Send valid Unicode."
        )
    words = tuple(text.split())
    if len(words) > _MAX_PROMPT_WORDS:
        raise _make_malformed_error(f"The prompt is over {_MAX_PROMPT_WORDS} words.")
    return words


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _join_messages(messages: typing.Any) -> str:
    if not isinstance(messages, list):
        raise _make_malformed_error("messages must be a list.")
    parts = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str) or not isinstance(message.get("role"), str):
            raise _make_malformed_error(
                "Each message needs a role and a content, both text."
            )
        parts.append(f"{message['role']}: {content}")
    return " ".join(parts)


def _read_timeout_seconds(request: _http_server.Request) -> float:
    text = request.headers.get("request-timeout")
    if text is None:
        return _DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise _make_malformed_error(
            f"Request-Timeout must be over 0 and up to {_MAX_TIMEOUT_SECONDS:g} s."
        )
    return seconds


def _make_malformed_error(detail: str) -> CallerInputError:
    return CallerInputError(
        reason=reasons.RefusalReason.MALFORMED_REQUEST, detail=detail
    )
