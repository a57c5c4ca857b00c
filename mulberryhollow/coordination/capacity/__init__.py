"""Capacity planning: instances to start and stop, numbers of endpoints."""

from mulberryhollow.coordination.capacity.market import Demand
from mulberryhollow.coordination.capacity.market import Instance
from mulberryhollow.coordination.capacity.market import InstanceOffer
from mulberryhollow.coordination.capacity.planner import Plan
from mulberryhollow.coordination.capacity.planner import plan
from mulberryhollow.coordination.capacity.planner import PlanRules
from mulberryhollow.coordination.capacity.planner import Shortfall
from mulberryhollow.coordination.capacity.planner import Start
from mulberryhollow.coordination.capacity.refusals import RefusedStarts
from mulberryhollow.coordination.capacity.sizing import choose_counts
from mulberryhollow.coordination.capacity.sizing import compute_cold_part
from mulberryhollow.coordination.capacity.sizing import compute_required_count
from mulberryhollow.coordination.capacity.sizing import EndpointCounts
from mulberryhollow.coordination.capacity.sizing import SizingRules
from mulberryhollow.coordination.capacity.sizing import Slot

__all__ = [
    "Demand",
    "EndpointCounts",
    "Instance",
    "InstanceOffer",
    "Plan",
    "PlanRules",
    "RefusedStarts",
    "Shortfall",
    "SizingRules",
    "Slot",
    "Start",
    "choose_counts",
    "compute_cold_part",
    "compute_required_count",
    "plan",
]
