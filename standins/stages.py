"""One engine's pass through its layers, with its caches."""

import typing

import attrs
import trio

from jujubepass.transport import _http_client
from standins import caches, engine_state, model

_KV_TOKENS_PER_LINK_DELAY = 256
_IMPORT_TIMEOUT_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Step:
    """Ask a stage to run its layers for one position.

    `context_tokens` counts the prompt and the answer before the position; `blocks`
    comes with an attempt's first step only.
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
    """Answer a step; `link_seconds` is the delay to the next engine."""

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
        """Run one step; raise WorkRefusedError when the engine takes no such work."""
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
        """Keep the KV cache of a request whose attempt has ended."""
        kept = self._state.kv.get(request)
        if kept is not None and kept.epoch <= epoch:
            kept.active = False

    async def _run(self, step: Step) -> StepResult:
        state = self._state
        state.check_epoch(step.request, step.epoch)
        if step.blocks is not None and step.first_layer != 0:
            state.check_room(step.model, step.first_layer, step.end_layer)
        words = await self._prepare(step)
        self._keep(step, step.context_tokens - words)
        await state.batcher.run_visit(step.priority, words)
        state.check_epoch(step.request, step.epoch)
        self._keep(step, step.context_tokens)
        state.counts.visits += 1
        state.counts.prefilled_words += words
        row = [step.epoch, step.first_layer, step.end_layer]
        state.record_run(step.request, [*row, step.position, step.position + 1])
        return StepResult(
            activation=model.run_layers(
                step.activation, step.first_layer, step.end_layer
            ),
            receipt=[state.name, step.first_layer, step.end_layer],
            link_seconds=state.find_link(step.next_engine),
        )

    def _keep(self, step: Step, tokens: int) -> None:
        kept = caches.KeptCache(
            tokens=tokens, epoch=step.epoch, used_at=trio.current_time(), active=True
        )
        self._state.kv.put(step.request, kept, self._state.knobs.kv_tokens)

    async def _prepare(self, step: Step) -> int:
        """Return how many words to prefill, after what caches hold."""
        kept = self._state.kv.get(step.request)
        covered = min(kept.tokens, step.context_tokens) if kept else 0
        if step.blocks is None:
            return _count_prefill(step.context_tokens - covered)
        self._state.counts.kv_reused += covered > 0
        if step.kv_from and step.context_tokens - covered > 1:
            covered = max(covered, await self._import_kv(step))
        hit = self._state.prefixes.match(step.blocks) * model.BLOCK_WORDS
        if hit > covered:
            self._state.counts.prefix_hit_words += hit - covered
            covered = hit
        self._state.prefixes.store(
            step.blocks,
            capacity=self._state.knobs.prefix_blocks,
            drop_odds=self._state.knobs.cache_event_drop,
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
        exported = answer.read_json()
        tokens = min(int(exported["tokens"]), step.context_tokens)
        link_seconds = self._state.find_link(exported["engine"])
        await trio.sleep(link_seconds * (1 + tokens / _KV_TOKENS_PER_LINK_DELAY))
        self._state.counts.kv_imported += 1
        return tokens


def _count_prefill(missing: int) -> int:
    """Return the words to prefill; the step itself runs the last one."""
    return missing if missing > 1 else 0
