"""Timeouts of one attempt of a forwarded request."""

__all__ = [
    "MIN_REMAINING_S",
    "get_connect_limit_s",
    "get_event_timeout_s",
    "get_head_timeout_s",
    "is_silent",
]

CONNECT_TIMEOUT_S = 0.3
"""Longest timeout of the TCP handshake with an endpoint or a peer, in seconds.

A handshake takes two one-way delays and a few milliseconds. When the
endpoint drops the first packet, the handshake takes a second or more.
"""

CONNECT_FRACTION = 0.25
"""Timeout of the TCP handshake, as a fraction of the time to the deadline.

After three attempts without a connection four tenths of the time are left, in
which another endpoint or a peer answers the request.
"""

MIN_CONNECT_TIMEOUT_S = 0.1
"""Minimum timeout of the TCP handshake, in seconds.

A handshake between two regions takes most of it.
"""

HEAD_TIMEOUT_GOALS = 3.0
"""Timeout of an attempt that another endpoint may repeat, in latency goals.

Most answers arrive within the goal (`ForwardRequest.goal_s`); twice the goal
on top of it distinguishes a slow endpoint from one that does not answer.
"""

EVENT_TIMEOUT_GAP_GOALS = 3.0
"""Timeout between events of a resumable stream, in gap goals.

The gap goal is the longest acceptable pause, `ForwardRequest.gap_goal_s`.
"""

MIN_TIMEOUT_S = 0.25
"""Minimum timeout of an attempt, in seconds."""

MAX_ROUND_DOUBLINGS = 3
"""How often the timeout after which others are asked again doubles.

It does with each round in which no other endpoint took over.
"""

MIN_REMAINING_S = 0.02
"""Minimum time before the deadline to send an attempt, in seconds.

It covers a few round trips.
"""


def get_head_timeout_s(request, runs, now_s, rounds=0):
    """Return the timeout for the head of an answer, in seconds.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    runs : int
        Endpoints that may have executed the request before this attempt.
    now_s : float
        Monotonic time, in seconds.
    rounds : int
        How often other endpoints have been asked in vain while this attempt
        was waited for.
    """
    remaining_s = max(MIN_REMAINING_S, request.deadline_s - now_s)
    if not _may_try_another_endpoint(request, runs):
        return remaining_s
    timeout_s = max(MIN_TIMEOUT_S, HEAD_TIMEOUT_GOALS * request.goal_s)
    return min(remaining_s, _compute_round_factor(rounds) * timeout_s)


def get_connect_limit_s(request, now_s):
    """Return the timeout for the connection of an attempt, in seconds.

    An attempt that gets no connection has not run, so another one follows.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    now_s : float
        Monotonic time, in seconds.
    """
    share_s = CONNECT_FRACTION * (request.deadline_s - now_s)
    return min(CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, share_s))


def get_event_timeout_s(request, runs, now_s, waited_s=0.0, rounds=0):
    """Return the timeout for the next event of a stream, in seconds.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    runs : int
        Endpoints that may have executed the request before this attempt.
    now_s : float
        Monotonic time, in seconds.
    waited_s : float
        Time already waited for this event, in seconds, while only parts of
        it arrived.
    rounds : int
        How often other endpoints have been asked in vain since the last event.

    Notes
    -----
    A stream that cannot be resumed is only limited by its deadline: a
    pause of the endpoint is no reason to abort the stream.
    """
    remaining_s = max(MIN_REMAINING_S, request.deadline_s - now_s)
    if not (request.gap_goal_s and _may_try_another_endpoint(request, runs)):
        return remaining_s
    timeout_s = _compute_round_factor(rounds) * _get_longest_gap_s(request)
    return min(remaining_s, timeout_s - waited_s)


def is_silent(request, silence_s):
    """Return whether a stream has sent no event for too long.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    silence_s : float
        Time waited since the last event, in seconds.

    Notes
    -----
    A stream without a gap goal may pause for any time.
    """
    return bool(request.gap_goal_s) and (
        silence_s >= _get_longest_gap_s(request)
    )


def _compute_round_factor(rounds):
    """Return the timeout after some rounds, relative to the first."""
    return 2.0 ** min(rounds, MAX_ROUND_DOUBLINGS)


def _get_longest_gap_s(request):
    """Return the longest pause of a stream with a gap goal, in seconds."""
    return max(MIN_TIMEOUT_S, EVENT_TIMEOUT_GAP_GOALS * request.gap_goal_s)


def _may_try_another_endpoint(request, runs):
    """Return whether another endpoint may repeat the request."""
    return request.kind.is_repeatable and runs + 1 < request.max_endpoints
