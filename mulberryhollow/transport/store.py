"""Adapter to the platform's object API."""

import base64
import binascii
import json
import uuid

import urllib3

from mulberryhollow import errors
from mulberryhollow.state import objects

__all__ = ["StoreClient", "make_change_id", "split_address"]

_CONNECTIONS = 8
_OK = 200
_NOT_FOUND = 404
_REMEDY = "retry after the platform answers again"


def make_change_id():
    """Return an id for one write, unique over all instances."""
    return uuid.uuid4().hex


def split_address(address):
    """Return (host, port) of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class StoreClient:
    """Reads, conditional writes and watches of objects.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    timeout_s : float
        Longest time of one call, in seconds; a watch adds its wait.
    """

    def __init__(self, address, timeout_s=2.0):
        host, port = split_address(address)
        self._timeout_s = timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=_CONNECTIONS, retries=False
        )

    def get(self, kind, name):
        """Read one object.

        Returns
        -------
        StoredObject or None
            None when there is no such object.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        answer = self._read(f"/v1/objects/{kind}/{name}")
        if answer.status == _NOT_FOUND:
            return None
        self._check(answer)
        try:
            version = int(answer.headers["X-Version"])
        except (KeyError, ValueError) as error:
            raise _unavailable("an object has no version") from error
        change_id = answer.headers.get("X-Change-Id", "")
        return objects.StoredObject(
            kind, name, version, answer.data, change_id
        )

    def list_objects(self, kind):
        """Read every object of a kind.

        Returns
        -------
        tuple
            The store's revision and the list of StoredObject.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        return self._read_items(kind, f"/v1/objects/{kind}", 0.0)

    def watch(self, kind, after, wait_s):
        """Wait for changes of a kind later than a revision.

        Parameters
        ----------
        kind : str
            Kind of object.
        after : int
            Revision already seen.
        wait_s : float
            Longest wait at the platform, in seconds.

        Returns
        -------
        tuple
            The store's revision and the list of changed StoredObject.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        path = f"/v1/watch?kind={kind}&after={after}&wait_s={wait_s}"
        return self._read_items(kind, path, wait_s)

    def put(self, kind, name, value, expected_version, change_id):
        """Write an object if its version is the expected one.

        Parameters
        ----------
        kind, name : str
            The object.
        value : bytes
            Its new content.
        expected_version : int
            Version read before; 0 to create it.
        change_id : str
            Unique id of this write.

        Returns
        -------
        Done, NotDone or Unknown
            Never raises for an unreachable platform.
        """
        headers = {"X-Change-Id": change_id}
        headers.update(_make_condition(expected_version))
        path = f"/v1/objects/{kind}/{name}"
        return self._write("PUT", path, value, headers)

    def delete(self, kind, name, expected_version):
        """Remove an object if its version is the expected one.

        Returns
        -------
        Done, NotDone or Unknown
            As for put; an absent object counts as a conflict.
        """
        headers = _make_condition(expected_version)
        path = f"/v1/objects/{kind}/{name}"
        return self._write("DELETE", path, None, headers)

    def settle(self, kind, name, change_id):
        """Find out whether a write of unknown outcome took effect.

        Returns
        -------
        Done or NotDone
            An object with another change id counts as a conflict, since
            a later write may hide ours.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        found = self.get(kind, name)
        if found is None:
            return objects.NotDone("conflict")
        if found.change_id == change_id:
            return objects.Done(found.version)
        return objects.NotDone("conflict", found.version)

    def _read(self, path, wait_s=0.0):
        try:
            return self._pool.request(
                "GET", path, timeout=self._timeout_s + wait_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable(str(error)) from error

    def _read_items(self, kind, path, wait_s):
        answer = self._read(path, wait_s)
        self._check(answer)
        try:
            document = json.loads(answer.data)
            items = [_decode_item(kind, item) for item in document["items"]]
            return int(document["revision"]), items
        except (ValueError, KeyError, TypeError) as error:
            raise _unavailable(f"malformed list: {error}") from error

    def _write(self, method, path, body, headers):
        try:
            answer = self._pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=self._timeout_s,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return objects.NotDone("unavailable")
        except urllib3.exceptions.HTTPError as error:
            return objects.Unknown(str(error))
        return _classify_write(answer)

    def _check(self, answer):
        if answer.status != _OK:
            raise _unavailable(f"status {answer.status}")


def _make_condition(expected_version):
    """Return the header that makes a write conditional."""
    if expected_version:
        return {"If-Match": str(expected_version)}
    return {"If-None-Match": "*"}


def _classify_write(answer):
    """Return the outcome that an answer to a write stands for."""
    match answer.status:
        case 200 | 201:
            return _read_done(answer)
        case 412:
            return objects.NotDone("conflict", _read_version(answer))
        case 404:
            return objects.NotDone("conflict")
        case status if 400 <= status < 500:
            return objects.NotDone(f"refused with status {status}")
        case status:
            return objects.Unknown(f"status {status}")


def _read_done(answer):
    """Return Done, or Unknown when the answer names no version."""
    version = _read_version(answer)
    return objects.Done(version) if version else objects.Unknown("no version")


def _read_version(answer):
    """Return the version in an answer's body; 0 when there is none."""
    try:
        return int(json.loads(answer.data)["version"])
    except (ValueError, KeyError, TypeError):
        return 0


def _decode_item(kind, item):
    """Return the StoredObject that one item of a list stands for."""
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


def _unavailable(reason):
    """Return the error for a platform that gave no usable answer."""
    return errors.StoreUnavailableError(
        f"the object API is not usable: {reason}", _REMEDY
    )
