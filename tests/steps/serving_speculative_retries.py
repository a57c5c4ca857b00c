import concurrent.futures
import itertools
import re
import socket
import time
import types

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import limits
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from mulberryhollow.transport import forwarding as transport
from mulberryhollow.transport import http_server
from standins import scripted
from tests import requests
from tests import scripted_streams as streams

GOAL_S = 0.1
TIME_S = 3.0
GAP_S = 0.05
ROUND_PAUSE_S = 0.15
SHARE = 16
KINDS = {
    "a resumable stream": catalogue.RequestKind.RESUMABLE_STREAM,
    "an idempotent request": catalogue.RequestKind.IDEMPOTENT,
}

_PATH = re.compile(rb"^GET /(\S+)")
_LAST = re.compile(rb"^Last-Event-Id: (\d+)", re.M)


class NamingEndpoint(scripted.ScriptedEndpoint):
    """Endpoint whose answers depend on the request and its last event.

    Parameters
    ----------
    choose : callable
        ``choose(name, last)`` returns the steps of a request.
    """

    def __init__(self, choose):
        self._choose = choose
        super().__init__([])

    def _serve_connection(self, connection):
        while head := self._read_head(connection):
            self.requests.append(head)
            name = _PATH.search(head)[1].decode()
            last = _LAST.search(head)
            steps = self._choose(name, int(last[1]) if last else 0)
            if not self._run_steps(connection, steps):
                return


def make_head(name):
    """Return the head of a stream for a request."""
    return streams.CHUNKED.replace(b"r1", name.encode())


def make_refusal(name):
    return [
        step.replace(b"r1", name.encode())
        for step in streams.make_sized(503, b"", b"Not-Executed: 1")
    ]


def send_events(numbers):
    """Return the steps that send events one after the other."""
    return [
        step
        for each in numbers
        for step in (streams.chunk(streams.event(each)), GAP_S)
    ]


def start(context, choose, count=6):
    context.endpoint = NamingEndpoint(choose)
    context.add_cleanup(context.endpoint.close)
    context.clock, context.forwarder = streams.start_instance(
        context, context.endpoint.address, count=count
    )
    context.dispatcher = context.forwarder._dependencies.dispatcher


def forward(context, name, time_s=TIME_S, **fields):
    """Return the events of a stream, and whether it is complete."""
    now_s = context.clock.now_s()
    values = {
        "kind": catalogue.RequestKind.RESUMABLE_STREAM,
        "request_id": name,
        "arrived_s": now_s,
        "deadline_s": now_s + time_s,
        "goal_s": GOAL_S,
        "gap_goal_s": GOAL_S,
        "payload": forwarding.Payload("GET", f"/{name}", (), b""),
    }
    body = b""
    try:
        found = context.forwarder.forward(
            requests.make_request(**values | fields)
        )
    except errors.MulberryError:
        return body, False
    try:
        for piece in found.iterate():
            body += piece
    except errors.MulberryError:
        return body, False
    finally:
        found.close()
    return body, True


@given("{count:d} streams that fall silent together and are refused elsewhere")
def start_silent(context, count):
    def choose(name, last):
        if name.startswith("silent"):
            if last:
                return make_refusal(name)
            return [make_head(name), *send_events([1, 2]), "hang"]
        if last:
            return [make_head(name), *send_events([last + 1]), streams.END]
        return [make_head(name), *send_events(range(1, 19)), "close"]

    start(context, choose)
    pool = concurrent.futures.ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    for number in range(count):
        pool.submit(forward, context, f"silent-{number}")


@when("the endpoint of another stream crashes 0.9 s later")
def crash(context):
    context.body, context.is_complete = forward(context, "crash")


@then("the other stream is resumed and complete")
def check_resumed(context):
    assert context.body == b"".join(map(streams.event, range(1, 20))), (
        context.body
    )
    assert context.is_complete


FIRST_TWO = [make_head("one"), *send_events([1, 2])]
BEHAVIOURS = {
    "falls silent": [*FIRST_TWO, "hang"],
    "pauses for 1.5 s and 0.8 s": [
        *FIRST_TWO,
        1.5,
        streams.chunk(streams.event(3)),
        0.8,
        streams.END,
    ],
    "sends only a comment each 0.35 s": [
        *FIRST_TWO,
        *[0.35, streams.chunk(b": wait\n\n")] * 12,
    ],
    "pauses for 0.6 s": [*FIRST_TWO, 0.6, streams.END],
    "breaks off": [*FIRST_TWO, "close"],
    "is silent for 1 s and crashes": [*FIRST_TWO, 1.0, "close"],
    "is silent for 1 s and goes on": [*FIRST_TWO, 1.0, streams.END],
    "answers nothing": ["hang"],
}


@given("{kind} whose endpoint {behaviour}, and enough retries")
def start_one(context, kind, behaviour):
    context.kind = KINDS[kind]
    context.asked_s = []

    def choose(name, last):
        context.asked_s.append(context.clock.now_s())
        is_first = len(context.asked_s) == 1
        return BEHAVIOURS[behaviour] if is_first else make_refusal(name)

    start(context, choose)
    rules = limits.RetryRules(slack=1000.0)
    context.dispatcher.read(
        lambda actor, now_s: actor.shared_retries.set_rules(rules)
    )


@when("its caller waits for 4 s, while the others refuse the request")
def wait_in_vain(context):
    forward(context, "one", 4.0, kind=context.kind)


@then("the others have been asked in {count:d} rounds")
def check_rounds(context, count):
    times = context.asked_s
    pauses = [after - before for before, after in itertools.pairwise(times)]
    found = sum(pause_s > ROUND_PAUSE_S for pause_s in pauses)
    assert found == count, pauses


def spend_all(actor, now_s):
    while actor.shared_retries.spend("s", now_s):
        pass


@given("an instance with an idle connection to an endpoint, and no retry")
def open_idle(context):
    start(context, lambda name, last: [*FIRST_TWO, 1.0, streams.END], count=1)
    context.other = NamingEndpoint(make_whole)
    context.add_cleanup(context.other.close)
    items = [
        endpoints.Endpoint(f"e{n}", "m", each.address, "d", "s", "v1")
        for n, each in enumerate((context.endpoint, context.other))
    ]
    context.dispatcher.read(
        lambda actor, now_s: actor.view.apply_list(items, now_s)
    )
    send_to_other(context, "first")
    context.dispatcher.read(spend_all)


def make_whole(name, last):
    return [
        step.replace(b"r1", name.encode())
        for step in streams.make_sized(200, b"whole")
    ]


def send_to_other(context, name):
    kind = catalogue.RequestKind.IDEMPOTENT
    forward(context, name, kind=kind, placement="e1")


@when("a stream at another endpoint is silent for 1 s")
def read_silent(context):
    _, is_complete = forward(context, "one", placement="e0")
    assert is_complete


@then("the next request to the endpoint uses the idle connection")
def check_reused(context):
    send_to_other(context, "second")
    assert len(context.other.requests) == 2, context.other.requests
    assert context.other.connections == 1, context.other.connections


class ClosingEndpoint(scripted.ScriptedEndpoint):
    """Endpoint that closes each connection before it reads a request."""

    def __init__(self):
        super().__init__([])

    def _serve_connection(self, connection):
        connection.close()


def make_refusing():
    return NamingEndpoint(lambda name, last: make_refusal(name))


class UnreachedEndpoint:
    """Endpoint that refuses connections."""

    def __init__(self):
        self.requests = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.close()

    def close(self):
        self._socket.close()


OTHERS = {
    "the others refuse connections": [UnreachedEndpoint, UnreachedEndpoint],
    "the others close connections at once": [ClosingEndpoint, ClosingEndpoint],
    "one closes connections, and one refuses the request": [
        ClosingEndpoint,
        make_refusing,
    ],
}


@given("a stream that {behaviour}, while {others}")
def start_with_others(context, behaviour, others):
    steps = BEHAVIOURS[behaviour]
    start(context, lambda name, last: steps, count=1)
    context.others = [make() for make in OTHERS[others]]
    for each in context.others:
        context.add_cleanup(each.close)
    items = [
        endpoints.Endpoint(f"e{n}", "m", each.address, "d", "s", "v1")
        for n, each in enumerate((context.endpoint, *context.others))
    ]
    context.dispatcher.read(
        lambda actor, now_s: actor.view.apply_list(items, now_s)
    )
    check_send = context.dispatcher.check_send

    def check_late(route):
        # A connection that the endpoint closes at once is closed by then.
        time.sleep(0.05)
        check_send(route)

    context.dispatcher.check_send = check_late


@when("it has been read as far as possible")
def read_to_end(context):
    body, _ = forward(context, "one", placement="e0")
    assert body == b"".join(map(streams.event, (1, 2))), body


@then("others have got {count:d} requests, and as many retries are spent")
def check_spent(context, count):
    sent = sum(len(each.requests) for each in context.others)
    assert sent == count, sent
    left = context.dispatcher.read(
        lambda actor, now_s: sum(
            itertools.takewhile(
                bool,
                (actor.shared_retries.spend("s", now_s) for _ in range(100)),
            )
        )
    )
    assert left == SHARE - count, left


PEERS = {
    "can forward": [make_head("one"), *send_events([3]), streams.END],
    "answers nothing": ["hang"],
    "breaks off": ["close"],
}


def start_peer(context, steps):
    """Return the address of a peer before an endpoint."""
    context.behind_peer = NamingEndpoint(lambda name, last: steps)
    context.add_cleanup(context.behind_peer.close)
    clock, inner = streams.start_instance(
        context, context.behind_peer.address, count=1
    )
    app = http_server.ForwardApp(
        peer_forwarding.PeerIngress(inner, clock, lambda service: False),
        peer_forwarding.PeerCodec(),
    )
    return f"127.0.0.1:{streams.start_server(app)}"


@given("an instance without paths, and a peer that {behaviour}")
def start_with_peer(context, behaviour):
    address = start_peer(context, PEERS[behaviour])
    start(context, lambda name, last: context.steps, count=1)
    context.members = [types.SimpleNamespace(instance_id="p0", region="r")]
    context.peers = peer_forwarding.PeerForwarding(
        context.dispatcher,
        transport.ForwardClient(peer_forwarding.PeerCodec(), context.clock),
        context.forwarder._dependencies.client,
        context.clock,
        lambda: context.members,
        lambda member: address,
    )
    context.peers.is_lost = lambda service: bool(context.endpoint.requests)
    context.forwarder._dependencies = attrs.evolve(
        context.forwarder._dependencies, peers=context.peers
    )


@given("one retry after failures")
def leave_one(context):
    def spend(actor, now_s):
        actor.shared_retries.set_rules(limits.RetryRules(slack=2.5))
        actor.shared_retries.spend("s", now_s, is_speculative=True)

    context.dispatcher.read(spend)


@given("enough retries for silences")
def leave_many(context):
    rules = limits.RetryRules(slack=1000.0)
    context.dispatcher.read(
        lambda actor, now_s: actor.shared_retries.set_rules(rules)
    )


@when("the endpoint of a stream {behaviour}")
def read_beside_peer(context, behaviour):
    context.steps = BEHAVIOURS[behaviour]
    context.body, context.is_complete = forward(
        context, "one", max_endpoints=4
    )


@then("the peer has got {count:d} request")
@then("the peer has got {count:d} requests")
def check_peer(context, count):
    found = len(context.behind_peer.requests)
    assert found == count, found


@then("the stream is {state}")
def check_state(context, state):
    count = {"complete": 3, "cut": 2}[state]
    expected = b"".join(map(streams.event, range(1, count + 1)))
    assert context.body == expected, context.body
    assert context.is_complete == (state == "complete")


@then("another peer is chosen as well after one that could not help")
def check_chosen(context):
    context.members += [types.SimpleNamespace(instance_id="p1", region="r")]
    found = {context.peers.choose({"p2"}).name for _ in range(4)}
    assert found == {"p0", "p1"}, found
