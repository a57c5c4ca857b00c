"""Client of the platform's object API."""

import logging
import threading
import uuid

import attrs
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


def put_and_resolve(
    store, kind, name, value, expected_version, change_prefix=""
):
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
    change_prefix : str
        Beginning of the change id of the write.

    Returns
    -------
    WriteApplied or WriteRejected
        Outcome of the write.

    Raises
    ------
    StoreUnavailableError
        When the response was lost and the outcome cannot be looked up.
    """
    change_id = change_prefix + make_change_id()
    outcome = store.put(kind, name, value, expected_version, change_id)
    if isinstance(outcome, objects.WriteOutcomeUnknown):
        outcome = store.resolve_write(kind, name, change_id)
    return _check_condition(outcome, expected_version)


def split_address(address):
    """Return (host, port) of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _LateAnswerError(urllib3.exceptions.HTTPError):
    """An answer comes from before a restore that a later one has named."""


class StoreClient:
    """Client for reads, conditional writes and watches of objects.

    The versions that it returns and accepts hold the store's era, see
    `objects.make_version`: they never fall, and none is given out twice.

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
        Highest era of the store that an answer has named or that is known by
        `learn_era`; None before.
    on_restored : callable
        Called without arguments once a later era has become known, in the
        thread of that call; does nothing unless it is replaced.
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
        self.on_restored = lambda: None

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
        response, era = self._read(call)
        if response.status == _NOT_FOUND:
            return None
        self._check_status(response)
        found = _decode(
            "object", self._dialect.decode_get, kind, name, response
        )
        return _add_era(found, era)

    def learn_era(self, era):
        """Record an era of the store; log one that is later than the known.

        Parameters
        ----------
        era : int
            Era that an answer has named, to this client or to a trusted
            instance.

        Returns
        -------
        int or None
            Era that was known before; None if none was.
        """
        with self._lock:
            known = self.era
            if known is None or era > known:
                self.era = era
        if known is not None and era > known:
            events.log(RESTORED, era=era, previous=known)
            self.on_restored()
        return known

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
            Version of the store as of the first page, so that a watch
            from this version misses nothing, and the list of
            StoredObject.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable response.
        """
        found = []
        version = None
        after = ""
        asked = {after}
        while version is None or after:
            call = self._dialect.encode_list(kind, after, is_stale_ok)
            page = self._read_page(kind, call, self._dialect.decode_list)
            found.extend(page.items)
            version = page.revision if version is None else version
            if objects.get_era(page.revision) != objects.get_era(version):
                raise _make_unavailable_error("it was restored meanwhile")
            after = page.next_after
            if after and after in asked:
                raise _make_unavailable_error("a list without an end")
            asked.add(after)
        return version, found

    def watch(self, kind, after, wait_s):
        """Wait for changes of a kind later than a version.

        Parameters
        ----------
        kind : str
            Kind of object.
        after : int
            Version of the store already seen; 0 for all objects.
        wait_s : float
            Longest time that the platform waits for a change, in seconds.

        Returns
        -------
        tuple
            Version of the store and the list of changed StoredObject.

        Raises
        ------
        HistoryLostError
            When the store has dropped changes later than the version, or was
            restored since.
        StoreUnavailableError
            When the platform gave no usable response.
        """
        if after and self._is_earlier(after):
            raise _make_history_error(kind)
        call = self._dialect.encode_watch(
            kind, objects.get_revision(after), wait_s
        )
        page = self._read_page(kind, call, self._dialect.decode_watch, wait_s)
        if after and objects.get_era(page.revision) != objects.get_era(after):
            raise _make_history_error(kind)
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
            expected_version,
            lambda revision: self._dialect.encode_put(
                kind, name, value, revision, change_id
            ),
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
            expected_version,
            lambda revision: self._dialect.encode_put_status(
                kind, name, status, revision
            ),
        )

    def delete(self, kind, name, expected_version):
        """Remove an object if its version is the expected one.

        Returns
        -------
        WriteApplied, WriteRejected or WriteOutcomeUnknown
            As for `put`; an absent object counts as a conflict.
        """
        return self._write(
            expected_version,
            lambda revision: self._dialect.encode_delete(kind, name, revision),
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

    def _is_earlier(self, version):
        """Return whether a version is from before the last known restore."""
        return objects.get_era(version) < (self.era or 0)

    def _read(self, call, wait_s=0.0):
        """Return the response to a call that changes nothing, and its era."""
        try:
            return self._send(call, wait_s)
        except urllib3.exceptions.HTTPError as error:
            raise _make_unavailable_error(str(error)) from error

    def _read_page(self, kind, call, decode, wait_s=0.0):
        """Return the ObjectPage of a list or watch call."""
        response, era = self._read(call, wait_s)
        if response.status == _GONE:
            raise _make_history_error(kind)
        self._check_status(response)
        page = _decode("list", decode, kind, response)
        return object_api.ObjectPage(
            _decode("revision", objects.make_version, era, page.revision),
            tuple(_add_era(each, era) for each in page.items),
            page.next_after,
        )

    def _write(self, expected_version, encode):
        """Return the outcome of a call that changes an object.

        A version from before a restore is a conflict: the store may have
        given its revision out again.

        Parameters
        ----------
        expected_version : int
            Version that the object must have; 0 if it must not exist.
        encode : callable
            Given the revision of that version, returns the call.
        """
        if expected_version and self._is_earlier(expected_version):
            return objects.WriteRejected("conflict")
        call = encode(objects.get_revision(expected_version))
        try:
            response, era = self._send(call)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return objects.WriteRejected("unavailable")
        except urllib3.exceptions.HTTPError as error:
            return objects.WriteOutcomeUnknown(str(error))
        outcome = self._dialect.classify_write(response)
        try:
            return _check_condition(
                _add_era_to_outcome(outcome, era), expected_version
            )
        except ValueError as error:
            return objects.WriteOutcomeUnknown(str(error))

    def _send(self, call, wait_s=0.0):
        """Return the response to a call, whatever its status, and its era.

        Raises
        ------
        urllib3.exceptions.HTTPError
            Also for an answer from before a restore that is known already.
        """
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
        return response, self._observe_era(self._dialect.decode_era(response))

    def _observe_era(self, era):
        """Return the era of an answer; record and log one that is new.

        Parameters
        ----------
        era : int or None
            Era that the answer names; None if it names none, which is then
            the known one.
        """
        if era is None:
            return self.era or 0
        known = self.learn_era(era)
        if known is not None and era < known:
            raise _LateAnswerError(f"an answer of era {era} in era {known}")
        return era

    def _check_status(self, response):
        """Raise StoreUnavailableError for a status other than 200."""
        if response.status != _OK:
            raise _make_unavailable_error(f"status {response.status}")


def _add_era(item, era):
    """Return a StoredObject whose version holds the era of the store."""
    if not era:
        return item
    version = _decode("object", objects.make_version, era, item.version)
    return attrs.evolve(item, version=version)


def _add_era_to_outcome(outcome, era):
    """Return the outcome of a write, whose version holds the era.

    Raises
    ------
    ValueError
        If its revision is out of range.
    """
    match outcome:
        case objects.WriteApplied(revision):
            return objects.WriteApplied(objects.make_version(era, revision))
        case objects.WriteRejected(reason, revision) if revision:
            version = objects.make_version(era, revision)
            return objects.WriteRejected(reason, version)
    return outcome


def _check_condition(outcome, expected_version):
    """Return the outcome of a conditional write, checked for its era.

    A write that the store applied in a later era than that of the expected
    version met another object's revision by chance.
    """
    match outcome:
        case objects.WriteApplied(version) if expected_version and (
            objects.get_era(version) != objects.get_era(expected_version)
        ):
            return objects.WriteRejected("conflict", version)
    return outcome


def _make_history_error(kind):
    """Return the error for changes that the store does not have."""
    return errors.HistoryLostError(
        f"the object API has dropped the change history of {kind}",
        "list all objects of the kind again",
    )


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
