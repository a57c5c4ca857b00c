"""Stand-in for an endpoint that plays a scripted answer per request."""

import contextlib
import socket
import struct
import threading
import time

__all__ = ["ScriptedEndpoint"]

_LINGER_RESET = struct.pack("ii", 1, 0)


class ScriptedEndpoint:
    """Server on loopback that plays the next script for each request.

    Parameters
    ----------
    scripts : list of list
        The steps of each request in turn: bytes to send, a pause in seconds
        as a float, ``"close"`` to
        close the connection, ``"reset"`` to send a TCP reset, ``"hang"`` to
        answer nothing further on an open connection, ``"keep"`` to leave the
        connection open for the next request, and as the first step
        ``"early"`` to answer without reading the body.

    Attributes
    ----------
    requests : list of bytes
        Head and body of each request as received.
    connections : int
        Number of connections accepted so far.
    """

    def __init__(self, scripts):
        self.requests = []
        self.connections = 0
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open_connections = []
        threading.Thread(target=self._accept_connections, daemon=True).start()

    @property
    def address(self):
        """Return the listening address, ``host:port``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self):
        """Stop listening and close every connection."""
        for open_socket in [self._listener, *self._open_connections]:
            with contextlib.suppress(OSError):
                open_socket.close()

    def _accept_connections(self):
        """Accept connections; serve each in a thread of its own."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open_connections.append(connection)
            threading.Thread(
                target=self._serve_connection, args=(connection,), daemon=True
            ).start()

    def _serve_connection(self, connection):
        """Answer the requests of one connection."""
        with contextlib.suppress(OSError):
            while self._scripts:
                head = self._read_head(connection)
                if not head:
                    return
                steps = self._scripts.pop(0)
                is_early = steps[:1] == ["early"]
                body = b"" if is_early else self._read_body(connection, head)
                self.requests.append(head + body)
                if not self._run_steps(connection, steps):
                    return

    @staticmethod
    def _read_head(connection):
        """Return the head of the next request; empty at end of file."""
        data = b""
        while b"\r\n\r\n" not in data:
            byte = connection.recv(1)
            if not byte:
                return b""
            data += byte
        return data

    @staticmethod
    def _read_body(connection, head):
        """Return the body, as long as the Content-Length of the head."""
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                body = b""
                while len(body) < int(value):
                    body += connection.recv(int(value) - len(body))
                return body
        return b""

    @staticmethod
    def _run_steps(connection, steps):
        """Play the steps; return whether the connection stays open."""
        for step in steps:
            match step:
                case bytes():
                    connection.sendall(step)
                case float():
                    time.sleep(step)
                case "close":
                    connection.close()
                    return False
                case "reset":
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                    )
                    connection.close()
                    return False
                case "hang":
                    threading.Event().wait(5.0)
                    return False
        return True
