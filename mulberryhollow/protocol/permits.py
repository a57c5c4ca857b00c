"""Codec of the calls by which the owner of an endpoint grants permits."""

import json
import math

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow.state import decoding

__all__ = [
    "PermitQuestion",
    "decode_permit",
    "decode_question",
    "encode_permit",
    "encode_question",
]


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
    cold_per_s : float
        Requests per second that a cold endpoint accepts; 0 for a warm one.
    """

    endpoint_id: str
    account: str
    permit: str
    rate_per_s: float | None
    age_s: float
    slots: int = 0
    cold_per_s: float = 0.0


COLD_LEVEL = 1
"""Protocol level from which a question tells the rate of a cold endpoint.

Builds of level 0 reject a question with more than `LEVEL_0_FIELDS` fields.
"""

LEVEL_0_FIELDS = 6


def encode_question(question, level):
    """Return a PermitQuestion as JSON bytes.

    Parameters
    ----------
    question : PermitQuestion
        The question.
    level : int
        Lowest protocol level of the instances. At level 0 the rate of a cold
        endpoint is passed as a rate limit, which any build respects.
    """
    if level < COLD_LEVEL:
        question = _merge_rates(question)
    fields = attrs.astuple(question)[:LEVEL_0_FIELDS]
    if level >= COLD_LEVEL:
        fields += ({"cold_per_s": question.cold_per_s},)
    return json.dumps(fields).encode()


def _merge_rates(question):
    """Return a question that names the rate of a cold endpoint as its own."""
    named = question.rate_per_s
    cold = question.cold_per_s
    if not cold or (named is not None and named <= cold):
        return question
    return attrs.evolve(question, rate_per_s=cold, age_s=0.0)


def decode_question(payload):
    """Return the PermitQuestion in a payload.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the payload is malformed.
    """
    with decoding.convert_errors("question"):
        endpoint_id, account, permit, rate, *numbers = decoding.decode_json(
            payload
        )
        age_s, slots = map(float, numbers[:2])
        further = numbers[2] if len(numbers) > 2 else None
        is_known = isinstance(further, dict)
        cold_per_s = float(further.get("cold_per_s", 0.0)) if is_known else 0.0
        question = PermitQuestion(
            str(endpoint_id),
            str(account),
            str(permit),
            None if rate is None else float(rate),
            age_s,
            int(slots),
            cold_per_s,
        )
    amounts = question.rate_per_s or 0.0, question.age_s, question.cold_per_s
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
    with decoding.convert_errors("permit"):
        wait_s = decoding.decode_json(payload)
        if wait_s is None:
            return limits.PermitGranted()
        wait_s = float(wait_s)
    if not (math.isfinite(wait_s) and wait_s >= 0.0):
        raise ValueError(f"malformed permit: wait of {wait_s} s")
    return limits.PermitRefused(wait_s)
