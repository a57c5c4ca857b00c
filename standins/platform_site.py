"""Stand-ins for the users' platform over HTTP: store, API, endpoints."""

import contextlib
import http.server
import json
import socket
import threading
import time

from standins import platform

__all__ = ["PlatformEndpoint", "PlatformServer", "Server"]

WATCH_POLL_INTERVAL_S = 0.02
EVENT_BYTES = 10_000
"""Size of an event of a large stream, in bytes."""


class _Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the ``handle`` method of the server."""

    protocol_version = "HTTP/1.1"
    # Buffers a response: its head and body are two writes, and unbuffered
    # the second would wait for the acknowledgement of the first.
    wbufsize = -1

    def setup(self):
        """Register the connection with the server."""
        super().setup()
        self.server.open_connections.add(self.connection)

    def finish(self):
        """Forget the connection."""
        self.server.open_connections.discard(self.connection)
        # The connection may have been cut with an answer in the buffer.
        with contextlib.suppress(OSError):
            super().finish()

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        self.server.handle(self, self.rfile.read(length))
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _handle

    def log_message(self, *arguments):
        """Write no access log."""

    def reply(self, status, headers, body):
        """Send a complete response."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server:
    """An HTTP server on loopback, with a thread for each connection."""

    def __init__(self):
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _Handler
        )
        self._server.daemon_threads = True
        self._server.handle = self.handle
        self._server.open_connections = set()
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    @property
    def address(self):
        """Return the listening address, ``host:port``."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def cut_connections(self):
        """Shut every open connection down, as the end of a process does."""
        for connection in tuple(self._server.open_connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class PlatformServer(Server):
    """The object store and the usage API.

    Attributes
    ----------
    store : PlatformStore
        Objects of the platform.
    reports : list of dict
        Usage reports received.
    duty_calls : list of tuple
        Time and fencing token of each usage report.
    is_refusing : bool
        Whether every call is answered with 503.
    """

    def __init__(self):
        self.store = platform.PlatformStore()
        self.reports = []
        self.duty_calls = []
        self.is_refusing = False
        super().__init__()

    def handle(self, handler, body):
        """Answer one call; a watch waits up to 2 seconds for an event."""
        if self.is_refusing:
            handler.reply(503, {}, b"")
            return
        if handler.path == "/usage":
            token = int(handler.headers["Fencing-Token"])
            self.duty_calls.append((time.monotonic(), token))
            self.reports.append(json.loads(body))
            handler.reply(200, {}, b"")
            return
        answer = self.store.request(handler.command, handler.path, body)
        until_s = time.monotonic() + 2.0
        while "watch=" in handler.path and time.monotonic() < until_s:
            if answer.status != 200 or b'"events": []' not in answer.data:
                break
            time.sleep(WATCH_POLL_INTERVAL_S)
            answer = self.store.request(handler.command, handler.path, body)
        handler.reply(answer.status, answer.headers, answer.data)


class PlatformEndpoint(Server):
    """An endpoint that answers by path: at once, as a stream or late.

    Parameters
    ----------
    identity : str
        Id of the endpoint; a request that expects another one gets 421.

    Attributes
    ----------
    received : list of dict
        Headers, path and body of each request that ran.
    is_full : bool
        Whether requests are refused with 503 and ``Not-Executed``.
    is_failing : bool
        Whether requests run and are answered with 500.
    loses_answers : bool
        Whether requests run but the connection closes without an answer.
    cuts_heads : bool
        Whether requests run but the connection closes inside the head of
        their answer, after a length of 0.
    rate_limit : str
        Value of ``Server-Limit`` in all answers; empty for none.
    late_s : float
        Time until a late answer, in seconds.
    large_bytes : int
        Size of the body of a large answer, in bytes.
    disconnected_clients : int
        Number of clients that disconnected before their answer.
    """

    def __init__(self, identity):
        self.identity = identity
        self.received = []
        self.is_full = False
        self.is_failing = False
        self.loses_answers = False
        self.cuts_heads = False
        self.rate_limit = ""
        self.late_s = 2.0
        self.large_bytes = 0
        self.disconnected_clients = 0
        super().__init__()

    def handle(self, handler, body):
        """Answer one request."""
        headers = dict(handler.headers.items())
        answer_headers = {"Attempt-Id": headers.get("Attempt-Id", "")}
        if headers.get("Expect-Instance") != self.identity:
            handler.reply(421, answer_headers, b"")
            return
        if self.rate_limit:
            answer_headers["Server-Limit"] = self.rate_limit
        if self.is_full:
            handler.reply(503, answer_headers | {"Not-Executed": "1"}, b"")
            return
        self.received.append(headers | {"path": handler.path, "body": body})
        if self.loses_answers:
            handler.close_connection = True
            return
        answer_headers |= {"Response-Seal": f"seal {self.identity}"}
        if self.cuts_heads:
            self._cut_head(handler, answer_headers)
            return
        if self.is_failing:
            handler.reply(500, answer_headers, b"failed")
        elif "/long-stream/" in handler.path:
            self._stream_long(handler, answer_headers)
        elif "/stream/" in handler.path:
            self._stream(handler, answer_headers)
        elif "/large/" in handler.path:
            handler.reply(200, answer_headers, b"x" * self.large_bytes)
        elif "/large-stream/" in handler.path:
            self._stream_large(handler, answer_headers)
        elif "/slow/" in handler.path:
            self._answer_late(handler, answer_headers)
        else:
            handler.reply(
                200, answer_headers, b"answer of " + self.identity.encode()
            )

    @staticmethod
    def _cut_head(handler, answer_headers):
        """Close the connection after a whole header line."""
        handler.send_response(200)
        for name, value in answer_headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", "0")
        handler.flush_headers()
        handler.close_connection = True

    @staticmethod
    def _stream(handler, answer_headers):
        """Send three events in chunks."""
        handler.send_response(200)
        for name, value in answer_headers.items():
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in (1, 2, 3):
            event = b"id: %d\ndata: x\n\n" % number
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")

    def _stream_large(self, handler, answer_headers):
        """Send `large_bytes` in events of `EVENT_BYTES`, without a pause."""
        handler.send_response(200)
        for name, value in answer_headers.items():
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(self.large_bytes // EVENT_BYTES):
            event = b"id: %d\ndata: " % (number + 1)
            event = event.ljust(EVENT_BYTES - 2, b"x") + b"\n\n"
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")

    def _stream_long(self, handler, answer_headers):
        """Send an event in a chunk, and the end of the stream late."""
        handler.send_response(200)
        for name, value in answer_headers.items():
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        event = b"id: 1\ndata: x\n\n"
        handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.flush()
        handler.connection.settimeout(self.late_s)
        with contextlib.suppress(TimeoutError):
            handler.connection.recv(1)
            self.disconnected_clients += 1
            handler.close_connection = True
            return
        handler.wfile.write(b"0\r\n\r\n")

    def _answer_late(self, handler, answer_headers):
        """Answer after `late_s`, unless the client disconnects."""
        handler.connection.settimeout(self.late_s)
        try:
            if not handler.connection.recv(1):
                self.disconnected_clients += 1
                handler.close_connection = True
                return
        except TimeoutError:
            handler.reply(200, answer_headers, b"late")
