"""Requests of callers, checked, and the JSON of answers to them."""

import dataclasses
import json
import math
import re
import uuid

import attrs

from mulberryhollow import errors
from mulberryhollow.state import environment as environment_module

__all__ = [
    "BookingRequest",
    "CallerRequest",
    "GenerateRequest",
    "LookupRequest",
    "doubt",
    "doubt_refusal",
    "encode_refusal",
    "get_origin",
    "is_request_id",
    "make_request_id",
    "parse_body",
    "parse_timeout",
    "refuse",
]

MAX_BODY_BYTES = 256 * 1024
"""Largest body of a caller's request, in bytes."""

MAX_TOKENS = 32_768
"""Largest number of tokens that one request may ask for."""

MAX_TIMEOUT_S = 3_600.0
"""Longest deadline that a caller may ask for, in seconds."""

DEFAULT_TIMEOUT_S = {
    environment_module.RequestClass.CHAT: 30.0,
    environment_module.RequestClass.LOOKUP: 5.0,
    environment_module.RequestClass.BOOKING: 10.0,
    environment_module.RequestClass.PATIENT: 600.0,
}
"""Deadline of a request that names none, by class, in seconds."""

_REQUEST_ID = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}_[0-9a-f]{32}")


@attrs.frozen
class GenerateRequest:
    """A prompt for a model, answered token by token.

    Parameters
    ----------
    prompt : str
        The prompt.
    max_tokens : int
        Largest number of tokens of the answer.
    stream : bool
        Whether the caller wants each token as it comes.
    """

    prompt: str
    max_tokens: int
    stream: bool = True


@attrs.frozen
class LookupRequest:
    """A question to a plain service, safe to repeat."""

    query: str


@attrs.frozen
class BookingRequest:
    """A booking, which may run once only.

    Parameters
    ----------
    slot : str
        What is booked.
    details : str
        Free text for the endpoint.
    """

    slot: str
    details: str = ""


@attrs.frozen
class CallerRequest:
    """One accepted request of a caller.

    Parameters
    ----------
    request_id : str
        Its id, which names the entry instance that accepted it.
    account, service : str
        Client account and service.
    request_class : RequestClass
        Its class.
    deadline_s : float
        Wall-clock time by which the answer is due, in Unix seconds.
    body : GenerateRequest, LookupRequest or BookingRequest
        What is asked.
    key_text : str
        The idempotency key as sent; empty when there is none.
    is_first_send : bool
        Whether the caller says that it sends the request for the first
        time.
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
    """Return a new request id that names the accepting instance."""
    return f"{instance}_{uuid.uuid4().hex}"


def is_request_id(text):
    """Return whether a text has the form of a request id."""
    return _REQUEST_ID.fullmatch(text) is not None


def get_origin(request_id):
    """Return the instance that accepted a request."""
    return request_id.rpartition("_")[0]


def refuse(kind, message, remedy, **fields):
    """Return the exception that carries a refusal to the caller.

    Parameters
    ----------
    kind : RefusalKind
        Why it is refused.
    message, remedy : str
        What happened and what the caller can do.
    **fields
        `ran` and `retry_after_s` of the Refusal.
    """
    return errors.RefusedError(errors.Refusal(kind, message, remedy, **fields))


def doubt(request, refusal):
    """Return a refusal that says no more than is known of earlier sends.

    Parameters
    ----------
    request : CallerRequest
        A booking that was refused before its claim could be read.
    refusal : Refusal
        Why it was refused.

    Returns
    -------
    RefusedError
        With `Ran.UNKNOWN` unless the caller sends it for the first time.
    """
    if request.is_first_send:
        return errors.RefusedError(refusal)
    return errors.RefusedError(doubt_refusal(refusal))


def doubt_refusal(refusal):
    """Return a refusal with "not run" taken back."""
    if refusal.ran is not errors.Ran.NOT_RUN:
        return refusal
    message = f"{refusal.message}; an earlier send may have run"
    return dataclasses.replace(
        refusal, message=message, ran=errors.Ran.UNKNOWN
    )


def parse_timeout(text, request_class):
    """Return the time that a caller gives a request, in seconds.

    Raises
    ------
    RefusedError
        When the header is no number above zero.
    """
    if not text:
        return DEFAULT_TIMEOUT_S[request_class]
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not math.isfinite(timeout_s):
        raise _malformed("X-Timeout-S is no number", "send seconds")
    if timeout_s <= 0:
        raise refuse(
            errors.RefusalKind.DEADLINE_PASSED,
            "the deadline had passed on arrival",
            "send X-Timeout-S above zero",
        )
    return min(timeout_s, MAX_TIMEOUT_S)


def parse_body(data, request_class):
    """Check a body against the form that its class asks for.

    Parameters
    ----------
    data : bytes
        The body.
    request_class : RequestClass
        The class.

    Returns
    -------
    GenerateRequest, LookupRequest or BookingRequest

    Raises
    ------
    RefusedError
        Naming the field that is wrong.
    """
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise _malformed("the body is not JSON", "send an object") from error
    if not isinstance(fields, dict):
        raise _malformed("the body is not a JSON object", "send an object")
    match request_class:
        case environment_module.RequestClass.LOOKUP:
            return LookupRequest(_read_text(fields, "query"))
        case environment_module.RequestClass.BOOKING:
            details = _read_text(fields, "details", "")
            return BookingRequest(_read_text(fields, "slot"), details)
        case _:
            return _read_generate(fields)


def _read_generate(fields):
    """Return the GenerateRequest of a JSON object."""
    max_tokens = fields.get("max_tokens", 256)
    is_number = isinstance(max_tokens, int) and not isinstance(
        max_tokens, bool
    )
    if not is_number or not 0 < max_tokens <= MAX_TOKENS:
        raise _malformed(
            "max_tokens is out of range", f"send 1 to {MAX_TOKENS}"
        )
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        raise _malformed("stream is no boolean", "send true or false")
    return GenerateRequest(_read_text(fields, "prompt"), max_tokens, stream)


def _read_text(fields, name, default=None):
    """Return one text field of a JSON object."""
    value = fields.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise _malformed(f"{name} is missing or no text", f"send {name}")
    return value


def _malformed(message, remedy):
    """Return the refusal of a malformed request."""
    return refuse(errors.RefusalKind.MALFORMED, message, remedy)


def encode_refusal(refusal, request_id):
    """Return the JSON body of a refusal.

    Parameters
    ----------
    refusal : Refusal
        The final answer.
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
