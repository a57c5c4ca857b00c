"""A late attempt that is kept while another endpoint is asked."""

import attrs

from mulberryhollow import errors
from mulberryhollow.serving import answers

__all__ = ["KeptAttempt"]

MAX_PIECE_BYTES = answers.MIN_EVENT_BYTES
"""Maximum size of the comments that are kept, in bytes; others are dropped."""


@attrs.define(eq=False)
class KeptAttempt:
    """An attempt that is late, and what arrives of it meanwhile.

    Parameters
    ----------
    attempt : object
        The attempt, with its `channel` and its `answer`.
    reader : AnswerReader
        Reader of the answer.

    Attributes
    ----------
    goes_on : bool
        Whether the endpoint has answered, so that no other one is needed.
    piece : bytes
        What has been read of the answer and the caller does not have.
    fault : object or None
        A tagged outcome of `coordination.streams` once the answer has failed.
    """

    attempt: object
    reader: answers.AnswerReader
    goes_on: bool = attrs.field(default=False, init=False)
    piece: bytes = attrs.field(default=b"", init=False)
    fault: object = attrs.field(default=None, init=False)

    @property
    def channel(self):
        """Connection of the attempt."""
        return self.attempt.channel

    @property
    def has_failed(self):
        """Whether the attempt is known to have ended early."""
        return self.fault is not None or self.channel.has_broken_off

    @property
    def is_decided(self):
        """Whether nothing more is to be received during the trial."""
        return self.goes_on or self.has_failed

    def receive(self):
        """Read what has arrived at the connection.

        A stream goes on with its next event, or with its end. Comments and
        parts of an event do not show that the event will come.
        """
        answer = self.attempt.answer
        if answer is None:
            self.goes_on = not self.channel.has_broken_off
            return
        count = self.reader.assembly.event_count
        try:
            piece = self.reader.read_arrived(answer)
        except errors.EndpointError as error:
            self.fault = error.fault
            return
        has_event = self.reader.assembly.event_count > count
        self.goes_on = has_event or piece is None
        if piece and (has_event or len(self.piece + piece) <= MAX_PIECE_BYTES):
            self.piece += piece
