import hashlib
import itertools
import socket

from behave import given
from behave import then
from behave import when

from mulberryhollow.protocol import peer_requests
from tests import crowd
from tools import platform_site

ANSWER_TIMEOUT_S = 60.0
FRAME_BYTES = 1_000_000


class SmallSite(platform_site.PlatformSite):
    """Small platform whose instance has the limits of a test."""

    def __init__(self, memory_mib, descriptors):
        super().__init__(
            limits={"maxFds": descriptors, "memoryMb": memory_mib}
        )

    def limit_bodies(self, size):
        """Limit the bodies of callers; idle ones stay for the whole test."""
        configuration = platform_site.make_configuration(2)
        configuration["limits"] = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": size,
            "headerTimeoutMs": 60000,
            "idleTimeoutMs": 60000,
        }
        self.server.store.put("config", "main", configuration)
        self.wait_ready()
        platform_site.wait_until(
            lambda: self.call("GET", "/safe/x").status == 200, 15.0
        )
        self.settle()

    def settle(self):
        """Forget what the endpoints received so far."""
        for each in self.endpoints.values():
            each.received.clear()

    def get_target(self, server):
        """Return the port of a server, and a path that it serves."""
        return {
            # The endpoints answer late, so that whole bodies are held.
            "callers": (self.callers_port, "/slow/y/x"),
            "peers": (self.forward_port, peer_requests.PATH),
            "checks": (self.ready_port, "/v1/readyz"),
            "metrics": (self.ready_port, "/metrics"),
            "pages": (self.control_port, "/member"),
            "messages": (self.peer_port, ""),
        }[server]

    @property
    def ports(self):
        """All ports on which the instance listens."""
        names = ("callers", "peers", "checks", "pages", "messages")
        return [self.get_target(name)[0] for name in names]


@given(
    "an instance with {memory:d} MiB of memory and {descriptors:d} descriptors"
)
def start_instance(context, memory, descriptors):
    crowd.allow_descriptors(4096)
    context.site = SmallSite(memory, descriptors)
    context.add_cleanup(context.site.close)


@given("its callers may send bodies of {size:d} MiB")
def limit_bodies(context, size):
    context.body_bytes = size * crowd.MIB
    context.site.limit_bodies(context.body_bytes)


@when("{count:d} clients send {what} to its port for {server} and stay")
def send_crowd(context, count, what, server):
    port, path = context.site.get_target(server)

    def list_pieces():
        if what == "frames a byte short":
            size = FRAME_BYTES.to_bytes(4, "big")
            return [size + crowd.FILLER[: FRAME_BYTES - 1]]
        return crowd.list_request(what, path, context.body_bytes)

    measure_crowd(context, context.site.process, context.site.ports, port)(
        count, list_pieces
    )


def measure_crowd(context, process, ports, port):
    """Return a function that lets a crowd send, and measures a process."""

    def run(count, list_pieces):
        context.process = process
        with crowd.Meter(process.pid, ports) as context.meter:
            sent = crowd.Crowd(port, count, list_pieces)
            context.add_cleanup(sent.close)
            crowd.wait_until_quiet(context.meter)

    return run


@then("the process lives and has held at most {memory:d} MiB")
def check_memory(context, memory):
    assert context.process.poll() is None, context.process.returncode
    assert 0 < context.meter.memory_mib <= memory, context.meter.memory_mib


@then("it has had at most {count:d} descriptors")
def check_descriptors(context, count):
    assert 0 < context.meter.descriptors <= count, context.meter.descriptors


@then("an ordinary request and a readiness check are answered")
def check_answered(context):
    site = context.site
    head = crowd.make_head("POST", "/safe/x", "Content-Length: 2")
    status, _ = exchange(site.callers_port, [head + b"{}"])
    assert status == 200, status
    head = crowd.make_head("GET", "/v1/readyz")
    status, _ = exchange(site.ready_port, [head])
    assert status == 200, status


def exchange(port, pieces, is_awaiting_interim=False):
    """Send a whole request; return the answer's status and first line."""
    address = "127.0.0.1", port
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as connection:
        answer = connection.makefile("rb")
        pieces = iter(pieces)
        connection.sendall(next(pieces))
        if is_awaiting_interim:
            line = answer.readline()
            if b" 100 " not in line:
                return int(line.split()[1]), b""
            answer.readline()
        for piece in pieces:
            connection.sendall(piece)
        line = answer.readline()
        return int(line.split()[1]) if line else 0, line


@when("a client sends a body of {size:d} bytes {how}")
def send_one(context, size, how):
    body = bytes(itertools.islice(itertools.cycle(range(256)), size))
    context.sent_body = body
    context.status, context.answer = send_body(
        context.site.callers_port, "/safe/x", body, how
    )


def send_body(port, path, body, how, *fields):
    """Send a request in the way that a scenario names, as `exchange`."""
    is_chunked = "chunk" in how
    is_expecting = "interim" in how
    framing = f"Content-Length: {len(body)}"
    pieces = [body]
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        size = how.partition("of ")[2].partition(" ")[0] or len(body)
        pieces = encode_chunks(body, int(size))
    if is_expecting:
        fields = (*fields, "Expect: 100-continue")
    head = crowd.make_head("POST", path, framing, *fields)
    return exchange(port, [head, *pieces], is_expecting)


def encode_chunks(body, chunk_bytes):
    """Yield a body in chunks, some of them at once, and their end."""
    chunks = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    for start in range(0, len(chunks), 4096):
        yield b"".join(
            b"%x\r\n%s\r\n" % (len(each), each)
            for each in chunks[start : start + 4096]
        )
    yield b"0\r\n\r\n"


@then("the request is answered by an endpoint that got the same body")
def check_served(context):
    assert context.status == 200, (context.status, context.answer)
    (seen,) = context.site.list_executed_requests()
    digests = [
        hashlib.sha256(each).hexdigest()
        for each in (seen["body"], context.sent_body)
    ]
    assert digests[0] == digests[1], len(seen["body"])


@then("the request is answered with {status:d}")
def check_refused(context, status):
    assert context.status == status, (context.status, context.answer)


@then("no endpoint got a request")
def check_not_run(context):
    assert context.site.list_executed_requests() == []
