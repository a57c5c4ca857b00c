"""Codec of the calls by which the owner of an endpoint grants permits."""

import json
import math

import attrs

from mulberryhollow.coordination import limits

__all__ = [
    "PermitQuestion",
    "decode_permit",
    "decode_question",
    "encode_permit",
    "encode_question",
]

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
)


@attrs.frozen
class PermitQuestion:
    """Question of an instance for a permit.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that limits its requests.
    account : str
        Client account of the request to be sent.
    permit : str
        Name of the permit.
    rate_per_s : float or None
        Rate limit that the instance knows, per second; None for none.
    age_s : float
        Age of what it knows, in seconds.
    slots : int
        Requests that a brittle endpoint runs at once; 0 for another one.
    """

    endpoint_id: str
    account: str
    permit: str
    rate_per_s: float | None
    age_s: float
    slots: int = 0


def encode_question(question):
    """Return a PermitQuestion as JSON bytes."""
    return json.dumps(attrs.astuple(question)).encode()


def decode_question(payload):
    """Return the PermitQuestion in a payload.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the payload is malformed.
    """
    try:
        endpoint_id, account, permit, rate, *numbers = json.loads(payload)
        age_s, slots = map(float, numbers[:2])
        question = PermitQuestion(
            str(endpoint_id),
            str(account),
            str(permit),
            None if rate is None else float(rate),
            age_s,
            int(slots),
        )
    except _DECODE_ERRORS as error:
        raise ValueError(f"malformed question: {error!r}") from error
    amounts = question.rate_per_s or 0.0, question.age_s
    if not all(amount >= 0.0 for amount in amounts):
        raise ValueError(f"malformed question: {question}")
    return question


def encode_permit(outcome):
    """Return a PermitGranted or PermitRefused as JSON bytes."""
    match outcome:
        case limits.PermitGranted():
            return b"null"
        case limits.PermitRefused(wait_s):
            return json.dumps(wait_s).encode()


def decode_permit(payload):
    """Return the PermitGranted or PermitRefused in a payload.

    Raises
    ------
    ValueError
        When the payload is malformed.
    """
    try:
        wait_s = json.loads(payload)
        if wait_s is None:
            return limits.PermitGranted()
        wait_s = float(wait_s)
    except _DECODE_ERRORS as error:
        raise ValueError(f"malformed permit: {error!r}") from error
    if not (math.isfinite(wait_s) and wait_s >= 0.0):
        raise ValueError(f"malformed permit: wait of {wait_s} s")
    return limits.PermitRefused(wait_s)
