"""Client that forwards requests to endpoints."""

import logging

import attrs

from mulberryhollow.coordination import forwarding
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.transport import appended_answers
from mulberryhollow.transport import channel as channels
from mulberryhollow.transport import connection as connections
from mulberryhollow.transport import liveness

__all__ = ["ForwardClient", "OpenAnswer", "SocketInput", "wait_readable"]

SocketInput = channels.SocketInput
wait_readable = channels.wait_readable

ALIVE_CHECK_TIMEOUT_S = 0.1
"""Timeout of the TCP handshake that shows an endpoint is alive, in seconds."""

IDLE_MARGIN_S = 0.5
"""Margin subtracted from the announced idle limit, in seconds."""

DEFAULT_IDLE_S = 4.0
"""Idle limit assumed when the endpoint announces none, in seconds."""

MIN_ERROR_STATUS = 400
"""Lowest status of an error response, which may lack the request id.

It is believed only as the first answer on a connection: on others it may be
a late one to an earlier request.
"""

MAX_STALE_ANSWERS = 2
"""Largest number of stale answers to skip while waiting for a response.

A stale answer belongs to an earlier request on the connection.
"""

MAX_STALE_BYTES = 1 << 20
"""Largest number of bytes of a stale answer's body to skip."""

OUT_OF_STEP = events.declare(
    4080,
    logging.WARNING,
    "an endpoint sent an answer that cannot be matched to the request",
    "if it repeats, check the endpoint for answers that it sends twice",
)


@attrs.frozen
class Attempt:
    """One attempt to send a request to an endpoint.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    call : EndpointCall
        The request.
    wait_s : float
        Longest time to wait for the head of the response, in seconds.
    is_fresh : bool
        Whether the request needs a new connection, so that it cannot be
        sent on a dead one.
    connect_s : float
        Longest time of the TCP handshake, in seconds.
    """

    address: str
    call: object
    wait_s: float
    is_fresh: bool
    connect_s: float = forwarding.CONNECT_TIMEOUT_S


class ForwardClient:
    """Sends requests to endpoints and reads the responses.

    Parameters
    ----------
    codec : object
        ``decode_head(status, headers)`` returns an AnswerHead.
    clock : Clock
        Source of time, for the idle time of connections.
    is_id_required : bool
        Whether an error without a request id is believed only as the first
        answer on a connection. Peers answer in order, and their refusals name
        no request.
    """

    def __init__(self, codec, clock, is_id_required=True):
        self._codec = codec
        self._clock = clock
        self._is_id_required = is_id_required
        self._pool = connections.ConnectionPool(
            clock,
            open_connection=channels.EndpointChannel.open,
            is_usable=channels.EndpointChannel.is_usable,
        )

    def open(
        self,
        attempt,
        on_channel=lambda channel: None,
        await_answer=None,
    ):
        """Send a request; return its OpenAnswer once the head has arrived.

        Parameters
        ----------
        attempt : Attempt
            The request, the endpoint and the timeout.
        on_channel : callable
            Called with the channel before anything is sent, so that
            another thread can abort the attempt.
        await_answer : callable or None
            Called with the channel once the request has been sent. Waits
            until the answer begins to arrive, and returns the time in which
            its head has to be whole, in seconds, or raises to end the
            attempt. None to wait as long as the attempt says. It may set
            the `await_input` of the channel, which holds for the head.

        Raises
        ------
        EndpointError
            NotSent when no byte has been sent; any other fault when the
            request may have run.
        """
        channel, is_new = self._acquire_channel(attempt)
        try:
            on_channel(channel)
            channel.send(attempt.call, attempt.wait_s)
            wait_s = await_answer(channel) if await_answer else attempt.wait_s
            head = self._receive_head(channel, attempt, wait_s)
            channel.await_input = None
            if channel.framing is messages.Framing.CONNECTION_CLOSE:
                channel.guard_body(self._make_guard(channel))
        except BaseException as error:
            channel.close()
            if not is_new and _has_fault(error, streams.NotSent):
                # Bytes or the end of the connection came after the check.
                fresh = attrs.evolve(attempt, is_fresh=True)
                return self.open(fresh, on_channel, await_answer)
            if not is_new and _has_fault(error, streams.Silent):
                # The path may be lost: the other idle connections to the
                # endpoint would fail in the same way, only after a request
                # has been sent on them.
                self._pool.close_idle(attempt.address)
            raise
        return OpenAnswer(head, channel, attempt.address, self._pool, is_new)

    def is_alive(self, address):
        """Return whether an endpoint accepts connections."""
        try:
            channels.EndpointChannel.open(
                address, ALIVE_CHECK_TIMEOUT_S
            ).close()
        except errors.EndpointError:
            return False
        return True

    def has_ended(self, address):
        """Return whether the process of an endpoint is gone after a fault."""
        return liveness.has_ended(self.is_alive, address, self._clock)

    def _acquire_channel(self, attempt):
        """Return the channel for an attempt, and whether it is new.

        One that has carried an earlier attempt of the request is closed:
        the answers of both attempts have the same id.
        """
        connect_s = min(attempt.connect_s, attempt.wait_s)
        if attempt.is_fresh:
            channel = channels.EndpointChannel.open(attempt.address, connect_s)
            return channel, True
        while True:
            channel, is_new = self._pool.acquire(
                attempt.address, connect_s, connect_s
            )
            if not channel.has_carried(attempt.call.request_id):
                return channel, is_new
            channel.close()

    def _receive_head(self, channel, attempt, wait_s):
        """Return the head of the response, skipping stale answers.

        All of them together may take the time that the attempt may wait.
        The connection is not reused after one. When a request was not sent to
        its end before it came, the endpoint waits for the rest, and so the
        attempt ends.
        """
        end_s = self._clock.now_s() + wait_s
        is_first = channel.earlier_requests == 0 or not self._is_id_required
        for _ in range(1 + MAX_STALE_ANSWERS):
            status, headers = channel.receive(
                attempt.call.method, end_s - self._clock.now_s()
            )
            head = self._codec.decode_head(status, headers)
            has_no_id = not head.request_id and status >= MIN_ERROR_STATUS
            is_expected = head.request_id == attempt.call.request_id
            if is_expected or (has_no_id and is_first):
                return head
            _log_out_of_step(channel, attempt, head)
            channel.is_in_step = is_first = False
            if has_no_id or not channel.is_request_complete:
                fault = streams.Crossed(
                    f"status {status} for request {head.request_id or '?'}"
                )
                raise errors.EndpointError(fault)
            self._skip_body(channel, end_s)
        fault = streams.Crossed(f"answer to request {head.request_id}")
        raise errors.EndpointError(fault)

    def _make_guard(self, channel):
        """Return the guard of a body that ends with the connection."""
        return appended_answers.AppendedAnswerGuard(
            lambda status, headers: channel.has_carried(
                self._codec.decode_head(status, headers).request_id
            )
        )

    def _skip_body(self, channel, end_s):
        """Read the body of a stale answer to its end.

        Raises
        ------
        EndpointError
            Crossed when it exceeds MAX_STALE_BYTES; Silent when it takes
            too long.
        """
        skipped = 0
        while skipped <= MAX_STALE_BYTES:
            piece = channel.read_piece(end_s - self._clock.now_s())
            if not piece:
                return
            skipped += len(piece)
        fault = streams.Crossed("a stale answer without an end")
        raise errors.EndpointError(fault)


def _log_out_of_step(channel, attempt, head):
    """Log an answer that does not carry the id of the request."""
    events.log(
        OUT_OF_STEP,
        request=attempt.call.request_id,
        address=attempt.address,
        answer_request=head.request_id,
        status=head.status,
        earlier_requests=channel.earlier_requests,
    )


def _has_fault(error, kind):
    """Return whether an attempt ended with a kind of fault."""
    is_fault = isinstance(error, errors.EndpointError)
    return is_fault and isinstance(error.fault, kind)


class OpenAnswer:
    """A response whose head has arrived and whose body is being read.

    Parameters
    ----------
    head : AnswerHead
        Status and headers.
    channel : EndpointChannel
        Connection that the body is read from.
    address : str
        ``host:port`` of the endpoint.
    pool : ConnectionPool
        Receives the channel once the body has been read.
    is_new_connection : bool
        Whether the channel was opened for this request.

    Attributes
    ----------
    framing : Framing
        What marks the end of the body.
    """

    def __init__(self, head, channel, address, pool, is_new_connection):
        self.head = head
        self.is_new_connection = is_new_connection
        self.framing = channel.framing
        self._channel = channel
        self._address = address
        self._pool = pool
        self._is_complete = False

    def wait(self, timeout_s):
        """Wait until more of the body can be read; return whether it can.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait, in seconds.
        """
        return channels.wait_readable((self._channel,), timeout_s) is not None

    def read_piece(self, timeout_s):
        """Return the next bytes of the body; empty once it is complete.

        Raises
        ------
        EndpointError
            Broken or Silent.
        """
        piece = self._channel.read_piece(timeout_s)
        self._is_complete = not piece
        return piece

    def read_arrived(self):
        """Return bytes of the body that have arrived, as for `read_piece`.

        Returns
        -------
        bytes or None
            None for none.
        """
        piece = self._channel.read_arrived()
        self._is_complete = piece == b""
        return piece

    def close(self):
        """Return a reusable connection to the pool; close any other."""
        channel, self._channel = self._channel, None
        if channel is None:
            return
        if not (self._is_complete and channel.is_reusable):
            channel.close()
            return
        idle_limit_s = self.head.idle_limit_s
        if idle_limit_s is None:
            self._pool.release(self._address, channel, DEFAULT_IDLE_S)
        elif idle_limit_s > IDLE_MARGIN_S:
            self._pool.release(
                self._address, channel, idle_limit_s - IDLE_MARGIN_S
            )
        else:
            channel.close()
