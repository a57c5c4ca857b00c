"""Version moves: record, verdict, schedule and driver."""

from mulberryhollow.coordination.rollout.record import abort
from mulberryhollow.coordination.rollout.record import advance
from mulberryhollow.coordination.rollout.record import DONE_MARGIN_S
from mulberryhollow.coordination.rollout.record import Move
from mulberryhollow.coordination.rollout.record import MoveError
from mulberryhollow.coordination.rollout.record import Stage
from mulberryhollow.coordination.rollout.record import start

__all__ = [
    "DONE_MARGIN_S",
    "Move",
    "MoveError",
    "Stage",
    "abort",
    "advance",
    "start",
]
