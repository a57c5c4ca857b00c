"""Decisions about the active configuration and its changes."""

from mulberryhollow import lazy

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

__getattr__, __dir__ = lazy.attach(
    __name__,
    {
        "active": (
            "ActiveDocument",
            "APPLIED",
            "Applied",
            "Document",
            "REJECTED",
            "Rejected",
            "Stale",
        ),
        "change": (
            "ALL_COUNCILS",
            "Allowed",
            "Change",
            "check_change",
            "Conflict",
            "decide_change",
            "list_changes",
            "OPERATORS",
            "Refused",
        ),
        "fault": ("Fault",),
        "readiness": (
            "CUT_OFF_AFTER_S",
            "decide_ready",
            "NotReady",
            "NotReadyReason",
            "Ready",
        ),
        "versions": (
            "check_versions",
            "find_in_use",
        ),
        "watchers": ("choose_watchers",),
    },
)
