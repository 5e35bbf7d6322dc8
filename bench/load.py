"""Open-loop load: arrivals that do not wait for earlier answers."""

import collections.abc
import json
import time

import attrs
import hdrh.histogram
import numpy
import trio

from jujubepass.transport import _http_client

HOST = "127.0.0.1"

_MIN_MICROSECONDS = 1
_MAX_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_SECONDS = 300.0
_MAX_ARRIVALS = 100_000
_TOKEN_MARK = b'"content"'
_END_MARK = b"[DONE]\n\n"
_TAIL_BYTES = 4_000


@attrs.frozen(kw_only=True)
class Arrival:
    """Describe one request of a trace; `at` counts from the start of the load."""

    at: float
    account_key: str
    prompt: str
    max_tokens: int
    timeout_seconds: float = 30.0


class Durations:
    """Record durations in an HDR histogram, in microseconds."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            _MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, round(seconds * _MICROSECONDS_PER_SECOND)))

    def read(self, percentile: float) -> float:
        """Return a percentile in seconds."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / _MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return int(self._histogram.get_total_count())


@attrs.define(kw_only=True)
class Outcome:
    """Count the answers, refusals and errors of a load."""

    answered: int = 0
    truncated: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    errors: int = 0
    tokens: int = 0
    seconds: float = 0.0
    first_token: Durations = attrs.field(factory=Durations)
    between_tokens: Durations = attrs.field(factory=Durations)

    def summarize(self) -> dict[str, float | int]:
        """Return the figures for a row of a result file."""
        return {
            "answered": self.answered,
            "cut": self.truncated,
            "refused": sum(self.refused.values()),
            "errors": self.errors,
            "tokens": self.tokens,
            "tokens_per_second": self.tokens / max(self.seconds, 0.001),
            "first_token_p50_seconds": self.first_token.read(50),
            "first_token_p95_seconds": self.first_token.read(95),
            "between_tokens_p50_seconds": self.between_tokens.read(50),
            "between_tokens_p95_seconds": self.between_tokens.read(95),
            "between_tokens_p99_seconds": self.between_tokens.read(99),
        }


def generate_arrivals(
    *,
    seed: int,
    per_second: float,
    seconds: float,
    account_keys: collections.abc.Sequence[str],
    words: tuple[int, int] = (8, 64),
    tokens: tuple[int, int] = (16, 64),
) -> list[Arrival]:
    """Draw Poisson arrivals with uniformly distributed lengths."""
    if seconds > _MAX_SECONDS or per_second * seconds > _MAX_ARRIVALS:
        raise ValueError("load exceeds the maximum duration or number of arrivals")
    source = numpy.random.default_rng(seed)
    gaps = source.exponential(1 / per_second, int(per_second * seconds * 2) + 10)
    times = numpy.cumsum(gaps)
    return [
        Arrival(
            at=float(at),
            account_key=str(source.choice(account_keys)),
            prompt=" ".join(
                f"w{n}" for n in source.integers(0, 999, _draw(source, words))
            ),
            max_tokens=_draw(source, tokens),
        )
        for at in times[times < seconds]
    ]


def _draw(source: numpy.random.Generator, bounds: tuple[int, int]) -> int:
    return int(source.integers(bounds[0], bounds[1] + 1))


def write_trace(arrivals: collections.abc.Iterable[Arrival]) -> str:
    """Return arrivals as JSON lines, so that a load can be replayed."""
    return "".join(json.dumps(attrs.asdict(each)) + "\n" for each in arrivals)


def read_trace(text: str) -> list[Arrival]:
    """Read arrivals from JSON lines."""
    return [Arrival(**json.loads(line)) for line in text.splitlines() if line]


def run_load(
    arrivals: collections.abc.Sequence[Arrival],
    ports: collections.abc.Sequence[int],
    model: str,
) -> Outcome:
    """Send each arrival at its time, round robin, and wait for every answer."""
    outcome = Outcome()
    last_deadline = max(
        (each.at + each.timeout_seconds for each in arrivals), default=0.0
    )

    async def _run() -> None:
        client = _http_client.Client()
        with trio.move_on_after(last_deadline + 1.0):
            async with trio.open_nursery() as nursery:
                started = trio.current_time()
                for index, arrival in enumerate(arrivals):
                    await trio.sleep_until(started + arrival.at)
                    port = ports[index % len(ports)]
                    nursery.start_soon(
                        send_request, client, port, model, arrival, outcome
                    )

    before = time.monotonic()
    trio.run(_run)
    outcome.seconds = time.monotonic() - before
    return outcome


async def send_request(
    client: _http_client.Client,
    port: int,
    model: str,
    arrival: Arrival,
    outcome: Outcome,
) -> None:
    """Send one streamed request and record its times."""
    body = {
        "model": model,
        "prompt": arrival.prompt,
        "max_tokens": arrival.max_tokens,
        "stream": True,
    }
    headers = {
        "authorization": f"Bearer {arrival.account_key}",
        "request-timeout": f"{arrival.timeout_seconds:g}",
    }
    address = _http_client.Address(host=HOST, port=port)
    started = trio.current_time()
    try:
        with trio.fail_after(arrival.timeout_seconds):
            async with client.open(
                "POST",
                address,
                "/v1/completions",
                body=json.dumps(body).encode(),
                headers=headers,
            ) as answer:
                await _read_stream(answer, started, outcome)
    except (_http_client.ClientError, trio.TooSlowError):
        outcome.errors += 1


async def _read_stream(
    answer: _http_client.StreamedAnswer, started: float, outcome: Outcome
) -> None:
    last = started
    durations = outcome.first_token
    tail = b""
    while data := await answer.receive():
        tail = tail[-_TAIL_BYTES:] + data
        count = data.count(_TOKEN_MARK)
        if not count:
            continue
        now = trio.current_time()
        outcome.tokens += count
        for _ in range(count):
            # Tokens that arrive in one read have no time between them.
            durations.record(now - last)
            durations, last = outcome.between_tokens, now
    if answer.status != 200:
        code = json.loads(tail).get("code", str(answer.status))
        outcome.refused[code] = outcome.refused.get(code, 0) + 1
    elif tail.endswith(_END_MARK):
        outcome.answered += 1
    else:
        outcome.truncated += 1
