"""Copies the list of endpoints to instances that cannot read the store."""

import json
import logging

import attrs

from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import fleet as fleets

__all__ = ["FleetLender"]

TOPIC = "fleet.lend"

CALL_TIMEOUT_S = 0.5
"""Timeout of the call to a peer, in seconds."""

PEERS_ASKED = 2
"""Maximum number of peers that are called in one tick."""

NOT_LENT = events.declare(
    4024,
    logging.INFO,
    "a peer did not return its list of endpoints",
)


class FleetLender:
    """Copies the list of endpoints between peers.

    Answers calls with the list of this instance, and calls peers while
    this instance knows no list.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    feed : FleetFeed
        Holds the list of this instance.
    get_members : callable
        Returns the other live members.
    """

    def __init__(self, peers, feed, get_members):
        self._peers = peers
        self._feed = feed
        self._get_members = get_members

    def connect(self):
        """Register the handler of the peers' calls."""
        self._peers.handle(TOPIC, self._answer)

    def tick(self):
        """Call peers for their list, unless one is known."""
        for member in self._get_members()[:PEERS_ASKED]:
            if self._feed.is_known:
                return
            self._ask(member.instance_id)

    def _ask(self, name):
        """Adopt the list of one peer, if it returns any."""
        try:
            answer = self._peers.call(name, TOPIC, b"", CALL_TIMEOUT_S)
            found = [fleets.EndpointListing(**f) for f in json.loads(answer)]
        except (errors.PeerError, ValueError, TypeError) as error:
            events.log(NOT_LENT, peer=name, reason=str(error))
            return
        if found:
            self._feed.adopt(found)

    def _answer(self, payload):
        """Return the list of this instance as JSON."""
        return json.dumps(
            [attrs.asdict(each) for each in self._feed.listings]
        ).encode()
