"""Shares of a new version over time, planned back from the deadline."""

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
    "GiveUp",
    "Shift",
    "Hold",
    "Plan",
    "choose_endpoints",
    "decide",
    "make_plan",
]

TRIAL_SHARE = 0.015
"""Share until the ramp; at most 0.02 before the first verdict."""

RAMP_SHARES = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8)
"""Shares of the ramp; the last one is watched until the confirmation."""

LAST_SHARE = 0.9
"""Share of the confirmation; the rest still compares the versions."""

SHARES = (TRIAL_SHARE, *RAMP_SHARES, LAST_SHARE)

ROUTES_SHARE = 0.2
"""Share from which each larger route must show that it is good."""

RAMP_SLACK = 2.0
"""Time planned for the ramp and for loading, as a multiple of the least."""

MIN_ENDPOINTS = 2
"""Fewest endpoints with the new version before it gets requests."""

STEP_REQUESTS = 80
"""Requests of the new version that a step of the ramp needs."""

STEP_OLD_REQUESTS = 100
"""Requests of the old version that a step of the ramp needs."""


@attrs.frozen
class Endpoint:
    """What a move needs to know of an endpoint of its service.

    Parameters
    ----------
    address : str
        Where it is.
    slots : int
        Requests that it runs at once.
    versions : tuple of str
        Versions seen loaded.
    checks_fence : bool
        Whether it refuses orders with an old fencing number.
    can_load : bool
        Whether it takes orders to load versions; one that does not keeps
        its version, and new versions start on endpoints of their own.
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
        All that are not leaving.
    load_s : float
        Time from one load to the next that the weight store allows, in
        seconds.
    """

    endpoints: tuple
    load_s: float = 1.0

    @property
    def slots(self):
        """Slots of all endpoints."""
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
        """Endpoints that take orders to load versions."""
        return tuple(each for each in self.endpoints if each.can_load)

    def compute_share(self, version):
        """Return the greatest share that a version's endpoints can take.

        Notes
        -----
        An endpoint that loads versions serves the old one beside the new
        one; one with a fixed version adds its slots to the old ones.
        """
        loaded = self.list_loaded(version)
        rated = [
            endpoint
            for endpoint in self.endpoints
            if endpoint.can_load or version not in endpoint.versions
        ]
        if len(loaded) < min(MIN_ENDPOINTS, len(rated)):
            return 0.0
        slots = sum(endpoint.slots for endpoint in loaded)
        rated_slots = sum(endpoint.slots for endpoint in rated)
        return slots / max(slots, rated_slots) if slots else 0.0


@attrs.frozen
class Plan:
    """Times of a move, in Unix seconds.

    Parameters
    ----------
    load_from_s : float
        When loading on every endpoint begins.
    ramp_from_s : float
        When the ramp begins.
    confirm_from_s : float
        When the last share begins; until then the one before is watched.
    done_by_s : float
        Latest time for writing ``done``.
    times : Times
        Least times of the steps.
    """

    load_from_s: float
    ramp_from_s: float
    confirm_from_s: float
    done_by_s: float
    times: step_times.Times = step_times.DEFAULT_TIMES


@dataclasses.dataclass(frozen=True)
class Hold:
    """Keep the share.

    Parameters
    ----------
    reason : str
        What is waited for.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Shift:
    """Change the share.

    Parameters
    ----------
    share : float
        The new share, 0 to 1.
    """

    share: float


@dataclasses.dataclass(frozen=True)
class Finish:
    """Write ``done``."""


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Roll back.

    Parameters
    ----------
    reason : str
        Why, for the operator.
    """

    reason: str


def make_plan(move, capacity, requests_per_s, times=step_times.DEFAULT_TIMES):
    """Plan back from the deadline.

    Parameters
    ----------
    move : Move
        The move.
    capacity : Capacity
        Endpoints and the rate of loading.
    requests_per_s : float
        Requests of the service, in both versions.
    times : Times
        Least times of the steps.

    Returns
    -------
    Plan
        The times; those before the creation mean at once.

    Notes
    -----
    The trial share lasts as long as it can, because a version that turns
    bad after a while is then found at few requests.
    """
    latest_s = move.done_by_s - times.reserve_s
    step_s = [
        _compute_step_s(share, requests_per_s, times.step_s)
        for share in RAMP_SHARES
    ]
    confirm_s = max(
        times.confirm_s,
        _compute_step_s(LAST_SHARE, requests_per_s, times.step_s),
    )
    confirm_from_s = latest_s - confirm_s
    ramp_from_s = latest_s - RAMP_SLACK * (sum(step_s) + confirm_s)
    load_s = len(capacity.loadable) * capacity.load_s
    load_from_s = ramp_from_s - RAMP_SLACK * load_s
    return Plan(
        load_from_s, ramp_from_s, confirm_from_s, move.done_by_s, times
    )


def _compute_step_s(share, requests_per_s, least_s):
    """Return the time that the evidence at one share needs."""
    if requests_per_s <= 0:
        return math.inf
    return max(
        least_s,
        STEP_REQUESTS / (requests_per_s * share),
        STEP_OLD_REQUESTS / (requests_per_s * (1 - share)),
    )


def decide(move, plan, capacity, judgement, since_s, now_s):
    """Choose the next step of a move that is planned or shifting.

    Parameters
    ----------
    move : Move
        The move.
    plan : Plan
        Its times.
    capacity : Capacity
        Present endpoints.
    judgement : Undecided or Good
        Verdict at the present share.
    since_s : float
        When the present share began, in Unix seconds.
    now_s : float
        The present time, in Unix seconds.

    Returns
    -------
    Hold, Shift, Finish or GiveUp
        What to do.
    """
    if now_s > plan.done_by_s:
        return GiveUp(_explain_delay(move, capacity, judgement))
    able = capacity.compute_share(move.to_version)
    if able < move.share:
        return Shift(max((x for x in SHARES if x <= able), default=0.0))
    rest = [share for share in SHARES if share > move.share]
    if not rest:
        return _decide_end(plan.times, judgement, since_s, now_s)
    if now_s + _compute_least_s(plan.times, rest) > plan.done_by_s:
        return GiveUp(_explain_delay(move, capacity, judgement))
    share = rest[0]
    if able < share:
        return Hold("too few endpoints have the new version")
    if not move.share:
        return Shift(share)
    if not _is_shown_good(judgement, share):
        return Hold("too few requests to judge the new version")
    if now_s - since_s < plan.times.step_s:
        return Hold("the share was just raised")
    if share in RAMP_SHARES and now_s < plan.ramp_from_s:
        return Hold("the ramp begins later")
    if share == LAST_SHARE and now_s < plan.confirm_from_s:
        return Hold("the share is watched until the confirmation")
    return Shift(share)


def _decide_end(times, judgement, since_s, now_s):
    """Choose between confirming the last share and ``done``."""
    if now_s - since_s < times.confirm_s:
        return Hold("the last share is confirmed")
    if not _is_shown_good(judgement, 1.0):
        return Hold("too few requests to judge the new version")
    return Finish()


def _is_shown_good(judgement, share):
    """Return whether the evidence is enough for a share."""
    match judgement:
        case verdict.Good(covers_routes=covers_routes):
            return covers_routes or share < ROUTES_SHARE
        case _:
            return False


def _compute_least_s(times, rest):
    """Return the least time for the shares left and the confirmation."""
    return (len(rest) - 1) * times.step_s + times.confirm_s


def _explain_delay(move, capacity, judgement):
    """Return why the time is not enough."""
    able = capacity.compute_share(move.to_version)
    rest = [share for share in SHARES if share > move.share]
    if rest and able < rest[0]:
        return f"not enough time: endpoints for a share of {able:.2f} only"
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
        Its times.
    capacity : Capacity
        Present endpoints.
    now_s : float
        The present time, in Unix seconds.

    Returns
    -------
    list of Endpoint
        Those loaded already first, then by address.
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
        for place, (endpoint, slots) in enumerate(
            zip(ordered, slots_before, strict=False)
        )
        if place < MIN_ENDPOINTS or slots < needed_slots
    ]
