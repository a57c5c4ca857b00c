"""Copies the list of endpoints to instances that cannot read the store."""

import json
import logging

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import decoding
from mulberryhollow.state import fleet as fleets
from mulberryhollow.state import known_fields

__all__ = ["FleetPeering"]

TOPIC = "fleet.lend"

CALL_TIMEOUT_S = 0.5
"""Timeout of the call to a peer, in seconds."""

IDLE_INTERVAL_S = 30.0
"""Interval between ticks once a list is known, in seconds."""

MAX_PEERS_PER_TICK = 2
"""Maximum number of peers that are called in one tick."""

_QUESTION = str(membership.PROTOCOL_LEVEL).encode()

NO_LIST_RECEIVED = events.declare(
    4024,
    logging.INFO,
    "a peer did not return its list of endpoints",
)


class FleetPeering:
    """Copies the list of endpoints between peers.

    Answers calls with the list of this instance, and calls peers while
    this instance knows no list.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    fleet_watcher : FleetWatcher
        Holds the list of this instance.
    get_members : callable
        Returns the other live members.
    """

    def __init__(self, peers, fleet_watcher, get_members):
        self._peers = peers
        self._fleet_watcher = fleet_watcher
        self._get_members = get_members

    def connect(self):
        """Register the handler of the peers' calls."""
        self._peers.handle(TOPIC, self._answer)

    def tick(self):
        """Call peers for their list, unless one is known.

        Returns
        -------
        float or None
            Time until the next call, in seconds; None for the usual one.
        """
        for member in self._get_members()[:MAX_PEERS_PER_TICK]:
            if self._fleet_watcher.is_known:
                return IDLE_INTERVAL_S
            self._fetch_list(member.instance_id)
        return None

    def _fetch_list(self, name):
        """Adopt the list of one peer, if it returns any."""
        try:
            answer = self._peers.call(name, TOPIC, _QUESTION, CALL_TIMEOUT_S)
            found = [
                _decode_listing(each) for each in decoding.decode_json(answer)
            ]
        except (errors.PeerError, ValueError, TypeError) as error:
            events.log(NO_LIST_RECEIVED, peer=name, reason=str(error))
            return
        if found:
            self._fleet_watcher.adopt(found)

    def _answer(self, payload):
        """Return the list of this instance as JSON.

        Builds of level 0 send no level, and reject fields that they do not
        know.
        """
        level = int(payload or 0)
        return json.dumps(
            [
                known_fields.select_level(
                    fleets.EndpointListing, attrs.asdict(each), level
                )
                for each in self._fleet_watcher.listings
            ]
        ).encode()


def _decode_listing(fields):
    """Return the EndpointListing of a peer, without fields of newer builds."""
    known = known_fields.select_known(fleets.EndpointListing, fields)
    return fleets.EndpointListing(**known)
