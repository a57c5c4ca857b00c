import contextlib
import json
import re
import socket
import threading
import types

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.cli import sessions
from mulberryhollow import clock as clocks
from mulberryhollow.coordination import capacity
from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow.platform import cloud as duty_api
from mulberryhollow.platform import endpoints as codecs
from mulberryhollow.platform import store as dialects
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.protocol import forwarding as forwarded
from mulberryhollow.serving import registry
from mulberryhollow.state import objects
from mulberryhollow.transport import cloud
from mulberryhollow.transport import endpoints
from mulberryhollow.transport import forwarding
from mulberryhollow.transport import store

TIMEOUT_S = 3.0
BLOCK_BYTES = 65536
MEMBER = membership.Member(
    "i9", 1, "127.0.0.1:9", "127.0.0.1:9", "z1", "r1", 1.0
)
OFFER = capacity.InstanceOffer("z1", "m", "reclaimable", 1.0)
START = capacity.Start(OFFER, "s", "v1", "engine", 1)
BOOKING = callers.BookingRequest("s1")
ORDER = messages.LoadOrder("load", "s", "v1", 1)
COUNT = types.SimpleNamespace(
    service="s", failure_domain="z1", count=1, is_reclaimable=False
)
OBJECT = {"metadata": {"name": "n", "revision": 4}, "spec": {"value": "v"}}
PAGE = {"items": [], "events": [], "at": 4}
LOAD = {"running": 1, "queued": 0, "slots": 4}
LOOKUP = {"request_id": "r1", "result": "x"}
BOOKED = {"request_id": "r1", "booking_id": "b1", "slot": "s1"}


def open_store(address):
    return store.StoreClient(address, TIMEOUT_S, dialects.PlatformDialect())


def open_duties(address):
    return duty_api.DutyClient(address, "edge-1")


def open_endpoint(address):
    return address, endpoints.EndpointClient(clocks.SystemClock())


def open_forwarding(address):
    clock = clocks.SystemClock()
    return address, forwarding.ForwardClient(codecs.EndpointCodec(), clock)


def is_believed(outcome):
    """Return whether a change counts as done or as certainly not done."""
    return not isinstance(outcome, objects.WriteOutcomeUnknown)


def watch(client):
    with contextlib.suppress(errors.HistoryLostError):
        client.watch("k", 3, 0.1)
    return True


def call_endpoint(name, *arguments):
    def call(opened):
        address, client = opened
        result = getattr(client, name)(address, *arguments)
        return result is not False

    return call


def copy_cache(opened):
    address, client = opened
    return client.copy_cache(address, "r1", address, "r2")


def forward(opened):
    address, client = opened
    call = forwarded.EndpointCall("r1", "GET", "/x", (), b"")
    answer = client.open(
        forwarding.Attempt(address, call, TIMEOUT_S, is_fresh=False)
    )
    while answer.read_piece(TIMEOUT_S):
        pass
    answer.close()
    return True


def query_member(address):
    """Return whether the registration at an address is found."""
    found = []

    def refuse(*arguments, **keywords):
        raise errors.StoreUnavailableError("down", "wait")

    peers = types.SimpleNamespace(
        local_member=lambda: attrs.evolve(MEMBER, instance_id="i1"),
        members=list,
        add_members=found.extend,
    )
    found_registry = registry.Registry(
        types.SimpleNamespace(era=None, list_objects=refuse),
        types.SimpleNamespace(list_entries=lambda: [address]),
        peers,
    )
    with contextlib.suppress(errors.StoreUnavailableError):
        found_registry.register()
    return bool(found)


@attrs.frozen
class Reader:
    """A reader of HTTP: its client, one call, and the answers to it."""

    open: object
    call: object
    answers: tuple


WRITTEN = ((200, OBJECT), (409, OBJECT), (404, {}), (503, {}))
DONE = ((200, {}), (409, {}), (503, {}))
READERS = {
    "read of the store": Reader(
        open_store,
        lambda client: bool(client.get("k", "n")) or True,
        ((200, OBJECT), (404, {})),
    ),
    "list of the store": Reader(
        open_store,
        lambda client: bool(client.list_objects("k")),
        ((200, PAGE),),
    ),
    "watch of the store": Reader(open_store, watch, ((200, PAGE), (410, {}))),
    "write to the store": Reader(
        open_store,
        lambda client: is_believed(client.put("k", "n", b"v", 3, "c")),
        WRITTEN,
    ),
    "removal in the store": Reader(
        open_store,
        lambda client: is_believed(client.delete("k", "n", 3)),
        WRITTEN,
    ),
    "start of an instance": Reader(
        cloud.CloudClient,
        lambda client: client.start(START) or True,
        ((201, {}), (409, {})),
    ),
    "stop of an instance": Reader(
        cloud.CloudClient,
        lambda client: client.stop("i1") or True,
        ((200, {}), (404, {})),
    ),
    "list of instances": Reader(
        cloud.CloudClient,
        lambda client: client.list_endpoints() == [],
        ((200, {"items": []}),),
    ),
    "usage report": Reader(
        open_duties,
        lambda client: is_believed(client.report_usage(1, 1, {})),
        DONE,
    ),
    "order of endpoints": Reader(
        open_duties, lambda client: is_believed(client.order(1, COUNT)), DONE
    ),
    "load report": Reader(
        open_endpoint, call_endpoint("get_load", TIMEOUT_S), ((200, LOAD),)
    ),
    "look-up": Reader(
        open_endpoint,
        call_endpoint("look_up", "r1", "q", TIMEOUT_S),
        ((200, LOOKUP),),
    ),
    "booking": Reader(
        open_endpoint,
        call_endpoint("book", "r1", "k", BOOKING, TIMEOUT_S),
        ((201, BOOKED),),
    ),
    "load order": Reader(
        open_endpoint,
        call_endpoint("send_order", ORDER, TIMEOUT_S),
        ((200, {}),),
    ),
    "copy of a cache": Reader(open_endpoint, copy_cache, ((200, {}),)),
    "query of a member": Reader(
        lambda address: address, query_member, ((200, attrs.asdict(MEMBER)),)
    ),
    "command": Reader(
        lambda address: address,
        lambda address: bool(sessions.fetch(address, "/x", TIMEOUT_S)) or True,
        ((200, {}),),
    ),
    "forwarded request": Reader(open_forwarding, forward, ((200, {}),)),
}
FAILURES = (
    errors.StoreUnavailableError,
    errors.EndpointError,
    errors.PeerError,
)


def make_answers(status, content):
    """Yield (head, body) for each framing of an answer."""
    body = json.dumps(content).encode()
    start = b"HTTP/1.1 %d Some Reason\r\n" % status
    start += b"Attempt-Id: r1\r\nResponse-Seal: x\r\n"
    size = len(body)
    yield start + b"Content-Length: %d\r\nX-Last: 1\r\n\r\n" % size, body
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (size, body)
    yield start + b"Transfer-Encoding: chunked\r\n\r\n", chunks
    yield start + b"Connection: close\r\n\r\n", body


class CuttingServer:
    """Sends the next of its answers to each request."""

    def __init__(self):
        self._answers = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def play(self, answers):
        """Send other answers from now on: (data, whether it closes)."""
        self._answers = list(answers)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            while self._read_request(connection) and self._answers:
                data, is_last = self._answers.pop(0)
                connection.sendall(data)
                if is_last:
                    return

    @staticmethod
    def _read_request(connection):
        """Return whether a whole request was read."""
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(BLOCK_BYTES)
            if not piece:
                return False
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        found = re.search(rb"content-length: *([0-9]+)", head.lower())
        while found and len(body) < int(found.group(1)):
            body += connection.recv(BLOCK_BYTES)
        return True


def read_answer(context, answers, count=1):
    """Return whether the last of some calls believes its answer."""
    reader, server = context.reader, context.server
    server.play(answers)
    client = reader.open(server.address)
    try:
        for _ in range(count - 1):
            assert reader.call(client)
        return reader.call(client)
    except FAILURES:
        return False


@given(
    "a server that breaks an answer for a {reader} off after each byte of its "
    "head"
)
def prepare_answers(context, reader):
    context.reader = READERS[reader]
    context.server = CuttingServer()
    context.add_cleanup(context.server.close)
    context.cut_answers = [
        pair
        for status, content in context.reader.answers
        for pair in make_answers(status, content)
    ]


def read_all(context, read):
    """Read each answer with each cut, and whole; keep what was believed."""
    context.whole = [read(head + body) for head, body in context.cut_answers]
    context.believed = [
        head[:count]
        for head, _ in context.cut_answers
        for count in range(len(head))
        if read(head[:count])
    ]


@when("the {reader} calls it on new connections")
def read_on_new_connections(context, reader):
    # Some calls take two requests, and some try a second time.
    read_all(context, lambda data: read_answer(context, [(data, True)] * 2))


@when("the {reader} calls it on kept connections")
def read_on_kept_connections(context, reader):
    first = b"".join(next(make_answers(*context.reader.answers[0])))
    read_all(
        context,
        lambda data: read_answer(
            context, [(first, False), *([(data, True)] * 2)], 2
        ),
    )


@then("no answer with a cut head was believed, and the whole ones were")
def check_beliefs(context):
    assert all(context.whole), context.whole
    assert not context.believed, context.believed[:5]
