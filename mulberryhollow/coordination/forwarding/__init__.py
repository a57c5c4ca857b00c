"""Failover and timeouts of requests that are forwarded unchanged."""

from mulberryhollow.coordination.forwarding.decision import Attempts
from mulberryhollow.coordination.forwarding.decision import decide_next
from mulberryhollow.coordination.forwarding.decision import FailRequest
from mulberryhollow.coordination.forwarding.decision import MAX_OFFERS
from mulberryhollow.coordination.forwarding.decision import refuse_expired
from mulberryhollow.coordination.forwarding.decision import refuse_no_capacity
from mulberryhollow.coordination.forwarding.decision import refuse_stopping
from mulberryhollow.coordination.forwarding.decision import TryNextEndpoint
from mulberryhollow.coordination.forwarding.reachability import EndpointPaths
from mulberryhollow.coordination.forwarding.timeouts import CONNECT_TIMEOUT_S
from mulberryhollow.coordination.forwarding.timeouts import get_connect_limit_s
from mulberryhollow.coordination.forwarding.timeouts import get_event_timeout_s
from mulberryhollow.coordination.forwarding.timeouts import get_head_timeout_s
from mulberryhollow.coordination.forwarding.timeouts import is_silent
from mulberryhollow.coordination.forwarding.timeouts import MIN_REMAINING_S

__all__ = [
    "Attempts",
    "CONNECT_TIMEOUT_S",
    "EndpointPaths",
    "FailRequest",
    "MAX_OFFERS",
    "MIN_REMAINING_S",
    "TryNextEndpoint",
    "decide_next",
    "get_connect_limit_s",
    "get_event_timeout_s",
    "get_head_timeout_s",
    "is_silent",
    "refuse_expired",
    "refuse_no_capacity",
    "refuse_stopping",
]
