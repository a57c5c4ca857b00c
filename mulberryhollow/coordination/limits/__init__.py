"""Limits that apply to all instances together: quotas and retries."""

from mulberryhollow.coordination.limits.outcomes import CreditShortfall
from mulberryhollow.coordination.limits.outcomes import QuotaExceeded
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.quota import QuotaTable
from mulberryhollow.coordination.limits.retries import RetryRules
from mulberryhollow.coordination.limits.retries import SharedRetryBudget

__all__ = [
    "CreditShortfall",
    "QuotaExceeded",
    "QuotaRules",
    "QuotaTable",
    "RetryRules",
    "SharedRetryBudget",
]
