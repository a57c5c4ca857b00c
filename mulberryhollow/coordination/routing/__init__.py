"""Load balancing: selection of the endpoint for a request."""

from mulberryhollow.coordination.routing.baseline import LeastOutstanding
from mulberryhollow.coordination.routing.baseline import PowerOfTwo
from mulberryhollow.coordination.routing.baseline import RoundRobin
from mulberryhollow.coordination.routing.by_work import refresh_speeds
from mulberryhollow.coordination.routing.request import Chosen
from mulberryhollow.coordination.routing.request import NoEndpoint
from mulberryhollow.coordination.routing.request import Permit
from mulberryhollow.coordination.routing.request import PromptChain
from mulberryhollow.coordination.routing.request import RouteRequest
from mulberryhollow.coordination.routing.router import refuse_no_region
from mulberryhollow.coordination.routing.router import Router
from mulberryhollow.coordination.routing.router import RoutingRules
from mulberryhollow.coordination.routing.shares import draw_by_hash
from mulberryhollow.coordination.routing.shares import list_versions

__all__ = [
    "Chosen",
    "LeastOutstanding",
    "NoEndpoint",
    "PowerOfTwo",
    "Permit",
    "PromptChain",
    "RoundRobin",
    "RouteRequest",
    "Router",
    "RoutingRules",
    "draw_by_hash",
    "list_versions",
    "refresh_speeds",
    "refuse_no_region",
]
