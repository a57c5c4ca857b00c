"""Numbered log events, declared where they are logged, output as JSON."""

import atexit
import logging
import logging.handlers
import queue
import sys

import attrs
from pythonjsonlogger import json as json_formatter

__all__ = ["Event", "declare", "list_declared", "log", "set_up"]

MAX_QUEUED_LINES = 20_000
"""Maximum number of queued log lines; further lines are dropped.

Holds a few seconds of output of the busiest instance, about 10 MB.
"""

_LOGGER = logging.getLogger("mulberryhollow")
_DECLARED = {}


@attrs.frozen
class Event:
    """Declaration of one kind of log line.

    Parameters
    ----------
    number : int
        Unique event number.
    level : int
        Log level of the logging module.
    text : str
        Constant message; variable data is logged as separate fields.
    action : str
        What an operator should do about the event.
    """

    number: int
    level: int
    text: str
    action: str


def declare(number, level, text, action="nothing"):
    """Register an event and return it.

    Called at module level by the module that logs the event; the
    parameters are those of `Event`.

    Raises
    ------
    ValueError
        If an event of this number is already declared.
    """
    if number in _DECLARED:
        raise ValueError(f"event {number} is declared twice")
    event = Event(number, level, text, action)
    _DECLARED[number] = event
    return event


def list_declared():
    """Return all declared events, sorted by number."""
    return [_DECLARED[number] for number in sorted(_DECLARED)]


def log(event, **fields):
    """Log an event with its fields."""
    extra = {"event": event.number, "fields": fields}
    _LOGGER.log(event.level, event.text, extra=extra)


def set_up(instance, stream=None, level=logging.INFO):
    """Configure logging of events as JSON lines to a stream.

    Parameters
    ----------
    instance : str
        Instance name, which is added to every line.
    stream : file-like object or None
        Output stream; None for standard error.
    level : int
        Minimum level of the events that are logged.

    Returns
    -------
    logging.handlers.QueueListener
        Listener that writes the lines, already started.

    Notes
    -----
    A separate thread writes the lines, so that a blocked reader of the
    stream does not block the daemon. Lines that do not fit in the queue are
    dropped, and a later line reports their number.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"instance": instance},
        )
    )
    lines = queue.Queue(MAX_QUEUED_LINES)
    listener = logging.handlers.QueueListener(lines, handler)
    listener.start()
    atexit.register(listener.stop)
    _LOGGER.handlers[:] = [_DroppingHandler(lines)]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level)
    return listener


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queue handler that drops records while the queue is full."""

    def __init__(self, lines):
        super().__init__(lines)
        self._dropped = 0

    def prepare(self, record):
        """Return the record unchanged, to be formatted by the listener."""
        return record

    def enqueue(self, record):
        """Queue a record without blocking, or count it as dropped."""
        try:
            if self._dropped:
                self.queue.put_nowait(self._make_dropped_record(record))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def _make_dropped_record(self, record):
        """Return a record that reports the number of dropped lines."""
        summary = logging.makeLogRecord(record.__dict__)
        summary.levelno, summary.levelname = DROPPED.level, "WARNING"
        summary.msg, summary.event = DROPPED.text, DROPPED.number
        summary.fields = {"lines": self._dropped}
        return summary


DROPPED = declare(
    1004,
    logging.WARNING,
    "log lines were dropped because the log output was read too slowly",
    "read the output faster, or find out why so many lines are logged",
)
