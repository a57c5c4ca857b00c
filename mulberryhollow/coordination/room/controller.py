"""Admission controller of one service's room."""

import collections
import math
import random

import attrs

from mulberryhollow.coordination.room import outcomes
from mulberryhollow.coordination.room import rates
from mulberryhollow.coordination.room import returns
from mulberryhollow.coordination.room import shares

__all__ = ["MAX_RETRY_FRACTION", "RoomController", "RoomPart"]

FREE_USE = 0.75
"""Use of the room below which every request is granted."""

TARGET_USE = 0.95
"""Use of the room that the granted requests should cause."""

UNREACHABLE_MARGIN = 0.3
"""Reduction of the target, relative to the unreachable fraction of the fleet.

Each side of a partition sees only its own requests, so the chance variations
of both sides need room.
"""

SCALE_DECAY_S = 4.0
"""Time constant with which the scale follows the observed use, in seconds.

The error of the estimates changes slowly, and a scale that followed every
wave of load would swing with the age of the observed use.
"""

FIRST_SCALE_DECAY_S = 0.5
"""The same at the start, for estimates that are too long, in seconds.

They cause refusals at a low use. Those that are too short first show as
waiting requests, from which their error cannot be told at once.
"""

FIRST_WAIT_S = 1.0
"""Time from the first request until the scale is learned, in seconds.

Before that the observed use is older than the requests.
"""

SCALE_WINDOW_S = 1.0
"""Time over which the change of the use is measured, in seconds."""

FIRST_SCALE_STEP = 4.0
MAX_SCALE_STEP = 1.5
"""Maximum ratio of one observation to the scale; at first only downwards.

Single observations vary by chance and with the age of their inputs.
"""

MIN_SCALE = 0.2
MAX_SCALE = 5.0
"""Bounds of the ratio of observed to expected places."""

DRAIN_S = 1.0
"""Time in which waiting requests are to be worked off, in seconds.

Not less than the age of the observed use, so that it does not oscillate.
"""

MIN_CAPACITY_FRACTION = 0.3
"""Minimum part of the room that is granted while requests wait.

A wrong report of the use must not stop the admission.
"""

UPDATE_INTERVAL_S = 0.25
"""Interval between two divisions of the room, in seconds."""

DEMAND_DECAY_S = 1.0
"""Time constant of the demand, in seconds.

Bursts last for seconds, and a wave of load has to be seen in its first one.
"""

SPARSE_DECAY_S = 8.0
"""Time constant of the demand where requests are few, in seconds."""

SPARSE_PER_S = 12.0
"""Requests per second below which the demand is sparse.

A second then holds too few requests to tell demand from chance.
"""

RECENT_S = 0.4
"""Time constant of the local arrivals and grants of this moment, in seconds.

About the age of what is known of the other instances.
"""

MAX_BURST = 3.0
"""Maximum ratio by which the others' demand is extrapolated.

Bursts reach 2.5 times the usual load.
"""

MAX_FOLLOWED = 1.25
"""Maximum ratio of granted requests to what the shares intend.

It is above 1, since the local ratio varies by chance in both directions.
"""

BURST_SAMPLES = 10.0
"""Local requests in `RECENT_S` at which half of a burst is believed.

Fewer requests vary too much by chance.
"""

MAX_KEYS = 512
"""Maximum number of ranks and accounts whose demand is kept."""

REMOTE_LIFETIME_S = 3.0
"""Age above which the demand at other instances is not used, in seconds."""

RESERVED_DEVIATIONS = 1.0
"""Reserve for more urgent requests, in standard deviations of their use.

The number of requests in service varies by the root of its mean.
"""

MAX_RESERVED_FRACTION = 0.15
"""Maximum reserve, as a fraction of the places."""

URGENT_WAIT_FRACTION = 0.5
"""Wait that the most urgent requests accept, as a fraction of their goal."""

WAIT_FRACTION = 0.25
"""Wait that less urgent requests may cause, as a fraction of a goal.

The goal is their own, and that of any more urgent rank.
"""

MEAN_WEIGHT = 0.05
"""Weight of the latest request in a mean."""

MIN_KNOWN_PLACES = 0.5
"""Known granted work from which the scale is learned, in places.

A smaller sample of requests says little about their work.
"""

MIN_OBSERVED_FRACTION = 0.9
"""Part of the work from which the use of places shows the use of the room.

Below it, the speed or memory of the endpoints is exhausted before the places.
"""

MIN_LOCAL_PART = 0.001
"""Minimum part of the demand that is assumed to be local."""

LATE_DEMAND = 0.8
"""Demand per capacity from which late requests take room from others."""

RETURN_DEBT = 4.0
"""Requests by which returning callers may exceed their share.

The share then grants that many fewer new requests.
"""

MIN_RETRY_S = 0.02
"""Minimum Retry-After, in seconds; shorter times only cause messages."""

MAX_RETRY_FRACTION = 1 / 3
"""Maximum Retry-After, as a fraction of the time left to the deadline."""

MAX_RETRY_GOAL_FRACTION = 0.5
"""The same, as a fraction of the time left to the goal."""

MAX_HOLD_S = 30.0
"""Maximum time for which a granted request counts as running, in seconds."""


_ARRIVED, _ASKED, _GRANTED = "arrived", "asked", "granted"


@attrs.frozen
class RoomPart:
    """Part of the room about which this instance decides.

    Parameters
    ----------
    parts : float
        Number of parts into which the room is divided while the demand at
        the other instances is not known.
    reachable_fraction : float
        Fraction of the fleet on this side of a partition; the requests of
        this side get that fraction of the room.
    """

    parts: float = 1.0
    reachable_fraction: float = 1.0


@attrs.define
class _Division:
    """Latest division of the room among ranks and accounts."""

    at_s: float = -math.inf
    fractions: dict = attrs.field(factory=dict)
    demand: float = 0.0
    capacity: float = 0.0
    granted_remote: float = 0.0
    local_fraction: float = 1.0
    local_part: float = 1.0
    by_rank: dict = attrs.field(factory=dict)
    by_account: dict = attrs.field(factory=dict)

    def is_within_share(self, account):
        """Return whether an account asks for less than an equal part."""
        if not self.by_account:
            return True
        equal = self.capacity / len(self.by_account)
        return self.by_account.get(account, 0.0) <= equal


class RoomController:
    """Decides for each request of a service whether there is room for it.

    Parameters
    ----------
    seed : int
        Seed of the random phases and retry times. Instances should have
        different ones, so that they do not refuse in step.

    Notes
    -----
    The demand of the last seconds is measured in places, that is the time
    for which requests occupy a place, per second. The capacity is the number
    of places, divided by a scale: the ratio of the observed use to what the
    granted requests should occupy, which absorbs a common error of the
    estimated work. Each rank and
    account is granted a fraction of its requests. It is computed from the
    demand at all instances and applied to the local requests, so the shares
    and floors hold for the sum over the holders. The fraction does not
    depend on the size of a request, so all sizes are served alike.
    """

    def __init__(self, seed=0):
        self._rng = random.Random(seed)
        self._part = RoomPart()
        self._demand = rates.DecayingSums(DEMAND_DECAY_S, MAX_KEYS)
        self._sparse_demand = rates.DecayingSums(SPARSE_DECAY_S, MAX_KEYS)
        self._sparse_arrivals = rates.DecayingSums(SPARSE_DECAY_S, MAX_KEYS)
        self._arrivals = rates.DecayingSums(DEMAND_DECAY_S, MAX_KEYS)
        self._remote = {}
        self._remote_at_s = -math.inf
        self._recent = rates.DecayingSums(RECENT_S, MAX_KEYS)
        self._usual_arrivals = 0.0
        self._scale = 1.0
        self._learned_s = 0.0
        self._began_s = None
        self._mean_granted = 0.0
        self._use_history = collections.deque()
        self._division = _Division()
        self._credit = {}
        self._returns = returns.ReturnTable()
        self._next_return_s = {}
        self._hold_s = None
        self._held_fraction = 1.0
        self._goals = {}

    def set_part(self, part):
        """Set the `RoomPart` of this instance."""
        self._part = part

    def set_remote(self, demand, now_s):
        """Set the demand at the other instances that decide.

        Parameters
        ----------
        demand : dict
            (rank, account) to demand, in places.
        now_s : float
            The time, in seconds.
        """
        self._remote = demand
        self._remote_at_s = now_s
        self._usual_arrivals = sum(self._arrivals.list_rates(now_s).values())

    def list_demand(self, now_s):
        """Return the local demand by (rank, account), in places."""
        return self._demand.list_rates(now_s)

    def count_remembered(self):
        """Return the number of refused requests that are remembered."""
        return len(self._returns)

    def decide(self, request, room, now_s):
        """Decide on a request.

        Parameters
        ----------
        request : RoomRequest
            The request.
        room : ServiceRoom
            Room of its service.
        now_s : float
            The time, in seconds.

        Returns
        -------
        Granted or NoRoom
        """
        key = request.rank, request.account
        places = count_places(request.work, room)
        kind = self._returns.classify(request.fingerprint, now_s)
        if kind is returns.Return.NEW:
            self._demand.add(key, places, now_s)
            self._sparse_demand.add(key, places, now_s)
            self._sparse_arrivals.add(_ARRIVED, 1.0, now_s)
            self._arrivals.add(request.rank, 1.0, now_s)
            self._recent.add(_ARRIVED, 1.0, now_s)
            self._recent.add(_ASKED, places, now_s)
        self._observe_goal(request)
        use = self._measure_use(room)
        if not room.slots:
            inputs = outcomes.RoomInputs(use, age_s=room.age_s)
            return outcomes.Granted(outcomes.Rule.UNKNOWN, inputs)
        division = self._divide(use, room, now_s)
        inputs = outcomes.RoomInputs(
            use,
            self._estimate_wait_s(use, 0.0, room, now_s),
            division.fractions.get(key, 1.0),
            division.demand,
            division.capacity,
            self._get_age_s(room, now_s),
        )
        rule = self._find_rule(request, kind, inputs, room, now_s)
        match rule:
            case (
                outcomes.Rule.AMPLE
                | outcomes.Rule.SHARE
                | outcomes.Rule.RETURNED
            ) if self._is_granted(rule, key, inputs.share):
                self._recent.add(_GRANTED, places, now_s)
                self._observe_held(request.work.total_s, places)
                self._start(request)
                return outcomes.Granted(rule, inputs)
        retry_s = self._plan_return(request, kind, inputs, now_s)
        return outcomes.NoRoom(rule, retry_s, inputs)

    def withdraw(self, key):
        """Take back a granted request that another limit has refused.

        Parameters
        ----------
        key : (int, str)
            Rank and account of the request.
        """
        self._credit[key] = self._credit.get(key, 0.0) + 1.0

    def _find_rule(self, request, kind, inputs, room, now_s):
        """Return the rule that decides on a request."""
        rule = outcomes.Rule
        if self._is_free(inputs, room, now_s):
            return rule.AMPLE
        if inputs.wait_s > request.deadline_left_s:
            return rule.EXPIRED
        is_late = inputs.wait_s > request.goal_left_s
        if is_late and inputs.demand > LATE_DEMAND * inputs.capacity:
            return rule.LATE
        if not self._has_memory(request, room):
            return rule.MEMORY
        is_short = inputs.demand > inputs.capacity
        if kind is returns.Return.EARLY and is_short:
            return rule.IMPATIENT
        if not is_late and not self._keeps_reserve(
            request, inputs.use, room, now_s
        ):
            return rule.RESERVED
        if kind is returns.Return.ON_TIME:
            return rule.RETURNED
        return rule.SHARE

    def _is_free(self, inputs, room, now_s):
        """Return whether the use is below the limit for free admission.

        The requests that have come since the use was observed may count, and
        they do not matter where the demand is small.
        """
        if inputs.use >= FREE_USE:
            return False
        if inputs.demand < FREE_USE * inputs.capacity:
            return True
        if not self._knows_remote(now_s) and self._is_sparse(now_s):
            # A few requests say nothing about those at other instances.
            return True
        if self._held_fraction < MIN_OBSERVED_FRACTION:
            return False
        arrivals = self._recent.get_rate(_ARRIVED, now_s)
        everywhere = arrivals / max(MIN_LOCAL_PART, self._division.local_part)
        slots = room.slots * self._part.reachable_fraction
        added = everywhere * room.age_s / slots
        return inputs.use + added < FREE_USE

    def _is_granted(self, rule, key, share):
        """Return whether a request is among the fraction that is granted."""
        if rule is outcomes.Rule.AMPLE or share >= 1.0:
            return True
        credit = self._credit.get(key)
        if credit is None:
            credit = self._rng.random()
        if rule is outcomes.Rule.RETURNED:
            # Its demand was counted when it was refused.
            is_granted = credit >= 1.0 - RETURN_DEBT
        else:
            credit = min(1.0, credit) + share
            is_granted = credit >= 1.0
        if len(self._credit) >= MAX_KEYS:
            self._credit.clear()
        self._credit[key] = credit - is_granted
        return is_granted

    def _start(self, request):
        """Update what is known of granted requests by one more."""
        hold_s = min(MAX_HOLD_S, request.work.total_s)
        mean = hold_s if self._hold_s is None else self._hold_s
        self._hold_s = mean + MEAN_WEIGHT * (hold_s - mean)
        self._returns.remove(request.fingerprint)

    def _observe_held(self, hold_s, places):
        """Update the part of the granted places that the use shows.

        The use counts requests, also where their work takes more of the
        speed or memory than of the places.
        """
        held = hold_s / places if places else 1.0
        self._held_fraction += MEAN_WEIGHT * (held - self._held_fraction)

    def _observe_goal(self, request):
        """Update the mean time left to the goal of a rank."""
        goal_s = max(0.0, request.goal_left_s)
        mean = self._goals.get(request.rank, goal_s)
        self._goals[request.rank] = mean + MEAN_WEIGHT * (goal_s - mean)

    def _measure_use(self, room):
        """Return the use of the room, where 1 means that it is full.

        What this instance has placed counts at once; the rest is as old as
        `ServiceRoom.age_s`.
        """
        part = self._part.reachable_fraction
        use = room.used_slots / (room.slots * part) if room.slots else 1.0
        if room.memory_tokens:
            use = max(use, room.used_memory_tokens / room.memory_tokens)
        return use

    def _has_memory(self, request, room):
        """Return whether the request's future memory fits."""
        if not room.memory_tokens:
            return True
        used = room.used_memory_tokens / self._part.reachable_fraction
        return used + request.work.high_memory_tokens <= room.memory_tokens

    def _estimate_wait_s(self, use, reserved, room, now_s):
        """Return the time until a further request starts, in seconds.

        Since the use was observed, the requests that waited were worked off,
        and the granted ones were added.
        """
        slots = room.slots * self._part.reachable_fraction
        excess = use * slots + 1.0 + reserved - slots
        wait_s = max(0.0, excess) * self._get_hold_s() / slots
        load = self._scale * self._count_granted(now_s)
        growth = load / self._get_places(room, now_s) - 1.0
        if not self._knows_remote(now_s):
            growth *= self._weigh_recent(now_s)
        return max(0.0, wait_s + room.age_s * growth)

    def _count_granted(self, now_s):
        """Return the places that the requests granted now will take.

        The other instances are expected to depart from their shares as this
        one does.
        """
        granted = self._recent.get_rate(_GRANTED, now_s)
        asked = self._recent.get_rate(_ASKED, now_s)
        division = self._division
        intended = asked * division.local_fraction
        ratio = min(MAX_FOLLOWED, granted / intended) if intended else 1.0
        followed = 1.0 + self._weigh_recent(now_s) * (ratio - 1.0)
        return granted + division.granted_remote * followed

    def _is_sparse(self, now_s):
        """Return whether the local requests are few."""
        arrivals = self._sparse_arrivals.get_rate(_ARRIVED, now_s)
        return arrivals < SPARSE_PER_S

    def _weigh_recent(self, now_s):
        """Return how far the recent local requests are representative."""
        samples = self._recent.get_rate(_ARRIVED, now_s) * RECENT_S
        return samples / (samples + BURST_SAMPLES)

    def _extrapolate_remote(self, now_s):
        """Return the demand at the other instances at this moment.

        A burst reaches all instances at the same time, so it is seen in the
        local requests before the others report it.
        """
        if not self._knows_remote(now_s):
            return {}
        usual = self._usual_arrivals
        arrivals = self._recent.get_rate(_ARRIVED, now_s)
        weight = self._weigh_recent(now_s)
        ratio = arrivals / usual if usual else 1.0
        ratio = min(MAX_BURST, max(1.0, 1.0 + weight * (ratio - 1.0)))
        return {key: ratio * each for key, each in self._remote.items()}

    def _get_hold_s(self):
        """Return the time for which a request holds a place, in seconds."""
        return (self._hold_s or 0.0) * self._scale

    def _keeps_reserve(self, request, use, room, now_s):
        """Return whether a request leaves the room of more urgent ones.

        The accounts that ask for more than an equal part of the room keep
        the reserve free, and the others do not pay for them.
        """
        by_rank = self._division.by_rank
        urgent = sum(
            amount for rank, amount in by_rank.items() if rank < request.rank
        )
        if not urgent or self._division.is_within_share(request.account):
            limit_s = URGENT_WAIT_FRACTION * request.goal_left_s
            wait_s = self._estimate_wait_s(use, 0.0, room, now_s)
            return wait_s <= max(0.0, limit_s)
        reserved = min(
            RESERVED_DEVIATIONS * math.sqrt(urgent),
            MAX_RESERVED_FRACTION * room.slots,
        )
        goals = [
            goal_s
            for rank, goal_s in self._goals.items()
            if rank < request.rank and by_rank.get(rank)
        ]
        goal_s = min([max(0.0, request.goal_left_s), *goals])
        wait_s = self._estimate_wait_s(use, reserved, room, now_s)
        return wait_s <= WAIT_FRACTION * goal_s

    def _update_scale(self, use, room, interval_s, now_s):
        """Follow the ratio of the observed use to the expected one.

        What was granted either is running or has made the queue longer.
        """
        slots = room.slots * self._part.reachable_fraction
        part = self._get_places(room, now_s) / slots
        used = use * slots
        if self._began_s is None:
            self._began_s = now_s
        history = self._use_history
        history.append((now_s, used))
        while now_s - history[0][0] > SCALE_WINDOW_S:
            history.popleft()
        weight = 1.0 - math.exp(-min(1.0, interval_s) / SCALE_WINDOW_S)
        known = self._count_granted(now_s) * self._held_fraction
        self._mean_granted += weight * (known - self._mean_granted)
        window_s = now_s - history[0][0]
        is_known = self._knows_remote(now_s) or not self._is_sparse(now_s)
        if (
            not is_known
            or self._mean_granted < MIN_KNOWN_PLACES
            or window_s < SCALE_WINDOW_S / 2
            or now_s - self._began_s < FIRST_WAIT_S
        ):
            return
        granted = self._mean_granted / part
        growth = (used - history[0][1]) / window_s * (self._hold_s or 0.0)
        is_first = self._learned_s < SCALE_WINDOW_S
        step = FIRST_SCALE_STEP if is_first else MAX_SCALE_STEP
        served = max(granted / MAX_SCALE_STEP, granted - growth)
        observed = min(used, slots) / served
        lowest = self._scale / step
        highest = self._scale * MAX_SCALE_STEP
        observed = min(highest, max(lowest, observed))
        interval_s = min(1.0, interval_s)
        decay_s = SCALE_DECAY_S
        if observed < self._scale and use < FREE_USE:
            first_s = FIRST_SCALE_DECAY_S + self._learned_s
            decay_s = min(SCALE_DECAY_S, first_s)
        self._learned_s += interval_s
        weight = 1.0 - math.exp(-interval_s / decay_s)
        scale = self._scale + weight * (observed - self._scale)
        self._scale = min(MAX_SCALE, max(MIN_SCALE, scale))

    def _find_capacity(self, use, room, now_s):
        """Return the room to be divided, in places of estimated work."""
        places = self._get_places(room, now_s)
        wait_s = self._estimate_wait_s(use, 0.0, room, now_s)
        drained = places * wait_s / DRAIN_S
        lowest = MIN_CAPACITY_FRACTION * places
        unreachable = 1.0 - self._part.reachable_fraction
        target = TARGET_USE - UNREACHABLE_MARGIN * unreachable
        return max(lowest, target * places - drained) / self._scale

    def _knows_remote(self, now_s):
        """Return whether the demand at the other instances is known."""
        return now_s - self._remote_at_s < REMOTE_LIFETIME_S

    def _get_places(self, room, now_s):
        """Return the places that the known demand is divided among."""
        part = self._part
        if self._knows_remote(now_s):
            return room.slots * part.reachable_fraction
        return room.slots / part.parts

    def _get_age_s(self, room, now_s):
        """Return the age of the oldest input of a decision, in seconds."""
        if self._knows_remote(now_s):
            return max(room.age_s, now_s - self._remote_at_s)
        return room.age_s

    def _divide(self, use, room, now_s):
        """Return the `_Division` of the room, computed again after a while."""
        division = self._division
        interval_s = now_s - division.at_s
        if interval_s < UPDATE_INTERVAL_S:
            return division
        self._update_scale(use, room, interval_s, now_s)
        own = self._demand.list_rates(now_s)
        if self._is_sparse(now_s) and not self._knows_remote(now_s):
            own = self._sparse_demand.list_rates(now_s)
        demand = collections.Counter(own)
        remote = self._extrapolate_remote(now_s)
        local = sum(own.values())
        demand.update(remote)
        capacity = self._find_capacity(use, room, now_s)
        by_rank, by_account = collections.Counter(), collections.Counter()
        for (rank, account), amount in demand.items():
            by_rank[rank] += amount
            by_account[account] += amount
        fractions = shares.divide_room(demand, capacity)
        self._division = _Division(
            now_s,
            fractions,
            sum(demand.values()),
            capacity,
            sum(fractions[key] * amount for key, amount in remote.items()),
            sum(fractions[key] * own[key] for key in own) / local
            if local
            else 1.0,
            self._measure_local_part(local, demand, now_s),
            by_rank,
            by_account,
        )
        return self._division

    def _measure_local_part(self, local, demand, now_s):
        """Return the part of the demand that is at this instance."""
        if not self._knows_remote(now_s):
            part = self._part
            return 1.0 / (part.parts * part.reachable_fraction)
        total = sum(demand.values())
        return local / total if total else 1.0

    def _plan_return(self, request, kind, inputs, now_s):
        """Return the Retry-After of a refused request, in seconds.

        The return times of a rank are spaced by its rate of granted
        requests, and lie within the time that is left to the caller.
        """
        if kind is returns.Return.EARLY:
            left_s = self._returns.get_left_s(request.fingerprint, now_s)
            return max(MIN_RETRY_S, left_s)
        latest_s = MAX_RETRY_FRACTION * max(0.0, request.deadline_left_s)
        if request.goal_left_s > 0:
            in_goal_s = MAX_RETRY_GOAL_FRACTION * request.goal_left_s
            latest_s = min(latest_s, in_goal_s)
        earliest_s = min(latest_s, max(MIN_RETRY_S, inputs.wait_s))
        rate = self._arrivals.get_rate(request.rank, now_s) * inputs.share
        spacing_s = 1.0 / rate if rate else math.inf
        last_s = self._next_return_s.get(request.rank, -math.inf)
        retry_s = max(earliest_s, last_s + spacing_s - now_s)
        if retry_s > latest_s:
            retry_s = self._rng.uniform(earliest_s, latest_s)
        else:
            self._next_return_s[request.rank] = now_s + retry_s
        self._returns.add(request.fingerprint, now_s + retry_s, now_s)
        return retry_s


def count_places(work, room):
    """Return the work of a request in seconds of a place.

    It is the time for which the request occupies a place, or more where it
    takes a larger part of an endpoint's speed or memory.
    """
    places = work.total_s
    if not work.memory_tokens:
        return places
    if room.speed:
        places = max(places, work.prompt_s * room.slots / room.speed)
    if room.memory_tokens:
        memory = work.memory_tokens * room.slots / room.memory_tokens
        places = max(places, memory * work.total_s)
    return places
