"""Objects in the platform's store and the possible outcomes of a write."""

import dataclasses

import attrs

__all__ = [
    "StoredObject",
    "WriteApplied",
    "WriteOutcomeUnknown",
    "WriteRejected",
]


@attrs.frozen
class StoredObject:
    """An object as read from the store.

    Parameters
    ----------
    kind, name : str
        Kind and name, which together identify the object.
    version : int
        Revision of the store at the object's last write; strictly
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
