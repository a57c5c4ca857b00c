"""Server and client of the messages between peers, over thrift sockets."""

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
    "Connection",
    "PeerCallError",
    "PeerClient",
    "PeerServer",
    "Signer",
    "read_key",
]

POOL_IDLE_S = 20.0
"""Age up to which an idle connection carries an exchange, in seconds."""

CALL_IDLE_S = 2.0
"""Age up to which an idle connection carries a call, in seconds."""

POOL_SIZE = 128
"""Idle connections that a client keeps."""

MIN_KEY_BYTES = 32
"""Shortest key, in bytes."""


class PeerCallError(errors.PeerError):
    """A message to a peer failed.

    Parameters
    ----------
    message, remedy : str
        What happened and what to do.
    ran : Ran
        ``NOT_RUN`` when the peer cannot have run it.
    """

    def __init__(self, message, remedy, ran):
        super().__init__(message, remedy)
        self.ran = ran


def read_key(path):
    """Return the key in a file, without white space around it.

    Parameters
    ----------
    path : str or pathlib.Path
        The file that the settings name.

    Raises
    ------
    SettingsError
        When it cannot be read or is too short.
    """
    try:
        with open(path, "rb") as file:
            key = file.read().strip()
    except OSError as error:
        raise errors.SettingsError(
            f"the peer key cannot be read: {error}",
            "name a file that the daemon may read",
        ) from error
    if len(key) < MIN_KEY_BYTES:
        raise errors.SettingsError(
            f"the peer key has {len(key)} bytes",
            f"write at least {MIN_KEY_BYTES} random ones into {path}",
        )
    return key


class Signer:
    """Makes and checks the envelopes of one node.

    Parameters
    ----------
    local_member : Member
        The node.
    key : bytes
        The key that all daemons of the environment share.
    clock : Clock
        Its wall-clock time dates the envelopes.
    """

    def __init__(self, local_member, key, clock):
        self.local_member = local_member
        self._key = key
        self._clock = clock
        self._sequence = itertools.count(1)
        self._guard = peers.ReplayGuard()
        self._lock = threading.Lock()

    def seal(self, recipient, topic, payload, reply_to=b""):
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

    def open_request(self, envelope):
        """Check a request meant for this node.

        Raises
        ------
        EnvelopeError
            When it is not to be trusted.
        """
        peers.verify(envelope, self._key)
        if (
            envelope.recipient != self.local_member.peer_address
            or envelope.reply_to
        ):
            raise peers.EnvelopeError("recipient", envelope.recipient)
        with self._lock:
            self._guard.check(envelope, self._clock.wall_s())

    def open_reply(self, envelope, request):
        """Check the answer to a request of this node.

        Raises
        ------
        EnvelopeError
            When it is not to be trusted or answers another request.
        """
        peers.verify(envelope, self._key)
        if envelope.reply_to != request.mac:
            raise peers.EnvelopeError("recipient", "answers another request")


class PeerServer:
    """Answers exchanges and calls of peers, one thread a connection.

    Parameters
    ----------
    listen_address : str
        ``HOST:PORT``; port 0 takes a free one.
    handlers : dict
        Topic to callable that takes and returns bytes; may be added to
        while the server runs.
    on_exchange : callable
        Takes the sender's instance id and an `Exchange`, returns one.
    traffic : Traffic or None
        Counts the bytes.
    max_connections : int
        Connections that it holds; more are closed at once.

    Notes
    -----
    The socket listens from the start, at the attribute ``address``, and
    `start` begins to answer. The threads are daemon threads. An exception of
    a handler reaches the caller as an unknown outcome.
    """

    def __init__(
        self,
        listen_address,
        handlers,
        on_exchange,
        traffic=None,
        max_connections=peer_sockets.MAX_CONNECTIONS,
    ):
        self._handlers = handlers
        self._on_exchange = on_exchange
        self._traffic = traffic or traffic_module.Traffic()
        self._signer = None
        self._server = peer_sockets.ThriftServer(
            self, listen_address, self._traffic, max_connections
        )
        self.address = self._server.address

    def start(self, signer):
        """Begin to answer in a daemon thread.

        Parameters
        ----------
        signer : Signer
            Its member's peer address is the one that peers must name.
        """
        self._signer = signer
        threading.Thread(
            target=self._server.serve, name="peer-server", daemon=True
        ).start()

    def stop(self):
        """Stop listening and close every connection."""
        self._server.stop()

    def exchange(self, envelope):
        """Answer an exchange; called by the thrift processor."""
        return self._answer(peers.from_wire(envelope), self._run_exchange)

    def call(self, envelope):
        """Answer a call; called by the thrift processor."""
        return self._answer(peers.from_wire(envelope), self._run_call)

    def _answer(self, envelope, run):
        """Check a request, run it and seal the answer."""
        self._traffic.add(messages=1)
        try:
            self._signer.open_request(envelope)
            payload = run(envelope)
        except peers.EnvelopeError as error:
            return self._refuse(envelope, error)
        reply = self._signer.seal(
            envelope.sender, envelope.topic, payload, envelope.mac
        )
        return peers.to_wire(reply)

    def _refuse(self, envelope, error):
        """Return a refusal, signed when the request's signature was valid.

        A signature over an answer to an unsigned request would let anyone
        make refusals of other requests.
        """
        reply = self._signer.seal(
            envelope.sender, peers.REFUSED, str(error).encode(), envelope.mac
        )
        if error.kind == "signature":
            reply = attrs.evolve(reply, mac=b"")
        return peers.to_wire(reply)

    def _run_exchange(self, envelope):
        """Hand an exchange on and return the encoded answer."""
        if envelope.topic != peers.EXCHANGE:
            raise peers.EnvelopeError("malformed", "not an exchange")
        exchange = peers.decode_exchange(envelope.payload)
        answer = self._on_exchange(envelope.sender, exchange)
        return peers.encode_exchange(answer)

    def _run_call(self, envelope):
        """Run the handler of a topic."""
        handler = self._handlers.get(envelope.topic)
        if handler is None:
            raise peers.EnvelopeError("malformed", "no handler for the topic")
        answer = handler(envelope.payload)
        self._traffic.add(call_bytes=len(envelope.payload) + len(answer))
        return answer


class PeerClient:
    """Sends exchanges and calls to peers over pooled connections.

    Parameters
    ----------
    signer : Signer
        Signs the requests and checks the answers.
    traffic : Traffic or None
        Counts the bytes.

    Notes
    -----
    An open connection may be dead without a sign. An exchange is idempotent,
    so one that fails on a pooled connection is sent once more on a fresh
    one. A call is sent again only when its frame was not sent whole, since
    the peer runs whole frames only.
    """

    def __init__(self, signer, traffic=None):
        self._signer = signer
        self._traffic = traffic or traffic_module.Traffic()
        self._pool = _Pool()

    def exchange(self, address, exchange, timeout_s):
        """Send an exchange and return the answer.

        Parameters
        ----------
        address : str
            ``HOST:PORT`` of the peer.
        exchange : Exchange
            What to send.
        timeout_s : float
            Longest time for connecting and both directions, in seconds.

        Returns
        -------
        Exchange
            What the peer answered.

        Raises
        ------
        PeerCallError
            When there was no valid answer in time.
        """
        payload = peers.encode_exchange(exchange)
        pooled = self._pool.take(address, POOL_IDLE_S)
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
        """Send a call and return the answer.

        Parameters
        ----------
        address : str
            ``HOST:PORT`` of the peer.
        topic : str
            Names the handler.
        payload : bytes
            What the handler is given.
        timeout_s : float
            Longest time for connecting, and again for the rest, in seconds.

        Returns
        -------
        bytes
            What the handler returned.

        Raises
        ------
        PeerCallError
            Its ``ran`` says whether the handler may have run.
        """
        answer = self._call_once(address, topic, payload, timeout_s)
        self._traffic.add(call_bytes=len(payload) + len(answer))
        return answer

    def close(self):
        """Close every idle connection."""
        self._pool.close()

    def _call_once(self, address, topic, payload, timeout_s):
        """Send a call, again only when its frame was not sent whole."""
        pooled = self._pool.take(address, CALL_IDLE_S)
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
        """Return a fresh connection."""
        try:
            return Connection(address, timeout_s, self._traffic)
        except (OSError, ValueError) as error:
            raise PeerCallError(
                f"no connection to the peer at {address}: {error}",
                "choose another peer",
                errors.Ran.NOT_RUN,
            ) from error

    def _request(self, connection, address, topic, payload, timeout_s):
        """Send one envelope and return the payload of the answer."""
        envelope = self._signer.seal(address, topic, payload)
        self._traffic.add(messages=1)
        try:
            reply = connection.request(envelope, timeout_s)
            self._signer.open_reply(reply, envelope)
        except peers.EnvelopeError as error:
            connection.close()
            raise PeerCallError(
                f"the answer of {address} is not to be trusted: {error}",
                "give all daemons the same peer key",
                errors.Ran.UNKNOWN,
            ) from error
        except PeerCallError:
            connection.close()
            raise
        self._pool.put(address, connection)
        return _read_payload(reply, address)


class _NotSentError(PeerCallError):
    """The request was not sent whole."""


class Connection:
    """One open connection with its thrift client.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the peer.
    timeout_s : float
        Longest time for connecting, in seconds.
    traffic : Traffic
        Counts the bytes.

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
        """Send an envelope and return the answer."""
        self._socket.set_timeout(timeout_s)
        is_exchange = envelope.topic == peers.EXCHANGE
        try:
            self._send(peers.to_wire(envelope), is_exchange)
        except (TException, OSError) as error:
            raise _NotSentError(
                f"the request was not sent whole: {error}",
                "send it again",
                errors.Ran.NOT_RUN,
            ) from error
        try:
            return peers.from_wire(self._receive(is_exchange))
        except (OSError, *peers.DECODE_ERRORS) as error:
            raise PeerCallError(
                f"no answer from the peer: {error}",
                "look up the outcome before a resend",
                errors.Ran.UNKNOWN,
            ) from error

    def is_open(self):
        """Return whether the peer has not closed it."""
        return self._socket.isOpen()

    def close(self):
        """Close the socket."""
        self._socket.close()

    def _send(self, wire, is_exchange):
        """Write a whole frame."""
        if is_exchange:
            self._client.send_exchange(wire)
        else:
            self._client.send_call(wire)

    def _receive(self, is_exchange):
        """Read a whole frame."""
        if is_exchange:
            return self._client.recv_exchange()
        return self._client.recv_call()


class _Pool:
    """Idle connections by address, the one used last on top."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle = collections.OrderedDict()

    def take(self, address, max_idle_s):
        """Return an idle connection that is young enough, or None."""
        with self._lock:
            connection = self._idle.pop(address, None)
        if connection is None:
            return None
        age_s = time.monotonic() - connection.idle_since_s
        if age_s <= max_idle_s and connection.is_open():
            return connection
        connection.close()
        return None

    def put(self, address, connection):
        """Keep a connection, closing one that is too many."""
        connection.idle_since_s = time.monotonic()
        with self._lock:
            surplus = [self._idle.pop(address, None)]
            self._idle[address] = connection
            if len(self._idle) > POOL_SIZE:
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
    """Return the exchange of an answer."""
    try:
        return peers.decode_exchange(payload)
    except peers.EnvelopeError as error:
        raise PeerCallError(
            f"the answer cannot be read: {error}",
            "run the same version of the daemon everywhere",
            errors.Ran.UNKNOWN,
        ) from error


def _read_payload(reply, address):
    """Return the payload of an answer that is no refusal.

    Only a malformed request certainly did not run: the other refusals can be
    brought about by replaying a request that runs.
    """
    if reply.topic != peers.REFUSED:
        return reply.payload
    reason = reply.payload.decode()
    is_malformed = reason.startswith("malformed")
    raise PeerCallError(
        f"{address} refused the message: {reason}",
        "check the clocks and the versions of both instances",
        errors.Ran.NOT_RUN if is_malformed else errors.Ran.UNKNOWN,
    )
