"""Documents, move records and activation records in the store.

An activation record states that a version of a document was active; a
promotion needs one.
"""

import json

from mulberryhollow.coordination.configuration import Fault
from mulberryhollow.errors import ConfigurationError
from mulberryhollow.protocol import moves
from mulberryhollow.state import decoding

__all__ = [
    "ACTIVATION_KIND",
    "DOCUMENT_KIND",
    "MOVE_KIND",
    "encode_activation_record",
    "read_activation_digest",
    "read_document",
    "read_moves",
]

DOCUMENT_KIND = "environment"
"""Kind of the objects that hold documents; the environment is the name."""

ACTIVATION_KIND = "in_force"
"""Kind of the objects that hold activation records."""

MOVE_KIND = "move"
"""Kind of the objects that hold the records of moves."""


def read_document(store, environment):
    """Return the object that holds an environment's document.

    Raises
    ------
    ConfigurationError
        When the environment has no document.
    StoreUnavailableError
        When the platform gave no usable answer.
    """
    stored = store.get(DOCUMENT_KIND, environment)
    if stored is None:
        fault = Fault(
            "",
            "",
            f"the environment {environment!r} has no document",
            "apply one with --base-version 0",
        )
        raise ConfigurationError([fault])
    return stored


def read_moves(store, environment):
    """Return the record of each service's latest move, sorted by service.

    Raises
    ------
    MoveFormatError
        When a record of the environment is malformed.
    StoreUnavailableError
        When the platform gave no usable answer.
    """
    _revision, items = store.list_objects(MOVE_KIND)
    found = [
        moves.decode(item.value, item.version)
        for item in items
        if item.name.startswith(f"{environment}.")
    ]
    named = [move for move in found if move.environment == environment]
    return sorted(named, key=lambda move: move.service)


def encode_activation_record(environment, version, digest, instances):
    """Return the value of the object that holds an activation record.

    Parameters
    ----------
    environment : str
        Name of the environment.
    version : int
        Version of the stored document.
    digest : str
        Digest of the document.
    instances : iterable of str
        Ready instances on which the version was active.
    """
    record = {
        "environment": environment,
        "version": version,
        "digest": digest,
        "instances": sorted(instances),
    }
    return json.dumps(record, sort_keys=True).encode()


def read_activation_digest(store, environment, version):
    """Return the digest in the activation record of a version.

    The result is empty when the record is missing or malformed.

    Raises
    ------
    StoreUnavailableError
        When the platform gave no usable answer.
    """
    stored = store.get(ACTIVATION_KIND, f"{environment}-{version}")
    if stored is None:
        return ""
    try:
        return str(decoding.decode_json(stored.value)["digest"])
    except (ValueError, KeyError, TypeError):
        return ""
