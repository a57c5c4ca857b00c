"""Prefix cache of an engine: blocks, prefix hashes and events."""

import collections
import threading
import time

import attrs
import xxhash

__all__ = ["BLOCK_WORDS", "PrefixCache", "hash_prefixes"]

BLOCK_WORDS = 16
_CAPACITY_BLOCKS = 512
_EVENT_DELAY_S = 0.2
# Events whose number is a multiple of this are lost.
_LOST_EVENT_PERIOD = 7
_MAX_EVENTS = 4096


@attrs.frozen
class _Event:
    """A change of the cache, listed after a delay."""

    number: int
    event: str
    prefix: str
    at_s: float

    def to_json(self):
        """Return the event as a JSON value."""
        return {
            "number": self.number,
            "event": self.event,
            "prefix": self.prefix,
        }


def hash_prefixes(prompt):
    """Return the hash of the prompt up to the end of each whole block.

    Returns
    -------
    list of str
        Hexadecimal hashes, for the shortest prefix first.
    """
    words = prompt.split()
    ends = range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS)
    return [
        xxhash.xxh3_64_hexdigest(" ".join(words[:end]).encode())
        for end in ends
    ]


class PrefixCache:
    """Cache of blocks with LRU eviction and an unreliable event list.

    Events are listed with a delay, and some are lost, so that a reader of
    the list has to cope with gaps.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    """

    def __init__(self, capacity=_CAPACITY_BLOCKS):
        self._capacity = capacity
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=_MAX_EVENTS)
        self._last_event_number = 0
        self._lock = threading.Lock()

    def count_cached_words(self, prefixes):
        """Return how many words from the start of a prompt are cached.

        The blocks found become the most recently used.
        """
        cached = 0
        with self._lock:
            for count, prefix in enumerate(prefixes, 1):
                if prefix not in self._blocks:
                    break
                self._blocks.move_to_end(prefix)
                cached = count
        return cached * BLOCK_WORDS

    def add(self, prefixes):
        """Add the blocks of a prompt, evicting the least recently used."""
        with self._lock:
            for prefix in prefixes:
                if prefix not in self._blocks:
                    self._blocks[prefix] = True
                    self._record_event("added", prefix)
                self._blocks.move_to_end(prefix)
            while len(self._blocks) > self._capacity:
                dropped, _ = self._blocks.popitem(last=False)
                self._record_event("dropped", dropped)

    def get_used_fraction(self):
        """Return the share of the capacity in use, 0 to 1."""
        return len(self._blocks) / self._capacity

    def list_events(self, after):
        """Return the events above a number that are due for listing."""
        created_until_s = time.monotonic() - _EVENT_DELAY_S
        with self._lock:
            return [
                event.to_json()
                for event in self._events
                if event.number > after and event.at_s <= created_until_s
            ]

    def _record_event(self, name, prefix):
        """Record an event, unless its number marks it as lost."""
        self._last_event_number += 1
        if self._last_event_number % _LOST_EVENT_PERIOD:
            self._events.append(
                _Event(self._last_event_number, name, prefix, time.monotonic())
            )
