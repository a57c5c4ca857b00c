"""Limits that apply to all instances together: quotas and retries."""

from mulberryhollow.coordination.limits.holders import choose_holders
from mulberryhollow.coordination.limits.holders import CreditHolders
from mulberryhollow.coordination.limits.outcomes import CreditShortfall
from mulberryhollow.coordination.limits.outcomes import QuotaExceeded
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.quota import QuotaTable
from mulberryhollow.coordination.limits.retries import RetryRules
from mulberryhollow.coordination.limits.retries import SharedRetryBudget

__all__ = [
    "CreditHolders",
    "CreditShortfall",
    "QuotaExceeded",
    "QuotaRules",
    "QuotaTable",
    "RetryRules",
    "SharedRetryBudget",
    "choose_holders",
]
