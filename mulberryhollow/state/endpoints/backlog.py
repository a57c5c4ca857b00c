"""Requests that an endpoint still has, by who placed them there."""

import collections
import math

import attrs

__all__ = ["Backlog", "Placement", "UsualLoad"]

MAX_PLACEMENTS_KEPT = 512
"""Maximum number of placements kept for one endpoint.

Several times the largest number of requests that an engine has at once; the
oldest ones are dropped and no longer count.
"""

MEAN_TIME_S = 2.0
"""Time constant of the mean number of others, in seconds.

A few times the age of the counts: all instances react to the same counts, and
a faster mean would swing.
"""

MAX_OTHERS_PER_OWN = 3.0
"""Maximum number of others' requests that are assumed to come with one.

With more, the instances avoid an endpoint and return to it all at once.
"""

MIN_OWN = 0.1
"""Least number of own requests at an endpoint that shows a share."""

MAX_PLACED_S = 4.0
"""Time after which a placement counts as ended at the latest, in seconds.

The aggregates contain it long before, also if reports are lost for 3 s.
"""


@attrs.define(eq=False)
class Placement:
    """A request that this instance has placed and a peer has sent.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    placed_s : float
        Monotonic time of the placement, in seconds.
    end_s : float
        Monotonic time at which it is expected to end, in seconds.
    memory_tokens : float
        Expected use of the endpoint's memory, in tokens.
    is_counted : bool
        Whether it counts as present.
    """

    endpoint_id: str
    placed_s: float
    end_s: float
    memory_tokens: float = 0.0
    is_counted: bool = True


@attrs.frozen
class UsualLoad:
    """Mean requests at an endpoint of a service.

    Parameters
    ----------
    own, others : float
        Requests that this instance has sent or placed, and those of others.

    Attributes
    ----------
    mirror : float
        Requests of others that come with one of this instance.
    """

    own: float = 0.0
    others: float = 0.0
    mirror: float = attrs.field(init=False)

    @mirror.default
    def _compute_mirror(self):
        return min(MAX_OTHERS_PER_OWN, self.others / max(self.own, MIN_OWN))


@attrs.define(eq=False)
class Backlog:
    """Requests at one endpoint that this instance has not sent itself.

    Parameters
    ----------
    placed : int
        Requests that this instance has placed and that have not ended as far
        as is expected.
    placed_end_s : float
        Sum of their expected end times, in seconds.
    placed_memory_tokens : float
        Sum of their expected memory, in tokens.
    others : float
        All other requests of peers, as of `others_s`.
    others_s : float
        Monotonic time at which they were counted, in seconds.
    mean_others : float or None
        Smoothed `others`; None until they are counted.
    mean_own : float
        Smoothed number of requests that this instance has sent or placed.

    Notes
    -----
    Peers count all their requests, also those that this instance has placed.
    These are subtracted as of the time of the count, so that a request is
    counted once, whether or not the latest count contains it already.
    """

    placed: int = 0
    placed_end_s: float = 0.0
    placed_memory_tokens: float = 0.0
    others: float = 0.0
    others_s: float = float("-inf")
    mean_others: float | None = None
    mean_own: float = 0.0
    _kept: collections.deque = attrs.field(factory=collections.deque)

    def add(self, placement):
        """Count a placement as present."""
        self.placed += 1
        self.placed_end_s += placement.end_s
        self.placed_memory_tokens += placement.memory_tokens
        self._kept.append(placement)
        if len(self._kept) > MAX_PLACEMENTS_KEPT:
            self.end(self._kept.popleft())

    def end(self, placement):
        """Count a placement as ended; a second call has no effect."""
        if not placement.is_counted:
            return
        placement.is_counted = False
        self.placed -= 1
        self.placed_end_s -= placement.end_s
        self.placed_memory_tokens -= placement.memory_tokens

    def withdraw(self):
        """Take back the latest placement, which is not sent."""
        if self._kept:
            self.end(self._kept.pop())

    def observe_others(self, count, measured_s, local=0):
        """Apply a count of all requests that this instance has not sent.

        Parameters
        ----------
        count : float
            The count, in requests.
        measured_s : float
            Monotonic time of the count, in seconds; an earlier one than the
            latest is ignored.
        local : int
            Requests that this instance has sent.
        """
        if measured_s < self.others_s:
            return
        self.others = max(0.0, count - self._count_placed(measured_s))
        own = self.placed + local
        if self.mean_others is None:
            self.mean_others, self.mean_own = self.others, own
        else:
            age_s = measured_s - self.others_s
            weight = 1.0 - math.exp(-age_s / MEAN_TIME_S)
            self.mean_others += weight * (self.others - self.mean_others)
            self.mean_own += weight * (own - self.mean_own)
        self.others_s = measured_s

    def estimate_others(self, usual, hold_s, now_s, local=0):
        """Return the expected number of other requests, and its variance.

        Parameters
        ----------
        usual : UsualLoad
            Means over the endpoints of the service.
        hold_s : float
            Time that a request usually stays at an endpoint, in seconds.
        now_s : float
            Monotonic time, in seconds.
        local : int
            Requests that this instance has sent.

        Notes
        -----
        The requests that were counted leave within about `hold_s`. How many
        have come since is uncertain: about as many as usual, and more where
        this instance itself has placed more, since the others choose with
        the same information.
        """
        own = self.placed + local
        if self.mean_others is None:
            expected = usual.others + usual.mirror * (own - usual.own)
            return max(0.0, expected), usual.others
        age_s = now_s - self.others_s
        kept = math.exp(-age_s / hold_s) if age_s > 0.0 else 1.0
        since = self.mean_others + usual.mirror * (own - self.mean_own)
        expected = self.others * kept
        if since > 0.0:
            expected += since * (1.0 - kept)
        return expected, expected * (1.0 - kept * kept)

    def measure_placed_s(self, now_s):
        """Return the remaining time of the placements, in seconds."""
        return max(0.0, self.placed_end_s - self.placed * now_s)

    def _count_placed(self, at_s):
        """Return the number of placements that were present at a time."""
        kept = self._kept
        while kept and not kept[0].is_counted and kept[0].end_s <= at_s:
            kept.popleft()
        return sum(each.placed_s <= at_s < each.end_s for each in kept)
