"""Pool of connections to endpoints, with a limit on their idle time."""

import contextlib
import queue
import threading

import attrs
import urllib3

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import store

__all__ = ["ConnectionPool", "open_fresh"]

IDLE_LIMIT_S = 15.0
"""Idle time after which a pooled connection is closed, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of the TCP handshake, in seconds."""

_PER_ADDRESS = 16


@attrs.define
class _Idle:
    """An idle connection, since when it is idle, and its idle time limit."""

    connection: object
    since_s: float
    limit_s: float


def open_fresh(address, timeout_s):
    """Return a new connection whose TCP handshake is done.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    timeout_s : float
        Inactivity timeout of the connection, in seconds.

    Raises
    ------
    EndpointError
        NotSent, when the connection could not be opened.
    """
    host, port = store.split_address(address)
    connection = urllib3.connection.HTTPConnection(
        host, port, timeout=min(timeout_s, CONNECT_TIMEOUT_S)
    )
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        raise errors.EndpointError(streams.NotSent(str(error))) from error
    connection.timeout = timeout_s
    connection.sock.settimeout(timeout_s)
    return connection


class ConnectionPool:
    """Idle connections by address, each with an idle time limit.

    Parameters
    ----------
    clock : Clock
        Source of time.
    open_one : callable
        ``open_one(address, timeout_s)`` opens a connection, like
        `open_fresh`.
    is_usable : callable
        ``is_usable(connection)`` returns whether an idle connection may
        carry another request.
    per_address : int
        Largest number of idle connections to one address.
    """

    def __init__(
        self,
        clock,
        open_one=open_fresh,
        is_usable=lambda connection: True,
        per_address=_PER_ADDRESS,
    ):
        self._clock = clock
        self._open_one = open_one
        self._is_usable = is_usable
        self._per_address = per_address
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, address, timeout_s, pooled_timeout_s):
        """Return a pooled or else a new connection, and whether it is new.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        timeout_s : float
            Inactivity timeout of a new connection, in seconds.
        pooled_timeout_s : float
            Upper bound of the inactivity timeout of a pooled connection,
            in seconds.

        Raises
        ------
        EndpointError
            NotSent, when no connection could be opened.
        """
        pooled = self._pop(address)
        if pooled is None:
            return self._open_one(address, timeout_s), True
        pooled.timeout = min(timeout_s, pooled_timeout_s)
        pooled.sock.settimeout(pooled.timeout)
        return pooled, False

    def give_back(self, address, connection, limit_s=IDLE_LIMIT_S):
        """Return a connection whose response has been read to its end.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        connection : object
            The connection.
        limit_s : float
            Idle time after which the connection is not used again, in
            seconds.
        """
        if connection.sock is None:
            return
        shelf = self._get_shelf(address)
        limit_s = min(limit_s, IDLE_LIMIT_S)
        try:
            shelf.put_nowait(_Idle(connection, self._clock.now_s(), limit_s))
        except queue.Full:
            connection.close()

    def discard(self, address):
        """Close every idle connection to an address."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._get_shelf(address).get_nowait().connection.close()

    def _pop(self, address):
        """Return a usable connection within its idle time limit, or None.

        The connections that fail this check are closed.
        """
        shelf = self._get_shelf(address)
        with contextlib.suppress(queue.Empty):
            while True:
                idle = shelf.get_nowait()
                age_s = self._clock.now_s() - idle.since_s
                is_open = idle.connection.sock is not None
                is_young = is_open and age_s < idle.limit_s
                if is_young and self._is_usable(idle.connection):
                    return idle.connection
                idle.connection.close()
        return None

    def _get_shelf(self, address):
        """Return the queue of idle connections of an address."""
        with self._lock:
            if address not in self._idle:
                self._idle[address] = queue.LifoQueue(self._per_address)
            return self._idle[address]
