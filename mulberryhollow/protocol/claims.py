"""Codec of claim operations that one instance sends to another one."""

import enum
import json

import attrs
import cattrs

from mulberryhollow.coordination import booking
from mulberryhollow.state import decoding

__all__ = [
    "ClaimCall",
    "ClaimOperation",
    "decode_call",
    "decode_result",
    "encode_call",
    "encode_result",
]

_RESULT_CLASSES = {
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


class ClaimOperation(enum.Enum):
    """Operation on a booking claim: acquire, record a result, or read."""

    CLAIM = "claim"
    RECORD = "record"
    LOOK = "look"


@attrs.frozen
class ClaimCall:
    """A claim and the operation on it.

    Parameters
    ----------
    bucket : str
        Name of the bucket object.
    wish : ClaimOperation
        The operation.
    claim : Claim
        The claim.
    """

    bucket: str
    wish: ClaimOperation
    claim: booking.Claim


def encode_call(call):
    """Return a ClaimCall as bytes."""
    return json.dumps(cattrs.unstructure(call)).encode()


def decode_call(data):
    """Return the ClaimCall in data; ValueError when malformed."""
    with decoding.convert_errors("claim call", cattrs.BaseValidationError):
        return cattrs.structure(decoding.decode_json(data), ClaimCall)


def encode_result(result):
    """Return the result of a claim operation as bytes."""
    name = type(result).__name__
    match result:
        case booking.Unwritten(reason):
            fields = {"kind": name, "reason": reason}
        case _:
            claim = cattrs.unstructure(result.claim)
            fields = {"kind": name, "claim": claim}
    return json.dumps(fields).encode()


def decode_result(data):
    """Return the operation's result; ValueError when malformed."""
    with decoding.convert_errors("claim result", cattrs.BaseValidationError):
        fields = decoding.decode_json(data)
        if fields["kind"] == booking.Unwritten.__name__:
            return booking.Unwritten(fields["reason"])
        claim = fields["claim"]
        if claim is not None:
            claim = cattrs.structure(claim, booking.Claim)
        return _RESULT_CLASSES[fields["kind"]](claim)
