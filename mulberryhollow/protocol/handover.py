"""Codec of detached answers that one instance hands over to another.

An answer is detached when its caller disconnects before the answer is
complete.
"""

import json

import attrs

from mulberryhollow.protocol import callers
from mulberryhollow.state import decoding
from mulberryhollow.state import environment as environment_module

__all__ = ["DetachedAnswer", "decode_answer", "encode_answer"]


@attrs.frozen
class DetachedAnswer:
    """A request and the tokens generated for it so far.

    Parameters
    ----------
    request : CallerRequest
        The request, with a GenerateRequest as its body.
    fingerprint : str
        Fingerprint of the request.
    tokens : tuple of str
        Tokens that were generated and may have reached the caller.
    """

    request: callers.CallerRequest
    fingerprint: str
    tokens: tuple


def encode_answer(answer):
    """Return a detached answer as bytes."""
    fields = attrs.asdict(answer)
    fields["request"]["request_class"] = answer.request.request_class.value
    return json.dumps(fields).encode()


def decode_answer(data):
    """Return the detached answer in data.

    Raises
    ------
    ValueError
        When the data is malformed.
    """
    with decoding.convert_errors("detached answer"):
        fields = decoding.decode_json(data)
        request_fields = fields["request"]
        request_fields["body"] = callers.GenerateRequest(
            **request_fields["body"]
        )
        request_fields["request_class"] = environment_module.RequestClass(
            request_fields["request_class"]
        )
        return DetachedAnswer(
            callers.CallerRequest(**request_fields),
            fields["fingerprint"],
            tuple(fields["tokens"]),
        )
