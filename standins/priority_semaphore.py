"""Semaphore whose waiters acquire slots in order of priority."""

import heapq
import itertools
import threading

__all__ = ["PrioritySemaphore"]

# How often a waiting request checks whether it was cancelled.
_CANCEL_POLL_INTERVAL_S = 0.05


class PrioritySemaphore:
    """Counting semaphore with a priority queue of waiting requests.

    The lowest priority number is served first; equal numbers are served in
    order of arrival.

    Parameters
    ----------
    slots : int
        Number of requests that run at the same time.

    Attributes
    ----------
    running : int
        Number of requests that hold a slot.
    """

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self._waiting = []
        self._order = itertools.count()
        self._changed = threading.Condition()

    @property
    def queued(self):
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    def acquire(self, priority, is_cancelled):
        """Wait for a slot; return whether it was acquired.

        Parameters
        ----------
        priority : int
            Priority number of the request.
        is_cancelled : callable
            Polled while the request waits; a true result ends the wait
            without a slot.
        """
        ticket = priority, next(self._order)
        with self._changed:
            heapq.heappush(self._waiting, ticket)
            while self.running >= self.slots or self._waiting[0] != ticket:
                if is_cancelled():
                    self._remove_waiter(ticket)
                    return False
                self._changed.wait(_CANCEL_POLL_INTERVAL_S)
            heapq.heappop(self._waiting)
            self.running += 1
            self._changed.notify_all()
        return True

    def release(self):
        """Release a slot."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def _remove_waiter(self, ticket):
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)
        self._changed.notify_all()
