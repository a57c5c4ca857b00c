"""Dissemination: the selection of facts for each gossip message."""

import collections
import itertools

import attrs

from mulberryhollow.coordination.membership import messages
from mulberryhollow.state import facts

__all__ = ["Disseminator", "REGISTRY_SOURCE"]

REGISTRY_SOURCE = ""
"""Source of member facts made from registration objects.

These facts are not sent on, since every node reads the objects itself.
"""

MAX_INLINE_BYTES = 1_024
"""Maximum size of a fact that is sent without a request, in bytes.

A larger fact is offered first.
"""

MAX_URGENT_BYTES = 65_536
"""Maximum size of the urgent facts in one message, in bytes."""

MAX_BULK_BYTES = 4_096
"""Maximum size of the non-urgent facts in one message, in bytes."""

MIN_MEMBER_BYTES = 1_024
"""Size of member facts that one message may carry even without free budget,
in bytes."""

MAX_ANSWER_BYTES = 1_500_000
"""Maximum size of the urgent facts in one reply to a request, in bytes."""

WANT_RETRY_S = 1.5
"""Time before an offered fact is requested again, in seconds."""

MAX_REPAIR_IDS = 200
"""Maximum number of facts offered in one message to repair a difference."""

RECENT_ROUNDS = 10
"""Number of recent rounds whose non-urgent changes are sent to a new peer."""

RECEIVE_WINDOW_DIVISOR = 2
"""Number of peers among which a node divides its free bytes when it announces
its receive window."""

MAX_TRACKED_PEERS = 512
"""Maximum number of peers whose cursors and receive windows are kept."""


class Disseminator:
    """Selects the changes of one fact table to send to each peer.

    Parameters
    ----------
    table : FactTable
        The facts; non-urgent facts that the table holds at the start are
        not sent without a request.

    Notes
    -----
    A cursor for each peer and topic marks the last change sent to the peer.
    It advances only when the peer replies, so the next message makes up for
    a lost one; the comparison of digests makes up for a lost reply. A new
    peer gets every urgent fact, but only the recent changes of all others.
    """

    def __init__(self, table):
        self._table = table
        self._cursors = collections.OrderedDict()
        self._receive_windows = collections.OrderedDict()
        self._wanted = {}
        self._recent = collections.deque([table.cursor], maxlen=RECENT_ROUNDS)

    def begin_round(self):
        """Record the cursor at which the changes of a round begin."""
        self._recent.append(self._table.cursor)

    def compose(
        self, peer, free_bytes, wants=(), answers=(), repairs=(), digests=()
    ):
        """Return the message for a peer and the peer's cursors after it.

        Parameters
        ----------
        peer : str
            Instance id of the receiver.
        free_bytes : int
            Budget for non-urgent facts, in bytes.
        wants : tuple of FactId
            Facts to request.
        answers : tuple of Fact
            Facts that the peer requested.
        repairs : tuple of FactId
            Facts of buckets that differ, to be offered.
        digests : tuple of int
            Digests by bucket, to repair a difference.

        Returns
        -------
        tuple of (Exchange, dict)
            The message, and the cursors to confirm once the peer received it.
        """
        room_bytes = self._receive_windows.get(
            peer, messages.DEFAULT_ROOM_BYTES
        )
        limit_bytes = min(free_bytes, room_bytes, MAX_BULK_BYTES)
        chosen, cursors = self._choose(peer, limit_bytes)
        inline = [
            fact for fact in chosen if fact.size_bytes <= MAX_INLINE_BYTES
        ]
        offers = tuple(
            fact.identity
            for fact in chosen
            if fact.size_bytes > MAX_INLINE_BYTES
        )
        sent = tuple(dict.fromkeys([*answers, *inline]))
        offered = tuple(dict.fromkeys([*offers, *repairs]))
        exchange = messages.Exchange(
            self._table.compute_digest(),
            sent,
            offered,
            wants,
            digests,
            free_bytes // RECEIVE_WINDOW_DIVISOR,
        )
        return exchange, cursors

    def record_receive_window(self, peer, room_bytes):
        """Record the receive window of a peer for non-urgent facts."""
        self._receive_windows[peer] = room_bytes
        self._receive_windows.move_to_end(peer)
        while len(self._receive_windows) > MAX_TRACKED_PEERS:
            self._receive_windows.popitem(last=False)

    def confirm(self, peer, cursors):
        """Advance a peer's cursors after it received a message."""
        known = self._cursors.setdefault(peer, {})
        for topic, cursor in cursors.items():
            known[topic] = max(cursor, known.get(topic, 0))
        self._cursors.move_to_end(peer)
        while len(self._cursors) > MAX_TRACKED_PEERS:
            self._cursors.popitem(last=False)

    def forget(self, peer):
        """Drop the cursors of a peer whose restart emptied its fact table.

        Parameters
        ----------
        peer : str
            Instance id of the peer.
        """
        self._cursors.pop(peer, None)

    def choose_wants(self, offers, now_s):
        """Return the offered facts to request, and record the requests.

        A fact is requested again only when `WANT_RETRY_S` has passed.

        Parameters
        ----------
        offers : iterable of FactId
            Facts that a peer offers.
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
        self._wanted.update(dict.fromkeys(wants, now_s + WANT_RETRY_S))
        return wants

    def list_answers(self, wants, free_bytes):
        """Return the facts that a peer requested, as far as they fit.

        Parameters
        ----------
        wants : iterable of FactId
            Facts that the peer requested.
        free_bytes : int
            Budget for non-urgent facts, in bytes.
        """
        held = [
            self._table.get(identity.topic, identity.key) for identity in wants
        ]
        found = [fact for fact in held if fact]
        urgent = [fact for fact in found if _is_urgent(fact.topic)]
        non_urgent = [fact for fact in found if not _is_urgent(fact.topic)]
        return tuple(
            _select_fitting(urgent, MAX_ANSWER_BYTES, _find_size)
            + _select_fitting(
                non_urgent, max(free_bytes, MAX_INLINE_BYTES), _find_size
            )
        )

    def list_repairs(self, digests):
        """Return the facts of buckets that differ, to be offered.

        Parameters
        ----------
        digests : tuple of int
            Digests of the peer by bucket.
        """
        pairs = zip(digests, self._table.compute_digests(), strict=False)
        found = [
            fact
            for bucket, (remote, local) in enumerate(pairs)
            if remote != local
            for fact in self._table.list_bucket(bucket)
        ]
        found.sort(key=lambda fact: facts.find_priority(fact.topic))
        return tuple(fact.identity for fact in found[:MAX_REPAIR_IDS])

    def _choose(self, peer, free_bytes):
        """Return the facts to send or offer and the cursors after them."""
        known = self._cursors.get(peer, {})
        chosen = []
        cursors = {}
        for topic in self._table.list_topics():
            is_urgent = _is_urgent(topic)
            start = 0 if is_urgent else self._recent[0]
            changes = self._table.changes_since(
                known.get(topic, start),
                topic,
                skip_sources=(peer, REGISTRY_SOURCE),
            )
            changes = attrs.evolve(
                changes, facts=tuple(filter(self._is_due, changes.facts))
            )
            limit_bytes = _find_limit(topic, free_bytes)
            selected = _select_fitting(
                changes.facts, limit_bytes, _find_offered_size
            )
            cursors[topic] = self._find_cursor(changes, selected)
            chosen += selected
            if not is_urgent:
                free_bytes -= sum(map(_find_size, selected))
        return chosen, {
            topic: cursor
            for topic, cursor in cursors.items()
            if cursor is not None
        }

    def _is_due(self, fact):
        """Return whether a changed fact is sent without a request.

        There is one level for each instance, too many for each first contact
        of two instances: after the recent rounds anti-entropy delivers them.
        """
        is_notice = fact.topic == facts.Topic.NOTICE.value
        if not (is_notice and fact.key.startswith(f"{facts.LEVEL} ")):
            return True
        return self._table.find_sequence(fact) > self._recent[0]

    def _find_cursor(self, changes, selected):
        """Return the cursor after the selected facts.

        It is None if there are changes but none was selected. If there are no
        changes, the topic's cursor still advances.
        """
        if len(selected) == len(changes.facts):
            return changes.cursor
        if not selected:
            return None
        return self._table.find_sequence(selected[-1])


def _is_urgent(topic):
    """Return whether facts of a topic are sent regardless of the budget."""
    return facts.find_priority(topic) <= facts.Topic.NOTICE.priority


def _find_limit(topic, free_bytes):
    """Return the size limit of a topic's facts in one message, in bytes."""
    if _is_urgent(topic):
        return MAX_URGENT_BYTES
    if topic == facts.Topic.MEMBER.value:
        return max(free_bytes, MIN_MEMBER_BYTES)
    return free_bytes


def _find_size(fact):
    """Return the full size of a fact, in bytes."""
    return fact.size_bytes


def _find_offered_size(fact):
    """Return the size of a fact, capped for one that is only offered."""
    return min(fact.size_bytes, MAX_INLINE_BYTES)


def _select_fitting(found, limit_bytes, find_size):
    """Return the leading facts whose total size is within the limit."""
    sizes = itertools.accumulate(find_size(fact) for fact in found)
    pairs = zip(found, sizes, strict=True)
    fitting = itertools.takewhile(lambda pair: pair[1] <= limit_bytes, pairs)
    return [fact for fact, _ in fitting]
