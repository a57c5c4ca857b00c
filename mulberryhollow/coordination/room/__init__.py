"""Admission by room: who is served when a service has too little room."""

from mulberryhollow.coordination.room.controller import MAX_RETRY_FRACTION
from mulberryhollow.coordination.room.controller import RoomController
from mulberryhollow.coordination.room.controller import RoomPart
from mulberryhollow.coordination.room.outcomes import Granted
from mulberryhollow.coordination.room.outcomes import NoRoom
from mulberryhollow.coordination.room.outcomes import RoomInputs
from mulberryhollow.coordination.room.outcomes import RoomRequest
from mulberryhollow.coordination.room.outcomes import Rule
from mulberryhollow.coordination.room.shares import divide_room

__all__ = [
    "MAX_RETRY_FRACTION",
    "Granted",
    "NoRoom",
    "RoomController",
    "RoomInputs",
    "RoomPart",
    "RoomRequest",
    "Rule",
    "divide_room",
]
