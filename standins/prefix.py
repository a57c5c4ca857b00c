"""Prefix cache of an engine: blocks, events and exported caches."""

import collections
import threading
import time

import attrs
import xxhash

__all__ = ["BLOCK_WORDS", "PrefixCache", "hash_prefixes"]

BLOCK_WORDS = 16
_CAPACITY_BLOCKS = 512
_EVENT_DELAY_S = 0.2
_EVENT_GAP = 7
_EVENTS_KEPT = 4096


@attrs.frozen
class _Event:
    """A change of the cache, shown once it is old enough."""

    number: int
    event: str
    prefix: str
    at_s: float

    def show(self):
        """Return it as a JSON value."""
        return {
            "number": self.number,
            "event": self.event,
            "prefix": self.prefix,
        }


def hash_prefixes(prompt):
    """Return the hash of each whole block's prefix, in hexadecimal."""
    words = prompt.split()
    ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
    return [
        xxhash.xxh3_64_hexdigest(" ".join(words[:end]).encode())
        for end in ends
    ]


class PrefixCache:
    """Least recently used blocks, with late events that have gaps.

    Parameters
    ----------
    capacity : int
        Most blocks held.
    """

    def __init__(self, capacity=_CAPACITY_BLOCKS):
        self._capacity = capacity
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=_EVENTS_KEPT)
        self._number = 0
        self._lock = threading.Lock()

    def match(self, prefixes):
        """Return how many words of a prompt are cached, from its start."""
        cached = 0
        with self._lock:
            for count, prefix in enumerate(prefixes, 1):
                if prefix not in self._blocks:
                    break
                self._blocks.move_to_end(prefix)
                cached = count
        return cached * BLOCK_WORDS

    def add(self, prefixes):
        """Hold the blocks of a prompt, dropping the oldest."""
        with self._lock:
            for prefix in prefixes:
                if prefix not in self._blocks:
                    self._blocks[prefix] = True
                    self._emit("added", prefix)
                self._blocks.move_to_end(prefix)
            while len(self._blocks) > self._capacity:
                dropped, _ = self._blocks.popitem(last=False)
                self._emit("dropped", dropped)

    def get_used_share(self):
        """Return the share of the capacity in use, 0 to 1."""
        return len(self._blocks) / self._capacity

    def list_events(self, after):
        """Return the events above a number that are old enough."""
        until_s = time.monotonic() - _EVENT_DELAY_S
        with self._lock:
            return [
                event.show()
                for event in self._events
                if event.number > after and event.at_s <= until_s
            ]

    def _emit(self, name, prefix):
        """Record an event, losing some of them."""
        self._number += 1
        if self._number % _EVENT_GAP:
            self._events.append(
                _Event(self._number, name, prefix, time.monotonic())
            )
