"""Versioned facts exchanged by gossip and merged by highest version."""

import collections
import enum
import itertools

import attrs
import xxhash

__all__ = [
    "BUCKETS",
    "Changes",
    "Fact",
    "FactId",
    "FactTable",
    "LEVEL",
    "Topic",
    "find_priority",
]

BUCKETS = 32
"""Number of digests compared by anti-entropy."""

LEVEL = "level"
"""First word of a notice's key: the value is the protocol level of the
instance that the key names."""

FACT_OVERHEAD_BYTES = 32
"""Serialized size of a fact without topic, key and value, in bytes."""


class Topic(enum.Enum):
    """Topic of a fact, in order of decreasing priority.

    Notes
    -----
    The order of declaration is the priority: facts of an earlier topic are
    sent first when a message is full and are evicted last. Facts of the first
    five topics are forwarded as soon as they arrive, the others in the next
    gossip round. The last three topics are volatile: anti-entropy omits their
    facts, because a newer version follows soon anyway.
    """

    DOCUMENT = "document"
    MOVE = "move"
    VERDICT = "verdict"
    QUARANTINE = "quarantine"
    NOTICE = "notice"
    MEMBER = "member"
    COUNTERS = "counters"
    LOAD = "load"
    DEMAND = "demand"

    @property
    def priority(self):
        """Rank of the topic; 0 is the most urgent."""
        return _PRIORITIES[self.value]

    @property
    def is_urgent(self):
        """Whether facts of the topic are forwarded on arrival."""
        return self.priority <= _PRIORITIES["notice"]

    @property
    def is_volatile(self):
        """Whether anti-entropy omits facts of the topic."""
        return self.priority > _PRIORITIES["member"]


_PRIORITIES = {topic.value: rank for rank, topic in enumerate(Topic)}


def find_priority(topic):
    """Return the rank of a topic name; unknown topics rank last."""
    return _PRIORITIES.get(topic, len(_PRIORITIES))


def _to_name(topic):
    """Return the name of a topic given as a name or as a `Topic`."""
    return topic.value if isinstance(topic, Topic) else topic


@attrs.frozen
class FactId:
    """Identity and version of a fact, without its value.

    Parameters
    ----------
    topic : str
        Name of the topic.
    key : str
        Subject of the fact, unique within the topic.
    version : int
        Version of the fact.
    """

    topic: str = attrs.field(converter=_to_name)
    key: str
    version: int


@attrs.frozen
class Fact:
    """A versioned value that is distributed to all instances.

    Parameters
    ----------
    topic : str or Topic
        Topic of the fact; stored as its name.
    key : str
        Subject of the fact, unique within the topic.
    version : int
        Version of the fact; never decreases for a topic and key.
    value : bytes
        Serialized content.
    expires_s : float
        Wall-clock time of expiry, in seconds since the Unix epoch; 0 for a
        fact that never expires. A later version must not expire earlier.

    Examples
    --------
    >>> Fact(Topic.DOCUMENT, "production", 7, b"[budget]").topic
    'document'
    """

    topic: str = attrs.field(converter=_to_name)
    key: str
    version: int
    value: bytes
    expires_s: float = 0.0

    @property
    def identity(self):
        """The fact's topic, key and version, as a `FactId`."""
        return FactId(self.topic, self.key, self.version)

    @property
    def size_bytes(self):
        """Upper bound of the size in a message, in bytes."""
        texts = len(self.topic) + len(self.key.encode())
        return texts + len(self.value) + FACT_OVERHEAD_BYTES

    def is_expired(self, wall_s):
        """Return whether the fact has expired at a wall-clock time."""
        return 0 < self.expires_s <= wall_s

    def is_newer_than(self, other):
        """Return whether the fact replaces another of its topic and key.

        Notes
        -----
        Equal versions with different values are a fault of the publisher.
        Comparing the values as well makes all instances keep the same one.
        """
        return (self.version, self.value) > (other.version, other.value)

    def outlives(self, other):
        """Return whether the fact expires later than another one."""
        if self.expires_s == 0 or other.expires_s == 0:
            return self.expires_s == 0 and other.expires_s != 0
        return self.expires_s > other.expires_s


@attrs.frozen
class Changes:
    """Facts that were merged after a cursor.

    Parameters
    ----------
    facts : tuple of Fact
        Facts in the order in which they were merged.
    cursor : int
        Cursor to be passed to the next call.
    """

    facts: tuple
    cursor: int


@attrs.frozen
class _Entry:
    """A fact, its merge sequence number and the peers known to hold it."""

    sequence: int
    fact: Fact
    holders: set


class FactTable:
    """Bounded set of facts, one per topic and key.

    Parameters
    ----------
    capacity : int
        Maximum number of facts.
    capacity_bytes : int
        Maximum total size of the facts, in bytes.

    Notes
    -----
    Merging is commutative, associative and idempotent, and a fact never
    reverts to an earlier version. The table therefore tolerates lost,
    duplicated, delayed and reordered messages. A full table evicts facts of
    the least urgent topic, the least recently merged first. Documents are
    never evicted.

    Examples
    --------
    >>> table = FactTable()
    >>> table.merge(Fact(Topic.VERDICT, "move-1", 2, b"bad"))
    True
    >>> table.merge(Fact(Topic.VERDICT, "move-1", 1, b""))
    False
    """

    def __init__(self, capacity=20_000, capacity_bytes=32_000_000):
        self._capacity = capacity
        self._capacity_bytes = capacity_bytes
        self._topics = collections.defaultdict(collections.OrderedDict)
        self._subscribers = collections.defaultdict(list)
        self._buckets = [0] * BUCKETS
        self._sequence = 0
        self._count = 0
        self._size_bytes = 0

    def __len__(self):
        return self._count

    @property
    def cursor(self):
        """Cursor that follows the latest merge."""
        return self._sequence

    @property
    def size_bytes(self):
        """Total size of the facts, in bytes."""
        return self._size_bytes

    def subscribe(self, topic, callback):
        """Register a function to be called with each new fact of a topic.

        Parameters
        ----------
        topic : str or Topic
            Topic to subscribe to; facts already held are not delivered.
        callback : callable
            Function that is called with the fact.
        """
        self._subscribers[_to_name(topic)].append(callback)

    def get(self, topic, key):
        """Return the fact of a topic and key, or None."""
        entry = self._topics[_to_name(topic)].get(key)
        return entry.fact if entry else None

    def list_facts(self, topic):
        """Return the facts of a topic, in the order of merging."""
        entries = self._topics[_to_name(topic)].values()
        return tuple(entry.fact for entry in entries)

    def merge(self, fact, wall_s=0.0, source=None):
        """Merge a fact, which replaces an older version.

        Parameters
        ----------
        fact : Fact
            Fact to merge.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch; a fact that has
            expired at this time is not merged.
        source : str or None
            Instance id of the peer that sent the fact, or another name of
            the fact's origin.

        Returns
        -------
        bool
            Whether the fact was new.
        """
        if fact.is_expired(wall_s):
            return False
        held = self._topics[fact.topic].get(fact.key)
        if held and not fact.is_newer_than(held.fact):
            self._merge_duplicate(held, fact, source)
            return False
        if held:
            self._remove(held.fact)
        self._insert(fact, source)
        self._evict()
        for callback in tuple(self._subscribers[fact.topic]):
            callback(fact)
        return True

    def holds(self, identity):
        """Return whether the table holds this version or a later one."""
        fact = self.get(identity.topic, identity.key)
        return fact is not None and fact.version >= identity.version

    def drop_expired(self, wall_s):
        """Remove the expired facts.

        Parameters
        ----------
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        tuple of Fact
            The removed facts.
        """
        expired = tuple(
            entry.fact
            for topic in self._topics.values()
            for entry in topic.values()
            if entry.fact.is_expired(wall_s)
        )
        for fact in expired:
            self._remove(fact)
        return expired

    def changes_since(self, cursor, topic=None, skip_sources=()):
        """Return the facts that were merged after a cursor.

        Parameters
        ----------
        cursor : int
            0, or the cursor returned by an earlier call.
        topic : str, Topic or None
            Topic to return; None for all topics.
        skip_sources : iterable of str
            Sources whose facts are omitted.

        Returns
        -------
        Changes
            Facts that are still held, oldest first, and the next cursor.
        """
        names = [_to_name(topic)] if topic else list(self._topics)
        entries = sorted(
            itertools.chain.from_iterable(
                self._list_entries_after(cursor, name) for name in names
            ),
            key=lambda entry: entry.sequence,
        )
        facts = tuple(
            entry.fact
            for entry in entries
            if entry.holders.isdisjoint(skip_sources)
        )
        return Changes(facts, self._sequence)

    def list_topics(self):
        """Return the names of the topics with facts, most urgent first."""
        names = [name for name, facts in self._topics.items() if facts]
        return tuple(
            sorted(names, key=lambda name: (find_priority(name), name))
        )

    def find_sequence(self, fact):
        """Return the merge sequence number of the fact that is held.

        Parameters
        ----------
        fact : Fact
            Any version of a fact whose topic and key the table holds.
        """
        return self._topics[fact.topic][fact.key].sequence

    def compute_digest(self):
        """Return one digest of all non-volatile facts.

        Returns
        -------
        int
            Signed 64-bit number; equal sets of non-volatile facts have equal
            digests.
        """
        packed = b"".join(
            bucket.to_bytes(8, "big") for bucket in self._buckets
        )
        return _to_signed(xxhash.xxh3_64_intdigest(packed))

    def compute_digests(self):
        """Return the digest of each bucket of non-volatile facts.

        Returns
        -------
        tuple of int
            Signed 64-bit numbers, in the order of the buckets.
        """
        return tuple(_to_signed(bucket) for bucket in self._buckets)

    def list_bucket(self, bucket):
        """Return the non-volatile facts of a bucket."""
        return tuple(
            entry.fact
            for name, topic in self._topics.items()
            if _is_non_volatile(name)
            for key, entry in topic.items()
            if _find_bucket(name, key) == bucket
        )

    def _list_entries_after(self, cursor, name):
        """Return the entries of a topic merged after a cursor."""
        newest_first = reversed(self._topics[name].values())
        return list(
            itertools.takewhile(
                lambda entry: entry.sequence > cursor, newest_first
            )
        )

    def _insert(self, fact, source):
        """Insert a fact as the latest of its topic."""
        self._sequence += 1
        entry = _Entry(self._sequence, fact, {source})
        self._topics[fact.topic][fact.key] = entry
        self._count += 1
        self._size_bytes += fact.size_bytes
        self._toggle_digest(fact)

    def _remove(self, fact):
        """Remove the fact held for a topic and key."""
        del self._topics[fact.topic][fact.key]
        self._count -= 1
        self._size_bytes -= fact.size_bytes
        self._toggle_digest(fact)

    def _merge_duplicate(self, held, fact, source):
        """Record a duplicate's source as a holder; keep the later expiry."""
        if held.fact.is_newer_than(fact):
            return
        held.holders.add(source)
        if fact.outlives(held.fact):
            entry = attrs.evolve(held, fact=fact)
            self._topics[fact.topic][fact.key] = entry

    def _evict(self):
        """Remove the least urgent facts until the limits are met."""
        while (
            self._count > self._capacity
            or self._size_bytes > self._capacity_bytes
        ):
            names = self.list_topics()
            if names[-1] == Topic.DOCUMENT.value:
                return
            oldest = next(iter(self._topics[names[-1]].values()))
            self._remove(oldest.fact)

    def _toggle_digest(self, fact):
        """Add a fact to the digest of its bucket, or remove it (XOR)."""
        if _is_non_volatile(fact.topic):
            bucket = _find_bucket(fact.topic, fact.key)
            text = f"{fact.topic}\0{fact.key}\0{fact.version}"
            self._buckets[bucket] ^= xxhash.xxh3_64_intdigest(text.encode())


def _is_non_volatile(topic):
    """Return whether anti-entropy includes a topic, given by name."""
    return find_priority(topic) <= Topic.MEMBER.priority


def _find_bucket(topic, key):
    """Return the index of the bucket of a topic and key."""
    text = f"{topic}\0{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % BUCKETS


def _to_signed(number):
    """Convert an unsigned 64-bit number to a signed one."""
    return number - (1 << 64) if number >> 63 else number
