"""Decayed sums of what requests asked for in the last seconds."""

import math

__all__ = ["DecayingSums"]

NEGLIGIBLE = 1e-6
"""Sum below which an entry is dropped."""


MIN_FACTOR = 0.05
"""Common factor of the sums below which it is applied to each of them.

That is about every three time constants, so that keys without requests are
dropped soon.
"""

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
        self._factor = 1.0

    def add(self, key, amount, now_s):
        """Add an amount."""
        self._advance(now_s)
        if key not in self._sums and len(self._sums) >= self._max_keys:
            return
        self._sums[key] = self._sums.get(key, 0.0) + amount / self._factor

    def list_rates(self, now_s):
        """Return the mean amount per second by key."""
        self._advance(now_s)
        factor = self._factor / self._measure_span_s()
        return {key: each * factor for key, each in self._sums.items()}

    def get_rate(self, key, now_s):
        """Return the mean amount per second of a key."""
        self._advance(now_s)
        amount = self._sums.get(key, 0.0) * self._factor
        return amount / self._measure_span_s()

    def _measure_span_s(self):
        """Return the time that the sums stand for, in seconds.

        It is shorter than the time constant after the start.
        """
        return max(MIN_SPAN_FRACTION * self._decay_s, self._weight_s)

    def _advance(self, now_s):
        """Decay all sums up to a time, by one common factor."""
        if self._at_s is None:
            self._at_s = now_s
        if now_s <= self._at_s:
            return
        decay = math.exp((self._at_s - now_s) / self._decay_s)
        self._weight_s = self._weight_s * decay + (1.0 - decay) * self._decay_s
        self._at_s = now_s
        self._factor *= decay
        if self._factor < MIN_FACTOR:
            self._apply_factor()

    def _apply_factor(self):
        """Multiply the sums by their factor, and drop negligible ones."""
        factor, self._factor = self._factor, 1.0
        self._sums = {
            key: each * factor
            for key, each in self._sums.items()
            if each * factor > NEGLIGIBLE
        }
