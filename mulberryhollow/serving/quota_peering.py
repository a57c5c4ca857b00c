"""Charges requests to quotas whose credit is held by several instances."""

import contextlib
import functools
import itertools
import json
import logging
import math

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import draws
from mulberryhollow.serving import room_admission
from mulberryhollow.state import decoding

__all__ = ["BorrowedCredit", "QuotaPeering"]

LEND_TOPIC = "quota.lend"
DRAW_TOPIC = "quota.draw"

BORROW_TIMEOUT_S = 0.1
"""Longest time for which a request waits for credit, in seconds.

A refusal must be immediate; peers answer within a few milliseconds.
"""

DRAW_TIMEOUT_S = 0.15
"""Longest wait for a holder to charge a request, in seconds.

The holder may ask other holders for `BORROW_TIMEOUT_S`.
"""

HOLDER_PAUSE_S = 1.0
"""Time for which a holder that gave no answer is not asked, in seconds."""

MAX_HOLDERS = 2
"""Number of holders that are asked in turn to charge a request."""

MAX_LENDERS = 8
"""Maximum number of peers that are asked for one request."""

ASKED = events.declare(
    4030,
    logging.INFO,
    "peers were asked for credit of a client account's quota",
)
NOT_DRAWN = events.declare(
    4032,
    logging.INFO,
    "the holder of an account's credit gave no usable answer",
    "check that instance if this repeats",
)
NO_ANSWER = events.declare(
    4031,
    logging.INFO,
    "a peer that was asked for credit gave no usable answer",
    "check that instance if this repeats",
)


@attrs.frozen
class BorrowedCredit:
    """Result of asking peers for credit.

    Parameters
    ----------
    lent : float
        Credit that the peers lent, in the unit of the quota.
    owed : float
        Total debt of the asked peers that are in debt, in that unit.
    asked : int
        Number of peers that were asked.
    """

    lent: float
    owed: float
    asked: int


class QuotaPeering:
    """Charges requests, at this instance or at a holder of credit.

    In a small fleet each instance holds its share of a quota. In a larger
    one the collectors hold the credit, and one of them charges all requests
    of an account, so that most of the account's credit gathers there.
    Where requests are large, one holder may be in debt while others have
    credit left, so holders lend credit to each other.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Holds the token buckets of the quotas.
    room : RoomAdmission or UnlimitedRoom
        Decides which requests there is room for.

    Notes
    -----
    A peer subtracts lent credit from its own bucket before it answers, and
    a holder charges a request before it answers. So a lost answer loses
    credit and never duplicates it. An instance that reaches no holder
    charges its requests to its own equal part.

    Where a service has too little room, a request is granted room before it
    is charged, by the instance that charges it, so a request refused for
    lack of room costs no credit. Holders decide once all instances decode
    the question for room; until then each instance decides for itself.
    """

    def __init__(self, peers, clock, dispatcher, room=None):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._room = room or room_admission.UnlimitedRoom()
        self._local_name = peers.local_member().instance_id
        self._rotation = itertools.count()
        self._paused_until_s = {}
        self._holders = {}
        self._collectors = sharing.Collectors()
        self._refused = limits.RefusedAccounts()

    def connect(self):
        """Register the handlers of the peers' calls."""
        self._peers.handle(LEND_TOPIC, self._answer_lend)
        self._peers.handle(DRAW_TOPIC, self._answer_draw)

    def apply_collectors(self, collectors):
        """Let the given `Collectors` hold the credit from now on."""
        self._collectors = collectors
        self._holders = {}
        self._room.apply_collectors(collectors)
        self._dispatcher.change(functools.partial(_set_holders, collectors))

    def charge(self, request):
        """Charge a request to the quota of its client account.

        Parameters
        ----------
        request : ForwardRequest
            The request.

        Returns
        -------
        DrawnCredit or None
            Answer of the holder, with the endpoint that it chose for the
            request; None if this instance is to choose.

        Raises
        ------
        RefusedError
            When there is no room for the request, the account is over its
            quota, or the request is quarantined for crashing endpoints.
        """
        if not self._room.is_on(request.service):
            return self._charge(request)
        if self._room.shares_demand:
            return self._charge(request, by_room=True)
        self._grant_room(request)
        with self._withdraw_room(request):
            return self._charge(request)

    def _charge(self, request, by_room=False):
        """Charge a request, at a holder if there is one.

        Parameters
        ----------
        request : ForwardRequest
            The request.
        by_room : bool
            Whether the instance that charges it decides about room too.
        """
        drawn = self._find_refusal(request) if by_room else None
        if drawn is None and (request.cost or by_room):
            drawn = self._draw(request)
            self._keep_refusal(request, drawn)
        if drawn is None and by_room:
            self._grant_room(request)
            with self._withdraw_room(request):
                self._charge_here(request)
            return None
        if drawn is None:
            self._charge_here(request)
            return None
        if drawn.no_room is not None:
            raise errors.RefusedError(
                room_admission.refuse_no_room(
                    request.service,
                    drawn.no_room.rule,
                    drawn.no_room.retry_after_s,
                )
            )
        self._dispatcher.accept(
            request.service,
            request.fingerprint,
            drawn.exceeded,
            request.parts,
        )
        return drawn

    def _find_refusal(self, request):
        """Return the DrawnCredit by which the holder refused before, or None.

        Its account has no credit yet for a request that costs so much.
        """
        exceeded = self._refused.find(
            request.account, request.cost, self._clock.now_s()
        )
        return exceeded and draws.DrawnCredit(exceeded)

    def _keep_refusal(self, request, drawn):
        """Keep the refusal of a holder for requests that cost as much."""
        if drawn is not None and drawn.exceeded is not None:
            self._refused.record(
                drawn.exceeded, request.cost, self._clock.now_s()
            )

    def _grant_room(self, request):
        """Raise RefusedError unless there is room for a request here."""
        query = draws.RoomQuery.of(request, self._clock.now_s())
        found = self._room.decide(request.to_route_request(), query)
        if found is not None:
            raise errors.RefusedError(
                room_admission.refuse_no_room(
                    request.service, found.rule.value, found.retry_after_s
                )
            )

    @contextlib.contextmanager
    def _withdraw_room(self, request):
        """Give granted room back when the request is refused."""
        try:
            yield
        except errors.RefusedError:
            query = draws.RoomQuery.of(request, self._clock.now_s())
            self._room.withdraw(request.to_route_request(), query)
            raise

    def _charge_here(self, request):
        """Charge a request to the credit of this instance and its peers."""
        account, service, cost = request.account, request.service, request.cost
        shortfall = self._dispatcher.charge(
            account, service, cost, request.fingerprint, request.parts
        )
        if shortfall is None:
            return
        borrowed = self.borrow(request.request_id, account, shortfall.lack)
        self._dispatcher.reconcile(account, service, cost, borrowed)

    def _draw(self, request):
        """Return the `DrawnCredit` of a holder.

        None if no holder answers, or if this instance is to charge the
        request itself.
        """
        holders = self._list_holders(request.account)
        if not holders:
            return None
        now_s = self._clock.now_s()
        query = None
        if self._room.shares_demand:
            query = draws.RoomQuery.of(request, now_s)
        payload = draws.encode_draw(
            request, now_s, query, self._collectors.level
        )
        for name in holders:
            if name == self._local_name:
                return None
            if self._is_paused(name):
                continue
            try:
                answer = self._peers.call(
                    name, DRAW_TOPIC, payload, DRAW_TIMEOUT_S
                )
                return draws.decode_drawn(request.account, answer)
            except (errors.PeerError, ValueError) as error:
                self._pause(name)
                events.log(
                    NOT_DRAWN,
                    request=request.request_id,
                    peer=name,
                    reason=str(error),
                )
        return None

    def _list_holders(self, account):
        """Return the holders to ask for an account, the usual one first.

        Instances with different views of the membership may ask different
        holders; the credit of each is counted by its own demand.
        """
        if not self._collectors.local:
            return ()
        holders = self._holders
        if account not in holders:
            holders[account] = self._collectors.rank(
                f"quota {account}", self._local_name, MAX_HOLDERS
            )
        return holders[account]

    def _is_paused(self, name):
        """Return whether a peer has given no answer recently."""
        return self._clock.now_s() < self._paused_until_s.get(name, 0.0)

    def _pause(self, name):
        """Ask a peer that gave no answer again only after a while."""
        self._paused_until_s[name] = self._clock.now_s() + HOLDER_PAUSE_S

    def _answer_draw(self, payload):
        """Charge and place the request of a peer; return the outcome."""
        draw = draws.decode_draw(payload, self._clock.now_s())
        account, cost = draw.account, draw.cost
        if draw.room_query is not None:
            refused = self._room.decide(draw.route_request, draw.room_query)
            if refused is not None:
                no_room = draws.RoomRefusal(
                    refused.rule.value, refused.retry_after_s
                )
                return draws.encode_drawn(
                    draws.DrawnCredit(None, no_room=no_room)
                )
        found = self._dispatcher.read(
            lambda actor, now_s: actor.quotas.spend(account, cost, now_s)
        )
        if isinstance(found, limits.CreditShortfall):
            borrowed = self.borrow("", account, found.lack)
            found = self._dispatcher.read(
                lambda actor, now_s: actor.quotas.reconcile(
                    account,
                    cost,
                    borrowed.lent,
                    borrowed.owed,
                    now_s,
                    borrowed.asked,
                )
            )
        drawn = draws.DrawnCredit(found)
        if found is not None and draw.room_query is not None:
            self._room.withdraw(draw.route_request, draw.room_query)
        if found is None:
            placed = self._dispatcher.place(draw.route_request)
            if placed is not None:
                drawn = draws.DrawnCredit(
                    None, placed.chosen.endpoint_id, placed.permit
                )
        return draws.encode_drawn(drawn)

    def borrow(self, request_id, account, lack):
        """Borrow credit from one peer after the other until it suffices.

        Parameters
        ----------
        request_id : str
            The request that lacks credit; empty for that of a peer.
        account : str
            Client account of the request.
        lack : float
            Credit that this instance lacks, in the unit of the quota. The
            debts of the asked peers are added to it.

        Returns
        -------
        BorrowedCredit
            Credit that the peers lent, and their debts.
        """
        end_s = self._clock.now_s() + BORROW_TIMEOUT_S
        lent = owed = 0.0
        asked = 0
        for name in self._list_lenders():
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0 or (asked and lent - owed >= lack):
                break
            balance = self._ask(
                name, account, max(0.0, lack - lent), remaining_s
            )
            asked += 1
            lent += max(0.0, balance)
            owed += max(0.0, -balance)
        events.log(
            ASKED,
            request=request_id,
            account=account,
            lack=round(lack),
            lent=lent,
            owed=owed,
            asked=asked,
        )
        return BorrowedCredit(lent, owed, asked)

    def _list_lenders(self):
        """Return the peers to ask; each call starts one peer further on."""
        names = [
            name
            for name in self._collectors.others
            if not self._is_paused(name)
        ]
        if not names:
            return ()
        first = next(self._rotation) % len(names)
        return (names[first:] + names[:first])[:MAX_LENDERS]

    def _ask(self, name, account, wanted, timeout_s):
        """Return the credit that one peer lends; below 0 if it is in debt."""
        request = json.dumps([account, math.ceil(wanted)]).encode()
        try:
            answer = self._peers.call(name, LEND_TOPIC, request, timeout_s)
            return float(answer)
        except (errors.PeerError, ValueError) as error:
            self._pause(name)
            events.log(
                NO_ANSWER, peer=name, account=account, reason=str(error)
            )
            return 0.0

    def _answer_lend(self, payload):
        """Lend a peer the available credit, up to the wanted amount."""
        account, wanted, *_ = decoding.decode_json(payload)
        balance = self._dispatcher.read(
            lambda actor, now_s: actor.quotas.lend(account, wanted, now_s)
        )
        return str(math.floor(balance)).encode()


def _set_holders(collectors, actor, now_s):
    """Apply the instances that hold the credit; runs in the dispatch actor."""
    actor.quotas.set_live_nodes(
        collectors.parts, now_s, bool(collectors.local)
    )
    actor.quotas.limits_debts = actor.view.has_work_based_services
