"""Log lines of requests that are passed on."""

import logging

from mulberryhollow import events

__all__ = ["log_broken_off", "log_end", "log_given_up", "log_retried"]

RETRIED = events.declare(
    4010, logging.INFO, "an attempt failed and the request goes elsewhere"
)
GIVEN_UP = events.declare(
    4011,
    logging.WARNING,
    "a request was given up",
    "look at the endpoints and faults named for its request id",
)
BROKEN_OFF = events.declare(
    4012,
    logging.WARNING,
    "an answer was broken off after its head had been sent",
    "look at the endpoint named for its request id",
)
ENDED = events.declare(
    4013, logging.INFO, "a request that was passed on has ended"
)


def log_retried(request, endpoint_id, fault, made):
    """Say why a request goes to another endpoint."""
    events.log(
        RETRIED,
        request=request.request_id,
        endpoint=endpoint_id,
        fault=str(fault),
        offers=made.offers,
        runs=made.runs,
    )


def log_given_up(request, refusal, made):
    """Say why a request gets no answer of an endpoint."""
    events.log(
        GIVEN_UP,
        request=request.request_id,
        route=request.route,
        reason=refusal.message,
        ran=refusal.ran.value,
        offers=made.offers,
        runs=made.runs,
    )


def log_broken_off(request, endpoint_id, fault, count, reason=""):
    """Say why an answer ends before it is whole, after some events."""
    events.log(
        BROKEN_OFF,
        request=request.request_id,
        endpoint=endpoint_id,
        fault=str(fault),
        events=count,
        reason=reason,
    )


def log_end(request, outcome, head, chosen, reader, elapsed_s):
    """Say how a request went and what its last choice was based on.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    outcome : Outcome
        How it ended.
    head : AnswerHead or None
        Head of its answer.
    chosen : Chosen or None
        The last choice of an endpoint.
    reader : AnswerReader
        What was read.
    elapsed_s : float
        Time since its arrival, in seconds.
    """
    choice = {}
    if chosen is not None:
        choice = {
            "endpoint": chosen.endpoint_id,
            "load": chosen.load,
            "computed_tokens": chosen.computed_tokens,
            "cached_tokens": chosen.cached_tokens,
            "expected_ms": _to_ms(chosen.expected_first_token_s),
        }
    events.log(
        ENDED,
        request=request.request_id,
        route=request.route,
        account=request.account,
        outcome=outcome.value,
        status=head.status if head else 0,
        first_ms=_to_ms(reader.first_s),
        longest_gap_ms=_to_ms(reader.longest_gap_s),
        total_ms=_to_ms(elapsed_s),
        **choice,
    )


def _to_ms(duration_s):
    """Return a duration in whole milliseconds."""
    return round(duration_s * 1000.0)
