"""Checks of the calls of duties: at most one holder at a time."""

import collections
import itertools
import json

from tools.soak import records
from tools.soak import site as sites
from tools.soak.violations import Violation

__all__ = ["check"]

LEASE_S = sites.BOUNDS["leaseMs"] / 1000


def check(recorder, disturbances):
    """Yield the violations of the rule that one instance decides."""
    calls = recorder.select(records.DutyCall)
    yield from _check_reports(calls)
    yield from _check_tokens(calls, disturbances)
    yield from _check_alternation(calls, disturbances)


def _check_reports(calls):
    """Yield windows that were reported with different counts."""
    first_by_window = {}
    for call in calls:
        if call.duty != "/usage":
            continue
        window = call.content["windowId"]
        first = first_by_window.setdefault(window, call)
        if first.content != call.content:
            yield Violation(
                call.at_s,
                "ONE",
                f"window {window} reported by {call.instance} with"
                f" {_show(call)}, but at {first.at_s:.2f} s by"
                f" {first.instance} with {_show(first)}",
            )


def _check_tokens(calls, disturbances):
    """Yield tokens of two holders, and lower tokens than seen before."""
    highest = {}
    holders = {}
    for call in calls:
        subject = (call.duty, call.subject)
        holder = holders.setdefault((*subject, call.token), call.instance)
        if holder != call.instance:
            yield Violation(
                call.at_s,
                "ONE",
                f"{call.duty} with token {call.token} by {call.instance} and"
                f" by {holder}",
            )
        seen = highest.get(subject, 0)
        if call.token < seen:
            yield Violation(
                call.at_s,
                "ONE",
                f"{call.duty} by {call.instance} with token {call.token} after"
                f" {seen}",
                not disturbances.is_duty_call_excused(call),
            )
        highest[subject] = max(seen, call.token)


def _check_alternation(calls, disturbances):
    """Yield calls of a holder between whose calls another one has acted."""
    by_duty = collections.defaultdict(list)
    for call in calls:
        by_duty[call.duty].append(call)
    for duty_calls in by_duty.values():
        for number, last in enumerate(duty_calls):
            recent = [
                each
                for each in duty_calls[: number + 1]
                if last.at_s - each.at_s < LEASE_S
            ]
            counted = [
                each
                for each in recent
                if not disturbances.is_duty_call_excused(each)
            ]
            names = _list_holders(recent)
            if duty_calls[number - 1].instance == last.instance:
                continue
            if last.instance in names[:-1]:
                yield Violation(
                    last.at_s,
                    "ONE",
                    f"{last.duty} by {', '.join(names)} within {LEASE_S:g} s",
                    last in counted
                    and last.instance in _list_holders(counted)[:-1],
                )


def _list_holders(calls):
    """Return the senders of calls, each run of calls once."""
    return [name for name, _ in itertools.groupby(e.instance for e in calls)]


def _show(call):
    """Return a duty call's counts and token as text."""
    counts = json.dumps(call.content["counts"], sort_keys=True)
    return f"{counts} (token {call.token})"
