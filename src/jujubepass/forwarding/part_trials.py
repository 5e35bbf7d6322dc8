"""Trials of parts of prompts: when they are due, and with which prompts."""

import collections.abc

from jujubepass.forwarding import prompt_parts

# Times before the trials of a part, after which only an operator releases it. The
# first is early, as a sound part may be in most prompts.
TRIAL_SECONDS = (2.0, 20.0, 120.0)
# A prompt with another suspected part leaves the trial to others for this long, times
# the ended runs of that part from `MIN_ENDED_RUNS` on.
_DEFERRAL_SECONDS = 1.0


def find_trial_time(record: prompt_parts.PartRecord, quarantined_at: float) -> float:
    """Return when the next trial of a part is due."""
    if record.returned_at is not None:
        return record.returned_at
    if record.row.trials >= len(TRIAL_SECONDS):
        return float("inf")
    since = max(quarantined_at, record.trials_seen_at)
    return since + TRIAL_SECONDS[record.row.trials]


def find_suitable_wait(
    wait_seconds: float, others: collections.abc.Iterable[prompt_parts.PartRecord]
) -> float:
    """Return the time until a prompt may be used for a trial that is due after a time.

    Its other parts may end an engine as well.
    """
    ended = max((len(each.ended) for each in others), default=0)
    if ended < prompt_parts.MIN_ENDED_RUNS:
        return wait_seconds
    return wait_seconds + _DEFERRAL_SECONDS * (ended - prompt_parts.MIN_ENDED_RUNS + 1)
