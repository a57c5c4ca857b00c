"""Lends quota credit between instances."""

import itertools
import json
import logging
import math

import attrs

from mulberryhollow import errors
from mulberryhollow import events

__all__ = ["BorrowedCredit", "QuotaPeering"]

TOPIC = "quota.lend"

BORROW_TIMEOUT_S = 0.1
"""Longest time for which a request waits for credit, in seconds.

A refusal must be immediate; peers answer within a few milliseconds.
"""

MAX_LENDERS = 8
"""Maximum number of peers that are asked for one request."""

ASKED = events.declare(
    4030,
    logging.INFO,
    "peers were asked for credit of a client account's quota",
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
    """Lends credit to peers and borrows it from them.

    Each instance holds its share of a quota. Where requests are large, one
    instance may be in debt while others have credit left.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Holds the token buckets of the quotas.
    get_members : callable
        Returns the other live members.

    Notes
    -----
    A peer subtracts lent credit from its own bucket before it answers, so
    a lost answer loses the credit and never duplicates it.
    """

    def __init__(self, peers, clock, dispatcher, get_members):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._get_members = get_members
        self._rotation = itertools.count()

    def connect(self):
        """Register the handler of the peers' calls."""
        self._peers.handle(TOPIC, self._answer)

    def borrow(self, request_id, account, lack):
        """Borrow credit from one peer after the other until it suffices.

        Parameters
        ----------
        request_id : str
            The request that lacks credit.
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
        for member in self._list_lenders():
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0 or (asked and lent - owed >= lack):
                break
            balance = self._ask(
                member.instance_id, account, max(0.0, lack - lent), remaining_s
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
        members = self._get_members()
        if not members:
            return ()
        first = next(self._rotation) % len(members)
        return (members[first:] + members[:first])[:MAX_LENDERS]

    def _ask(self, name, account, wanted, timeout_s):
        """Return the credit that one peer lends; below 0 if it is in debt."""
        request = json.dumps([account, math.ceil(wanted)]).encode()
        try:
            answer = self._peers.call(name, TOPIC, request, timeout_s)
            return float(answer)
        except (errors.PeerError, ValueError) as error:
            events.log(
                NO_ANSWER, peer=name, account=account, reason=str(error)
            )
            return 0.0

    def _answer(self, payload):
        """Lend a peer the available credit, up to the wanted amount."""
        account, wanted = json.loads(payload)
        balance = self._dispatcher.read(
            lambda actor, now_s: actor.quotas.lend(account, wanted, now_s)
        )
        return str(math.floor(balance)).encode()
