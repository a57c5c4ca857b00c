"""Versioned facts that peers tell each other, merged by highest version."""

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
    "Topic",
    "find_priority",
]

BUCKETS = 32
"""Number of digests that anti-entropy compares."""

FACT_OVERHEAD_BYTES = 32
"""Size of a fact beside its topic, key and value, in bytes."""


class Topic(enum.Enum):
    """What a fact is about, most urgent first.

    Notes
    -----
    The order of declaration is the priority: when bytes are short, facts of
    an earlier topic are sent first and evicted last. The first five are
    forwarded as soon as they arrive, the others with the next round. The
    last three are volatile: anti-entropy leaves them out, since a newer
    version follows anyway.
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
        """Rank of the topic; 0 goes first."""
        return _PRIORITIES[self.value]

    @property
    def is_urgent(self):
        """Whether its facts are forwarded as soon as they arrive."""
        return self.priority <= _PRIORITIES["notice"]

    @property
    def is_volatile(self):
        """Whether anti-entropy leaves its facts out."""
        return self.priority > _PRIORITIES["member"]


_PRIORITIES = {topic.value: rank for rank, topic in enumerate(Topic)}


def find_priority(topic):
    """Return the rank of a topic name; an unknown one comes last."""
    return _PRIORITIES.get(topic, len(_PRIORITIES))


def _to_name(topic):
    """Return the name of a topic given as name or enum member."""
    return topic.value if isinstance(topic, Topic) else topic


@attrs.frozen
class FactId:
    """Identity and version of a fact, without its value.

    Parameters
    ----------
    topic : str
        Name of its topic.
    key : str
        What it is about, unique within the topic.
    version : int
        Its version.
    """

    topic: str = attrs.field(converter=_to_name)
    key: str
    version: int


@attrs.frozen
class Fact:
    """One versioned statement.

    Parameters
    ----------
    topic : str or Topic
        What kind of statement it is; kept as the name.
    key : str
        What it is about, unique within the topic.
    version : int
        Its version; only grows for a topic and key.
    value : bytes
        Its content.
    expires_s : float
        Wall-clock time after which it is dropped, in seconds since the Unix
        epoch; 0 keeps it for good. A later version must not expire earlier.

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
        """Identity and version, as a `FactId`."""
        return FactId(self.topic, self.key, self.version)

    @property
    def size_bytes(self):
        """Size in a message, in bytes, rounded up."""
        texts = len(self.topic) + len(self.key.encode())
        return texts + len(self.value) + FACT_OVERHEAD_BYTES

    def is_expired(self, wall_s):
        """Return whether it is past its time at a wall-clock time."""
        return 0 < self.expires_s <= wall_s

    def is_newer_than(self, other):
        """Return whether it replaces another fact of its topic and key.

        Notes
        -----
        Equal versions with unequal content are a fault of the publisher;
        comparing the content too keeps the same one everywhere.
        """
        return (self.version, self.value) > (other.version, other.value)

    def outlives(self, other):
        """Return whether it is dropped later than another fact."""
        if self.expires_s == 0 or other.expires_s == 0:
            return self.expires_s == 0 and other.expires_s != 0
        return self.expires_s > other.expires_s


@attrs.frozen
class Changes:
    """Facts merged after a cursor.

    Parameters
    ----------
    facts : tuple of Fact
        In the order of their merging.
    cursor : int
        Where the next call continues.
    """

    facts: tuple
    cursor: int


@attrs.frozen
class _Entry:
    """A fact, the sequence of its merging and who is known to hold it."""

    sequence: int
    fact: Fact
    holders: set


class FactTable:
    """Bounded set of facts, one per topic and key.

    Parameters
    ----------
    capacity : int
        Most facts that it holds.
    capacity_bytes : int
        Most bytes that its facts take, in bytes.

    Notes
    -----
    Merging is commutative, associative and idempotent, and a fact never goes
    back to an earlier version, so messages may be lost, doubled, late or
    crossed. A full table evicts facts of the least urgent topic, the one
    merged longest ago first. Documents are never evicted.

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
        """Cursor after the last merge."""
        return self._sequence

    @property
    def size_bytes(self):
        """Bytes that the facts take."""
        return self._size_bytes

    def subscribe(self, topic, callback):
        """Call a function with each new fact of a topic.

        Parameters
        ----------
        topic : str or Topic
            The topic; facts already held are not repeated.
        callback : callable
            Takes the fact.
        """
        self._subscribers[_to_name(topic)].append(callback)

    def get(self, topic, key):
        """Return the fact of a topic and key, or None."""
        entry = self._topics[_to_name(topic)].get(key)
        return entry.fact if entry else None

    def list_facts(self, topic):
        """Return the facts of a topic, in the order of their merging."""
        entries = self._topics[_to_name(topic)].values()
        return tuple(entry.fact for entry in entries)

    def merge(self, fact, wall_s=0.0, source=None):
        """Take a fact in when it is newer than the one held.

        Parameters
        ----------
        fact : Fact
            The fact.
        wall_s : float
            Wall-clock time; an expired fact is not taken in.
        source : str or None
            Instance id of the peer that sent it, or another name for where
            it comes from.

        Returns
        -------
        bool
            Whether it was new.
        """
        if fact.is_expired(wall_s):
            return False
        held = self._topics[fact.topic].get(fact.key)
        if held and not fact.is_newer_than(held.fact):
            self._note_again(held, fact, source)
            return False
        if held:
            self._remove(held.fact)
        self._insert(fact, source)
        self._evict()
        for callback in tuple(self._subscribers[fact.topic]):
            callback(fact)
        return True

    def holds(self, identity):
        """Return whether a fact of this version or a later one is held."""
        fact = self.get(identity.topic, identity.key)
        return fact is not None and fact.version >= identity.version

    def drop_expired(self, wall_s):
        """Remove the facts that are past their time.

        Parameters
        ----------
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        tuple of Fact
            What was removed.
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
        """Return what was merged after a cursor.

        Parameters
        ----------
        cursor : int
            0, or the cursor of an earlier answer.
        topic : str, Topic or None
            One topic, or all.
        skip_sources : iterable of str
            Leave out the facts that one of these sent.

        Returns
        -------
        Changes
            The facts that are still held, oldest first, and the next cursor.
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
        """Return the names of the topics held, most urgent first."""
        names = [name for name, facts in self._topics.items() if facts]
        return tuple(
            sorted(names, key=lambda name: (find_priority(name), name))
        )

    def find_sequence(self, fact):
        """Return the sequence at which the fact now held was merged."""
        return self._topics[fact.topic][fact.key].sequence

    def compute_digest(self):
        """Return one number that is equal for equal lasting facts."""
        packed = b"".join(
            bucket.to_bytes(8, "big") for bucket in self._buckets
        )
        return _to_signed(xxhash.xxh3_64_intdigest(packed))

    def compute_digests(self):
        """Return one number for each bucket of lasting facts."""
        return tuple(_to_signed(bucket) for bucket in self._buckets)

    def list_bucket(self, bucket):
        """Return the lasting facts of a bucket."""
        return tuple(
            entry.fact
            for name, topic in self._topics.items()
            if _is_lasting(name)
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
        """Add a fact as the newest of its topic."""
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

    def _note_again(self, held, fact, source):
        """Note who else holds a fact; it lives until the later expiry."""
        if held.fact.is_newer_than(fact):
            return
        held.holders.add(source)
        if fact.outlives(held.fact):
            entry = attrs.evolve(held, fact=fact)
            self._topics[fact.topic][fact.key] = entry

    def _evict(self):
        """Remove the least urgent facts until the bounds are kept."""
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
        """Add a fact to its bucket's digest, or take it out again."""
        if _is_lasting(fact.topic):
            bucket = _find_bucket(fact.topic, fact.key)
            text = f"{fact.topic}\0{fact.key}\0{fact.version}"
            self._buckets[bucket] ^= xxhash.xxh3_64_intdigest(text.encode())


def _is_lasting(topic):
    """Return whether anti-entropy repairs facts of a topic."""
    return find_priority(topic) <= Topic.MEMBER.priority


def _find_bucket(topic, key):
    """Return the number of the bucket that a topic and key fall into."""
    text = f"{topic}\0{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) % BUCKETS


def _to_signed(number):
    """Return a 64-bit number as a signed one."""
    return number - (1 << 64) if number >> 63 else number
