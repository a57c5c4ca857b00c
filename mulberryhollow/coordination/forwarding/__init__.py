"""Failover and timeouts of requests that are forwarded unchanged."""

from mulberryhollow.coordination.forwarding.decision import Attempts
from mulberryhollow.coordination.forwarding.decision import decide_next
from mulberryhollow.coordination.forwarding.decision import GiveUp
from mulberryhollow.coordination.forwarding.decision import GoOn
from mulberryhollow.coordination.forwarding.decision import MAX_OFFERS
from mulberryhollow.coordination.forwarding.decision import refuse_full
from mulberryhollow.coordination.forwarding.decision import refuse_late
from mulberryhollow.coordination.forwarding.patience import LEAST_LEFT_S
from mulberryhollow.coordination.forwarding.patience import wait_for_event
from mulberryhollow.coordination.forwarding.patience import wait_for_head

__all__ = [
    "LEAST_LEFT_S",
    "MAX_OFFERS",
    "Attempts",
    "GiveUp",
    "GoOn",
    "decide_next",
    "refuse_full",
    "refuse_late",
    "wait_for_event",
    "wait_for_head",
]
