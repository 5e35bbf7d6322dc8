"""Random systems with requests that crash servers, beside disturbances."""

import random

import attrs
import trio

from tests import crashing_fleet, quarantine_trials


@attrs.frozen(kw_only=True)
class System(quarantine_trials.System):
    """Describe a system with requests that crash servers."""

    kinds: tuple[str, ...]
    popular_rate: float = 0.0


def draw_system(seed: int, *, nodes: int) -> System:
    """Draw a system with one or two such requests and up to six disturbances."""
    drawn = quarantine_trials.draw_system(seed, nodes=nodes)
    source = random.Random(seed + 1)
    count = len(drawn.bad_parts)
    fields = {
        each.name: getattr(drawn, each.name)
        for each in attrs.fields(quarantine_trials.System)
    }
    return System(
        **{**fields, "bad_parts": ()},
        kinds=tuple(source.sample(sorted(crashing_fleet.KINDS), count)),
        popular_rate=source.choice((0.0, 10.0)),
    )


class Trial(quarantine_trials.Trial):
    """Run one system with requests that crash servers."""

    allowed_ends = crashing_fleet.ALLOWED_ENDS

    def make_fleet(self):
        return crashing_fleet.Fleet(
            count=self.system.nodes,
            seed=self.system.seed,
            bad=[crashing_fleet.KINDS[kind] for kind in self.system.kinds],
        )

    def list_causes(self):
        return [crashing_fleet.KINDS[kind].identity for kind in self.system.kinds]

    async def start_load(self, nursery: trio.Nursery):
        system, fleet = self.system, self.fleet
        seconds = quarantine_trials.SECONDS
        draw = crashing_fleet.draw_sound
        nursery.start_soon(fleet.send_calls, system.sound_rate, seconds + 4.0, draw)
        if system.popular_rate:
            nursery.start_soon(
                fleet.send_calls,
                system.popular_rate,
                seconds + 4.0,
                lambda source: crashing_fleet.POPULAR,
            )
        await trio.sleep(system.warm_seconds)
        for kind in system.kinds:
            call = crashing_fleet.KINDS[kind]
            nursery.start_soon(
                fleet.send_calls,
                system.rate,
                seconds,
                lambda source, call=call: call,
            )

    def list_violations(self):
        """Return which promises were broken."""
        found = super().list_violations()
        popular = crashing_fleet.POPULAR.identity
        start = self.ended_at - crashing_fleet.CONTACT_SECONDS
        refused = [
            each
            for each in self.fleet.list_outcomes(start, self.ended_at, popular)
            if each.reason == "request_quarantined"
            and self.is_in_touch(each.node, each.at)
        ]
        if refused:
            found.append(f"{len(refused)} popular requests refused in the end")
        return found
