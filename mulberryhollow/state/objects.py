"""Objects in the platform's store and the possible outcomes of a write."""

import dataclasses

import attrs

__all__ = [
    "MAX_REVISION",
    "StoredObject",
    "WriteApplied",
    "WriteOutcomeUnknown",
    "WriteRejected",
    "get_era",
    "get_revision",
    "limit_era",
    "make_version",
]

_REVISION_BITS = 40

MAX_REVISION = 2**_REVISION_BITS - 1
"""Highest revision of the store that a version can hold."""

_ERA_BITS = 22


def make_version(era, revision):
    """Return the version for a revision that the store gave out in an era.

    A store that comes back from an older copy begins a new era and gives its
    revisions out again. Versions of a later era are higher than all earlier
    ones; those of a store without eras are its revisions.

    Parameters
    ----------
    era : int
        The era, see `limit_era`; 0 for a store that names none.
    revision : int
        The revision.

    Raises
    ------
    ValueError
        If the revision is out of range.
    """
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"revision {revision} is out of range")
    return era << _REVISION_BITS | revision


def limit_era(number):
    """Return the era for the number by which a store names it.

    Eras rise by one. Their lower bits suffice to order them, and versions
    have to fit into the 64 bits that peers exchange.
    """
    return number % 2**_ERA_BITS


def get_era(version):
    """Return the era of the store in which a version was given out."""
    return version >> _REVISION_BITS


def get_revision(version):
    """Return the revision that the store calls a version, within its era."""
    return version & MAX_REVISION


@attrs.frozen
class StoredObject:
    """An object as read from the store.

    Parameters
    ----------
    kind, name : str
        Kind and name, which together identify the object.
    version : int
        Version of the object's last write, see `make_version`; strictly
        increasing.
    value : bytes
        Content, at most one megabyte.
    change_id : str
        Unique id of the last write, chosen by the writer.
    is_deleted : bool
        Whether a watch has reported that the object was deleted.
    status : bytes
        Status written beside the content by the object's reader; empty if
        the store does not support a status.
    created : str
        When the object was created, as the store represents it; tells it
        from a later object of the same name. Empty if the store does not say.
    """

    kind: str
    name: str
    version: int
    value: bytes
    change_id: str = ""
    is_deleted: bool = False
    status: bytes = b""
    created: str = ""


@dataclasses.dataclass(frozen=True)
class WriteApplied:
    """The write was applied.

    Parameters
    ----------
    version : int
        Version of the object after the write.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class WriteRejected:
    """The write was definitely not applied.

    Parameters
    ----------
    reason : str
        ``conflict``, ``unavailable``, or a description of the refusal.
    current_version : int
        Version of the object found in the store; 0 if the object is absent
        or the version is unknown.
    """

    reason: str
    current_version: int = 0


@dataclasses.dataclass(frozen=True)
class WriteOutcomeUnknown:
    """The response was lost, so the write may or may not have been applied.

    Reading the object again and comparing the change id resolves the outcome.

    Parameters
    ----------
    reason : str
        Description of the failure.
    """

    reason: str
