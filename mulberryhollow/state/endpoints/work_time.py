"""Work time that an endpoint reports, as mean and spread."""

import math

import attrs

__all__ = ["WorkTime"]

MEMORY_S = 2.0
"""Time constant with which older reports are forgotten, in seconds.

Other workloads slow a machine for fractions of a second, so a shorter one
would follow single disturbances that have passed when the request arrives.
"""

USUAL_WEIGHT = 1.0
"""Weight, in reports, of the usual work time while few reports are known."""


@attrs.define
class WorkTime:
    """Recent reports of how long work takes, relative to the usual time.

    Parameters
    ----------
    weight : float
        Effective number of recent reports.
    total, squares : float
        Weighted sums of the reported work times and of their squares.
    observed_s : float
        Monotonic time of the latest report, in seconds.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    observed_s: float = float("-inf")

    def observe(self, work_time, now_s):
        """Add a report.

        Parameters
        ----------
        work_time : float
            Reported work time, relative to the usual one.
        now_s : float
            Monotonic time, in seconds.
        """
        kept = self._get_kept(now_s)
        self.weight = kept * self.weight + 1.0
        self.total = kept * self.total + work_time
        self.squares = kept * self.squares + work_time * work_time
        self.observed_s = max(self.observed_s, now_s)

    def estimate(self, now_s):
        """Return mean and spread; close to the usual time without reports.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of (float, float)
            Mean and standard deviation.
        """
        kept = self._get_kept(now_s)
        weight = kept * self.weight + USUAL_WEIGHT
        mean = (kept * self.total + USUAL_WEIGHT) / weight
        square = (kept * self.squares + USUAL_WEIGHT) / weight
        return mean, math.sqrt(max(0.0, square - mean * mean))

    def _get_kept(self, now_s):
        """Return the fraction of the sums that is not forgotten yet."""
        age_s = max(0.0, now_s - self.observed_s)
        return math.exp(-age_s / MEMORY_S)
