"""Progressive delivery: gradual, monitored moves to a new version.

A move shifts a service's requests from one version to another in steps and
rolls back when a sequential test finds the new version degraded.
"""

from mulberryhollow.coordination.rollout.actions import Command
from mulberryhollow.coordination.rollout.actions import Order
from mulberryhollow.coordination.rollout.actions import PublishVerdict
from mulberryhollow.coordination.rollout.actions import ReadMove
from mulberryhollow.coordination.rollout.actions import SetShare
from mulberryhollow.coordination.rollout.actions import WriteMove
from mulberryhollow.coordination.rollout.comparison import MAX_TESTERS
from mulberryhollow.coordination.rollout.driver import Driver
from mulberryhollow.coordination.rollout.driver import LEASE_S
from mulberryhollow.coordination.rollout.monitor import effective_shares
from mulberryhollow.coordination.rollout.monitor import MoveMonitor
from mulberryhollow.coordination.rollout.orders import OrderBook
from mulberryhollow.coordination.rollout.record import abort
from mulberryhollow.coordination.rollout.record import advance
from mulberryhollow.coordination.rollout.record import DONE_MARGIN_S
from mulberryhollow.coordination.rollout.record import Move
from mulberryhollow.coordination.rollout.record import MoveError
from mulberryhollow.coordination.rollout.record import renew
from mulberryhollow.coordination.rollout.record import Stage
from mulberryhollow.coordination.rollout.record import start
from mulberryhollow.coordination.rollout.schedule import Capacity
from mulberryhollow.coordination.rollout.schedule import decide
from mulberryhollow.coordination.rollout.schedule import Endpoint
from mulberryhollow.coordination.rollout.schedule import Finish
from mulberryhollow.coordination.rollout.schedule import Hold
from mulberryhollow.coordination.rollout.schedule import make_plan
from mulberryhollow.coordination.rollout.schedule import Plan
from mulberryhollow.coordination.rollout.schedule import RollBack
from mulberryhollow.coordination.rollout.schedule import Shift
from mulberryhollow.coordination.rollout.tester import SequentialTester
from mulberryhollow.coordination.rollout.times import Times
from mulberryhollow.coordination.rollout.verdict import Bad
from mulberryhollow.coordination.rollout.verdict import Degradation
from mulberryhollow.coordination.rollout.verdict import Good
from mulberryhollow.coordination.rollout.verdict import Undecided

__all__ = [
    "Bad",
    "Capacity",
    "Command",
    "DONE_MARGIN_S",
    "Degradation",
    "Driver",
    "Endpoint",
    "Finish",
    "Good",
    "Hold",
    "LEASE_S",
    "MAX_TESTERS",
    "Move",
    "MoveError",
    "MoveMonitor",
    "Order",
    "OrderBook",
    "Plan",
    "PublishVerdict",
    "ReadMove",
    "RollBack",
    "SequentialTester",
    "SetShare",
    "Shift",
    "Stage",
    "Times",
    "Undecided",
    "WriteMove",
    "abort",
    "advance",
    "decide",
    "effective_shares",
    "make_plan",
    "renew",
    "start",
]
