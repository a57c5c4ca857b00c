"""Detection of a second answer inside a body that the close ends."""

import re

from mulberryhollow.coordination import streams
from mulberryhollow import errors

__all__ = ["AppendedAnswerGuard"]

MAX_HEAD_BYTES = 4096
"""Largest size of a second answer's head, in bytes."""

MAX_OTHER_HEADS = 64
"""Number of other heads in a body after which no more are looked at.

It bounds the work for a body that is made of heads.
"""

_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?")
_STATUS_BEGINNING = re.compile(
    rb"HTTP/1\.(?:[01](?: \d{0,3}|(?: \d{3} [^\r\n]{0,64}))?\r?)?"
)
_HEADER_LINE = re.compile(rb"([!-9;-~]+):[ \t]*([^\r\n]*?)[ \t]*")


class AppendedAnswerGuard:
    """Passes the pieces of a body on up to the head of a second answer.

    Where only the close of the connection ends a body, a second answer of
    the endpoint would be part of it.

    Parameters
    ----------
    is_answer : callable
        ``is_answer(status, headers)`` returns whether a head is that of an
        answer to a request sent on this connection. A body may mention other
        heads.

    Notes
    -----
    Bytes that may begin such a head are held back until the next ones show
    whether they do.
    """

    def __init__(self, is_answer):
        self._is_answer = is_answer
        self._held = b""
        self._has_second = False
        self._other_heads = 0

    def feed(self, piece):
        """Return the bytes that belong to the body; empty while held back.

        Raises
        ------
        EndpointError
            Crossed once the bytes before a second answer were returned.
        """
        data = self._held + piece
        start = self._find_head(data)
        if start < 0:
            start = len(data) - _count_start_bytes(data)
        self._held = data[start:]
        if not start:
            self.check()
        return data[:start]

    def check(self):
        """Raise Crossed when the body has been returned up to a second answer.

        Raises
        ------
        EndpointError
            As for `feed`.
        """
        if self._has_second:
            raise _make_second_error()

    def _find_head(self, data):
        """Return where a second answer begins or may begin; -1 for nowhere."""
        start = data.find(_START)
        while start >= 0 and self._other_heads < MAX_OTHER_HEADS:
            block = data[start : start + MAX_HEAD_BYTES]
            head, is_whole = _parse_head(block)
            self._has_second = is_whole and self._is_answer(*head)
            is_begun = head and not is_whole and len(block) < MAX_HEAD_BYTES
            if self._has_second or is_begun:
                return start
            self._other_heads += head is not None
            start = data.find(_START, start + 1)
        return -1

    def finish(self):
        """Return the bytes held back at the end of the connection.

        Raises
        ------
        EndpointError
            As for `feed`, also when the second answer ends inside its head.
        """
        held, self._held = self._held, b""
        head, _ = _parse_head(held)
        if head and self._is_answer(*head):
            raise _make_second_error()
        return held


def _make_second_error():
    """Return the EndpointError for a second answer in a body."""
    return errors.EndpointError(streams.Crossed("a second answer in the body"))


def _parse_head(block):
    """Return the head at the start of a block, and whether it is whole.

    Returns
    -------
    tuple
        ``(status, headers)`` of the lines so far, or None when the block is
        no head; and a bool.
    """
    text, is_whole, _ = block.partition(b"\r\n\r\n")
    first, *lines = text.split(b"\r\n")
    if not (is_whole or lines):
        is_begun = _STATUS_BEGINNING.fullmatch(first)
        return ((0, ()) if is_begun else None), False
    if not is_whole:
        lines.pop()
    status = _STATUS_LINE.fullmatch(first)
    headers = [_HEADER_LINE.fullmatch(line) for line in lines]
    if status is None or None in headers:
        return None, False
    decoded = tuple(
        tuple(group.decode("latin-1") for group in header.groups())
        for header in headers
    )
    return (int(status.group(1)), decoded), bool(is_whole)


def _count_start_bytes(data):
    """Return how many of the last bytes may begin a head."""
    return next(
        size
        for size in range(len(_START) - 1, -1, -1)
        if data.endswith(_START[:size])
    )
