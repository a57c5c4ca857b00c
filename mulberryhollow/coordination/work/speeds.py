"""How long work takes at each endpoint, relative to its service."""

import math

import attrs

__all__ = ["SpeedTable"]

MEMORY_S = 6.0
"""Time constant with which observations are forgotten, in seconds.

An endpoint of a busy service gets several a second, so a change in speed is
known within a few seconds, and one that gets none any more is taken for an
average one again within a few times this.
"""

PRIOR_WEIGHT = 2.0
"""Weight of the prior slowness, in observations."""

RATIO_SPREAD = 0.35
"""Standard deviation of a single observation, relative to the slowness."""

MIN_RATIO = 0.2
MAX_RATIO = 6.0
"""Range of a single observation; a farther one counts as its end.

An observation beyond is a stall or a failure rather than a speed.
"""

MIN_SENT_WEIGHT = 0.05
"""Weight below which the observations of an endpoint are dropped."""


@attrs.define
class _Sums:
    """Decaying sums of the observations of one endpoint."""

    weight: float = 0.0
    total: float = 0.0
    at_s: float = float("-inf")

    def decay(self, now_s):
        """Forget as much as the time since the last call demands."""
        if now_s > self.at_s:
            kept = math.exp(-(now_s - self.at_s) / MEMORY_S)
            self.weight *= kept
            self.total *= kept
            self.at_s = now_s


class SpeedTable:
    """Observed over explained times, by endpoint id.

    The id belongs to one process, so a replaced endpoint starts afresh. The
    sums of all instances add up to those of the whole fleet.
    """

    def __init__(self):
        self._own = {}
        self._remote = {}

    def observe(self, endpoint_id, ratio, now_s, weight=1.0):
        """Add an observation.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        ratio : float
            Observed time over the time that an endpoint of average speed
            would have taken.
        now_s : float
            Monotonic time, in seconds.
        weight : float
            Weight of the observation; 1 for a reliable one.
        """
        sums = self._own.setdefault(endpoint_id, _Sums())
        sums.decay(now_s)
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        sums.weight += weight
        sums.total += weight * ratio

    def list_sums(self, now_s):
        """Return endpoint id to (weight, weighted sum) of own observations."""
        for endpoint_id, sums in list(self._own.items()):
            sums.decay(now_s)
            if sums.weight < MIN_SENT_WEIGHT:
                del self._own[endpoint_id]
        return {
            endpoint_id: (sums.weight, sums.total)
            for endpoint_id, sums in self._own.items()
        }

    def set_remote(self, sums):
        """Replace the sums of all other instances, as of `list_sums`."""
        self._remote = dict(sums)

    def keep(self, endpoint_ids):
        """Forget all endpoints but these."""
        self._own = {
            name: sums
            for name, sums in self._own.items()
            if name in endpoint_ids
        }

    def estimate(self, endpoint_id, prior, now_s):
        """Return the slowness of an endpoint and its standard deviation.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        prior : float
            Slowness towards which the estimate is shrunk.
        now_s : float
            Monotonic time, in seconds.
        """
        weight, total = self._remote.get(endpoint_id, (0.0, 0.0))
        own = self._own.get(endpoint_id)
        if own is not None:
            own.decay(now_s)
            weight += own.weight
            total += own.total
        weight += PRIOR_WEIGHT
        mean = (total + PRIOR_WEIGHT * prior) / weight
        return mean, RATIO_SPREAD * mean / math.sqrt(weight)
