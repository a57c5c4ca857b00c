"""Limits of all instances together: quotas, retries and permits."""

from mulberryhollow.coordination.limits.endpoint_rates import EndpointRateTable
from mulberryhollow.coordination.limits.endpoint_rates import RateDraw
from mulberryhollow.coordination.limits.endpoint_rates import RateLimit
from mulberryhollow.coordination.limits.endpoint_rooms import EndpointRoomTable
from mulberryhollow.coordination.limits.endpoint_rooms import RoomDraw
from mulberryhollow.coordination.limits.outcomes import ColdRules
from mulberryhollow.coordination.limits.outcomes import CreditShortfall
from mulberryhollow.coordination.limits.outcomes import PermitGranted
from mulberryhollow.coordination.limits.outcomes import PermitRefused
from mulberryhollow.coordination.limits.outcomes import QuotaExceeded
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.quota import QuotaTable
from mulberryhollow.coordination.limits.refused_accounts import RefusedAccounts
from mulberryhollow.coordination.limits.retries import RetryRules
from mulberryhollow.coordination.limits.retries import SharedRetryBudget

__all__ = [
    "ColdRules",
    "CreditShortfall",
    "EndpointRateTable",
    "EndpointRoomTable",
    "PermitGranted",
    "PermitRefused",
    "QuotaExceeded",
    "QuotaRules",
    "QuotaTable",
    "RateDraw",
    "RateLimit",
    "RefusedAccounts",
    "RetryRules",
    "RoomDraw",
    "SharedRetryBudget",
]
