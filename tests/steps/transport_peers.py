import collections
import contextlib
import itertools
import pathlib
import socket
import tempfile
import threading
import time

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.clock import SystemClock
from mulberryhollow.coordination.membership import Exchange
from mulberryhollow.coordination.membership import MemberStatus
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import SettingsError
from mulberryhollow.protocol.peers import to_wire
from mulberryhollow.state.facts import Fact
from mulberryhollow.state.facts import Topic
from mulberryhollow.transport import gossip
from mulberryhollow.transport import peer_sockets
from mulberryhollow.transport import peers
from mulberryhollow.transport import traffic
from tests.membership_cluster import make_member

KEY = b"k" * 32
ANY_ADDRESS = "127.0.0.1:0"
TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.4
WAIT_LIMIT_S = 60.0


def wait_until(is_met):
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while not is_met():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def make_signer(number, address, key=KEY):
    member = make_member(number, "fd-0", "r-0")
    member = attrs.evolve(member, peer_address=address)
    return peers.Signer(member, key, SystemClock())


def start_server(context, **options):
    context.runs = []

    def echo(payload):
        context.runs.append(payload)
        return payload + b"!"

    def fail(payload):
        raise RuntimeError("failed on purpose")

    server = peers.PeerServer(
        ANY_ADDRESS,
        {"echo": echo, "fail": fail},
        lambda sender, exchange: exchange,
        **options,
    )
    server.start(make_signer(1, server.address))
    context.add_cleanup(server.stop)
    context.server = server
    context.address = server.address


def start_client(context, key=KEY):
    context.signer = make_signer(2, "127.0.0.1:1", key)
    context.traffic = traffic.Traffic()
    context.client = peers.PeerClient(context.signer, context.traffic)
    context.add_cleanup(context.client.close)


def open_connection(context):
    return peers.PeerConnection(context.address, TIMEOUT_S, traffic.Traffic())


def send_raw(context, envelope):
    connection = open_connection(context)
    try:
        return connection.request(envelope, TIMEOUT_S)
    finally:
        connection.close()


def get_execution_status(function, *arguments):
    try:
        function(*arguments)
    except peers.PeerCallError as error:
        return error.ran
    return None


@given("a peer server and a peer client with one key")
def make_pair(context):
    start_server(context)
    start_client(context)


@given("a peer server and a peer client with another key")
def make_mismatched_pair(context):
    start_server(context)
    start_client(context, b"x" * 32)


@given("a peer server for {count:d} connections")
def make_bounded(context, count):
    start_server(context, max_connections=count)
    start_client(context)


def call(context, topic="echo", timeout_s=TIMEOUT_S):
    return context.client.call(context.address, topic, b"hello", timeout_s)


@then('a call of "echo" returns the bytes that the handler made')
def check_echo(context):
    assert call(context) == b"hello!"


@then("a call of a topic without a handler has certainly not run")
def check_no_handler(context):
    assert (
        get_execution_status(call, context, "other") is ExecutionStatus.NOT_RUN
    )


@then("a call whose handler fails has an unknown outcome")
def check_failing_handler(context):
    assert (
        get_execution_status(call, context, "fail") is ExecutionStatus.UNKNOWN
    )


@then("the payloads of calls are not counted as control traffic")
def check_call_bytes(context):
    before = context.traffic.control_bytes
    context.client.call(context.address, "echo", bytes(50_000), TIMEOUT_S)
    assert context.traffic.control_bytes - before < 2_000
    assert context.traffic.total_bytes > 100_000


@then('a call of "echo" fails with an unknown outcome')
def check_unknown(context):
    assert (
        get_execution_status(call, context, "echo", SHORT_TIMEOUT_S)
        is ExecutionStatus.UNKNOWN
    )


@then('a call of "echo" has certainly not run')
def check_not_run(context):
    assert get_execution_status(call, context) is ExecutionStatus.NOT_RUN


@then("the handler was run {count:d} times")
@then("the handler was run {count:d} time")
def check_runs(context, count):
    assert len(context.runs) == count


@when("one signed call is sent twice on two connections")
def send_twice(context):
    envelope = context.signer.sign_envelope(context.address, "echo", b"once")
    assert send_raw(context, envelope).topic == "echo"
    context.reply = send_raw(context, envelope)


@when("a signed call is sent with another payload")
def send_tampered(context):
    envelope = context.signer.sign_envelope(context.address, "echo", b"once")
    changed = attrs.evolve(envelope, payload=b"twice")
    context.reply = send_raw(context, changed)


@when("a signed call for another address is sent")
def send_elsewhere(context):
    envelope = context.signer.sign_envelope("127.0.0.1:2", "echo", b"once")
    context.reply = send_raw(context, envelope)


@then('the second answer is a refusal as "{kind}"')
@then('the answer is a refusal as "{kind}"')
def check_refusal(context, kind):
    assert context.reply.topic == "refused"
    assert context.reply.payload.decode().startswith(kind)


@then('the answer is a refusal as "{kind}" without a signature')
def check_unsigned(context, kind):
    check_refusal(context, kind)
    assert context.reply.mac == b""


class FakeService:
    """Replies with envelopes made by the test."""

    def __init__(self, answer):
        self.exchange = answer
        self.call = answer


def serve_fake(context, answer):
    server = peer_sockets.ThriftServer(FakeService(answer), ANY_ADDRESS)
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)
    context.address = server.address
    context.fake_server = server


class RecordingDeque(collections.deque):
    """Queue of answered connections that records what is held meanwhile."""

    def __init__(self, buffers):
        super().__init__()
        self._buffers = buffers
        self.held = []

    def append(self, connection):
        self._buffers.settle()
        self.held.append(self._buffers.held_bytes)
        super().append(connection)


@given("a peer that replies and tells what it holds when it reads again")
def make_recording(context):
    start_server(context)
    server = context.server._server
    context.answered = RecordingDeque(server._buffers)
    server._answered = context.answered
    start_client(context)


@when("{count:d} messages are sent to it on one connection")
def send_messages(context, count):
    with contextlib.closing(open_connection(context)) as connection:
        for _ in range(count):
            envelope = context.signer.sign_envelope(
                context.address, "echo", b"held"
            )
            connection.request(envelope, TIMEOUT_S)


@then("it held nothing each time")
def check_released(context):
    wait_until(lambda: len(context.answered.held) == 3)
    assert context.answered.held == [0, 0, 0], context.answered.held


@given("a peer that replies to another request")
def make_mismatched(context):
    start_client(context)
    signer = make_signer(1, "127.0.0.1:1")

    def answer(envelope):
        reply = signer.sign_envelope(
            envelope.sender, envelope.topic, b"other", b"m" * 32
        )
        return to_wire(reply)

    serve_fake(context, answer)


@given("a peer that goes silent on its first connection after one answer")
def make_silent(context):
    start_client(context)
    signer = make_signer(1, "127.0.0.1:1")
    answered_count = itertools.count()
    release = threading.Event()
    context.add_cleanup(release.set)

    def answer(envelope):
        if next(answered_count) and context.fake_server.accepted == 1:
            release.wait(WAIT_LIMIT_S)
        reply = signer.sign_envelope(
            envelope.sender, envelope.topic, envelope.payload, envelope.mac
        )
        return to_wire(reply)

    serve_fake(context, answer)


@when("an exchange has been answered on the first connection")
def exchange_once(context):
    reply = context.client.exchange(context.address, Exchange(1), TIMEOUT_S)
    assert reply == Exchange(1)
    assert context.fake_server.accepted == 1


@then("the next exchange is answered on a second connection")
def exchange_again(context):
    reply = context.client.exchange(context.address, Exchange(2), 6.0)
    assert reply == Exchange(2)
    assert context.fake_server.accepted == 2


@then("the silent peer has accepted {count:d} connection")
def check_connections(context, count):
    assert context.fake_server.accepted == count


@given("a peer client and an address without a listener")
def make_unreachable(context):
    start_client(context)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    context.address = f"127.0.0.1:{port}"


def connect(context):
    host, _, port = context.address.partition(":")
    return socket.create_connection((host, int(port)), TIMEOUT_S)


@when("bytes that are not a message and a frame of two gigabytes are sent")
def send_garbage(context):
    for data in (b"\x00\x00\x00\x04ABCD", b"\x7f\xff\xff\xff"):
        with connect(context) as connection:
            connection.sendall(data)
            assert is_closed(connection)


def is_closed(connection):
    with contextlib.suppress(ConnectionResetError):
        return connection.recv(1) == b""
    return True


@when("{count:d} connections are open")
def open_connections(context, count):
    opened = []
    for _ in range(count):
        connection = open_connection(context)
        context.add_cleanup(connection.close)
        opened.append(connection)
        envelope = context.signer.sign_envelope(
            context.address, "echo", b"held"
        )
        connection.request(envelope, TIMEOUT_S)


@then("a third connection is closed by the server")
def check_third(context):
    with connect(context) as connection:
        assert is_closed(connection)


@then("a key file of 8 bytes is refused and one of 32 bytes is read")
def check_key_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "peer.key")
        path.write_bytes(KEY + b"\n")
        assert peers.read_key(path) == KEY
        path.write_bytes(b"tooshort")
        assert is_key_refused(path)
        assert is_key_refused(path.with_name("absent"))


def is_key_refused(path):
    try:
        peers.read_key(path)
    except SettingsError:
        return True
    return False


@given("{count:d} gossip nodes that know the first one")
def start_nodes(context, count):
    context.nodes = []
    for number in range(count):
        member = make_member(number, f"fd-{number % 2}", "r-0", 1_000)
        member = attrs.evolve(member, peer_address=ANY_ADDRESS)
        seeds = [node.local_member() for node in context.nodes[:1]]
        ref = gossip.Gossip.start(
            member,
            KEY,
            SystemClock(),
            seeds,
            ANY_ADDRESS,
            handlers={"echo": lambda payload: payload + b"!"},
            settings=gossip.GossipSettings(
                round_s=0.05, tick_s=0.02, exchange_timeout_s=TIMEOUT_S
            ),
        )
        context.add_cleanup(ref.stop)
        context.nodes.append(gossip.Peers(ref))


@then("all gossip nodes know each other")
def check_all_known(context):
    count = len(context.nodes)
    wait_until(
        lambda: all(len(node.members()) == count for node in context.nodes)
    )


@then("a document published at one node reaches all nodes")
def check_document(context):
    publish_document(context, 1, 10)


@then("a large document published at one node reaches all nodes")
def check_large_document(context):
    publish_document(context, 2, 50_000)


def publish_document(context, version, size):
    document = Fact(Topic.DOCUMENT, "production", version, bytes(size))
    received = []
    context.nodes[-1].subscribe(Topic.DOCUMENT, received.append)
    context.nodes[0].publish(document)
    wait_until(
        lambda: all(
            node.get_fact(Topic.DOCUMENT, "production") == document
            for node in context.nodes
        )
    )
    wait_until(lambda: document in received)


@then("a call from the last node to the first is answered")
def check_call(context):
    answer = context.nodes[-1].call("i-0000", "echo", b"hi", TIMEOUT_S)
    assert answer == b"hi!"


@then("a call to an unknown member has certainly not run")
def check_unknown_member(context):
    arguments = ("i-9999", "echo", b"", TIMEOUT_S)
    assert (
        get_execution_status(context.nodes[0].call, *arguments)
        is ExecutionStatus.NOT_RUN
    )


@then("a subscriber that fails does not stop the node")
def check_subscriber(context):
    def fail(fact):
        raise RuntimeError("failed on purpose")

    context.nodes[1].subscribe(Topic.VERDICT, fail)
    context.nodes[1].publish(Fact(Topic.VERDICT, "move-1", 1, b""))
    assert context.nodes[1].get_fact(Topic.VERDICT, "move-1").version == 1


@when("the last gossip node leaves")
def leave_last(context):
    context.left_id = context.nodes[-1].local_member().instance_id
    context.nodes.pop().leave()


@then("the other gossip nodes record the member as left")
def check_left(context):
    wait_until(
        lambda: all(
            get_status(node, context.left_id) is MemberStatus.LEFT
            for node in context.nodes
        )
    )


def get_status(node, instance_id):
    statuses = {
        view.member.instance_id: view.status for view in node.members()
    }
    return statuses.get(instance_id)
