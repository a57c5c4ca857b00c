"""Answers that one instance hands over to another, as bytes."""

import json

import attrs

from mulberryhollow.protocol import callers
from mulberryhollow.state import environment as environment_module

__all__ = ["ParkedAnswer", "decode_answer", "encode_answer"]


@attrs.frozen
class ParkedAnswer:
    """A request and the tokens of its answer so far.

    Parameters
    ----------
    request : CallerRequest
        The request, with a GenerateRequest as its body.
    fingerprint : str
        Its fingerprint.
    tokens : tuple of str
        Tokens that were made and may have reached the caller.
    """

    request: callers.CallerRequest
    fingerprint: str
    tokens: tuple


def encode_answer(answer):
    """Return the bytes of an answer that is handed over."""
    fields = attrs.asdict(answer)
    fields["request"]["request_class"] = answer.request.request_class.value
    return json.dumps(fields).encode()


def decode_answer(data):
    """Return the ParkedAnswer in data.

    Raises
    ------
    ValueError
        When it is malformed.
    """
    try:
        fields = json.loads(data)
        wanted = fields["request"]
        wanted["body"] = callers.GenerateRequest(**wanted["body"])
        wanted["request_class"] = environment_module.RequestClass(
            wanted["request_class"]
        )
        return ParkedAnswer(
            callers.CallerRequest(**wanted),
            fields["fingerprint"],
            tuple(fields["tokens"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed hand-over: {error}") from error
