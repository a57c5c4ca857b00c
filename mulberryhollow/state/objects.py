"""Objects of the platform's store and the three outcomes of a write."""

import dataclasses

import attrs

__all__ = ["Done", "NotDone", "StoredObject", "Unknown"]


@attrs.frozen
class StoredObject:
    """One object as read from the store.

    Parameters
    ----------
    kind, name : str
        Together its identity.
    version : int
        The store's revision of its last write; only grows.
    value : bytes
        Its content, at most one megabyte.
    change_id : str
        The unique id that its last writer gave.
    is_deleted : bool
        Whether a watch reports its removal.
    status : bytes
        What its reader has written beside the content; empty where the
        store keeps no such thing.
    """

    kind: str
    name: str
    version: int
    value: bytes
    change_id: str = ""
    is_deleted: bool = False
    status: bytes = b""


@dataclasses.dataclass(frozen=True)
class Done:
    """The write took effect.

    Parameters
    ----------
    version : int
        Version of the object after the write.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class NotDone:
    """The write certainly did not take effect.

    Parameters
    ----------
    reason : str
        ``conflict`` or ``unavailable``.
    current_version : int
        Version met in the store; 0 when absent or not known.
    """

    reason: str
    current_version: int = 0


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The answer was lost; a re-read by change id settles it.

    Parameters
    ----------
    reason : str
        What was seen.
    """

    reason: str
