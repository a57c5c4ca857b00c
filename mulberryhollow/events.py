"""Numbered log events, declared beside their use, written as JSON."""

import atexit
import logging
import logging.handlers
import queue
import sys

import attrs
from pythonjsonlogger import json as json_formatter

__all__ = ["Event", "declare", "list_declared", "log", "set_up"]

QUEUE_LINES = 20_000
"""Lines that wait for a slow reader; further ones are dropped.

A few seconds of the busiest instance, about 10 MB.
"""

_LOGGER = logging.getLogger("mulberryhollow")
_DECLARED = {}


@attrs.frozen
class Event:
    """One kind of log line.

    Parameters
    ----------
    number : int
        Its number in the catalogue.
    level : int
        A level of the logging module.
    text : str
        What it says; fields are added beside it.
    action : str
        What an operator does about it.
    """

    number: int
    level: int
    text: str
    action: str


def declare(number, level, text, action="nothing"):
    """Declare an event beside its use; a number is used once.

    Raises
    ------
    ValueError
        When the number is taken.
    """
    if number in _DECLARED:
        raise ValueError(f"event {number} is declared twice")
    event = Event(number, level, text, action)
    _DECLARED[number] = event
    return event


def list_declared():
    """Return every declared event, sorted by number."""
    return [_DECLARED[number] for number in sorted(_DECLARED)]


def log(event, **fields):
    """Write one event with its fields."""
    extra = {"event": event.number, "fields": fields}
    _LOGGER.log(event.level, event.text, extra=extra)


def set_up(instance, stream=None, level=logging.INFO):
    """Send events as JSON lines to a stream, naming the instance.

    Notes
    -----
    Lines are written by a thread of their own, so that a reader that does
    not read holds nothing up; what is dropped is counted in a line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"instance": instance},
        )
    )
    lines = queue.Queue(QUEUE_LINES)
    listener = logging.handlers.QueueListener(lines, handler)
    listener.start()
    atexit.register(listener.stop)
    _LOGGER.handlers[:] = [_DroppingHandler(lines)]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level)
    return listener


class _DroppingHandler(logging.handlers.QueueHandler):
    """Hands records to the writer; drops them while it is behind."""

    def __init__(self, lines):
        super().__init__(lines)
        self._dropped = 0

    def prepare(self, record):
        """Leave the record to the writer's formatter."""
        return record

    def enqueue(self, record):
        """Hand a record over without waiting."""
        try:
            if self._dropped:
                self.queue.put_nowait(self._tell_dropped(record))
                self._dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def _tell_dropped(self, record):
        """Return the line that counts what was dropped."""
        told = logging.makeLogRecord(record.__dict__)
        told.levelno, told.levelname = DROPPED.level, "WARNING"
        told.msg, told.event = DROPPED.text, DROPPED.number
        told.fields = {"lines": self._dropped}
        return told


DROPPED = declare(
    1004,
    logging.WARNING,
    "log lines were dropped, since nobody read them",
    "read the output faster, or look at why there are so many",
)
