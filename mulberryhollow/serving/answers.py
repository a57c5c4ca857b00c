"""Reads the answer of a request that is passed on."""

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow import errors

__all__ = ["AnswerReader"]

_SKIM_TIMEOUT_S = 0.25
"""Longest time for the body of a refusal, in seconds."""


class AnswerReader:
    """Reads one answer, over as many endpoints as it takes.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    clock : Clock
        Source of time.
    recorder : object
        Counts what has begun and its first event.

    Attributes
    ----------
    assembly : EventAssembly
        Events of a stream so far.
    first_s : float
        Time to the first events, in seconds; 0 before them.
    longest_gap_s : float
        Longest pause between events, in seconds.
    """

    def __init__(self, request, clock, recorder):
        self.assembly = streams.EventAssembly(request.last_event_id)
        self.first_s = 0.0
        self.longest_gap_s = 0.0
        self._request = request
        self._clock = clock
        self._recorder = recorder
        self._has_begun = False
        self._event_s = 0.0

    @property
    def has_events(self):
        """Whether a stream can be gone on with after an event."""
        return bool(self.assembly.last_id)

    def skim(self, answer):
        """Read a refusal to its end, so that its connection is kept."""
        while answer.read_piece(_SKIM_TIMEOUT_S):
            pass

    def read_whole(self, answer):
        """Return the whole body of an answer.

        Raises
        ------
        EndpointError
            When it is broken off.
        """
        pieces = iter(lambda: answer.read_piece(self._find_left()), b"")
        body = b"".join(pieces)
        self._mark_begun()
        return body

    def read_events(self, answer, runs):
        """Return the next whole events; None at the whole end.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.
        runs : int
            Endpoints that may have run the request before this one.

        Returns
        -------
        bytes or None
            Empty while no event is whole.

        Raises
        ------
        EndpointError
            When it is broken off, or an event is missing.
        """
        now_s = self._clock.now_s()
        piece = answer.read_piece(
            decisions.wait_for_event(self._request, runs, now_s)
        )
        if not piece:
            return None
        found = self.assembly.feed(piece)
        if isinstance(found, streams.Crossed):
            raise errors.EndpointError(found)
        if found:
            self._note_events()
        return found

    def _find_left(self):
        """Return the time to the deadline, in seconds."""
        left_s = self._request.deadline_s - self._clock.now_s()
        return max(decisions.LEAST_LEFT_S, left_s)

    def _note_events(self):
        """Note the time of the first events, or the pause before these."""
        now_s = self._clock.now_s()
        if self._has_begun:
            gap_s = now_s - self._event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self._mark_begun()
            self.first_s = now_s - self._request.arrived_s
            self._recorder.record_first(self._request, self.first_s)
        self._event_s = now_s

    def _mark_begun(self):
        """Count the request as begun at an endpoint, once."""
        if not self._has_begun:
            self._has_begun = True
            self._recorder.record_begun(self._request)
