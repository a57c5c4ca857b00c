"""Reader of a socket with a deadline and a limit on the bytes read."""

import http.client
import io
import time

from mulberryhollow.transport import whole_lines

__all__ = ["BoundedReader", "BoundedResponse", "ByteLimitError"]

MIN_TIMEOUT_CHANGE_S = 0.1
"""Smallest change for which a socket timeout is set again, in seconds.

Setting it takes a system call, which would be made for each event of a
stream.
"""


class ByteLimitError(http.client.HTTPException):
    """More bytes arrived than one read may take."""


class BoundedReader(io.RawIOBase):
    """Raw stream that reads a socket within a deadline and a byte limit.

    Parameters
    ----------
    sock : socket.socket
        The socket.

    Attributes
    ----------
    await_input : callable or None
        Called before each read with the time that is left, in seconds. Waits
        until the socket can be read, or raises to end the read. None to wait
        for the socket alone.

    Notes
    -----
    The timeout of a socket starts again with each byte, so it does not end
    a read that gets a byte now and then. Nothing is read from the socket
    before the first call of `allow`.
    """

    def __init__(self, sock):
        self._sock = sock
        # Keeps the descriptor open when the connection closes its socket.
        self._source = sock.makefile("rb", buffering=0)
        self._end_s = 0.0
        self._left_bytes = 0
        self.await_input = None

    def allow(self, limit_bytes, timeout_s):
        """Allow reads of some bytes for a time.

        Parameters
        ----------
        limit_bytes : int
            Largest number of bytes until the next call of this method.
        timeout_s : float
            Time until the reads fail, in seconds.
        """
        self._left_bytes = limit_bytes
        self._end_s = time.monotonic() + timeout_s

    def readable(self):
        """Return True."""
        return True

    def readinto(self, buffer):
        """Read into a buffer and return the number of bytes.

        Raises
        ------
        TimeoutError
            When the deadline passes.
        ByteLimitError
            When the limit is used up.
        """
        remaining_s = self._end_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline of the read has passed")
        if self._left_bytes <= 0:
            raise ByteLimitError("too many bytes without an end")
        if self.await_input is not None:
            self.await_input(remaining_s)
        self._set_timeout(remaining_s)
        count = self._source.readinto(buffer)
        self._left_bytes -= count or 0
        return count

    def close(self):
        """Close the stream; the socket stays open."""
        self._source.close()
        super().close()

    def _set_timeout(self, timeout_s):
        """Set the socket timeout unless the change is negligible."""
        current_s = self._sock.gettimeout()
        if (
            current_s is None
            or abs(current_s - timeout_s) > MIN_TIMEOUT_CHANGE_S
        ):
            self._sock.settimeout(timeout_s)


class BoundedResponse(whole_lines.WholeHeadResponse):
    """HTTP response whose size is limited and whose time is the timeout.

    Its head must be whole.

    Parameters
    ----------
    sock : socket.socket
        Socket of the response; its timeout limits head and body together.
    *args, **kwargs
        Passed to `http.client.HTTPResponse`.

    Attributes
    ----------
    max_bytes : int
        Largest size of head and body, in bytes.
    """

    max_bytes = 8 << 20

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        reader = BoundedReader(sock)
        reader.allow(self.max_bytes, sock.gettimeout())
        self.fp = io.BufferedReader(reader)
