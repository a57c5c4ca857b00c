"""How long an attempt is waited for."""

__all__ = ["LEAST_LEFT_S", "wait_for_event", "wait_for_head"]

PATIENCE_GOALS = 3.0
"""Goals after which an attempt that may be repeated goes elsewhere.

Most answers come within the goal; twice as much again separates a slow
endpoint from one that does not answer at all.
"""

PATIENCE_GAPS = 3.0
"""Pauses of full use after which a resumable stream goes elsewhere."""

LEAST_PATIENCE_S = 0.25
"""Shortest time that an attempt is given, in seconds."""

LEAST_LEFT_S = 0.02
"""Time below which no attempt is sent, in seconds: a few round trips."""


def wait_for_head(request, runs, now_s):
    """Return how long to wait for the head of an answer, in seconds.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    runs : int
        Endpoints that may have run it before this attempt.
    now_s : float
        Monotonic time, in seconds.
    """
    left_s = max(LEAST_LEFT_S, request.deadline_s - now_s)
    if not _may_go_elsewhere(request, runs):
        return left_s
    patience_s = max(LEAST_PATIENCE_S, PATIENCE_GOALS * request.goal_s)
    return min(left_s, patience_s)


def wait_for_event(request, runs, now_s):
    """Return how long to wait for the next event, in seconds.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    runs : int
        Endpoints that may have run it before this attempt.
    now_s : float
        Monotonic time, in seconds.

    Notes
    -----
    A stream that cannot be resumed is waited for to its deadline: the
    silence of an endpoint is no reason to break it off.
    """
    left_s = max(LEAST_LEFT_S, request.deadline_s - now_s)
    if not (request.gap_goal_s and _may_go_elsewhere(request, runs)):
        return left_s
    patience_s = max(LEAST_PATIENCE_S, PATIENCE_GAPS * request.gap_goal_s)
    return min(left_s, patience_s)


def _may_go_elsewhere(request, runs):
    """Return whether another endpoint may run the request after this."""
    return request.kind.is_repeatable and runs + 1 < request.max_endpoints
