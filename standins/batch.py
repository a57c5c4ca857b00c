"""Slots of an engine, given out by priority."""

import heapq
import itertools
import threading

__all__ = ["Batch"]

_POLL_S = 0.05


class Batch:
    """Slots that requests wait for, the lowest priority number first.

    Parameters
    ----------
    slots : int
        How many requests run at once.
    """

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self._waiting = []
        self._order = itertools.count()
        self._changed = threading.Condition()

    @property
    def queued(self):
        """Return how many requests wait."""
        return len(self._waiting)

    def enter(self, priority, is_cancelled):
        """Wait for a slot; return False when cancelled before it."""
        ticket = priority, next(self._order)
        with self._changed:
            heapq.heappush(self._waiting, ticket)
            while self.running >= self.slots or self._waiting[0] != ticket:
                if is_cancelled():
                    self._leave_queue(ticket)
                    return False
                self._changed.wait(_POLL_S)
            heapq.heappop(self._waiting)
            self.running += 1
            self._changed.notify_all()
        return True

    def leave(self):
        """Give a slot back."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def _leave_queue(self, ticket):
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)
        self._changed.notify_all()
