"""Lends the list of endpoints to an instance that the store turns away."""

import json
import logging

import attrs

from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import fleet as fleets

__all__ = ["FleetLender"]

TOPIC = "fleet.lend"

CALL_TIMEOUT_S = 0.5
"""Longest time of a question, in seconds."""

PEERS_ASKED = 2
"""Peers that one look asks."""

NOT_LENT = events.declare(
    4024,
    logging.INFO,
    "a peer did not lend its list of endpoints",
)


class FleetLender:
    """Answers peers that know no endpoints, and asks while that is so here.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    feed : FleetFeed
        What is lent and adopted.
    get_members : callable
        Returns the other live members.
    """

    def __init__(self, peers, feed, get_members):
        self._peers = peers
        self._feed = feed
        self._get_members = get_members

    def connect(self):
        """Answer questions."""
        self._peers.handle(TOPIC, self._answer)

    def tick(self):
        """Ask peers, unless the list is known."""
        for member in self._get_members()[:PEERS_ASKED]:
            if self._feed.is_known:
                return
            self._ask(member.instance_id)

    def _ask(self, name):
        """Adopt what one peer lends."""
        try:
            answer = self._peers.call(name, TOPIC, b"", CALL_TIMEOUT_S)
            found = [fleets.EndpointListing(**f) for f in json.loads(answer)]
        except (errors.PeerError, ValueError, TypeError) as error:
            events.log(NOT_LENT, peer=name, reason=str(error))
            return
        if found:
            self._feed.adopt(found)

    def _answer(self, payload):
        """Lend the list."""
        return json.dumps(
            [attrs.asdict(each) for each in self._feed.listings]
        ).encode()
