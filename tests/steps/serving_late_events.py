import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import endpoints as endpoint_codec
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import answers
from mulberryhollow.state import catalogue
from mulberryhollow.transport import forwarding as transport
from standins import scripted
from tests import requests
from tests import scripted_streams as streams

GAP_GOAL_S = 0.5
KIND = catalogue.RequestKind.RESUMABLE_STREAM


def mark(number):
    """Return an event of the first endpoint."""
    return b"id: %d\ndata: first\n\n" % number


class Answer:
    """Answer whose events arrive just as the wait for them ends."""

    framing = messages.Framing.CHUNKS
    is_new_connection = True

    def __init__(self, clock):
        self._clock = clock
        self.pieces = [mark(1)]

    def wait(self, timeout_s):
        """Take all of the time; the event is there then."""
        self._clock.advance(timeout_s)
        return True

    def read_piece(self, timeout_s):
        """Return an event that is there."""
        return self.pieces.pop()


@given("a resumable stream whose endpoint has sent event 1")
def make_reader(context):
    clock = clocks.ManualClock()
    request = requests.make_request(
        KIND,
        arrived_s=clock.now_s(),
        deadline_s=clock.now_s() + 10.0,
        goal_s=GAP_GOAL_S,
        gap_goal_s=GAP_GOAL_S,
    )
    recorder = types.SimpleNamespace(
        record_begun=lambda request: None,
        record_first=lambda request, elapsed_s: None,
    )
    context.reader = answers.AnswerReader(
        request, clock, recorder, answers.AnswerBuffers()
    )
    context.answer = Answer(clock)
    context.reader.begin_answer(context.answer, False)
    assert context.reader.read_events(context.answer, 0) == mark(1)


@when("event 2 arrives just as the wait for it ends")
def wait_for_event(context):
    context.answer.pieces = [mark(2)]
    assert context.reader.wait(context.answer, 0)


@then("the reader passes event 2 on")
def check_event(context):
    try:
        found = context.reader.read_events(context.answer, 0)
    except errors.EndpointError as error:
        raise AssertionError(error) from error
    assert found == mark(2)


@given("a stream that has arrived whole when its attempt is ended")
def set_arrived(context):
    whole = b"".join(streams.chunk(mark(each)) for each in range(1, 5))
    endpoint = scripted.ScriptedEndpoint(
        [[streams.CHUNKED + whole + streams.END]]
    )
    context.add_cleanup(endpoint.close)
    channels = []
    client = transport.ForwardClient(
        endpoint_codec.EndpointCodec(), clocks.SystemClock()
    )
    call = messages.EndpointCall("r1", "GET", "/x", (), b"")
    context.answer = client.open(
        transport.Attempt(endpoint.address, call, 1.0, True), channels.append
    )
    assert context.answer.wait(1.0)
    channels[0].abort()
    context.whole = b"".join(map(mark, range(1, 5)))


@then("all of it is read, and it is complete")
def check_arrived(context):
    pieces = iter(lambda: context.answer.read_piece(1.0), b"")
    assert b"".join(pieces) == context.whole


@given("the next endpoint sends a head and {answer}")
def set_next_without_events(context, answer):
    rest = [3.0, "close"] if answer == "nothing" else [1.0, streams.END]
    context.others = [streams.CHUNKED, *rest]
