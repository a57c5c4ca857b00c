"""Schedule of a new version's share under an exposure limit."""

import attrs

from mulberryhollow.coordination.rollout import schedule
from mulberryhollow.coordination.rollout import verdict

__all__ = ["decide"]

PLANNED_USE = 0.85
"""Share of the allowed requests that the schedule spends."""

TRIAL_USE = 0.45
"""Share of the planned requests that the trial may spend."""

MAX_TRIAL_REQUESTS = 45
"""Requests of the new version that a trial takes at most."""

MAX_TRIAL_SHARE = 0.3
"""Maximum share of the trial."""

MIN_TRIAL_SHARE = 0.01
"""Minimum share of the trial, when its requests are spent early."""

MAX_SHARE = 0.95
"""Maximum share before ``done``; the old version keeps the rest."""

DRAIN_S = 0.75
"""Time at the maximum share before ``done``, in seconds.

The old version's requests end in it, before its endpoints stop.
"""

MIN_PUSH_S = 2.0
"""Minimum time of the large shares before ``done``, in seconds.

The counters show their results with a delay.
"""

ADJUSTMENT_RATIO = 1.3
"""Ratio of the planned to the present share of the trial from which the share
is adjusted."""

ADJUSTMENT_INTERVAL_S = 1.5
"""Minimum time between two adjustments of the trial's share, in seconds."""


@attrs.frozen
class _Situation:
    """Times and requests that the next step depends on."""

    push_from_s: float
    finish_s: float
    planned: float
    usage: object
    max_share: float


def decide(move, times, usage, capacity, judgement, since_s, now_s):
    """Return the next step of a move under an exposure limit.

    Parameters
    ----------
    move : Move
        The move, planned or shifting.
    times : Times
        Times of the move, with its limit.
    usage : Usage or None
        Use of the limit so far; None while it is unknown.
    capacity : Capacity
        Current endpoints.
    judgement : Undecided or Good
        Verdict by the results so far.
    since_s : float
        When the current share began, in Unix seconds.
    now_s : float
        Current time, in Unix seconds.

    Returns
    -------
    Hold, Shift, Finish or RollBack
        The decision.

    Notes
    -----
    The trial spends its part of the requests evenly over most of the move,
    so that a version that degrades late still has a small share. The push
    spends the rest: most of it at one share, whose results are still seen,
    and the last part at the maximum share.
    """
    finish_s = move.done_by_s - times.reserve_s
    if now_s > move.done_by_s:
        return schedule.RollBack("not enough time: done could not be written")
    if usage is None or not usage.requests_per_s:
        return _hold_or_end(finish_s, now_s, "request rate is unknown")
    situation = _Situation(
        finish_s - times.confirm_s,
        finish_s,
        PLANNED_USE * times.exposure.compute_allowance(usage.expected),
        usage,
        capacity.compute_share(move.to_version),
    )
    if situation.max_share < move.share:
        return schedule.Shift(situation.max_share)
    if not situation.max_share:
        return _hold_or_end(finish_s, now_s, "too few endpoints")
    is_good = isinstance(judgement, verdict.Good)
    if move.share and since_s >= situation.push_from_s:
        return _push(move, situation, is_good, now_s)
    if is_good and now_s >= situation.push_from_s:
        return _begin_push(situation, now_s)
    if now_s > finish_s - MIN_PUSH_S:
        return schedule.RollBack(
            f"not enough evidence: judged on {usage.exposed:.0f} requests only"
        )
    return _try_out(move, situation, since_s, now_s)


def _hold_or_end(finish_s, now_s, reason):
    """Wait for a condition until the move cannot end in time any more."""
    if now_s > finish_s - MIN_PUSH_S:
        return schedule.RollBack(f"not enough time: {reason}")
    return schedule.Hold(reason)


def _try_out(move, situation, since_s, now_s):
    """Choose the share of the trial."""
    remaining_s = situation.push_from_s - now_s
    if remaining_s <= ADJUSTMENT_INTERVAL_S and move.share:
        return schedule.Hold("the trial ends soon")
    usage = situation.usage
    budget = min(TRIAL_USE * situation.planned, MAX_TRIAL_REQUESTS)
    rate = (budget - usage.exposed) / max(remaining_s, 1.0)
    share = min(
        max(rate / usage.requests_per_s, MIN_TRIAL_SHARE),
        MAX_TRIAL_SHARE,
        situation.max_share,
    )
    ratio = max(share, move.share) / max(
        min(share, move.share), MIN_TRIAL_SHARE / ADJUSTMENT_RATIO
    )
    if move.share and (
        ratio < ADJUSTMENT_RATIO or now_s - since_s < ADJUSTMENT_INTERVAL_S
    ):
        return schedule.Hold("the trial is under way")
    return schedule.Shift(share)


def _begin_push(situation, now_s):
    """Choose the share that spends the rest of the planned requests."""
    remaining_s = situation.finish_s - now_s
    if remaining_s < MIN_PUSH_S:
        return schedule.RollBack("not enough time: judged too late")
    rate = situation.usage.requests_per_s
    rest = situation.planned - situation.usage.exposed
    rest -= MAX_SHARE * rate * DRAIN_S
    share = rest / (rate * (remaining_s - DRAIN_S))
    return schedule.Shift(
        min(max(share, MIN_TRIAL_SHARE), MAX_SHARE, situation.max_share)
    )


def _push(move, situation, is_good, now_s):
    """Choose the next step at the large shares."""
    if not is_good:
        return schedule.RollBack("the evidence does not hold at a large share")
    if now_s >= situation.finish_s:
        return schedule.Finish()
    share = min(MAX_SHARE, situation.max_share)
    if now_s >= situation.finish_s - DRAIN_S and move.share < share:
        return schedule.Shift(share)
    return schedule.Hold("the share is watched")
