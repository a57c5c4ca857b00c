"""Thrift sockets and threaded server for messages between peers."""

import contextlib
import socket
import threading
import time

from thrift.protocol import TCompactProtocol
from thrift.server import TServer
from thrift.transport import TSocket
from thrift.transport import TTransport

from mulberryhollow.protocol import peers
from mulberryhollow.transport import store
from mulberryhollow.transport import traffic as traffic_module

__all__ = ["ClientSocket", "FrameFactory", "ThriftServer"]

MAX_FRAME_BYTES = 4_000_000
"""Largest size of a message frame, in bytes."""

MAX_CONNECTIONS = 256
"""Largest number of open connections of a server; it closes further ones."""

SERVER_IDLE_TIMEOUT_S = 60.0
"""Time without a byte after which a server closes a connection, in seconds."""


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


class _ServedSocket(TSocket.TSocket):
    """Accepted socket that counts its bytes."""

    def __init__(self, handle, traffic):
        super().__init__()
        self._traffic = traffic
        handle.settimeout(SERVER_IDLE_TIMEOUT_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.setHandle(handle)

    def read(self, sz):
        """Read at most ``sz`` bytes."""
        data = super().read(sz)
        self._traffic.add(received_bytes=len(data))
        return data

    def write(self, buff):
        """Write everything."""
        super().write(buff)
        self._traffic.add(sent_bytes=len(buff))


class _Listener(TSocket.TServerSocket):
    """Listening socket whose connections are counted."""

    def __init__(self, host, port, traffic):
        super().__init__(host, port, socket_family=socket.AF_INET)
        self._traffic = traffic

    def accept(self):
        """Return the next connection."""
        handle, _ = self.handle.accept()
        return _ServedSocket(handle, self._traffic)


class FrameFactory:
    """Creates framed transports with the size limit MAX_FRAME_BYTES."""

    def getTransport(self, trans):  # noqa: N802
        """Return a framed transport; Thrift prescribes the method name."""
        return TTransport.TFramedTransport(trans, MAX_FRAME_BYTES)


class ThriftServer(TServer.TThreadedServer):
    """Threaded Thrift server with a connection limit that can be stopped.

    Each connection has a daemon thread.

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
        Largest number of open connections; further ones are closed at
        once.
    """

    def __init__(
        self,
        service,
        listen_address,
        traffic=None,
        max_connections=MAX_CONNECTIONS,
    ):
        super().__init__(
            peers.PeerService.Processor(service),
            _listen(listen_address, traffic or traffic_module.Traffic()),
            FrameFactory(),
            TCompactProtocol.TCompactProtocolAcceleratedFactory(),
            daemon=True,
        )
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._connections = set()
        self._is_stopped = False

    @property
    def address(self):
        """``HOST:PORT`` that the server listens on."""
        host, port = self.serverTransport.handle.getsockname()
        return f"{host}:{port}"

    def serve(self):
        """Accept connections until the server is stopped."""
        while not self._is_stopped:
            try:
                connection = self.serverTransport.accept()
            except OSError:
                continue
            self._admit(connection)

    def stop(self):
        """Stop accepting and close every connection."""
        self._is_stopped = True
        with self._lock:
            handles = [item.handle for item in self._connections]
        handles.append(self.serverTransport.handle)
        for handle in filter(None, handles):
            _shut_down(handle)
        self.serverTransport.close()

    def handle(self, client):
        """Answer the messages of one connection until the connection ends."""
        framed = self.inputTransportFactory.getTransport(client)
        protocol = self.inputProtocolFactory.getProtocol(framed)
        try:
            while True:
                self.processor.process(protocol, protocol)
        except (OSError, *peers.DECODE_ERRORS):
            pass
        finally:
            with self._lock:
                self._connections.discard(client)
            client.close()

    def _admit(self, connection):
        """Start a thread for a connection, or close it above the limit."""
        with self._lock:
            is_full = len(self._connections) >= self._max_connections
            if not is_full and not self._is_stopped:
                self._connections.add(connection)
        if is_full or self._is_stopped:
            connection.close()
            return
        threading.Thread(
            target=self.handle,
            args=(connection,),
            name="peer-connection",
            daemon=True,
        ).start()


def _listen(address, traffic):
    """Return a listening socket."""
    listener = _Listener(*store.split_address(address), traffic)
    listener.listen()
    return listener


def _shut_down(handle):
    """Shut a socket down, which wakes the threads blocked on it."""
    with contextlib.suppress(OSError):
        handle.shutdown(socket.SHUT_RDWR)
