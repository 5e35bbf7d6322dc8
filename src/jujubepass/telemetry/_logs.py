"""Logging setup: JSON or plain lines with request ids and redacted secrets."""

import collections.abc
import contextlib
import contextvars
import json
import logging
import re
import sys
import time
import typing

import pythonjsonlogger.json

from jujubepass import ids, settings

_FIELDS = ("request", "account", "attempt")
_NO_FIELDS: collections.abc.Mapping[str, str] = {}
_CONTEXT: contextvars.ContextVar[collections.abc.Mapping[str, str]] = (
    contextvars.ContextVar("jujubepass_log_fields", default=_NO_FIELDS)
)
_REDACTED = "[redacted]"
_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_SECRET_NAMES = frozenset(
    ("authorization", "api_key", "peer_key", "operator_key", "operator_key_hash")
)
_SECRET_TEXT = re.compile(
    r"""(?ix)
    (\b(?:bearer|basic)\s+)[^\s,;'"\\]+
    | (\b(?:authorization|x-api-key|api[_-]?key|peer_key|operator_key(?:_hash)?)
       ['"]?\s*[:=]\s*['"]?)(?!\s*(?:bearer|basic)\b)[^\s,;'"\\]+
    """
)


@contextlib.contextmanager
def bind_fields(
    *,
    request: ids.RequestId | None = None,
    account: ids.AccountId | None = None,
    attempt: ids.AttemptId | None = None,
) -> collections.abc.Iterator[None]:
    """Add ids to every line logged inside the block, also by tasks it starts."""
    ids_by_field = {"request": request, "account": account, "attempt": attempt}
    added = {name: value for name, value in ids_by_field.items() if value is not None}
    token = _CONTEXT.set({**_CONTEXT.get(), **added})
    try:
        yield
    finally:
        _CONTEXT.reset(token)


def redact(text: str) -> str:
    """Redact authorization values and keys in a text."""
    return _SECRET_TEXT.sub(_redact_value, text)


def set_up(
    log: settings.Log,
    secrets: collections.abc.Iterable[str] = (),
    handler: logging.Handler | None = None,
) -> None:
    """Send all logs to a handler, or standard error, with `secrets` redacted."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.addFilter(_ContextFilter())
    formatter: logging.Formatter
    if log.format is settings.LogFormat.JSON:
        formatter = pythonjsonlogger.json.JsonFormatter(
            _FORMAT, rename_fields={"asctime": "time", "levelname": "level"}
        )
    else:
        formatter = _PlainFormatter(_FORMAT)
    formatter.converter = time.gmtime
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03dZ"
    handler.setFormatter(_RedactingFormatter(formatter=formatter, secrets=secrets))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(log.level)


def set_level(level: settings.LogLevel) -> None:
    """Set the lowest level that is logged."""
    logging.getLogger().setLevel(level.value.upper())


class _ContextFilter(logging.Filter):
    """Add the bound ids to each record; values in `extra` take precedence."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the ids, redact secret fields and accept the record."""
        for name, value in _CONTEXT.get().items():
            if not hasattr(record, name):
                setattr(record, name, value)
        for name in _SECRET_NAMES & record.__dict__.keys():
            setattr(record, name, _REDACTED)
        return True


class _PlainFormatter(logging.Formatter):
    """Append the ids to the message."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Format the record as one line, with line breaks escaped."""
        record.message = record.message.replace("\n", "\\n")
        shown = [
            f"{name}={getattr(record, name)}"
            for name in _FIELDS
            if hasattr(record, name)
        ]
        return " ".join([super().formatMessage(record), *shown])


class _RedactingFormatter(logging.Formatter):
    """Redact secrets in the formatted line, including its traceback."""

    def __init__(
        self,
        *,
        formatter: logging.Formatter,
        secrets: collections.abc.Iterable[str],
    ) -> None:
        super().__init__()
        self._formatter = formatter
        plain = [secret for secret in secrets if secret]
        escaped = [json.dumps(secret)[1:-1] for secret in plain]
        self._secrets = tuple(dict.fromkeys(plain + escaped))

    def format(self, record: logging.LogRecord) -> str:
        """Format the record and redact the result."""
        line = self._formatter.format(record)
        for secret in self._secrets:
            line = line.replace(secret, _REDACTED)
        return redact(line)


def _redact_value(match: re.Match[str]) -> str:
    label: typing.Any = match.group(1) or match.group(2)
    return f"{label}{_REDACTED}"
