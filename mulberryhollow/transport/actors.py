"""Actors that go on after an exception."""

import logging

import pykka

from mulberryhollow import events

__all__ = ["ResilientActor"]

MESSAGE_FAILED = events.declare(
    1016,
    logging.ERROR,
    "an actor caught an unexpected exception and dropped the message",
    "report this defect with the log lines around it",
)


MAX_ERROR = 500
"""Maximum length of an error in the log, in characters."""


class ResilientActor(pykka.ThreadingActor):
    """Actor that logs the exception of a message and handles the next one.

    A sender that waits for an answer gets the exception instead.

    Notes
    -----
    An actor of Pykka stops at an exception that no sender waits for, and all
    later messages to it fail.
    """

    def _handle_failure(self, exception_type, exception_value, traceback):
        """Log the exception in place of stopping."""
        events.log(
            MESSAGE_FAILED,
            actor=type(self).__name__,
            error=repr(exception_value)[:MAX_ERROR],
        )
