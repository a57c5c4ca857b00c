"""Permits for requests to endpoints that limit their rate."""

import collections
import math

import attrs

from mulberryhollow.coordination.limits import outcomes

__all__ = ["EndpointRateTable", "RateDraw", "RateLimit"]

PROBE_RATE_PER_S = 0.2
"""Minimum rate of requests to a limited endpoint, per second.

Only an answer tells that the limit has ended, so an endpoint that names a
rate of 0 gets a request now and then.
"""

BURST_REQUESTS = 2.0
"""Permits that accumulate while no request needs them, in requests."""

BURST_S = 0.25
"""The same in seconds of the rate; the larger one of both applies."""

STANDBY_FRACTION = 0.25
"""Fraction of a named rate granted beside another instance that may grant.

That is the second owner, which is asked while the first gives no answer, and
a first owner that has been one for less than `TAKEOVER_S`.
"""

TAKEOVER_S = 2.0
"""Time after which all instances ask the same first owner, in seconds."""

MAX_WAIT_S = 2.0
"""Maximum time for which an instance does not ask again, in seconds."""

MIN_WAIT_S = 0.05
"""Minimum time for which an instance does not ask again, in seconds."""

WINDOW_S = 1.0
"""Length of the window in which the permits of a cold endpoint are counted.

In seconds; the platform counts the requests of any one second.
"""

COUNTED_TURNS = 2.0
"""Askers that are told to return in the time of one permit.

Applies where permits are counted in each second. Many an asker has no request
when its turn comes, and a permit that is taken late delays the following ones.
"""

COUNTED_SPARE = 2.0
"""Permits from which an account that has got more than others has one too.

Applies where permits are counted in each second: one is left for the others,
and those that accumulate beyond it would not be used within the second.
"""

MIN_OWNER_FRACTION = 0.85
"""Least fraction of a cold endpoint's rate that its usual owner grants.

At least 0.8 of the rate has to be used; the rest are permits that no request
takes in time.
"""

ACCOUNT_DECAY_S = 4.0
"""Time constant with which the permits of an account are forgotten, in s."""

CONTENTION_S = 2.0
"""Time for which an account without a permit counts as waiting, in seconds."""

MAX_BUCKETS = 4096
"""Maximum number of buckets, one for each limit of an endpoint."""

MAX_ACCOUNTS = 4096
"""Maximum number of client accounts that are counted at one endpoint."""


@attrs.frozen
class RateLimit:
    """A limit on the requests that all instances send to an endpoint.

    Parameters
    ----------
    name : str
        Name of the limit; the limits of one endpoint have different ones.
    rate_per_s : float
        Rate that the endpoint takes, per second.
    most_per_s : float or None
        Requests that may arrive in any one second; None if only the rate
        over a longer time counts.
    """

    name: str
    rate_per_s: float
    most_per_s: float | None = None


@attrs.frozen
class RateDraw:
    """Request for one permit.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that limits its rate.
    account : str
        Client account of the request to be sent.
    limits : tuple of RateLimit
        Limits of the endpoint, all of which the request has to respect.
    fraction : float
        Fraction of the instances that this one reaches, from 0 to 1, and so
        of the rates that it grants.
    is_standby : bool
        Whether another instance is the endpoint's first owner.
    """

    endpoint_id: str
    account: str
    limits: tuple
    fraction: float = 1.0
    is_standby: bool = False


@attrs.frozen
class _Allotment:
    """Part of a limit that one owner grants.

    Parameters
    ----------
    rate_per_s : float
        Rate of the permits, per second.
    burst : float
        Permits that accumulate while no request needs them.
    most_per_s : int or None
        Permits in any one second; None if they are not counted.
    """

    rate_per_s: float
    burst: float
    most_per_s: int | None = None


def _allot(limit, draw, age_s):
    """Return the part of a limit that an owner grants.

    Parameters
    ----------
    limit : RateLimit
        The limit.
    draw : RateDraw
        Tells whether another owner may grant too.
    age_s : float
        Time since this instance granted the first permit, in seconds.
    """
    if limit.most_per_s is None:
        return _allot_named(limit, draw, age_s)
    return _allot_counted(limit, draw, age_s)


def _allot_named(limit, draw, age_s):
    """Return the allotment of a rate that counts over some seconds.

    Two owners at once grant at most `STANDBY_FRACTION` above the rate.
    """
    fraction = draw.fraction
    if draw.is_standby:
        fraction *= STANDBY_FRACTION
    if age_s < TAKEOVER_S:
        fraction = min(fraction, STANDBY_FRACTION)
    rate_per_s = max(PROBE_RATE_PER_S, limit.rate_per_s) * fraction
    return _Allotment(rate_per_s, _compute_burst(rate_per_s, fraction))


def _allot_counted(limit, draw, age_s):
    """Return the allotment of a limit whose requests are counted.

    Two owners at once stay within the number for any one second. If half of
    that number is nearly the whole rate, each owner grants it at all times,
    so that a change of the owner costs nothing. Otherwise the usual owner
    grants most of the number and a new or second one the rest.
    """
    most = math.floor(limit.most_per_s)
    share = most // 2
    needed = math.ceil(MIN_OWNER_FRACTION * limit.rate_per_s)
    if share < needed:
        usual = min(most, needed)
        is_usual = not draw.is_standby and age_s >= TAKEOVER_S
        share = usual if is_usual else most - usual
    share = min(share, math.floor(limit.most_per_s * draw.fraction))
    # Not lowered to the share: permits that no request has taken for a moment
    # could not be made up for within the second.
    rate_per_s = limit.rate_per_s * draw.fraction if share else 0.0
    return _Allotment(
        rate_per_s, _compute_burst(rate_per_s, draw.fraction), share
    )


def _compute_burst(rate_per_s, fraction):
    """Return the permits that may accumulate, in requests."""
    most = max(BURST_REQUESTS, BURST_S * rate_per_s)
    return 1.0 + fraction * (most - 1.0)


@attrs.define
class _Bucket:
    """Token bucket of one limit of an endpoint.

    Parameters
    ----------
    created_s, updated_s : float
        Monotonic times, in seconds.
    tokens : float
        Available permits; a new bucket is empty, since another instance
        may have granted permits until now.
    turn_s : float
        Time up to which askers have been told when to ask again, in seconds.
    granted : dict
        Client account to its decayed number of permits.
    granted_s : collections.deque
        Times of the permits within `WINDOW_S`, where these are counted.
    refused_s : dict
        Client account to the time of its last refusal, in seconds.
    """

    created_s: float
    updated_s: float
    tokens: float = 0.0
    turn_s: float = float("-inf")
    granted: dict = attrs.field(factory=dict)
    refused_s: dict = attrs.field(factory=dict)
    granted_s: collections.deque = attrs.field(factory=collections.deque)

    def refill(self, allotment, now_s):
        """Add the permits since the last call, up to a maximum."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.tokens = min(
            allotment.burst, self.tokens + allotment.rate_per_s * elapsed_s
        )
        while self.granted_s and now_s - self.granted_s[0] >= WINDOW_S:
            self.granted_s.popleft()
        decay = math.exp(-elapsed_s / ACCOUNT_DECAY_S)
        self.granted = {
            account: count * decay for account, count in self.granted.items()
        }

    def can_grant(self, allotment, account, now_s):
        """Return whether an account may have a permit now."""
        if self._is_window_full(allotment) or self.tokens < 1.0:
            return False
        spare = allotment.burst
        if allotment.most_per_s is not None:
            spare = min(spare, COUNTED_SPARE)
        return self.tokens >= spare or not self._is_behind(account, now_s)

    def _is_window_full(self, allotment):
        """Return whether the permits of the last second are used up."""
        most = allotment.most_per_s
        return most is not None and len(self.granted_s) >= most

    def _is_behind(self, account, now_s):
        """Return whether a waiting account has got fewer permits."""
        local = self.granted.get(account, 0.0)
        return any(
            self.granted.get(other, 0.0) + 1.0 <= local
            for other, refused_s in self.refused_s.items()
            if other != account and now_s - refused_s < CONTENTION_S
        )

    def _is_below_mean(self, account):
        """Return whether an account has got less than accounts on average."""
        local = self.granted.get(account, 0.0)
        return local * len(self.granted) < sum(self.granted.values())

    def grant(self, allotment, account, now_s):
        """Take one permit for an account."""
        self.tokens -= 1.0
        if allotment.most_per_s is not None:
            self.granted_s.append(now_s)
        self.granted[account] = self.granted.get(account, 0.0) + 1.0
        self.refused_s.pop(account, None)

    def refuse(self, allotment, account, now_s):
        """Return the time after which an account's next turn comes, in s."""
        if len(self.refused_s) >= MAX_ACCOUNTS:
            self.refused_s.clear()
            self.granted.clear()
        self.refused_s[account] = now_s
        if not allotment.rate_per_s:
            return MAX_WAIT_S
        lack_s = max(0.0, 1.0 - self.tokens) / allotment.rate_per_s
        if self._is_window_full(allotment):
            lack_s = max(lack_s, self.granted_s[0] + WINDOW_S - now_s)
        if allotment.most_per_s is not None and self._is_below_mean(account):
            # Its turn is the next one: it has got less than its share.
            return min(MAX_WAIT_S, max(MIN_WAIT_S, lack_s))
        turn_s = max(self.turn_s, now_s + lack_s)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, turn_s - now_s))
        turns_per_s = allotment.rate_per_s
        if allotment.most_per_s is not None:
            turns_per_s *= COUNTED_TURNS
        self.turn_s = min(now_s + MAX_WAIT_S, turn_s + 1.0 / turns_per_s)
        return wait_s


class EndpointRateTable:
    """Permits that one instance grants on behalf of all instances.

    Attributes
    ----------
    cold_rules : ColdRules
        Tolerances of the rates of cold endpoints.

    Notes
    -----
    Each endpoint has a usual owner among the instances, which grants the
    permits of all of them, so that neither the number of instances nor the
    division of their requests matters. Two owners grant at the same time only
    while instances disagree about the members.
    """

    def __init__(self):
        self.cold_rules = outcomes.ColdRules()
        self._buckets = collections.OrderedDict()

    def make_cold_limit(self, rate_per_s):
        """Return the RateLimit of a cold endpoint with a rate per second."""
        rules = self.cold_rules
        most_per_s = rate_per_s * rules.overrun + rules.slack
        return RateLimit("cold", rate_per_s, most_per_s)

    def draw(self, draw, now_s):
        """Take one permit.

        Parameters
        ----------
        draw : RateDraw
            The request for a permit.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        PermitGranted or PermitRefused
            Granted only if every limit has a permit, which is then taken
            from all of them; none is taken otherwise.
        """
        buckets = [
            self._find_bucket((draw.endpoint_id, limit.name), now_s)
            for limit in draw.limits
        ]
        allotments = [
            _allot(limit, draw, now_s - bucket.created_s)
            for limit, bucket in zip(draw.limits, buckets, strict=True)
        ]
        pairs = list(zip(buckets, allotments, strict=True))
        for bucket, allotment in pairs:
            bucket.refill(allotment, now_s)
        waits = [
            bucket.refuse(allotment, draw.account, now_s)
            for bucket, allotment in pairs
            if not bucket.can_grant(allotment, draw.account, now_s)
        ]
        if waits:
            return outcomes.PermitRefused(max(waits))
        for bucket, allotment in pairs:
            bucket.grant(allotment, draw.account, now_s)
        return outcomes.PermitGranted()

    def _find_bucket(self, key, now_s):
        """Return the bucket of a limit, which is created if needed."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = _Bucket(now_s, now_s)
            self._buckets[key] = bucket
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(key)
        return bucket
