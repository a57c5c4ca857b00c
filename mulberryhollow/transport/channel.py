"""HTTP/1.1 connection that forwards requests to an endpoint unchanged."""

import collections
import contextlib
import http.client
import io
import re
import select
import socket
import time

import attrs

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.transport import bounded_reader
from mulberryhollow.transport import connection as connections
from mulberryhollow.transport import whole_lines

__all__ = ["EndpointChannel", "SocketInput", "wait_readable"]

MAX_TRANSFER_BYTES = 65536
"""Largest number of bytes in one read or write."""

MAX_HEAD_BYTES = 131072
"""Largest number of bytes read for a head, interim answers included."""

MAX_PIECE_BYTES = 2 * MAX_TRANSFER_BYTES
"""Largest number of bytes read for one piece of a body.

The part beyond MAX_TRANSFER_BYTES is for chunk sizes and trailers.
"""

MAX_HELD_BYTES = MAX_PIECE_BYTES
"""Largest number of bytes held of lines that are not complete."""

MAX_REMEMBERED_IDS = 64
"""Number of requests whose ids a connection remembers.

A late answer mostly belongs to one of the last requests.
"""

_PEEK_TIMEOUT_S = 0.1
"""Time to receive bytes that a poll has found, in seconds."""

_ARRIVED_TIMEOUT_S = 10.0
"""Time to take bytes that have arrived, if the thread is held up, in s."""

_CHUNK_END = b"\r\n"
_EMPTY_LINE = re.compile(rb"\n\r?\n")
_FORBIDDEN_CHARACTERS = re.compile(r"[\r\n\0]")
_MALFORMED_ERRORS = (http.client.HTTPException, ValueError)


class _NotArrivedError(Exception):
    """More bytes would have to be waited for."""


class EndpointChannel:
    """Connection with one buffered reader for all of its responses.

    Parameters
    ----------
    connection : urllib3.connection.HTTPConnection
        An open connection.

    Attributes
    ----------
    earlier_requests : int
        Number of requests sent before the last one.
    is_in_step : bool
        Whether each answer was one to the request that waited. Set to False
        by the reader of the answers; the connection is then not reused.
    is_request_complete : bool
        Whether the last request was sent to its end.

    Notes
    -----
    An endpoint may send more bytes than the response has. They stay in the
    buffer of the reader, so that `is_usable` sees them before the next
    request is sent.
    """

    def __init__(self, connection):
        self.sock = connection.sock
        self._connection = connection
        self._source = bounded_reader.BoundedReader(self.sock)
        self._reader = io.BufferedReader(self._source)
        self._response = None
        self._guard = None
        self._failure = None
        self._has_ended = False
        # Bytes of the end of the last chunk that are not read yet.
        self._skipped_bytes = 0
        self.is_request_complete = True
        self.is_in_step = True
        self._is_aborted = False
        self.earlier_requests = -1
        self._request_ids = collections.deque(maxlen=MAX_REMEMBERED_IDS)

    @classmethod
    def open(cls, address, timeout_s):
        """Return a channel over a new connection.

        Raises
        ------
        EndpointError
            NotSent, when the connection could not be opened.
        """
        return cls(connections.open_fresh(address, timeout_s))

    @property
    def timeout(self):
        """Inactivity timeout of the socket, in seconds."""
        return self.sock.gettimeout()

    @timeout.setter
    def timeout(self, timeout_s):
        self.sock.settimeout(timeout_s)

    @property
    def await_input(self):
        """Function that waits for the socket during a read, or None.

        As for `BoundedReader.await_input`. After it has raised inside a line,
        the channel can only be closed. `has_input` holds lines until they are
        whole, so that `read_arrived` never stops inside one.
        """
        return self._source.await_input

    @await_input.setter
    def await_input(self, await_input):
        self._source.await_input = await_input

    def is_usable(self):
        """Return whether nothing has arrived since the last response."""
        try:
            if _poll(self.sock, select.POLLIN, 0.0):
                return False
            self._source.allow(0, 0.0)
            return not self._reader.peek(1)
        except TimeoutError:
            # The buffer is empty: it would have to be filled.
            return True
        except (OSError, ValueError):
            return False

    def has_input(self):
        """Return whether the next read would not wait.

        What stands between two chunks, or behind the last one, is held until
        all of it is there: `http.client` would wait for it, and lose its
        place when that takes too long.
        """
        response = self._response
        if response is not None and (
            response.isclosed() or response.length == 0
        ):
            return True
        if response is not None and response.chunk_left == 0:
            response.chunk_left = None
            self._skipped_bytes = len(_CHUNK_END)
        buffered = self._peek(0)
        skipped = self._reader.read(min(self._skipped_bytes, len(buffered)))
        self._skipped_bytes -= len(skipped)
        buffered = buffered[len(skipped) :]
        is_at_size = (
            response is not None
            and response.chunked
            and response.chunk_left is None
        )
        if is_at_size and not self._has_ended:
            return response.fp.hold_lines(buffered)
        return bool(buffered)

    @property
    def has_broken_off(self):
        """Whether the connection is known to have ended before the answer."""
        if self._failure is not None:
            return True
        is_ended_by_close = (
            self._response is not None
            and self.framing is messages.Framing.CONNECTION_CLOSE
        )
        return self._has_ended and not is_ended_by_close

    def receive_input(self):
        """Receive bytes of a readable socket; return whether to read on.

        False means that what stands between two chunks is not complete.
        """
        self._has_ended = not self._peek(MAX_TRANSFER_BYTES)
        return self._has_ended or self.has_input()

    def _check_failure(self):
        """Raise the error that the socket has reported before, if any."""
        if self._failure is not None:
            raise self._failure

    def _peek(self, limit_bytes):
        """Return the buffered bytes; receive up to a limit if there are none.

        They are empty also at the end of the connection.
        """
        self._source.allow(
            limit_bytes, _PEEK_TIMEOUT_S if limit_bytes else 0.0
        )
        try:
            return self._reader.peek(1)
        except TimeoutError:
            return b""
        except (OSError, ValueError) as error:
            # The socket reports an error once, and then looks closed.
            self._failure = error
            return b""

    def has_carried(self, request_id):
        """Return whether an attempt of a request was sent here lately."""
        return request_id in self._request_ids

    def send(self, call, timeout_s):
        """Send a request until its end or until an early response arrives.

        Nothing is sent when bytes have arrived before the request.

        Parameters
        ----------
        call : EndpointCall
            The request.
        timeout_s : float
            Longest time without progress, in seconds.

        Raises
        ------
        EndpointError
            NotSent when no byte has been sent, else Broken or Silent.
        """
        # The head and the start of the body make one segment; the rest of a
        # large body is not copied.
        first = memoryview(_encode_head(call) + call.body[:MAX_TRANSFER_BYTES])
        rest = memoryview(call.body)[MAX_TRANSFER_BYTES:]
        size = len(first) + len(rest)
        self._response = self._guard = None
        self.earlier_requests += 1
        self._request_ids.append(call.request_id)
        self.sock.settimeout(timeout_s)
        sent = 0
        while sent < size:
            try:
                ready = _poll(
                    self.sock, select.POLLOUT | select.POLLIN, timeout_s
                )
                if not ready:
                    raise TimeoutError(
                        "the endpoint does not read the request"
                    )
                if ready & select.POLLIN and sent:
                    break
                if ready & select.POLLIN:
                    fault = streams.NotSent("bytes came before the request")
                    raise errors.EndpointError(fault)
                in_rest = sent - len(first)
                piece = first[sent:] if in_rest < 0 else rest[in_rest:]
                sent += self.sock.send(piece[:MAX_TRANSFER_BYTES])
            except OSError as error:
                raise _classify_error(error, sent, timeout_s) from error
        self.is_request_complete = sent == size

    def receive(self, method, timeout_s):
        """Return (status, headers) of the next response, but no interim one.

        Parameters
        ----------
        method : str
            Method of the request.
        timeout_s : float
            Longest time until the head is complete, in seconds.

        Raises
        ------
        EndpointError
            Broken, Silent, or Crossed when the bytes are not an HTTP response.
        """
        self._source.allow(MAX_HEAD_BYTES, timeout_s)
        try:
            self._check_failure()
            response = self._read_head(method)
            while response.status < http.client.OK:
                response = self._read_head(method)
        except http.client.RemoteDisconnected as error:
            fault = streams.Broken("connection closed without a response")
            raise errors.EndpointError(fault) from error
        except http.client.IncompleteRead as error:
            fault = streams.Broken("connection closed inside the head")
            raise errors.EndpointError(fault) from error
        except _MALFORMED_ERRORS as error:
            fault = streams.Crossed(f"not an HTTP response: {error!r}")
            raise errors.EndpointError(fault) from error
        except OSError as error:
            raise _classify_error(error, 1, timeout_s) from error
        self._response = response
        return response.status, tuple(response.getheaders())

    def _read_head(self, method):
        """Return the next response with its head."""
        reader = _SharedReader(self._reader)
        response = http.client.HTTPResponse(
            _ReaderSocket(reader), method=method
        )
        response.begin()
        reader.require_line_end()
        _check_lines(response)
        _check_framing(response)
        return response

    def read_piece(self, timeout_s):
        """Return the next bytes of the body; empty once it is complete.

        Parameters
        ----------
        timeout_s : float
            Longest time until the bytes arrive, in seconds.

        Raises
        ------
        EndpointError
            Broken, also when the body is incomplete, Silent, or Crossed for
            a chunk size or trailers without end and for a second answer.
        """
        response = self._response
        try:
            self._source.allow(MAX_PIECE_BYTES, timeout_s)
            piece = self._read_checked()
        except bounded_reader.ByteLimitError as error:
            fault = streams.Crossed("chunk size or trailers without an end")
            raise errors.EndpointError(fault) from error
        except _MALFORMED_ERRORS as error:
            raise _make_incomplete_error(repr(error)) from error
        except OSError as error:
            raise _classify_error(error, 1, timeout_s) from error
        is_unframed = self.framing is messages.Framing.CONNECTION_CLOSE
        if not piece and self._is_aborted and is_unframed:
            # Nothing else tells that more would have come.
            raise _make_incomplete_error("the connection was shut down here")
        if not piece and response.length:
            raise _make_incomplete_error(
                f"{response.length} bytes are missing"
            )
        return piece

    def read_arrived(self):
        """Return bytes of the body that have arrived, as for `read_piece`.

        Returns
        -------
        bytes or None
            None for none. A later read goes on where this one has ended.
        """
        self.await_input = self._require_input
        try:
            return self.read_piece(_ARRIVED_TIMEOUT_S)
        except _NotArrivedError:
            return None
        finally:
            self.await_input = None

    def _require_input(self, timeout_s):
        """Raise _NotArrivedError when the socket cannot be read."""
        if not _poll(self.sock, select.POLLIN, 0.0):
            raise _NotArrivedError

    def guard_body(self, guard):
        """Check the body of the last response for a second answer.

        Parameters
        ----------
        guard : AppendedAnswerGuard
            Gets each piece of the body.
        """
        self._guard = guard

    def _read_checked(self):
        """Return the next bytes of the body that are not held back."""
        self._check_failure()
        if self._skipped_bytes:
            self._reader.read(self._skipped_bytes)
            self._skipped_bytes = 0
        guard = self._guard
        if guard is None:
            return self._response.read1(MAX_TRANSFER_BYTES)
        guard.check()
        while piece := self._response.read1(MAX_TRANSFER_BYTES):
            if checked := guard.feed(piece):
                return checked
        return guard.finish()

    @property
    def framing(self):
        """Framing of the last response."""
        if self._response.chunked:
            return messages.Framing.CHUNKS
        if self._response.length is None:
            return messages.Framing.CONNECTION_CLOSE
        return messages.Framing.LENGTH

    @property
    def is_reusable(self):
        """Whether the connection can carry another request.

        False when the last request was not sent to its end, when the last
        response closes the connection, and out of step.
        """
        response = self._response
        return (
            self.is_request_complete
            and self.is_in_step
            and response is not None
            and not response.will_close
        )

    def abort(self):
        """Shut the socket down, so that a blocked read or write fails."""
        self._is_aborted = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._reader.close()
        self._connection.close()


@attrs.frozen
class SocketInput:
    """Input of a channel for a read in progress, which needs more bytes.

    Parameters
    ----------
    sock : socket.socket
        Socket of the channel.
    """

    sock: socket.socket

    def has_input(self):
        """Return False: what is buffered is not enough."""
        return False

    def receive_input(self):
        """Return True; the read receives the bytes."""
        return True


def wait_readable(channels, timeout_s):
    """Return the first of some channels that can be read; None for none.

    Nothing of an answer is taken, so that a later read finds all of it. The
    end of a connection can be read too.

    Parameters
    ----------
    channels : sequence of EndpointChannel or SocketInput
        Channels, those that are preferred first.
    timeout_s : float
        Longest time to wait, in seconds.
    """
    end_s = time.monotonic() + timeout_s
    poller = select.poll()
    for each in channels:
        if each.has_input():
            return each
        poller.register(each.sock, select.POLLIN)
    while True:
        left_s = max(0.0, end_s - time.monotonic())
        ready = {number for number, _ in poller.poll(left_s * 1000.0)}
        if not ready:
            return None
        for each in channels:
            if each.sock.fileno() in ready and each.receive_input():
                return each


class _ReaderSocket:
    """Socket stand-in that gives HTTPResponse the reader of the channel."""

    def __init__(self, reader):
        self._reader = reader

    def makefile(self, mode):
        """Return the shared reader; HTTPResponse calls this on a socket."""
        return self._reader


class _SharedReader(whole_lines.LineReader):
    """View of the channel's reader for one response.

    Its close does nothing, since later responses use the reader too.
    """

    def __init__(self, reader):
        super().__init__(reader)
        self._held = b""
        self._lines = io.BytesIO()

    def hold_lines(self, buffered):
        """Return whether a chunk can be read; keep what is there of its size.

        That is once something follows the line with the size. Of the last
        chunk, all lines up to the empty one are kept.

        Parameters
        ----------
        buffered : bytes
            Bytes that the reader has buffered.
        """
        found = self._held + buffered
        end = _find_size_end(found)
        size = (end or len(found)) - len(self._held)
        self._held += self._reader.read(size)
        is_followed = end < len(found) or _is_last_size(self._held)
        return end > 0 and is_followed or len(self._held) > MAX_HELD_BYTES

    def _read_line(self, limit_bytes):
        """Return the next line, of which a part or the whole may be kept.

        Raises
        ------
        ByteLimitError
            When more was kept than may be.
        """
        if len(self._held) > MAX_HELD_BYTES:
            raise bounded_reader.ByteLimitError("too many bytes are kept")
        if self._held:
            self._lines, self._held = io.BytesIO(self._held), b""
        line = self._lines.readline()
        if line.endswith(b"\n"):
            return line
        return line + super()._read_line(limit_bytes)

    def close(self):
        """Do nothing: the channel closes the reader."""


def _find_size_end(found):
    """Return the length of a chunk size, or of all lines of the last chunk.

    0 as long as they are not whole.

    Parameters
    ----------
    found : bytes
        What has arrived of a chunk, from its size on.
    """
    end = found.find(b"\n") + 1
    if not _is_last_size(found[:end]):
        return end
    empty = _EMPTY_LINE.search(found, end - 1)
    return empty.end() if empty else 0


def _is_last_size(found):
    """Return whether bytes begin with the size of the last chunk."""
    digits, *_ = found.partition(b"\n")[0].split(b";")
    try:
        # As in `http.client`.
        return int(digits, 16) == 0
    except ValueError:
        return False


def _check_lines(response):
    """Raise HTTPException when the head has a line that is no header.

    `http.client` ignores such a line and all headers after it, and so takes
    the body that another head announces for that of the first.
    """
    defects = response.headers.defects
    if defects:
        raise http.client.HTTPException(f"malformed header: {defects!r}")
    if response.status == http.client.SWITCHING_PROTOCOLS:
        raise http.client.HTTPException("another protocol follows")


def _check_framing(response):
    """Raise HTTPException when the end of the body cannot be told.

    `http.client` ignores a length or a coding that it cannot use, and reads
    until the connection closes.
    """
    coding = response.headers.get("Transfer-Encoding")
    lengths = {
        each.strip() for each in response.headers.get_all("Content-Length", ())
    }
    if coding and not response.chunked:
        raise http.client.HTTPException(f"transfer coding {coding!r}")
    is_usable = len(lengths) <= 1 and all(map(str.isdecimal, lengths))
    if not (response.chunked or is_usable):
        raise http.client.HTTPException(f"lengths {sorted(lengths)!r}")


def _encode_head(call):
    """Return the request line and headers as bytes."""
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if any(map(_FORBIDDEN_CHARACTERS.search, lines)):
        fault = streams.NotSent(
            "the request line or a header contains CR, LF or NUL"
        )
        raise errors.EndpointError(fault)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _poll(sock, events, timeout_s):
    """Return the ready events of a socket; 0 after the timeout."""
    poller = select.poll()
    poller.register(sock, events)
    found = poller.poll(timeout_s * 1000.0)
    return found[0][1] if found else 0


def _classify_error(error, sent, timeout_s):
    """Return the EndpointError for a failed read or write.

    NotSent when no byte of the request was sent, else Silent after a
    timeout, else Broken.
    """
    if not sent:
        return errors.EndpointError(streams.NotSent(repr(error)))
    if isinstance(error, TimeoutError):
        return errors.EndpointError(streams.Silent(timeout_s))
    return errors.EndpointError(streams.Broken(repr(error)))


def _make_incomplete_error(detail):
    """Return the EndpointError for an incomplete response body."""
    return errors.EndpointError(
        streams.Broken(f"response body is incomplete: {detail}")
    )
