import contextlib
import json
import socket
import struct
import threading

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import cloud as duty_api
from mulberryhollow.platform import endpoints as codecs
from mulberryhollow.platform import store as dialects
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.protocol import forwarding as forwarded
from mulberryhollow.state import objects
from mulberryhollow.transport import endpoints
from mulberryhollow.transport import forwarding
from mulberryhollow.transport import store

TIMEOUT_S = 3.0
RESET_DELAY_S = 0.05
SIZES = {"4 MB": 4_000_000, "4 kB": 4_000}
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
BODY = json.dumps(
    {"version": 4, "metadata": {"name": "n", "revision": 4}, "request_id": "r"}
).encode()
FORMS = {
    "a part of an unframed 200": b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:20],
    "a whole unframed 200": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "a whole framed 200": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
    % (len(BODY), BODY),
    "a framed 413": b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\n{}",
}


class Server:
    """Server that sends the same bytes on each connection.

    Parameters
    ----------
    answer : bytes
        The bytes.
    reads_all : bool
        Whether it waits until the client sends no more before it answers. It
        answers after the first bytes otherwise, and then resets the
        connection.
    """

    def __init__(self, answer, reads_all):
        self._answer = answer
        self._reads_all = reads_all
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._socket.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                threading.Thread(
                    target=self._answer_on, args=(connection,), daemon=True
                ).start()

    def _answer_on(self, connection):
        with contextlib.suppress(OSError), connection:
            connection.recv(1000)
            if self._reads_all:
                connection.settimeout(RESET_DELAY_S)
                with contextlib.suppress(TimeoutError):
                    while connection.recv(65536):
                        pass
            connection.sendall(self._answer)
            # The client reads the answer or goes on with the request.
            threading.Event().wait(RESET_DELAY_S)
            if not self._reads_all:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
                )


def open_store(address):
    return store.StoreClient(address, TIMEOUT_S, dialects.PlatformDialect())


def write_object(address, size):
    return open_store(address).put("k", "n", b"x" * size, 0, "c")


def write_status(address, size):
    return open_store(address).put_status("k", "n", {"x": "x" * size}, 3)


def report_usage(address, size):
    client = duty_api.DutyClient(address, "edge-1")
    return client.report_usage(1, 2, {"x" * size: 3})


def look_up(address, size):
    client = endpoints.EndpointClient(clocks.SystemClock())
    return client.look_up(address, "r", "x" * size, TIMEOUT_S)


def book(address, size):
    client = endpoints.EndpointClient(clocks.SystemClock())
    booking = callers.BookingRequest("x" * size)
    return client.book(address, "r", "k", booking, TIMEOUT_S)


def generate(address, size):
    client = endpoints.EndpointClient(clocks.SystemClock())
    call = messages.GenerateCall("r", "v1", "x" * size, 9)
    return list(client.generate(address, call, TIMEOUT_S))


def copy_cache(address, size):
    """Send a cache that another server gives; False is no answer."""
    cache = b"x" * size
    source = Server(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + cache, True
    )
    client = endpoints.EndpointClient(clocks.SystemClock())
    is_copied = client.copy_cache(source.address, "r1", address, "r2")
    source.close()
    return is_copied or None


def forward(address, size):
    client = forwarding.ForwardClient(
        codecs.EndpointCodec(), clocks.SystemClock()
    )
    call = forwarded.EndpointCall("r", "POST", "/x", (), b"x" * size)
    answer = client.open(
        forwarding.Attempt(address, call, TIMEOUT_S, is_fresh=False)
    )
    with contextlib.closing(answer):
        return b"".join(iter(lambda: answer.read_piece(TIMEOUT_S), b""))


CLIENTS = {
    "write to the store": write_object,
    "status write": write_status,
    "usage report": report_usage,
    "look-up": look_up,
    "booking": book,
    "prompt": generate,
    "cache copy": copy_cache,
    "forwarded request": forward,
}


@given("a server that answers a part of a request with {form}, then resets")
def start_resetting_server(context, form):
    context.server = Server(FORMS[form], False)
    context.add_cleanup(context.server.close)


@given("a server that answers a whole request with status {status}")
def start_odd_server(context, status):
    head = f"HTTP/1.1 {status} \r\nContent-Length: {len(BODY)}\r\n\r\n"
    context.server = Server(head.encode() + BODY, True)
    context.add_cleanup(context.server.close)


@when("a {client} of {size} is sent to it")
def send(context, client, size):
    context.outcome = None
    with contextlib.suppress(errors.EndpointError):
        context.outcome = CLIENTS[client](context.server.address, SIZES[size])


@then("it has no answer")
def check_no_answer(context):
    match context.outcome:
        case None | objects.WriteOutcomeUnknown():
            return
    raise AssertionError(repr(context.outcome)[:200])


@then("it is refused with status {status:d}")
def check_refused(context, status):
    match context.outcome:
        case objects.WriteRejected(reason) if str(status) in reason:
            return
    raise AssertionError(repr(context.outcome)[:200])
