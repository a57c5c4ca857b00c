"""Permits for requests to endpoints that limit their rate."""

import collections
import math

import attrs

from mulberryhollow.coordination.limits import outcomes

__all__ = ["EndpointRateTable", "RateDraw", "STANDBY_FRACTION"]

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
"""Fraction of a rate granted by an instance beside which another may grant.

That is the second owner, which is asked while the first gives no answer, and
a first owner that has been one for less than `TAKEOVER_S`.
"""

TAKEOVER_S = 2.0
"""Time after which all instances ask the same first owner, in seconds."""

MAX_WAIT_S = 2.0
"""Maximum time for which an instance does not ask again, in seconds."""

MIN_WAIT_S = 0.05
"""Minimum time for which an instance does not ask again, in seconds."""

ACCOUNT_DECAY_S = 4.0
"""Time constant with which the permits of an account are forgotten, in s."""

CONTENTION_S = 2.0
"""Time for which an account without a permit counts as waiting, in seconds."""

MAX_BUCKETS = 4096
"""Maximum number of endpoints with a bucket."""

MAX_ACCOUNTS = 4096
"""Maximum number of client accounts that are counted at one endpoint."""


@attrs.frozen
class RateDraw:
    """Request for one permit.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that limits its rate.
    account : str
        Client account of the request to be sent.
    rate_per_s : float
        Rate that the endpoint takes from all instances, per second.
    fraction : float
        Fraction of that rate that this table grants, from 0 to 1.
    """

    endpoint_id: str
    account: str
    rate_per_s: float
    fraction: float = 1.0


@attrs.define
class _Bucket:
    """Token bucket of one endpoint.

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
    refused_s : dict
        Client account to the time of its last refusal, in seconds.
    """

    created_s: float
    updated_s: float
    tokens: float = 0.0
    turn_s: float = float("-inf")
    granted: dict = attrs.field(factory=dict)
    refused_s: dict = attrs.field(factory=dict)

    def refill(self, rate_per_s, most, now_s):
        """Add the permits since the last call, up to a maximum."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.tokens = min(most, self.tokens + rate_per_s * elapsed_s)
        decay = math.exp(-elapsed_s / ACCOUNT_DECAY_S)
        self.granted = {
            account: count * decay for account, count in self.granted.items()
        }

    def is_behind(self, account, now_s):
        """Return whether a waiting account has got fewer permits."""
        local = self.granted.get(account, 0.0)
        return any(
            self.granted.get(other, 0.0) + 1.0 <= local
            for other, refused_s in self.refused_s.items()
            if other != account and now_s - refused_s < CONTENTION_S
        )

    def grant(self, account):
        """Take one permit for an account."""
        self.tokens -= 1.0
        self.granted[account] = self.granted.get(account, 0.0) + 1.0
        self.refused_s.pop(account, None)

    def refuse(self, account, rate_per_s, now_s):
        """Return the time after which an account's next turn comes, in s."""
        if len(self.refused_s) >= MAX_ACCOUNTS:
            self.refused_s.clear()
            self.granted.clear()
        self.refused_s[account] = now_s
        lack = max(0.0, 1.0 - self.tokens)
        turn_s = max(self.turn_s, now_s + lack / rate_per_s)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, turn_s - now_s))
        self.turn_s = min(now_s + MAX_WAIT_S, turn_s + 1.0 / rate_per_s)
        return wait_s


class EndpointRateTable:
    """Permits that one instance grants on behalf of all instances.

    Notes
    -----
    Each endpoint has a usual owner among the instances, which grants the
    permits of all of them, so that neither the number of instances nor the
    division of their requests matters. Two owners grant at the same time only
    while instances disagree about the members. What both of them grant then
    is `STANDBY_FRACTION` above the rate.
    """

    def __init__(self):
        self._buckets = collections.OrderedDict()

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
        """
        bucket = self._find_bucket(draw.endpoint_id, now_s)
        fraction = draw.fraction
        if now_s - bucket.created_s < TAKEOVER_S:
            fraction = min(fraction, STANDBY_FRACTION)
        rate_per_s = max(PROBE_RATE_PER_S, draw.rate_per_s) * fraction
        most = 1.0 + fraction * (
            max(BURST_REQUESTS, BURST_S * rate_per_s) - 1.0
        )
        bucket.refill(rate_per_s, most, now_s)
        is_full = bucket.tokens >= most
        if bucket.tokens >= 1.0 and (
            is_full or not bucket.is_behind(draw.account, now_s)
        ):
            bucket.grant(draw.account)
            return outcomes.PermitGranted()
        return outcomes.PermitRefused(
            bucket.refuse(draw.account, rate_per_s, now_s)
        )

    def _find_bucket(self, endpoint_id, now_s):
        """Return the bucket of an endpoint, which is created if needed."""
        bucket = self._buckets.get(endpoint_id)
        if bucket is None:
            bucket = _Bucket(now_s, now_s)
            self._buckets[endpoint_id] = bucket
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(endpoint_id)
        return bucket
