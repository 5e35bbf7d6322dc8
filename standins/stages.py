"""Steps of one engine through its layers, with its caches."""

import typing

import attrs
import trio

from jujubepass.transport import _http_client
from standins import caches, engine_state, model

_KV_TOKENS_PER_LINK_DELAY = 256
_IMPORT_TIMEOUT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Step:
    """Request a stage to run its layers for one position.

    `context_tokens` counts the prompt and the answer before the position; `blocks`
    is set in the first step of an attempt only.
    """

    request: str
    epoch: int
    model: str
    position: int
    context_tokens: int
    activation: int
    first_layer: int
    end_layer: int
    priority: int
    next_engine: str
    blocks: list[str] | None = None
    kv_from: str | None = None


@attrs.frozen(kw_only=True)
class StepResult:
    """Result of a step; `link_seconds` is the delay to the next engine."""

    activation: int
    receipt: list[typing.Any]
    link_seconds: float


class StageRunner:
    """Run steps on one engine."""

    def __init__(
        self, *, state: engine_state.EngineState, client: _http_client.Client
    ) -> None:
        self._state = state
        self._client = client

    async def run(self, step: Step) -> StepResult:
        """Run one step.

        Raises WorkRefusedError if the engine refuses it or the step is cancelled.
        """
        state = self._state
        await state.wait_unfrozen()
        if state.knobs.down:
            raise engine_state.WorkRefusedError(reason="down")
        with trio.CancelScope() as scope:
            state.scopes.add(scope)
            try:
                return await self._run(step)
            finally:
                state.scopes.discard(scope)
        raise engine_state.WorkRefusedError(reason="cancelled")

    def end(self, request: str, epoch: int) -> None:
        """Mark the KV cache of a request inactive after the end of its attempt."""
        cache = self._state.kv.get(request)
        if cache is not None and cache.epoch <= epoch:
            cache.active = False

    async def _run(self, step: Step) -> StepResult:
        state = self._state
        state.check_epoch(step.request, step.epoch)
        if step.blocks is not None and step.first_layer != 0:
            state.check_admission(step.model, step.first_layer, step.end_layer)
        words = await self._prepare_kv(step)
        self._store_kv(step, step.context_tokens - words)
        await state.batcher.run_pass(step.priority, words)
        state.check_epoch(step.request, step.epoch)
        self._store_kv(step, step.context_tokens)
        state.counts.visits += 1
        state.counts.prefilled_words += words
        row = [step.epoch, step.first_layer, step.end_layer]
        state.record_run(step.request, [*row, step.position, step.position + 1])
        return StepResult(
            activation=model.run_layers(
                step.activation, step.first_layer, step.end_layer
            ),
            receipt=[state.name, step.first_layer, step.end_layer],
            link_seconds=state.find_link_delay(step.next_engine),
        )

    def _store_kv(self, step: Step, tokens: int) -> None:
        cache = caches.KvCache(
            tokens=tokens, epoch=step.epoch, used_at=trio.current_time(), active=True
        )
        self._state.kv.put(step.request, cache, self._state.knobs.kv_tokens)

    async def _prepare_kv(self, step: Step) -> int:
        """Use and fill the caches; return the number of words left to prefill."""
        cache = self._state.kv.get(step.request)
        covered = min(cache.tokens, step.context_tokens) if cache else 0
        if step.blocks is None:
            return _count_prefill(step.context_tokens - covered)
        self._state.counts.kv_reused += covered > 0
        if step.kv_from and step.context_tokens - covered > 1:
            covered = max(covered, await self._import_kv(step))
        prefix_words = self._state.prefixes.match(step.blocks) * model.BLOCK_WORDS
        if prefix_words > covered:
            self._state.counts.prefix_hit_words += prefix_words - covered
            covered = prefix_words
        self._state.prefixes.store(
            step.blocks,
            capacity=self._state.knobs.prefix_blocks,
            drop_probability=self._state.knobs.cache_event_drop,
            now=trio.current_time(),
        )
        return _count_prefill(step.context_tokens - covered)

    async def _import_kv(self, step: Step) -> int:
        path = f"/kv/{step.request}?first_layer={step.first_layer}"
        path += f"&end_layer={step.end_layer}"
        try:
            answer = await self._client.request(
                "GET",
                _http_client.parse_address(step.kv_from or ""),
                path,
                timeout_seconds=_IMPORT_TIMEOUT_SECONDS,
            )
        except (_http_client.ClientError, ValueError):
            return 0
        if answer.status != 200:
            return 0
        reply = answer.read_json()
        tokens = min(int(reply["tokens"]), step.context_tokens)
        link_seconds = self._state.find_link_delay(reply["engine"])
        await trio.sleep(link_seconds * (1 + tokens / _KV_TOKENS_PER_LINK_DELAY))
        self._state.counts.kv_imported += 1
        return tokens


def _count_prefill(missing: int) -> int:
    """Return the number of words to prefill; the step itself runs the last one."""
    return missing if missing > 1 else 0
