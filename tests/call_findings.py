"""Judgement of a run, counted at the services."""

import collections

import attrs


@attrs.define(kw_only=True)
class Findings:
    """Count what must be none, and what stayed open."""

    duplicates: int = 0
    not_run_yet_run: int = 0
    done_yet_absent: int = 0
    unknown_at_last: int = 0
    unknown_though_run: int = 0
    refused_beside_an_open_request: int = 0
    keys: int = 0
    requests: int = 0
    done: int = 0


def judge(system, findings):
    """Add one run's findings, counted at the services."""
    by_key = collections.defaultdict(list)
    for request in system.requests.values():
        by_key[request.key].append(request)
    findings.requests += len(system.requests)
    for key, requests in by_key.items():
        runs = system.list_runs(key)
        findings.keys += 1
        findings.duplicates += len(runs) > 1
        done = [each for each in requests if each.verdict == "done"]
        findings.done += bool(done)
        for each in done:
            findings.done_yet_absent += not any(at <= each.told_at for _, at in runs)
        if not done and requests[-1].verdict in ("unknown", "none", "gone"):
            findings.unknown_at_last += 1
            findings.unknown_though_run += bool(runs)
        for each in requests:
            if each.verdict == "not run" and runs:
                judge_refusal(each, requests, runs, findings)


def judge_refusal(refused, requests, runs, findings):
    """Hold a run against a refusal unless another request of the key asked for it."""
    others = [
        each for each in requests if each is not refused and each.verdict != "not run"
    ]
    for attempt, at in runs:
        own = attempt.split("/")[0] == refused.name
        asked_by_others = any(each.asked_at <= at for each in others)
        if (
            own and not (asked_by_others and at > refused.told_at)
        ) or not asked_by_others:
            findings.not_run_yet_run += 1
        elif at <= refused.told_at:
            findings.refused_beside_an_open_request += 1
