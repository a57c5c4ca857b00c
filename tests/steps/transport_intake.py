import itertools
import socket
import types

from behave import given
from behave import then
from behave import when
from waitress import adjustments

from mulberryhollow import clock
from mulberryhollow.coordination import intake
from mulberryhollow import errors
from mulberryhollow.platform import callers
from mulberryhollow.transport import http_server
from mulberryhollow.transport import intake as intakes
from mulberryhollow.transport import request_parsing
from mulberryhollow.transport import served_connections

NOW_S = 1_000_000.0
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


def decode(text):
    """Return the bytes that a scenario shows with escapes."""
    return (
        b""
        if text == "nothing"
        else text.encode().decode("unicode_escape").encode()
    )


@given("a parser for bodies of {size:d} bytes")
def make_parser(context, size):
    adjusted = adjustments.Adjustments(max_request_body_size=size + 1)
    context.parser = request_parsing.RequestParser(adjusted)
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    assert context.parser.received(head) == len(head)


@when("it gets the chunks {chunks} cut after each {count:d} bytes")
def receive(context, chunks, count):
    data = decode(chunks)
    starts = range(0, len(data), count)
    context.left = b"".join(
        piece[context.parser.received(piece) :]
        for piece in (data[start : start + count] for start in starts)
    )


@when("it gets {start} and then {count:d} bytes of a line without an end")
def receive_endless(context, start, count):
    for piece in [decode(start), *itertools.repeat(b"1" * 100, count // 100)]:
        context.parser.received(piece)


@then("the body is {body} and {left} follows")
def check_body(context, body, left):
    parser = context.parser
    assert parser.completed and parser.error is None, parser.error
    found = parser.get_body_stream().read()
    assert found == decode(body), found
    assert parser.headers["CONTENT_LENGTH"] == str(len(found))
    assert context.left == decode(left), context.left


@then("the body fails with {status:d}")
def check_failed(context, status):
    assert context.parser.completed
    assert context.parser.error.code == status, context.parser.error


@given("an intake with {head_s:g} s for a head and {body_s:g} s for a body")
def make_intake(context, head_s, body_s):
    context.clock = clock.ManualClock()
    context.intake = intakes.Intake(
        "test",
        100,
        lambda largest_bytes: 1 << 20,
        1 << 20,
        callers.CallerCodec(),
        intakes.IntakeLimits(header_timeout_s=head_s, body_timeout_s=body_s),
        context.clock,
    )


@when("a request has sent {part} and {seconds:g} s pass")
def let_pass(context, part, seconds):
    request = context.intake.begin(adjustments.Adjustments())
    context.request = request
    request.received(b"\r\n" if part == "an empty line" else HEAD)
    if part.startswith("its head"):
        request.received(b"Content-Length: 9\r\n")
        if "deadline" in part:
            number = part.split()[-2]
            request.received(f"Deadline-Ms: {number}\r\n".encode())
        request.received(b"\r\n")
        assert context.intake.screen(request) is None
    context.clock.advance(seconds)


@then("it is found in time")
def check_in_time(context):
    assert not find_late_twice(context)[1]


@then("it is found late")
def check_late(context):
    refusal = find_late_twice(context)[1]
    assert refusal.kind is errors.RefusalKind.DEADLINE_PASSED
    assert refusal.ran is errors.ExecutionStatus.NOT_RUN


def find_late_twice(context):
    """Return the refusals of two looks at the request, or None."""
    return [context.intake.find_late(context.request) for _ in range(2)]


@then("it is not refused when it is found late first")
def check_first(context):
    assert context.intake.find_late(context.request) is None


@then("it is refused when it is found late again")
def check_again(context):
    assert context.intake.find_late(context.request) is not None


@given("an instance's intake for callers without a configuration")
def make_caller_intake(context):
    context.intake = http_server.make_caller_intake(
        intake.MemoryShares(), 1000, callers.CallerCodec()
    )


@when("a request announces a body of {size:d} MiB")
def announce(context, size):
    adjusted = adjustments.Adjustments(
        max_request_body_size=context.intake.limits.body_bytes + 1
    )
    context.request = context.intake.begin(adjusted)
    length = size * intake.MIB
    context.request.received(
        HEAD + f"Content-Length: {length}\r\n\r\n".encode()
    )


@then("it is not refused")
def check_not_refused(context):
    assert context.request.error is None
    assert context.intake.screen(context.request) is None


@given("a connection whose request has been answered for {seconds:g} s")
def make_connection(context, seconds):
    left, right = socket.socketpair()
    context.add_cleanup(left.close)
    context.add_cleanup(right.close)
    server = types.SimpleNamespace(active_channels={})
    context.connection = served_connections.Connection(
        server, left, None, adjustments.Adjustments(), map={}
    )
    context.connection.requests = [object()]
    context.connection.last_activity = NOW_S - seconds


@when("it has {size:d} bytes to read at {looks:d} looks, one each second")
def look(context, size, looks):
    context.connection.total_outbufs_len = size
    for number in range(looks):
        context.connection.look(NOW_S + number, 5.0)


@then("it is {outcome} by a server whose clients may be idle for 5 s")
def check_connection(context, outcome):
    is_closed = context.connection.will_close
    assert is_closed == (outcome == "closed"), context.connection.last_activity
