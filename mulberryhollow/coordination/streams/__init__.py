"""Assembly of answers over several attempts, and faults of attempts."""

from mulberryhollow.coordination.streams.assembly import Assembly
from mulberryhollow.coordination.streams.assembly import End
from mulberryhollow.coordination.streams.assembly import TokenLine
from mulberryhollow.coordination.streams.events import EventAssembly
from mulberryhollow.coordination.streams.fault import Broken
from mulberryhollow.coordination.streams.fault import Crossed
from mulberryhollow.coordination.streams.fault import Failed
from mulberryhollow.coordination.streams.fault import has_run
from mulberryhollow.coordination.streams.fault import name_cause
from mulberryhollow.coordination.streams.fault import NotSent
from mulberryhollow.coordination.streams.fault import RefusedByEndpoint
from mulberryhollow.coordination.streams.fault import Silent
from mulberryhollow.coordination.streams.fault import Truncated
from mulberryhollow.coordination.streams.migration import must_move

__all__ = [
    "Assembly",
    "Broken",
    "Crossed",
    "EventAssembly",
    "End",
    "Failed",
    "NotSent",
    "RefusedByEndpoint",
    "Silent",
    "TokenLine",
    "Truncated",
    "has_run",
    "must_move",
    "name_cause",
]
