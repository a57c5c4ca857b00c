"""Decayed sums of what requests asked for in the last seconds."""

import math

__all__ = ["DecayingSums"]

NEGLIGIBLE = 1e-6
"""Sum below which an entry is dropped."""


MIN_SPAN_FRACTION = 0.3
"""Minimum time that the sums stand for, relative to the time constant.

The rates would vary too much in the first moments after the start.
"""


class DecayingSums:
    """Exponentially decayed amounts by key.

    Parameters
    ----------
    decay_s : float
        Time constant, in seconds.
    max_keys : int
        Maximum number of keys; the amounts of further ones are not kept.
    """

    def __init__(self, decay_s, max_keys):
        self._decay_s = decay_s
        self._max_keys = max_keys
        self._sums = {}
        self._at_s = None
        self._weight_s = 0.0

    def add(self, key, amount, now_s):
        """Add an amount."""
        self._advance(now_s)
        if key not in self._sums and len(self._sums) >= self._max_keys:
            return
        self._sums[key] = self._sums.get(key, 0.0) + amount

    def list_rates(self, now_s):
        """Return the mean amount per second by key."""
        self._advance(now_s)
        span_s = self._measure_span_s()
        return {key: each / span_s for key, each in self._sums.items()}

    def get_rate(self, key, now_s):
        """Return the mean amount per second of a key."""
        self._advance(now_s)
        return self._sums.get(key, 0.0) / self._measure_span_s()

    def _measure_span_s(self):
        """Return the time that the sums stand for, in seconds.

        It is shorter than the time constant after the start.
        """
        return max(MIN_SPAN_FRACTION * self._decay_s, self._weight_s)

    def _advance(self, now_s):
        """Decay all sums up to a time."""
        if self._at_s is None:
            self._at_s = now_s
        if now_s <= self._at_s:
            return
        factor = math.exp((self._at_s - now_s) / self._decay_s)
        self._weight_s = (
            self._weight_s * factor + (1.0 - factor) * self._decay_s
        )
        self._at_s = now_s
        self._sums = {
            key: each * factor
            for key, each in self._sums.items()
            if each * factor > NEGLIGIBLE
        }
