"""Limits that apply to all instances together: quotas and retries."""

from mulberryhollow.coordination.limits.outcomes import OverQuota
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.outcomes import Short
from mulberryhollow.coordination.limits.quota import QuotaTable
from mulberryhollow.coordination.limits.retries import RetryRules
from mulberryhollow.coordination.limits.retries import SharedRetryBudget

__all__ = [
    "OverQuota",
    "QuotaRules",
    "QuotaTable",
    "RetryRules",
    "SharedRetryBudget",
    "Short",
]
