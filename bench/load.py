"""Open-loop load: arrivals that do not wait for answers."""

import collections.abc
import json
import time

import attrs
import hdrh.histogram
import numpy
import trio

from jujubepass.transport import _http_client

HOST = "127.0.0.1"

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 600_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000
_LONGEST_SECONDS = 300.0
_MOST_ARRIVALS = 100_000
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


class Clock:
    """Keep durations as HDR histograms, in microseconds."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _DIGITS
        )

    def record(self, seconds: float) -> None:
        """Keep one duration."""
        self._histogram.record_value(max(1, round(seconds * _MICROSECONDS)))

    def read(self, percentile: float) -> float:
        """Return a percentile in seconds."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / _MICROSECONDS

    @property
    def count(self) -> int:
        """Return how many durations were kept."""
        return int(self._histogram.get_total_count())


@attrs.define(kw_only=True)
class Outcome:
    """Hold what came of a load."""

    answered: int = 0
    cut: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    errors: int = 0
    tokens: int = 0
    seconds: float = 0.0
    first_token: Clock = attrs.field(factory=Clock)
    between_tokens: Clock = attrs.field(factory=Clock)

    def summarize(self) -> dict[str, float | int]:
        """Return the figures that result files hold."""
        return {
            "answered": self.answered,
            "cut": self.cut,
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
    """Draw Poisson arrivals with lengths evenly spread between two bounds."""
    if seconds > _LONGEST_SECONDS or per_second * seconds > _MOST_ARRIVALS:
        raise ValueError("the load is over its bound in time or count")
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
    """Write arrivals as JSON lines, so that a load can be run again."""
    return "".join(json.dumps(attrs.asdict(each)) + "\n" for each in arrivals)


def read_trace(text: str) -> list[Arrival]:
    """Read arrivals from JSON lines."""
    return [Arrival(**json.loads(line)) for line in text.splitlines() if line]


def run_load(
    arrivals: collections.abc.Sequence[Arrival],
    ports: collections.abc.Sequence[int],
    model: str,
) -> Outcome:
    """Send each arrival at its time to the nodes in turn; wait for every answer."""
    outcome = Outcome()
    longest = max((each.at + each.timeout_seconds for each in arrivals), default=0.0)

    async def _run() -> None:
        client = _http_client.Client()
        with trio.move_on_after(longest + 1.0):
            async with trio.open_nursery() as nursery:
                started = trio.current_time()
                for index, arrival in enumerate(arrivals):
                    await trio.sleep_until(started + arrival.at)
                    port = ports[index % len(ports)]
                    nursery.start_soon(ask, client, port, model, arrival, outcome)

    before = time.monotonic()
    trio.run(_run)
    outcome.seconds = time.monotonic() - before
    return outcome


async def ask(
    client: _http_client.Client,
    port: int,
    model: str,
    arrival: Arrival,
    outcome: Outcome,
) -> None:
    """Send one streamed request and keep its times."""
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
    clock = outcome.first_token
    whole = b""
    while data := await answer.receive():
        whole = whole[-_TAIL_BYTES:] + data
        count = data.count(_TOKEN_MARK)
        if not count:
            continue
        now = trio.current_time()
        outcome.tokens += count
        for _ in range(count):
            # Tokens of one read came together: the later ones waited for nothing.
            clock.record(now - last)
            clock, last = outcome.between_tokens, now
    if answer.status != 200:
        code = json.loads(whole).get("code", str(answer.status))
        outcome.refused[code] = outcome.refused.get(code, 0) + 1
    elif whole.endswith(_END_MARK):
        outcome.answered += 1
    else:
        outcome.cut += 1
