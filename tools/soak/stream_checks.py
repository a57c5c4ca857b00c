"""Checks of streams that may be resumed: their order and their runs."""

import collections
import itertools

from tools.soak import records
from tools.soak import site as sites
from tools.soak import streams
from tools.soak.violations import Violation

__all__ = ["Excuses", "check"]

MAX_OVERLAP_S = 0.4
"""Time for which two endpoints may work on one stream, in seconds."""

GRACE_S = sites.BOUNDS["graceS"]
LAST_SIXTH_S = GRACE_S * 5 / 6
EARLY_S = 3.0
"""Time after a SIGTERM until which a request may be late, in seconds."""

SLACK_S = 0.1
"""Difference between the clocks' readings on both sides, in seconds."""


def check(recorder):
    """Yield the violations of the rules on streams."""
    calls = {each.attempt: each for each in recorder.select(records.Call)}
    for stream in recorder.select(records.Stream):
        call = calls[stream.attempt]
        yield from _check_order(stream, call)
    runs = _group(recorder.select(records.StreamRun))
    for attempt, found in runs.items():
        yield from _check_endpoints(attempt, found)
        yield from _check_overlap(attempt, found)


class Excuses:
    """Tells whether an endpoint is to blame for the end of a stream.

    Parameters
    ----------
    runs : list of StreamRun
        All runs of streams.
    """

    def __init__(self, runs):
        self._runs = _group(runs)

    def find(self, call, stop=None):
        """Return why a stream without an end does not count; empty if it does.

        Parameters
        ----------
        call : Call
            A request without a whole answer.
        stop : Disturbance or None
            The planned stop around it.
        """
        found = self._runs.get(call.attempt)
        if not found:
            return ""
        if call.ended_s - call.sent_s >= streams.DEADLINE_S - SLACK_S:
            return "deadline reached"
        if any(each.end == "closed" for each in found):
            if any(each.end == "left" and each.is_sound() for each in found):
                return "a sound endpoint was left for one that broke off"
            return "broken off by the endpoint"
        if (
            stop is not None
            and call.sent_s <= stop.begin_s + EARLY_S
            and found[-1].ended_s >= stop.begin_s + LAST_SIXTH_S
        ):
            return "endpoint at work in the last sixth of the grace time"
        return ""

    def is_run(self, call):
        """Return whether a request is a stream that an endpoint has run."""
        return call.attempt in self._runs

    def describe(self, call):
        """Return the runs of a request as text."""
        return "; ".join(
            f"{each.endpoint} {each.fate} {each.begin_s:.2f} to"
            f" {each.ended_s:.2f} s, last event {each.last}, {each.end}"
            for each in self._runs.get(call.attempt, ())
        )


def _group(runs):
    """Return the runs of each request in the order of their begin."""
    groups = collections.defaultdict(list)
    for run in sorted(runs, key=lambda each: each.begin_s):
        groups[run.attempt].append(run)
    return groups


def _check_order(stream, call):
    """Yield a stream with wrong events, or one that looks complete."""
    numbers = stream.numbers
    is_in_order = numbers == tuple(range(1, len(numbers) + 1))
    is_full = len(numbers) == stream.count
    if not is_in_order or (stream.is_whole and not is_full):
        yield Violation(
            call.ended_s,
            "ORDER",
            f"{call.path} {call.attempt} by {call.instance}: events {numbers}"
            f" of {stream.count}, {'whole' if stream.is_whole else 'cut'}",
        )


def _check_endpoints(attempt, found):
    """Yield a stream that has run at too many endpoints."""
    names = [each.endpoint for each in found]
    if len(set(names)) > streams.MAX_ATTEMPTS:
        yield Violation(
            found[-1].begin_s,
            "BUDGET",
            f"{attempt} ran at {', '.join(names)}",
        )


def _check_overlap(attempt, found):
    """Yield two endpoints that both work on a stream for too long.

    The time counts from the first event of the later one on; until then the
    earlier one may still go on first.
    """
    for first, last in itertools.combinations(found, 2):
        if last.first_s is None or first.endpoint == last.endpoint:
            continue
        both_s = min(first.ended_s, last.ended_s) - last.first_s
        if both_s > MAX_OVERLAP_S:
            yield Violation(
                last.first_s,
                "TWICE",
                f"{attempt} at {first.endpoint} and {last.endpoint} for"
                f" {both_s:.2f} s",
            )
