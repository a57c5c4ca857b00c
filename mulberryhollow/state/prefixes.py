"""Index of the prompt prefixes cached by model engines."""

import bisect
import collections
import itertools

import attrs
import xxhash

__all__ = ["BLOCK_WORDS", "CacheEvent", "PrefixIndex", "hash_prefixes"]

# Words (tokens) per cache block of an engine.
BLOCK_WORDS = 16

# Maximum number of blocks hashed per prompt.
MAX_BLOCKS_HASHED = 512

# Default maximum number of (prefix, endpoint) pairs.
DEFAULT_MAX_ENTRIES = 400_000

# Number of blocks that each endpoint may always have in the index.
MIN_ENTRIES_PER_ENDPOINT = 64

# Maximum number of endpoints returned by a match.
MAX_HOLDERS_RETURNED = 8

# Fraction of an endpoint's entries that missed events may invalidate before
# all its entries are dropped.
MAX_STALE_FRACTION = 0.25


@attrs.frozen
class CacheEvent:
    """Event of an engine's prefix cache: a block was added or evicted.

    Parameters
    ----------
    number : int
        Sequence number, incremented by one with each event of the engine.
    is_added : bool
        True if the block was added, False if it was evicted.
    prefix : int
        Hash of the prefix that ends with the block.
    """

    number: int
    is_added: bool
    prefix: int


def hash_prefixes(prompt):
    """Return the hash of each prefix that consists of complete blocks.

    Parameters
    ----------
    prompt : str
        Prompt; each word counts as one token.

    Returns
    -------
    tuple of int
        xxh3-64 hashes of the first 16, 32, ... words joined by spaces, for
        at most ``MAX_BLOCKS_HASHED`` blocks.
    """
    words = iter(prompt.split(maxsplit=MAX_BLOCKS_HASHED * BLOCK_WORDS))
    blocks = map(" ".join, zip(*[words] * BLOCK_WORDS, strict=False))
    state = xxhash.xxh3_64()
    hashes = []
    for block in blocks:
        state.update(block.encode(errors="surrogatepass"))
        hashes.append(state.intdigest())
        state.update(b" ")
    return tuple(hashes)


class PrefixIndex:
    """Index of cached prefixes per endpoint, from delayed and lossy events.

    Parameters
    ----------
    max_entries : int
        Maximum number of (prefix, endpoint) pairs.

    Notes
    -----
    Results are hints: the engine may have evicted or added blocks in the
    meantime. Each endpoint has an equal share of the entries, from which the
    least recently used blocks are evicted first.
    """

    def __init__(self, max_entries=DEFAULT_MAX_ENTRIES):
        self._max_entries = max_entries
        self._holders = {}
        self._held = {}
        self._last_numbers = {}
        self._size = 0

    def __len__(self):
        return self._size

    def apply_event(self, endpoint_id, event):
        """Apply one cache event.

        Parameters
        ----------
        endpoint_id : str
            Id of the engine that published the event.
        event : CacheEvent
            The event; a duplicate is ignored. Each missed event invalidates
            at most one entry. All entries of the engine are dropped if the
            missed events exceed the fraction ``MAX_STALE_FRACTION`` of them.

        Returns
        -------
        bool
            Whether the engine's entries were dropped due to missed events.
        """
        last = self._last_numbers.get(endpoint_id)
        if last is not None and event.number <= last:
            return False
        missed = 0 if last is None else event.number - last - 1
        known = len(self._held.get(endpoint_id, ()))
        is_lost = missed > MAX_STALE_FRACTION * known
        if is_lost:
            self.drop(endpoint_id)
        self._last_numbers[endpoint_id] = event.number
        if event.is_added:
            self.insert(endpoint_id, (event.prefix,))
        else:
            self._remove(endpoint_id, event.prefix)
        return is_lost

    def insert(self, endpoint_id, hashes):
        """Assume that an endpoint has cached a prompt sent to it.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        hashes : sequence of int
            Result of `hash_prefixes` for the prompt.
        """
        held = self._get_held(endpoint_id)
        for prefix in reversed(hashes):
            if prefix in held:
                held.move_to_end(prefix)
            else:
                held[prefix] = None
                self._add_holder(endpoint_id, prefix)
        self._trim(endpoint_id, held)
        if self._size > self._max_entries:
            for other_id, other in self._held.items():
                self._trim(other_id, other)

    def drop(self, endpoint_id):
        """Remove all entries of an endpoint."""
        self._last_numbers.pop(endpoint_id, None)
        for prefix in self._held.pop(endpoint_id, ()):
            self._remove_holder(endpoint_id, prefix)

    def match(self, prompt):
        """Return the endpoints with the longest cached prefixes of a prompt.

        Parameters
        ----------
        prompt : str
            The prompt.

        Returns
        -------
        dict
            Number of cached blocks by endpoint id, for at most
            ``MAX_HOLDERS_RETURNED`` endpoints, longest prefix first. If more
            endpoints hold a prefix, successive calls rotate through them.
        """
        return self.match_hashes(hash_prefixes(prompt))

    def match_hashes(self, hashes):
        """Return the result of `match` for the hashes of a prompt.

        Parameters
        ----------
        hashes : sequence of int
            Result of `hash_prefixes` for the prompt.

        Notes
        -----
        Endpoints that hold a prefix also hold its shorter prefixes. A block
        that has no more holders than were already found is therefore
        skipped.
        """
        found = {}
        for blocks in range(len(hashes), 0, -1):
            holders = self._holders.get(hashes[blocks - 1])
            if holders is None:
                continue
            if isinstance(holders, str):
                found.setdefault(holders, blocks)
                continue
            if len(holders) <= len(found):
                continue
            for endpoint_id in _rotate_holders(holders):
                found.setdefault(endpoint_id, blocks)
            if len(found) >= MAX_HOLDERS_RETURNED:
                break
        return dict(itertools.islice(found.items(), MAX_HOLDERS_RETURNED))

    def count_blocks(self, endpoint_id, hashes):
        """Return the number of leading blocks that an endpoint holds.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        hashes : sequence of int
            Result of `hash_prefixes` for the prompt.

        Notes
        -----
        Uses bisection, because an engine evicts a block only after the blocks
        that extend it. After lost events, the result is approximate.
        """
        held = self._held.get(endpoint_id)
        if not held:
            return 0
        return bisect.bisect_left(
            hashes, True, key=lambda prefix: prefix not in held
        )

    def _get_held(self, endpoint_id):
        """Return the blocks of an endpoint, least recently used first."""
        held = self._held.get(endpoint_id)
        if held is None:
            held = self._held[endpoint_id] = collections.OrderedDict()
        return held

    def _trim(self, endpoint_id, held):
        """Evict least recently used blocks beyond the endpoint's share."""
        limit = max(
            MIN_ENTRIES_PER_ENDPOINT,
            self._max_entries // len(self._held),
        )
        while len(held) > limit:
            oldest, _ = held.popitem(last=False)
            self._remove_holder(endpoint_id, oldest)

    def _remove(self, endpoint_id, prefix):
        """Remove a block of an endpoint, if the index has it."""
        held = self._held.get(endpoint_id, {})
        if prefix in held:
            del held[prefix]
            self._remove_holder(endpoint_id, prefix)

    def _add_holder(self, endpoint_id, prefix):
        """Add an endpoint to the holders of a prefix.

        To save memory, a single holder is stored as its id. Several holders
        are stored as a dict, and more than `MAX_HOLDERS_RETURNED` as an
        OrderedDict, which can be rotated.
        """
        self._size += 1
        holders = self._holders.setdefault(prefix, endpoint_id)
        if holders == endpoint_id:
            return
        if isinstance(holders, str):
            self._holders[prefix] = {holders: None, endpoint_id: None}
            return
        holders[endpoint_id] = None
        if len(holders) == MAX_HOLDERS_RETURNED + 1:
            self._holders[prefix] = collections.OrderedDict(holders)

    def _remove_holder(self, endpoint_id, prefix):
        """Remove an endpoint from the holders of a prefix."""
        self._size -= 1
        holders = self._holders[prefix]
        if isinstance(holders, dict) and len(holders) > 1:
            del holders[endpoint_id]
        else:
            del self._holders[prefix]


def _rotate_holders(holders):
    """Return holders of a prefix, rotating through them if many."""
    if len(holders) <= MAX_HOLDERS_RETURNED:
        return holders
    selected = list(itertools.islice(holders, MAX_HOLDERS_RETURNED))
    for endpoint_id in selected:
        holders.move_to_end(endpoint_id)
    return selected
