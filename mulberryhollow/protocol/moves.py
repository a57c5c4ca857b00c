"""Codec of move records in the store and of verdicts between peers."""

import json

import attrs
import cattrs
from cattrs.preconf import json as json_preconf

from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import verdict
from mulberryhollow.errors import MulberryError
from mulberryhollow.state import decoding

__all__ = [
    "MoveFormatError",
    "decode",
    "decode_verdict",
    "encode",
    "encode_verdict",
]

MAX_RECORD_BYTES = 16_384
"""Maximum size of a record or verdict, in bytes."""

_CONVERTER = json_preconf.make_converter()


class MoveFormatError(MulberryError):
    """The bytes hold no valid move record or verdict."""


def encode(move):
    """Return a move record as JSON, without the object's version.

    Parameters
    ----------
    move : Move
        The record.

    Returns
    -------
    bytes
        UTF-8 text; equal records give equal bytes.
    """
    fields = _CONVERTER.unstructure(move)
    del fields["version"]
    return json.dumps(fields, sort_keys=True).encode()


def decode(data, version):
    """Return the move record in a store object.

    Parameters
    ----------
    data : bytes
        Value of the object.
    version : int
        Version of the object.

    Returns
    -------
    Move
        The record, with the version of the object.

    Raises
    ------
    MoveFormatError
        When the bytes are not a valid record.
    """
    move = _structure(data, record.Move, "start the move again")
    return attrs.evolve(move, version=version)


def encode_verdict(bad):
    """Return a verdict as JSON, to be published to the peers.

    Parameters
    ----------
    bad : Bad
        The verdict.

    Returns
    -------
    bytes
        UTF-8 text.
    """
    return json.dumps(_CONVERTER.unstructure(bad), sort_keys=True).encode()


def decode_verdict(data):
    """Return the verdict in a peer's message.

    Parameters
    ----------
    data : bytes
        The message.

    Returns
    -------
    Bad
        The verdict.

    Raises
    ------
    MoveFormatError
        When the bytes are not a valid verdict.
    """
    remedy = "run the same version of the daemon on every instance"
    return _structure(data, verdict.Bad, remedy)


def _structure(data, kind, remedy):
    """Return the object of class `kind` that JSON text holds."""
    if len(data) > MAX_RECORD_BYTES:
        raise _make_format_error(
            kind, f"{len(data)} bytes are above the limit", remedy
        )
    try:
        return _CONVERTER.structure(decoding.decode_json(data), kind)
    except (ValueError, TypeError, RecursionError) as error:
        raise _make_format_error(kind, str(error), remedy) from error
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise _make_format_error(kind, reasons, remedy) from error


def _make_format_error(kind, reason, remedy):
    """Return the error for bytes that do not hold a `kind`."""
    return MoveFormatError(f"malformed {kind.__name__}: {reason}", remedy)
