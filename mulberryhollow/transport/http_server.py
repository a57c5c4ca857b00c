"""HTTP server, on waitress, for requests forwarded to endpoints."""

import contextlib
import ctypes
import logging
import socket
import struct
import threading

from waitress import task as waitress_task
from waitress import wasyncore

from mulberryhollow.coordination import intake as decisions
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.transport import intake as intakes
from mulberryhollow.transport.replies import format_status
from mulberryhollow.transport.replies import Reply
from mulberryhollow.transport import served_connections

__all__ = [
    "ForwardApp",
    "PageApp",
    "PathApp",
    "Reply",
    "apply_limits",
    "begin_leaving",
    "close_idle",
    "describe_unsent",
    "format_status",
    "ignore_connections",
    "is_awaiting_first_request",
    "make_caller_intake",
    "make_page_server",
    "make_peer_intake",
    "make_server",
    "stop_accepting",
]

BACKLOG = 1024
"""Length of the listen queue: connections not yet accepted."""

RESERVED_FILES = 1000
"""File descriptors reserved for files, endpoints, peers, pages and the
platform."""

PEER_CONNECTIONS = 256
"""Largest number of connections of peers that forward requests."""

PEER_IDLE_TIMEOUT_S = 30.0
"""Time after which an idle connection of a peer is closed, in seconds.

Peers use a connection again within 15 s.
"""

PAGE_CONNECTIONS = 64
"""Largest number of connections to this instance's own pages."""

PAGE_IDLE_TIMEOUT_S = 30
"""Time after which an idle connection to a page is closed, in seconds."""

CLEANUP_INTERVAL_S = 1.0
"""Interval between checks for idle connections, in seconds."""

FIRST_REQUEST_TIMEOUT_S = 2.0
"""Time that a leaving instance waits for a first request, in seconds.

A caller that has just connected is about to send a request; only its
machine or the network delays this, and a lost packet is sent again after
one second.
"""

FORWARDED_REQUEST = "mulberryhollow.forwarded_request"
"""Key of the WSGI environment for the id of the request, for log lines."""

PAGE_THREADS = 2
"""Number of threads of the page server."""

INITIAL_THREADS = 4
"""Number of threads that a server for callers starts with."""

THREAD_INCREMENT = 4
"""Number of threads added at a time when requests wait for one."""

_SO_ATTACH_FILTER = 26
"""Socket option of Linux that the socket module does not name."""

_DROP_NEW_CONNECTIONS = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # Loads the flags of the TCP header.
        (0x54, 0, 0, 0x12),  # Keeps SYN and ACK.
        (0x15, 0, 1, 0x02),  # Goes on unless SYN is set alone.
        (0x06, 0, 0, 0),  # Drops the packet.
        (0x06, 0, 0, 0xFFFFFFFF),  # Accepts the packet.
    )
)
"""Packet filter that drops what opens a connection, and nothing else."""

INTERNAL_ERROR = events.declare(
    2004,
    logging.ERROR,
    "forwarding a request failed with an internal error",
    "report the error with the surrounding log lines",
)
REJECTED = events.declare(
    2005,
    logging.INFO,
    "a malformed request was rejected",
)


class ForwardApp:
    """WSGI application that forwards requests to endpoints.

    Parameters
    ----------
    ingress : Ingress
        Checks and forwards the requests.
    codec : object
        ``decode(environ)`` returns an IngressRequest, and
        ``encode_refusal(refusal)`` a Reply.
    """

    def __init__(self, ingress, codec):
        self._ingress = ingress
        self._codec = codec

    def __call__(self, environ, start_response):
        """Answer one request."""
        is_gone = environ.get("waitress.client_disconnected", _return_false)
        try:
            incoming = self._codec.decode(environ)
            forwarding = self._ingress.accept(incoming, is_gone)
        except errors.RefusedError as error:
            if error.refusal.kind is errors.RefusalKind.MALFORMED:
                events.log(REJECTED, reason=error.refusal.message)
            return _send(
                start_response, self._codec.encode_refusal(error.refusal)
            )
        except errors.CallerDisconnectedError:
            return _send(start_response, _CALLER_DISCONNECTED_REPLY)
        except Exception as error:  # noqa: BLE001
            events.log(INTERNAL_ERROR, error=repr(error))
            return _send(start_response, _INTERNAL_ERROR_REPLY)
        environ[FORWARDED_REQUEST] = forwarding.request_id
        return _send_answer(start_response, forwarding)


class PageApp:
    """WSGI application that serves this instance's own pages.

    Parameters
    ----------
    pages : dict
        Path to a function that returns a Reply.
    """

    def __init__(self, pages):
        self._pages = pages

    def __call__(self, environ, start_response):
        """Answer one request."""
        page = self._pages.get(environ["PATH_INFO"])
        return _send(start_response, page() if page else Reply(404))


class PathApp:
    """WSGI application that passes one path to another application.

    Parameters
    ----------
    path : str
        The path.
    app, other_app : callable
        The WSGI applications for this path and for all others.
    """

    def __init__(self, path, app, other_app):
        self._path = path
        self._app = app
        self._other_app = other_app

    def __call__(self, environ, start_response):
        """Answer one request."""
        is_path = environ["PATH_INFO"] == self._path
        app = self._app if is_path else self._other_app
        return app(environ, start_response)


class _ResponseBody:
    """Response body that is read from an endpoint piece by piece.

    Waitress calls `close` on every exit path, also after an exception.
    """

    def __init__(self, forwarding):
        self._forwarding = forwarding
        self._pieces = forwarding.iterate()

    def __iter__(self):
        return self._pieces

    def close(self):
        """Stop reading and release the connection to the endpoint."""
        self._pieces.close()
        self._forwarding.close()


def _return_false():
    """Return False, for a WSGI server that doesn't report disconnects."""
    return False


def _send_answer(start_response, forwarding):
    """Send the response of an endpoint."""
    head = forwarding.head
    if forwarding.body is not None:
        forwarding.close()
        reply = Reply(head.status, head.headers, forwarding.body)
        return _send(start_response, reply)
    start_response(format_status(head.status), list(head.headers))
    return _ResponseBody(forwarding)


def _send(start_response, reply):
    """Send a complete response."""
    headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
    start_response(format_status(reply.status), headers)
    return [reply.body]


_CALLER_DISCONNECTED_REPLY = Reply(503)
_INTERNAL_ERROR_REPLY = Reply(502)


class _Task(waitress_task.WSGITask):
    """Waitress task that closes its connection on a leaving instance.

    The response announces this with the header ``Connection: close``. A
    response that fails after its head is never ended as if it were complete.
    """

    def execute(self):
        """Run the application and write its response."""
        try:
            super().execute()
        except BaseException:
            is_framed = self.chunked_response or self.content_length
            if self.wrote_header and not is_framed:
                self.channel.reset_at_close()
            raise

    def build_response_header(self):
        """Return the response head."""
        self.channel.last_request_id = self.get_environment().get(
            FORWARDED_REQUEST, ""
        )
        if self.channel.server.is_leaving:
            self.set_close_on_finish()
        return super().build_response_header()


class _Connection(served_connections.Connection):
    """Connection of a caller, whose requests run as `_Task`."""

    task_class = _Task


class _GrowingDispatcher(waitress_task.ThreadedTaskDispatcher):
    """Thread pool that grows while requests wait, up to a maximum.

    Most instances need few threads most of the time, and each thread costs
    memory and start-up time.
    """

    def __init__(self, max_threads, initial_threads):
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(min(initial_threads, max_threads))

    def add_task(self, task):
        """Queue a request; add threads when none is free for it."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            thread_count = len(self.threads) - self.stop_count
            needs_thread = len(self.queue) > thread_count - self.active_count
        if needs_thread and thread_count < self._max_threads:
            self.set_thread_count(
                min(self._max_threads, thread_count + THREAD_INCREMENT)
            )


def make_server(
    app,
    address,
    threads,
    max_files,
    initial_threads=INITIAL_THREADS,
    intake=None,
):
    """Return a waitress server for callers.

    Parameters
    ----------
    app : callable
        The WSGI application.
    address : str
        ``host:port`` to listen on.
    threads : int
        Largest number of worker threads: requests forwarded concurrently.
    max_files : int
        Limit on open file descriptors of the process.
    initial_threads : int
        Number of worker threads at the start.
    intake : Intake or None
        Limits what is held for the callers; None for that of a process
        with the default memory.
    """
    intake = intake or make_caller_intake(
        decisions.MemoryShares(), max_files - RESERVED_FILES, None
    )
    server = served_connections.create_server(
        app,
        intake,
        address,
        _GrowingDispatcher(threads, initial_threads),
        backlog=BACKLOG,
        cleanup_interval=CLEANUP_INTERVAL_S,
        clear_untrusted_proxy_headers=False,
    )
    server.channel_class = _Connection
    server.is_leaving = False
    return server


def make_caller_intake(shares, max_connections, codec, **options):
    """Return the Intake of a server for callers.

    Parameters
    ----------
    shares : MemoryShares
        Memory of the servers of the process.
    max_connections : int
        Largest number of connections that the descriptors or the threads
        allow.
    codec : object
        Codec of the server's refusals, as for `Intake`.
    **options
        Passed to `Intake`.
    """
    return intakes.Intake(
        "callers",
        decisions.compute_connections(shares.memory_bytes, max_connections),
        shares.compute_callers,
        shares.unread_bytes,
        codec,
        intakes.NOT_CONFIGURED,
        **options,
    )


def make_peer_intake(shares, codec, **options):
    """Return the Intake of a server for requests that peers forward."""
    return intakes.Intake(
        "peers",
        PEER_CONNECTIONS,
        shares.compute_peers,
        shares.unread_bytes,
        codec,
        intakes.NOT_CONFIGURED,
        **options,
    )


def make_page_server(pages, *addresses, **options):
    """Return a waitress server for this instance's own pages.

    Parameters
    ----------
    pages : dict
        Path to a function that returns a Reply.
    *addresses : str
        ``host:port`` of each socket to listen on; all serve every page.
    **options
        Passed to `Intake`.
    """
    intake = intakes.Intake(
        "pages",
        PAGE_CONNECTIONS,
        lambda largest_bytes: decisions.PAGE_BYTES,
        decisions.PAGE_BYTES,
        **options,
    )
    return served_connections.create_server(
        PageApp(pages),
        intake,
        " ".join(addresses),
        threads=PAGE_THREADS,
        channel_timeout=PAGE_IDLE_TIMEOUT_S,
        cleanup_interval=CLEANUP_INTERVAL_S,
    )


def apply_limits(server, limits, body_timeout_s):
    """Apply IngressLimits to a running server.

    Parameters
    ----------
    server : Server
        The server.
    limits : IngressLimits
        Sizes and timeouts.
    body_timeout_s : float
        Longest time for a body, in seconds.
    """
    served_connections.apply_limits(
        server,
        intakes.IntakeLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            body_timeout_s,
        ),
    )
    server.adj.channel_timeout = limits.idle_timeout_s


def begin_leaving(server):
    """Close each connection after its current or next response."""
    server.is_leaving = True


def is_awaiting_first_request(channel, now_s):
    """Return whether a caller has just connected and sent nothing yet.

    Parameters
    ----------
    channel : waitress channel
        The caller's connection.
    now_s : float
        Wall-clock time, in Unix seconds.
    """
    has_sent = channel.last_activity != channel.creation_time
    return (
        not has_sent
        and now_s - channel.creation_time < FIRST_REQUEST_TIMEOUT_S
    )


def close_idle(server, now_s):
    """Close the connections that carry no request and no answer.

    Parameters
    ----------
    server : waitress server
        A running server.
    now_s : float
        Wall-clock time, in Unix seconds.
    """
    server.trigger.pull_trigger(lambda: _close_idle(server, now_s))


def _close_idle(server, now_s):
    """Mark idle connections for closing, in the server's thread."""
    for channel in list(server.active_channels.values()):
        if channel.is_idle and not is_awaiting_first_request(channel, now_s):
            channel.close_when_sent()


def describe_unsent(server):
    """Return (connections, bytes) of the answers that are not sent.

    Parameters
    ----------
    server : waitress server
        A running server.
    """
    sizes = [
        channel.total_outbufs_len
        for channel in list(server.active_channels.values())
    ]
    return len(list(filter(None, sizes))), sum(sizes)


def ignore_connections(server):
    """Let no further connection be established.

    Packets that would open one are dropped, so a caller tries again a second
    later, when the listening socket is closed. Without this, connections that
    are established between the last `accept` and the close are reset.

    Parameters
    ----------
    server : waitress server
        A running server. Connections that callers are already establishing
        are completed.
    """
    code = ctypes.create_string_buffer(
        _DROP_NEW_CONNECTIONS, len(_DROP_NEW_CONNECTIONS)
    )
    count = len(_DROP_NEW_CONNECTIONS) // struct.calcsize("HBBI")
    program = struct.pack("HP", count, ctypes.addressof(code))
    # Systems without packet filters keep the short time in which connections
    # are reset.
    with contextlib.suppress(OSError):
        server.socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def stop_accepting(server):
    """Accept the connections in the listen queue, then stop listening.

    Parameters
    ----------
    server : waitress server
        A running server; its open connections stay open.

    Returns
    -------
    threading.Event
        Set when the listening socket is closed. Until then connections may
        be waiting in the listen queue that the server does not know of.
    """
    done = threading.Event()
    server.trigger.pull_trigger(lambda: _close_listener(server, done))
    return done


def _close_listener(server, done):
    """Empty the listen queue and close the listening socket.

    Runs in the server's thread.
    """
    for _ in range(BACKLOG):
        count = len(server.active_channels)
        server.handle_accept()
        if len(server.active_channels) == count:
            break
    wasyncore.dispatcher.close(server)
    done.set()
