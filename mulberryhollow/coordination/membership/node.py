"""State machine of one node: its facts, its members and its messages."""

import attrs

from mulberryhollow.coordination.membership import budget
from mulberryhollow.coordination.membership import machine
from mulberryhollow.coordination.membership import member
from mulberryhollow.coordination.membership import messages
from mulberryhollow.coordination.membership import spread
from mulberryhollow.state import facts

__all__ = ["PeerNode"]

URGENT_GAP_S = 0.05
"""Least time between two rounds of urgent messages, in seconds."""

SYNC_GAP_S = 5.0
"""Least time between two comparisons of digests by bucket, in seconds."""

EXPIRY_ROUNDS = 10
"""Rounds between two looks for expired facts."""

QUIET_S = 2.0
"""Time without a new fact before a difference is looked into, in seconds."""


@attrs.define
class _Sent:
    """Cursors of a message on its way and whether it asked for a sync."""

    cursors: dict
    asked_sync: bool = False


class PeerNode:
    """One node among its peers, without sockets, threads or a clock.

    Parameters
    ----------
    me : Member
        The node itself.
    seeds : iterable of Member
        Members read from the registration objects.
    now_s : float
        Monotonic time, in seconds.
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.
    table : FactTable or None
        Where the facts are held; a new one by default.

    Notes
    -----
    Every method that takes an event returns the actions to carry out, each a
    `SendExchange` or an `AskProbe`. The caller reports how each action ended.
    An urgent fact is due at once: after each event the caller carries out
    what `flush` returns.
    """

    def __init__(self, me, seeds, now_s, wall_s, table=None):
        self.table = facts.FactTable() if table is None else table
        self.membership = machine.Membership(me, now_s)
        self.budget = budget.ByteBudget(now_s=now_s)
        self._farewell = ()
        self._in_flight = {}
        self._again = set()
        self._urgent = False
        self._urgent_is_own = False
        self._flushed_s = now_s - URGENT_GAP_S
        self._synced_s = now_s - SYNC_GAP_S
        self._changed_s = now_s
        self.add_members(seeds, now_s, wall_s)
        self._spread = spread.Spread(self.table)
        self.table.merge(self.membership.join(wall_s), wall_s)

    def add_members(self, listed, now_s, wall_s):
        """Take in members read from registration objects.

        Parameters
        ----------
        listed : iterable of Member
            What was read, which may lag.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        for added in self.membership.apply_list(listed, now_s):
            fact = member.encode_fact(member.MemberState(added), wall_s)
            self.table.merge(fact, wall_s, source=spread.LISTED)

    def publish(self, fact, wall_s):
        """Take in a fact of this node's own.

        Returns
        -------
        bool
            Whether it was new.
        """
        is_new = self.table.merge(fact, wall_s)
        if is_new and _is_urgent(fact):
            self._urgent = True
            self._urgent_is_own = True
        return is_new

    def leave(self, wall_s):
        """Announce that this node stops, urgently."""
        fact = self.membership.leave(wall_s)
        self.table.merge(fact, wall_s)
        self._farewell = (fact,)
        self._urgent = True
        self._urgent_is_own = True

    def begin_round(self, now_s, wall_s):
        """Return the messages of one round.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        if self.membership.round_number % EXPIRY_ROUNDS == 0:
            self._drop_expired(wall_s)
        for fact in self.membership.begin_round(now_s, wall_s):
            self.table.merge(fact, wall_s)
        self._spread.begin_round()
        targets = self.membership.choose_targets(now_s)
        return self._send_to(targets, now_s)

    def flush(self, now_s):
        """Return the messages that urgent facts call for, if any are due."""
        if not self._urgent or now_s - self._flushed_s < URGENT_GAP_S:
            return ()
        return self.send_urgent(now_s)

    def send_urgent(self, now_s):
        """Return the messages to the targets of urgent facts, due or not."""
        targets = self.membership.choose_urgent_targets(self._urgent_is_own)
        self._urgent = False
        self._urgent_is_own = False
        self._flushed_s = now_s
        self._again.update(self._in_flight.keys() & set(targets))
        return self._send_to(targets, now_s)

    @property
    def has_urgent(self):
        """Whether urgent facts wait for the next `flush`."""
        return self._urgent

    def answer(self, peer, exchange, now_s, wall_s):
        """Take in a peer's message and return the answer to it.

        Parameters
        ----------
        peer : str
            Instance id of the sender.
        exchange : Exchange
            What it sent.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        Exchange
            The answer.
        """
        self.membership.note_contact(peer)
        self._spread.note_room(peer, exchange.room_bytes)
        self._take(peer, exchange.facts, now_s, wall_s)
        free_bytes = self.budget.find_free_bytes(now_s)
        reply, cursors = self._spread.compose(
            peer,
            free_bytes,
            wants=self._spread.choose_wants(exchange.offers, now_s),
            answers=self._spread.list_answers(exchange.wants, free_bytes),
            repairs=self._spread.list_repairs(exchange.digests),
            digests=self._echo_digests(exchange),
        )
        self._spread.confirm(peer, cursors)
        return reply

    def take_reply(self, peer, exchange, now_s, wall_s):
        """Take in the answer of a peer.

        Returns
        -------
        tuple of SendExchange
            A further message when the peer wants or offers something.
        """
        sent = self._in_flight.pop(peer, None)
        self.membership.note_contact(peer)
        if sent:
            self._spread.confirm(peer, sent.cursors)
        self._spread.note_room(peer, exchange.room_bytes)
        self._take(peer, exchange.facts, now_s, wall_s)
        wants = self._spread.choose_wants(exchange.offers, now_s)
        free_bytes = self.budget.find_free_bytes(now_s)
        answers = self._spread.list_answers(exchange.wants, free_bytes)
        repairs = self._spread.list_repairs(exchange.digests)
        digests = self._start_sync(exchange, sent, now_s)
        is_due = peer in self._again
        self._again.discard(peer)
        if not (wants or answers or repairs or digests or is_due):
            return ()
        return (self._send(peer, now_s, wants, answers, repairs, digests),)

    def take_failure(self, peer):
        """Note that a message or its answer was lost.

        Returns
        -------
        tuple of AskProbe
            Helpers to ask about the peer.
        """
        self._in_flight.pop(peer, None)
        self._again.discard(peer)
        return self.membership.note_miss(peer)

    def take_probe(self, action, is_reached, now_s, wall_s):
        """Note what a helper said; None when the helper did not answer.

        Parameters
        ----------
        action : AskProbe
            What was asked.
        is_reached : bool or None
            Whether the helper reached the target.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        doubts = self.membership.note_probe(
            action.helper, action.target, is_reached, now_s, wall_s
        )
        for fact in doubts:
            self.table.merge(fact, wall_s)

    def _send_to(self, targets, now_s):
        """Return messages to those peers that none is on its way to.

        A farewell does not wait, since the node may stop before an answer.
        """
        return tuple(
            self._send(target, now_s, answers=self._farewell)
            for target in targets
            if self._farewell or target not in self._in_flight
        )

    def _send(self, peer, now_s, wants=(), answers=(), repairs=(), digests=()):
        """Return one message and keep its cursors until it is answered."""
        exchange, cursors = self._spread.compose(
            peer,
            self.budget.find_free_bytes(now_s),
            wants,
            answers,
            repairs,
            digests,
        )
        self._in_flight[peer] = _Sent(cursors, bool(digests))
        return messages.SendExchange(peer, exchange)

    def _take(self, peer, found, now_s, wall_s):
        """Merge facts and pass those about members on."""
        for fact in found:
            if not self.table.merge(fact, wall_s, source=peer):
                continue
            if _is_lasting(fact):
                self._changed_s = now_s
            self._urgent = self._urgent or _is_urgent(fact)
            if fact.topic == facts.Topic.MEMBER.value:
                self._apply_member(fact, now_s, wall_s)

    def _apply_member(self, fact, now_s, wall_s):
        """Take in a fact about a member; one that cannot be read is left."""
        before = self._find_incarnation(fact.key)
        try:
            answers = self.membership.apply_fact(fact, now_s, wall_s)
        except ValueError:
            return
        if before not in (None, self._find_incarnation(fact.key)):
            self._spread.forget(fact.key)
        for answer in answers:
            self.table.merge(answer, wall_s)

    def _find_incarnation(self, instance_id):
        """Return the known incarnation of a member, or None."""
        view = self.membership.find_member(instance_id)
        return view.member.incarnation if view else None

    def _drop_expired(self, wall_s):
        """Drop expired facts and forget the members that they told of."""
        for fact in self.table.drop_expired(wall_s):
            if fact.topic == facts.Topic.MEMBER.value:
                self.membership.forget(fact.key)

    def _start_sync(self, exchange, sent, now_s):
        """Return the digests by bucket when a repair is due."""
        is_equal = exchange.digest == self.table.compute_digest()
        asked = sent is not None and sent.asked_sync
        is_early = now_s - self._synced_s < SYNC_GAP_S
        is_busy = now_s - self._changed_s < QUIET_S
        if is_equal or asked or is_early or is_busy:
            return ()
        self._synced_s = now_s
        return self.table.compute_digests()

    def _echo_digests(self, exchange):
        """Return the own digests by bucket to a peer that sent its own."""
        return self.table.compute_digests() if exchange.digests else ()


def _is_urgent(fact):
    """Return whether a fact is forwarded as soon as it arrives."""
    if fact.topic == facts.Topic.MEMBER.value:
        return member.find_standing(fact) is member.Standing.LEFT
    return facts.find_priority(fact.topic) <= facts.Topic.NOTICE.priority


def _is_lasting(fact):
    """Return whether anti-entropy repairs a fact."""
    return facts.find_priority(fact.topic) <= facts.Topic.MEMBER.priority
