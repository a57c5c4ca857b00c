"""Index of the prompt prefixes that model engines hold in cache."""

import bisect
import collections
import itertools

import attrs
import xxhash

__all__ = ["BLOCK_WORDS", "CacheEvent", "PrefixIndex", "hash_prefixes"]

BLOCK_WORDS = 16
BLOCKS_HASHED = 512
ENTRIES_KEPT = 400_000
ENTRIES_KEPT_PER_ENDPOINT_AT_LEAST = 64
HOLDERS_CONSIDERED = 8
WRONG_PART_KEPT = 0.25


@attrs.frozen
class CacheEvent:
    """One event of an engine's prefix cache.

    Parameters
    ----------
    number : int
        Grows by one with each event of the engine.
    is_added : bool
        Whether the block was added; otherwise it was dropped.
    prefix : int
        Hash of the prefix that ends with the block.
    """

    number: int
    is_added: bool
    prefix: int


def hash_prefixes(prompt):
    """Return the hash of each prefix of whole blocks.

    Parameters
    ----------
    prompt : str
        A prompt, whose tokens are its words.

    Returns
    -------
    tuple of int
        xxh3-64 of the first 16, 32, ... words joined by blanks, of at
        most ``BLOCKS_HASHED`` blocks.
    """
    words = iter(prompt.split(maxsplit=BLOCKS_HASHED * BLOCK_WORDS))
    blocks = map(" ".join, zip(*[words] * BLOCK_WORDS, strict=False))
    state = xxhash.xxh3_64()
    hashes = []
    for block in blocks:
        state.update(block.encode(errors="surrogatepass"))
        hashes.append(state.intdigest())
        state.update(b" ")
    return tuple(hashes)


class PrefixIndex:
    """Which endpoint holds which prefix, from late and lossy events.

    Parameters
    ----------
    entries_kept : int
        Most (prefix, endpoint) pairs that are kept.

    Notes
    -----
    An answer is a hint: the engine may have dropped or gained blocks
    since. Each endpoint has an equal part of the memory, and its least
    recently used blocks go first.
    """

    def __init__(self, entries_kept=ENTRIES_KEPT):
        self._entries_kept = entries_kept
        self._holders = {}
        self._held = {}
        self._last_numbers = {}
        self._size = 0

    def __len__(self):
        return self._size

    def apply_event(self, endpoint_id, event):
        """Take over one cache event.

        Parameters
        ----------
        endpoint_id : str
            The engine that published it.
        event : CacheEvent
            A repeated event is ignored. The events of a gap make as
            many entries wrong at most, so a gap drops all that was known
            of the engine when that is more than ``WRONG_PART_KEPT``.

        Returns
        -------
        bool
            Whether a gap dropped what was known.
        """
        last = self._last_numbers.get(endpoint_id)
        if last is not None and event.number <= last:
            return False
        missed = 0 if last is None else event.number - last - 1
        known = len(self._held.get(endpoint_id, ()))
        is_lost = missed > WRONG_PART_KEPT * known
        if is_lost:
            self.drop(endpoint_id)
        self._last_numbers[endpoint_id] = event.number
        if event.is_added:
            self.insert(endpoint_id, (event.prefix,))
        else:
            self._remove(endpoint_id, event.prefix)
        return is_lost

    def insert(self, endpoint_id, hashes):
        """Expect the blocks of a prompt sent there to be in its cache.

        Parameters
        ----------
        endpoint_id : str
            Where the prompt went.
        hashes : sequence of int
            What `hash_prefixes` returned for it.
        """
        held = self._get_held(endpoint_id)
        for prefix in reversed(hashes):
            if prefix in held:
                held.move_to_end(prefix)
            else:
                held[prefix] = None
                self._add_holder(endpoint_id, prefix)
        self._trim(endpoint_id, held)
        if self._size > self._entries_kept:
            for other_id, other in self._held.items():
                self._trim(other_id, other)

    def drop(self, endpoint_id):
        """Forget all that is known of an endpoint."""
        self._last_numbers.pop(endpoint_id, None)
        for prefix in self._held.pop(endpoint_id, ()):
            self._remove_holder(endpoint_id, prefix)

    def match(self, prompt):
        """Return the endpoints that hold the longest prefixes.

        Parameters
        ----------
        prompt : str
            The prompt.

        Returns
        -------
        dict
            Endpoint id to its number of cached blocks, at most
            ``HOLDERS_CONSIDERED`` endpoints, longest prefix first. When
            more hold a prefix, each call takes the next ones in turn.
        """
        return self.match_hashes(hash_prefixes(prompt))

    def match_hashes(self, hashes):
        """Return the same as `match` for hashes already computed.

        Notes
        -----
        The holders of a prefix also hold the shorter ones, so a block
        with no more holders than were found adds none.
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
            for endpoint_id in _take_holders(holders):
                found.setdefault(endpoint_id, blocks)
            if len(found) >= HOLDERS_CONSIDERED:
                break
        return dict(itertools.islice(found.items(), HOLDERS_CONSIDERED))

    def count_blocks(self, endpoint_id, hashes):
        """Return how many leading blocks an endpoint holds.

        Notes
        -----
        Found by bisection, as an engine drops a block only after those
        that build on it; where events were lost, it is a hint.
        """
        held = self._held.get(endpoint_id)
        if not held:
            return 0
        return bisect.bisect_left(
            hashes, True, key=lambda prefix: prefix not in held
        )

    def _get_held(self, endpoint_id):
        """Return the blocks of an endpoint, the least recent first."""
        held = self._held.get(endpoint_id)
        if held is None:
            held = self._held[endpoint_id] = collections.OrderedDict()
        return held

    def _trim(self, endpoint_id, held):
        """Drop the least recent blocks beyond the endpoint's part."""
        limit = max(
            ENTRIES_KEPT_PER_ENDPOINT_AT_LEAST,
            self._entries_kept // len(self._held),
        )
        while len(held) > limit:
            oldest, _ = held.popitem(last=False)
            self._remove_holder(endpoint_id, oldest)

    def _remove(self, endpoint_id, prefix):
        """Remove a block of an endpoint, if it is known."""
        held = self._held.get(endpoint_id, {})
        if prefix in held:
            del held[prefix]
            self._remove_holder(endpoint_id, prefix)

    def _add_holder(self, endpoint_id, prefix):
        """Add an endpoint to the holders of a prefix.

        A single holder is kept as its id alone, several as a dict, and
        more than are considered as one that can be reordered.
        """
        self._size += 1
        holders = self._holders.setdefault(prefix, endpoint_id)
        if holders == endpoint_id:
            return
        if isinstance(holders, str):
            self._holders[prefix] = {holders: None, endpoint_id: None}
            return
        holders[endpoint_id] = None
        if len(holders) == HOLDERS_CONSIDERED + 1:
            self._holders[prefix] = collections.OrderedDict(holders)

    def _remove_holder(self, endpoint_id, prefix):
        """Remove an endpoint from the holders of a prefix."""
        self._size -= 1
        holders = self._holders[prefix]
        if isinstance(holders, dict) and len(holders) > 1:
            del holders[endpoint_id]
        else:
            del self._holders[prefix]


def _take_holders(holders):
    """Return some holders of a prefix, other ones each time."""
    if len(holders) <= HOLDERS_CONSIDERED:
        return holders
    taken = list(itertools.islice(holders, HOLDERS_CONSIDERED))
    for endpoint_id in taken:
        holders.move_to_end(endpoint_id)
    return taken
