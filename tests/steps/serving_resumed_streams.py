import gzip
import itertools
import re
import socket
import threading

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.platform import callers
from mulberryhollow.platform import endpoints as endpoint_codec
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import forwarder
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from mulberryhollow.transport import forwarding as transport
from mulberryhollow.transport import http_server
from standins import scripted
from tests import requests


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(status, *fields, attempt_id=b"Attempt-Id: r1\r\n"):
    proof = [b"Response-Seal: s"] if 200 <= status < 300 else []
    lines = b"".join(field + b"\r\n" for field in (*proof, *fields))
    return b"HTTP/1.1 %d X\r\n" % status + attempt_id + lines + b"\r\n"


STREAM = b"Content-Type: text/event-stream"
TEXT = b"Content-Type: text/plain"
CHUNKED = head(200, STREAM, b"Transfer-Encoding: chunked")
UNFRAMED = head(200, STREAM)
END = b"0\r\n\r\n"
PAGE = b"Internal error\n\nThe engine has failed.\n\n"
ERROR_HEAD = head(500, b"Content-Length: 5") + b"sorry"


def make_sized(status, body, *fields, **more):
    return [head(status, b"Content-Length: %d" % len(body), *fields, **more)
            + body]  # fmt: skip


def make_stream(*pieces):
    return [CHUNKED + b"".join(map(chunk, pieces)) + END]


TWO = chunk(event(1)) + chunk(event(2))
FIRST = {
    "closes after event 2": [CHUNKED + TWO, "close"],
    "resets after event 2": [CHUNKED + TWO, "reset"],
    "closes inside an event after event 2": [
        CHUNKED + TWO + chunk(b"id: 3\nda"),
        "close",
    ],
    "resets without framing after event 2": [
        UNFRAMED + event(1) + event(2),
        "reset",
    ],
    "ends inside an event without framing after event 2": [
        UNFRAMED + event(1) + event(2) + b"id: 3",
        "close",
    ],
    "breaks off inside event 1": [CHUNKED + chunk(b"id: 1\nda"), "close"],
}
NEXT = {
    "a 500": make_sized(500, b"sorry"),
    "a 500 with a length": make_sized(500, PAGE),
    "a 500 without a length": [head(500, TEXT) + PAGE, "close"],
    "a 500 without an id": make_sized(500, PAGE, attempt_id=b""),
    "a 503": make_sized(503, PAGE),
    "a 503 that has not run": make_sized(503, PAGE, b"Not-Executed: 1"),
    "a 429": make_sized(429, PAGE),
    "a 421": make_sized(421, PAGE),
    "a 404": make_sized(404, PAGE),
    "a 204": [head(204)],
    "a 103 and then a 500": [head(103), *make_sized(500, PAGE)],
    "a line of text": make_sized(200, b"Internal error", TEXT),
    "a page of text with a length": make_sized(200, PAGE, TEXT),
    "a page of text without a length": [UNFRAMED + PAGE, "close"],
    "an event without an id": make_stream(b"event: error\ndata: failed\n\n"),
    "the head of an error in its body": [UNFRAMED + ERROR_HEAD, "close"],
    "event 3 and the head of an error": make_stream(event(3) + ERROR_HEAD),
    "a compressed stream": make_sized(
        200,
        gzip.compress(event(3) + event(4)),
        STREAM,
        b"Content-Encoding: gzip",
    ),
    "a stream that ends with its head": [UNFRAMED, "close"],
    "a stream of no events": make_stream(),
    "events with other ids": make_stream(b"id: a\ndata: x\n\n"),
    "an event with an id of 5000 digits": make_stream(
        b"id: %s\ndata: x\n\n" % (b"9" * 5000)
    ),
    "event 4": make_stream(event(4)),
    "events 3 and 4": make_stream(event(3), event(4)),
    "events 3 and 4 without a length": [
        UNFRAMED + event(3) + event(4),
        "close",
    ],
    "events 1 to 4": make_stream(*map(event, (1, 2, 3, 4))),
    "events 3 and 5 at once": make_stream(event(3) + event(5)),
}


class Ingress:
    """Forwards every request as the same stream."""

    def __init__(self, instance, clock):
        self._instance = instance
        self._clock = clock

    def accept(self, incoming, is_gone):
        now_s = self._clock.now_s()
        request = requests.make_request(
            catalogue.RequestKind.RESUMABLE_STREAM,
            arrived_s=now_s,
            deadline_s=now_s + 2.0,
            max_endpoints=4,
        )
        return self._instance.forward(request, is_gone)


@attrs.define
class OnlyPeer(peer_forwarding.NoPeers):
    """Stands for many peers, which have one address."""

    address: str
    client: object

    def is_lost(self, service):
        return True

    def choose(self, excluded, allowed_regions=None):
        name = f"p{len(excluded)}"
        return peer_forwarding.PeerRoute(name, self.address)

    def release(self, route, has_failed=False):
        pass


def start_server(app):
    server = http_server.make_server(app, "127.0.0.1:0", 4, 4100)
    threading.Thread(target=server.run, daemon=True).start()
    return server.effective_port


def start_instance(context, address, peers):
    """Return the forwarder of an instance before endpoints at an address."""
    clock = clocks.SystemClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    items = [
        endpoints.Endpoint(f"e{n}", "m", address, "d", "s", "v1")
        for n in range(6)
    ]
    dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 6}}),
        )
    )
    codec = endpoint_codec.EndpointCodec()
    return clock, forwarder.Forwarder(
        forwarder.ForwardDependencies(
            dispatcher,
            transport.ForwardClient(codec, clock),
            codec,
            clock,
            caller_watch.CallerWatch(clock),
            peer_forwarding.SilentRecorder(),
            peers=peers,
        )
    )


@given("endpoints of which the first {breaks}")
def set_first(context, breaks):
    context.scripts = [FIRST[breaks]]


@given("the next endpoint answers {name}")
@given("the one after it answers {name}")
def add_script(context, name):
    context.scripts.append(NEXT[name])


def read(port, version):
    """Return the body, and whether its end looks complete."""
    data, is_closed = b"", False
    with socket.create_connection(("127.0.0.1", port), 5.0) as caller:
        caller.sendall(
            b"GET /x HTTP/%s\r\nHost: h\r\nAttempt-Id: r1\r\n"
            b"Connection: close\r\n\r\n" % version
        )
        try:
            for piece in iter(lambda: caller.recv(65536), b""):
                data += piece
            is_closed = True
        except ConnectionResetError:
            pass
    first, _, body = data.partition(b"\r\n\r\n")
    assert first.split()[1:2] in ([b"200"], []), data
    if version == b"1.0":
        return body, is_closed
    pieces = []
    while size := re.match(rb"([0-9a-fA-F]+)\r\n", body):
        begin, count = size.end(), int(size[1], 16)
        if not count:
            return b"".join(pieces), True
        pieces.append(body[begin : begin + count])
        body = body[begin + count + 2 :]
    return b"".join(pieces), False


def read_all(context, make_port):
    context.streams = []
    for version in (b"1.1", b"1.0"):
        context.endpoint = scripted.ScriptedEndpoint(
            [*context.scripts, *itertools.repeat(["close"], 9)]
        )
        context.add_cleanup(context.endpoint.close)
        context.streams.append(read(make_port(), version))


@when("callers with HTTP/1.1 and HTTP/1.0 read a resumable stream")
def read_directly(context):
    def make_port():
        peers = peer_forwarding.NoPeers()
        clock, found = start_instance(context, context.endpoint.address, peers)
        app = http_server.ForwardApp(
            Ingress(found, clock), callers.CallerCodec()
        )
        return start_server(app)

    read_all(context, make_port)


@when("callers read a resumable stream that a peer forwards")
def read_through_peer(context):
    def make_port():
        peers = peer_forwarding.NoPeers()
        clock, inner = start_instance(context, context.endpoint.address, peers)
        ingress = peer_forwarding.PeerIngress(
            inner, clock, lambda service: False
        )
        codec = peer_forwarding.PeerCodec()
        port = start_server(http_server.ForwardApp(ingress, codec))
        peer = OnlyPeer(
            f"127.0.0.1:{port}", transport.ForwardClient(codec, clock)
        )
        clock, outer = start_instance(context, "127.0.0.1:1", peer)
        app = http_server.ForwardApp(
            Ingress(outer, clock), callers.CallerCodec()
        )
        return start_server(app)

    read_all(context, make_port)


def count_events(body):
    """Return the number of events in a body, which holds nothing else."""
    for count in range(5):
        if body == b"".join(map(event, range(1, count + 1))):
            return count
    raise AssertionError(body)


@then("each gets whole events in order and then a broken end")
def check_broken(context):
    for body, is_complete in context.streams:
        assert 2 <= count_events(body) <= 3, body
        assert not is_complete, body


@then("each gets the events 1 to 4 and then a complete end")
def check_complete(context):
    for body, is_complete in context.streams:
        assert count_events(body) == 4, body
        assert is_complete, body
