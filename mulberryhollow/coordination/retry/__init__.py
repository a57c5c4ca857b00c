"""Retry policy with a budget, and quarantine of crashing requests."""

from mulberryhollow.coordination.retry.budget import RetryBudget
from mulberryhollow.coordination.retry.policy import FailRequest
from mulberryhollow.coordination.retry.policy import RetryAfter
from mulberryhollow.coordination.retry.policy import RetryPolicy
from mulberryhollow.coordination.retry.policy import RetryRules
from mulberryhollow.coordination.retry.prompt_parts import PartCrash
from mulberryhollow.coordination.retry.prompt_parts import PartQuarantine
from mulberryhollow.coordination.retry.quarantine import compute_fingerprint
from mulberryhollow.coordination.retry.quarantine import CRASH_EXPIRY_S
from mulberryhollow.coordination.retry.quarantine import CrashFact
from mulberryhollow.coordination.retry.quarantine import LostRequest
from mulberryhollow.coordination.retry.quarantine import Quarantine
from mulberryhollow.coordination.retry.quarantine import SoundFact

__all__ = [
    "CRASH_EXPIRY_S",
    "CrashFact",
    "FailRequest",
    "LostRequest",
    "PartCrash",
    "PartQuarantine",
    "Quarantine",
    "RetryAfter",
    "RetryBudget",
    "RetryPolicy",
    "RetryRules",
    "SoundFact",
    "compute_fingerprint",
]
