"""Reads the answer of a forwarded request."""

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow import errors

__all__ = ["AnswerReader"]

_DRAIN_TIMEOUT_S = 0.25
"""Maximum wait for each piece of a refusal's body, in seconds."""


class AnswerReader:
    """Reads one answer, which may come from several endpoints in turn.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    clock : Clock
        Source of time.
    recorder : object
        Counts the request as begun and records the time to its first event.

    Attributes
    ----------
    assembly : EventAssembly
        Events of the stream received so far.
    first_s : float
        Time to the first events, in seconds; 0 before their arrival.
    longest_gap_s : float
        Longest gap between events, in seconds.
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
    def is_resumable(self):
        """Whether an event id is known after which to resume the stream."""
        return bool(self.assembly.last_id)

    def drain(self, answer):
        """Read a refusal to its end, so that its connection can be reused."""
        while answer.read_piece(_DRAIN_TIMEOUT_S):
            pass

    def read_whole(self, answer):
        """Return the complete body of an answer.

        Raises
        ------
        EndpointError
            When the body ends early.
        """
        pieces = iter(
            lambda: answer.read_piece(self._compute_remaining()), b""
        )
        body = b"".join(pieces)
        self._mark_begun()
        return body

    def read_events(self, answer, runs):
        """Return the next complete events; None at the end of the answer.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.
        runs : int
            Number of endpoints that may have run the request before this one.

        Returns
        -------
        bytes or None
            Empty while no event is complete.

        Raises
        ------
        EndpointError
            When the answer ends early, or an event is missing.
        """
        now_s = self._clock.now_s()
        piece = answer.read_piece(
            decisions.get_event_timeout_s(self._request, runs, now_s)
        )
        if not piece:
            return None
        found = self.assembly.feed(piece)
        if isinstance(found, streams.Crossed):
            raise errors.EndpointError(found)
        if found:
            self._record_event_times()
        return found

    def _compute_remaining(self):
        """Return the seconds remaining, at least `MIN_REMAINING_S`."""
        remaining_s = self._request.deadline_s - self._clock.now_s()
        return max(decisions.MIN_REMAINING_S, remaining_s)

    def _record_event_times(self):
        """Record the time to the first events, or the gap between events."""
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
        """Count the request as begun by an endpoint, once."""
        if not self._has_begun:
            self._has_begun = True
            self._recorder.record_begun(self._request)
