"""Assembly of a server-sent event stream from one or more endpoints."""

import re

from mulberryhollow.coordination.streams import fault as faults

__all__ = ["EventAssembly"]

MAX_EVENT_BYTES = 1 << 20
"""Maximum buffered size of an incomplete event, in bytes."""

MAX_ID_DIGITS = 30
"""Maximum number of digits of a decimal id."""

MAX_EVENT_END_BYTES = 4
"""Length of the longest end of an event, in bytes."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_EVENT_LINE = re.compile(rb"((event|data|id|retry)?:.*|event|data|id|retry|)")
_EVENT_FIELD = re.compile(rb"^(?!retry:)[^:\r\n]", re.MULTILINE)
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventAssembly:
    """Splitter of a byte stream into complete events without duplicates.

    Parameters
    ----------
    last_id : str
        Id of the last event that the caller already has; empty for none.

    Attributes
    ----------
    last_id : str
        Id of the last event returned.
    count : int
        Number of events with an id that were returned.
    event_count : int
        Number of events that were returned, with or without an id.
    has_id : bool
        Whether the present endpoint has sent an event with an id.

    Notes
    -----
    Decimal ids must increase by one: lower ones are dropped as duplicates
    and a gap is a fault. Other ids are only compared with the last one.
    After an event with an id, what is neither an event nor a comment is a
    fault, and so are the data of another endpoint before its first id: the
    text of an error can end like an event.
    """

    def __init__(self, last_id=""):
        self.last_id = last_id
        self.count = 0
        self.event_count = 0
        self.has_id = False
        self._buffer = b""

    @property
    def rest(self):
        """Bytes after the last complete event."""
        return self._buffer

    @property
    def is_inside_event(self):
        """Whether the last event received is incomplete."""
        return bool(self._buffer.strip(b"\r\n"))

    def restart(self):
        """Start over with another endpoint, which resumes after `last_id`."""
        self.has_id = False
        self._buffer = b""

    def feed(self, chunk):
        """Add received bytes; return the events that are complete now.

        Parameters
        ----------
        chunk : bytes
            The received bytes.

        Returns
        -------
        bytes or Crossed
            Crossed when an event is missing, when the bytes are no event, or
            when an incomplete one exceeds `MAX_EVENT_BYTES`. The events
            received with it are not returned, and `last_id` is the last one
            that was, so that another endpoint sends them again.
        """
        returned = self.last_id, self.count, self.event_count
        found = self._split(chunk)
        if isinstance(found, faults.Crossed):
            self.last_id, self.count, self.event_count = returned
        return found

    def _split(self, chunk):
        """Return the complete events that are new, or Crossed."""
        # The end of an event may have begun in the last bytes of the buffer.
        searched = max(0, len(self._buffer) - MAX_EVENT_END_BYTES + 1)
        self._buffer += chunk
        complete = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched):
            event = self._buffer[start : end.end()]
            start = end.end()
            match self._check_order(event):
                case faults.Crossed() as crossed:
                    return crossed
                case True:
                    complete.append(event)
                    self.event_count += bool(_EVENT_FIELD.search(event))
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            return faults.Crossed("an incomplete event exceeds the size limit")
        return b"".join(complete)

    def _check_order(self, event):
        """Return whether an event is new, or Crossed after a gap."""
        found = _EVENT_ID.search(event)
        if found is None:
            return self._check_without_id(event)
        event_id = found.group(1).decode("latin-1").strip()
        number, last = _parse_id(event_id), _parse_id(self.last_id)
        if last is None:
            is_new = event_id != self.last_id
        elif number is None or number > last + 1:
            return faults.Crossed(
                f"event {event_id:.{MAX_ID_DIGITS}} after {self.last_id}"
            )
        else:
            is_new = number > last
        self.has_id = True
        if is_new:
            self.last_id = event_id
            self.count += 1
        return is_new

    def _check_without_id(self, event):
        """Return True for a part of the stream without an id, or Crossed."""
        if not self.last_id:
            return True
        lines = _LINE_END.split(event)
        if not all(map(_EVENT_LINE.fullmatch, lines)):
            return faults.Crossed("bytes that are no event")
        if not self.has_id and any(map(_is_field, lines)):
            return faults.Crossed("an event without an id")
        return True


def _is_field(line):
    """Return whether a line of an event is neither empty nor a comment."""
    return bool(line) and not line.startswith(b":")


def _parse_id(event_id):
    """Return a decimal id as a number; None for any other id."""
    is_decimal = event_id.isascii() and event_id.isdecimal()
    is_number = is_decimal and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None
