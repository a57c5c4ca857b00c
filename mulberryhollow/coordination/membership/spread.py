"""Which facts go into which message."""

import collections
import itertools

from mulberryhollow.coordination.membership import messages
from mulberryhollow.state import facts

__all__ = ["LISTED", "Spread"]

LISTED = ""
"""Source of the members read from a list, which every node reads itself."""

INLINE_BYTES = 1_024
"""Size up to which a fact is sent unasked, in bytes."""

MAX_URGENT_BYTES = 65_536
"""Most bytes of urgent facts in one message, in bytes."""

MAX_BULK_BYTES = 4_096
"""Most bytes of facts that are not urgent in one message, in bytes."""

MIN_MEMBER_BYTES = 1_024
"""Bytes of member facts that one message may have in any case, in bytes."""

MAX_ANSWER_BYTES = 1_500_000
"""Most bytes of wanted facts in one message, in bytes."""

WANT_S = 1.5
"""Time before an offered fact is asked for again, in seconds."""

MAX_REPAIR_IDS = 200
"""Most facts offered in one message to repair a difference."""

RECENT_ROUNDS = 10
"""Rounds whose changes are sent to a peer that was not met before."""

ROOM_SHARE = 2
"""Peers that may use the free bytes of one node at the same time."""

MAX_PEERS = 512
"""Peers whose cursors are kept."""


class Spread:
    """Delta selection for each peer over one fact table.

    Parameters
    ----------
    table : FactTable
        The facts; those held at first are not sent unasked.

    Notes
    -----
    For each peer and topic a cursor says what the peer was sent. It moves
    only when the peer answered, so a lost message is made up for by the next
    one; lost answers are made up for by comparing digests. A peer not met
    before gets every urgent fact and the recent ones of the others.
    """

    def __init__(self, table):
        self._table = table
        self._cursors = collections.OrderedDict()
        self._rooms = collections.OrderedDict()
        self._wanted = {}
        self._recent = collections.deque([table.cursor], maxlen=RECENT_ROUNDS)

    def begin_round(self):
        """Note where the changes of a round begin."""
        self._recent.append(self._table.cursor)

    def compose(
        self, peer, free_bytes, wants=(), answers=(), repairs=(), digests=()
    ):
        """Return the message for a peer and the cursors after it.

        Parameters
        ----------
        peer : str
            Instance id of the receiver.
        free_bytes : int
            What facts that are not urgent may take, in bytes.
        wants : tuple of FactId
            Facts to ask for.
        answers : tuple of Fact
            Facts that the peer asked for.
        repairs : tuple of FactId
            Facts of buckets that differ, to be offered.
        digests : tuple of int
            Digests by bucket, to repair a difference.

        Returns
        -------
        tuple of (Exchange, dict)
            The message, and the cursors to keep once it has arrived.
        """
        room_bytes = self._rooms.get(peer, messages.DEFAULT_ROOM_BYTES)
        limit_bytes = min(free_bytes, room_bytes, MAX_BULK_BYTES)
        chosen, cursors = self._choose(peer, limit_bytes)
        inline = [fact for fact in chosen if fact.size_bytes <= INLINE_BYTES]
        offers = tuple(
            fact.identity for fact in chosen if fact.size_bytes > INLINE_BYTES
        )
        sent = tuple(dict.fromkeys([*answers, *inline]))
        offered = tuple(dict.fromkeys([*offers, *repairs]))
        exchange = messages.Exchange(
            self._table.compute_digest(),
            sent,
            offered,
            wants,
            digests,
            free_bytes // ROOM_SHARE,
        )
        return exchange, cursors

    def note_room(self, peer, room_bytes):
        """Note what facts that are not urgent a peer has room for."""
        self._rooms[peer] = room_bytes
        self._rooms.move_to_end(peer)
        while len(self._rooms) > MAX_PEERS:
            self._rooms.popitem(last=False)

    def confirm(self, peer, cursors):
        """Keep the cursors of a message that has arrived."""
        known = self._cursors.setdefault(peer, {})
        for topic, cursor in cursors.items():
            known[topic] = max(cursor, known.get(topic, 0))
        self._cursors.move_to_end(peer)
        while len(self._cursors) > MAX_PEERS:
            self._cursors.popitem(last=False)

    def forget(self, peer):
        """Drop the cursors of a peer that has restarted and holds nothing.

        Parameters
        ----------
        peer : str
            Its instance id.
        """
        self._cursors.pop(peer, None)

    def choose_wants(self, offers, now_s):
        """Return the offered facts to ask for, each only once for a while.

        Parameters
        ----------
        offers : iterable of FactId
            What a peer offers.
        now_s : float
            Monotonic time, in seconds.
        """
        self._wanted = {
            identity: until_s
            for identity, until_s in self._wanted.items()
            if until_s > now_s
        }
        wants = tuple(
            identity
            for identity in offers
            if identity not in self._wanted and not self._table.holds(identity)
        )
        self._wanted.update(dict.fromkeys(wants, now_s + WANT_S))
        return wants

    def list_answers(self, wants, free_bytes):
        """Return the facts that a peer asked for, as far as they fit.

        Parameters
        ----------
        wants : iterable of FactId
            What it asked for.
        free_bytes : int
            What facts that are not urgent may take, in bytes.
        """
        held = [
            self._table.get(identity.topic, identity.key) for identity in wants
        ]
        found = [fact for fact in held if fact]
        urgent = [fact for fact in found if _is_urgent(fact.topic)]
        others = [fact for fact in found if not _is_urgent(fact.topic)]
        return tuple(
            _limit(urgent, MAX_ANSWER_BYTES, _find_size)
            + _limit(others, max(free_bytes, INLINE_BYTES), _find_size)
        )

    def list_repairs(self, digests):
        """Return the facts of buckets that differ, to be offered.

        Parameters
        ----------
        digests : tuple of int
            The peer's digests by bucket.
        """
        pairs = zip(digests, self._table.compute_digests(), strict=False)
        found = [
            fact
            for bucket, (theirs, ours) in enumerate(pairs)
            if theirs != ours
            for fact in self._table.list_bucket(bucket)
        ]
        found.sort(key=lambda fact: facts.find_priority(fact.topic))
        return tuple(fact.identity for fact in found[:MAX_REPAIR_IDS])

    def _choose(self, peer, free_bytes):
        """Return the facts that a peer lacks and the cursors after them."""
        known = self._cursors.get(peer, {})
        chosen = []
        cursors = {}
        for topic in self._table.list_topics():
            is_urgent = _is_urgent(topic)
            start = 0 if is_urgent else self._recent[0]
            changes = self._table.changes_since(
                known.get(topic, start), topic, skip_sources=(peer, LISTED)
            )
            limit_bytes = _find_limit(topic, free_bytes)
            taken = _limit(changes.facts, limit_bytes, _find_offered_size)
            cursors[topic] = self._find_cursor(changes, taken)
            chosen += taken
            if not is_urgent:
                free_bytes -= sum(map(_find_size, taken))
        return chosen, {
            topic: cursor
            for topic, cursor in cursors.items()
            if cursor is not None
        }

    def _find_cursor(self, changes, taken):
        """Return the cursor after the facts that were taken."""
        if len(taken) == len(changes.facts):
            return changes.cursor
        if not taken:
            return None
        return self._table.find_sequence(taken[-1])


def _is_urgent(topic):
    """Return whether facts of a topic name are sent beside the budget."""
    return facts.find_priority(topic) <= facts.Topic.NOTICE.priority


def _find_limit(topic, free_bytes):
    """Return what the facts of a topic may take in one message, in bytes."""
    if _is_urgent(topic):
        return MAX_URGENT_BYTES
    if topic == facts.Topic.MEMBER.value:
        return max(free_bytes, MIN_MEMBER_BYTES)
    return free_bytes


def _find_size(fact):
    """Return the size of a fact that is sent, in bytes."""
    return fact.size_bytes


def _find_offered_size(fact):
    """Return the size of a fact that is offered when large, in bytes."""
    return min(fact.size_bytes, INLINE_BYTES)


def _limit(found, limit_bytes, find_size):
    """Return the first facts that fit."""
    sizes = itertools.accumulate(find_size(fact) for fact in found)
    pairs = zip(found, sizes, strict=True)
    fitting = itertools.takewhile(lambda pair: pair[1] <= limit_bytes, pairs)
    return [fact for fact, _ in fitting]
