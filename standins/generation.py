"""Pipelines that an engine drives as their first stage."""

import collections
import json
import typing

import attrs
import cattrs
import trio

from jujubepass.transport import _http_client, _http_server
from standins import engine_state, knobs, model, stages

_NDJSON = {"content-type": "application/x-ndjson"}
_MAX_RECORDED_LINES = 200


class StageFailedError(Exception):
    """Report a failed step and its engine."""

    def __init__(self, *, engine: str, detail: str) -> None:
        super().__init__(f"{engine}: {detail}")
        self.engine = engine
        self.detail = detail


@attrs.frozen(kw_only=True)
class Stage:
    """Describe one stage of a pipeline."""

    engine: str
    address: str
    first_layer: int
    end_layer: int
    kv_from: str | None = None


@attrs.frozen(kw_only=True)
class Generation:
    """Request the rest of one answer, after the tokens in `sent`."""

    request: str
    epoch: int
    model: str
    prompt: list[str]
    max_tokens: int
    stages: list[Stage]
    sent: list[str] = attrs.field(factory=list)
    priority: int = 1
    deadline_seconds: float = 60.0


@attrs.define(kw_only=True)
class Attempt:
    """Track one running attempt and its response stream."""

    generation: Generation
    responder: _http_server.Responder
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    tokens: int = 0
    was_cancelled: bool = False


class Generator:
    """Drive pipelines whose first stage is this engine."""

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        client: _http_client.Client,
        local: dict[str, stages.StageRunner],
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._client = client
        self._local = local
        self._nursery = nursery
        self._attempts: dict[str, Attempt] = {}
        self._last_lines: collections.OrderedDict[str, dict[str, typing.Any]] = (
            collections.OrderedDict()
        )

    def cancel(self, request: str, epoch: int) -> None:
        """Cancel the running attempt of a request up to an epoch."""
        attempt = self._attempts.get(request)
        if attempt is not None and attempt.generation.epoch <= epoch:
            attempt.was_cancelled = True
            attempt.scope.cancel()

    async def generate(self, body: bytes, responder: _http_server.Responder) -> None:
        """Run one attempt and stream its tokens."""
        generation = cattrs.structure(json.loads(body), Generation)
        state, first = self._state, generation.stages[0]
        state.check_admission(generation.model, first.first_layer, first.end_layer)
        state.check_epoch(generation.request, generation.epoch)
        self.cancel(generation.request, generation.epoch)
        state.counts.started += 1
        state.counts.resumed += bool(generation.sent)
        attempt = Attempt(generation=generation, responder=responder)
        self._attempts[generation.request] = attempt
        state.scopes.add(attempt.scope)
        try:
            await self._stream(attempt)
        finally:
            state.scopes.discard(attempt.scope)
            if self._attempts.get(generation.request) is attempt:
                del self._attempts[generation.request]
            self._nursery.start_soon(self._end_stages, generation)

    async def _stream(self, attempt: Attempt) -> None:
        generation, responder = attempt.generation, attempt.responder
        await responder.start(200, _NDJSON)
        ending: dict[str, typing.Any] | None = None
        with attempt.scope:
            try:
                with trio.fail_after(generation.deadline_seconds):
                    ending = await self._run_positions(attempt)
            except StageFailedError as error:
                ending = {"error": "stage_failed", "engine": error.engine}
                ending["detail"] = error.detail
            except trio.TooSlowError:
                ending = {"error": "deadline"}
        if attempt.was_cancelled:
            self._state.counts.cancelled += 1
            ending = {"error": "cancelled"}
        if ending is None:
            return
        line = {"request": generation.request, "epoch": generation.epoch, **ending}
        await responder.write(_write_line(line))
        await responder.finish()
        self._state.counts.finished += 1

    async def _run_positions(self, attempt: Attempt) -> dict[str, typing.Any] | None:
        """Run all positions; return None if the stream is to be cut short."""
        generation = attempt.generation
        context = model.Context(
            model=generation.model, prompt=generation.prompt, sent=generation.sent
        )
        blocks = model.hash_blocks(generation.model, generation.prompt)
        for position in range(len(generation.sent), generation.max_tokens):
            is_first = position == len(generation.sent)
            activation, receipts = await self._run_position(
                generation, position, context.start(), blocks if is_first else None
            )
            token = model.read_token(activation)
            if token == model.STOP_TOKEN:
                return {"end": "stop"}
            context.append(token)
            await self._write_token(attempt, position, token, receipts)
            cut_after = self._state.knobs.cut_after_tokens
            if cut_after is not None and attempt.tokens >= cut_after:
                return None
        return {"end": "length"}

    async def _run_position(
        self,
        generation: Generation,
        position: int,
        activation: int,
        blocks: list[str] | None,
    ) -> tuple[int, list[list[typing.Any]]]:
        receipts = []
        for index, stage in enumerate(generation.stages):
            next_stage = generation.stages[(index + 1) % len(generation.stages)]
            step = stages.Step(
                request=generation.request,
                epoch=generation.epoch,
                model=generation.model,
                position=position,
                context_tokens=len(generation.prompt) + position,
                activation=activation,
                first_layer=stage.first_layer,
                end_layer=stage.end_layer,
                priority=generation.priority,
                next_engine=next_stage.engine,
                blocks=blocks,
                kv_from=stage.kv_from if blocks is not None else None,
            )
            result = await self._run_step(stage, step)
            activation = result.activation
            receipts.append(result.receipt)
            if len(generation.stages) > 1:
                await trio.sleep(result.link_seconds)
        return activation, receipts

    async def _run_step(self, stage: Stage, step: stages.Step) -> stages.StepResult:
        try:
            with trio.fail_after(self._state.knobs.stage_timeout_seconds):
                runner = self._local.get(stage.address)
                if runner is not None:
                    return await runner.run(step)
                return await self._post_step(stage, step)
        except engine_state.WorkRefusedError as error:
            raise StageFailedError(engine=stage.engine, detail=error.reason) from error
        except trio.TooSlowError as error:
            raise StageFailedError(engine=stage.engine, detail="timeout") from error

    async def _post_step(self, stage: Stage, step: stages.Step) -> stages.StepResult:
        try:
            answer = await self._client.request(
                "POST",
                _http_client.parse_address(stage.address),
                "/stage",
                body=json.dumps(attrs.asdict(step)).encode(),
                timeout_seconds=self._state.knobs.stage_timeout_seconds,
            )
            reply = answer.read_json()
        except (_http_client.ClientError, ValueError) as error:
            raise StageFailedError(engine=stage.engine, detail=str(error)) from error
        if answer.status != 200:
            raise StageFailedError(engine=stage.engine, detail=str(reply.get("error")))
        return stages.StepResult(**reply)

    async def _end_stages(self, generation: Generation) -> None:
        body = {"request": generation.request, "epoch": generation.epoch}
        for stage in generation.stages:
            runner = self._local.get(stage.address)
            if runner is not None:
                runner.end(generation.request, generation.epoch)
                continue
            try:
                await self._client.request(
                    "POST",
                    _http_client.parse_address(stage.address),
                    "/stage/end",
                    body=json.dumps(body).encode(),
                    timeout_seconds=self._state.knobs.stage_timeout_seconds,
                )
            except (_http_client.ClientError, ValueError):
                continue

    async def _write_token(
        self,
        attempt: Attempt,
        position: int,
        token: str,
        receipts: list[list[typing.Any]],
    ) -> None:
        generation = attempt.generation
        line = {
            "request": generation.request,
            "epoch": generation.epoch,
            "position": position,
            "token": token,
            "receipts": receipts,
        }
        lines = [*self._make_foreign_lines(generation, line), line]
        if self._draw_fault("duplicate_tokens"):
            lines.append(line)
        self._last_lines[generation.request] = line
        self._last_lines.move_to_end(generation.request)
        if len(self._last_lines) > _MAX_RECORDED_LINES:
            self._last_lines.popitem(last=False)
        await self._state.wait_unfrozen()
        await attempt.responder.write(b"".join(_write_line(each) for each in lines))
        attempt.tokens += 1
        self._state.counts.tokens += 1

    def _make_foreign_lines(
        self, generation: Generation, line: dict[str, typing.Any]
    ) -> list[dict[str, typing.Any]]:
        foreign = []
        if generation.epoch > 1 and self._draw_fault("late_tokens"):
            foreign.append({**line, "epoch": generation.epoch - 1, "token": "late"})
        if self._draw_fault("cross_streams"):
            others = [k for k in reversed(self._last_lines) if k != generation.request]
            crossed = {**line, "request": "crossed", "token": "crossed"}
            foreign.append(self._last_lines[others[0]] if others else crossed)
        return foreign

    def _draw_fault(self, knob: str) -> bool:
        knob_value = getattr(self._state.knobs, knob)
        happens, knob_value = knobs.draw_fault(knob_value, self._state.random.random())
        setattr(self._state.knobs, knob, knob_value)
        return happens


def _write_line(line: dict[str, typing.Any]) -> bytes:
    return json.dumps(line).encode() + b"\n"
