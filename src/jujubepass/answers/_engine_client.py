"""HTTP client of the engines: attempts, cancels, load and cache events."""

import collections.abc
import json
import typing

import attrs
import trio

from jujubepass import _decoding, ids
from jujubepass.answers import _answer_messages
from jujubepass.backends import _backend_messages
from jujubepass.transport import _http_client

_OK = 200
_CONFLICT = 409
_POLL_TIMEOUT_SECONDS = 2.0
_CANCEL_TIMEOUT_SECONDS = 2.0
# A line has one token.
_MAX_LINE_BYTES = 262_144
_STAGE_FAILED = "stage_failed"
_STAGE_REFUSALS = {
    "full": _answer_messages.AttemptFault.FULL,
    "leaving": _answer_messages.AttemptFault.LEAVING,
    "not_loaded": _answer_messages.AttemptFault.REFUSED,
    "old_epoch": _answer_messages.AttemptFault.OLD_EPOCH,
}

Post = collections.abc.Callable[[typing.Any], None]


@attrs.define(kw_only=True)
class EngineClient:
    """Execute commands at engines and post the resulting events."""

    client: _http_client.Client
    post: Post
    _scopes: dict[tuple[ids.RequestId, ids.Epoch], trio.CancelScope] = attrs.field(
        factory=dict, init=False
    )

    async def run_attempt(self, command: _answer_messages.StartAttempt) -> None:
        """Run an attempt and post its tokens and its outcome."""
        key = (command.request, command.epoch)
        with trio.CancelScope() as scope:
            self._scopes[key] = scope
            try:
                await self._run_attempt(command)
            finally:
                del self._scopes[key]

    async def _run_attempt(self, command: _answer_messages.StartAttempt) -> None:
        first = command.stages[0]
        body = json.dumps(_encode_attempt(command)).encode()
        try:
            opened = self.client.open(
                "POST", first.address, "/generate", body=body, fresh=True
            )
            async with opened as answer:
                if answer.status != _OK:
                    await self._post_refusal(command, answer)
                    return
                await self._post_lines(command, answer)
        except _http_client.NotSentError as error:
            fault = _answer_messages.AttemptFault.NOT_CONNECTED
            self._post_failure(command, fault, first.engine, str(error))
        except _http_client.ClientError as error:
            fault = _answer_messages.AttemptFault.STREAM_CUT
            self._post_failure(command, fault, first.engine, str(error))

    async def _post_refusal(
        self,
        command: _answer_messages.StartAttempt,
        answer: _http_client.StreamedAnswer,
    ) -> None:
        body = await answer.receive()
        fault = _answer_messages.AttemptFault.OLD_EPOCH
        if answer.status != _CONFLICT:
            fault = _classify_refusal(body.decode(errors="replace"))
        self._post_failure(
            command,
            fault,
            command.stages[0].engine,
            f"engine answered {answer.status}",
            _parse_seconds(answer.headers.get("retry-after", "0")),
        )

    async def _post_lines(
        self,
        command: _answer_messages.StartAttempt,
        answer: _http_client.StreamedAnswer,
    ) -> None:
        incomplete_line = b""
        while data := await answer.receive():
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
            if len(incomplete_line) > _MAX_LINE_BYTES:
                raise _http_client.InterruptedAnswerError(
                    f"token line exceeds {_MAX_LINE_BYTES} bytes"
                )
            try:
                records = [json.loads(line) for line in lines if line]
                ended = self._post_records(command, records)
            except _decoding.MALFORMED_ERRORS as error:
                raise _http_client.InterruptedAnswerError(
                    f"malformed token line: {error}"
                ) from error
            if ended:
                return
        raise _http_client.InterruptedAnswerError("stream ended without an end line")

    def _post_records(
        self,
        command: _answer_messages.StartAttempt,
        records: collections.abc.Sequence[dict[str, typing.Any]],
    ) -> bool:
        tokens = tuple(_decode_token(record) for record in records if "token" in record)
        if tokens:
            self.post(
                _answer_messages.TokensArrived(
                    request=command.request,
                    attempt_epoch=command.epoch,
                    tokens=tokens,
                )
            )
        for record in records:
            if record["request"] != command.request:
                continue
            if "end" in record and record["epoch"] == command.epoch:
                self.post(
                    _answer_messages.AttemptEnded(
                        request=command.request,
                        epoch=command.epoch,
                        end=_answer_messages.AnswerEnd(record["end"]),
                    )
                )
                return True
            if "error" in record and record["epoch"] == command.epoch:
                self._post_error(command, record)
                return True
        return False

    def _post_error(
        self,
        command: _answer_messages.StartAttempt,
        record: dict[str, typing.Any],
    ) -> None:
        detail = str(record.get("detail", record["error"]))
        if record["error"] != _STAGE_FAILED:
            fault = _answer_messages.AttemptFault.STREAM_CUT
            self._post_failure(command, fault, command.stages[0].engine, detail)
            return
        fault = _STAGE_REFUSALS.get(detail, _answer_messages.AttemptFault.STAGE_FAILED)
        engine = ids.BackendServerId(record["engine"])
        self._post_failure(command, fault, engine, detail)

    def _post_failure(
        self,
        command: _answer_messages.StartAttempt,
        fault: _answer_messages.AttemptFault,
        engine: ids.BackendServerId,
        detail: str,
        retry_after_seconds: float = 0.0,
    ) -> None:
        self.post(
            _answer_messages.AttemptFailed(
                request=command.request,
                epoch=command.epoch,
                fault=fault,
                engine=engine,
                detail=detail,
                retry_after_seconds=retry_after_seconds,
            )
        )

    async def cancel_attempt(self, command: _answer_messages.CancelAttempt) -> None:
        """Stop reading an attempt's stream and cancel it at its engines."""
        scope = self._scopes.get((command.request, command.epoch))
        if scope is not None:
            scope.cancel()
        body = {"request": command.request, "epoch": command.epoch}
        await self._post_to_stages(command.stages, "/cancel", body)

    async def release_cache(self, command: _answer_messages.ReleaseCache) -> None:
        """Release the KV cache of a request at its engines."""
        await self._post_to_stages(
            command.stages, "/kv/release", {"request": command.request}
        )

    async def _post_to_stages(
        self,
        stages: collections.abc.Iterable[_answer_messages.Stage],
        path: str,
        body: object,
    ) -> None:
        data = json.dumps(body).encode()
        async with trio.open_nursery() as nursery:
            for stage in stages:
                nursery.start_soon(self._post_to_stage, stage.address, path, data)

    async def _post_to_stage(
        self, address: _http_client.Address, path: str, data: bytes
    ) -> None:
        try:
            await self.client.request(
                "POST",
                address,
                path,
                body=data,
                timeout_seconds=_CANCEL_TIMEOUT_SECONDS,
            )
        except _http_client.ClientError:
            # Best effort: the engine drops the work by its epoch or when the stream
            # closes.
            return

    async def poll_load(self, command: _backend_messages.PollLoad) -> None:
        """Read an engine's load report and post it."""
        await self._read_load(command.engine, command.address, _POLL_TIMEOUT_SECONDS)

    async def probe_engine(self, command: _answer_messages.ProbeEngine) -> None:
        """Read an engine's load with a short time-out; post it and the result."""
        answered = await self._read_load(
            command.engine, command.address, command.timeout_seconds
        )
        self.post(
            _answer_messages.EngineProbed(engine=command.engine, answered=answered)
        )

    async def _read_load(
        self,
        engine: ids.BackendServerId,
        address: _http_client.Address,
        timeout_seconds: float,
    ) -> bool:
        try:
            answer = await self.client.request(
                "GET", address, "/load", timeout_seconds=timeout_seconds
            )
            report = _decode_load(engine, answer.read_json())
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS) as error:
            self.post(
                _backend_messages.LoadUnanswered(engine=engine, detail=str(error))
            )
            return False
        self.post(_backend_messages.LoadReported(report=report))
        return True

    async def poll_cache(self, command: _backend_messages.PollCache) -> None:
        """Read an engine's cache events and post them."""
        path = f"/cache/events?after={command.after}"
        try:
            answer = await self.client.request(
                "GET", command.address, path, timeout_seconds=_POLL_TIMEOUT_SECONDS
            )
            payload = answer.read_json()
            events = tuple(
                _backend_messages.CacheEvent(
                    sequence=event["seq"],
                    stored=event["kind"] == "stored",
                    prefix=event["prefix"],
                )
                for event in payload["events"]
            )
            next_sequence = int(payload["next"])
        except (_http_client.ClientError, *_decoding.MALFORMED_ERRORS):
            # The load poll detects engines that do not answer.
            return
        if events:
            self.post(
                _backend_messages.CacheEventsReported(
                    engine=command.engine, events=events, next_sequence=next_sequence
                )
            )


def _encode_attempt(command: _answer_messages.StartAttempt) -> dict[str, typing.Any]:
    stages = [
        {
            "engine": stage.engine,
            "address": str(stage.address),
            "first_layer": stage.first_layer,
            "end_layer": stage.end_layer,
            "kv_from": str(stage.kv_from) if stage.kv_from else None,
        }
        for stage in command.stages
    ]
    return {
        "request": command.request,
        "epoch": command.epoch,
        "model": command.model,
        "prompt": command.prompt,
        "sent": command.sent,
        "max_tokens": command.max_tokens,
        "priority": command.priority,
        "deadline_seconds": command.deadline_seconds,
        "stages": stages,
    }


def _decode_token(record: dict[str, typing.Any]) -> _answer_messages.Token:
    return _answer_messages.Token(
        request=record["request"],
        epoch=record["epoch"],
        position=record["position"],
        text=record["token"],
        receipts=tuple(map(tuple, record["receipts"])),
    )


def _decode_load(
    engine: ids.BackendServerId, payload: dict[str, typing.Any]
) -> _backend_messages.LoadReport:
    return _backend_messages.LoadReport(
        engine=engine,
        incarnation=str(payload["incarnation"]),
        model=ids.ModelId(payload["model"]),
        version=str(payload["version"]),
        first_layer=int(payload["first_layer"]),
        end_layer=int(payload["end_layer"]),
        accelerator=payload["accelerator"],
        running=int(payload["running"]),
        waiting=int(payload["waiting"]),
        max_batch=max(1, int(payload["max_batch"])),
        step_seconds=float(payload["step_seconds"]),
        prefill_tokens_per_second=float(payload["prefill_tokens_per_second"]),
        kv_free_tokens=int(payload["kv_free_tokens"]),
        leaving=bool(payload["leaving"]),
        age_seconds=float(payload["as_of_seconds_ago"]),
        link_seconds={k: float(v) for k, v in payload["links"].items()},
    )


def _classify_refusal(body: str) -> _answer_messages.AttemptFault:
    for detail, fault in _STAGE_REFUSALS.items():
        if f'"{detail}"' in body:
            return fault
    return _answer_messages.AttemptFault.REFUSED


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
