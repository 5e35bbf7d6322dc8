"""Scenarios of engines and prompts for the measurement of throughput."""

import collections.abc

import attrs
import numpy

from bench import bounds, load, queue_engines

LAYERS = 32
HALF = 16

_MAX_LINK_SECONDS = 0.030
_NEAR_SECONDS = 0.0001
_MEDIUM_SECONDS = 0.001
_FAR_SECONDS = 0.010


@attrs.frozen(kw_only=True)
class Prompts:
    """Describe the lengths of prompts and answers, and their shared prefixes."""

    words: tuple[int, int] = (16, 64)
    tokens: tuple[int, int] = (16, 64)
    prefixes: int = 0
    prefix_words: int = 0

    @property
    def mean_tokens(self) -> float:
        """Return the mean length of an answer."""
        return sum(self.tokens) / 2

    @property
    def mean_new_words(self) -> float:
        """Return the mean number of words of a prompt that can't be cached."""
        return sum(self.words) / 2


@attrs.frozen(kw_only=True)
class Scenario:
    """Describe engines, links, prompts, nodes and delays of reports."""

    name: str
    engines: tuple[queue_engines.EngineSpec, ...]
    link_seconds: collections.abc.Callable[[str, str], float]
    prompts: Prompts = attrs.field(factory=Prompts)
    nodes: int = 3
    faults: queue_engines.Faults = attrs.field(factory=queue_engines.Faults)

    def find_request_bound(self) -> float:
        """Return the maximum requests a second of the engines and links."""
        rates = [
            bounds.EngineRate(
                name=spec.name,
                first_layer=spec.first_layer,
                end_layer=spec.end_layer,
                requests_per_second=1 / self._find_request_seconds(spec),
            )
            for spec in self.engines
        ]
        return bounds.find_bound(rates, LAYERS, self.link_seconds, _MAX_LINK_SECONDS)

    def _find_request_seconds(self, spec: queue_engines.EngineSpec) -> float:
        decode = self.prompts.mean_tokens * spec.step_seconds / spec.max_batch
        return decode + self.prompts.mean_new_words / spec.prefill_tokens_per_second

    def draw_arrivals(
        self, seed: int, requests_per_second: float, seconds: float
    ) -> list[load.Arrival]:
        """Draw arrivals, scaled in time so that their token rate is the mean rate."""
        arrivals = load.generate_arrivals(
            seed=seed,
            per_second=requests_per_second,
            seconds=seconds,
            account_keys=("a",),
            words=self.prompts.words,
            tokens=self.prompts.tokens,
        )
        expected_tokens = requests_per_second * self.prompts.mean_tokens * seconds
        factor = sum(each.max_tokens for each in arrivals) / expected_tokens
        source = numpy.random.default_rng(seed)
        return [
            attrs.evolve(
                each, at=each.at * factor, prompt=self._add_prefix(each.prompt, source)
            )
            for each in arrivals
        ]

    def _add_prefix(self, prompt: str, source: numpy.random.Generator) -> str:
        if not self.prompts.prefixes:
            return prompt
        chosen = source.integers(0, self.prompts.prefixes)
        count = self.prompts.prefix_words
        return " ".join([*(f"p{chosen}-{index}" for index in range(count)), prompt])


def list_scenarios() -> list[Scenario]:
    """List the scenarios on which policies are compared."""
    return [_make_uniform(), _make_mixed(), _make_prefixes(), _make_lagging()]


def _make_pairs(
    prefix: str, count: int, step_seconds: float, max_batch: int, **more: float
) -> list[queue_engines.EngineSpec]:
    return [
        queue_engines.EngineSpec(
            name=f"{prefix}{index}",
            first_layer=index % 2 * HALF,
            end_layer=index % 2 * HALF + HALF,
            step_seconds=step_seconds,
            max_batch=max_batch,
            failure_domain="abc"[index // 2 % 3],
            **more,
        )
        for index in range(count)
    ]


def _make_uniform() -> Scenario:
    return Scenario(
        name="alike",
        engines=tuple(_make_pairs("e", 8, 0.005, 4)),
        link_seconds=lambda first, second: _NEAR_SECONDS,
    )


def _make_mixed() -> Scenario:
    all_layers = [
        queue_engines.EngineSpec(
            name=f"whole{index}",
            first_layer=0,
            end_layer=LAYERS,
            step_seconds=0.008,
            max_batch=4,
        )
        for index in range(2)
    ]
    engines = [
        *_make_pairs("fast", 4, 0.004, 4),
        *_make_pairs("slow", 8, 0.007, 2),
        *all_layers,
    ]
    return Scenario(
        name="mixed",
        engines=tuple(engines),
        link_seconds=find_mixed_link,
    )


def find_mixed_link(first: str, second: str) -> float:
    """Return 0.1, 1 or 10 ms by the number of slow ends; 0.1 ms in a slow pair."""
    slow = first.startswith("slow") + second.startswith("slow")
    if slow == 2 and first[4:] != second[4:]:
        neighbours = int(first[4:]) // 2 == int(second[4:]) // 2
        return _NEAR_SECONDS if neighbours else _FAR_SECONDS
    return (_NEAR_SECONDS, _MEDIUM_SECONDS, _FAR_SECONDS)[slow]


def _make_prefixes() -> Scenario:
    engines = _make_pairs(
        "e", 8, 0.005, 4, prefill_tokens_per_second=8_000.0, prefix_blocks=96
    )
    return Scenario(
        name="prefixes",
        engines=tuple(engines),
        link_seconds=lambda first, second: _NEAR_SECONDS,
        prompts=Prompts(words=(8, 24), prefixes=24, prefix_words=256),
        faults=queue_engines.Faults(cache_event_drop=0.05),
    )


def _make_lagging() -> Scenario:
    return Scenario(
        name="lagging",
        engines=tuple(_make_pairs("e", 8, 0.005, 4)),
        link_seconds=lambda first, second: _NEAR_SECONDS,
        nodes=9,
        faults=queue_engines.Faults(
            load_lag_seconds=1.0, cache_event_delay_seconds=1.0
        ),
    )
