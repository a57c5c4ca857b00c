"""HTTP server shared by the stand-ins: routes, replies and streams."""

import http.server
import itertools
import json
import os
import re
import signal
import sys
import threading
import urllib.parse

import attrs

__all__ = [
    "ConnectionCutError",
    "Reply",
    "Request",
    "Route",
    "Server",
    "Stream",
    "reply_json",
    "serve",
]

_LISTEN_BACKLOG = 1024
# Time for which a silenced connection is held before it is closed.
_SILENCE_DURATION_S = 600.0


class ConnectionCutError(Exception):
    """Raised to close the connection without sending a further byte."""


@attrs.frozen
class Request:
    """One parsed HTTP request.

    Parameters
    ----------
    method, path : str
        From the request line; the path without the query string.
    query : dict
        Query parameters; the last value of a repeated one.
    headers : email.message.Message
        Header fields.
    body : bytes
        Body of the request.
    """

    method: str
    path: str
    query: dict
    headers: object
    body: bytes = b""

    def json(self):
        """Return the decoded JSON body; raises ValueError."""
        return json.loads(self.body or b"{}")


@attrs.frozen
class Reply:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the response.
    headers : tuple of tuple of str
        Further header fields.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes = b""
    headers: tuple = ()
    content_type: str = "application/json"


@attrs.frozen
class Stream:
    """A response in chunked transfer encoding, one chunk for each line.

    Parameters
    ----------
    lines : iterator of bytes
        Closed after the last line or when the caller disconnects.
    content_type : str
        Media type of the body.
    """

    lines: object
    content_type: str = "application/x-ndjson"


@attrs.frozen
class Route:
    """Maps a method and a path pattern to the function that answers.

    Parameters
    ----------
    method : str
        HTTP method.
    pattern : str
        Regular expression that the whole path matches; its groups are
        passed to the action after the request.
    action : callable
        Takes the request and the groups; returns a Reply or a Stream.
    """

    method: str
    pattern: str
    action: object


def reply_json(status, value, headers=()):
    """Return a reply with a JSON value as its body."""
    return Reply(status, json.dumps(value).encode(), tuple(headers))


class Server(http.server.ThreadingHTTPServer):
    """HTTP server with a list of routes and a thread for each connection.

    Parameters
    ----------
    port : int
        Port on loopback; 0 for a free one.
    routes : iterable of Route
        Matched in order; the first match answers.
    """

    daemon_threads = True
    request_queue_size = _LISTEN_BACKLOG

    def __init__(self, port, routes):
        self.routes = [
            (route.method, re.compile(route.pattern), route.action)
            for route in routes
        ]
        self.connection_numbers = itertools.count(1)
        self.last_connection_number = 0
        self.silent_up_to_number = 0
        super().__init__(("127.0.0.1", port), _Handler)

    @property
    def address(self):
        """Return the address as ``HOST:PORT``."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"

    def silence_connections(self):
        """Send no further byte on the connections that are open now."""
        self.silent_up_to_number = self.last_connection_number

    def restore_connections(self):
        """Answer new requests on silenced connections again.

        Requests that are already held stay without an answer.
        """
        self.silent_up_to_number = 0

    def find_action(self, method, path):
        """Return the action and path groups of the first match, or None."""
        matches = (
            (action, pattern.fullmatch(path))
            for route_method, pattern, action in self.routes
            if route_method == method
        )
        return next(
            ((action, match.groups()) for action, match in matches if match),
            None,
        )

    def handle_error(self, request, client_address):
        """Report an error unless the other end closed the connection."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self):
        """Assign the number by which older connections can be silenced."""
        super().setup()
        self.connection_number = next(self.server.connection_numbers)
        self.server.last_connection_number = self.connection_number

    def log_message(self, format, *args):
        """Write no access log."""

    def do_GET(self):
        """Answer a GET."""
        self._answer()

    do_POST = do_PUT = do_DELETE = do_GET

    def _answer(self):
        request = self._read_request()
        is_control = request.path == "/control"
        if not is_control:
            self._wait_if_silent()
        try:
            self._send(self._dispatch(request), is_control)
        except (ConnectionCutError, OSError):
            self.close_connection = True

    def _read_request(self):
        url = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        return Request(
            method=self.command,
            path=urllib.parse.unquote(url.path),
            query=dict(urllib.parse.parse_qsl(url.query)),
            headers=self.headers,
            body=self.rfile.read(length),
        )

    def _dispatch(self, request):
        found = self.server.find_action(request.method, request.path)
        if found is None:
            return reply_json(404, {"reason": "no such path"})
        action, groups = found
        try:
            return action(request, *groups)
        except (KeyError, TypeError, ValueError) as error:
            return reply_json(400, {"reason": f"malformed: {error!r}"})

    def _send(self, answer, is_control):
        match answer:
            case Stream():
                self._send_stream(answer)
            case Reply():
                self._send_reply(answer, is_control)

    def _send_reply(self, reply, is_control):
        if not is_control:
            self._wait_if_silent()
        self.send_response(reply.status)
        self.send_header("Content-Type", reply.content_type)
        self.send_header("Content-Length", str(len(reply.body)))
        if is_control:
            self.send_header("Connection", "close")
        for name, value in reply.headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(reply.body)

    def _send_stream(self, stream):
        self._wait_if_silent()
        self.send_response(200)
        self.send_header("Content-Type", stream.content_type)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.flush()
        try:
            for line in stream.lines:
                self._send_chunk(line)
        finally:
            stream.lines.close()
        self._wait_if_silent()
        self.wfile.write(b"0\r\n\r\n")

    def _send_chunk(self, line):
        if self._is_silent():
            return
        self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
        self.wfile.flush()

    def _is_silent(self):
        return self.connection_number <= self.server.silent_up_to_number

    def _wait_if_silent(self):
        if self._is_silent():
            threading.Event().wait(_SILENCE_DURATION_S)
            raise ConnectionCutError


def serve(server):
    """Serve until SIGTERM, which ends the process at once."""
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    print(f"listening {server.address}", flush=True)
    server.serve_forever(poll_interval=0.1)
