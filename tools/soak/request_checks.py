"""Checks of the callers' requests and of what endpoints ran for them."""

import collections

import attrs

from tools.soak import records
from tools.soak import site as sites
from tools.soak import stream_checks
from tools.soak.violations import Violation

__all__ = ["check"]

CONTACT_S = sites.BOUNDS["contactMs"] / 1000
CONFIG_S = sites.BOUNDS["configApplyMs"] / 1000
ROLLBACK_S = sites.BOUNDS["rollbackSlackMs"] / 1000
DRAIN_S = sites.BOUNDS["drainMs"] / 1000
LOSS_S = sites.BOUNDS["lossSlackMs"] / 1000
STOP_S = sites.BOUNDS["graceS"] + 1.0

SLOWED_FACTOR = 8
"""Factor on the bound of roll-back for an instance in disturbance."""

MAX_LOST = 3
"""Requests that may be lost at any time, of all instances together."""

PROMISES = {408, 421, 429, 503}
"""Statuses that promise that a request has not run."""


def check(recorder, disturbances):
    """Yield the violations of the rules on requests."""
    calls = sorted(recorder.select(records.Call), key=lambda e: e.sent_s)
    runs = collections.defaultdict(list)
    for run in recorder.select(records.Run):
        runs[run.attempt].append(run)
    written = recorder.select(records.ConfigurationWritten)
    yield from _check_answers(calls, runs)
    excuses = stream_checks.Excuses(recorder.select(records.StreamRun))
    yield from _check_lost(calls, runs, disturbances, excuses)
    yield from _check_delay(calls, written, disturbances)
    yield from _check_order(calls, runs, written, disturbances)
    yield from _check_entries(recorder, calls, runs, disturbances)
    yield from _check_said(recorder, calls, runs, disturbances)


def _check_answers(calls, runs):
    """Yield wrong answers, repeated runs and broken promises."""
    for call in calls:
        found = runs[call.attempt]
        is_single = call.path.startswith(("/once/", "/slow/"))
        text = f"{call.path} {call.attempt} by {call.instance}"
        if is_single and len(found) > 1:
            yield Violation(call.ended_s, "TWICE", f"{text}: {found}")
        if is_single and found and call.status in PROMISES:
            message = f"{text}: {call.status}, but {found}"
            yield Violation(call.ended_s, "REFUSED", message)
        if call.status and call.fault:
            yield Violation(call.ended_s, "MIXED", f"{text}: {call.fault}")
        if call.status == 404 and not call.path.startswith("/v"):
            yield Violation(call.ended_s, "DENIED", f"{text}: 404")


def _check_lost(calls, runs, disturbances, excuses):
    """Yield requests without an answer, around planned stops and in calm."""
    lost = []
    for call in calls:
        if call.status:
            continue
        since_s = call.sent_s - CONTACT_S
        around = disturbances.list_within(call.instance, since_s, call.ended_s)
        stops = [e for e in around if e.kind == "stop"]
        is_passed_on = bool(runs[call.attempt])
        message = (
            f"{call.path} {call.attempt} by {call.instance}: {call.fault}"
            f" {call.ended_s - call.sent_s:.2f} s after it was sent,"
            f" {'run' if is_passed_on else 'not run'}"
            f" ({excuses.describe(call)})"
        )
        excuse = excuses.find(call, stops[0] if stops else None)
        if excuse:
            message = f"{excuse}: {message}"
            yield Violation(call.ended_s, "LOST", message, False)
        elif not around and is_passed_on:
            lost.append(Violation(call.ended_s, "LOST", f"in calm: {message}"))
        elif (
            len(stops) == len(around) == 1
            and call.ended_s <= stops[0].begin_s + STOP_S
            and (is_passed_on or call.ended_s - call.sent_s > LOSS_S)
        ):
            yield Violation(
                call.ended_s, "LOST", f"in a planned stop: {message}"
            )
        elif excuses.is_run(call):
            message = f"in a disturbance: {message}"
            yield Violation(call.ended_s, "LOST", message, False)
    is_counted = len(lost) > MAX_LOST
    for each in lost:
        yield attrs.evolve(each, is_counted=is_counted)


def _is_wrong(call, versions):
    """Return whether no version allows the way a request was handled.

    Parameters
    ----------
    call : Call
        A request to a route that comes and goes.
    versions : list of ConfigurationWritten
        Versions that may be in force.
    """
    name = call.path.split("/")[1]
    has_route = [name in each.routes for each in versions]
    return (call.status == 404 and all(has_route)) or (
        call.status == 200 and not any(has_route)
    )


def _select_changing(calls):
    """Return the requests to routes that come and go."""
    return [each for each in calls if each.path.startswith("/v")]


def _check_delay(calls, written, disturbances):
    """Yield requests handled by an older version than the bound allows."""
    for call in _select_changing(calls):
        due_s = call.sent_s - CONFIG_S
        known = [e for e in written if e.begun_s <= call.ended_s]
        newer = [e for e in known if e.at_s > due_s]
        older = [e for e in known if e.at_s <= due_s]
        # A version that was written again within the bound may have been
        # unknown to the instance before.
        is_again = bool(
            {e.version for e in newer} & {e.version for e in older}
        )
        if (
            older
            and not is_again
            and _is_wrong(call, [older[-1], *newer])
            and disturbances.is_in_touch(
                call.instance, call.sent_s, call.ended_s
            )
        ):
            yield Violation(
                call.ended_s,
                "CONFIG",
                f"{call.path} sent {call.sent_s - older[-1].at_s:.2f} s after"
                f" version {older[-1].version} was confirmed:"
                f" {call.status} by {call.instance}",
            )


def _check_order(calls, runs, written, disturbances):
    """Yield requests handled by an older version than one seen before."""
    # The route that a version adds bears its number.
    effects = collections.defaultdict(list)
    for call in _select_changing(calls):
        version = int(call.path.split("/")[1].removeprefix("v"))
        effects[call.instance, call.life] += [
            (run.at_s, version) for run in runs[call.attempt]
        ]
    for call in _select_changing(calls):
        around = disturbances.list_within(
            call.instance, call.sent_s - CONTACT_S, call.ended_s
        )
        slack_s = ROLLBACK_S * (SLOWED_FACTOR if around else 1)
        seen = max(
            (
                (version, at_s)
                for at_s, version in effects[call.instance, call.life]
                if at_s + slack_s < call.sent_s
            ),
            default=None,
        )
        if seen and _is_wrong(
            call,
            [
                each
                for each in written
                if each.version >= seen[0] and each.begun_s <= call.ended_s
            ],
        ):
            yield Violation(
                call.ended_s,
                "CONFIG",
                f"{call.path} sent at {call.sent_s:.2f} s:"
                f" {call.status} by {call.instance}, which had used version"
                f" {seen[0]} by {seen[1]:.2f} s",
            )


def _check_entries(recorder, calls, runs, disturbances):
    """Yield runs on endpoints whose entries said that they leave.

    They count where the store was stable at the confirmation, and the
    instance in touch from the sending of the request on. One that was cut off
    at the confirmation is bound as well once it is in touch again.
    """
    first = {}
    first_stable = {}
    for left in recorder.select(records.EndpointLeft):
        since_s = left.at_s - CONTACT_S
        first.setdefault(left.endpoint, left)
        if not disturbances.list_within(records.STORE, since_s, left.at_s):
            first_stable.setdefault(left.endpoint, left)
    for call in calls:
        for run in runs[call.attempt]:
            left = first.get(run.endpoint)
            stable = first_stable.get(run.endpoint)
            if left and run.at_s > left.at_s + DRAIN_S:
                yield Violation(
                    run.at_s,
                    "DRAIN",
                    f"{call.path} by {call.instance} reached {run.endpoint}"
                    f" {run.at_s - left.at_s:.2f} s after its entry was"
                    f" changed ({left.how})",
                    stable is not None
                    and run.at_s > stable.at_s + DRAIN_S
                    and disturbances.is_in_touch(
                        call.instance, call.sent_s, run.at_s
                    ),
                )


def _check_said(recorder, calls, runs, disturbances):
    """Yield runs on endpoints that had said that they leave.

    Only the instance that has passed such an answer on is bound by it, in the
    same process and unless it was frozen since.
    """
    leaving = {
        (each.attempt, each.endpoint)
        for each in recorder.select(records.LeavingSaid)
    }
    passed_on = {}
    for call in sorted(calls, key=lambda each: each.ended_s):
        for run in runs[call.attempt]:
            if call.status and (call.attempt, run.endpoint) in leaving:
                key = (call.instance, call.life, run.endpoint)
                passed_on.setdefault(key, call.ended_s)
    for call in calls:
        for run in runs[call.attempt]:
            key = (call.instance, call.life, run.endpoint)
            since_s = passed_on.get(key, call.sent_s)
            frozen = [
                each
                for each in disturbances.list_within(
                    call.instance, since_s, run.at_s
                )
                if each.kind == "freeze"
            ]
            if call.sent_s > since_s + DRAIN_S and not frozen:
                yield Violation(
                    run.at_s,
                    "DRAIN",
                    f"{call.path} by {call.instance} reached {run.endpoint},"
                    f" sent {call.sent_s - since_s:.2f} s after an answer"
                    " that said it leaves",
                )
