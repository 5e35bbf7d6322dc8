"""Checks of what callers send."""

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
_ALLOWED_KEY = f"1 to {_MAX_KEY_CHARACTERS} printable characters, new for each call"
_MAX_PROMPT_WORDS = 100_000
_BEARER = "Bearer "
_OUTCOMES = "outcomes"


@attrs.frozen(kw_only=True)
class CallerInputError(Exception):
    """Report input that a caller must mend."""

    reason: reasons.RefusalReason
    detail: str


@attrs.frozen(kw_only=True)
class ModelInput:
    """Hold a checked model request."""

    event: _answer_messages.PromptArrived
    stream: bool


def find_account(
    request: _http_server.Request, declared: declarations.Declarations
) -> declarations.Account:
    """Find the client account that holds the request's key."""
    authorization = request.headers.get("authorization", "")
    if not authorization.startswith(_BEARER):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_ACCOUNT,
            detail="Send the account's key as 'Authorization: Bearer KEY'.",
        )
    key = authorization.removeprefix(_BEARER).strip()
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
    """Check a completion or chat request."""
    fields = _read_object(request.body)
    model = ids.ModelId(str(fields.get("model", "")))
    if model not in declared.models or not account.may_use_model(model):
        raise CallerInputError(
            reason=reasons.RefusalReason.UNKNOWN_MODEL,
            detail=f"{model!r} is no model of this account.",
        )
    max_tokens = fields.get("max_tokens", min(_DEFAULT_MAX_TOKENS, account.max_tokens))
    if type(max_tokens) is not int or not 1 <= max_tokens <= account.max_tokens:
        raise _malformed(f"max_tokens must be 1 to {account.max_tokens}.")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise _malformed("stream must be true or false.")
    event = _answer_messages.PromptArrived(
        request=request_id,
        account=account.name,
        model=model,
        prompt=_read_prompt(fields),
        max_tokens=max_tokens,
        priority=account.priority,
        deadline=now + _read_timeout(request),
    )
    return ModelInput(event=event, stream=stream)


def read_call(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
    request_id: ids.RequestId,
    now: float,
) -> _call_messages.CallArrived:
    """Check a call that may not be repeated."""
    service, path = _read_service(request, account, declared)
    key = request.headers.get("idempotency-key", "")
    if not key:
        raise CallerInputError(
            reason=reasons.RefusalReason.MISSING_IDEMPOTENCY_KEY,
            detail=f"Send an Idempotency-Key of {_ALLOWED_KEY}.",
        )
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        raise CallerInputError(
            reason=reasons.RefusalReason.INVALID_IDEMPOTENCY_KEY,
            detail=(
                f"The Idempotency-Key has {len(key)} characters."
                f" Send one of {_ALLOWED_KEY}."
            ),
        )
    try:
        body = request.body.decode()
    except UnicodeDecodeError as error:
        raise _malformed("The body must be UTF-8 text.") from error
    digest = hashlib.sha256(f"{service}\n{path}\n{body}".encode()).hexdigest()
    return _call_messages.CallArrived(
        request=request_id,
        account=account.name,
        service=service,
        key=ids.IdempotencyKey(key),
        path=path,
        body=body,
        body_digest=digest,
        deadline=now + _read_timeout(request),
    )


def read_lookup(
    request: _http_server.Request,
    account: declarations.Account,
    declared: declarations.Declarations,
    request_id: ids.RequestId,
    now: float,
) -> _call_messages.LookupArrived:
    """Check an idempotent call."""
    service, path = _read_service(request, account, declared)
    return _call_messages.LookupArrived(
        request=request_id,
        account=account.name,
        service=service,
        path=path,
        deadline=now + _read_timeout(request),
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
    """Keep callers from the interface that services offer to the node alone."""
    parts = urllib.parse.unquote(path.partition("?")[0]).split("/")[1:]
    if parts[0] == _OUTCOMES or "." in parts or ".." in parts or "" in parts[:-1]:
        raise _malformed(
            f"A service's path must not start with /{_OUTCOMES}, nor hold empty"
            " parts, '.' or '..'."
        )


def _read_object(body: bytes) -> dict[str, typing.Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _malformed(f"The body is not JSON: {error}.") from error
    if not isinstance(value, dict):
        raise _malformed("The body must be a JSON object.")
    return value


def _read_prompt(fields: collections.abc.Mapping[str, typing.Any]) -> tuple[str, ...]:
    text = fields.get("prompt")
    if "messages" in fields:
        text = _join_messages(fields["messages"])
    if not isinstance(text, str) or not text.strip():
        raise _malformed("Send a prompt (text) or messages (a list of role, content).")
    if not _is_unicode(text):
        raise _malformed("The prompt holds half a surrogate pair. Send valid Unicode.")
    words = tuple(text.split())
    if len(words) > _MAX_PROMPT_WORDS:
        raise _malformed(f"The prompt is over {_MAX_PROMPT_WORDS} words.")
    return words


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _join_messages(messages: typing.Any) -> str:
    if not isinstance(messages, list):
        raise _malformed("messages must be a list.")
    parts = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str) or not isinstance(message.get("role"), str):
            raise _malformed("Each message needs a role and a content, both text.")
        parts.append(f"{message['role']}: {content}")
    return " ".join(parts)


def _read_timeout(request: _http_server.Request) -> float:
    text = request.headers.get("request-timeout")
    if text is None:
        return _DEFAULT_TIMEOUT_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise _malformed(
            f"Request-Timeout must be over 0 and up to {_MAX_TIMEOUT_SECONDS:g} s."
        )
    return seconds


def _malformed(detail: str) -> CallerInputError:
    return CallerInputError(
        reason=reasons.RefusalReason.MALFORMED_REQUEST, detail=detail
    )
