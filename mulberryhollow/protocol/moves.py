"""Codec of version moves: stored records, and verdicts between peers."""

import json

import attrs
import cattrs
from cattrs.preconf import json as json_preconf

from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import verdict
from mulberryhollow.errors import MulberryError

__all__ = [
    "MoveFormatError",
    "decode",
    "decode_verdict",
    "encode",
    "encode_verdict",
]

MAX_RECORD_BYTES = 16_384
"""Longest accepted record, in bytes."""

_CONVERTER = json_preconf.make_converter()


class MoveFormatError(MulberryError):
    """Bytes are not the record of a move, or not a verdict."""


def encode(move):
    """Return the record as JSON; the object's version is left out.

    Parameters
    ----------
    move : Move
        The record.

    Returns
    -------
    bytes
        UTF-8 text, the same for equal records.
    """
    fields = _CONVERTER.unstructure(move)
    del fields["version"]
    return json.dumps(fields, sort_keys=True).encode()


def decode(data, version):
    """Return the record read from an object.

    Parameters
    ----------
    data : bytes
        The object's value.
    version : int
        The object's version.

    Returns
    -------
    Move
        The record with its version.

    Raises
    ------
    MoveFormatError
        When the bytes are not a record.
    """
    move = _structure(data, record.Move, "start the move again")
    return attrs.evolve(move, version=version)


def encode_verdict(bad):
    """Return a verdict for the peers as JSON.

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
        When the bytes are not a verdict.
    """
    remedy = "run the same version of the daemon on every node"
    return _structure(data, verdict.Bad, remedy)


def _structure(data, kind, remedy):
    """Return an object of a kind from its JSON text."""
    if len(data) > MAX_RECORD_BYTES:
        raise _reject(kind, f"it has {len(data)} bytes", remedy)
    try:
        return _CONVERTER.structure(json.loads(data), kind)
    except (ValueError, TypeError, RecursionError) as error:
        raise _reject(kind, str(error), remedy) from error
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise _reject(kind, reasons, remedy) from error


def _reject(kind, reason, remedy):
    """Return the error for bytes that are not of a kind."""
    return MoveFormatError(f"malformed {kind.__name__}: {reason}", remedy)
