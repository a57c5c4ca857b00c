"""Decision between failover and a final answer after a failed attempt."""

import dataclasses

import attrs

from mulberryhollow.coordination.streams import fault as faults
from mulberryhollow import errors

__all__ = [
    "Attempts",
    "FailRequest",
    "MAX_OFFERS",
    "TryNextEndpoint",
    "decide_next",
    "refuse_expired",
    "refuse_no_capacity",
]

MAX_OFFERS = 4
"""Maximum number of endpoints tried for one request.

Endpoints that refuse the request count too: a refusal means that the
endpoint is full, and after a few of them the others most likely are full
as well.
"""

MIN_RETRY_AFTER_GOALS = 0.25
"""Minimum retry time of a refused request, as a fraction of its goal.

The goal is the latency goal of the request, `ForwardRequest.goal_s`.
"""

RETRY_AFTER_JITTER = 1.0
"""Maximum jitter of the retry time, as a fraction of its minimum."""

STOPPING_RETRY_AFTER_S = 0.1
"""Retry time of a request that a stopping instance refuses, in seconds.

Short, since the caller's next connection most likely reaches another
instance.
"""


@attrs.define
class Attempts:
    """Counts of the failed attempts of one request.

    Parameters
    ----------
    offers : int
        Endpoints tried, including those that could not be reached.
    runs : int
        Endpoints that may have executed the request.
    """

    offers: int = 0
    runs: int = 0

    def record(self, fault):
        """Count a failed attempt."""
        self.offers += 1
        self.runs += faults.may_have_run(fault)


@dataclasses.dataclass(frozen=True)
class TryNextEndpoint:
    """The request is sent to another endpoint at once.

    Parameters
    ----------
    draws_budget : bool
        Whether the next attempt spends retry budget, because the failed
        one reached an endpoint.
    """

    draws_budget: bool


@dataclasses.dataclass(frozen=True)
class FailRequest:
    """The request fails.

    Parameters
    ----------
    refusal : Refusal
        The final answer to the caller.
    """

    refusal: errors.Refusal


def decide_next(request, attempts, fault, now_s, jitter):
    """Decide whether to try another endpoint after a failed attempt.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    attempts : Attempts
        Attempts of the request, including the failed one.
    fault : object
        Fault of the failed attempt, an instance of one of the fault classes
        of `coordination.streams`.
    now_s : float
        Monotonic time, in seconds.
    jitter : float
        Random number from 0 to 1, used as jitter of the retry time.

    Returns
    -------
    TryNextEndpoint or FailRequest
    """
    if now_s >= request.deadline_s:
        return FailRequest(refuse_expired(attempts))
    if attempts.runs and not request.kind.is_repeatable:
        return FailRequest(_refuse_unknown(fault))
    if attempts.runs >= request.max_endpoints:
        return FailRequest(_refuse_unknown(fault))
    if attempts.offers >= MAX_OFFERS:
        return FailRequest(refuse_no_capacity(request, attempts, jitter))
    return TryNextEndpoint(draws_budget=not isinstance(fault, faults.NotSent))


def refuse_no_capacity(request, attempts, jitter, pause_s=0.0, reason=""):
    """Return the refusal of a request for which no endpoint has capacity.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    attempts : Attempts
        Attempts of the request.
    jitter : float
        Random number from 0 to 1 for the jitter of the retry time.
    pause_s : float
        Time until the first endpoint wants requests again, in seconds, which
        is added to the retry time.
    reason : str
        Message for the caller; empty for lack of free capacity.
    """
    retry_after_s = pause_s + (
        MIN_RETRY_AFTER_GOALS
        * request.goal_s
        * (1.0 + RETRY_AFTER_JITTER * jitter)
    )
    return errors.Refusal(
        errors.RefusalKind.NO_CAPACITY,
        reason
        or f"no endpoint of service {request.service} has free capacity",
        "send the request again after the given time",
        _get_execution_status(attempts),
        retry_after_s,
    )


def refuse_expired(attempts):
    """Return the refusal of a request whose deadline has passed.

    Parameters
    ----------
    attempts : Attempts
        Attempts of the request.
    """
    return errors.Refusal(
        errors.RefusalKind.DEADLINE_PASSED,
        "the deadline of the request has passed",
        "send the request again with a later deadline",
        _get_execution_status(attempts),
    )


def refuse_stopping(attempts):
    """Return the refusal of a request for which a stop leaves no time.

    Parameters
    ----------
    attempts : Attempts
        Attempts of the request.

    Notes
    -----
    A peer sends what a leaving instance refuses elsewhere, so a request that
    may have run is not refused as that.
    """
    if attempts.runs:
        return _refuse_unknown("this instance is stopping")
    return errors.Refusal(
        errors.RefusalKind.LEAVING,
        "this instance is stopping and has no time left for the request",
        "send the request again on a new connection",
        errors.ExecutionStatus.NOT_RUN,
        STOPPING_RETRY_AFTER_S,
    )


def _refuse_unknown(fault):
    """Return the refusal of a request that may have been executed."""
    return errors.Refusal(
        errors.RefusalKind.OUTCOME_UNKNOWN,
        f"the endpoint may have executed the request: {fault}",
        "check whether the request was executed before sending it again",
        errors.ExecutionStatus.UNKNOWN,
    )


def _get_execution_status(attempts):
    """Return the execution status of a request."""
    return (
        errors.ExecutionStatus.UNKNOWN
        if attempts.runs
        else errors.ExecutionStatus.NOT_RUN
    )
