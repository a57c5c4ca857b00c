"""Codec of a version move's record as stored by the platform."""

import json

import attrs
import cattrs
from cattrs.preconf import json as json_preconf

from mulberryhollow.coordination.rollout import record
from mulberryhollow.errors import MulberryError

__all__ = ["MoveFormatError", "decode", "encode"]

MAX_RECORD_BYTES = 16_384
"""Longest accepted record, in bytes."""

_CONVERTER = json_preconf.make_converter()


class MoveFormatError(MulberryError):
    """Stored bytes are not the record of a move."""


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
    if len(data) > MAX_RECORD_BYTES:
        raise _reject(f"it has {len(data)} bytes")
    try:
        fields = json.loads(data)
        move = _CONVERTER.structure(fields, record.Move)
    except (ValueError, TypeError, RecursionError) as error:
        raise _reject(str(error)) from error
    except cattrs.BaseValidationError as error:
        reasons = cattrs.transform_error(error)
        raise _reject("; ".join(reasons)) from error
    return attrs.evolve(move, version=version)


def _reject(reason):
    """Return the error for bytes that are not a record."""
    return MoveFormatError(
        f"the stored move is malformed: {reason}",
        "start the move again, which replaces the record",
    )
