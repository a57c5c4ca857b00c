import time
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import answers
from mulberryhollow.state import catalogue
from tests import requests

PIECE_BYTES = 64 * 1024


class Endpoint:
    """Answers with the bytes that it is given."""

    framing = messages.Framing.CHUNKS
    is_new_connection = True

    def __init__(self, pieces):
        self._pieces = iter(pieces)

    def read_piece(self, timeout_s):
        """Return the next bytes; empty at the end."""
        return next(self._pieces, b"")


def make_reader(context, kind=catalogue.RequestKind.STREAM):
    """Return the reader of one more answer."""
    now_s = context.clock.now_s()
    request = requests.make_request(
        kind, arrived_s=now_s, deadline_s=now_s + 10.0
    )
    recorder = types.SimpleNamespace(
        record_begun=lambda request: None,
        record_first=lambda request, elapsed_s: None,
    )
    return answers.AnswerReader(
        request, context.clock, recorder, context.buffers
    )


@given("{count:d} streams whose endpoints send an event {text}")
def make_streams(context, count, text):
    context.clock = clocks.ManualClock()
    context.buffers = answers.AnswerBuffers()
    context.readers = [make_reader(context) for _ in range(count)]


def feed(reader, pieces):
    """Let a stream read pieces until it is given up."""
    answer = Endpoint(pieces)
    reader.begin_answer(answer, False)
    found = []
    try:
        for _ in pieces:
            found.append(reader.read_events(answer, 0))
    except errors.EndpointError:
        reader.assembly.restart()
        reader.close()
    return b"".join(found)


@when("each of them has sent {size:d} KiB")
def send_endless(context, size):
    pieces = [b"data: " + b"x" * PIECE_BYTES]
    pieces += [b"x" * PIECE_BYTES] * (size // 64 - 1)
    for reader in context.readers:
        feed(reader, pieces)


@when("each of them has sent {size:d} KiB, {step:d} bytes at a time")
def send_bit_by_bit(context, size, step):
    pieces = [b"x" * step] * (size * 1024 // step)
    began_s = time.process_time()
    for reader in context.readers:
        feed(reader, pieces)
    context.took_s = time.process_time() - began_s


@then("less than {seconds:d} seconds of the processor were taken")
def check_time(context, seconds):
    assert context.took_s < seconds, context.took_s


@when("each of them has sent its event")
def send_event(context):
    context.event = b"id: 1\ndata: " + b"x" * 900 * 1024 + b"\n\n"
    steps = range(0, len(context.event), PIECE_BYTES)
    pieces = [context.event[each : each + PIECE_BYTES] for each in steps]
    context.found = feed(context.readers[0], pieces)


@then("its caller got the whole event")
def check_event(context):
    assert context.found == context.event


@when("another endpoint answers instead")
def answer_instead(context):
    context.readers[0].begin_answer(Endpoint([]), False)


def count_held(context):
    """Return the bytes that the streams hold."""
    return sum(len(each.assembly.rest) for each in context.readers)


@then("the instance holds at most {size:d} MiB")
def check_held(context, size):
    assert count_held(context) <= size << 20, count_held(context)


@then("the instance holds nothing")
def check_nothing(context):
    assert count_held(context) == 0
    assert context.buffers.reserve(answers.MAX_BUFFERED_BYTES)


@then("a whole answer of {size:d} KiB is read")
def check_other(context, size):
    body = b"y" * size * 1024
    reader = make_reader(context, catalogue.RequestKind.IDEMPOTENT)
    answer = Endpoint([body])
    reader.begin_answer(answer, False)
    assert reader.read_whole(answer) == body
