"""Connections to endpoints, with faults as tagged outcomes."""

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
"""Idle age beyond which a pooled connection is not used, in seconds."""

CONNECT_TIMEOUT_S = 1.0
"""Longest time for the handshake of a connection, in seconds."""

_PER_ADDRESS = 16


@attrs.define
class _Idle:
    """An idle connection and when it became idle."""

    connection: urllib3.connection.HTTPConnection
    since_s: float


def open_fresh(address, timeout_s):
    """Return a connection whose handshake has just been done.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    timeout_s : float
        Inactivity timeout of the connection, in seconds.

    Raises
    ------
    EndpointError
        NotSent, when there is no connection.
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
    """Idle connections by address, each with a bounded idle age.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, address, timeout_s, pooled_timeout_s):
        """Return (connection, whether it is fresh).

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        timeout_s : float
            Inactivity timeout of a fresh connection, in seconds.
        pooled_timeout_s : float
            Inactivity timeout of a pooled one, in seconds.

        Raises
        ------
        EndpointError
            NotSent, when there is no connection.
        """
        pooled = self._pop(address)
        if pooled is None:
            return open_fresh(address, timeout_s), True
        pooled.timeout = min(timeout_s, pooled_timeout_s)
        pooled.sock.settimeout(pooled.timeout)
        return pooled, False

    def give_back(self, address, connection):
        """Keep a connection whose answer has been read to its end."""
        if connection.sock is None:
            return
        shelf = self._get_shelf(address)
        try:
            shelf.put_nowait(_Idle(connection, self._clock.now_s()))
        except queue.Full:
            connection.close()

    def discard(self, address):
        """Close every idle connection to an address."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._get_shelf(address).get_nowait().connection.close()

    def _pop(self, address):
        """Return an idle connection that is young enough, or None."""
        shelf = self._get_shelf(address)
        with contextlib.suppress(queue.Empty):
            while True:
                idle = shelf.get_nowait()
                age_s = self._clock.now_s() - idle.since_s
                is_open = idle.connection.sock is not None
                if is_open and age_s < IDLE_LIMIT_S:
                    return idle.connection
                idle.connection.close()
        return None

    def _get_shelf(self, address):
        """Return the queue of idle connections of an address."""
        with self._lock:
            if address not in self._idle:
                self._idle[address] = queue.LifoQueue(_PER_ADDRESS)
            return self._idle[address]
