"""One connection to an endpoint that carries requests as they are."""

import contextlib
import http.client
import re
import select
import socket

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import connection as connections

__all__ = ["EndpointChannel"]

PIECE_BYTES = 65536
"""Most bytes that one read or write moves."""

TIMEOUT_STEP_S = 0.1
"""Difference from which a timeout is set anew, in seconds."""

_FORBIDDEN = re.compile(r"[\r\n\0]")
_MALFORMED = (http.client.HTTPException, ValueError)


class EndpointChannel:
    """A connection with one reader for all of its answers.

    Parameters
    ----------
    connection : urllib3.connection.HTTPConnection
        Connected.

    Notes
    -----
    An endpoint may send more bytes than the answer has. They stay in the
    reader, so that they are seen before the next request goes out.
    """

    def __init__(self, connection):
        self.sock = connection.sock
        self._connection = connection
        self._reader = self.sock.makefile("rb")
        self._response = None
        self._is_whole = True

    @classmethod
    def open(cls, address, timeout_s):
        """Return a channel whose handshake has just been done.

        Raises
        ------
        EndpointError
            NotSent, when there is no connection.
        """
        return cls(connections.open_fresh(address, timeout_s))

    @property
    def timeout(self):
        """Longest time without a byte, in seconds."""
        return self.sock.gettimeout()

    @timeout.setter
    def timeout(self, timeout_s):
        self.sock.settimeout(timeout_s)

    def is_usable(self):
        """Return whether nothing has arrived since the last answer."""
        try:
            if _poll(self.sock, select.POLLIN, 0.0):
                return False
            self.sock.settimeout(0.0)
            return not self._reader.peek(1)
        except (OSError, ValueError):
            return False

    def send(self, call, timeout_s):
        """Send a request, up to the end of it or to an early answer.

        Parameters
        ----------
        call : EndpointCall
            The request.
        timeout_s : float
            Longest time without progress, in seconds.

        Raises
        ------
        EndpointError
            NotSent when no byte has left, else Broken or Silent.
        """
        data = memoryview(_encode_head(call) + call.body)
        self._response = None
        self.sock.settimeout(timeout_s)
        sent = 0
        while sent < len(data):
            try:
                ready = _poll(
                    self.sock, select.POLLOUT | select.POLLIN, timeout_s
                )
                if not ready:
                    raise TimeoutError("the endpoint reads nothing")
                if ready & select.POLLIN and sent:
                    break
                sent += self.sock.send(data[sent : sent + PIECE_BYTES])
            except OSError as error:
                raise _classify(error, sent, timeout_s) from error
        self._is_whole = sent == len(data)

    def receive(self, method, timeout_s):
        """Return (status, headers) of the next answer.

        Raises
        ------
        EndpointError
            Broken, Silent or Crossed.
        """
        self.sock.settimeout(timeout_s)
        response = http.client.HTTPResponse(
            _Source(self._reader), method=method
        )
        try:
            response.begin()
        except http.client.RemoteDisconnected as error:
            fault = streams.Broken("closed without an answer")
            raise errors.EndpointError(fault) from error
        except _MALFORMED as error:
            fault = streams.Crossed(f"no answer: {error!r}")
            raise errors.EndpointError(fault) from error
        except OSError as error:
            raise _classify(error, 1, timeout_s) from error
        self._response = response
        return response.status, tuple(response.getheaders())

    def read_piece(self, timeout_s):
        """Return the next bytes of the body; empty at its whole end.

        Raises
        ------
        EndpointError
            Broken, Silent or Truncated.
        """
        response = self._response
        try:
            self._set_timeout(timeout_s)
            piece = response.read1(PIECE_BYTES)
        except _MALFORMED as error:
            raise _truncated(repr(error)) from error
        except OSError as error:
            raise _classify(error, 1, timeout_s) from error
        if not piece and response.length:
            raise _truncated(f"{response.length} bytes are missing")
        return piece

    def _set_timeout(self, timeout_s):
        """Set the timeout, unless the present one is as good.

        Setting it is a system call, for each event of a stream.
        """
        present_s = self.sock.gettimeout()
        if present_s is None or abs(present_s - timeout_s) > TIMEOUT_STEP_S:
            self.sock.settimeout(timeout_s)

    @property
    def is_reusable(self):
        """Whether another request may follow the answer just read."""
        response = self._response
        return (
            self._is_whole and response is not None and not response.will_close
        )

    def abort(self):
        """End a read or write of another thread with a fault."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._reader.close()
        self._connection.close()


class _Source:
    """Gives every answer the one reader of its channel."""

    def __init__(self, reader):
        self._reader = reader

    def makefile(self, mode):
        """Return the reader, as a socket does."""
        return _Unclosed(self._reader)


class _Unclosed:
    """A reader that outlives the answer that it is read for."""

    def __init__(self, reader):
        self._reader = reader

    def __getattr__(self, name):
        return getattr(self._reader, name)

    def close(self):
        """Leave the reader open."""


def _encode_head(call):
    """Return the head of a request."""
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if any(map(_FORBIDDEN.search, lines)):
        fault = streams.NotSent("a header has a line break")
        raise errors.EndpointError(fault)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _poll(sock, events, timeout_s):
    """Return the events of a socket that are due; 0 after the time."""
    poller = select.poll()
    poller.register(sock, events)
    found = poller.poll(timeout_s * 1000.0)
    return found[0][1] if found else 0


def _classify(error, sent, timeout_s):
    """Return the EndpointError of a failed read or write."""
    if not sent:
        return errors.EndpointError(streams.NotSent(repr(error)))
    if isinstance(error, TimeoutError):
        return errors.EndpointError(streams.Silent(timeout_s))
    return errors.EndpointError(streams.Broken(repr(error)))


def _truncated(detail):
    """Return the EndpointError of an answer that is not whole."""
    return errors.EndpointError(streams.Broken(f"cut off: {detail}"))
