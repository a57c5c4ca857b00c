"""HTTP server for requests that are passed on."""

import http
import logging
import threading

import attrs
import waitress
from waitress import channel as waitress_channel
from waitress import task as waitress_task
from waitress import wasyncore

from mulberryhollow import errors
from mulberryhollow import events

__all__ = [
    "ForwardApp",
    "PageApp",
    "Reply",
    "apply_limits",
    "begin_leaving",
    "close_idle",
    "is_first_awaited",
    "make_page_server",
    "make_server",
    "name_status",
    "stop_accepting",
]

BACKLOG = 1024
"""Connections that wait to be accepted."""

FILES_RESERVED = 400
"""Descriptors kept for endpoints, peers and the platform."""

OUT_BUFFER_BYTES = 256 * 1024
"""Bytes of one answer that wait for a slow caller."""

CLEANUP_S = 1.0
"""Time between two looks for idle connections, in seconds."""

FIRST_REQUEST_S = 2.0
"""Time that a leaving instance gives a new connection's caller, in seconds.

A caller that has connected is sending; only its machine or the network
delays it, and a lost packet is sent again after one second.
"""

PAGE_THREADS = 2
"""Threads that answer pages."""

FIRST_THREADS = 8
"""Threads that a server for callers begins with."""

MORE_THREADS = 4
"""Threads that are added at once when requests wait for one."""

INTERNAL_ERROR = events.declare(
    2004,
    logging.ERROR,
    "a request that was to be passed on met an error in this program",
    "report it with the log lines around it",
)
REJECTED = events.declare(
    2005,
    logging.INFO,
    "a request was rejected as malformed",
)


@attrs.frozen
class Reply:
    """A whole answer of this instance's own.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Its headers, without the length.
    body : bytes
        Its body.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""


class ForwardApp:
    """WSGI application that passes requests on.

    Parameters
    ----------
    ingress : Ingress
        Takes the requests.
    codec : object
        ``decode(environ)`` returns an IngressRequest, and
        ``encode_refusal(refusal)`` a Reply.
    """

    def __init__(self, ingress, codec):
        self._ingress = ingress
        self._codec = codec

    def __call__(self, environ, start_response):
        """Answer one request."""
        is_gone = environ.get("waitress.client_disconnected", _never)
        try:
            incoming = self._codec.decode(environ)
            forwarding = self._ingress.accept(incoming, is_gone)
        except errors.RefusedError as error:
            if error.refusal.kind is errors.RefusalKind.MALFORMED:
                events.log(REJECTED, reason=error.refusal.message)
            return _send(
                start_response, self._codec.encode_refusal(error.refusal)
            )
        except errors.CallerGoneError:
            return _send(start_response, _GONE)
        except Exception as error:  # noqa: BLE001
            events.log(INTERNAL_ERROR, error=repr(error))
            return _send(start_response, _FAILED)
        return _relay(start_response, forwarding)


class PageApp:
    """WSGI application that answers pages.

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


class _Pieces:
    """Body of an answer, closed by the server in any case."""

    def __init__(self, forwarding):
        self._forwarding = forwarding
        self._pieces = forwarding.iterate()

    def __iter__(self):
        return self._pieces

    def close(self):
        """Let go of the endpoint."""
        self._pieces.close()
        self._forwarding.close()


def _never():
    """Return that the caller has not left."""
    return False


def _relay(start_response, forwarding):
    """Send the answer of an endpoint."""
    head = forwarding.head
    if forwarding.body is not None:
        forwarding.close()
        reply = Reply(head.status, head.headers, forwarding.body)
        return _send(start_response, reply)
    start_response(name_status(head.status), list(head.headers))
    return _Pieces(forwarding)


def _send(start_response, reply):
    """Send a whole answer."""
    headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
    start_response(name_status(reply.status), headers)
    return [reply.body]


def name_status(status):
    """Return the status line of a number."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


_GONE = Reply(503)
_FAILED = Reply(502)


class _Task(waitress_task.WSGITask):
    """A task whose answer is the last one on a leaving instance."""

    def build_response_header(self):
        """Return the head of the answer."""
        if self.channel.server.is_leaving:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(waitress_channel.HTTPChannel):
    """A caller's connection."""

    task_class = _Task


class _GrowingDispatcher(waitress_task.ThreadedTaskDispatcher):
    """Adds threads while requests wait for one, up to a number.

    Most instances need few threads most of the time, and each one costs
    memory and start-up time.
    """

    def __init__(self, most):
        super().__init__()
        self._most = most
        self.set_thread_count(min(FIRST_THREADS, most))

    def add_task(self, task):
        """Queue a request; add threads if none is free for it."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            present = len(self.threads) - self.stop_count
            is_short = len(self.queue) > present - self.active_count
        if is_short and present < self._most:
            self.set_thread_count(min(self._most, present + MORE_THREADS))


def make_server(app, address, threads, max_files):
    """Return a waitress server for callers.

    Parameters
    ----------
    app : ForwardApp
        The application.
    address : str
        ``host:port`` to listen at.
    threads : int
        Most requests that are passed on at once.
    max_files : int
        Descriptors that the process may have.
    """
    server = waitress.create_server(
        app,
        listen=address,
        _dispatcher=_GrowingDispatcher(threads),
        backlog=BACKLOG,
        connection_limit=max(100, max_files - FILES_RESERVED),
        channel_request_lookahead=1,
        cleanup_interval=CLEANUP_S,
        inbuf_overflow=1 << 30,
        outbuf_overflow=1 << 30,
        outbuf_high_watermark=OUT_BUFFER_BYTES,
        asyncore_use_poll=True,
        clear_untrusted_proxy_headers=False,
        ident="",
    )
    server.channel_class = _Channel
    server.is_leaving = False
    return server


def make_page_server(pages, address):
    """Return a waitress server for pages.

    Parameters
    ----------
    pages : dict
        Path to a function that returns a Reply.
    address : str
        ``host:port`` to listen at.
    """
    return waitress.create_server(
        PageApp(pages),
        listen=address,
        threads=PAGE_THREADS,
        asyncore_use_poll=True,
        ident="",
    )


def apply_limits(server, limits):
    """Let a server keep the EntryLimits from now on."""
    server.adj.max_request_header_size = limits.header_bytes
    server.adj.max_request_body_size = limits.body_bytes
    server.adj.channel_timeout = limits.idle_timeout_s


def begin_leaving(server):
    """Let every answer from now on be the last on its connection."""
    server.is_leaving = True


def is_first_awaited(channel, now_s):
    """Return whether a caller has just connected and sent nothing yet.

    Parameters
    ----------
    channel : waitress channel
        The caller's connection.
    now_s : float
        Wall-clock time, in Unix seconds.
    """
    has_sent = channel.last_activity != channel.creation_time
    return not has_sent and now_s - channel.creation_time < FIRST_REQUEST_S


def close_idle(server, now_s):
    """Close the connections that carry no request.

    Parameters
    ----------
    server : waitress server
        A running server.
    now_s : float
        Wall-clock time, in Unix seconds.
    """
    server.trigger.pull_trigger(lambda: _close_idle(server, now_s))


def _close_idle(server, now_s):
    """Mark idle connections, in the server's own thread."""
    for channel in list(server.active_channels.values()):
        is_busy = channel.requests or channel.request
        if not (is_busy or is_first_awaited(channel, now_s)):
            channel.will_close = True


def stop_accepting(server):
    """Take every waiting connection, then refuse further ones.

    Parameters
    ----------
    server : waitress server
        A running server; connections that it has go on.

    Returns
    -------
    threading.Event
        Set when that is done: until then connections may be waiting that
        the server does not know of.
    """
    done = threading.Event()
    server.trigger.pull_trigger(lambda: _close_listener(server, done))
    return done


def _close_listener(server, done):
    """Close the listening socket, in the server's own thread."""
    for _ in range(BACKLOG):
        count = len(server.active_channels)
        server.handle_accept()
        if len(server.active_channels) == count:
            break
    wasyncore.dispatcher.close(server)
    done.set()
