"""HTTP responses whose head and framing must consist of whole lines."""

import http.client

__all__ = ["LineReader", "WholeHeadResponse"]


class LineReader:
    """View of a reader whose lines must be whole.

    Parameters
    ----------
    reader : io.BufferedReader
        The reader.

    Notes
    -----
    `http.client` accepts a line that is cut off by the end of the
    connection, and takes that end for the empty line after the headers: half
    a head, or the first digit of a chunk size.
    """

    def __init__(self, reader):
        self._reader = reader
        self._has_ended = False

    def __getattr__(self, name):
        return getattr(self._reader, name)

    def readline(self, limit_bytes=-1):
        """Return a line, of which no more than the limit is read.

        Raises
        ------
        http.client.IncompleteRead
            When the connection ends inside the line.
        """
        line = self._read_line(limit_bytes)
        self._has_ended = not line
        if not line or line.endswith(b"\n"):
            return line
        if limit_bytes < 0 or len(line) < limit_bytes:
            raise http.client.IncompleteRead(line)
        return line

    def _read_line(self, limit_bytes):
        """Return what is there of a line, up to the limit."""
        return self._reader.readline(limit_bytes)

    def require_line_end(self):
        """Raise IncompleteRead when the connection ended before a line."""
        if self._has_ended:
            raise http.client.IncompleteRead(b"")


class WholeHeadResponse(http.client.HTTPResponse):
    """HTTP response that fails when its connection ends inside its head."""

    def begin(self):
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            When the head is not whole.
        """
        if self.headers is not None:
            return
        self.fp = LineReader(self.fp)
        super().begin()
        self.fp.require_line_end()
