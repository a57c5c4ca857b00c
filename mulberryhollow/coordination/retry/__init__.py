"""Retries within a budget, and requests that crash endpoints."""

from mulberryhollow.coordination.retry.budget import RetryBudget
from mulberryhollow.coordination.retry.policy import GiveUp
from mulberryhollow.coordination.retry.policy import RetryAfter
from mulberryhollow.coordination.retry.policy import RetryPolicy
from mulberryhollow.coordination.retry.quarantine import compute_fingerprint
from mulberryhollow.coordination.retry.quarantine import Quarantine

__all__ = [
    "GiveUp",
    "Quarantine",
    "RetryAfter",
    "RetryBudget",
    "RetryPolicy",
    "compute_fingerprint",
]
