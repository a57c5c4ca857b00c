"""Log events of forwarded requests."""

import logging

from mulberryhollow import events

__all__ = [
    "log_broken_off",
    "log_crash",
    "log_end",
    "log_not_replaced",
    "log_replaced",
    "log_request_failed",
    "log_retried",
]

RETRIED = events.declare(
    4010, logging.INFO, "an attempt failed; trying another endpoint"
)
REQUEST_FAILED = events.declare(
    4011,
    logging.WARNING,
    "a request failed; no further attempt is allowed",
    "check the endpoints and faults logged for its request id",
)
BROKEN_OFF = events.declare(
    4012,
    logging.WARNING,
    "an answer ended early, after its head had been sent",
    "check the endpoint logged for its request id",
)
ENDED = events.declare(4013, logging.INFO, "a forwarded request has ended")
REPLACED = events.declare(
    4033,
    logging.INFO,
    "an endpoint was silent for long; another one has taken over",
    "if it repeats for one endpoint, check it",
)
NOT_REPLACED = events.declare(
    4034,
    logging.INFO,
    "an endpoint is silent for long, and none takes over; it is waited for",
    "check the load of the service",
)
CRASHED = events.declare(
    4014,
    logging.WARNING,
    "an endpoint crashed while it had a request",
    "if it repeats, compare the requests of the crashed endpoints",
)


def log_retried(request, route, fault, attempts):
    """Log the fault after which another endpoint is tried."""
    events.log(
        RETRIED,
        request=request.request_id,
        endpoint=route.endpoint_id,
        version=route.version,
        fault=str(fault),
        offers=attempts.offers,
        runs=attempts.runs,
    )


def log_replaced(request, route, fault, new_route):
    """Log that another endpoint has taken over from a silent one."""
    events.log(
        REPLACED,
        request=request.request_id,
        endpoint=route.endpoint_id,
        fault=str(fault),
        by=new_route.endpoint_id,
    )


def log_not_replaced(request, route, fault, reason):
    """Log why no other endpoint takes over from a silent one."""
    events.log(
        NOT_REPLACED,
        request=request.request_id,
        endpoint=route.endpoint_id,
        fault=str(fault),
        reason=reason,
    )


def log_request_failed(request, refusal, attempts, chosen):
    """Log the refusal of a request that no endpoint answered.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    refusal : Refusal
        The refusal.
    attempts : Attempts
        Attempts that were made.
    chosen : Chosen or None
        Last chosen endpoint; None when none was chosen.
    """
    events.log(
        REQUEST_FAILED,
        request=request.request_id,
        route=request.route,
        reason=refusal.message,
        version=chosen.version if chosen else "",
        ran=refusal.ran.value,
        offers=attempts.offers,
        runs=attempts.runs,
    )


def log_broken_off(
    request, endpoint_id, fault, count, reason="", stopping_s=None
):
    """Log the fault that ended an answer early, after `count` events.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    endpoint_id : str
        Endpoint that answered last.
    fault : object
        Its fault, an instance of one of the fault classes of
        `coordination.streams`.
    count : int
        Number of events of the answer.
    reason : str
        Why no other endpoint continues the answer; empty for none.
    stopping_s : float or None
        Time since this instance began to stop, in seconds; None if it has
        not.
    """
    events.log(
        BROKEN_OFF,
        request=request.request_id,
        endpoint=endpoint_id,
        fault=str(fault),
        events=count,
        reason=reason,
        **_describe_stop(stopping_s),
    )


def log_crash(request, endpoint_id, is_answering, is_quarantined):
    """Log the crash of an endpoint and whether the request is now refused."""
    events.log(
        CRASHED,
        request=request.request_id,
        endpoint=endpoint_id,
        is_answering=is_answering,
        is_quarantined=is_quarantined,
    )


def log_end(
    request,
    outcome,
    head,
    chosen,
    reader,
    elapsed_s,
    peer="",
    stopping_s=None,
):
    """Log the result of a request and the data behind its last route.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    outcome : Outcome
        Outcome of the request.
    head : AnswerHead or None
        Head of the answer; None when no answer began.
    chosen : Chosen or None
        Last chosen endpoint; None when none was chosen.
    reader : AnswerReader
        Reader of the answer, with its framing, events and times.
    elapsed_s : float
        Time since the arrival of the request, in seconds.
    peer : str
        Peer that forwarded the last attempt; empty for none.
    stopping_s : float or None
        As for `log_broken_off`.
    """
    choice = {"peer": peer} if peer else {}
    if chosen is not None:
        choice = {
            "endpoint": chosen.endpoint_id,
            "version": chosen.version,
            "load": chosen.load,
            "computed_tokens": chosen.computed_tokens,
            "cached_tokens": chosen.cached_tokens,
            "expected_ms": _to_ms(chosen.expected_first_token_s),
        }
    if chosen is not None and chosen.hold_s:
        choice |= {
            "expected_total_ms": _to_ms(chosen.hold_s),
            "expected_wait_ms": _to_ms(chosen.wait_s),
            "slowness": round(chosen.slowness, 2),
            "estimate_age_ms": _to_ms(chosen.age_s),
        }
    framing = reader.framing
    events.log(
        ENDED,
        request=request.request_id,
        route=request.route,
        account=request.account,
        outcome=outcome.value,
        status=head.status if head else 0,
        framing=framing.value if framing else "",
        new_connection=reader.is_new_connection,
        body_bytes=reader.body_bytes,
        events=reader.assembly.count,
        unfinished_bytes=len(reader.assembly.rest),
        first_ms=_to_ms(reader.first_s),
        longest_gap_ms=_to_ms(reader.longest_gap_s),
        total_ms=_to_ms(elapsed_s),
        **choice,
        **_describe_stop(stopping_s),
    )


def _describe_stop(stopping_s):
    """Return the field that tells how long the instance is stopping."""
    return {} if stopping_s is None else {"stopping_ms": _to_ms(stopping_s)}


def _to_ms(duration_s):
    """Return a duration in whole milliseconds."""
    return round(duration_s * 1000.0)
