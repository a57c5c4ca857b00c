"""Assembly of answers over several attempts, and faults of attempts."""

from mulberryhollow.coordination.streams.assembly import Assembly
from mulberryhollow.coordination.streams.assembly import End
from mulberryhollow.coordination.streams.assembly import TokenLine
from mulberryhollow.coordination.streams.events import EventAssembly
from mulberryhollow.coordination.streams.fault import Broken
from mulberryhollow.coordination.streams.fault import Crossed
from mulberryhollow.coordination.streams.fault import Failed
from mulberryhollow.coordination.streams.fault import get_recomputation_cause
from mulberryhollow.coordination.streams.fault import may_have_run
from mulberryhollow.coordination.streams.fault import NotSent
from mulberryhollow.coordination.streams.fault import RefusedByEndpoint
from mulberryhollow.coordination.streams.fault import Silent
from mulberryhollow.coordination.streams.fault import Truncated
from mulberryhollow.coordination.streams.migration import must_migrate

__all__ = [
    "Assembly",
    "Broken",
    "Crossed",
    "End",
    "EventAssembly",
    "Failed",
    "NotSent",
    "RefusedByEndpoint",
    "Silent",
    "TokenLine",
    "Truncated",
    "get_recomputation_cause",
    "may_have_run",
    "must_migrate",
]
