"""Progressive delivery: gradual, monitored moves to a new version.

A move shifts a service's requests from one version to another in steps and
rolls back when a sequential test finds the new version degraded.
"""

from mulberryhollow import lazy

__all__ = [
    "Bad",
    "Capacity",
    "Command",
    "DONE_MARGIN_S",
    "Degradation",
    "Driver",
    "Endpoint",
    "ExposureLimit",
    "Finish",
    "Good",
    "Hold",
    "LEASE_S",
    "MAX_TESTERS",
    "Move",
    "MoveError",
    "MoveMonitor",
    "Order",
    "OrderBook",
    "Plan",
    "PublishVerdict",
    "ReadMove",
    "RollBack",
    "SequentialTester",
    "SetShare",
    "Shift",
    "Stage",
    "Times",
    "Undecided",
    "WriteMove",
    "abort",
    "advance",
    "decide",
    "effective_shares",
    "find_withdrawn",
    "make_plan",
    "renew",
    "start",
]

__getattr__, __dir__ = lazy.attach(
    __name__,
    {
        "actions": (
            "Command",
            "Order",
            "PublishVerdict",
            "ReadMove",
            "SetShare",
            "WriteMove",
        ),
        "comparison": ("MAX_TESTERS",),
        "driver": (
            "Driver",
            "LEASE_S",
        ),
        "exposure": ("ExposureLimit",),
        "monitor": (
            "effective_shares",
            "MoveMonitor",
        ),
        "orders": ("OrderBook",),
        "record": (
            "abort",
            "advance",
            "DONE_MARGIN_S",
            "find_withdrawn",
            "Move",
            "MoveError",
            "renew",
            "Stage",
            "start",
        ),
        "schedule": (
            "Capacity",
            "decide",
            "Endpoint",
            "Finish",
            "Hold",
            "make_plan",
            "Plan",
            "RollBack",
            "Shift",
        ),
        "tester": ("SequentialTester",),
        "times": ("Times",),
        "verdict": (
            "Bad",
            "Degradation",
            "Good",
            "Undecided",
        ),
    },
)
