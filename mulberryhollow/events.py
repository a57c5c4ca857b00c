"""Numbered log events, declared beside their use, written as JSON."""

import logging
import sys

import attrs
from pythonjsonlogger import json as json_formatter

__all__ = ["Event", "declare", "list_declared", "log", "set_up"]

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
    """Send events as JSON lines to a stream, naming the instance."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"instance": instance},
        )
    )
    _LOGGER.handlers[:] = [handler]
    _LOGGER.propagate = False
    _LOGGER.setLevel(level)
