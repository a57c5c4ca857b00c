"""Codec of the platform's dialect of the object API."""

import json
import urllib.parse

from mulberryhollow.protocol import object_api
from mulberryhollow.state import objects

__all__ = ["PlatformDialect"]

_PATH = "/v1/objects"
_RECREATED = frozenset({"rollouts"})
"""Kinds whose objects are told from earlier ones of the same name."""

_PRODUCT_SPEC_FIELDS = {"change", "value"}


class PlatformDialect(object_api.ObjectDialect):
    """Encodes calls and decodes answers of the platform's store.

    Notes
    -----
    An object that the product writes holds its content as text and the id
    of the change that wrote it. The id resolves a write of unknown
    outcome. The value of an object of another writer is the bytes of its
    JSON.
    """

    def encode_get(self, kind, name, is_stale_ok):
        """Return the call that reads one object."""
        query = {"serializable": 1} if is_stale_ok else {}
        return object_api.StoreCall("GET", _make_path(kind, name, query))

    def decode_get(self, kind, name, answer):
        """Return the StoredObject in the answer to a read."""
        return _decode_object(kind, json.loads(answer.data))

    def encode_list(self, kind, after, is_stale_ok):
        """Return the call that lists one page of the objects of a kind."""
        query = {"serializable": 1} if is_stale_ok else {}
        if after:
            query["after"] = after
        return object_api.StoreCall("GET", _make_path(kind, "", query))

    def decode_list(self, kind, answer):
        """Return the ObjectPage in the answer to a list call."""
        document = json.loads(answer.data)
        items = tuple(_decode_object(kind, item) for item in document["items"])
        has_more = bool(document.get("hasMore")) and bool(items)
        return object_api.ObjectPage(
            # "at" is the store's revision, not a time.
            int(document["at"]),
            items,
            items[-1].name if has_more else "",
        )

    def encode_watch(self, kind, after, wait_s):
        """Return the long-poll call for the changes after a revision."""
        query = {"watch": after, "waitMs": int(wait_s * 1000)}
        return object_api.StoreCall("GET", _make_path(kind, "", query))

    def decode_watch(self, kind, answer):
        """Return the ObjectPage in the answer to a watch call."""
        document = json.loads(answer.data)
        items = tuple(
            _decode_object(kind, event["object"], bool(event.get("deleted")))
            for event in document["events"]
        )
        return object_api.ObjectPage(int(document["at"]), items)

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
        try:
            return int(json.loads(answer.data)["metadata"]["revision"])
        except (ValueError, KeyError, TypeError):
            return 0


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


def _decode_object(kind, item, is_deleted=False):
    """Return the StoredObject for the JSON object of an answer."""
    metadata = item["metadata"]
    spec = item.get("spec")
    change_id = ""
    if isinstance(spec, dict) and spec.keys() == _PRODUCT_SPEC_FIELDS:
        change_id = str(spec["change"])
        value = str(spec["value"]).encode()
    else:
        value = json.dumps(spec).encode()
    return objects.StoredObject(
        kind,
        str(metadata["name"]),
        # "revision" is the store's revision at the last change of the object.
        int(metadata["revision"]),
        value,
        change_id,
        is_deleted or bool(metadata.get("deletionPending")),
        json.dumps(item.get("status")).encode(),
        json.dumps(metadata.get("created")) if kind in _RECREATED else "",
    )
