"""Budget of the memory that a server holds for its clients' requests."""

import collections
import heapq

import attrs

__all__ = ["RequestBuffers"]

LARGE_BYTES = 64 * 1024
"""Size above which a request counts as large, in bytes."""

LARGE_SHARE = 3 / 4
"""Share of the budget that large requests may take together, unless one of
the largest size needs more."""

LOW_WATER = 7 / 8
"""Share of a limit down to which requests are ended once it is exceeded.

Room for many more is made at once, so that the search for the requests that
yield costs little for each byte received.
"""

PROGRESS_BYTES = 16 * 1024
"""Growth of a request that counts as progress, in bytes.

A body is limited, so a sender that stops short of its end can make progress
only for a while.
"""

MIN_STALL_S = 0.001
"""Smallest time without progress that requests are compared by, in s."""


@attrs.define
class _Receiving:
    """Memory of a request that is being received, and its progress."""

    size_bytes: int
    progress_s: float
    progress_bytes: int = 0

    def resize(self, size_bytes, now_s):
        """Change the size; note the time if that is progress."""
        self.size_bytes = size_bytes
        if size_bytes - self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = size_bytes
            self.progress_s = now_s


class RequestBuffers:
    """Memory of the requests of one server, and which of them yield.

    A request is held for a sender while it is being received; a complete
    one is held until it is released, and never yields.

    Parameters
    ----------
    capacity_bytes : int
        Largest memory of all requests together, in bytes.
    largest_bytes : int
        Memory of one request of the largest size, in bytes.

    Notes
    -----
    When there is too little memory, the requests yield that hold the most and
    have made no progress for the longest, as size times time. A sender that
    stops, or sends a byte now and then, so yields to one that makes progress,
    and a large request to a small one. Large requests together may not take
    all of the memory, also when they are complete.

    All methods but `forget` and `release` are called by one thread.
    """

    def __init__(self, capacity_bytes, largest_bytes=0):
        self._receiving = {}
        self._complete = {}
        self._forgotten = collections.deque()
        self._released = collections.deque()
        self._bytes = collections.Counter()
        self.set_capacity(capacity_bytes, largest_bytes)

    @property
    def held_bytes(self):
        """Memory of all requests, in bytes."""
        return self._bytes[False] + self._bytes[True]

    def set_capacity(self, capacity_bytes, largest_bytes=0):
        """Change the limits; see the class for the parameters."""
        self._capacity_bytes = capacity_bytes
        self._large_capacity_bytes = max(
            int(capacity_bytes * LARGE_SHARE),
            min(capacity_bytes, largest_bytes),
        )

    def has_room(self, size_bytes):
        """Return whether a request would fit beside the complete ones.

        Parameters
        ----------
        size_bytes : int
            Memory of the request, in bytes.
        """
        self.settle()
        is_large = size_bytes > LARGE_BYTES
        receiving = collections.Counter()
        if self.held_bytes + size_bytes > self._capacity_bytes or is_large:
            for each in self._receiving.values():
                receiving[each.size_bytes > LARGE_BYTES] += each.size_bytes
        complete = self._bytes - receiving
        if is_large and complete[True] + size_bytes > (
            self._large_capacity_bytes
        ):
            return False
        return complete.total() + size_bytes <= self._capacity_bytes

    def resize(self, sender, size_bytes, now_s):
        """Set the memory of the request that a sender is sending.

        Parameters
        ----------
        sender : object
            The sender; hashable.
        size_bytes : int
            Memory of its request so far, in bytes.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        list
            Senders whose requests yield, this one perhaps among them. Their
            memory is no longer counted.
        """
        self.settle()
        found = self._receiving.get(sender)
        if found is None:
            found = self._receiving[sender] = _Receiving(0, now_s)
        self._count(found.size_bytes, -1)
        found.resize(size_bytes, now_s)
        self._count(size_bytes, 1)
        return self._end_excess(now_s)

    def complete(self, sender, request, size_bytes, now_s):
        """Hold the request of a sender, which is complete.

        Parameters
        ----------
        sender : object
            The sender.
        request : object
            The request; hashable.
        size_bytes : int
            Memory of the complete request, in bytes.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        list
            Senders whose requests yield. If this one is among them, the
            request is not held.
        """
        ended = self.resize(sender, size_bytes, now_s)
        found = self._receiving.pop(sender, None)
        if found is not None:
            self._complete[request] = found.size_bytes
        return ended

    def drop(self, sender):
        """Forget the request that a sender is sending, if any."""
        found = self._receiving.pop(sender, None)
        if found is not None:
            self._count(found.size_bytes, -1)

    def forget(self, sender):
        """Forget a sender that sends nothing more; thread-safe."""
        self._forgotten.append(sender)

    def release(self, request):
        """Release the memory of a complete request, once; thread-safe."""
        self._released.append(self._complete.pop(request, 0))

    def settle(self):
        """Count what other threads have released."""
        while self._forgotten:
            self.drop(self._forgotten.popleft())
        while self._released:
            self._count(self._released.popleft(), -1)

    def _count(self, size_bytes, sign):
        """Add a size to the memory in use, or subtract it."""
        self._bytes[size_bytes > LARGE_BYTES] += sign * size_bytes

    def _end_excess(self, now_s):
        """End requests that are being received until all others fit."""
        ended = []
        if self._bytes[True] > self._large_capacity_bytes:
            excess_bytes = self._compute_excess(
                self._bytes[True], self._large_capacity_bytes, LARGE_BYTES
            )
            ended += self._end(excess_bytes, LARGE_BYTES, now_s)
        if self.held_bytes > self._capacity_bytes:
            excess_bytes = self._compute_excess(
                self.held_bytes, self._capacity_bytes, 0
            )
            ended += self._end(excess_bytes, 0, now_s)
        return ended

    def _compute_excess(self, held_bytes, limit_bytes, above_bytes):
        """Return how much has to yield.

        It is what is above the low water mark if that can be reached, and
        else what is above the limit.
        """
        receiving_bytes = sum(
            each.size_bytes
            for each in self._receiving.values()
            if each.size_bytes > above_bytes
        )
        excess_bytes = held_bytes - limit_bytes * LOW_WATER
        if excess_bytes <= receiving_bytes:
            return excess_bytes
        return held_bytes - limit_bytes

    def _end(self, excess_bytes, above_bytes, now_s):
        """End requests above a size until an excess is gone."""

        def weigh(item):
            _, found = item
            stall_s = max(MIN_STALL_S, now_s - found.progress_s)
            return -found.size_bytes * stall_s

        heap = [
            (weigh(item), number, item)
            for number, item in enumerate(self._receiving.items())
            if item[1].size_bytes > above_bytes
        ]
        heapq.heapify(heap)
        ended = []
        while heap and excess_bytes > 0:
            _, _, (sender, found) = heapq.heappop(heap)
            excess_bytes -= found.size_bytes
            self.drop(sender)
            ended.append(sender)
        return ended
