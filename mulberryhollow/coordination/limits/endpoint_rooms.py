"""Permits for requests to endpoints that must not turn any away."""

import collections
import math

import attrs

from mulberryhollow.coordination.limits import outcomes

__all__ = ["EndpointRoomTable", "RoomDraw"]

ROOM_FRACTION = 0.9
"""Fraction of an endpoint's slots for which permits are granted.

The rest covers requests of instances that do not know yet that the endpoint
is brittle. None is left to wait at the endpoint, whose queue may shrink.
"""

PERMIT_LIFETIME_S = 30.0
"""Time after which a permit ends that is not given back, in seconds.

Longer than most requests, since a permit that ends early lets too many in.
"""

WAIT_S = 0.1
"""Time after which to ask again when there is no room, in seconds."""

MAX_ENDPOINTS = 4096
"""Maximum number of endpoints whose permits are counted."""


@attrs.frozen
class RoomDraw:
    """Request for one permit.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that must not turn requests away.
    permit_id : str
        Name of the permit, by which it is returned.
    slots : int
        Requests that the endpoint runs at once.
    fraction : float
        Fraction of the room that this table grants, from 0 to 1.
    """

    endpoint_id: str
    permit_id: str
    slots: int
    fraction: float = 1.0


class EndpointRoomTable:
    """Permits in use that one instance has granted for all instances."""

    def __init__(self):
        self._permits = collections.OrderedDict()

    def draw(self, draw, load, now_s):
        """Take one permit.

        Parameters
        ----------
        draw : RoomDraw
            The request for a permit.
        load : float
            Estimated requests at the endpoint, which may count requests
            without a permit.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        PermitGranted or PermitRefused
        """
        permits = self._permits.setdefault(draw.endpoint_id, {})
        self._permits.move_to_end(draw.endpoint_id)
        if len(self._permits) > MAX_ENDPOINTS:
            self._permits.popitem(last=False)
        for permit_id in [
            each for each, until_s in permits.items() if until_s <= now_s
        ]:
            del permits[permit_id]
        room = max(1, math.floor(ROOM_FRACTION * draw.slots * draw.fraction))
        if len(permits) >= room or load >= draw.slots:
            return outcomes.PermitRefused(WAIT_S)
        permits[draw.permit_id] = now_s + PERMIT_LIFETIME_S
        return outcomes.PermitGranted()

    def give_back(self, endpoint_id, permit_id):
        """End a permit, whose request has ended or was not sent."""
        self._permits.get(endpoint_id, {}).pop(permit_id, None)
