"""Decayed sums of what requests asked for in the last seconds."""

import math

__all__ = ["DecayingSums"]

NEGLIGIBLE = 1e-6
"""Sum below which an entry is dropped."""


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

    def add(self, key, amount, now_s):
        """Add an amount."""
        self._advance(now_s)
        if key not in self._sums and len(self._sums) >= self._max_keys:
            return
        self._sums[key] = self._sums.get(key, 0.0) + amount

    def list_rates(self, now_s):
        """Return the mean amount per second by key."""
        self._advance(now_s)
        return {key: each / self._decay_s for key, each in self._sums.items()}

    def get_rate(self, key, now_s):
        """Return the mean amount per second of a key."""
        self._advance(now_s)
        return self._sums.get(key, 0.0) / self._decay_s

    def _advance(self, now_s):
        """Decay all sums up to a time."""
        if self._at_s is None:
            self._at_s = now_s
        if now_s <= self._at_s:
            return
        factor = math.exp((self._at_s - now_s) / self._decay_s)
        self._at_s = now_s
        self._sums = {
            key: each * factor
            for key, each in self._sums.items()
            if each * factor > NEGLIGIBLE
        }
