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

    connection: object
    since_s: float
    limit_s: float


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
    open_one : callable
        ``open_one(address, timeout_s)`` opens a connection, as
        `open_fresh`.
    is_usable : callable
        Whether an idle connection may carry another request.
    per_address : int
        Idle connections that are kept for one address.
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
            return self._open_one(address, timeout_s), True
        pooled.timeout = min(timeout_s, pooled_timeout_s)
        pooled.sock.settimeout(pooled.timeout)
        return pooled, False

    def give_back(self, address, connection, limit_s=IDLE_LIMIT_S):
        """Keep a connection whose answer has been read to its end.

        Parameters
        ----------
        address : str
            ``host:port`` of the endpoint.
        connection : object
            The connection.
        limit_s : float
            Idle age beyond which it is not used, in seconds.
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
        """Return an idle connection that is young enough, or None."""
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
