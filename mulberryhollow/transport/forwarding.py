"""Client that passes requests on to endpoints."""

import attrs

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import channel as channels
from mulberryhollow.transport import connection as connections

__all__ = ["ForwardClient", "OpenAnswer"]

CONNECT_TIMEOUT_S = 0.3
"""Longest time for the handshake with an endpoint, in seconds.

A handshake takes two one-way times and a few milliseconds; an endpoint
that drops the first packet would take a second or more.
"""

ALIVE_TIMEOUT_S = 0.1
"""Longest handshake that shows that an endpoint is still there, in s."""

IDLE_MARGIN_S = 0.5
"""Time kept from the idle limit that an endpoint tells, in seconds."""

DEFAULT_IDLE_S = 4.0
"""Idle limit of a connection whose endpoint tells none, in seconds."""

FIRST_FAILURE = 400
"""Lowest status of an answer that may bear no id."""

STRAYS_SKIPPED = 2
"""Answers of earlier requests that are passed over on a connection."""


@attrs.frozen
class Attempt:
    """How one attempt is sent.

    Parameters
    ----------
    address : str
        ``host:port`` of the endpoint.
    call : EndpointCall
        What is sent.
    wait_s : float
        Longest time until the head of the answer, in seconds.
    is_fresh : bool
        Whether it needs a connection of its own.
    """

    address: str
    call: object
    wait_s: float
    is_fresh: bool


class ForwardClient:
    """Sends requests to endpoints and reads the answers.

    Parameters
    ----------
    codec : object
        ``decode_head(status, headers)`` returns an AnswerHead.
    clock : Clock
        Source of time, for the idle age of connections.
    """

    def __init__(self, codec, clock):
        self._codec = codec
        self._pool = connections.ConnectionPool(
            clock,
            open_one=channels.EndpointChannel.open,
            is_usable=channels.EndpointChannel.is_usable,
        )

    def open(self, attempt, on_channel=lambda channel: None):
        """Send a request; return its OpenAnswer once the head is there.

        Parameters
        ----------
        attempt : Attempt
            What is sent, and how.
        on_channel : callable
            Called with the channel before anything is sent, so that
            another thread can abort it.

        Raises
        ------
        EndpointError
            NotSent when no byte has left; any other fault when the
            request may have run.
        """
        channel = self._take(attempt)
        try:
            on_channel(channel)
            channel.send(attempt.call, attempt.wait_s)
            head = self._receive(channel, attempt)
        except BaseException:
            channel.close()
            raise
        return OpenAnswer(head, channel, attempt.address, self._pool)

    def is_alive(self, address):
        """Return whether an endpoint accepts connections."""
        try:
            channels.EndpointChannel.open(address, ALIVE_TIMEOUT_S).close()
        except errors.EndpointError:
            return False
        return True

    def _take(self, attempt):
        """Return the channel that an attempt goes out on."""
        connect_s = min(CONNECT_TIMEOUT_S, attempt.wait_s)
        if attempt.is_fresh:
            return channels.EndpointChannel.open(attempt.address, connect_s)
        channel, _ = self._pool.take(attempt.address, connect_s, connect_s)
        return channel

    def _receive(self, channel, attempt):
        """Return the head of the answer to this very request."""
        for _ in range(1 + STRAYS_SKIPPED):
            status, headers = channel.receive(
                attempt.call.method, attempt.wait_s
            )
            head = self._codec.decode_head(status, headers)
            is_ours = head.request_id == attempt.call.request_id
            is_unnamed = not head.request_id and status >= FIRST_FAILURE
            if is_ours or is_unnamed:
                return head
            while channel.read_piece(attempt.wait_s):
                pass
        fault = streams.Crossed(f"answer of request {head.request_id}")
        raise errors.EndpointError(fault)


class OpenAnswer:
    """An answer whose head has arrived.

    Parameters
    ----------
    head : AnswerHead
        Its head.
    channel : EndpointChannel
        Where its body comes from.
    address : str
        ``host:port`` of the endpoint.
    pool : ConnectionPool
        Takes the channel once the body has been read.
    """

    def __init__(self, head, channel, address, pool):
        self.head = head
        self._channel = channel
        self._address = address
        self._pool = pool
        self._is_whole = False

    def read_piece(self, timeout_s):
        """Return the next bytes of the body; empty at its whole end.

        Raises
        ------
        EndpointError
            Broken or Silent.
        """
        piece = self._channel.read_piece(timeout_s)
        self._is_whole = not piece
        return piece

    def close(self):
        """Keep the connection if it can be used again, else close it."""
        channel, self._channel = self._channel, None
        if channel is None:
            return
        if not (self._is_whole and channel.is_reusable):
            channel.close()
            return
        told_s = self.head.idle_limit_s
        if told_s is None:
            self._pool.give_back(self._address, channel, DEFAULT_IDLE_S)
        elif told_s > IDLE_MARGIN_S:
            self._pool.give_back(
                self._address, channel, told_s - IDLE_MARGIN_S
            )
        else:
            channel.close()
