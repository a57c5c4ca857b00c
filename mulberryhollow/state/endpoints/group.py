"""Available endpoints of one service version, indexed by load."""

import bisect
import heapq

import xxhash

__all__ = ["EndpointGroup"]

# Weight of the latest sample in the smoothed slot hold time.
HOLD_SMOOTHING = 0.02

VIRTUAL_NODES_PER_MEMBER = 16
"""Virtual nodes per member on the hash ring, which even out the key shares."""

# Number of heap entries per member above which the heap is rebuilt; 16 is
# added to the number of members, so the limit is at least 64 entries.
MAX_HEAP_ENTRIES_PER_MEMBER = 4


class EndpointGroup:
    """Records of the endpoints that accept new work.

    Members can be sampled at random, listed by load, or selected by
    consistent hashing.

    Attributes
    ----------
    hold_s : float or None
        Smoothed time that requests of the local node occupy a slot, in
        seconds; None until the first request has ended.

    Notes
    -----
    The heap holds one entry for each change of a record's load. Outdated
    entries, recognized by their stamp, are discarded when they are popped.
    """

    def __init__(self):
        self.hold_s = None
        self._members = []
        self._positions = {}
        self._heap = []
        self._pushes = 0
        self._ring = None

    def __len__(self):
        return len(self._members)

    def __contains__(self, endpoint_id):
        return endpoint_id in self._positions

    def __iter__(self):
        return iter(self._members)

    def get(self, endpoint_id):
        """Return the record of a member, or None for any other id."""
        position = self._positions.get(endpoint_id)
        return None if position is None else self._members[position]

    def add(self, record):
        """Add a record, or index a member's load after a stamp change."""
        endpoint_id = record.endpoint.id
        if endpoint_id not in self._positions:
            self._ring = None
            self._positions[endpoint_id] = len(self._members)
            self._members.append(record)
        self._push(record)

    def remove(self, endpoint_id):
        """Remove a member; other ids are ignored."""
        position = self._positions.pop(endpoint_id, None)
        if position is None:
            return
        self._ring = None
        last = self._members.pop()
        if position < len(self._members):
            self._members[position] = last
            self._positions[last.endpoint.id] = position

    def record_hold_time(self, held_s):
        """Update the smoothed hold time.

        Parameters
        ----------
        held_s : float
            Time for which a request occupied its slot, in seconds.
        """
        if self.hold_s is None:
            self.hold_s = held_s
        self.hold_s += HOLD_SMOOTHING * (held_s - self.hold_s)

    def sample(self, rng, count):
        """Return members drawn at random, with replacement.

        Parameters
        ----------
        rng : random.Random
            Source of randomness.
        count : int
            Number of draws; if there are no more members than that, all
            members are returned instead.
        """
        size = len(self._members)
        if size <= count:
            return list(self._members)
        draws = (int(rng.random() * size) for _ in range(count))
        return [self._members[draw] for draw in draws]

    def list_least_loaded(self, count):
        """Return the members with the lowest load per slot.

        Parameters
        ----------
        count : int
            Maximum number of members.
        """
        kept = []
        while self._heap and len(kept) < count:
            entry = heapq.heappop(self._heap)
            if self._is_current(entry):
                kept.append(entry)
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return [entry[-1] for entry in kept]

    def find_affine(self, key):
        """Return the member that a key maps to by consistent hashing.

        Parameters
        ----------
        key : int
            64-bit hash.

        Returns
        -------
        EndpointRecord or None
            The same member on every node with the same members; None if the
            group is empty.

        Notes
        -----
        Adding or removing a member remaps only few keys.
        """
        if not self._members:
            return None
        if self._ring is None:
            self._ring = sorted(
                (_hash_virtual_node(record.endpoint.id, number), position)
                for position, record in enumerate(self._members)
                for number in range(VIRTUAL_NODES_PER_MEMBER)
            )
        found = bisect.bisect_left(self._ring, (key, -1))
        _, position = self._ring[found % len(self._ring)]
        return self._members[position]

    def _push(self, record):
        """Push a heap entry for the record's current load."""
        self._pushes += 1
        entry = record.relative_load, self._pushes, record.stamp, record
        heapq.heappush(self._heap, entry)
        limit = MAX_HEAP_ENTRIES_PER_MEMBER * (len(self._members) + 16)
        if len(self._heap) > limit:
            self._heap = [e for e in self._heap if self._is_current(e)]
            heapq.heapify(self._heap)

    def _is_current(self, entry):
        """Return whether an entry is the latest one of a current member."""
        _, _, stamp, record = entry
        is_latest = stamp == record.stamp
        return is_latest and self.get(record.endpoint.id) is record


def _hash_virtual_node(endpoint_id, number):
    """Return the position of a member's virtual node on the hash ring."""
    return xxhash.xxh3_64_intdigest(f"{endpoint_id}/{number}".encode())
