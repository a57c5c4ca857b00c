"""Limits that apply to all instances together: quotas, retries, rates."""

from mulberryhollow.coordination.limits.endpoint_rates import EndpointRateTable
from mulberryhollow.coordination.limits.endpoint_rates import RateDraw
from mulberryhollow.coordination.limits.endpoint_rates import RateExhausted
from mulberryhollow.coordination.limits.endpoint_rates import RateGranted
from mulberryhollow.coordination.limits.endpoint_rates import STANDBY_FRACTION
from mulberryhollow.coordination.limits.endpoint_rooms import EndpointRoomTable
from mulberryhollow.coordination.limits.endpoint_rooms import RoomDraw
from mulberryhollow.coordination.limits.outcomes import CreditShortfall
from mulberryhollow.coordination.limits.outcomes import QuotaExceeded
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.quota import QuotaTable
from mulberryhollow.coordination.limits.retries import RetryRules
from mulberryhollow.coordination.limits.retries import SharedRetryBudget

__all__ = [
    "CreditShortfall",
    "EndpointRateTable",
    "EndpointRoomTable",
    "QuotaExceeded",
    "QuotaRules",
    "QuotaTable",
    "RateDraw",
    "RateExhausted",
    "RateGranted",
    "RetryRules",
    "RoomDraw",
    "STANDBY_FRACTION",
    "SharedRetryBudget",
]
