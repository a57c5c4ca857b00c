"""Validation of callers' requests, and the JSON of refusals."""

import dataclasses
import json
import math
import re
import uuid

import attrs

from mulberryhollow import errors
from mulberryhollow.state import decoding
from mulberryhollow.state import environment as environment_module

__all__ = [
    "BookingRequest",
    "CallerRequest",
    "GenerateRequest",
    "LookupRequest",
    "encode_refusal",
    "get_origin",
    "is_request_id",
    "make_request_id",
    "mark_execution_unknown",
    "parse_body",
    "parse_timeout",
    "refuse",
    "refuse_before_claim",
]

MAX_BODY_BYTES = 256 * 1024
"""Maximum body size of a caller's request, in bytes."""

MAX_TOKENS = 32_768
"""Maximum number of tokens that one request may ask for."""

MAX_TIMEOUT_S = 3_600.0
"""Maximum timeout of a request, in seconds; a longer one is reduced to it."""

DEFAULT_TIMEOUT_S = {
    environment_module.RequestClass.CHAT: 30.0,
    environment_module.RequestClass.LOOKUP: 5.0,
    environment_module.RequestClass.BOOKING: 10.0,
    environment_module.RequestClass.PATIENT: 600.0,
}
"""Timeout of a request that sets none, by request class, in seconds."""

_REQUEST_ID = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}_[0-9a-f]{32}")


@attrs.frozen
class GenerateRequest:
    """A request to a model service to generate text from a prompt.

    Parameters
    ----------
    prompt : str
        The prompt.
    max_tokens : int
        Maximum number of tokens in the answer.
    stream : bool
        Whether to stream each token to the caller as it is generated.
    """

    prompt: str
    max_tokens: int
    stream: bool = True


@attrs.frozen
class LookupRequest:
    """An idempotent query to a plain service."""

    query: str


@attrs.frozen
class BookingRequest:
    """A booking, which must be executed at most once.

    Parameters
    ----------
    slot : str
        Name of the slot to book.
    details : str
        Free text that is passed on to the endpoint.
    """

    slot: str
    details: str = ""


@attrs.frozen
class CallerRequest:
    """One accepted request of a caller.

    Parameters
    ----------
    request_id : str
        Id of the request; begins with the id of the entry instance that
        accepted it.
    account, service : str
        Names of the client account and of the service.
    request_class : RequestClass
        Class of the request.
    deadline_s : float
        Wall-clock time by which the answer is due, in Unix seconds.
    body : GenerateRequest, LookupRequest or BookingRequest
        The validated body.
    key_text : str
        The idempotency key as sent; empty when there is none.
    is_first_send : bool
        Whether the caller states that it sends the request for the
        first time.
    """

    request_id: str
    account: str
    service: str
    request_class: environment_module.RequestClass
    deadline_s: float
    body: object
    key_text: str = ""
    is_first_send: bool = False


def make_request_id(instance):
    """Return a new request id that begins with the instance's id."""
    return f"{instance}_{uuid.uuid4().hex}"


def is_request_id(text):
    """Return whether a text has the form of a request id."""
    return _REQUEST_ID.fullmatch(text) is not None


def get_origin(request_id):
    """Return the id of the instance that accepted a request."""
    return request_id.rpartition("_")[0]


def refuse(kind, message, remedy, **fields):
    """Return the exception that carries a refusal to the caller.

    Parameters
    ----------
    kind : RefusalKind
        Why the request is refused.
    message, remedy : str
        What happened and what the caller can do.
    **fields
        Optional fields of the Refusal: `ran`, `retry_after_s`.
    """
    return errors.RefusedError(errors.Refusal(kind, message, remedy, **fields))


def refuse_before_claim(request, refusal):
    """Return the error for a booking refused before its claim was read.

    Without the claim it is unknown whether an earlier send of the same
    booking was executed, so the refusal must not state "not run".

    Parameters
    ----------
    request : CallerRequest
        The booking.
    refusal : Refusal
        Why the booking is refused.

    Returns
    -------
    RefusedError
        Its execution status is unknown instead of "not run", unless the
        caller sends the booking for the first time.
    """
    if request.is_first_send:
        return errors.RefusedError(refusal)
    return errors.RefusedError(mark_execution_unknown(refusal))


def mark_execution_unknown(refusal):
    """Return a refusal with the status "not run" replaced by unknown."""
    if refusal.ran is not errors.ExecutionStatus.NOT_RUN:
        return refusal
    message = f"{refusal.message}; an earlier send may have been executed"
    return dataclasses.replace(
        refusal, message=message, ran=errors.ExecutionStatus.UNKNOWN
    )


def parse_timeout(text, request_class):
    """Return the timeout of a request, in seconds.

    Parameters
    ----------
    text : str
        Value of the ``X-Timeout-S`` header; empty when there is none.
    request_class : RequestClass
        Class of the request.

    Raises
    ------
    RefusedError
        When the header is not a finite number above zero.
    """
    if not text:
        return DEFAULT_TIMEOUT_S[request_class]
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not math.isfinite(timeout_s):
        raise _make_malformed_error(
            "X-Timeout-S is not a number", "send seconds"
        )
    if timeout_s <= 0:
        raise refuse(
            errors.RefusalKind.DEADLINE_PASSED,
            "the deadline had passed on arrival",
            "send X-Timeout-S above zero",
        )
    return min(timeout_s, MAX_TIMEOUT_S)


def parse_body(data, request_class):
    """Validate a request body against the schema of its class.

    Parameters
    ----------
    data : bytes
        The body, as JSON.
    request_class : RequestClass
        Class of the request.

    Returns
    -------
    GenerateRequest, LookupRequest or BookingRequest

    Raises
    ------
    RefusedError
        When the body is malformed; the message names the wrong field.
    """
    try:
        fields = decoding.decode_json(data)
    except (ValueError, RecursionError) as error:
        raise _make_malformed_error(
            "the body is not JSON", "send an object"
        ) from error
    if not isinstance(fields, dict):
        raise _make_malformed_error(
            "the body is not a JSON object", "send an object"
        )
    match request_class:
        case environment_module.RequestClass.LOOKUP:
            return LookupRequest(_read_text_field(fields, "query"))
        case environment_module.RequestClass.BOOKING:
            details = _read_text_field(fields, "details", "")
            return BookingRequest(_read_text_field(fields, "slot"), details)
        case _:
            return _read_generate_request(fields)


def _read_generate_request(fields):
    """Return the GenerateRequest in a JSON object."""
    max_tokens = fields.get("max_tokens", 256)
    is_number = isinstance(max_tokens, int) and not isinstance(
        max_tokens, bool
    )
    if not is_number or not 0 < max_tokens <= MAX_TOKENS:
        raise _make_malformed_error(
            "max_tokens is out of range", f"send 1 to {MAX_TOKENS}"
        )
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise _make_malformed_error(
            "stream is not a boolean", "send true or false"
        )
    return GenerateRequest(
        _read_text_field(fields, "prompt"), max_tokens, stream
    )


def _read_text_field(fields, name, default=None):
    """Return a text field; one without a default must not be empty."""
    value = fields.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise _make_malformed_error(
            f"{name} is missing or is not text", f"send {name}"
        )
    return value


def _make_malformed_error(message, remedy):
    """Return the error that refuses a malformed request."""
    return refuse(errors.RefusalKind.MALFORMED, message, remedy)


def encode_refusal(refusal, request_id):
    """Return the JSON body of a refusal.

    Parameters
    ----------
    refusal : Refusal
        The refusal, which is the final answer to the request.
    request_id : str
        Id of the request.
    """
    error = {
        "kind": refusal.kind.wire_name,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "ran": refusal.ran.value,
        "retry_after_s": refusal.retry_after_s,
    }
    return json.dumps({"request_id": request_id, "error": error}).encode()
