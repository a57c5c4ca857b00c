"""Requests that an endpoint still has, by who placed them there."""

import collections
import math

import attrs

__all__ = ["Backlog", "Placement"]

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

    def observe_others(self, count, measured_s):
        """Apply a count of all requests that this instance has not sent.

        Parameters
        ----------
        count : float
            The count, in requests.
        measured_s : float
            Monotonic time of the count, in seconds; an earlier one than the
            latest is ignored.
        """
        if measured_s < self.others_s:
            return
        self.others = max(0.0, count - self._count_placed(measured_s))
        if self.mean_others is None:
            self.mean_others = self.others
        else:
            age_s = measured_s - self.others_s
            weight = 1.0 - math.exp(-age_s / MEAN_TIME_S)
            self.mean_others += weight * (self.others - self.mean_others)
        self.others_s = measured_s

    def estimate_others(self, mean, hold_s, now_s):
        """Return the expected number of other requests, and its variance.

        Parameters
        ----------
        mean : float
            Mean over the endpoints of the service, which is taken for an
            endpoint whose requests have not been counted.
        hold_s : float
            Time that a request usually stays at an endpoint, in seconds.
        now_s : float
            Monotonic time, in seconds.

        Notes
        -----
        The requests that were counted leave within about `hold_s`. How many
        have come since is uncertain, and about as many as usual.
        """
        if self.mean_others is None:
            return mean, mean
        kept = math.exp(-max(0.0, now_s - self.others_s) / hold_s)
        usual = self.mean_others
        expected = usual + (self.others - usual) * kept
        return expected, expected * (1.0 - kept * kept)

    def count(self):
        """Return the expected number of all requests of `Backlog`.

        The latest count of others is taken as it is, since it has no bias
        over all endpoints of a service.
        """
        return self.placed + self.others

    def measure_placed_s(self, now_s):
        """Return the remaining time of the placements, in seconds."""
        return max(0.0, self.placed_end_s - self.placed * now_s)

    def _count_placed(self, at_s):
        """Return the number of placements that were present at a time."""
        kept = self._kept
        while kept and not kept[0].is_counted and kept[0].end_s <= at_s:
            kept.popleft()
        return sum(each.placed_s <= at_s < each.end_s for each in kept)
