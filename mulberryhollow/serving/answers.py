"""Reads the answer of a forwarded request."""

import copy
import math
import statistics
import threading

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages

__all__ = ["AnswerBuffers", "AnswerReader"]

_DRAIN_TIMEOUT_S = 0.25
"""Maximum time to read a refusal's body, in seconds."""


MAX_REFUSAL_BYTES = 65536
"""Maximum size of a refusal's body that is read to reuse its connection."""

MAX_ANSWER_BYTES = 4 << 20
"""Maximum size of an answer that is not a stream, in bytes.

Such an answer is held in memory until it is complete.
"""

MAX_BUFFERED_BYTES = 32 << 20
"""Maximum size of all answers that are held in memory, in bytes.

The first MIN_ANSWER_BYTES of each answer, or MIN_EVENT_BYTES of each
incomplete event of a stream, do not count.
"""

MIN_ANSWER_BYTES = 65536
"""Size up to which an answer is always held, in bytes."""

MIN_EVENT_BYTES = 16384
"""Size up to which an incomplete event is always held, in bytes."""


MIN_READ_S = 0.1
"""Least time to read what has been found to have arrived, in seconds."""

MAX_GAPS = 64
"""Number of gaps between events of one answer whose median is taken."""


class AnswerBuffers:
    """Budget of the memory for what is not yet complete."""

    def __init__(self):
        self._free_bytes = MAX_BUFFERED_BYTES
        self._lock = threading.Lock()

    def reserve(self, size_bytes):
        """Reserve memory; return whether there was enough."""
        with self._lock:
            if size_bytes > self._free_bytes:
                return False
            self._free_bytes -= size_bytes
            return True

    def release(self, size_bytes):
        """Release memory that was reserved."""
        with self._lock:
            self._free_bytes += size_bytes


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
    buffers : AnswerBuffers
        Budget of the memory for incomplete answers and events.

    Attributes
    ----------
    assembly : EventAssembly
        Events of the stream received so far.
    first_s : float
        Time to the first events, in seconds; 0 before their arrival.
    longest_gap_s : float
        Longest gap between events, in seconds.
    framing : Framing or None
        Framing of the last answer; None before its head.
    is_new_connection : bool or None
        Whether the last answer came over a connection opened for it; None
        before its head.
    body_bytes : int
        Bytes read of all bodies, refusals excepted.
    """

    def __init__(self, request, clock, recorder, buffers):
        self.assembly = streams.EventAssembly(request.last_event_id)
        self.first_s = 0.0
        self.longest_gap_s = 0.0
        self.framing = None
        self.is_new_connection = None
        self.body_bytes = 0
        self._request = request
        self._clock = clock
        self._recorder = recorder
        self._buffers = buffers
        self._reserved_bytes = 0
        self._has_begun = False
        self._is_resumed = False
        self._event_s = 0.0
        self._waited_s = 0.0
        self._rounds = 0
        self._is_ready = False
        self._silence_s = 0.0
        self._gaps_s = []
        self._event_count = 0
        self._earlier_count = 0
        self._last_event_s = 0.0

    @property
    def median_gap_s(self):
        """Median time between two of the first events; 0 without any.

        Unlike the mean, it shows the step time of the endpoint also where
        some steps were delayed by long prompts of other requests.
        """
        return statistics.median(self._gaps_s) if self._gaps_s else 0.0

    @property
    def is_resumable(self):
        """Whether an event id is known after which to resume the stream."""
        return bool(self.assembly.last_id)

    @property
    def is_repeatable(self):
        """Whether another endpoint repeats no event that was returned."""
        return self.is_resumable or not self.assembly.event_count

    def fork(self):
        """Return a reader that continues this one from another endpoint.

        This one stays as it is, so that either of them can be used.
        """
        forked = copy.copy(self)
        forked.assembly = copy.copy(self.assembly)
        forked._gaps_s = list(self._gaps_s)
        forked._reserved_bytes = 0
        forked._waited_s = 0.0
        return forked

    def begin_answer(self, answer, is_resumed):
        """Begin to read an answer whose head has arrived.

        What an earlier one has left unfinished is dropped.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.
        is_resumed : bool
            Whether the caller has events that the answer has to continue.
        """
        self.assembly.restart()
        self._reserve(0)
        self._is_resumed = is_resumed
        self._earlier_count = self.assembly.event_count
        self._silence_s = 0.0
        self._rounds = 0
        self.framing = answer.framing
        self.is_new_connection = answer.is_new_connection

    def drain(self, answer):
        """Read a refusal to its end, so that its connection can be reused.

        One that is longer, or does not end, is left, and so its connection is
        closed.

        Raises
        ------
        EndpointError
            Crossed when its body holds another answer or is malformed.
        """
        try:
            self._read_refusal(answer)
        except errors.EndpointError as error:
            # The head has told that the request has not run.
            match error.fault:
                case streams.Crossed():
                    raise

    def _read_refusal(self, answer):
        """Read a refusal to its end, up to a size and a time."""
        end_s = self._clock.now_s() + _DRAIN_TIMEOUT_S
        size = 0
        while size < MAX_REFUSAL_BYTES:
            piece = answer.read_piece(end_s - self._clock.now_s())
            if not piece:
                return
            size += len(piece)

    def read_whole(self, answer):
        """Return the complete body of an answer.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.

        Raises
        ------
        EndpointError
            When the body ends early or is too large to be held in memory.
        """
        pieces = []
        size = 0
        while True:
            piece = answer.read_piece(self._find_remaining_s())
            if not piece:
                break
            size += len(piece)
            self.body_bytes += len(piece)
            if size > MAX_ANSWER_BYTES:
                raise _make_too_large_error(
                    "the answer exceeds the size limit"
                )
            self._reserve(size - MIN_ANSWER_BYTES)
            pieces.append(piece)
        self._mark_begun()
        return b"".join(pieces)

    def close(self):
        """Release the memory of the answer."""
        self._reserve(0)

    def _reserve(self, size):
        """Reserve memory of a size, instead of what was reserved before."""
        missing = max(0, size) - self._reserved_bytes
        if missing > 0 and not self._buffers.reserve(missing):
            raise _make_too_large_error("no memory is left for the answer")
        if missing < 0:
            self._buffers.release(-missing)
        self._reserved_bytes += missing

    @property
    def waited_s(self):
        """Time waited for the next event, in seconds."""
        return self._waited_s

    @property
    def silence_s(self):
        """Time waited since the last head or event, in seconds.

        Unlike the time that has passed, it contains none in which a slow
        caller was waited for. Comments are no events.
        """
        return self._silence_s

    @property
    def event_age_s(self):
        """Time since the last event of this answer; None before the first."""
        if self.assembly.event_count == self._earlier_count:
            return None
        return self._clock.now_s() - self._last_event_s

    def restart_wait(self):
        """Begin to wait for the next event once more, for longer."""
        self._waited_s = 0.0
        self._rounds += 1

    def wait(self, answer, runs):
        """Wait for more of a stream; return False when it takes too long.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.
        runs : int
            Number of endpoints that may have run the request before this one.
        """
        now_s = self._clock.now_s()
        timeout_s = decisions.get_event_timeout_s(
            self._request, runs, now_s, self._waited_s, self._rounds
        )
        self._is_ready = timeout_s > 0 and answer.wait(timeout_s)
        elapsed_s = self._clock.now_s() - now_s
        self._waited_s += elapsed_s
        self._silence_s += elapsed_s
        return self._is_ready

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
            When the answer ends early, also inside an event, an event is
            missing, or no memory is left for an incomplete one.
        """
        found = self._read_complete(answer, runs)
        if found:
            self.record_event_times()
        return found

    def read_arrived(self, answer):
        """Return complete events that have arrived, as for `read_events`.

        No times are recorded: `record_event_times` has to be called if what
        was found is passed on.
        """
        piece = answer.read_arrived()
        return b"" if piece is None else self._accept(piece)

    def read_first_event(self, answer, runs):
        """Return the first new event of an answer, and what it came with.

        Parameters
        ----------
        answer : OpenAnswer
            The answer.
        runs : int
            Number of endpoints that may have run the request before this one.

        Raises
        ------
        EndpointError
            As for `read_events`, and when no new event comes in the time for
            one.
        """
        found = b""
        count = self.assembly.event_count
        now_s = self._clock.now_s()
        timeout_s = decisions.get_event_timeout_s(self._request, runs, now_s)
        # Parts of an event do not extend the time for it.
        end_s = now_s + timeout_s
        while self.assembly.event_count == count:
            if len(found) > MIN_EVENT_BYTES:
                raise _make_too_large_error("no event within the size limit")
            left_s = end_s - self._clock.now_s()
            if left_s <= 0:
                raise errors.EndpointError(streams.Silent(timeout_s))
            piece = self._read_complete(answer, runs, left_s)
            if piece is None:
                fault = streams.Broken("it ended without a new event")
                raise errors.EndpointError(fault)
            found += piece
        self.record_event_times()
        return found

    def _read_complete(self, answer, runs, limit_s=math.inf):
        """Return what is complete of a stream, as for `read_events`."""
        now_s = self._clock.now_s()
        waited_s, self._waited_s = self._waited_s, 0.0
        timeout_s = decisions.get_event_timeout_s(
            self._request, runs, now_s, waited_s, self._rounds
        )
        is_ready, self._is_ready = self._is_ready, False
        if is_ready:
            timeout_s = max(timeout_s, MIN_READ_S)
        timeout_s = min(timeout_s, limit_s)
        if timeout_s <= 0:
            raise errors.EndpointError(streams.Silent(waited_s))
        found = self._accept(answer.read_piece(timeout_s))
        # Once others have been asked, only an event restarts the wait.
        if found is not None and (not found or self._rounds):
            self._waited_s = waited_s + self._clock.now_s() - now_s
        return found

    def _accept(self, piece):
        """Return what is complete of a stream; None at its end.

        Parameters
        ----------
        piece : bytes
            What has been read of the body; empty at its end.
        """
        if not piece:
            self._check_stream_end()
            return None
        self.body_bytes += len(piece)
        count = self.assembly.event_count
        found = self.assembly.feed(piece)
        if isinstance(found, streams.Crossed):
            raise errors.EndpointError(found)
        if self.assembly.event_count > count:
            self._silence_s = 0.0
            self._rounds = 0
            self._waited_s = 0.0
            self._last_event_s = self._clock.now_s()
        self._reserve(len(self.assembly.rest) - MIN_EVENT_BYTES)
        return found

    def _check_stream_end(self):
        """Raise Broken when the stream has ended before its last event.

        Notes
        -----
        An endpoint that closes the connection may not have finished. Its
        events are then the only sign that some of the stream is missing.
        One that resumes a stream shows by an event that it continues it.
        """
        if self._is_resumed and not self.assembly.has_id:
            fault = streams.Broken("the resumed stream has no events")
            raise errors.EndpointError(fault)
        if self.assembly.is_inside_event:
            fault = streams.Broken("the stream ended inside an event")
            raise errors.EndpointError(fault)
        is_closed = self.framing is messages.Framing.CONNECTION_CLOSE
        has_events = self._has_begun or self._request.last_event_id
        if is_closed and not has_events:
            fault = streams.Broken("the stream ended before its first event")
            raise errors.EndpointError(fault)

    def _find_remaining_s(self):
        """Return the time to read an answer that has begun, in seconds.

        Raises
        ------
        EndpointError
            Silent when less than nothing is left, with `MIN_REMAINING_S`
            added to the time of the request.
        """
        end_s = self._request.deadline_s + decisions.MIN_REMAINING_S
        remaining_s = end_s - self._clock.now_s()
        if remaining_s <= 0:
            waited_s = self._clock.now_s() - self._request.arrived_s
            raise errors.EndpointError(streams.Silent(waited_s))
        return remaining_s

    def record_event_times(self):
        """Record the time to the first events, or the gap between events."""
        now_s = self._clock.now_s()
        if self._has_begun:
            gap_s = now_s - self._event_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            if len(self._gaps_s) < MAX_GAPS:
                events = max(1, self.assembly.count - self._event_count)
                self._gaps_s.append(gap_s / events)
        else:
            self._mark_begun()
            self.first_s = now_s - self._request.arrived_s
            self._recorder.record_first(self._request, self.first_s)
        self._event_s = now_s
        self._event_count = self.assembly.count

    def _mark_begun(self):
        """Count the request as begun by an endpoint, once."""
        if not self._has_begun:
            self._has_begun = True
            self._recorder.record_begun(self._request)


def _make_too_large_error(detail):
    """Return the EndpointError for an answer that cannot be held."""
    return errors.EndpointError(streams.Crossed(detail))
