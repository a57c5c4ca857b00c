"""Codec of the platform's dialect of the object API."""

import contextlib
import json
import logging
import urllib.parse

from mulberryhollow import events
from mulberryhollow.protocol import object_api
from mulberryhollow.state import decoding
from mulberryhollow.state import objects

__all__ = ["PlatformDialect"]

_PATH = "/v1/objects"
_RECREATED = frozenset({"rollouts"})
"""Kinds whose objects are told from earlier ones of the same name."""

_PRODUCT_SPEC_FIELDS = {"change", "value"}

_OBJECT_LEVELS = 2
"""Levels of an object that are decoded apart: itself and its fields."""

_LIST_LEVELS = 2 + _OBJECT_LEVELS
"""Levels of a page that are decoded apart: itself and its list, also."""

_WATCH_LEVELS = 3 + _OBJECT_LEVELS
"""Levels of a watch's answer that are decoded apart: its events, also."""

UNREADABLE = events.declare(
    9013,
    logging.WARNING,
    "an object without a readable name or revision is left out of what the "
    "store lists; logged for the first one only",
    "check the program that wrote the objects of that kind",
)


class PlatformDialect(object_api.ObjectDialect):
    """Encodes calls and decodes answers of the platform's store.

    Notes
    -----
    An object that the product writes holds its content as text and the id
    of the change that wrote it. The id resolves a write of unknown
    outcome. The value of an object of another writer is the bytes of its
    JSON; it is empty if they cannot be decoded, so that one such object does
    not keep the others from being read.
    """

    era_header = "Store-Era"

    def __init__(self):
        self._has_logged = False

    def encode_get(self, kind, name, is_stale_ok):
        """Return the call that reads one object."""
        query = {"serializable": 1} if is_stale_ok else {}
        return object_api.StoreCall("GET", _make_path(kind, name, query))

    def decode_get(self, kind, name, answer):
        """Return the StoredObject in the answer to a read."""
        return _decode_object(
            kind, decoding.decode_json_parts(answer.data, _OBJECT_LEVELS)
        )

    def encode_list(self, kind, after, is_stale_ok):
        """Return the call that lists one page of the objects of a kind."""
        query = {"serializable": 1} if is_stale_ok else {}
        if after:
            query["after"] = after
        return object_api.StoreCall("GET", _make_path(kind, "", query))

    def decode_list(self, kind, answer):
        """Return the ObjectPage in the answer to a list call."""
        document = decoding.decode_json_parts(answer.data, _LIST_LEVELS)
        listed = document["items"]
        has_more = bool(document.get("hasMore")) and bool(listed)
        return object_api.ObjectPage(
            # "at" is the store's revision, not a time.
            decoding.get_integer(document, "at"),
            self._decode_all(kind, ((item, False) for item in listed)),
            _get_last_name(listed) if has_more else "",
        )

    def encode_watch(self, kind, after, wait_s):
        """Return the long-poll call for the changes after a revision."""
        query = {"watch": after, "waitMs": int(wait_s * 1000)}
        return object_api.StoreCall("GET", _make_path(kind, "", query))

    def decode_watch(self, kind, answer):
        """Return the ObjectPage in the answer to a watch call."""
        document = decoding.decode_json_parts(answer.data, _WATCH_LEVELS)
        items = self._decode_all(
            kind,
            (
                (event["object"], bool(event.get("deleted")))
                for event in document["events"]
            ),
        )
        return object_api.ObjectPage(
            decoding.get_integer(document, "at"), items
        )

    def encode_put(self, kind, name, value, expected_version, change_id):
        """Return the call that writes an object if its version matches."""
        spec = {"change": change_id, "value": value.decode()}
        if expected_version:
            metadata = {"name": name, "revision": expected_version}
            return _make_write("PUT", _make_path(kind, name), metadata, spec)
        return _make_write("POST", _make_path(kind), {"name": name}, spec)

    def encode_put_status(self, kind, name, status, expected_version):
        """Return the call that writes a status if the version matches."""
        metadata = {"name": name, "revision": expected_version}
        body = json.dumps({"metadata": metadata, "status": status}).encode()
        path = f"{_make_path(kind, name)}/status"
        return object_api.StoreCall("PUT", path, body, object_api.JSON_HEADERS)

    def encode_delete(self, kind, name, expected_version):
        """Return the call that deletes an object if its version matches."""
        path = _make_path(kind, name, {"revision": expected_version})
        return object_api.StoreCall("DELETE", path)

    def classify_write(self, answer):
        """Return the outcome of a write: applied, rejected or unknown."""
        match answer.status:
            case 200 | 201:
                return self.decode_write_applied(answer)
            case 409:
                return objects.WriteRejected(
                    "conflict", self.decode_written_version(answer)
                )
            case 404:
                return objects.WriteRejected("conflict")
            case 429 | 503:
                return objects.WriteRejected("unavailable")
            case status if 400 <= status < 500:
                return objects.WriteRejected(f"refused with status {status}")
            case status:
                return objects.WriteOutcomeUnknown(f"status {status}")

    def decode_written_version(self, answer):
        """Return the version in the answer to a write; 0 if it has none."""
        with (
            contextlib.suppress(ValueError),
            decoding.convert_errors("answer to a write"),
        ):
            fields = decoding.decode_json_parts(answer.data, _OBJECT_LEVELS)
            return decoding.get_integer(
                fields["metadata"], "revision", highest=objects.MAX_REVISION
            )
        return 0

    def _decode_all(self, kind, items):
        """Return the StoredObject of each (item, whether it was deleted)."""
        found = []
        for item, is_deleted in items:
            try:
                found.append(_decode_object(kind, item, is_deleted))
            except ValueError as error:
                self._log_unreadable(kind, error)
        return tuple(found)

    def _log_unreadable(self, kind, error):
        """Log the first object that cannot be told from others."""
        if not self._has_logged:
            self._has_logged = True
            events.log(UNREADABLE, kind=kind, reason=str(error))


def _make_path(kind, name="", query=None):
    """Return the path and query of a kind or an object."""
    path = f"{_PATH}/{kind}"
    if name:
        path = f"{path}/{urllib.parse.quote(name, safe='')}"
    if query:
        path = f"{path}?{urllib.parse.urlencode(query)}"
    return path


def _make_write(method, path, metadata, spec):
    """Return the call that writes an object."""
    body = json.dumps({"metadata": metadata, "spec": spec}).encode()
    return object_api.StoreCall(method, path, body, object_api.JSON_HEADERS)


@decoding.convert_errors("stored object")
def _decode_object(kind, item, is_deleted=False):
    """Return the StoredObject for the JSON object of an answer.

    Raises
    ------
    ValueError
        When its name or its revision cannot be read.
    """
    metadata = item["metadata"]
    change_id, value = _decode_spec(item.get("spec"))
    return objects.StoredObject(
        kind,
        decoding.check_name(metadata["name"], "name"),
        # "revision" is the store's revision at the last change of the object.
        decoding.get_integer(
            metadata, "revision", highest=objects.MAX_REVISION
        ),
        value,
        change_id,
        is_deleted or bool(metadata.get("deletionPending")),
        _encode_part(item.get("status")),
        _encode_part(metadata.get("created")).decode()
        if kind in _RECREATED
        else "",
    )


def _get_last_name(items):
    """Return the name of the last object of a page, also an odd one.

    Raises an error when the next page cannot be asked for.
    """
    name = items[-1]["metadata"]["name"]
    if not name.encode():
        raise ValueError("the last object of a page has no name")
    return name


def _decode_spec(spec):
    """Return the change id and the value of an object."""
    is_own = isinstance(spec, dict) and spec.keys() == _PRODUCT_SPEC_FIELDS
    if is_own and all(isinstance(each, str) for each in spec.values()):
        with contextlib.suppress(UnicodeEncodeError):
            return spec["change"], spec["value"].encode()
    return "", _encode_part(spec)


def _encode_part(value):
    """Return a part of an object as JSON; empty if it is unreadable."""
    try:
        return decoding.encode_json(value)
    except ValueError:
        return b""
