"""Schedule of a new version's share, planned back from the deadline."""

import dataclasses
import itertools
import math

import attrs

from mulberryhollow.coordination.rollout import times as step_times
from mulberryhollow.coordination.rollout import verdict

__all__ = [
    "Capacity",
    "Endpoint",
    "Finish",
    "Hold",
    "Plan",
    "RollBack",
    "Shift",
    "choose_endpoints",
    "decide",
    "make_plan",
]

TRIAL_SHARE = 0.015
"""Share of the trial phase, before the ramp; it may be at most 0.02 before
the first verdict."""

RAMP_SHARES = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8)
"""Shares of the ramp phase; the last one is held until the confirmation."""

CONFIRM_SHARE = 0.9
"""Share of the confirmation phase.

The old version keeps the rest, so that the versions can still be compared.
"""

SHARES = (TRIAL_SHARE, *RAMP_SHARES, CONFIRM_SHARE)

MIN_ROUTE_EVIDENCE_SHARE = 0.2
"""Share from which each larger route needs evidence of its own that the new
version is healthy."""

RAMP_TIME_FACTOR = 2.0
"""Time planned for the ramp and for loading, as a multiple of the minimum."""

MIN_ENDPOINTS = 2
"""Minimum number of endpoints with the new version before it gets
requests."""

MIN_STEP_REQUESTS = 80
"""Requests of the new version that a step of the ramp needs."""

MIN_STEP_OLD_REQUESTS = 100
"""Requests of the old version that a step of the ramp needs."""


@attrs.frozen
class Endpoint:
    """Endpoint of a service, as observed.

    Parameters
    ----------
    address : str
        Address of the endpoint.
    slots : int
        Number of requests that the endpoint runs concurrently.
    versions : tuple of str
        Versions that are loaded.
    checks_fence : bool
        Whether the endpoint refuses orders with an outdated fencing token.
    can_load : bool
        Whether the endpoint accepts orders to load versions. Otherwise its
        version is fixed, and a new version starts on separate endpoints.
    """

    address: str
    slots: int
    versions: tuple = ()
    checks_fence: bool = True
    can_load: bool = True


@attrs.frozen
class Capacity:
    """Endpoints of the service.

    Parameters
    ----------
    endpoints : tuple of Endpoint
        All endpoints that are not leaving.
    load_s : float
        Minimum time between two loads that the weight store allows, in
        seconds.
    """

    endpoints: tuple
    load_s: float = 1.0

    @property
    def slots(self):
        """Total slots of all endpoints."""
        return sum(endpoint.slots for endpoint in self.endpoints)

    def list_loaded(self, version):
        """Return the endpoints that have a version loaded."""
        return [
            endpoint
            for endpoint in self.endpoints
            if version in endpoint.versions
        ]

    @property
    def loadable(self):
        """Endpoints that accept orders to load versions."""
        return tuple(each for each in self.endpoints if each.can_load)

    def compute_share(self, version):
        """Return the greatest share that a version's endpoints can serve.

        Notes
        -----
        The share is the version's slots relative to the slots needed for the
        service. An endpoint that loads versions serves both versions with
        the same slots. An endpoint whose fixed version is the new one is
        additional: its slots are not counted as needed.
        """
        loaded = self.list_loaded(version)
        needed = [
            endpoint
            for endpoint in self.endpoints
            if endpoint.can_load or version not in endpoint.versions
        ]
        if len(loaded) < min(MIN_ENDPOINTS, len(needed)):
            return 0.0
        slots = sum(endpoint.slots for endpoint in loaded)
        needed_slots = sum(endpoint.slots for endpoint in needed)
        return slots / max(slots, needed_slots) if slots else 0.0


@attrs.frozen
class Plan:
    """Schedule of a move.

    Parameters
    ----------
    load_from_s : float
        When loading on all endpoints begins, in Unix seconds.
    ramp_from_s : float
        When the ramp begins, in Unix seconds.
    confirm_from_s : float
        When the last share begins, in Unix seconds; until then the share
        before it is held.
    done_by_s : float
        Latest time for writing ``done``, in Unix seconds.
    times : Times
        Minimum times of the steps.
    """

    load_from_s: float
    ramp_from_s: float
    confirm_from_s: float
    done_by_s: float
    times: step_times.Times = step_times.DEFAULT_TIMES


@dataclasses.dataclass(frozen=True)
class Hold:
    """Decision: keep the current share.

    Parameters
    ----------
    reason : str
        Condition that the next step waits for.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Shift:
    """Decision: change the share.

    Parameters
    ----------
    share : float
        The new share, 0 to 1.
    """

    share: float


@dataclasses.dataclass(frozen=True)
class Finish:
    """Decision: write ``done``."""


@dataclasses.dataclass(frozen=True)
class RollBack:
    """Decision: roll back.

    Parameters
    ----------
    reason : str
        Explanation for the operator, kept in the record.
    """

    reason: str


def make_plan(move, capacity, requests_per_s, times=step_times.DEFAULT_TIMES):
    """Return the schedule of a move, planned back from its deadline.

    Parameters
    ----------
    move : Move
        The move.
    capacity : Capacity
        Endpoints and the allowed rate of loading.
    requests_per_s : float
        Request rate of the service, over both versions, in requests a second.
    times : Times
        Minimum times of the steps.

    Returns
    -------
    Plan
        The schedule; a time before the creation of the move means at once.

    Notes
    -----
    The trial phase lasts as long as possible: a version that degrades only
    after some time is then detected while it gets few requests.
    """
    latest_s = move.done_by_s - times.reserve_s
    ramp_steps_s = [
        _compute_step_s(share, requests_per_s, times.step_s)
        for share in RAMP_SHARES
    ]
    confirm_s = max(
        times.confirm_s,
        _compute_step_s(CONFIRM_SHARE, requests_per_s, times.step_s),
    )
    confirm_from_s = latest_s - confirm_s
    ramp_from_s = latest_s - RAMP_TIME_FACTOR * (sum(ramp_steps_s) + confirm_s)
    load_s = len(capacity.loadable) * capacity.load_s
    load_from_s = ramp_from_s - RAMP_TIME_FACTOR * load_s
    return Plan(
        load_from_s, ramp_from_s, confirm_from_s, move.done_by_s, times
    )


def _compute_step_s(share, requests_per_s, min_s):
    """Return the time needed to gather evidence at one share, in seconds."""
    if requests_per_s <= 0:
        return math.inf
    return max(
        min_s,
        MIN_STEP_REQUESTS / (requests_per_s * share),
        MIN_STEP_OLD_REQUESTS / (requests_per_s * (1 - share)),
    )


def decide(move, plan, capacity, judgement, since_s, now_s):
    """Return the next step of a move that is planned or shifting.

    Parameters
    ----------
    move : Move
        The move.
    plan : Plan
        Schedule of the move.
    capacity : Capacity
        Current endpoints.
    judgement : Undecided or Good
        Verdict at the current share.
    since_s : float
        When the current share began, in Unix seconds.
    now_s : float
        Current time, in Unix seconds.

    Returns
    -------
    Hold, Shift, Finish or RollBack
        The decision.
    """
    if now_s > plan.done_by_s:
        return RollBack(_explain_delay(move, capacity, judgement))
    max_share = capacity.compute_share(move.to_version)
    if max_share < move.share:
        return Shift(max((x for x in SHARES if x <= max_share), default=0.0))
    remaining_shares = [share for share in SHARES if share > move.share]
    if not remaining_shares:
        return _decide_end(plan.times, judgement, since_s, now_s)
    if (
        now_s + _compute_min_remaining_s(plan.times, remaining_shares)
        > plan.done_by_s
    ):
        return RollBack(_explain_delay(move, capacity, judgement))
    share = remaining_shares[0]
    if max_share < share:
        return Hold("too few endpoints have the new version")
    if not move.share:
        return Shift(share)
    if not _has_enough_evidence(judgement, share):
        return Hold("too few requests to judge the new version")
    if now_s - since_s < plan.times.step_s:
        return Hold("the share was just raised")
    if share in RAMP_SHARES and now_s < plan.ramp_from_s:
        return Hold("the ramp begins later")
    if share == CONFIRM_SHARE and now_s < plan.confirm_from_s:
        return Hold("the share is watched until the confirmation")
    return Shift(share)


def _decide_end(times, judgement, since_s, now_s):
    """Choose between confirming the last share and ``done``."""
    if now_s - since_s < times.confirm_s:
        return Hold("the last share is still being confirmed")
    if not _has_enough_evidence(judgement, 1.0):
        return Hold("too few requests to judge the new version")
    return Finish()


def _has_enough_evidence(judgement, share):
    """Return whether the evidence is enough for a share."""
    match judgement:
        case verdict.Good(covers_routes=covers_routes):
            return covers_routes or share < MIN_ROUTE_EVIDENCE_SHARE
        case _:
            return False


def _compute_min_remaining_s(times, remaining_shares):
    """Return the minimum time for the remaining shares, in seconds.

    It includes the confirmation.
    """
    return (len(remaining_shares) - 1) * times.step_s + times.confirm_s


def _explain_delay(move, capacity, judgement):
    """Return the reason why a move did not finish in time."""
    max_share = capacity.compute_share(move.to_version)
    remaining_shares = [share for share in SHARES if share > move.share]
    if remaining_shares and max_share < remaining_shares[0]:
        return (
            f"not enough time: endpoints for a share of {max_share:.2f} only"
        )
    match judgement:
        case verdict.Undecided(requests):
            return f"not enough time: judged on {requests} requests only"
        case _:
            return "not enough time: done could not be written"


def choose_endpoints(move, plan, capacity, now_s):
    """Return the endpoints that should have the new version by now.

    Parameters
    ----------
    move : Move
        The move, planned or shifting.
    plan : Plan
        Schedule of the move.
    capacity : Capacity
        Current endpoints.
    now_s : float
        Current time, in Unix seconds.

    Returns
    -------
    list of Endpoint
        Endpoints that already have the version first, then by address.
    """
    version = move.to_version
    ordered = sorted(
        capacity.loadable,
        key=lambda endpoint: (
            version not in endpoint.versions,
            endpoint.address,
        ),
    )
    if now_s >= plan.load_from_s:
        return ordered
    needed_slots = TRIAL_SHARE * capacity.slots
    slots_before = itertools.accumulate(
        (endpoint.slots for endpoint in ordered), initial=0
    )
    return [
        endpoint
        for index, (endpoint, slots) in enumerate(
            zip(ordered, slots_before, strict=False)
        )
        if index < MIN_ENDPOINTS or slots < needed_slots
    ]
