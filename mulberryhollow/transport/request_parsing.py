"""Parser of requests whose body and framing are bounded."""

import io
import re

from waitress import parser as waitress_parser
from waitress import rfc7230
from waitress import utilities

__all__ = ["RequestParser"]

MAX_CHUNK_LINE_BYTES = 4096
"""Largest size of the line that begins a chunk, in bytes."""

MAX_TRAILER_BYTES = 16 * 1024
"""Largest size of the trailer of a chunked body, in bytes."""

REQUEST_BYTES = 4096
"""Memory of a request beside its head and body, in bytes."""

HEAD_COPIES = 2
"""Number of copies of a head: as received, and its decoded fields."""

BODY_COPIES = 2
"""Number of copies of a body while its request is being answered: as
received, and as encoded for a peer or decoded from one."""

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")


class RequestParser(waitress_parser.HTTPRequestParser):
    """Parser of one request, which says how much memory it holds.

    Attributes
    ----------
    began_s : float
        Time of the first byte, in seconds.
    deadline_s : float or None
        Time by which the body has to be complete, in seconds; None before
        the end of the head.
    is_overdue : bool
        Whether its time had passed when it was last looked at.
    """

    began_s = 0.0
    deadline_s = None
    is_overdue = False
    on_close = None

    @property
    def held_bytes(self):
        """Memory of what was received so far, in bytes."""
        body = len(self.body_rcv) if self.body_rcv is not None else 0
        return self._head_memory + body

    @property
    def complete_bytes(self):
        """Memory of the complete request while it is answered, in bytes."""
        body = len(self.body_rcv) if self.body_rcv is not None else 0
        return self.estimate(body)

    @property
    def is_dense(self):
        """Whether it is received in so small chunks that each byte is work."""
        return self.chunked and self.body_rcv.is_dense

    @property
    def _head_memory(self):
        """Memory of the head and of the parser itself, in bytes."""
        return REQUEST_BYTES + HEAD_COPIES * self.header_bytes_received

    def estimate(self, body_bytes):
        """Return the memory of the request with a body, in bytes."""
        return self._head_memory + BODY_COPIES * body_bytes

    def parse_header(self, header_plus):
        """Parse the head; prepare for the body."""
        super().parse_header(header_plus)
        if self.chunked:
            self.body_rcv = _ChunkedBody(self.adj.max_request_body_size)
        elif self.body_rcv is not None:
            self.body_rcv = _SizedBody(self.content_length)

    def received(self, data):
        """Parse bytes of the request; return how many belong to it."""
        if self.completed or self.body_rcv is None:
            return super().received(data)
        consumed = self.body_rcv.received(data)
        self.body_bytes_received += consumed
        if self.body_rcv.error is not None:
            self.error = self.body_rcv.error
            self.completed = True
        elif self.body_rcv.completed:
            self.completed = True
            self.headers["CONTENT_LENGTH"] = str(len(self.body_rcv))
        return consumed

    def close(self):
        """Release the body."""
        super().close()
        if self.on_close is not None:
            self.on_close(self)


class _Body:
    """Body of a request, as far as it was received."""

    completed = False
    error = None
    is_dense = False

    def __init__(self):
        self._buffer = io.BytesIO()
        self._size_bytes = 0

    def __len__(self):
        return self._size_bytes

    def getfile(self):
        """Return a stream of the body; a read of all of it copies nothing."""
        # Trims the memory to the size of the body.
        self._buffer.getvalue()
        self._buffer.seek(0)
        return self._buffer

    def getbuf(self):
        """Return the stream, to be closed."""
        return self._buffer

    def _append(self, pieces):
        """Append pieces of the body; return their size in bytes."""
        before_bytes = self._size_bytes
        self._buffer.writelines(pieces)
        self._size_bytes = self._buffer.tell()
        return self._size_bytes - before_bytes


class _SizedBody(_Body):
    """Body with a length that the head states, in bytes."""

    def __init__(self, size_bytes):
        super().__init__()
        self._left_bytes = size_bytes

    def received(self, data):
        """Take what belongs to the body; return its size in bytes."""
        taken_bytes = self._append([data[: self._left_bytes]])
        self._left_bytes -= taken_bytes
        self.completed = not self._left_bytes
        return taken_bytes


class _ChunkedBody(_Body):
    """Body in chunks, with bounded lines between them.

    Parameters
    ----------
    max_bytes : int
        Size from which the body is too large, in bytes, without framing.
    """

    def __init__(self, max_bytes):
        super().__init__()
        self._max_bytes = max_bytes
        # Bytes of a line that has not arrived to its end.
        self._pending = b""
        self._left_bytes = 0
        self._is_in_chunk = False
        self._is_in_trailer = False

    def received(self, data):
        """Take what belongs to the body; return its size in bytes."""
        size_bytes = len(data)
        data = self._pending + data
        pieces = []
        end = self._parse(data, pieces)
        self.is_dense = 2 * self._append(pieces) < size_bytes
        if self.completed or self.error is not None:
            self._pending = b""
            return size_bytes - (len(data) - end)
        self._pending = data[end:]
        return size_bytes

    def _parse(self, data, pieces):
        """Append the pieces of the body to a list; return where it ends."""
        position = 0
        received_bytes = len(self)
        while not (self.completed or self.error is not None):
            if self._is_in_chunk:
                piece = data[position : position + self._left_bytes]
                if piece:
                    pieces.append(piece)
                    position += len(piece)
                    received_bytes += len(piece)
                    self._left_bytes -= len(piece)
                if self._left_bytes:
                    return position
                line_end = data[position : position + 2]
                if len(line_end) < 2 and b"\r\n".startswith(line_end):
                    return position
                if line_end != b"\r\n":
                    self._fail("Chunk not properly terminated")
                    return position
                position += 2
                self._is_in_chunk = False
            if self._is_in_trailer:
                return self._parse_trailer(data, position)
            limit = position + MAX_CHUNK_LINE_BYTES
            end = data.find(b"\r\n", position, limit)
            if end < 0:
                if len(data) >= limit:
                    self._fail("Chunk size line too long")
                return position
            self._begin_chunk(data[position:end], received_bytes)
            position = end + 2
        return position

    def _begin_chunk(self, line, received_bytes):
        """Begin the chunk whose size a line states; skip an empty line."""
        size, semicolon, extension = line.partition(b";")
        if not line:
            return
        if semicolon and not rfc7230.CHUNK_EXT_RE.match(semicolon + extension):
            self._fail("Invalid chunk extension")
        elif not _CHUNK_SIZE.fullmatch(size):
            self._fail("Invalid chunk size")
        else:
            self._left_bytes = int(size, 16)
            self._is_in_chunk = self._left_bytes > 0
            self._is_in_trailer = not self._is_in_chunk
            if received_bytes + self._left_bytes >= self._max_bytes:
                self.error = utilities.RequestEntityTooLarge(
                    f"the body has {self._max_bytes} bytes or more"
                )

    def _parse_trailer(self, data, position):
        """Skip the trailer; return where it ends."""
        if data.startswith(b"\r\n", position):
            self.completed = True
            return position + 2
        end = data.find(b"\r\n\r\n", position)
        if end >= 0:
            self.completed = True
            return end + 4
        if len(data) - position > MAX_TRAILER_BYTES:
            self._fail("Trailer too long")
        return position

    def _fail(self, reason):
        """Give the body up as malformed."""
        self.error = utilities.BadRequest(reason)
