"""Plan of the instances that run, within the shared budget."""

from mulberryhollow.coordination.capacity.offers import Demand
from mulberryhollow.coordination.capacity.offers import Instance
from mulberryhollow.coordination.capacity.offers import Offer
from mulberryhollow.coordination.capacity.planner import Plan
from mulberryhollow.coordination.capacity.planner import plan
from mulberryhollow.coordination.capacity.planner import PlanRules
from mulberryhollow.coordination.capacity.planner import Shortfall
from mulberryhollow.coordination.capacity.planner import Start
from mulberryhollow.coordination.capacity.refusals import RefusedStarts

__all__ = [
    "Demand",
    "Instance",
    "Offer",
    "Plan",
    "PlanRules",
    "RefusedStarts",
    "Shortfall",
    "Start",
    "plan",
]
