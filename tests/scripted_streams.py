"""An instance in this process before endpoints that play scripts."""

import re
import socket
import threading

from mulberryhollow import clock as clocks
from mulberryhollow.platform import endpoints as endpoint_codec
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import forwarder
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.state import endpoints
from mulberryhollow.transport import forwarding as transport
from mulberryhollow.transport import http_server


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


def make_sized(status, body, *fields, **more):
    return [head(status, b"Content-Length: %d" % len(body), *fields, **more)
            + body]  # fmt: skip


def make_stream(*pieces):
    return [CHUNKED + b"".join(map(chunk, pieces)) + END]


def start_server(app):
    server = http_server.make_server(app, "127.0.0.1:0", 4, 4100)
    threading.Thread(target=server.run, daemon=True).start()
    return server.effective_port


def start_instance(context, address, peers=None, count=6):
    """Return the clock and the forwarder of an instance.

    Its endpoints, as many as `count`, all have one address.
    """
    clock = clocks.SystemClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    items = [
        endpoints.Endpoint(f"e{n}", "m", address, "d", "s", "v1")
        for n in range(count)
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
            peers=peers or peer_forwarding.NoPeers(),
        )
    )


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
