"""Client of the platform's object API."""

import logging
import threading
import uuid

import urllib3

from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import object_api
from mulberryhollow.state import decoding
from mulberryhollow.state import objects
from mulberryhollow.transport import bounded_pool

__all__ = ["StoreClient", "make_change_id", "put_and_resolve", "split_address"]

CONNECT_TIMEOUT_S = 1.0
"""Timeout of the TCP handshake, in seconds."""

_MAX_CONNECTIONS = 8
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_REMEDY = "retry when the platform responds again"

RESTORED = events.declare(
    9014,
    logging.WARNING,
    "the store has come back from an older copy: what was written since the "
    "copy is lost",
    "look for orders and configurations that have to be written again",
)


def make_change_id():
    """Return an id for one write, unique over all instances."""
    return uuid.uuid4().hex


def put_and_resolve(store, kind, name, value, expected_version):
    """Write an object; look the outcome up when the response is lost.

    Parameters
    ----------
    store : StoreClient
        Store to write to.
    kind, name : str
        Kind and name of the object.
    value : bytes
        New content of the object.
    expected_version : int
        Version read before; 0 to create the object.

    Returns
    -------
    WriteApplied or WriteRejected
        Outcome of the write.

    Raises
    ------
    StoreUnavailableError
        When the response was lost and the outcome cannot be looked up.
    """
    change_id = make_change_id()
    outcome = store.put(kind, name, value, expected_version, change_id)
    if isinstance(outcome, objects.WriteOutcomeUnknown):
        return store.resolve_write(kind, name, change_id)
    return outcome


def split_address(address):
    """Return (host, port) of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class StoreClient:
    """Client for reads, conditional writes and watches of objects.

    Parameters
    ----------
    address : str
        ``host:port`` of the object API.
    timeout_s : float
        Timeout of one call, in seconds; a watch adds its wait time.
    dialect : ObjectDialect or None
        Encodes requests and decodes responses; the default dialect of this
        project when None.

    Attributes
    ----------
    era : int or None
        Highest era of the store that an answer has named; None before.
    """

    def __init__(self, address, timeout_s=2.0, dialect=None):
        host, port = split_address(address)
        self._timeout_s = timeout_s
        self._dialect = dialect or object_api.ObjectDialect()
        self._pool = bounded_pool.BoundedPool(
            host, port, maxsize=_MAX_CONNECTIONS, retries=False
        )
        self._lock = threading.Lock()
        self.era = None

    def get(self, kind, name, is_stale_ok=False):
        """Read one object.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        is_stale_ok : bool
            Whether a result that is seconds old is acceptable.

        Returns
        -------
        StoredObject or None
            None when there is no such object.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        call = self._dialect.encode_get(kind, name, is_stale_ok)
        response = self._read(call)
        if response.status == _NOT_FOUND:
            return None
        self._check_status(response)
        return _decode(
            "object", self._dialect.decode_get, kind, name, response
        )

    def list_objects(self, kind, is_stale_ok=False):
        """Read every object of a kind.

        Parameters
        ----------
        kind : str
            Kind of object.
        is_stale_ok : bool
            Whether a result that is seconds old is acceptable.

        Returns
        -------
        tuple
            Revision of the store as of the first page, so that a watch
            from this revision misses nothing, and the list of
            StoredObject.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        found = []
        revision = None
        after = ""
        asked = {after}
        while revision is None or after:
            call = self._dialect.encode_list(kind, after, is_stale_ok)
            page = self._read_page(kind, call, self._dialect.decode_list)
            found.extend(page.items)
            revision = page.revision if revision is None else revision
            after = page.next_after
            if after and after in asked:
                raise _make_unavailable_error("a list without an end")
            asked.add(after)
        return revision, found

    def watch(self, kind, after, wait_s):
        """Wait for changes of a kind later than a revision.

        Parameters
        ----------
        kind : str
            Kind of object.
        after : int
            Revision already seen.
        wait_s : float
            Longest time that the platform waits for a change, in seconds.

        Returns
        -------
        tuple
            Revision of the store and the list of changed StoredObject.

        Raises
        ------
        HistoryLostError
            When the store has dropped changes later than the revision.
        StoreUnavailableError
            When the platform gave no usable response.
        """
        call = self._dialect.encode_watch(kind, after, wait_s)
        page = self._read_page(kind, call, self._dialect.decode_watch, wait_s)
        return page.revision, list(page.items)

    def put(self, kind, name, value, expected_version, change_id):
        """Write an object if its version is the expected one.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        value : bytes
            New content of the object.
        expected_version : int
            Version read before; 0 to create the object.
        change_id : str
            Unique id of this write.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            Never raises for an unreachable platform.
        """
        return self._write(
            self._dialect.encode_put(
                kind, name, value, expected_version, change_id
            )
        )

    def put_status(self, kind, name, status, expected_version):
        """Write the status of an object if its version is the expected one.

        Only dialects of stores that support a status encode this call.

        Parameters
        ----------
        kind, name : str
            Kind and name of the object.
        status : dict
            New status. It names the change that writes it, which resolves an
            unknown outcome.
        expected_version : int
            Version of the object that was read before.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            As for `put`.
        """
        return self._write(
            self._dialect.encode_put_status(
                kind, name, status, expected_version
            )
        )

    def delete(self, kind, name, expected_version):
        """Remove an object if its version is the expected one.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            As for `put`; an absent object counts as a conflict.
        """
        return self._write(
            self._dialect.encode_delete(kind, name, expected_version)
        )

    def resolve_write(self, kind, name, change_id):
        """Find out whether a write of unknown outcome took effect.

        Returns
        -------
        WriteApplied or WriteRejected
            An object with another change id counts as a conflict, since
            a later write may have replaced this one.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        found = self.get(kind, name)
        if found is None:
            return objects.WriteRejected("conflict")
        if found.change_id == change_id:
            return objects.WriteApplied(found.version)
        return objects.WriteRejected("conflict", found.version)

    def _read(self, call, wait_s=0.0):
        """Return the response to a call that changes nothing."""
        try:
            return self._send(call, wait_s)
        except urllib3.exceptions.HTTPError as error:
            raise _make_unavailable_error(str(error)) from error

    def _read_page(self, kind, call, decode, wait_s=0.0):
        """Return the ObjectPage of a list or watch call."""
        response = self._read(call, wait_s)
        if response.status == _GONE:
            raise errors.HistoryLostError(
                f"the object API has dropped the change history of {kind}",
                "list all objects of the kind again",
            )
        self._check_status(response)
        return _decode("list", decode, kind, response)

    def _write(self, call):
        """Return the outcome of a call that changes an object."""
        try:
            response = self._send(call)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return objects.WriteRejected("unavailable")
        except urllib3.exceptions.HTTPError as error:
            return objects.WriteOutcomeUnknown(str(error))
        return self._dialect.classify_write(response)

    def _send(self, call, wait_s=0.0):
        """Return the response to a call, whatever its status."""
        read_s = self._timeout_s + wait_s
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, read_s), read=read_s
        )
        response = self._pool.request(
            call.method,
            call.path,
            body=call.body,
            headers=call.headers,
            timeout=timeout,
        )
        self._observe_era(self._dialect.decode_era(response))
        return response

    def _observe_era(self, era):
        """Record the era that an answer names, or None; log when it rises."""
        with self._lock:
            known = self.era
            if era is None or (known is not None and era <= known):
                return
            self.era = era
        if known is not None:
            events.log(RESTORED, era=era, previous=known)

    def _check_status(self, response):
        """Raise StoreUnavailableError for a status other than 200."""
        if response.status != _OK:
            raise _make_unavailable_error(f"status {response.status}")


def _decode(what, decode, *arguments):
    """Return the decoded answer of the object API.

    Raises
    ------
    StoreUnavailableError
        When it is malformed.
    """
    try:
        with decoding.convert_errors(what):
            return decode(*arguments)
    except ValueError as error:
        raise _make_unavailable_error(str(error)) from error


def _make_unavailable_error(reason):
    """Return the error for an object API without a usable response."""
    return errors.StoreUnavailableError(
        f"the object API gave no usable response: {reason}", _REMEDY
    )
