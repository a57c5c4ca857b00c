"""Connections of clients to a waitress server, bounded all together."""

import contextlib
import errno
import fcntl
import itertools
import logging
import socket
import struct
import termios
import time

import attrs
from waitress import adjustments
from waitress import channel as waitress_channel
from waitress import server as waitress_server
from waitress import task as waitress_task

from mulberryhollow.coordination import intake as decisions
from mulberryhollow import events
from mulberryhollow.transport import intake as intakes
from mulberryhollow.transport import replies

__all__ = ["Connection", "Server", "create_server"]

READ_BYTES = 16 * 1024
"""Largest number of bytes that are read from a connection at a time."""

DENSE_READ_BYTES = 1024
"""Largest number of bytes that are read at a time of a body in tiny chunks.

Each chunk costs time, in which no other connection is read.
"""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Size of a connection's receive buffer, in bytes.

The system allows twice as much for its own structures. What waits there is
memory of the process as well.
"""

DRAIN_BYTES = 16 * 1024 * 1024
"""Bytes that are read and dropped after the last answer of a connection.

A client that is still sending would otherwise find its connection reset, and
not see the answer.
"""

DRAIN_S = 2.0
"""Shortest time in which bytes are dropped after the last answer, in seconds.

It goes on until the answer has arrived at the client's machine.
"""

_LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER for which a close resets the connection."""

OUT_BUFFER_BYTES = 256 * 1024
"""Bytes of answers that are buffered for a slow client.

Above this, reading from the endpoint pauses.
"""

ACCEPT_BATCH = 32
"""Number of connections that are accepted at a time."""

MAX_EXCESS = 5 / 4
"""Number of connections, as a multiple of their limit, from which a new one is
closed when all others are in use."""

UNLIMITED = 1 << 30
"""Value of a limit of waitress that does not apply."""

UNSENT = events.declare(
    2007,
    logging.WARNING,
    "a connection was closed before all bytes of its answers were sent",
    "if there are many, look for clients that read slowly, or for a grace "
    "time that is too short",
)

_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


@attrs.frozen
class _ReplyError:
    """Error of a request for waitress, answered with a given Reply."""

    reply: object

    def to_response(self, ident=None):
        """Return status line, headers and body."""
        reply = self.reply
        status = replies.format_status(reply.status)
        return status, list(reply.headers), reply.body


class Connection(waitress_channel.HTTPChannel):
    """Connection of a client whose requests draw on the server's intake."""

    _is_refused = False
    _is_reset_at_close = False
    # Whether all answers had arrived before the connection was closed, and
    # nothing has come since.
    _is_idle_close = False
    _drain_bytes = 0
    _drain_end_s = None
    _read_bytes = READ_BYTES
    # Bytes behind the requests that wait for their answers.
    _unparsed = b""
    # Wall-clock time since which bytes of an answer wait to be read, as far
    # as `look` has seen them.
    _unread_since_s = None
    # Id of the request that was forwarded last.
    last_request_id = ""

    @property
    def is_idle(self):
        """Whether no request has arrived whose answer is not yet sent."""
        # The thread of a request buffers its answer before it removes it.
        return not (
            self.requests
            or self.request
            or self._unparsed
            or self.total_outbufs_len
            or self._has_unacknowledged()
        )

    @property
    def is_draining(self):
        """Whether what the client still sends is dropped."""
        return self._drain_end_s is not None

    def readable(self):
        """Return whether to wait for bytes of the client."""
        if self.is_draining:
            return not self.will_close
        if self._is_refused:
            return False
        is_readable = super().readable()
        if is_readable and self._unparsed:
            data, self._unparsed = self._unparsed, b""
            self.received(data)
            is_readable = not self._is_refused and super().readable()
        return is_readable

    def handle_read(self):
        """Read once from the client."""
        try:
            data = self.recv(self._read_bytes)
        except OSError:
            self.handle_close()
            return
        if not data:
            self.connected = False
            return
        self._is_idle_close = False
        if self.is_draining:
            self._drain_bytes -= len(data)
            if self._drain_bytes <= 0:
                self.end()
        else:
            self.last_activity = time.time()
            self.received(data)

    def received(self, data):
        """Parse bytes of the client; start requests that are complete."""
        if not data:
            return False
        with self.requests_lock:
            if self.will_close or self.close_when_flushed or self._is_refused:
                return False
            yielding = self._parse(data)
        for each in yielding:
            each.refuse(intakes.NO_ROOM)
        return True

    def handle_write(self):
        """Send what is waiting; end a connection that is to be closed."""
        if not self.requests:
            self._flush_exception(self._flush_some)
        elif self.total_outbufs_len >= self.adj.send_bytes:
            self._flush_exception(self._flush_some_if_lockable)
        if self.close_when_flushed and not self.total_outbufs_len:
            self.close_when_flushed = False
            # The flush closes a connection that the client has reset.
            if self.connected:
                self._begin_draining()
        if self.will_close:
            self.handle_close()

    def close_when_sent(self):
        """Close the connection once its answers are sent.

        Called in the thread of the server, until the connection is closed.
        """
        if self.is_draining:
            self._check_drain()
        elif not self.close_when_flushed:
            self._is_idle_close = self.is_idle
            self.close_when_flushed = True

    def reset_at_close(self):
        """Make the close of the connection a reset.

        An HTTP/1.0 client takes a plain close for the end of the body.
        """
        self._is_reset_at_close = True
        sock = self.socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )

    def handle_close(self):
        """Close the connection; release what it holds."""
        # A thread that answers a request may find the connection broken.
        self.server.intake.forget(self)
        # The first request may be running; its thread closes it.
        for request in self.requests[1:]:
            request.close()
        super().handle_close()

    def _log_unsent(self):
        """Log that bytes of answers are dropped, if there are any."""
        if self.total_outbufs_len:
            events.log(
                UNSENT,
                request=self.last_request_id,
                unsent_bytes=self.total_outbufs_len,
                running=len(self.requests),
                reason="idle, or in the way of others",
            )

    def end(self):
        """Close the connection, also if the client does not read."""
        self._log_unsent()
        self.will_close = True
        # Waiting for room in the send buffer might never end; the shutdown
        # wakes the server's thread.
        self._shut_down(socket.SHUT_RDWR)

    def give_way(self):
        """End the connection for others; refuse an incomplete request."""
        self.server.intake.count_closed()
        self.refuse(intakes.TOO_MANY_CONNECTIONS)
        self.end()

    def refuse(self, refusal):
        """Refuse the request that is being received, if there is one."""
        with self.requests_lock:
            if self.request is not None and not self._is_refused:
                reply = self.server.intake.encode(refusal, self.request)
                self._reject(reply)

    def look(self, now_s, idle_timeout_s):
        """End the connection, or refuse its request, if it takes too long.

        Parameters
        ----------
        now_s : float
            Wall-clock time, in Unix seconds.
        idle_timeout_s : float
            Longest time without a byte, in seconds.
        """
        if not self.total_outbufs_len:
            self._unread_since_s = None
        elif self._unread_since_s is None or (
            self.last_activity > self._unread_since_s
        ):
            self._unread_since_s = now_s
        # While a request is answered, only a client that does not read is
        # idle: the answer may begin late.
        since_s = self.last_activity
        if self.requests:
            since_s = self._unread_since_s or now_s
        if now_s - since_s > idle_timeout_s:
            self.end()
        elif not self.requests:
            self._check_time()

    def _check_time(self):
        """Refuse a request whose time has passed; end a long drain."""
        if self.is_draining:
            self._check_drain()
        elif self.request is not None:
            refusal = self.server.intake.find_late(self.request)
            if refusal is not None:
                self.refuse(refusal)

    def _check_drain(self):
        """End the drain if the client needs no more of it.

        A client that had all answers before only has to be told of the close,
        and may be gone.
        """
        is_over = time.monotonic() >= self._drain_end_s
        is_received = not self._has_unacknowledged()
        if self._is_idle_close:
            is_done = is_over or (is_received and not self._has_unread())
        else:
            is_done = is_over and is_received
        if is_done:
            self.end()

    def get_unread_s(self, now_s):
        """Return for how long an answer was not read; 0 for none seen."""
        since_s = self._unread_since_s
        return 0.0 if since_s is None else now_s - since_s

    def describe(self, now_s):
        """Return the ConnectionState; None while it gives way to no other.

        Parameters
        ----------
        now_s : float
            Wall-clock time, in Unix seconds.
        """
        is_unread = self._unread_since_s is not None
        is_answering = bool(self.requests) and not is_unread
        is_pipelining = len(self.requests) > 1 or bool(self._unparsed)
        if self.will_close or (is_answering and not is_pipelining):
            return None
        since_s = self._unread_since_s if is_unread else self.last_activity
        return decisions.ConnectionState(
            handle=self,
            idle_s=now_s - since_s,
            is_partial=self.request is not None or is_unread,
            has_sent=self.last_activity != self.creation_time,
            is_refused=self._is_refused or self.is_draining,
            is_answering=is_answering,
        )

    def _parse(self, data):
        """Parse bytes; return the connections whose requests yield."""
        intake = self.server.intake
        yielding = []
        while data and not self._is_refused:
            if len(self.requests) > self.adj.channel_request_lookahead:
                self._unparsed = data
                break
            if self.request is None:
                self.request = intake.begin(self.adj)
            request = self.request
            had_head = request.headers_finished
            data = data[request.received(data) :]
            if request.error is not None:
                self._reject(intake.encode_error(request))
                break
            if request.headers_finished and not had_head:
                refusal = intake.screen(request)
                if refusal is not None:
                    self._reject(intake.encode(refusal, request))
                    break
            yielding += intake.hold(self, request)
            if self in yielding:
                break
            self._advance(request)
        return yielding

    def _advance(self, request):
        """Ask for the body of a request, or start a complete one."""
        self._read_bytes = DENSE_READ_BYTES if request.is_dense else READ_BYTES
        if not request.completed:
            is_asked = request.expect_continue and request.headers_finished
            if is_asked and not self.requests and not self.sent_continue:
                self.send_continue()
            return
        self.sent_continue = False
        self.request = None
        if request.empty:
            request.close()
            return
        self.requests.append(request)
        if len(self.requests) == 1:
            self.server.add_task(self)

    def _reject(self, reply):
        """Answer the request that is being received, and read no other.

        The answers to earlier requests of the connection go first.
        """
        request, self.request = self.request, None
        self._is_refused = True
        self.server.intake.drop(self)
        request.close()
        if self.requests:
            request.error = _ReplyError(reply)
            request.completed = True
            self.requests.append(request)
            return
        data = replies.encode_reply(reply)
        with self.outbuf_lock:
            self.outbufs[-1].append(data)
            self.total_outbufs_len += len(data)
            self.close_when_flushed = True
            self._flush_exception(self._flush_some, do_close=False)

    def _begin_draining(self):
        """Drop what the client still sends, so that it gets the answers."""
        if self._is_reset_at_close:
            self.will_close = True
            return
        with self.requests_lock:
            request, self.request = self.request, None
            self._unparsed = b""
        if request is not None:
            self.server.intake.drop(self)
            request.close()
        self._drain_bytes = DRAIN_BYTES
        self._drain_end_s = time.monotonic() + DRAIN_S
        self._read_bytes = READ_BYTES
        if not self._shut_down(socket.SHUT_WR):
            self.will_close = True

    def _shut_down(self, directions):
        """Shut the socket down; return whether it was connected."""
        # The thread of a request may have closed the connection.
        sock = self.socket
        if sock is None:
            return False
        with contextlib.suppress(OSError):
            sock.shutdown(directions)
            return True
        return False

    def _has_unacknowledged(self):
        """Return whether sent bytes, or the close, have not arrived yet."""
        return self._has_waiting("TIOCOUTQ")

    def _has_unread(self):
        """Return whether bytes of the client wait to be read."""
        return self._has_waiting("FIONREAD")

    def _has_waiting(self, request):
        """Return whether bytes wait, as a request of termios counts them."""
        # The thread of the server may close the socket at any moment.
        sock = self.socket
        if sock is None:
            return False
        size = bytearray(struct.calcsize("i"))
        # A closed socket has no descriptor; some systems lack the request.
        with contextlib.suppress(OSError, ValueError, AttributeError):
            fcntl.ioctl(sock, getattr(termios, request), size)
        return any(size)


class Server(waitress_server.TcpWSGIServer):
    """Waitress server whose clients share an intake.

    Parameters
    ----------
    app : callable
        The WSGI application.
    intake : Intake
        Limits what is held for the clients.
    socket_map : dict
        Sockets that the thread of the server waits for.
    **options
        Passed to waitress.
    """

    channel_class = Connection
    # Number of connections that were chosen to be closed in this turn.
    _closing = 0

    def __init__(self, app, intake, socket_map, **options):
        self.intake = intake
        super().__init__(app, socket_map, **options)

    def bind_server_socket(self):
        """Bind the socket; its connections get small receive buffers."""
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        super().bind_server_socket()

    def handle_accept(self):
        """Accept the connections that wait, up to a number."""
        # Those that were chosen before are closed by now, or soon.
        self._closing = 0
        for _ in range(ACCEPT_BATCH):
            if not self._accept_one():
                break

    def maintenance(self, now):
        """End idle connections, and requests whose time has passed.

        Parameters
        ----------
        now : float
            Wall-clock time, in Unix seconds.
        """
        for connection in list(self.active_channels.values()):
            connection.look(now, self.adj.channel_timeout)
        self._end_unread(now)
        self.intake.settle()

    def _accept_one(self):
        """Accept a connection; return whether one was waiting."""
        try:
            accepted = self.accept()
        except OSError as error:
            if error.errno in _OUT_OF_DESCRIPTORS:
                self._close_some()
            return False
        if accepted is None:
            return False
        handle, address = accepted
        with contextlib.suppress(OSError):
            self.set_socket_options(handle)
        connection = self.channel_class(
            self, handle, self.fix_addr(address), self.adj, map=self._map
        )
        limit = self.intake.connections
        if len(self._map) - self._closing <= limit:
            return True
        if not self._close_some(connection) and (
            len(self._map) > limit * MAX_EXCESS
        ):
            connection.end()
        return True

    def _close_some(self, newest=None):
        """Close the connections that give way to the newest one.

        Returns
        -------
        bool
            Whether there were any.
        """
        now_s = time.time()
        states = [
            each.describe(now_s)
            for each in self._list_connections()
            if each is not newest
        ]
        chosen = decisions.choose_connections(
            filter(None, states), self.intake.connections
        )
        for each in chosen:
            each.give_way()
        self._closing += len(chosen)
        return bool(chosen)

    def _end_unread(self, now_s):
        """End connections whose clients leave too much of answers unread.

        Those go first that have read nothing for longest.
        """
        unread = sorted(
            (
                each
                for each in self._list_connections()
                if each.get_unread_s(now_s) and not each.will_close
            ),
            key=lambda each: each.get_unread_s(now_s),
        )
        sizes = itertools.accumulate(each.total_outbufs_len for each in unread)
        for connection, size_bytes in zip(unread, sizes, strict=True):
            if size_bytes > self.intake.unread_bytes:
                connection.give_way()

    def _list_connections(self):
        """Return the connections of all servers of this thread."""
        return [
            each for each in self._map.values() if isinstance(each, Connection)
        ]


def create_server(app, intake, listen, dispatcher=None, **options):
    """Return a Server, which serves all of the addresses.

    Parameters
    ----------
    app : callable
        The WSGI application.
    intake : Intake
        Limits what is held for the clients.
    listen : str
        ``host:port`` of each socket to listen on, separated by spaces.
    dispatcher : ThreadedTaskDispatcher or None
        Threads that answer requests; None for as many as the options say.
    **options
        Adjustments of waitress.
    """
    options = {
        "channel_request_lookahead": 1,
        "connection_limit": UNLIMITED,
        "inbuf_overflow": UNLIMITED,
        "outbuf_high_watermark": OUT_BUFFER_BYTES,
        "outbuf_overflow": UNLIMITED,
        "asyncore_use_poll": True,
        "ident": "",
    } | options
    adjusted = adjustments.Adjustments(listen=listen, **options)
    if dispatcher is None:
        dispatcher = waitress_task.ThreadedTaskDispatcher()
        dispatcher.set_thread_count(adjusted.threads)
    socket_map = {}
    servers = [
        Server(
            app,
            intake,
            socket_map,
            dispatcher=dispatcher,
            adj=adjusted,
            sockinfo=each,
        )
        for each in adjusted.listen
    ]
    apply_limits(servers[0], intake.limits)
    return servers[0]


def apply_limits(server, limits):
    """Apply IntakeLimits to a server and to its intake."""
    # Waitress refuses what reaches its limits, and the limits are sizes that
    # are still served.
    server.adj.max_request_header_size = limits.header_bytes + 1
    server.adj.max_request_body_size = limits.body_bytes + 1
    server.intake.apply(limits)
