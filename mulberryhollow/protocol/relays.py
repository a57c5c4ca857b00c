"""Codec of the stored objects that instances relay to each other."""

import attrs

from mulberryhollow.state import object_log
from mulberryhollow.state import objects

__all__ = ["RelayedKind", "decode_relayed", "encode_relayed"]

_VALUE_ENCODING = "latin-1"
"""Encoding that maps each byte of a stored value to one character."""


@attrs.frozen
class RelayedKind:
    """What an instance knows of one kind of stored objects.

    Parameters
    ----------
    changes : ObjectChanges or None
        Changes since the revision of the asking instance.
    contact_age_s : float
        Time since the store answered, in seconds.
    recovery_age_s : float or None
        Time since the store recovered from an outage, in seconds; None if
        it never did.
    """

    changes: object_log.ObjectChanges | None
    contact_age_s: float
    recovery_age_s: float | None = None


def encode_relayed(relayed):
    """Return a `RelayedKind` as a JSON-compatible dict."""
    fields = {
        "contact_age_s": relayed.contact_age_s,
        "recovery_age_s": relayed.recovery_age_s,
    }
    changes = relayed.changes
    if changes is not None:
        fields["changes"] = {
            "base": changes.base,
            "revision": changes.revision,
            "is_complete": changes.is_complete,
            "items": [_encode_object(each) for each in changes.items],
        }
    return fields


def decode_relayed(fields):
    """Return the `RelayedKind` for a decoded dict.

    Raises
    ------
    ValueError
        When the fields are malformed.
    """
    try:
        changes = fields.get("changes")
        return RelayedKind(
            changes and _decode_changes(changes),
            float(fields["contact_age_s"]),
            _decode_optional(fields["recovery_age_s"], float),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed relayed objects: {error!r}") from error


def _decode_changes(fields):
    """Return the ObjectChanges for a decoded dict."""
    return object_log.ObjectChanges(
        _decode_optional(fields["base"], int),
        int(fields["revision"]),
        tuple(map(_decode_object, fields["items"])),
        bool(fields["is_complete"]),
    )


def _decode_optional(value, decode):
    """Return a decoded value; None if it is None."""
    return None if value is None else decode(value)


def _encode_object(item):
    """Return the fields of a StoredObject as a list."""
    value = item.value.decode(_VALUE_ENCODING)
    status = item.status.decode(_VALUE_ENCODING)
    return [
        item.kind,
        item.name,
        item.version,
        value,
        item.change_id,
        item.is_deleted,
        status,
    ]


def _decode_object(fields):
    """Return the StoredObject for a list of its fields."""
    kind, name, version, value, change_id, is_deleted, status = fields
    return objects.StoredObject(
        str(kind),
        str(name),
        int(version),
        value.encode(_VALUE_ENCODING),
        str(change_id),
        bool(is_deleted),
        status.encode(_VALUE_ENCODING),
    )
