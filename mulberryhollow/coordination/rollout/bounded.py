"""Schedule of a new version's share under an exposure limit."""

import math

import attrs

from mulberryhollow.coordination.rollout import bounded_tester
from mulberryhollow.coordination.rollout import schedule
from mulberryhollow.coordination.rollout import verdict

__all__ = ["decide"]

PLANNED_USE = 0.82
"""Share of the allowed requests that the schedule spends."""

TRIAL_USE = 0.25
"""Share of the planned requests that the trial spends."""

MIN_TRIAL_REQUESTS = 24
"""Requests of the new version that a trial needs."""

MAX_TRIAL_REQUESTS = 32
"""Requests of the new version that a trial takes at most."""

JUDGED_USE = 0.7
"""Share of the trial's requests after which their results are expected to
show that a version is healthy."""

MIN_TRIAL_SHARE = 0.01
"""Minimum share of the trial, when its requests are spent early."""

MIN_PUSH_SHARE = 0.35
"""Minimum share of the push; a smaller one would say little about the load
after ``done``."""

MAX_SHARE = 0.95
"""Maximum share before ``done``; the old version keeps the rest."""

REACTION_S = 0.5
"""Time at the last share that is planned beyond its end, in seconds.

It covers the wait for the last results, and the time until the instances
apply a decision.
"""

_LOG_MIN_EVIDENCE_AT_SHARE = math.log(4.0)

MAX_EXTENSION_S = 0.7
"""Time after the planned end in which the last results are waited for, in
seconds."""

ADJUSTMENT_RATIO = 1.3
"""Ratio of the planned to the present share of the trial from which the share
is adjusted."""

ADJUSTMENT_INTERVAL_S = 1.5
"""Minimum time between two adjustments of the trial's share, in seconds."""


@attrs.frozen
class _Situation:
    """Times and requests that the next step depends on."""

    times: object
    finish_s: float
    rest: float
    requests_per_s: float
    max_share: float

    @property
    def push_from_s(self):
        """Earliest time of the push, in Unix seconds."""
        return self.finish_s - self.times.confirm_s

    @property
    def push_requests(self):
        """Requests that the smallest push needs."""
        longest_s = self.times.confirm_s + REACTION_S
        return MIN_PUSH_SHARE * self.requests_per_s * longest_s

    @property
    def push_s(self):
        """Time for which the rest of the requests suffices, in seconds."""
        longest_s = self.rest / (MAX_SHARE * self.requests_per_s) - REACTION_S
        return min(max(longest_s, self.times.step_s), self.times.confirm_s)


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
    spends the rest at one share, whose results are seen before ``done``.
    """
    finish_s = move.done_by_s - times.reserve_s
    latest_s = finish_s + MAX_EXTENSION_S - times.step_s
    if now_s > move.done_by_s:
        return schedule.RollBack("not enough time: done could not be written")
    if usage is None or not usage.requests_per_s:
        return _hold_or_end(
            finish_s - times.step_s, now_s, "request rate is unknown"
        )
    allowed = times.exposure.compute_allowance(usage.expected)
    situation = _Situation(
        times,
        finish_s,
        PLANNED_USE * allowed - usage.exposed,
        usage.requests_per_s,
        min(capacity.compute_share(move.to_version), MAX_SHARE),
    )
    if situation.max_share < move.share:
        return schedule.Shift(situation.max_share)
    if not situation.max_share:
        return _hold_or_end(
            finish_s - times.step_s, now_s, "too few endpoints"
        )
    if move.share and since_s >= situation.push_from_s:
        return _push(situation, judgement, since_s, now_s)
    if now_s > latest_s:
        return schedule.RollBack(
            f"not enough evidence: judged on {usage.exposed:.0f} requests only"
        )
    match judgement:
        case verdict.Good(evidence=found):
            is_good = found >= bounded_tester.MIN_GOOD_EVIDENCE
        case _:
            is_good = False
    if is_good and now_s >= finish_s - situation.push_s:
        return _begin_push(situation, now_s)
    return _try_out(move, situation, usage.exposed, is_good, since_s, now_s)


def _hold_or_end(latest_s, now_s, reason):
    """Wait for a condition until the move cannot end in time any more."""
    if now_s > latest_s:
        return schedule.RollBack(f"not enough time: {reason}")
    return schedule.Hold(reason)


def _try_out(move, situation, exposed, is_good, since_s, now_s):
    """Choose the share of the trial.

    A version that the trial's requests have not shown to be healthy gets
    those that the push can do without.
    """
    remaining_s = situation.push_from_s - now_s
    if remaining_s <= ADJUSTMENT_INTERVAL_S and move.share:
        return schedule.Hold("the trial ends soon")
    planned = situation.rest + exposed
    budget = min(
        max(TRIAL_USE * planned, MIN_TRIAL_REQUESTS), MAX_TRIAL_REQUESTS
    )
    if not is_good and exposed >= JUDGED_USE * budget:
        budget = max(budget, planned - situation.push_requests)
    rate = (budget - exposed) / max(remaining_s, 1.0)
    share = min(
        max(rate / situation.requests_per_s, MIN_TRIAL_SHARE),
        bounded_tester.MAX_TRIAL_SHARE,
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
    remaining_s = situation.finish_s - now_s + REACTION_S
    share = situation.rest / (situation.requests_per_s * remaining_s)
    if share < MIN_PUSH_SHARE:
        return schedule.RollBack("too few requests are left for a large share")
    return schedule.Shift(min(share, situation.max_share))


def _push(situation, judgement, since_s, now_s):
    """Choose whether the move ends at the large share."""
    earliest_s = since_s + situation.times.step_s
    if now_s < max(situation.finish_s, earliest_s):
        return schedule.Hold("the share is watched")
    match judgement:
        case verdict.Good(covers_routes=True, at_share=at_share) if (
            at_share >= _LOG_MIN_EVIDENCE_AT_SHARE
        ):
            return schedule.Finish()
    if now_s >= max(situation.finish_s + MAX_EXTENSION_S, earliest_s):
        return schedule.RollBack("not enough evidence at this share")
    return schedule.Hold("the last results are awaited")
