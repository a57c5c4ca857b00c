"""Lease on the duties that a single instance performs; usage counts."""

from mulberryhollow.coordination.duties.lease import Lease
from mulberryhollow.coordination.duties.lease import LeaseRules
from mulberryhollow.coordination.duties.lease import Read
from mulberryhollow.coordination.duties.lease import Write
from mulberryhollow.coordination.duties.usage import UsageLedger
from mulberryhollow.coordination.duties.usage import UsageReport
from mulberryhollow.coordination.duties.usage import WINDOWS_REPORTED

__all__ = [
    "Lease",
    "LeaseRules",
    "Read",
    "UsageLedger",
    "UsageReport",
    "WINDOWS_REPORTED",
    "Write",
]
