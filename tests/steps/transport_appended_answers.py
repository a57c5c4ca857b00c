import itertools

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.transport import appended_answers

SECOND = b"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nhello"
BODIES = (
    b"",
    b"hello",
    b"HTTP/1.",
    b"HTTP/1.1 200",
    b"data: HTTP/1.1 200 OK\n\n",
    b"HTTP/1.1 200 OK\r\n" * 3,
    b"x HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/",
    b"HTTP/1.1 200 OK\r\nId: r9\r\n\r\nHTTP/1.1 2",
)


def read(data, cuts):
    """Return what is read of a body in parts, and the fault or None."""
    guard = appended_answers.AppendedAnswerGuard(
        lambda status, headers: ("Id", "r1") in headers
    )
    bounds = sorted({0, len(data), *(each % (len(data) + 1) for each in cuts)})
    body = b""
    try:
        for start, end in itertools.pairwise(bounds):
            guard.check()
            body += guard.feed(data[start:end])
        body += guard.finish()
    except errors.EndpointError as error:
        return body, error.fault
    return body, None


def read_in_any_parts(context, appended):
    @hypothesis.given(
        strategies.sampled_from(BODIES),
        strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def run(body, cuts):
        context.results.append((body, *read(body + appended, cuts)))

    context.results = []
    run()


@when("bodies and a second answer are read in any parts")
def read_second(context):
    read_in_any_parts(context, SECOND)


@when("bodies that mention other heads are read in any parts")
def read_mentions(context):
    read_in_any_parts(context, b"")


@then("each body is read to its end and then the second answer is a fault")
def check_faults(context):
    for body, found, fault in context.results:
        assert isinstance(fault, streams.Crossed), (body, found, fault)
        assert found == body, (body, found)


@then("each body is read to its end without a fault")
def check_bodies(context):
    for body, found, fault in context.results:
        assert (found, fault) == (body, None), (body, found, fault)
