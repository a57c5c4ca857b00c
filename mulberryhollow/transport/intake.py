"""What an HTTP server takes in from its clients, within limits for all."""

import logging

import attrs
from waitress import utilities

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import intake as decisions
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.transport import replies
from mulberryhollow.transport import request_parsing

__all__ = [
    "Intake",
    "IntakeLimits",
    "NOT_CONFIGURED",
    "NO_ROOM",
    "PlainCodec",
    "TOO_MANY_CONNECTIONS",
]

RETRY_AFTER_S = 0.5
"""Retry delay sent when there is too little memory, in seconds.

The caller's next connection most likely reaches another instance.
"""

DEFAULT_BODY_TIMEOUT_S = 60.0
"""Longest time for a body if neither its request nor a route names one, in
seconds."""

DEFAULT_HEADER_TIMEOUT_S = 15.0
"""Longest time for a head if the configuration names none, in seconds."""

REFUSED = events.declare(
    2006,
    logging.INFO,
    "a request was refused before all of it had arrived",
    "if there are many for want of memory or of connections, look for clients "
    "that do not end their requests, or add instances",
)

NO_ROOM = errors.Refusal(
    errors.RefusalKind.NO_CAPACITY,
    "this instance has no memory left for the request",
    "send the request again",
    errors.ExecutionStatus.NOT_RUN,
    RETRY_AFTER_S,
)
"""Refusal of a request for which there is too little memory."""

TOO_MANY_CONNECTIONS = errors.Refusal(
    errors.RefusalKind.NO_CAPACITY,
    "this instance has too many connections",
    "send the request again",
    errors.ExecutionStatus.NOT_RUN,
    RETRY_AFTER_S,
)
"""Refusal of an incomplete request whose connection gives way to others."""

_TOO_LATE = errors.Refusal(
    errors.RefusalKind.DEADLINE_PASSED,
    "the request did not arrive completely in its time",
    "send the whole request sooner",
)


@attrs.frozen
class IntakeLimits:
    """Limits on the requests of a server's clients.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest size of a request's head and body, in bytes.
    header_timeout_s : float
        Longest time from the first byte of a head to its end, in seconds.
    body_timeout_s : float
        Longest time from the end of the head to the end of the body, in
        seconds; that of the request itself, if it is shorter, goes before
        it.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    body_timeout_s: float = DEFAULT_BODY_TIMEOUT_S


NOT_CONFIGURED = IntakeLimits(header_bytes=256 * 1024, body_bytes=1 << 30)
"""Limits before there is a configuration.

Only a configuration can tell that a request is too large for ever.
"""


class PlainCodec:
    """Codec of refusals as plain text, for servers without their own."""

    def encode_refusal(self, refusal):
        """Return the Reply for a refusal."""
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
        body = f"{refusal.message}; {refusal.remedy}\n".encode()
        status = refusal.kind.http_status
        return replies.Reply(status, tuple(headers), body)

    def get_wait_s(self, headers):
        """Return None: the requests name no time for which clients wait."""


class Intake:
    """What one server holds for its clients, and which of them yield.

    Parameters
    ----------
    name : str
        Name of the server, for log lines and counters.
    connections : int
        Largest number of connections.
    compute_capacity : callable
        Returns the memory for all requests together, in bytes, for that of
        one of the largest size.
    unread_bytes : int
        Memory for all answers together that clients do not read, in bytes.
    codec : object
        ``encode_refusal(refusal)`` returns a Reply; ``get_wait_s(headers)``
        the time that a client waits, in seconds, or None.
    limits : IntakeLimits
        Limits on each request.
    clock : Clock
        Source of time.
    count : callable
        Called with the name of a counter to increase it.

    Notes
    -----
    Used by the thread of the server. Other threads call `forget`, and close
    the requests.
    """

    def __init__(
        self,
        name,
        connections,
        compute_capacity,
        unread_bytes,
        codec=None,
        limits=IntakeLimits(),
        clock=None,
        count=lambda name: None,
    ):
        self.connections = connections
        self.unread_bytes = unread_bytes
        self.limits = limits
        self._name = name
        self._compute_capacity = compute_capacity
        self._codec = codec or PlainCodec()
        self._clock = clock or clocks.SystemClock()
        self._count = count
        self._buffers = decisions.RequestBuffers(0)
        self.apply(self.limits)

    @property
    def held_bytes(self):
        """Memory of all requests, in bytes."""
        return self._buffers.held_bytes

    def apply(self, limits):
        """Replace the IntakeLimits."""
        self.limits = limits
        largest_bytes = (
            request_parsing.REQUEST_BYTES
            + request_parsing.HEAD_COPIES * limits.header_bytes
            + request_parsing.BODY_COPIES * limits.body_bytes
        )
        self._buffers.set_capacity(
            self._compute_capacity(largest_bytes), largest_bytes
        )

    def begin(self, adjustments):
        """Return the RequestParser of a request whose first byte arrived."""
        parser = request_parsing.RequestParser(adjustments)
        parser.began_s = self._clock.now_s()
        parser.on_close = self._buffers.release
        return parser

    def screen(self, request):
        """Return the Refusal of a request whose head is complete, or None.

        A request whose announced body finds no memory is refused before
        the body is sent.
        """
        now_s = self._clock.now_s()
        wait_s = self._codec.get_wait_s(request.headers)
        most_s = self.limits.body_timeout_s
        request.deadline_s = now_s + min(
            most_s, most_s if wait_s is None else wait_s
        )
        announced_bytes = request.estimate(request.content_length)
        if self._buffers.has_room(announced_bytes):
            return None
        return NO_ROOM

    def hold(self, connection, request):
        """Count the memory of a request that has grown or is complete.

        Returns
        -------
        list
            Connections whose requests yield; their memory is not counted
            any more.
        """
        now_s = self._clock.now_s()
        if not request.completed:
            return self._buffers.resize(connection, request.held_bytes, now_s)
        return self._buffers.complete(
            connection, request, request.complete_bytes, now_s
        )

    def drop(self, connection):
        """Forget the request that a connection is sending, if any."""
        self._buffers.drop(connection)

    def forget(self, connection):
        """Forget a closed connection; thread-safe."""
        self._buffers.forget(connection)

    def settle(self):
        """Count what was released since the last request."""
        self._buffers.settle()

    def find_late(self, request):
        """Return the Refusal of a request whose time has passed, or None.

        It is refused when it is found late twice, so that what arrived while
        this process did not run is read before.
        """
        is_blank = not (
            request.headers_finished or request.header_plus.strip()
        )
        if is_blank:
            # Empty lines behind a request are no beginning of the next one.
            return None
        began_s = request.began_s
        end_s = request.deadline_s or began_s + self.limits.header_timeout_s
        if self._clock.now_s() < end_s:
            return None
        was_overdue, request.is_overdue = request.is_overdue, True
        return _TOO_LATE if was_overdue else None

    def count_closed(self):
        """Count a connection that was closed for others."""
        self._count(f"intake_closed.{self._name}")

    def encode(self, refusal, request):
        """Return the Reply for a refusal; count and log it."""
        self._count(f"intake_refusals.{self._name}.{refusal.kind.wire_name}")
        events.log(
            REFUSED,
            server=self._name,
            kind=refusal.kind.wire_name,
            reason=refusal.message,
            request_bytes=request.held_bytes,
            age_s=round(self._clock.now_s() - request.began_s, 3),
            held_bytes=self.held_bytes,
        )
        return self._codec.encode_refusal(refusal)

    def encode_error(self, request):
        """Return the Reply for a request that could not be parsed."""
        match request.error:
            case utilities.RequestEntityTooLarge():
                return self.encode(self._make_oversize(), request)
            case error:
                status, headers, body = error.to_response()
                code = int(status.partition(" ")[0])
                return replies.Reply(code, tuple(headers), body)

    def _make_oversize(self):
        """Return the refusal of a body that is too large."""
        return errors.Refusal(
            errors.RefusalKind.OVERSIZE,
            "the request body is too large",
            f"send at most {self.limits.body_bytes} bytes",
        )
