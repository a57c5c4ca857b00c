"""Claims that one instance asks another one to store, as bytes."""

import enum
import json

import attrs
import cattrs

from mulberryhollow.coordination import booking

__all__ = [
    "ClaimCall",
    "Wish",
    "decode_call",
    "decode_result",
    "encode_call",
    "encode_result",
]

_RESULTS = {
    kind.__name__: kind
    for kind in (
        booking.Granted,
        booking.Held,
        booking.KeyReused,
        booking.Lost,
        booking.Recorded,
        booking.Standing,
    )
}


class Wish(enum.Enum):
    """What to do with a claim."""

    CLAIM = "claim"
    RECORD = "record"
    LOOK = "look"


@attrs.frozen
class ClaimCall:
    """A claim and what to do with it.

    Parameters
    ----------
    bucket : str
        Name of the bucket object.
    wish : Wish
        What to do.
    claim : Claim
        The claim.
    """

    bucket: str
    wish: Wish
    claim: booking.Claim


def encode_call(call):
    """Return the bytes of a call."""
    return json.dumps(cattrs.unstructure(call)).encode()


def decode_call(data):
    """Return the ClaimCall in data; ValueError when malformed."""
    try:
        return cattrs.structure(json.loads(data), ClaimCall)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ValueError(f"malformed call: {error}") from error


def encode_result(result):
    """Return the bytes of what a claim, record or look gave."""
    name = type(result).__name__
    match result:
        case booking.Unwritten(reason):
            fields = {"kind": name, "reason": reason}
        case _:
            claim = cattrs.unstructure(result.claim)
            fields = {"kind": name, "claim": claim}
    return json.dumps(fields).encode()


def decode_result(data):
    """Return the result in data; ValueError when malformed."""
    try:
        fields = json.loads(data)
        if fields["kind"] == booking.Unwritten.__name__:
            return booking.Unwritten(fields["reason"])
        claim = fields["claim"]
        if claim is not None:
            claim = cattrs.structure(claim, booking.Claim)
        return _RESULTS[fields["kind"]](claim)
    except (cattrs.BaseValidationError, KeyError, TypeError) as error:
        raise ValueError(f"malformed result: {error}") from error
