import concurrent.futures
import socket
import threading
import time
import tracemalloc

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import endpoints
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import answers
from mulberryhollow.state import catalogue
from mulberryhollow.transport import forwarding
from mulberryhollow.transport import store
from tests import requests

BLOCK_BYTES = 65536
BIT_INTERVAL_S = 0.02
MAX_SENDING_S = 10.0
MAX_EVENTS = 20
MEGABYTE = 1_000_000

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"
OTHER_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nhello"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
ENDLESS = {
    "a status line": (b"HTTP/1.1 200 ", b"O"),
    "a header line": (HEAD + b"X: ", b"x"),
    "headers": (HEAD, b"X: y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a head, then chunks": (HEAD + CHUNKED, CHUNK),
    "a head, then a chunk-size line": (HEAD + CHUNKED, b"0"),
    "a head, then trailers": (HEAD + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "the head of another answer, then chunks": (OTHER_HEAD + CHUNKED, CHUNK),
    "a head, then an event without an end": (HEAD + b"\r\ndata: ", b"x"),
    "a head, then events": (HEAD + b"\r\n", b"data: x\n\n"),
    "a complete answer, then other bytes": (WHOLE, b"x"),
}


class EndlessEndpoint:
    """Sends a prefix and then a unit over and over on each connection."""

    def __init__(self, prefix, unit, is_fast):
        self._prefix = prefix
        self._unit = unit
        self._is_fast = is_fast
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        end_s = time.monotonic() + MAX_SENDING_S
        repeats = BLOCK_BYTES // len(self._unit)
        try:
            connection.recv(BLOCK_BYTES)
            connection.sendall(self._prefix)
            while time.monotonic() < end_s:
                if self._is_fast:
                    connection.sendall(self._unit * repeats)
                    continue
                connection.sendall(self._unit)
                time.sleep(BIT_INTERVAL_S)
        except OSError:
            pass
        finally:
            connection.close()

    def close(self):
        self._listener.close()


def start_endpoints(context, name, pace, count=1):
    prefix, unit = ENDLESS[name]
    context.endpoints = [
        EndlessEndpoint(prefix, unit, pace == "fast") for _ in range(count)
    ]
    for each in context.endpoints:
        context.add_cleanup(each.close)
    context.client = forwarding.ForwardClient(
        endpoints.EndpointCodec(), clocks.SystemClock()
    )
    context.buffers = answers.AnswerBuffers()


@given('an endless endpoint that sends "{name}" {pace}')
def start_endpoint(context, name, pace):
    start_endpoints(context, name, pace)
    trace_memory(context)


@given('{count:d} endless endpoints that send "{name}" {pace}')
def start_many_endpoints(context, count, name, pace):
    start_endpoints(context, name, pace, count)


def open_answer(context, endpoint, wait_s):
    call = messages.EndpointCall("r1", "GET", "/x", (), b"")
    attempt = forwarding.Attempt(endpoint.address, call, wait_s, False)
    return context.client.open(attempt)


def read_whole(context, endpoint, seconds):
    """Read an answer to its end; return the body or the error."""
    clock = clocks.SystemClock()
    request = requests.make_request(deadline_s=clock.now_s() + seconds)
    reader = answers.AnswerReader(request, clock, Recorder(), context.buffers)
    try:
        answer = open_answer(context, endpoint, seconds)
    except errors.EndpointError as error:
        return error
    try:
        return reader.read_whole(answer)
    except errors.EndpointError as error:
        # The traceback would keep the parts of the answer.
        return error.with_traceback(None)
    finally:
        answer.close()
        reader.close()


class Recorder:
    """Ignores what the reader records."""

    def record_begun(self, request):
        pass

    def record_first(self, request, elapsed_s):
        pass


@given("the memory is traced")
def trace_memory(context):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)


@when("the request waits {seconds:g} seconds for the head")
def wait_for_head(context, seconds):
    began_s = time.monotonic()
    try:
        context.results = [open_answer(context, context.endpoints[0], seconds)]
    except errors.EndpointError as error:
        context.results = [error]
    context.elapsed_s = time.monotonic() - began_s


@when("the request reads the whole answer within {seconds:g} seconds")
def read_answer(context, seconds):
    began_s = time.monotonic()
    context.results = [read_whole(context, context.endpoints[0], seconds)]
    context.elapsed_s = time.monotonic() - began_s


@when("{count:d} requests read the whole answers within {seconds:g} seconds")
def read_answers(context, count, seconds):
    began_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        calls = [
            threads.submit(read_whole, context, each, seconds)
            for each in context.endpoints
        ]
        context.results = [call.result() for call in calls]
    context.elapsed_s = time.monotonic() - began_s


@when(
    "the request reads a resumable stream with pauses of up to {gap_s:g} "
    "seconds"
)
def read_stream(context, gap_s):
    """Read until a fault, or until MAX_EVENTS pieces with events."""
    clock = clocks.SystemClock()
    request = requests.make_request(
        catalogue.RequestKind.RESUMABLE_STREAM,
        deadline_s=clock.now_s() + MAX_SENDING_S,
        gap_goal_s=gap_s,
    )
    reader = answers.AnswerReader(request, clock, Recorder(), context.buffers)
    began_s = time.monotonic()
    answer = open_answer(context, context.endpoints[0], 1.0)
    context.events = []
    try:
        while len(context.events) < MAX_EVENTS:
            context.events += filter(None, [reader.read_events(answer, 0)])
        context.results = []
    except errors.EndpointError as error:
        context.results = [error]
    finally:
        answer.close()
    context.elapsed_s = time.monotonic() - began_s


@when("the store is read there with a timeout of {seconds:g} seconds")
def read_store(context, seconds):
    client = store.StoreClient(context.endpoints[0].address, seconds)
    began_s = time.monotonic()
    context.error = None
    try:
        client.list_objects("k")
    except errors.StoreUnavailableError as error:
        context.error = error
    context.elapsed_s = time.monotonic() - began_s


@then("the store counts as unavailable within {seconds:g} seconds")
def check_unavailable(context, seconds):
    assert context.error is not None
    assert context.elapsed_s <= seconds, context.elapsed_s


@then("{count:d} events were read")
def check_events(context, count):
    assert len(context.events) == count, context.events
    assert not context.results, context.results


@then("all waits end with a fault")
def check_all_fault(context):
    for result in context.results:
        assert isinstance(result, errors.EndpointError), result


@then("the wait ends with a fault within {seconds:g} seconds")
@then("all waits end with a fault within {seconds:g} seconds")
def check_fault(context, seconds):
    check_all_fault(context)
    assert context.elapsed_s <= seconds, context.elapsed_s


@then("at most {megabytes:d} MB of memory were taken")
def check_memory(context, megabytes):
    _, peak = tracemalloc.get_traced_memory()
    assert peak <= megabytes * MEGABYTE, peak


@then("the answer was read to its end")
def check_complete(context):
    assert context.results == [b"hello"], context.results


@then("the connection to the endless endpoint is not used again")
def check_not_reused(context):
    read_whole(context, context.endpoints[0], 0.8)
    assert context.endpoints[0].connections == 2
