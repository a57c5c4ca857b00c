"""Codec of the product's own dialect of the object API."""

import base64
import binascii

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import objects

__all__ = ["JSON_HEADERS", "ObjectDialect", "ObjectPage", "StoreCall"]

JSON_HEADERS = {"Content-Type": "application/json"}
"""Headers of a call whose body is JSON."""


@attrs.frozen
class StoreCall:
    """One HTTP call of the object API.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query.
    body : bytes or None
        Body of the call; None for a call without one.
    headers : dict
        Headers of the call.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: dict = attrs.field(factory=dict)


@attrs.frozen
class ObjectPage:
    """One page of a list, or the events of a watch.

    Parameters
    ----------
    revision : int
        Revision of the store that the page reflects.
    items : tuple of StoredObject
        The listed or the changed objects.
    next_after : str
        Name after which the next page begins; empty on the last page.
    """

    revision: int
    items: tuple
    next_after: str = ""


class ObjectDialect:
    """Encodes calls and decodes answers of the object API.

    Notes
    -----
    Decoders raise any error that `decoding.convert_errors` knows for an
    answer that cannot be read; the client turns it into its own error.

    Attributes
    ----------
    era_header : str
        Header in which answers state the store's era. It rises each time the
        store comes back from an older copy.
    """

    era_header = "X-Era"

    def decode_era(self, answer):
        """Return the store's era in an answer; None without a usable one."""
        number = decoding.parse_count(answer.headers.get(self.era_header, ""))
        return None if number is None else objects.limit_era(number)

    def encode_get(self, kind, name, is_stale_ok):
        """Return the call that reads one object."""
        return StoreCall("GET", f"/v1/objects/{kind}/{name}")

    def decode_get(self, kind, name, answer):
        """Return the StoredObject in the answer to a read."""
        return objects.StoredObject(
            kind,
            name,
            int(answer.headers["X-Version"]),
            answer.data,
            answer.headers.get("X-Change-Id", ""),
        )

    def encode_list(self, kind, after, is_stale_ok):
        """Return the call that lists one page of the objects of a kind."""
        return StoreCall("GET", f"/v1/objects/{kind}")

    def decode_list(self, kind, answer):
        """Return the ObjectPage in the answer to a list call."""
        fields = decoding.decode_json(answer.data)
        items = tuple(_decode_item(kind, item) for item in fields["items"])
        return ObjectPage(int(fields["revision"]), items)

    def encode_watch(self, kind, after, wait_s):
        """Return the long-poll call for the changes after a revision."""
        path = f"/v1/watch?kind={kind}&after={after}&wait_s={wait_s}"
        return StoreCall("GET", path)

    def decode_watch(self, kind, answer):
        """Return the ObjectPage in the answer to a watch call."""
        return self.decode_list(kind, answer)

    def encode_put(self, kind, name, value, expected_version, change_id):
        """Return the call that writes an object if its version matches."""
        headers = {"X-Change-Id": change_id}
        headers.update(_make_precondition(expected_version))
        path = f"/v1/objects/{kind}/{name}"
        return StoreCall("PUT", path, value, headers)

    def encode_delete(self, kind, name, expected_version):
        """Return the call that deletes an object if its version matches."""
        path = f"/v1/objects/{kind}/{name}"
        return StoreCall(
            "DELETE", path, None, _make_precondition(expected_version)
        )

    def classify_write(self, answer):
        """Return the outcome of a write: applied, rejected or unknown."""
        match answer.status:
            case 200 | 201:
                return self.decode_write_applied(answer)
            case 412:
                return objects.WriteRejected(
                    "conflict", self.decode_written_version(answer)
                )
            case 404:
                return objects.WriteRejected("conflict")
            case status if 400 <= status < 500:
                return objects.WriteRejected(f"refused with status {status}")
            case status:
                return objects.WriteOutcomeUnknown(f"status {status}")

    def decode_written_version(self, answer):
        """Return the version in the answer to a write; 0 if it has none."""
        try:
            with decoding.convert_errors("answer to a write"):
                return int(decoding.decode_json(answer.data)["version"])
        except ValueError:
            return 0

    def decode_write_applied(self, answer):
        """Return WriteApplied, or WriteOutcomeUnknown without a version."""
        version = self.decode_written_version(answer)
        if version:
            return objects.WriteApplied(version)
        return objects.WriteOutcomeUnknown("no version")


def _make_precondition(expected_version):
    """Return the header that makes a write conditional on a version.

    Version 0 is that of an object that does not exist.
    """
    if expected_version:
        return {"If-Match": str(expected_version)}
    return {"If-None-Match": "*"}


def _decode_item(kind, item):
    """Return the StoredObject in one item of a list or watch."""
    try:
        value = base64.b64decode(item.get("value_base64", ""))
    except binascii.Error as error:
        raise ValueError(str(error)) from error
    return objects.StoredObject(
        kind,
        item["name"],
        int(item["version"]),
        value,
        item.get("change_id", ""),
        bool(item.get("deleted", False)),
    )
