"""Checks of the records of a run against the platform's rules."""

import collections
import itertools
import json

import attrs

from tools.soak import records
from tools.soak import site as sites

__all__ = ["Violation", "check"]

CONTACT_S = sites.BOUNDS["contactMs"] / 1000
LEASE_S = sites.BOUNDS["leaseMs"] / 1000
THAW_S = sites.BOUNDS["thawMs"] / 1000


@attrs.frozen(order=True)
class Violation:
    """A broken rule.

    Parameters
    ----------
    at_s : float
        Time since the begin of the records, in seconds.
    rule : str
        Name of the rule.
    message : str
        What was seen.
    is_counted : bool
        Whether the rule counts it; it does not during some disturbances.
    """

    at_s: float
    rule: str
    message: str
    is_counted: bool = True


class Disturbances:
    """When instances and the store were in disturbance.

    Parameters
    ----------
    found : list of Disturbance
        All disturbances of the run.
    """

    def __init__(self, found):
        self._by_target = collections.defaultdict(list)
        for each in found:
            self._by_target[each.target].append(each)

    def list_within(self, target, begin_s, end_s):
        """Return the disturbances of a target that overlap an interval."""
        return [
            each
            for each in self._by_target[target]
            if each.begin_s <= end_s and each.end_s >= begin_s
        ]

    def is_in_touch(self, instance, begin_s, end_s):
        """Return whether an instance was in touch all the while.

        It is if neither it nor the store has been in disturbance, from the
        time of contact before the interval on.
        """
        begin_s -= CONTACT_S
        return not (
            self.list_within(instance, begin_s, end_s)
            or self.list_within(records.STORE, begin_s, end_s)
        )

    def is_duty_call_excused(self, call):
        """Return whether the order of a duty call does not count.

        That is so shortly after its sender was thawed or reached the store
        again, and while the store is in disturbance or has just been; `just`
        is taken as the time of contact, after which the store is stable.
        """
        thawed = [
            each
            for each in self._by_target[call.instance]
            if each.kind in ("freeze", "refused")
            and each.begin_s <= call.at_s <= each.end_s + THAW_S
        ]
        since_s = call.at_s - CONTACT_S
        return bool(
            thawed or self.list_within(records.STORE, since_s, call.at_s)
        )


def check(recorder):
    """Return all violations in order."""
    disturbances = Disturbances(recorder.select(records.Disturbance))
    calls = recorder.select(records.DutyCall)
    return sorted(
        itertools.chain(
            _check_reports(calls),
            _check_tokens(calls, disturbances),
            _check_alternation(calls, disturbances),
        )
    )


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
