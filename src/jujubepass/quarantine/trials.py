"""Trials of suspects: when they are due, and of parts with which prompts."""

import collections.abc

from jujubepass.quarantine import suspects

# Times before the trials of a suspect, after which only an operator releases it. The
# first is early, as a sound part may be in most prompts.
TRIAL_SECONDS = (2.0, 20.0, 120.0)
# A trial waits up to this long for a prompt whose other parts are less suspected.
SUITABLE_SECONDS = 3.0


def find_trial_time(record: suspects.Record, quarantined_at: float) -> float:
    """Return when the next trial of a suspect is due."""
    if record.returned_at is not None:
        return record.returned_at
    if record.row.trials >= len(TRIAL_SECONDS):
        return float("inf")
    since = max(quarantined_at, record.trials_seen_at)
    return since + TRIAL_SECONDS[record.row.trials]


def find_suitable_wait(
    wait_seconds: float,
    record: suspects.Record,
    others: collections.abc.Iterable[suspects.Record],
) -> float:
    """Return the time until a prompt may be used for a trial that is due after a time.

    Its other parts may end an engine as well. At a cold start those of sound prompts
    are suspected too, but less than the bad ones, which are therefore allowed last.
    """
    least, most = suspects.MIN_ENDED_RUNS, len(record.ended)
    late_share = max(0.0, -wait_seconds) / SUITABLE_SECONDS
    found = max((len(each.ended) for each in others), default=0)
    if late_share < 1.0 and found >= least + late_share * (most - least):
        return max(wait_seconds, SUITABLE_SECONDS)
    return wait_seconds
