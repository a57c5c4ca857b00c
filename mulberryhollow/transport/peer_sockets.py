"""Thrift sockets and server for messages between peers."""

import collections
import concurrent.futures
import contextlib
import errno
import logging
import selectors
import socket
import struct
import time

from thrift.protocol import TCompactProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from mulberryhollow.coordination import intake as decisions
from mulberryhollow import events
from mulberryhollow.protocol import peers
from mulberryhollow.transport import store
from mulberryhollow.transport import traffic as traffic_module

__all__ = ["ClientSocket", "FrameFactory", "ThriftServer"]

MAX_FRAME_BYTES = 4_000_000
"""Largest size of a message frame, in bytes."""

MAX_CONNECTIONS = 256
"""Largest number of open connections of a server; it closes further ones."""

CLIENT_IDLE_TIMEOUT_S = 20.0
"""Time after which a client uses a connection no more, in seconds.

Until then a connection on which a message was answered gives way to no other:
it is one of a peer.
"""

SERVER_IDLE_TIMEOUT_S = 30.0
"""Time without a byte after which a server closes a connection, in seconds.

Clients use a connection again within 20 s.
"""

IDLE_CHECK_INTERVAL_S = 5.0
"""Interval between checks for idle connections, in seconds."""

SEND_TIMEOUT_S = 5.0
"""Timeout of sending a reply, in seconds."""

MAX_WORKERS = 32
"""Largest number of messages that a server answers at the same time."""

FRAME_COPIES = 2
"""Number of copies of a message while it is answered: as received, and
decoded."""

LARGEST_MESSAGE_BYTES = FRAME_COPIES * MAX_FRAME_BYTES
"""Memory of a message of the largest size, in bytes."""

DEFAULT_MEMORY_BYTES = decisions.MemoryShares().compute_peers(
    LARGEST_MESSAGE_BYTES
)
"""Memory for all messages that a server receives, in bytes, by default."""

BACKLOG = 128
"""Length of the listen queue of a server: connections not yet accepted."""

RECEIVE_BYTES = 65536
"""Largest number of bytes in one read."""

CONNECTION_ENDED = events.declare(
    5012,
    logging.INFO,
    "a peer's connection was closed because others needed its memory or place",
    "if there are many, look for clients that reach the port for peers",
)
ANSWER_FAILED = events.declare(
    5005,
    logging.ERROR,
    "answering a peer failed with an unexpected exception",
    "report this defect with the log lines around it",
)

_FRAME_SIZE = struct.Struct("!I")


class ClientSocket(TSocket.TSocket):
    """Client socket with one deadline for all its reads and writes."""

    def __init__(self, address, timeout_s, traffic):
        host, port = store.split_address(address)
        super().__init__(host, port)
        self._traffic = traffic
        self._deadline_s = 0.0
        self.setHandle(socket.create_connection((host, port), timeout_s))
        self.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_timeout(self, timeout_s):
        """Set the deadline for sending a request and reading its reply."""
        self._deadline_s = time.monotonic() + timeout_s

    def read(self, sz):
        """Read at most ``sz`` bytes before the deadline."""
        self._apply_deadline()
        data = super().read(sz)
        self._traffic.add(received_bytes=len(data))
        return data

    def write(self, buff):
        """Write everything before the deadline."""
        self._apply_deadline()
        super().write(buff)
        self._traffic.add(sent_bytes=len(buff))

    def _apply_deadline(self):
        """Limit the next socket operation to the remaining time."""
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TTransport.TTransportException(
                TTransport.TTransportException.TIMED_OUT,
                "the deadline of the message has passed",
            )
        self.handle.settimeout(remaining_s)


class FrameFactory:
    """Creates framed transports with the size limit MAX_FRAME_BYTES."""

    def getTransport(self, trans):  # noqa: N802
        """Return a framed transport; Thrift prescribes the method name."""
        return TTransport.TFramedTransport(trans, MAX_FRAME_BYTES)


class ThriftServer:
    """Thrift server with one thread for all connections that are idle.

    Parameters
    ----------
    service : object
        Has the methods ``exchange`` and ``call``, which take and return
        Thrift envelopes.
    listen_address : str
        ``HOST:PORT`` to listen on; port 0 picks a free one.
    traffic : Traffic or None
        Counter of the bytes sent and received.
    max_connections : int
        Largest number of open connections; for further ones, those are
        closed that are silent for longest.
    memory_bytes : int
        Memory for all messages that are being received or answered, in
        bytes.

    Attributes
    ----------
    accepted : int
        Number of connections accepted so far, without those closed at once.

    Notes
    -----
    The thread that runs `serve` waits for all connections. A complete
    message is answered by a worker thread, of which there are as many as
    messages are answered at the same time, and MAX_WORKERS at most.
    """

    def __init__(
        self,
        service,
        listen_address,
        traffic=None,
        max_connections=MAX_CONNECTIONS,
        memory_bytes=DEFAULT_MEMORY_BYTES,
    ):
        self._processor = peers.PeerService.Processor(service)
        self._protocols = TCompactProtocol.TCompactProtocolAcceleratedFactory()
        self._traffic = traffic or traffic_module.Traffic()
        self._max_connections = max_connections
        self._listener = socket.create_server(
            store.split_address(listen_address), backlog=BACKLOG
        )
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._wake_reader, self._wake_writer = socket.socketpair()
        for each in (self._wake_reader, self._wake_writer):
            each.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._workers = concurrent.futures.ThreadPoolExecutor(
            MAX_WORKERS, thread_name_prefix="peer-worker"
        )
        self._answered = collections.deque()
        self._connections = set()
        self._buffers = decisions.RequestBuffers(
            memory_bytes, LARGEST_MESSAGE_BYTES
        )
        self._is_stopped = False
        self.accepted = 0

    @property
    def address(self):
        """``HOST:PORT`` that the server listens on."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def serve(self):
        """Accept connections and messages until the server is stopped."""
        checked_s = time.monotonic()
        while not self._is_stopped:
            for key, _ in self._selector.select(IDLE_CHECK_INTERVAL_S):
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj is self._wake_reader:
                    self._resume_answered()
                else:
                    self._read(key.data)
            now_s = time.monotonic()
            if now_s - checked_s >= IDLE_CHECK_INTERVAL_S:
                checked_s = now_s
                self._close_idle(now_s)
        self._close_all()

    def stop(self):
        """Stop accepting and close every connection."""
        self._is_stopped = True
        self._wake()
        for connection in tuple(self._connections):
            connection.shut_down()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _accept(self):
        """Accept a connection; above the limit, others give way."""
        try:
            handle, _ = self._listener.accept()
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE):
                self._close_some()
            return
        if len(self._connections) >= self._max_connections:
            self._close_some()
        if len(self._connections) >= self._max_connections:
            handle.close()
            return
        self.accepted += 1
        connection = _ServedConnection(handle)
        self._connections.add(connection)
        self._selector.register(handle, selectors.EVENT_READ, connection)

    def _read(self, connection):
        """Read what has arrived; give a complete message to a worker."""
        if connection not in self._connections:
            # It was closed for another one that was ready as well.
            return
        try:
            received = connection.receive()
            frame = connection.pop_frame()
        except (OSError, ValueError):
            self._end(connection)
            return
        self._traffic.add(received_bytes=received)
        ended = self._hold(connection, frame)
        for each in ended:
            self._log_end(each, "memory")
            self._end(each)
        if frame is None or connection in ended:
            return
        # Until the reply is sent nothing else is read from the connection.
        self._selector.unregister(connection.handle)
        try:
            self._workers.submit(self._answer, connection, frame)
        except RuntimeError:
            self._close(connection)

    def _hold(self, connection, frame):
        """Count the memory of a message; return what is to be closed."""
        now_s = time.monotonic()
        if frame is None:
            return self._buffers.resize(
                connection, connection.buffered_bytes, now_s
            )
        size_bytes = FRAME_COPIES * len(frame) + connection.buffered_bytes
        return self._buffers.complete(
            connection, connection, size_bytes, now_s
        )

    def _close_some(self):
        """Close the connections that give way to others."""
        now_s = time.monotonic()
        waiting = [
            key.data for key in self._selector.get_map().values() if key.data
        ]
        for each in decisions.choose_connections(
            filter(None, (each.describe(now_s) for each in waiting)),
            self._max_connections,
        ):
            self._log_end(each, "connections")
            self._end(each)

    def _log_end(self, connection, cause):
        """Log that a connection is closed for others."""
        events.log(
            CONNECTION_ENDED,
            cause=cause,
            buffered_bytes=connection.buffered_bytes,
            held_bytes=self._buffers.held_bytes,
        )

    def _answer(self, connection, frame):
        """Answer a message, and those that arrived right after it."""
        try:
            is_open = self._send_replies(connection, frame)
        finally:
            # Before another message of the connection is counted.
            self._buffers.release(connection)
        if is_open:
            self._answered.append(connection)
            self._wake()

    def _send_replies(self, connection, frame):
        """Answer messages; return whether the connection stays open."""
        try:
            while frame is not None:
                sent = connection.send_frame(self._process(frame))
                self._traffic.add(sent_bytes=sent)
                frame = connection.pop_frame()
        except (OSError, ValueError, *peers.DECODE_ERRORS):
            self._close(connection)
            return False
        except Exception as error:  # noqa: BLE001
            # The peer must not wait on a connection that nobody answers.
            events.log(ANSWER_FAILED, error=repr(error))
            self._close(connection)
            return False
        return True

    def _process(self, frame):
        """Return the reply to one message."""
        reply = TTransport.TMemoryBuffer()
        self._processor.process(
            self._protocols.getProtocol(TTransport.TMemoryBuffer(frame)),
            self._protocols.getProtocol(reply),
        )
        return reply.getvalue()

    def _resume_answered(self):
        """Read again from the connections whose reply was sent."""
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(RECEIVE_BYTES)
        while self._answered:
            connection = self._answered.popleft()
            if connection in self._connections:
                self._selector.register(
                    connection.handle, selectors.EVENT_READ, connection
                )

    def _close_idle(self, now_s):
        """Close the connections on which nothing arrived for long."""
        waiting = [
            key.data for key in self._selector.get_map().values() if key.data
        ]
        for connection in waiting:
            if now_s - connection.used_s >= SERVER_IDLE_TIMEOUT_S:
                self._end(connection)

    def _end(self, connection):
        """Close a connection that is registered."""
        self._selector.unregister(connection.handle)
        self._buffers.drop(connection)
        self._close(connection)

    def _close(self, connection):
        """Close a connection that is not registered."""
        self._connections.discard(connection)
        connection.handle.close()

    def _close_all(self):
        """Close every socket; the worker threads close their connections."""
        for key in tuple(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()
        self._wake_writer.close()

    def _wake(self):
        """Wake the thread that runs `serve`."""
        with contextlib.suppress(OSError):
            self._wake_writer.send(b"x")


class _ServedConnection:
    """Accepted connection and the part of a message that has arrived."""

    def __init__(self, handle):
        handle.setblocking(False)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.handle = handle
        self.used_s = time.monotonic()
        self._has_sent = False
        self._was_answered = False
        self._buffer = bytearray()

    def receive(self):
        """Read what has arrived; return the number of bytes.

        Raises
        ------
        OSError
            When the peer has closed the connection.
        """
        data = self.handle.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionAbortedError("the peer closed the connection")
        self._buffer += data
        self.used_s = time.monotonic()
        self._has_sent = True
        return len(data)

    @property
    def buffered_bytes(self):
        """Bytes of a message that has arrived in part."""
        return len(self._buffer)

    def describe(self, now_s):
        """Return the ConnectionState; None while it gives way to no other.

        Parameters
        ----------
        now_s : float
            Time of the monotonic clock, in seconds.
        """
        idle_s = now_s - self.used_s
        if self._was_answered and idle_s < CLIENT_IDLE_TIMEOUT_S:
            return None
        return decisions.ConnectionState(
            handle=self,
            idle_s=idle_s,
            is_partial=bool(self._buffer),
            has_sent=self._has_sent,
            is_refused=False,
        )

    def pop_frame(self):
        """Remove and return a complete message; None if there is none.

        Raises
        ------
        ValueError
            When the announced size exceeds MAX_FRAME_BYTES.
        """
        if len(self._buffer) < _FRAME_SIZE.size:
            return None
        (size,) = _FRAME_SIZE.unpack_from(self._buffer)
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"message of {size} bytes")
        end = _FRAME_SIZE.size + size
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_FRAME_SIZE.size : end])
        del self._buffer[:end]
        return frame

    def send_frame(self, payload):
        """Send a message; return the number of bytes sent."""
        data = _FRAME_SIZE.pack(len(payload)) + payload
        self.handle.settimeout(SEND_TIMEOUT_S)
        self.handle.sendall(data)
        self.handle.setblocking(False)
        self.used_s = time.monotonic()
        self._was_answered = True
        return len(data)

    def shut_down(self):
        """Shut the socket down, which wakes a thread blocked on it."""
        with contextlib.suppress(OSError):
            self.handle.shutdown(socket.SHUT_RDWR)
