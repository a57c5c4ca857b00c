"""Counts and times of what an instance serves."""

import collections
import threading

__all__ = ["Observer"]


class Observer:
    """Counters of an instance.

    Notes
    -----
    Safe to use from every thread; counters only grow.
    """

    def __init__(self):
        self._counts = collections.Counter()
        self._lock = threading.Lock()

    def count(self, name, amount=1):
        """Add to a counter."""
        with self._lock:
            self._counts[name] += amount

    def count_recomputed(self, cause, tokens):
        """Count tokens that have to be computed once more, by cause."""
        self.count(f"recomputed_tokens.{cause}", tokens)

    def count_prompt(self, computed, cached):
        """Count prompt tokens computed and found in a cache."""
        self.count("prompt_tokens.computed", computed)
        self.count("prompt_tokens.cached", cached)

    def list_counts(self):
        """Return every counter by name."""
        with self._lock:
            return dict(self._counts)
