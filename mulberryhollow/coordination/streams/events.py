"""Assembly of a server-sent event stream from one or more endpoints."""

import re

from mulberryhollow.coordination.streams import fault as faults

__all__ = ["EventAssembly"]

MAX_EVENT_BYTES = 1 << 20
"""Maximum buffered size of an incomplete event, in bytes."""

_EVENT_END = re.compile(rb"\r?\n\r?\n")
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

    Notes
    -----
    Decimal ids must increase by one: lower ones are dropped as duplicates
    and a gap is a fault. Other ids are only compared with the last one.
    """

    def __init__(self, last_id=""):
        self.last_id = last_id
        self.count = 0
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
            Crossed when an event is missing, or when an incomplete one
            exceeds `MAX_EVENT_BYTES`. The events before it in the same
            bytes are not returned, and `last_id` stays before them.
        """
        before = self.last_id, self.count
        self._buffer += chunk
        complete = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            event = self._buffer[start : end.end()]
            start = end.end()
            match self._check_order(event):
                case faults.Crossed() as crossed:
                    self.last_id, self.count = before
                    return crossed
                case True:
                    complete.append(event)
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            return faults.Crossed("an incomplete event exceeds the size limit")
        return b"".join(complete)

    def _check_order(self, event):
        """Return whether an event is new, or Crossed after a gap."""
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        event_id = found.group(1).decode("latin-1").strip()
        if not (event_id.isdecimal() and self.last_id.isdecimal()):
            is_new = event_id != self.last_id
        elif int(event_id) <= int(self.last_id):
            is_new = False
        elif int(event_id) > int(self.last_id) + 1:
            detail = f"event {event_id} after {self.last_id}"
            return faults.Crossed(detail)
        else:
            is_new = True
        if is_new:
            self.last_id = event_id
            self.count += 1
        return is_new
