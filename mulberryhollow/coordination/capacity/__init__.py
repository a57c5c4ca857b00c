"""Capacity planning: instances to start and stop, numbers of endpoints."""

from mulberryhollow.coordination.capacity.offers import Demand
from mulberryhollow.coordination.capacity.offers import Instance
from mulberryhollow.coordination.capacity.offers import Offer
from mulberryhollow.coordination.capacity.planner import Plan
from mulberryhollow.coordination.capacity.planner import plan
from mulberryhollow.coordination.capacity.planner import PlanRules
from mulberryhollow.coordination.capacity.planner import Shortfall
from mulberryhollow.coordination.capacity.planner import Start
from mulberryhollow.coordination.capacity.refusals import RefusedStarts
from mulberryhollow.coordination.capacity.sizing import choose_counts
from mulberryhollow.coordination.capacity.sizing import find_need
from mulberryhollow.coordination.capacity.sizing import Present
from mulberryhollow.coordination.capacity.sizing import SizingRules
from mulberryhollow.coordination.capacity.sizing import Slot

__all__ = [
    "Demand",
    "Instance",
    "Offer",
    "Plan",
    "PlanRules",
    "Present",
    "RefusedStarts",
    "Shortfall",
    "SizingRules",
    "Slot",
    "Start",
    "choose_counts",
    "find_need",
    "plan",
]
