"""Caller that streams answers and records the arrival time of each token."""

import collections.abc
import json
import time
import typing

import attrs
import trio

from jujubepass.transport import _http_client
from standins import processes, system

_OK = 200

OnToken = collections.abc.Callable[[int, tuple[str, ...]], None]


@attrs.define(kw_only=True)
class Stream:
    """Record the tokens, arrival times and end of one answer."""

    prompt: str
    status: int = 0
    backends: tuple[str, ...] = ()
    tokens: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    sent_at: float = 0.0
    ended_at: float = 0.0
    finish_reason: str | None = None
    error: dict[str, typing.Any] | None = None

    def find_longest_gap(self, since: float) -> float:
        """Return the longest gap between tokens among gaps that end after `since`.

        Without a token after `since`, return the gap to the end of the stream.
        """
        ends = self.times if self.times and self.times[-1] > since else []
        starts = [self.sent_at, *self.times]
        gaps = [at - last for last, at in zip(starts, ends, strict=False) if at > since]
        return max(gaps, default=self.ended_at - max(starts))


async def stream_answer(
    port: int,
    prompt: str,
    *,
    max_tokens: int,
    key: str = system.CALLER_KEY,
    timeout_seconds: float = 30.0,
    on_token: OnToken | None = None,
) -> Stream:
    """Stream an answer; call `on_token` in a thread when tokens arrive."""
    stream = Stream(prompt=prompt, sent_at=time.monotonic())
    body = {"model": system.MODEL, "prompt": prompt, "stream": True}
    body["max_tokens"] = max_tokens
    headers = {
        "authorization": f"Bearer {key}",
        "request-timeout": f"{timeout_seconds:g}",
    }
    connection = _http_client.Client().open(
        "POST",
        _http_client.Address(host=processes.HOST, port=port),
        "/v1/completions",
        body=json.dumps(body).encode(),
        headers=headers,
        fresh=True,
    )
    with trio.move_on_after(timeout_seconds + 5.0):
        async with connection as answer:
            stream.status = answer.status
            backends = answer.headers.get("x-jujubepass-backend", "")
            stream.backends = tuple(backends.split(",")) if backends else ()
            await _read_events(answer, stream, on_token)
    stream.ended_at = time.monotonic()
    return stream


async def _read_events(
    answer: _http_client.StreamedAnswer, stream: Stream, on_token: OnToken | None
) -> None:
    buffer = b""
    while data := await answer.receive():
        buffer += data
        if stream.status != _OK:
            continue
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            _read_event(event.removeprefix(b"data: "), stream)
        if on_token is not None and stream.finish_reason is None:
            await trio.to_thread.run_sync(on_token, len(stream.tokens), stream.backends)
    if stream.status != _OK:
        stream.error = json.loads(buffer)


def _read_event(event: bytes, stream: Stream) -> None:
    if event == b"[DONE]":
        return
    value = json.loads(event)
    if "error" in value:
        stream.error = value["error"]
        return
    choice = value["choices"][0]
    if choice.get("finish_reason"):
        stream.finish_reason = choice["finish_reason"]
    elif choice["text"]:
        stream.tokens.append(choice["text"].strip())
        stream.times.append(time.monotonic())


def stream_answers(
    port: int,
    prompts: collections.abc.Sequence[str],
    *,
    max_tokens: int,
    on_token: OnToken | None = None,
    **options: typing.Any,
) -> list[Stream]:
    """Stream several answers concurrently; only the first calls `on_token`."""
    streams: list[Stream] = []

    async def send(index: int, prompt: str) -> None:
        """Record one streamed answer."""
        streams.append(
            await stream_answer(
                port,
                prompt,
                max_tokens=max_tokens,
                on_token=on_token if index == 0 else None,
                **options,
            )
        )

    async def send_all() -> None:
        """Send all requests concurrently."""
        async with trio.open_nursery() as nursery:
            for index, prompt in enumerate(prompts):
                nursery.start_soon(send, index, prompt)

    trio.run(send_all)
    return streams
