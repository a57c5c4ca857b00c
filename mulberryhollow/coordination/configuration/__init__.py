"""Decisions about the active configuration and its changes."""

from mulberryhollow.coordination.configuration.active import ActiveDocument
from mulberryhollow.coordination.configuration.active import APPLIED
from mulberryhollow.coordination.configuration.active import Applied
from mulberryhollow.coordination.configuration.active import Document
from mulberryhollow.coordination.configuration.active import REJECTED
from mulberryhollow.coordination.configuration.active import Rejected
from mulberryhollow.coordination.configuration.active import Stale
from mulberryhollow.coordination.configuration.change import ALL_COUNCILS
from mulberryhollow.coordination.configuration.change import Allowed
from mulberryhollow.coordination.configuration.change import Change
from mulberryhollow.coordination.configuration.change import check_change
from mulberryhollow.coordination.configuration.change import Conflict
from mulberryhollow.coordination.configuration.change import decide_change
from mulberryhollow.coordination.configuration.change import list_changes
from mulberryhollow.coordination.configuration.change import OPERATORS
from mulberryhollow.coordination.configuration.change import Refused
from mulberryhollow.coordination.configuration.fault import Fault
from mulberryhollow.coordination.configuration.readiness import CUT_OFF_AFTER_S
from mulberryhollow.coordination.configuration.readiness import decide_ready
from mulberryhollow.coordination.configuration.readiness import NotReady
from mulberryhollow.coordination.configuration.readiness import NotReadyReason
from mulberryhollow.coordination.configuration.readiness import Ready
from mulberryhollow.coordination.configuration.versions import check_versions
from mulberryhollow.coordination.configuration.versions import find_in_use
from mulberryhollow.coordination.configuration.watchers import choose_watchers

__all__ = [
    "ALL_COUNCILS",
    "APPLIED",
    "ActiveDocument",
    "Allowed",
    "Applied",
    "CUT_OFF_AFTER_S",
    "Change",
    "Conflict",
    "Document",
    "Fault",
    "NotReady",
    "NotReadyReason",
    "OPERATORS",
    "REJECTED",
    "Ready",
    "Refused",
    "Rejected",
    "Stale",
    "check_change",
    "check_versions",
    "choose_watchers",
    "decide_change",
    "decide_ready",
    "find_in_use",
    "list_changes",
]
