import gzip
import itertools

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.platform import callers
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.state import catalogue
from mulberryhollow.transport import forwarding as transport
from mulberryhollow.transport import http_server
from standins import scripted
from tests import requests
from tests.scripted_streams import chunk
from tests.scripted_streams import CHUNKED
from tests.scripted_streams import event
from tests.scripted_streams import head
from tests.scripted_streams import make_sized
from tests.scripted_streams import make_stream
from tests.scripted_streams import read
from tests.scripted_streams import start_instance
from tests.scripted_streams import start_server
from tests.scripted_streams import STREAM
from tests.scripted_streams import TEXT
from tests.scripted_streams import UNFRAMED


PAGE = b"Internal error\n\nThe engine has failed.\n\n"
ERROR_HEAD = head(500, b"Content-Length: 5") + b"sorry"


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

    def withdraw(self, route):
        pass


@given("endpoints of which the first {breaks}")
def set_first(context, breaks):
    context.scripts = [FIRST[breaks]]


@given("the next endpoint answers {name}")
@given("the one after it answers {name}")
def add_script(context, name):
    context.scripts.append(NEXT[name])


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
