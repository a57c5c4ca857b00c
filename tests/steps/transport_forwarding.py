import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import endpoints
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.protocol import peer_requests
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.transport import forwarding
from standins import scripted


def answer(request_id="r1", body=b"hello", extra=b""):
    """Return the bytes of a complete HTTP response."""
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (request_id.encode(), extra, len(body)) + body


def error(status, fields=b""):
    """Return the bytes of an error without a request id."""
    head = b"HTTP/1.1 %d No\r\n%sContent-Length: 2\r\n\r\nno"
    return head % (status, fields)


def interim(status, fields=b""):
    return b"HTTP/1.1 %d Wait\r\n%s\r\n" % (status, fields)


ID = b"Attempt-Id: r1\r\n"
NOT_RUN = b"Not-Executed: 1\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + ID
UNFRAMED = HEAD + b"\r\nhello"
MENTION = HEAD + b"\r\nHTTP/1.1 200 OK\r\nAttempt-Id: id\r\n\r\n HTTP/1.1 2"
REFUSAL = b"HTTP/1.1 503 No\r\n" + ID + NOT_RUN + b"Content-Length: 0\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SCRIPTS = {
    "answers whole": [[answer()]],
    "answers in chunks": [[CHUNKED + b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"]],
    "answers without a length and closes": [[HEAD + b"\r\nhello", "close"]],
    "answers without a length and resets": [[HEAD + b"\r\nhel", "reset"]],
    "breaks off a body with a length": [
        [HEAD + b"Content-Length: 5\r\n\r\nhel", "close"]
    ],
    "breaks off between chunks": [[CHUNKED + b"3\r\nhel\r\n", "close"]],
    "breaks off between two headers": [[HEAD, "close"]],
    "breaks off inside a header": [[HEAD + b"Content-Len", "close"]],
    "breaks off inside the status line": [[b"HTTP/1.1 20", "close"]],
    "breaks off inside a chunk size": [
        [CHUNKED + b"5\r\nhello\r\n0", "close"]
    ],
    "breaks off inside a trailer": [
        [CHUNKED + b"5\r\nhello\r\n0\r\nX: y", "close"]
    ],
    "gives a length that is no number": [
        [HEAD + b"Content-Length: 5x\r\n\r\nhello", "close"]
    ],
    "gives a negative length": [
        [HEAD + b"Content-Length: -5\r\n\r\nhello", "close"]
    ],
    "gives two different lengths": [
        [
            HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
            "close",
        ]
    ],
    "sends bytes that are no answer": [[b"\x00\x01garbage\r\n\r\n", "close"]],
    "closes without an answer": [["close"]],
    "resets without an answer": [["reset"]],
    "hangs": [["hang"]],
    "answers another request only": [
        [answer("r7"), answer("r8"), answer("r9")]
    ],
    "answers whole twice": [[answer("r1")], [answer("r2")]],
    "sends an extra answer at once": [
        [answer("r1") + answer("r1")],
        [answer("r2")],
    ],
    "sends an extra answer with the next one": [
        [answer("r1")],
        [answer("r1") + answer("r2")],
    ],
    "hangs after it has kept two connections": [
        [answer("r1")],
        [answer("r2")],
        ["hang"],
        [answer("r4")],
    ],
    "answers an earlier request first": [[answer("r0"), answer("r1")]],
    "answers twice and says close": [
        [answer("r1", extra=b"Connection: close\r\n")],
        [answer("r2", extra=b"Connection: close\r\n")],
    ],
    "repeats an answer before the own one, once": [
        [answer("r1")],
        [answer("r1") + answer("r2")],
        [answer("r3")],
    ],
    "repeats an answer in parts": [
        [answer("r1")],
        [answer("r1")[:20], 0.05, answer("r1")[20:] + answer("r2")],
    ],
    "repeats an answer in part": [
        [answer("r1")],
        [answer("r1")[:-2] + answer("r2")],
    ],
    "repeats an answer a little later": [
        [answer("r1"), 0.1, answer("r1")],
        [answer("r2")],
    ],
    "repeats an answer instead of reading the body": [
        [answer("r1")],
        ["early", answer("r1"), "hang"],
    ],
    "refuses, then answers": [[REFUSAL], [answer("r1")]],
    "sends a second head inside the first": [
        [HEAD + answer("r0", b"other"), "close"]
    ],
    "names two requests": [[answer("r0", extra=ID)]],
    "sends hints first": [[interim(103, ID) + answer()]],
    "sends many interim answers first": [[interim(102) * 5 + answer()]],
    "switches protocols": [[interim(101, ID) + answer()]],
    "repeats an answer without a length": [[UNFRAMED + answer(), "close"]],
    "repeats an answer without a length in parts": [
        [UNFRAMED + b"HT", 0.05, answer()[2:30], 0.05, answer()[30:], "close"]
    ],
    "mentions a head in an answer without a length": [[MENTION, "close"]],
    "begins an answer without a length": [[UNFRAMED, "hang"]],
    "answers before it has read the body": [
        ["early", answer("r1")],
        ["early", answer("r2")],
    ],
}

SCRIPTS |= {
    f"repeats an earlier {status} before its answer": [
        [answer("r1")],
        [error(status, fields) + answer("r2")],
    ]
    for status, fields in (
        (503, NOT_RUN),
        (429, NOT_RUN),
        (421, NOT_RUN),
        (408, b""),
        (500, b""),
    )
}


@given("an endpoint that {script_name}")
def start_scripted(context, script_name):
    context.endpoint = scripted.ScriptedEndpoint(SCRIPTS[script_name])
    context.add_cleanup(context.endpoint.close)
    context.client = make_client()


def make_client():
    return forwarding.ForwardClient(
        endpoints.EndpointCodec(), clocks.SystemClock()
    )


def forward(
    context, request_id="r1", is_fresh=False, body=b"", on_channel=None
):
    """Forward a request; return (body, None) or (None, fault name)."""
    call = messages.EndpointCall(
        request_id,
        "POST",
        "/x",
        (("Host", "h"), ("Content-Length", str(len(body)))),
        body,
    )
    attempt = forwarding.Attempt(context.endpoint.address, call, 0.5, is_fresh)
    try:
        opened = context.client.open(
            attempt, on_channel or (lambda channel: None)
        )
        try:
            pieces = iter(lambda: opened.read_piece(0.5), b"")
            return b"".join(pieces), None
        finally:
            opened.close()
    except errors.EndpointError as error:
        return None, type(error.fault).__name__


@given("a peer that answers one request and refuses the next")
def start_peer(context):
    head = messages.AnswerHead(200, ())
    fields = peer_requests.encode_outcome(head, "r1", "e1")
    _, refusal = peer_requests.encode_refusal(
        errors.Refusal(errors.RefusalKind.LEAVING, "full", "wait")
    )
    served, refused = (
        b"%s: %s\r\n" % tuple(map(str.encode, each[0]))
        for each in (fields, refusal)
    )
    context.endpoint = scripted.ScriptedEndpoint(
        [[answer("r1", extra=served)], [error(503, refused)]]
    )
    context.add_cleanup(context.endpoint.close)
    context.client = forwarding.ForwardClient(
        peer_forwarding.PeerCodec(),
        clocks.SystemClock(),
        is_id_required=False,
    )


@when("a request is forwarded to it")
def forward_one(context):
    context.result = forward(context)


@when("a request is forwarded to a port without a listener")
def forward_to_closed_port(context):
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    context.client = make_client()
    context.endpoint = type("Gone", (), {"address": f"127.0.0.1:{port}"})
    context.result = forward(context)


@when("two requests are forwarded to it")
def forward_two(context):
    context.results = [forward(context, each) for each in ("r1", "r2")]


@when("three requests are forwarded to it")
def forward_three(context):
    context.results = [forward(context, each) for each in ("r1", "r2", "r3")]


@when("two requests are forwarded to it, the second a little later")
def forward_later(context):
    def wait(channel):
        time.sleep(0.2)

    context.results = [
        forward(context, "r1"),
        forward(context, "r2", on_channel=wait),
    ]


@when("two attempts of one request are forwarded to it")
def forward_attempts(context):
    context.results = [forward(context), forward(context)]


@then("the second attempt receives the body over a connection of its own")
def check_second_attempt(context):
    assert context.results == [(b"", None), (b"hello", None)], context.results
    assert context.endpoint.connections == 2, context.endpoint.connections


@then("the second request gets the refusal of the peer")
def check_refusal(context):
    assert context.results == [(b"hello", None), (b"no", None)], (
        context.results
    )


@then("the second request ends with {fault}")
def check_second_fault(context, fault):
    expected = [(b"hello", None), (None, fault)]
    assert context.results == expected, context.results


@then("all receive the body of their own response over {count:d} connections")
def check_all(context, count):
    assert set(context.results) == {(b"hello", None)}, context.results
    assert context.endpoint.connections == count, context.endpoint.connections


@then("the attempt ends with the text that mentions a head")
def check_mention(context):
    body = MENTION.partition(b"\r\n\r\n")[2]
    assert context.result == (body, None), context.result


@when("four requests are forwarded to it, the first two at the same time")
def forward_four(context):
    def open_first(channel):
        first.append(forward(context, "r1"))

    first = []
    second = forward(context, "r2", on_channel=open_first)
    context.results = [
        *first,
        second,
        *(forward(context, each) for each in ("r3", "r4")),
    ]


@then("the third gets no answer and the fourth a connection of its own")
def check_four(context):
    body = (b"hello", None)
    expected = [body, body, (None, "Silent"), body]
    assert context.results == expected, context.results
    assert context.endpoint.connections == 3, context.endpoint.connections


@when("two non-idempotent requests are forwarded to it")
def forward_two_fresh(context):
    context.results = [forward(context, each, True) for each in ("r1", "r2")]


@when("two requests with a huge body are forwarded to it")
def forward_two_large(context):
    body = b"x" * (1 << 25)
    context.results = [
        forward(context, each, body=body) for each in ("r1", "r2")
    ]


@when("a request is forwarded to it and aborted")
def forward_and_abort(context):
    def on_channel(channel):
        threading.Timer(0.1, channel.abort).start()

    context.began_s = time.monotonic()
    context.result = forward(context, on_channel=on_channel)


@then("the attempt ends with the body")
def check_body(context):
    assert context.result == (b"hello", None), context.result


@then("the attempt ends with {fault} within a second")
def check_fault_soon(context, fault):
    check_fault(context, fault)
    assert time.monotonic() - context.began_s < 1.0


@then("the attempt ends with {fault}")
def check_fault(context, fault):
    assert context.result == (None, fault), context.result


@then("both receive the body of their own response over {count:d} connections")
def check_both(context, count):
    assert context.results == [(b"hello", None)] * 2, context.results
    assert context.endpoint.connections == count


@given("an endpoint whose listener closes after one more connection")
def start_ending_endpoint(context):
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()

    def end():
        with listener:
            listener.accept()[0].close()

    threading.Thread(target=end, daemon=True).start()
    context.ending_address = f"{host}:{port}"


@then("the endpoint is not alive")
def check_gone(context):
    client = make_client()
    assert client.has_ended(context.ending_address)


@then("the endpoint is alive")
def check_alive(context):
    client = make_client()
    assert not client.has_ended(context.endpoint.address)
