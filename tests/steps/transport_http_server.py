import concurrent.futures
import contextlib
import ctypes
import itertools
import logging
import socket
import struct
import threading
import time
import types
from unittest import mock
import urllib.request

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import callers
from mulberryhollow.transport import http_server


@given(
    "a server whose responses wait for each other,"
    " with at most {max_threads:d} threads"
)
def start_server(context, max_threads):
    context.barrier = threading.Barrier(24, timeout=5.0)

    def answer(environ, start_response):
        context.barrier.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    context.waitress_server = http_server.make_server(
        answer, "127.0.0.1:0", max_threads, 4100
    )
    threading.Thread(target=context.waitress_server.run, daemon=True).start()


@when("{count:d} requests are sent at once")
def send_at_once(context, count):
    url = f"http://127.0.0.1:{context.waitress_server.effective_port}/"

    def fetch(_):
        with urllib.request.urlopen(url, timeout=9.0) as found:
            return found.read()

    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        context.answers = list(threads.map(fetch, range(count)))


@then("all of them are answered together")
def check_together(context):
    assert context.answers == [b"ok"] * 24, context.answers


@then(
    "the server has at least {min_threads:d} threads"
    " and at most {max_threads:d}"
)
def check_threads(context, min_threads, max_threads):
    count = len(context.waitress_server.task_dispatcher.threads)
    assert min_threads <= count <= max_threads, count


NOW_S = 1000.0
SO_ATTACH_FILTER = 26
LARGE_BYTES = 24_000_000
SMALL_BYTES = 40_000
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeServer:
    """Server whose thread runs the submitted calls when the test says so."""

    def __init__(self, waiting=0):
        self.active_channels = {}
        self.trigger = self
        self.calls = []
        self.waiting = waiting
        self.is_closed = False

    def pull_trigger(self, call):
        self.calls.append(call)

    def run_calls(self):
        for call in self.calls:
            call()

    def handle_accept(self):
        if self.waiting:
            self.waiting -= 1
            self.active_channels[len(self.active_channels)] = None

    def close(self):
        self.is_closed = True


@given(
    "a server with a connection opened {opened_ago_s:g} seconds ago that"
    " has sent nothing"
)
def open_silent(context, opened_ago_s):
    open_connection(context, opened_ago_s, opened_ago_s)


@given(
    "a server with a connection opened {opened_ago_s:g} seconds ago that"
    " was last used {used_ago_s:g} s ago"
)
def open_used(context, opened_ago_s, used_ago_s):
    open_connection(context, opened_ago_s, used_ago_s)


@given("a server with a connection that has sent a part of a request")
def open_partial(context):
    open_connection(context, 0.5, 0.3)
    context.channel.is_idle = False


def open_connection(context, opened_ago_s, used_ago_s):
    context.channel = types.SimpleNamespace(
        creation_time=NOW_S - opened_ago_s,
        last_activity=NOW_S - used_ago_s,
        is_idle=True,
        close_when_sent=mock.Mock(),
    )
    context.server = FakeServer()
    context.server.active_channels[1] = context.channel


@when("the server closes its idle connections")
def close_idle(context):
    http_server.close_idle(context.server, NOW_S)
    context.server.run_calls()


@then("the connection is kept")
def check_kept(context):
    context.channel.close_when_sent.assert_not_called()


@then("the connection is closed")
def check_closed(context):
    context.channel.close_when_sent.assert_called_once_with()


@then("the server is quiet")
def check_quiet(context):
    assert callers.is_idle(context.server, NOW_S)


@then("the server is not quiet")
def check_not_quiet(context):
    assert not callers.is_idle(context.server, NOW_S)


@given("a server whose thread is busy, with {count:d} connections to accept")
def make_busy(context, count):
    context.server = FakeServer(waiting=count)


@when("the server is asked to stop accepting connections")
def stop_accepting(context):
    context.closed = http_server.stop_accepting(context.server)


@then("the listener is not reported as closed")
def check_listener_open(context):
    assert not context.closed.is_set()
    assert not context.server.active_channels


@when("the thread of the server is free again")
def free_thread(context):
    with mock.patch.object(
        http_server.wasyncore.dispatcher, "close", FakeServer.close
    ):
        context.server.run_calls()


@then("all {count:d} connections are accepted and the listener is closed")
def check_listener(context, count):
    assert len(context.server.active_channels) == count
    assert context.server.is_closed
    assert context.closed.is_set()


@given("a server with a caller's connection that ignores further ones")
def ignore_connections(context):
    def answer(environ, start_response):
        start_response("204 No Content", [])
        return []

    context.server = http_server.make_server(answer, "127.0.0.1:0", 4, 4100)
    threading.Thread(target=context.server.run, daemon=True).start()
    context.caller = connect(context)
    http_server.ignore_connections(context.server)


def connect(context):
    address = "127.0.0.1", context.server.effective_port
    return socket.create_connection(address, 0.3)


@when("another caller connects just before the listener is closed")
def connect_late(context):
    def close(listener):
        try:
            context.late = connect(context)
        except TimeoutError:
            context.late = None
        close_listener(listener)

    dispatcher = http_server.wasyncore.dispatcher
    close_listener = dispatcher.close
    with mock.patch.object(dispatcher, "close", close):
        assert http_server.stop_accepting(context.server).wait(5.0)


@then("the connection is not established")
def check_not_established(context):
    assert context.late is None


@then("the first caller is answered and finds no listener any more")
def check_first_caller(context):
    with context.caller:
        context.caller.sendall(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        assert context.caller.recv(64).startswith(b"HTTP/1.0 204")
    try:
        connect(context).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the listener is open")


@given("a server whose response breaks off after its first event")
def start_broken_server(context):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"id: 1\ndata: x\n\n"
        raise errors.EndpointError(streams.Broken("closed"))

    context.waitress_server = http_server.make_server(
        answer, "127.0.0.1:0", 4, 4100
    )
    threading.Thread(target=context.waitress_server.run, daemon=True).start()


@when("a caller reads it with HTTP/{version}")
def read_broken(context, version):
    port = context.waitress_server.effective_port
    context.received, context.is_reset = b"", False
    with socket.create_connection(("127.0.0.1", port), 5.0) as caller:
        caller.sendall(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
        try:
            pieces = iter(lambda: caller.recv(65536), b"")
            context.received = b"".join(pieces)
        except ConnectionResetError:
            context.is_reset = True


@then("the response ends with a reset of the connection")
def check_reset(context):
    assert context.is_reset, context.received


@then("the response ends with a close without the last chunk")
def check_no_last_chunk(context):
    assert b"data: x" in context.received, context.received
    assert b"\r\n0\r\n" not in context.received, context.received


class LogRecords(logging.Handler):
    """Log handler that keeps the errors."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


def start_server_with(context, answer):
    context.records = LogRecords()
    logger = logging.getLogger("waitress")
    logger.addHandler(context.records)
    context.add_cleanup(logger.removeHandler, context.records)
    context.server = http_server.make_server(answer, "127.0.0.1:0", 4, 4100)
    threading.Thread(target=context.server.run, daemon=True).start()


def wait_until(is_reached):
    """Wait for a condition of another thread, for 5 s at most."""
    for _ in itertools.takewhile(lambda _: not is_reached(), range(500)):
        time.sleep(0.01)
    assert is_reached()


@given("a server with a caller that reads nothing of its last answer")
def start_unread_server(context):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(LARGE_BYTES))])
        return [bytes(LARGE_BYTES)]

    start_server_with(context, answer)
    context.caller = connect(context)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(
        b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    wait_until(
        lambda: any(
            channel.close_when_flushed and channel.total_outbufs_len
            for channel in list(context.server.active_channels.values())
        )
    )


@when("the caller resets its connection")
def reset_connection(context):
    context.caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    context.caller.close()


@then("the server closes the connection and logs no error")
def check_closed_quietly(context):
    wait_until(lambda: not context.server.active_channels)
    assert not context.records.messages, context.records.messages


@given("a server with a connection that closes after it was listed")
def close_listed(context):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    start_server_with(context, answer)
    with connect(context) as caller:
        caller.sendall(REQUEST)
        assert caller.recv(64).startswith(b"HTTP/1.1 200")
        context.listed = FakeServer()
        context.listed.active_channels.update(context.server.active_channels)
    wait_until(lambda: not context.server.active_channels)


@when("the listed connections are ended")
def end_listed(context):
    for channel in context.listed.active_channels.values():
        channel.end()


@then("the listed connections are quiet")
def check_listed_quiet(context):
    assert context.listed.active_channels
    assert callers.is_idle(context.listed, time.time() + 1.0)


@given("a server whose caller resets a response without framing")
def start_unframed_server(context):
    context.goes_on = threading.Event()

    def answer(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"id: 1\ndata: x\n\n"
        context.goes_on.wait(5.0)
        yield b"id: 2\ndata: x\n\n"

    start_server_with(context, answer)
    context.caller = connect(context)
    context.caller.sendall(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
    assert context.caller.recv(64).startswith(b"HTTP/1.0 200")
    reset_connection(context)


@when("the response goes on")
def continue_response(context):
    wait_until(lambda: not context.server.active_channels)
    context.goes_on.set()
    wait_until(lambda: not context.server.task_dispatcher.active_count)


@given("a server with a caller that has not yet read its whole answer")
def start_half_read_server(context):
    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(SMALL_BYTES))])
        return [bytes(SMALL_BYTES)]

    start_server_with(context, answer)
    context.caller = connect(context)
    context.add_cleanup(context.caller.close)
    context.caller.settimeout(5.0)
    context.caller.sendall(REQUEST)
    context.received = context.caller.recv(64)
    wait_until(lambda: callers.is_idle(context.server, time.time() + 1.0))


def run_in_server(context, *calls):
    """Run calls one after the other in the thread of the server."""
    done = threading.Event()

    def run():
        for call in calls:
            call()
        done.set()

    context.server.trigger.pull_trigger(run)
    assert done.wait(5.0)


def close_in_server(context):
    """Close the idle connections; called in the thread of the server."""
    fake = FakeServer()
    fake.active_channels = context.server.active_channels
    http_server.close_idle(fake, time.time())
    fake.run_calls()


def keep_closing(context, rounds):
    """Close the idle connections every 50 ms, as a stop does."""
    for _ in range(rounds):
        run_in_server(context, lambda: close_in_server(context))
        time.sleep(0.05)


def send_rest(context):
    for part in (REQUEST[9:18], REQUEST[18:]):
        keep_closing(context, 6)
        context.caller.sendall(part)


@when(
    "the caller sends another request in parts as its idle connection is "
    "closed"
)
def send_at_close(context):
    run_in_server(
        context,
        lambda: close_in_server(context),
        lambda: context.caller.sendall(REQUEST[:9]),
    )
    send_rest(context)


@when("the caller sends another request in parts as the close has arrived")
def send_at_arrival(context):
    run_in_server(context, lambda: close_in_server(context))
    (channel,) = context.server.active_channels.values()
    wait_until(lambda: channel.is_draining and channel.is_idle)
    run_in_server(
        context,
        lambda: context.caller.sendall(REQUEST[:9]),
        lambda: close_in_server(context),
    )
    send_rest(context)


@when(
    "the caller sends another request 0.5 seconds after its connection began "
    "to end"
)
def send_after_close(context):
    keep_closing(context, 10)
    context.caller.sendall(REQUEST)


@when("the caller is cut off and its idle connection is closed")
def cut_off(context):
    # The filter drops every packet that comes to the caller.
    code = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0), 8)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    context.caller.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    context.closed_s = time.monotonic()
    keep_closing(context, 1)


@then("the connection is gone within {limit_s:g} seconds")
def check_gone(context, limit_s):
    while context.server.active_channels:
        elapsed_s = time.monotonic() - context.closed_s
        assert elapsed_s < limit_s, elapsed_s
        keep_closing(context, 1)


def read_rest(context):
    """Read what is left of an answer; return whether a reset is its end."""
    with contextlib.suppress(ConnectionResetError):
        pieces = iter(lambda: context.caller.recv(4096), b"")
        for piece in pieces:
            context.received += piece
        return False
    return True


def check_whole(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    assert len(body) == SMALL_BYTES, len(body)


@then("it reads its whole answer, and then the end of the connection")
def check_whole_and_end(context):
    is_reset = read_rest(context)
    check_whole(context)
    assert not is_reset


@then("it reads its whole answer, and then the end or a reset of it")
def check_whole_and_any_end(context):
    read_rest(context)
    check_whole(context)
