"""Pool of connections to endpoints, with a limit on their idle time."""

import contextlib
import queue
import threading

import attrs
import urllib3

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import store
from mulberryhollow.transport import whole_lines

__all__ = ["ConnectionPool", "open_fresh"]

IDLE_LIMIT_S = 15.0
"""Idle time after which a pooled connection is not reused, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout of the TCP handshake, in seconds."""

_MAX_IDLE_PER_ADDRESS = 16


class _Connection(urllib3.connection.HTTPConnection):
    """Connection that takes no answer whose head is not whole."""

    response_class = whole_lines.WholeHeadResponse


@attrs.define
class _Idle:
    """An idle connection, the start of its idle time, and the time limit."""

    connection: object
    idle_since_s: float
    idle_limit_s: float


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
    connection = _Connection(
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
    open_connection : callable
        ``open_connection(address, timeout_s)`` opens a connection, like
        `open_fresh`.
    is_usable : callable
        ``is_usable(connection)`` returns whether an idle connection may
        carry another request.
    max_idle : int
        Largest number of idle connections to one address.
    """

    def __init__(
        self,
        clock,
        open_connection=open_fresh,
        is_usable=lambda connection: True,
        max_idle=_MAX_IDLE_PER_ADDRESS,
    ):
        self._clock = clock
        self._open_connection = open_connection
        self._is_usable = is_usable
        self._max_idle = max_idle
        self._idle = {}
        self._lock = threading.Lock()

    def acquire(self, address, timeout_s, pooled_timeout_s):
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
            return self._open_connection(address, timeout_s), True
        pooled.timeout = min(timeout_s, pooled_timeout_s)
        pooled.sock.settimeout(pooled.timeout)
        return pooled, False

    def release(self, address, connection, idle_limit_s=IDLE_LIMIT_S):
        """Put a connection back whose response has been read to its end.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        connection : object
            The connection.
        idle_limit_s : float
            Idle time after which the connection is not used again, in
            seconds.
        """
        if connection.sock is None:
            return
        idle_queue = self._get_idle_queue(address)
        idle_limit_s = min(idle_limit_s, IDLE_LIMIT_S)
        try:
            idle_queue.put_nowait(
                _Idle(connection, self._clock.now_s(), idle_limit_s)
            )
        except queue.Full:
            connection.close()

    def close_idle(self, address):
        """Close every idle connection to an address."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._get_idle_queue(address).get_nowait().connection.close()

    def _pop(self, address):
        """Return a usable connection within its idle time limit, or None.

        Connections that are found unusable or over the limit are closed.
        """
        idle_queue = self._get_idle_queue(address)
        with contextlib.suppress(queue.Empty):
            while True:
                idle = idle_queue.get_nowait()
                age_s = self._clock.now_s() - idle.idle_since_s
                is_open = idle.connection.sock is not None
                is_reusable = is_open and age_s < idle.idle_limit_s
                if is_reusable and self._is_usable(idle.connection):
                    return idle.connection
                idle.connection.close()
        return None

    def _get_idle_queue(self, address):
        """Return the queue of idle connections of an address."""
        with self._lock:
            if address not in self._idle:
                self._idle[address] = queue.LifoQueue(self._max_idle)
            return self._idle[address]
