"""Checks of the records of a run against the platform's rules."""

import itertools

from tools.soak import duty_checks
from tools.soak import records
from tools.soak import request_checks
from tools.soak import site as sites
from tools.soak import stream_checks
from tools.soak import violations

__all__ = ["check"]


def check(recorder):
    """Return all violations in order."""
    disturbances = violations.Disturbances(
        recorder.select(records.Disturbance)
    )
    return sorted(
        itertools.chain(
            duty_checks.check(recorder, disturbances),
            request_checks.check(recorder, disturbances),
            stream_checks.check(recorder),
            _check_processes(recorder, disturbances),
        )
    )


def _check_processes(recorder, disturbances):
    """Yield processes that ended by themselves, or too late."""
    for each in recorder.select(records.Exited):
        since_s = each.at_s - sites.BOUNDS["graceS"]
        found = disturbances.list_within(each.instance, since_s, each.at_s)
        if not any(e.kind == "freeze" for e in found):
            message = f"{each.instance}: {each.reason}"
            yield violations.Violation(each.at_s, "EXIT", message)
