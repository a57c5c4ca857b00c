"""Server and client for messages between peers, over Thrift sockets."""

import collections
import itertools
import threading
import time

import attrs
from thrift.protocol import TCompactProtocol
from thrift.Thrift import TException

from mulberryhollow import errors
from mulberryhollow.protocol import peers
from mulberryhollow.transport import peer_sockets
from mulberryhollow.transport import traffic as traffic_module

__all__ = [
    "PeerCallError",
    "PeerClient",
    "PeerConnection",
    "PeerServer",
    "Signer",
    "read_key",
]

EXCHANGE_MAX_IDLE_S = peer_sockets.CLIENT_IDLE_TIMEOUT_S
"""Longest idle time of a connection reused for an exchange, in seconds."""

CALL_MAX_IDLE_S = 2.0
"""Longest idle time of a connection reused for a call, in seconds."""

MAX_IDLE_CONNECTIONS = 128
"""Largest number of idle connections of a client."""

MIN_KEY_BYTES = 32
"""Smallest length of the shared key, in bytes."""


class PeerCallError(errors.PeerError):
    """A message to a peer failed.

    Parameters
    ----------
    message, remedy : str
        What happened and what to do.
    ran : ExecutionStatus
        ``NOT_RUN`` when the peer cannot have processed the message.
    """

    def __init__(self, message, remedy, ran):
        super().__init__(message, remedy)
        self.ran = ran


def read_key(path):
    """Return the key in a file, without surrounding white space.

    Parameters
    ----------
    path : str or pathlib.Path
        Key file named in the settings.

    Raises
    ------
    SettingsError
        When the file cannot be read or the key is too short.
    """
    try:
        with open(path, "rb") as file:
            key = file.read().strip()
    except OSError as error:
        raise errors.SettingsError(
            f"the peer key file cannot be read: {error}",
            "name a file that the daemon may read",
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise errors.SettingsError(
            f"the peer key has {len(key)} bytes",
            f"write at least {MIN_KEY_BYTES} random bytes to {path}",
        )
    return key


class Signer:
    """Signs and verifies the envelopes of one node.

    Parameters
    ----------
    local_member : Member
        The local member.
    key : bytes
        The key that all daemons of the environment share.
    clock : Clock
        Source of the wall-clock time that envelopes are dated with.
    """

    def __init__(self, local_member, key, clock):
        self.local_member = local_member
        self._key = key
        self._clock = clock
        self._sequence = itertools.count(1)
        self._replay_guard = peers.ReplayGuard()
        self._lock = threading.Lock()

    def sign_envelope(self, recipient, topic, payload, reply_to=b""):
        """Return a new signed envelope."""
        envelope = peers.Envelope(
            self.local_member.instance_id,
            self.local_member.incarnation,
            next(self._sequence),
            self._clock.wall_s(),
            recipient,
            topic,
            payload,
            reply_to,
        )
        return peers.sign(envelope, self._key)

    def verify_request(self, envelope):
        """Verify a request to this node.

        Raises
        ------
        EnvelopeError
            When the signature, recipient or date is wrong, or the envelope
            is replayed.
        """
        peers.verify(envelope, self._key)
        if (
            envelope.recipient != self.local_member.peer_address
            or envelope.reply_to
        ):
            raise peers.EnvelopeError("recipient", envelope.recipient)
        with self._lock:
            self._replay_guard.check(envelope, self._clock.wall_s())

    def verify_reply(self, envelope, request):
        """Verify the reply to a request of this node.

        Raises
        ------
        EnvelopeError
            When the signature is wrong, or the reply belongs to another
            request.
        """
        peers.verify(envelope, self._key)
        if envelope.reply_to != request.mac:
            raise peers.EnvelopeError("recipient", "reply to another request")


class PeerServer:
    """Answers exchanges and calls from peers, one thread per connection.

    Parameters
    ----------
    listen_address : str
        ``HOST:PORT`` to listen on; port 0 picks a free one.
    handlers : dict
        Topic to callable that takes and returns bytes; handlers may be
        added while the server runs.
    on_exchange : callable
        ``on_exchange(sender, exchange)``, with the instance id of the
        sender, returns the `Exchange` to reply with.
    traffic : Traffic or None
        Counter of bytes and messages.
    max_connections : int
        Largest number of open connections; further ones are closed at
        once.

    Notes
    -----
    The constructor opens the listening socket, whose address is the
    attribute ``address``; `start` begins to answer. The threads are daemon
    threads. When a handler raises an exception, the outcome is unknown to
    the caller.
    """

    def __init__(
        self,
        listen_address,
        handlers,
        on_exchange,
        traffic=None,
        max_connections=peer_sockets.MAX_CONNECTIONS,
        memory_bytes=peer_sockets.DEFAULT_MEMORY_BYTES,
    ):
        self._handlers = handlers
        self._on_exchange = on_exchange
        self._traffic = traffic or traffic_module.Traffic()
        self._signer = None
        self._server = peer_sockets.ThriftServer(
            self,
            listen_address,
            self._traffic,
            max_connections,
            memory_bytes,
        )
        self.address = self._server.address

    def start(self, signer):
        """Start answering requests in a daemon thread.

        Parameters
        ----------
        signer : Signer
            Signs the replies; requests must name the peer address of its
            member as recipient.
        """
        self._signer = signer
        threading.Thread(
            target=self._server.serve, name="peer-server", daemon=True
        ).start()

    def stop(self):
        """Stop listening and close every connection."""
        self._server.stop()

    def exchange(self, envelope):
        """Answer an exchange; called by the Thrift processor."""
        return self._answer(peers.from_wire(envelope), self._handle_exchange)

    def call(self, envelope):
        """Answer a call; called by the Thrift processor."""
        return self._answer(peers.from_wire(envelope), self._handle_call)

    def _answer(self, envelope, run):
        """Verify a request, run it and return the signed reply."""
        self._traffic.add(messages=1)
        try:
            self._signer.verify_request(envelope)
            payload = run(envelope)
        except peers.EnvelopeError as error:
            return self._make_refusal(envelope, error)
        reply = self._signer.sign_envelope(
            envelope.sender, envelope.topic, payload, envelope.mac
        )
        return peers.to_wire(reply)

    def _make_refusal(self, envelope, error):
        """Return a refusal, unsigned if the request's signature was wrong.

        A signed reply to a request with a wrong signature would let anyone
        forge refusals of other requests: the reply names the signature that
        the request carried.
        """
        reply = self._signer.sign_envelope(
            envelope.sender, peers.REFUSED, str(error).encode(), envelope.mac
        )
        if error.kind == "signature":
            reply = attrs.evolve(reply, mac=b"")
        return peers.to_wire(reply)

    def _handle_exchange(self, envelope):
        """Pass an exchange to `on_exchange`; return the encoded reply."""
        if envelope.topic != peers.EXCHANGE:
            raise peers.EnvelopeError(
                "malformed", "the topic is not an exchange"
            )
        exchange = peers.decode_exchange(envelope.payload)
        reply = self._on_exchange(envelope.sender, exchange)
        return peers.encode_exchange(reply)

    def _handle_call(self, envelope):
        """Run the handler of a topic."""
        handler = self._handlers.get(envelope.topic)
        if handler is None:
            raise peers.EnvelopeError("malformed", "no handler for the topic")
        result = handler(envelope.payload)
        self._traffic.add(call_bytes=len(envelope.payload) + len(result))
        return result


class PeerClient:
    """Client that sends exchanges and calls over pooled connections.

    Parameters
    ----------
    signer : Signer
        Signs the requests and verifies the replies.
    traffic : Traffic or None
        Counter of bytes and messages.

    Notes
    -----
    An idle connection may have died unnoticed. An exchange is idempotent: one
    that fails on a pooled connection is sent once more on a new connection.
    A call is sent again only when its frame was not sent completely, since
    the peer runs complete frames only.
    """

    def __init__(self, signer, traffic=None):
        self._signer = signer
        self._traffic = traffic or traffic_module.Traffic()
        self._pool = _Pool()

    def exchange(self, address, exchange, timeout_s):
        """Send an exchange and return the reply.

        Parameters
        ----------
        address : str
            ``HOST:PORT`` of the peer.
        exchange : Exchange
            The exchange to send.
        timeout_s : float
            Timeout for connecting, and again for request and reply, in
            seconds; halved for each attempt when a pooled connection is
            tried first.

        Returns
        -------
        Exchange
            Reply of the peer.

        Raises
        ------
        PeerCallError
            When no valid reply arrived in time.
        """
        payload = peers.encode_exchange(exchange)
        pooled = self._pool.acquire(address, EXCHANGE_MAX_IDLE_S)
        if pooled:
            try:
                reply = self._request(
                    pooled, address, peers.EXCHANGE, payload, timeout_s / 2
                )
                return _decode(reply)
            except PeerCallError:
                timeout_s /= 2
        fresh = self._connect(address, timeout_s)
        reply = self._request(
            fresh, address, peers.EXCHANGE, payload, timeout_s
        )
        return _decode(reply)

    def call(self, address, topic, payload, timeout_s):
        """Send a call and return the result of its handler.

        Parameters
        ----------
        address : str
            ``HOST:PORT`` of the peer.
        topic : str
            Topic that the handler is registered for.
        payload : bytes
            Argument of the handler.
        timeout_s : float
            Timeout for connecting, and again for request and reply, in
            seconds.

        Returns
        -------
        bytes
            Result of the handler.

        Raises
        ------
        PeerCallError
            The attribute ``ran`` says whether the handler may have run.
        """
        result = self._call_once(address, topic, payload, timeout_s)
        self._traffic.add(call_bytes=len(payload) + len(result))
        return result

    def close(self):
        """Close every idle connection."""
        self._pool.close()

    def _call_once(self, address, topic, payload, timeout_s):
        """Send a call; send it again only if its frame was incomplete."""
        pooled = self._pool.acquire(address, CALL_MAX_IDLE_S)
        if pooled:
            try:
                return self._request(
                    pooled, address, topic, payload, timeout_s
                )
            except _NotSentError:
                pass
        fresh = self._connect(address, timeout_s)
        return self._request(fresh, address, topic, payload, timeout_s)

    def _connect(self, address, timeout_s):
        """Return a new connection."""
        try:
            return PeerConnection(address, timeout_s, self._traffic)
        except (OSError, ValueError) as error:
            raise PeerCallError(
                f"cannot connect to the peer at {address}: {error}",
                "choose another peer",
                errors.ExecutionStatus.NOT_RUN,
            ) from error

    def _request(self, connection, address, topic, payload, timeout_s):
        """Send one envelope and return the payload of the reply."""
        envelope = self._signer.sign_envelope(address, topic, payload)
        self._traffic.add(messages=1)
        try:
            reply = connection.request(envelope, timeout_s)
            self._signer.verify_reply(reply, envelope)
        except peers.EnvelopeError as error:
            connection.close()
            raise PeerCallError(
                f"the reply of {address} failed verification: {error}",
                "use the same peer key on all instances",
                errors.ExecutionStatus.UNKNOWN,
            ) from error
        except PeerCallError:
            connection.close()
            raise
        self._pool.release(address, connection)
        return _read_payload(reply, address)


class _NotSentError(PeerCallError):
    """The request frame was not sent completely."""


class PeerConnection:
    """One open connection with its Thrift client.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the peer.
    timeout_s : float
        Timeout for connecting, in seconds.
    traffic : Traffic
        Counter of the bytes sent and received.

    Raises
    ------
    OSError
        When the peer cannot be reached.
    """

    def __init__(self, address, timeout_s, traffic):
        self._socket = peer_sockets.ClientSocket(address, timeout_s, traffic)
        framed = peer_sockets.FrameFactory().getTransport(self._socket)
        protocol = TCompactProtocol.TCompactProtocolAccelerated(framed)
        self._client = peers.PeerService.Client(protocol)
        self.idle_since_s = 0.0

    def request(self, envelope, timeout_s):
        """Send an envelope and return the reply."""
        self._socket.set_timeout(timeout_s)
        is_exchange = envelope.topic == peers.EXCHANGE
        try:
            self._send(peers.to_wire(envelope), is_exchange)
        except (TException, OSError) as error:
            raise _NotSentError(
                f"the request was not sent completely: {error}",
                "send the request again",
                errors.ExecutionStatus.NOT_RUN,
            ) from error
        try:
            return peers.from_wire(self._receive(is_exchange))
        except (OSError, *peers.DECODE_ERRORS) as error:
            raise PeerCallError(
                f"no reply from the peer: {error}",
                "look up the outcome before sending the request again",
                errors.ExecutionStatus.UNKNOWN,
            ) from error

    def is_open(self):
        """Return whether the peer has not closed the connection."""
        return self._socket.isOpen()

    def close(self):
        """Close the socket."""
        self._socket.close()

    def _send(self, wire, is_exchange):
        """Write one request frame."""
        if is_exchange:
            self._client.send_exchange(wire)
        else:
            self._client.send_call(wire)

    def _receive(self, is_exchange):
        """Read one reply frame."""
        if is_exchange:
            return self._client.recv_exchange()
        return self._client.recv_call()


class _Pool:
    """Idle connections, at most one per address, least recently used first."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle = collections.OrderedDict()

    def acquire(self, address, max_idle_s):
        """Return an open connection idle for at most `max_idle_s`, or None."""
        with self._lock:
            connection = self._idle.pop(address, None)
        if connection is None:
            return None
        age_s = time.monotonic() - connection.idle_since_s
        if age_s <= max_idle_s and connection.is_open():
            return connection
        connection.close()
        return None

    def release(self, address, connection):
        """Add a connection; close replaced and surplus connections."""
        connection.idle_since_s = time.monotonic()
        with self._lock:
            surplus = [self._idle.pop(address, None)]
            self._idle[address] = connection
            if len(self._idle) > MAX_IDLE_CONNECTIONS:
                surplus.append(self._idle.popitem(last=False)[1])
        for other in filter(None, surplus):
            other.close()

    def close(self):
        """Close every connection."""
        with self._lock:
            idle = list(self._idle.values())
            self._idle.clear()
        for connection in idle:
            connection.close()


def _decode(payload):
    """Return the exchange in the payload of a reply."""
    try:
        return peers.decode_exchange(payload)
    except peers.EnvelopeError as error:
        raise PeerCallError(
            f"the reply cannot be decoded: {error}",
            "run the same version of the daemon on all instances",
            errors.ExecutionStatus.UNKNOWN,
        ) from error


def _read_payload(reply, address):
    """Return the payload of a reply, or raise for a refusal.

    Only a malformed request has certainly not run. An attacker who replays a
    request can provoke any other refusal although the request itself runs.
    """
    if reply.topic != peers.REFUSED:
        return reply.payload
    reason = reply.payload.decode()
    is_malformed = reason.startswith("malformed")
    raise PeerCallError(
        f"{address} refused the message: {reason}",
        "check clocks and versions of both instances",
        errors.ExecutionStatus.NOT_RUN
        if is_malformed
        else errors.ExecutionStatus.UNKNOWN,
    )
