"""Findings of simulated runs, from the executions counted at the services."""

import collections

import attrs


@attrs.define(kw_only=True)
class Findings:
    """Counts of violations, of unresolved calls and of all keys and requests."""

    duplicates: int = 0
    refused_but_run: int = 0
    done_but_absent: int = 0
    unresolved: int = 0
    unresolved_but_run: int = 0
    refused_with_concurrent_request: int = 0
    keys: int = 0
    requests: int = 0
    done: int = 0


def record_findings(system, findings):
    """Add the findings of one run to the counts."""
    by_key = collections.defaultdict(list)
    for request in system.requests.values():
        by_key[request.key].append(request)
    findings.requests += len(system.requests)
    for key, requests in by_key.items():
        runs = system.list_runs(key)
        findings.keys += 1
        findings.duplicates += len(runs) > 1
        done = [each for each in requests if each.outcome == "done"]
        findings.done += bool(done)
        for each in done:
            findings.done_but_absent += not any(
                at <= each.answered_at for _, at in runs
            )
        if not done and requests[-1].outcome in ("unknown", "none", "gone"):
            findings.unresolved += 1
            findings.unresolved_but_run += bool(runs)
        for each in requests:
            if each.outcome == "not run" and runs:
                record_refusal(each, requests, runs, findings)


def record_refusal(refused, requests, runs, findings):
    """Count executions of a refused request that no other request explains."""
    others = [
        each for each in requests if each is not refused and each.outcome != "not run"
    ]
    for attempt, at in runs:
        own = attempt.split("/")[0] == refused.name
        requested_by_others = any(each.sent_at <= at for each in others)
        if (
            own and not (requested_by_others and at > refused.answered_at)
        ) or not requested_by_others:
            findings.refused_but_run += 1
        elif at <= refused.answered_at:
            findings.refused_with_concurrent_request += 1
