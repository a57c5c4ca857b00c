"""Codec of the stored objects that instances relay to each other."""

import math

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import object_log
from mulberryhollow.state import objects

__all__ = [
    "decode_relayed",
    "encode_question",
    "encode_relayed",
    "knows_eras",
    "remove_eras",
]

_ERAS = "eras"
"""Key in a question of an instance whose versions hold the store's era.

Builds that know no eras ignore it, since it is no kind that they follow.
"""

_VALUE_ENCODING = "latin-1"
"""Encoding that maps each byte of a stored value to one character."""


def encode_question(revisions):
    """Return a question for relayed objects, from the revision by kind."""
    return revisions and revisions | {_ERAS: True}


def knows_eras(question):
    """Return whether the instance that asks has versions with eras."""
    return _ERAS in question


def remove_eras(state):
    """Return a `FollowerState` whose versions are the store's revisions.

    Builds without eras compare versions with those that they read in the store
    themselves.
    """
    changes = state.changes
    if changes is None:
        return state
    base = changes.base
    return attrs.evolve(
        state,
        changes=object_log.ObjectChanges(
            base if base is None else objects.get_revision(base),
            objects.get_revision(changes.revision),
            tuple(
                attrs.evolve(each, version=objects.get_revision(each.version))
                for each in changes.items
            ),
            changes.is_complete,
        ),
    )


def encode_relayed(state, now_s):
    """Return a `FollowerState` as a JSON-compatible dict.

    Clocks of instances differ, so its times are encoded as ages.

    Parameters
    ----------
    state : FollowerState
        The state; the store has answered once.
    now_s : float
        Monotonic time of this instance, in seconds.
    """
    has_recovered = math.isfinite(state.recovered_s)
    fields = {
        "contact_age_s": now_s - state.contact_s,
        "recovery_age_s": now_s - state.recovered_s if has_recovered else None,
    }
    changes = state.changes
    if changes is None:
        # The reader is ahead: the revision says in which era this instance is.
        fields["revision"] = state.revision
    else:
        fields["changes"] = {
            "base": changes.base,
            "revision": changes.revision,
            "is_complete": changes.is_complete,
            "items": [_encode_object(each) for each in changes.items],
        }
        created = {
            each.name: each.created for each in changes.items if each.created
        }
        # Builds of level 0 follow no kind whose objects have this field.
        if created:
            fields["changes"]["created"] = created
    return fields


def decode_relayed(fields, now_s):
    """Return the `FollowerState` for a decoded dict.

    Fields that a newer build adds are ignored. Builds without eras name
    no revision unless there are changes.

    Parameters
    ----------
    fields : dict
        The decoded fields.
    now_s : float
        Monotonic time of this instance, in seconds.

    Raises
    ------
    ValueError
        When the fields are malformed.
    """
    with decoding.convert_errors("relayed objects"):
        changes = fields.get("changes")
        recovery_age_s = fields["recovery_age_s"]
        if recovery_age_s is None:
            recovery_age_s = math.inf
        revision = fields.get("revision")
        return object_log.FollowerState(
            changes and _decode_changes(changes),
            now_s - float(fields["contact_age_s"]),
            now_s - float(recovery_age_s),
            None if revision is None else int(revision),
        )


def _decode_changes(fields):
    """Return the ObjectChanges for a decoded dict."""
    base = fields["base"]
    created = fields.get("created", {})
    return object_log.ObjectChanges(
        None if base is None else int(base),
        int(fields["revision"]),
        tuple(_decode_object(each, created) for each in fields["items"]),
        bool(fields["is_complete"]),
    )


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


def _decode_object(fields, created):
    """Return the StoredObject for a list of its fields.

    Parameters
    ----------
    fields : list
        The fields.
    created : dict
        When each object was created, by its name, if the store says so.
    """
    kind, name, version, value, change_id, is_deleted, status, *_ = fields
    return objects.StoredObject(
        str(kind),
        str(name),
        int(version),
        value.encode(_VALUE_ENCODING),
        str(change_id),
        bool(is_deleted),
        status.encode(_VALUE_ENCODING),
        str(created.get(str(name), "")),
    )
