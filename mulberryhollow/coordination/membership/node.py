"""State machine of one gossip node: facts, members and messages."""

import attrs

from mulberryhollow.coordination.membership import budget
from mulberryhollow.coordination.membership import dissemination
from mulberryhollow.coordination.membership import member
from mulberryhollow.coordination.membership import messages
from mulberryhollow.coordination.membership import state_machine
from mulberryhollow.state import facts

__all__ = ["PeerNode"]

MIN_URGENT_INTERVAL_S = 0.05
"""Minimum interval between two rounds of urgent messages, in seconds."""

MIN_SYNC_INTERVAL_S = 5.0
"""Minimum interval between two comparisons of digests by bucket, in
seconds."""

EXPIRY_CHECK_ROUNDS = 10
"""Rounds between two checks for expired facts."""

QUIET_PERIOD_S = 2.0
"""Time without a new lasting fact before differing digests start a repair, in
seconds."""


@attrs.define
class _SentExchange:
    """Cursors of a message in flight, and whether it carried digests."""

    cursors: dict
    requested_sync: bool = False


class PeerNode:
    """Gossip protocol of one node, without sockets, threads or a clock.

    Parameters
    ----------
    local_member : Member
        The local member.
    seeds : iterable of Member
        Members read from the registration objects.
    now_s : float
        Monotonic time, in seconds.
    wall_s : float
        Wall-clock time, in seconds since the Unix epoch.
    table : FactTable or None
        Table that stores the facts; a new one by default.

    Notes
    -----
    A method that handles an event returns the actions for the caller to
    execute, each a `SendExchange` or an `AskProbe`; the caller reports the
    result of each action. An urgent fact is due at once: after each event
    the caller also executes the actions that `flush` returns.
    """

    def __init__(self, local_member, seeds, now_s, wall_s, table=None):
        self.table = facts.FactTable() if table is None else table
        self.membership = state_machine.Membership(local_member, now_s)
        self.budget = budget.ByteBudget(now_s=now_s)
        self._leave_facts = ()
        self._in_flight = {}
        self._resend = set()
        self._urgent = False
        self._is_urgent_local = False
        self._flushed_s = now_s - MIN_URGENT_INTERVAL_S
        self._synced_s = now_s - MIN_SYNC_INTERVAL_S
        self._changed_s = now_s
        self.add_members(seeds, now_s, wall_s)
        self._disseminator = dissemination.Disseminator(self.table)
        self.table.merge(self.membership.join(wall_s), wall_s)

    def add_members(self, listed, now_s, wall_s):
        """Merge members read from registration objects.

        Parameters
        ----------
        listed : iterable of Member
            Members as listed; the list may lag.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        for added in self.membership.apply_list(listed, now_s):
            fact = member.encode_fact(member.MemberState(added), wall_s)
            self.table.merge(
                fact, wall_s, source=dissemination.REGISTRY_SOURCE
            )

    def publish(self, fact, wall_s):
        """Publish a fact of this node.

        Returns
        -------
        bool
            Whether the fact was new.
        """
        is_new = self.table.merge(fact, wall_s)
        if is_new and _is_urgent(fact):
            self._urgent = True
            self._is_urgent_local = True
        return is_new

    def leave(self, wall_s):
        """Announce urgently that this node leaves for good."""
        fact = self.membership.leave(wall_s)
        self.table.merge(fact, wall_s)
        self._leave_facts = (fact,)
        self._urgent = True
        self._is_urgent_local = True

    def begin_round(self, now_s, wall_s):
        """Return the messages of one round.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        if self.membership.round_number % EXPIRY_CHECK_ROUNDS == 0:
            self._drop_expired(wall_s)
        for fact in self.membership.begin_round(now_s, wall_s):
            self.table.merge(fact, wall_s)
        self._disseminator.begin_round()
        targets = self.membership.choose_targets(now_s)
        return self._send_to(targets, now_s)

    def flush(self, now_s):
        """Return the messages that send urgent facts, if any are due."""
        if not self._urgent or now_s - self._flushed_s < MIN_URGENT_INTERVAL_S:
            return ()
        return self.send_urgent(now_s)

    def send_urgent(self, now_s):
        """Return messages to the targets of urgent facts, due or not."""
        targets = self.membership.choose_urgent_targets(self._is_urgent_local)
        self._urgent = False
        self._is_urgent_local = False
        self._flushed_s = now_s
        self._resend.update(self._in_flight.keys() & set(targets))
        return self._send_to(targets, now_s)

    @property
    def has_urgent(self):
        """Whether urgent facts wait for the next `flush`."""
        return self._urgent

    def answer(self, peer, exchange, now_s, wall_s):
        """Handle a peer's message and return the reply.

        Parameters
        ----------
        peer : str
            Instance id of the sender.
        exchange : Exchange
            The peer's message.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.

        Returns
        -------
        Exchange
            The reply.
        """
        self.membership.record_contact(peer)
        self._disseminator.record_receive_window(peer, exchange.room_bytes)
        self._merge_facts(peer, exchange.facts, now_s, wall_s)
        free_bytes = self.budget.find_free_bytes(now_s)
        reply, cursors = self._disseminator.compose(
            peer,
            free_bytes,
            wants=self._disseminator.choose_wants(exchange.offers, now_s),
            answers=self._disseminator.list_answers(
                exchange.wants, free_bytes
            ),
            repairs=self._disseminator.list_repairs(exchange.digests),
            digests=self._reply_digests(exchange),
        )
        self._disseminator.confirm(peer, cursors)
        return reply

    def handle_reply(self, peer, exchange, now_s, wall_s):
        """Handle the reply of a peer.

        Returns
        -------
        tuple of SendExchange
            A further message, when the peer requested or offered facts, when
            digests differ, or when an urgent message to the peer is due.
        """
        sent = self._in_flight.pop(peer, None)
        self.membership.record_contact(peer)
        if sent:
            self._disseminator.confirm(peer, sent.cursors)
        self._disseminator.record_receive_window(peer, exchange.room_bytes)
        self._merge_facts(peer, exchange.facts, now_s, wall_s)
        wants = self._disseminator.choose_wants(exchange.offers, now_s)
        free_bytes = self.budget.find_free_bytes(now_s)
        answers = self._disseminator.list_answers(exchange.wants, free_bytes)
        repairs = self._disseminator.list_repairs(exchange.digests)
        digests = self._start_sync(exchange, sent, now_s)
        is_due = peer in self._resend
        self._resend.discard(peer)
        if not (wants or answers or repairs or digests or is_due):
            return ()
        return (self._send(peer, now_s, wants, answers, repairs, digests),)

    def handle_failure(self, peer):
        """Handle the loss of a message or of its reply.

        Returns
        -------
        tuple of AskProbe
            Probes of the peer to request from helpers.
        """
        self._in_flight.pop(peer, None)
        self._resend.discard(peer)
        return self.membership.record_missed_heartbeat(peer)

    def handle_probe_result(self, action, is_reached, now_s, wall_s):
        """Handle the result of a helper's probe.

        Parameters
        ----------
        action : AskProbe
            The requested probe.
        is_reached : bool or None
            Whether the helper reached the target; None when the helper did
            not answer.
        now_s : float
            Monotonic time, in seconds.
        wall_s : float
            Wall-clock time, in seconds since the Unix epoch.
        """
        suspicions = self.membership.record_probe_result(
            action.helper, action.target, is_reached, now_s, wall_s
        )
        for fact in suspicions:
            self.table.merge(fact, wall_s)

    def _send_to(self, targets, now_s):
        """Return messages to those targets that have none in flight.

        The announcement that this node leaves is sent in any case, because
        the node may stop before the reply to the earlier message arrives.
        """
        return tuple(
            self._send(target, now_s, answers=self._leave_facts)
            for target in targets
            if self._leave_facts or target not in self._in_flight
        )

    def _send(self, peer, now_s, wants=(), answers=(), repairs=(), digests=()):
        """Return a message and keep its cursors until the reply arrives."""
        exchange, cursors = self._disseminator.compose(
            peer,
            self.budget.find_free_bytes(now_s),
            wants,
            answers,
            repairs,
            digests,
        )
        self._in_flight[peer] = _SentExchange(cursors, bool(digests))
        return messages.SendExchange(peer, exchange)

    def _merge_facts(self, peer, received, now_s, wall_s):
        """Merge received facts and apply those about members."""
        for fact in received:
            if not self.table.merge(fact, wall_s, source=peer):
                continue
            if _is_lasting(fact):
                self._changed_s = now_s
            self._urgent = self._urgent or _is_urgent(fact)
            if fact.topic == facts.Topic.MEMBER.value:
                self._apply_member(fact, now_s, wall_s)

    def _apply_member(self, fact, now_s, wall_s):
        """Apply a fact about a member; a malformed one is ignored."""
        before = self._find_incarnation(fact.key)
        try:
            answers = self.membership.apply_fact(fact, now_s, wall_s)
        except ValueError:
            return
        if before not in (None, self._find_incarnation(fact.key)):
            self._disseminator.forget(fact.key)
        for answer in answers:
            self.table.merge(answer, wall_s)

    def _find_incarnation(self, instance_id):
        """Return the known incarnation of a member, or None."""
        view = self.membership.find_member(instance_id)
        return view.member.incarnation if view else None

    def _drop_expired(self, wall_s):
        """Drop expired facts and forget the members that they describe."""
        for fact in self.table.drop_expired(wall_s):
            if fact.topic == facts.Topic.MEMBER.value:
                self.membership.forget(fact.key)

    def _start_sync(self, exchange, sent, now_s):
        """Return the digests by bucket when an anti-entropy repair is due."""
        is_equal = exchange.digest == self.table.compute_digest()
        was_requested = sent is not None and sent.requested_sync
        is_early = now_s - self._synced_s < MIN_SYNC_INTERVAL_S
        is_busy = now_s - self._changed_s < QUIET_PERIOD_S
        if is_equal or was_requested or is_early or is_busy:
            return ()
        self._synced_s = now_s
        return self.table.compute_digests()

    def _reply_digests(self, exchange):
        """Return the local digests by bucket if the peer sent its digests."""
        return self.table.compute_digests() if exchange.digests else ()


def _is_urgent(fact):
    """Return whether a fact is forwarded as soon as it is received."""
    if fact.topic == facts.Topic.MEMBER.value:
        return member.decode_status(fact) is member.MemberStatus.LEFT
    return facts.find_priority(fact.topic) <= facts.Topic.NOTICE.priority


def _is_lasting(fact):
    """Return whether anti-entropy repairs a fact."""
    return facts.find_priority(fact.topic) <= facts.Topic.MEMBER.priority
