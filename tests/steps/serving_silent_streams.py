import itertools
import socket
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from mulberryhollow.platform import callers
from mulberryhollow.protocol import forwarding
from mulberryhollow.serving import forwarder
from mulberryhollow.state import catalogue
from mulberryhollow.transport import http_server
from standins import scripted
from tests import requests
from tests import scripted_streams as streams
from tools import platform_site

GOAL_S = 0.1
TIME_S = 6.0
MAX_OVERLAP_S = 0.4
SHORT_TIME_S = 2.0
MAX_KEPT_BYTES = 16_384
TIGHT_STOP_S = 2.0
LONG_GOAL_S = 3.0
BODY = b"the whole answer"
NEXT_BODY = b"the next answer!"
COMMENT = b": wait\n\n"
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\n\r\n"
REFUSAL = streams.make_sized(503, b"", b"Not-Executed: 1")


def mark(number, name):
    """Return an event that tells the endpoint that sent it."""
    return b"id: %d\ndata: %s\n\n" % (number, name)


def mark_plain(number, name):
    """Return an event without an id that tells the endpoint that sent it."""
    return b"data: %s %d\n\n" % (name, number)


def make_chunks(name, *numbers, make_event=mark):
    return b"".join(streams.chunk(make_event(each, name)) for each in numbers)


TWO_EVENTS = mark(1, b"first") + mark(2, b"first")
FIRST_TWO = streams.CHUNKED + make_chunks(b"first", 1, 2)
REST = make_chunks(b"first", 3, 4) + streams.END
PLAIN_FIRST_TWO = streams.CHUNKED + make_chunks(
    b"first", 1, 2, make_event=mark_plain
)
PLAIN_REST = make_chunks(b"first", 3, 4, make_event=mark_plain) + streams.END
NEXT_REST = streams.CHUNKED + make_chunks(b"next", 3, 4) + streams.END
OTHERS = {
    "refuse the request": REFUSAL,
    "fail with a 500": streams.make_sized(500, b"failed"),
    "close the connection": ["close"],
    "answer nothing": ["hang"],
    "send other events": streams.make_stream(mark(7, b"other")),
}


AFTER_HEAD = {
    "nothing more": ["hang"],
    "the end of the connection": ["close"],
    "half of its body": [NEXT_BODY[:8], "hang"],
}
PARTS = {
    "an interim head": INTERIM_HEAD,
    "half a head": b"HTTP/1.1 200 X\r\nAttempt-Id: r",
    "half of trailers": streams.CHUNKED + b"0\r\nPart: x",
    "a byte of a status": streams.head(200) + b"H",
}
ANSWERS = {
    "an answer with a length": (
        streams.make_sized(200, NEXT_BODY),
        NEXT_BODY,
    ),
    "an answer in chunks": (
        [
            streams.head(200, b"Transfer-Encoding: chunked"),
            *[streams.chunk(NEXT_BODY[:8]), 0.2],
            streams.chunk(NEXT_BODY[8:]) + streams.END,
        ],
        NEXT_BODY,
    ),
    "an answer that ends with its connection": (
        [streams.head(200) + NEXT_BODY, 0.2, "close"],
        NEXT_BODY,
    ),
    "an empty answer": (streams.make_sized(200, b""), b""),
    "an answer without content": ([streams.head(204)], b""),
}
SLOW_BYTES = [
    streams.CHUNKED + streams.chunk(b"id: 3\ndata: "),
    *[0.008, streams.chunk(b"x")] * 400,
    "close",
]
AFTER_COMMENT = {
    "nothing more": ["hang"],
    "the end of the connection": ["close"],
    "the end of the stream": [streams.END],
    "the rest after 0.2 s": [0.2, make_chunks(b"next", 3, 4) + streams.END],
}
LATE_PARTS = {
    "a comment": COMMENT,
    "20 kB of comments": COMMENT * (20_000 // len(COMMENT)),
    "a part of an event": mark(3, b"first")[:-1],
    "an event out of order": mark(7, b"first"),
}
HELD_PARTS = {
    "what may be another head": (
        streams.UNFRAMED + TWO_EVENTS,
        [b"id: 3\ndata: ", 0.05, b"H"],
        b"\n\n" + mark(4, b"first"),
        TWO_EVENTS + mark(3, b"H") + mark(4, b"first"),
    ),
    "a part of the last chunk": (
        FIRST_TWO,
        [b"0\r\n\r"],
        b"\n",
        TWO_EVENTS,
    ),
    "a part of trailers": (
        FIRST_TWO,
        [b"0\r\nPart: x"],
        b"\r\n\r\n",
        TWO_EVENTS,
    ),
    "a part of a long trailer": (
        FIRST_TWO,
        [b"0\r\nPart: " + b"x" * 5_000],
        b"\r\n\r\n",
        TWO_EVENTS,
    ),
    "a part of a long size": (
        FIRST_TWO,
        [b"%x;" % len(mark(3, b"first")) + b"x" * 5_000],
        b"\r\n" + mark(3, b"first") + b"\r\n" + streams.END,
        TWO_EVENTS + mark(3, b"first"),
    ),
}
LATE_HEADS = {
    "an interim head": [INTERIM_HEAD],
    "a head": [streams.CHUNKED],
    "a late refusal": REFUSAL,
}
KINDS = {
    "a resumable stream": catalogue.RequestKind.RESUMABLE_STREAM,
    "a stream": catalogue.RequestKind.STREAM,
    "an idempotent request": catalogue.RequestKind.IDEMPOTENT,
}


class TimedEndpoint(scripted.ScriptedEndpoint):
    """Scripted endpoint that records when its connections are left.

    All requests are refused until the first script has ended, if that is
    asked for.
    """

    def __init__(self, scripts, is_refused_first=False):
        self.left_s = {}
        self.answered_s = {}
        self._is_refused_first = is_refused_first
        super().__init__(scripts)

    def _run_steps(self, connection, steps):
        number = len(self.requests)
        if self._is_refused_first and number > 1:
            self._scripts.insert(0, steps)
            steps = REFUSAL
        threading.Thread(
            target=self._watch, args=(connection, number), daemon=True
        ).start()
        for step in steps:
            if isinstance(step, bytes):
                self.answered_s[number] = time.monotonic()
            elif step == "close":
                # The watching thread keeps the descriptor open.
                connection.shutdown(socket.SHUT_RDWR)
                self._is_refused_first = False
            if not super()._run_steps(connection, [step]):
                return False
        return True

    def _watch(self, connection, number):
        """Record when the other side closes, without reading from it."""
        try:
            while connection.recv(1, socket.MSG_PEEK):
                time.sleep(0.01)
        except OSError:
            pass
        self.left_s[number] = time.monotonic()


class Ingress:
    """Forwards every request as one of a kind."""

    def __init__(self, context):
        self._context = context

    def accept(self, incoming, is_gone):
        context = self._context
        now_s = context.clock.now_s()
        request = requests.make_request(
            context.kind,
            arrived_s=now_s,
            deadline_s=now_s + context.time_s,
            goal_s=context.goal_s,
            gap_goal_s=GOAL_S,
            max_endpoints=context.max_endpoints,
            payload=forwarding.Payload(context.method, "/x", (), b""),
        )
        return context.forwarder.forward(request, is_gone)


def set_first(context, kind, script):
    context.method, context.is_refused_first = "GET", False
    context.kind, context.first, context.goal_s = kind, script, GOAL_S
    context.others, context.count = REFUSAL, 6
    context.may_break_off = kind.is_stream
    context.prepare = lambda dependencies, now_s: None
    context.make_event, context.comments = mark, b""
    context.time_s, context.max_endpoints, context.second = TIME_S, 2, None


@given("a stream whose endpoint is silent for 1 s after event 2")
def set_paused(context):
    script = [FIRST_TWO, 1.0, REST]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a stream whose endpoint is silent for good after event 2")
def set_dark(context):
    script = [FIRST_TWO, "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a stream whose endpoint ends it 1 s after event 4")
def set_late_end(context):
    script = [FIRST_TWO + make_chunks(b"first", 3, 4), 1.0, streams.END]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a stream without event ids that pauses for 1 s after event 2")
def set_plain(context):
    script = [PLAIN_FIRST_TWO, 1.0, PLAIN_REST]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.make_event = mark_plain


@given("a stream whose endpoint is silent for good after a comment")
def set_comment(context):
    script = [streams.CHUNKED + streams.chunk(COMMENT), "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.comments = COMMENT


@given("a stream whose endpoint sends {part} after 0.45 s and then hangs")
def set_late_part(context, part):
    script = [FIRST_TWO, 0.45, streams.chunk(LATE_PARTS[part]), "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.time_s = SHORT_TIME_S


@given(
    "a stream whose endpoint sends bytes that are no event after 0.35 s, then "
    "the rest of event 3"
)
def set_no_event(context):
    begin, end = mark(3, b"first")[:-5], mark(3, b"first")[-5:]
    sent = streams.chunk(b"error: memory\n\n" + begin)
    script = [FIRST_TWO, 0.35, sent, 0.08, streams.chunk(end), "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a stream whose endpoint goes on {pause_s:g} s after event 2")
def set_going_on(context, pause_s):
    script = [FIRST_TWO, pause_s, REST]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given(
    "a stream whose endpoint sends {part} after 0.35 s and its rest after "
    "0.3 s"
)
def set_held_part(context, part):
    begin, sent, rest, context.whole = HELD_PARTS[part]
    script = [begin, 0.35, *sent, 0.3, rest, "close"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.time_s = SHORT_TIME_S


@given("a stream whose endpoint sends {head} after 0.35 s and then hangs")
def set_late_head(context, head):
    script = [0.35, *LATE_HEADS[head], "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.time_s = SHORT_TIME_S


@given("a stream whose endpoint repeats event 2 without end after 0.4 s")
def set_repeating(context):
    repeated = streams.chunk(mark(2, b"first")) * 500
    script = [FIRST_TWO, 0.4, *[repeated] * 20_000]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)
    context.time_s = SHORT_TIME_S


@given("a stream whose endpoint sends a comment after 0.4 s and then its end")
def set_comment_and_end(context):
    sent = streams.chunk(COMMENT)
    script = [streams.CHUNKED, 0.4, sent, 0.1, streams.END]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("the caller's thread is held up once the next endpoint has taken over")
def hold_up(context):
    try_successor = forwarder.Forwarding._try_successor

    def try_and_wait(forwarding, kept):
        is_replaced = try_successor(forwarding, kept)
        if is_replaced:
            time.sleep(0.1)
        return is_replaced

    patched = mock.patch.object(
        forwarder.Forwarding, "_try_successor", try_and_wait
    )
    patched.start()
    context.add_cleanup(patched.stop)


@given(
    "a stream whose endpoint sends {part} after 0.45 s and the rest after "
    "{pause_s:g} s"
)
def set_part_and_rest(context, part, pause_s):
    sent = streams.chunk(LATE_PARTS[part])
    script = [FIRST_TWO, 0.45, sent, pause_s, REST]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a stream whose endpoint is silent for good after its head")
def set_head(context):
    script = [streams.CHUNKED, "hang"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("a resumable stream whose endpoint answers after 1 s")
def set_late_stream(context):
    script = [1.0, FIRST_TWO + REST]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("an idempotent request whose endpoint answers after 1 s")
def set_late(context):
    script = [1.0, *streams.make_sized(200, BODY)]
    set_first(context, catalogue.RequestKind.IDEMPOTENT, script)


@given("an idempotent request whose endpoint answers nothing")
def set_unanswered(context):
    set_first(context, catalogue.RequestKind.IDEMPOTENT, ["hang"])


@given("{kind} whose endpoint gives at once {answer}")
def set_whole_answer(context, kind, answer):
    events = b"".join(mark(number, b"first") for number in (1, 2, 3, 4))
    body = b"" if kind == "an idempotent request" else events
    set_first(context, KINDS[kind], streams.make_sized(200, body))
    context.method = "HEAD" if answer == "an answer to HEAD" else "GET"
    context.whole = body
    context.may_break_off = False


@given("a stream whose endpoint {ends} after 0.6 s of silence")
def set_ending(context, ends):
    script = [FIRST_TWO, 0.6, {"closes": "close", "resets": "reset"}[ends]]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given(
    "a stream whose endpoint is silent for 1 s after event 2 and closes after "
    "event 3"
)
def set_broken_later(context):
    script = [FIRST_TWO, 1.0, make_chunks(b"first", 3), "close"]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("the others refuse the request while it goes on, then give the rest")
def set_later(context):
    context.others = [streams.CHUNKED + make_chunks(b"next", 4) + streams.END]
    context.is_refused_first = True


@given(
    "an idempotent request whose endpoint sends an interim head shortly "
    "before the deadline"
)
def set_interim(context):
    script = [TIME_S - 0.5, INTERIM_HEAD, "hang"]
    set_first(context, catalogue.RequestKind.IDEMPOTENT, script)
    context.count = 1


@given(
    "a stream whose endpoint pauses for 1 s after byte {count:d} of event 3"
)
def set_paused_inside(context, count):
    third, rest = make_chunks(b"first", 3), make_chunks(b"first", 4)
    script = [
        FIRST_TWO + third[:count],
        1.0,
        third[count:] + rest + streams.END,
    ]
    set_first(context, catalogue.RequestKind.RESUMABLE_STREAM, script)


@given("no other endpoint is listed")
def set_single(context):
    context.count = 1


@given("all other endpoints {behaviour}")
def set_others(context, behaviour):
    context.others = OTHERS[behaviour]


@given("the next endpoint gives the rest after {delay_s:g} s")
def set_next(context, delay_s):
    context.others = [delay_s, NEXT_REST]


@given("the next endpoint sends event 3 byte by byte without an end")
def set_slow_bytes(context):
    context.others = SLOW_BYTES
    context.time_s = SHORT_TIME_S


@given(
    "the next endpoint sends event 3 byte by byte without an end, and another "
    "one the rest"
)
def set_slow_bytes_and_rest(context):
    context.second, context.others = SLOW_BYTES, [NEXT_REST]
    context.max_endpoints = 3


@given("the next endpoint hangs, and another one gives the rest")
def set_hanging_and_rest(context):
    context.second, context.others = ["hang"], [NEXT_REST]
    context.max_endpoints = 3


@given("the next endpoint sends a comment and {rest}")
def set_comment_and_rest(context, rest):
    head = streams.CHUNKED + streams.chunk(COMMENT)
    context.others = [head, *AFTER_COMMENT[rest]]


@given("the next endpoint sends the head of a {status:d} answer and {rest}")
def set_part(context, status, rest):
    length = b"Content-Length: %d" % len(NEXT_BODY)
    context.others = [streams.head(status, length), *AFTER_HEAD[rest]]
    context.time_s = SHORT_TIME_S


@given("the next endpoint hangs after {part}")
def set_hanging_part(context, part):
    context.others = [PARTS[part], "hang"]
    context.time_s = SHORT_TIME_S


@given(
    "the next endpoint gives an interim head, then the rest after "
    "{delay_s:g} s"
)
def set_interim_and_rest(context, delay_s):
    context.others = [INTERIM_HEAD, delay_s, NEXT_REST]


@given("the next endpoint gives at once {answer}")
def set_whole_next(context, answer):
    context.others, context.whole = ANSWERS[answer]


@given("the next endpoint gives a whole stream")
def set_whole(context):
    next_head = streams.CHUNKED.replace(b"Seal: s", b"Seal: next")
    chunks = make_chunks(b"next", 1, 2, 3, 4, make_event=context.make_event)
    context.others = [next_head + chunks + streams.END]
    context.may_break_off = context.make_event is mark_plain


@given("the next endpoint gives a whole stream after {delay_s:g} s")
def set_late_whole(context, delay_s):
    events = make_chunks(b"next", 1, 2, 3, 4)
    whole = streams.CHUNKED + events + streams.END
    context.second, context.others = [delay_s, whole], REFUSAL


@given("no retry budget is left")
def set_budget(context):
    def prepare(dependencies, now_s):
        dependencies.dispatcher.spend_retry = (
            lambda service, is_speculative=False: False
        )

    context.prepare = prepare


@given("the instance is stopping")
def set_stopping(context):
    # The rest of the stream arrives in time, a new attempt might not.
    context.goal_s = LONG_GOAL_S

    def prepare(dependencies, now_s):
        dependencies.stop.begin_s = now_s
        dependencies.stop.end_s = now_s + TIGHT_STOP_S

    context.prepare = prepare


@when("a caller reads the stream")
@when("a caller reads the answer")
def read(context):
    context.endpoint = TimedEndpoint(
        [
            context.first,
            context.second or context.others,
            *itertools.repeat(context.others, 8),
        ],
        context.is_refused_first,
    )
    context.add_cleanup(context.endpoint.close)
    context.clock, context.forwarder = streams.start_instance(
        context, context.endpoint.address, count=context.count
    )
    app = http_server.ForwardApp(Ingress(context), callers.CallerCodec())
    port = streams.start_server(app)
    dependencies = context.forwarder._dependencies
    record_begun = dependencies.recorder.record_begun
    context.begun = 0

    def count_begun(request):
        context.begun += 1
        record_begun(request)

    dependencies.recorder.record_begun = count_begun
    if context.kind.is_stream and context.goal_s == LONG_GOAL_S:
        # A stop that has begun before would refuse the request at once.
        threading.Timer(
            0.1, lambda: context.prepare(dependencies, context.clock.now_s())
        ).start()
    else:
        context.prepare(dependencies, context.clock.now_s())
    began_s = time.monotonic()
    if context.may_break_off:
        context.body, context.is_complete = streams.read(port, b"1.1")
    else:
        answer = platform_site.send(
            port, context.method, "/x", {"Attempt-Id": "r1"}
        )
        context.head, context.body = answer.headers, answer.data
        context.is_complete = True
    context.took_s = time.monotonic() - began_s


def check(context, *parts):
    events = b"".join(
        context.make_event(number, name)
        for name, numbers in parts
        for number in numbers
    )
    assert context.body == context.comments + events, context.body
    assert context.is_complete


def check_with_comment(context, name):
    """Check for two events, a comment and the rest of an endpoint."""
    before, _, after = context.body.partition(COMMENT)
    assert before == TWO_EVENTS, context.body
    assert after == mark(3, name) + mark(4, name), context.body
    assert context.is_complete


@then("it gets the events 1 to 4 of the first endpoint and a complete end")
def check_first(context):
    check(context, (b"first", (1, 2, 3, 4)))


@then(
    "it gets the events 1 and 2 of the first endpoint and the rest of the next"
)
def check_next(context):
    check(context, (b"first", (1, 2)), (b"next", (3, 4)))


@then(
    "it gets the events 1 and 2 of the first endpoint, then the comment and "
    "the rest of the next"
)
def check_next_with_comment(context):
    check_with_comment(context, b"next")


@then(
    "it gets the events 1 and 2, the comment and the rest of the first "
    "endpoint"
)
def check_first_with_comment(context):
    check_with_comment(context, b"first")


@then(
    "it gets the events 1 and 2 of the first endpoint, at most 16 kB of "
    "comments and the rest of the next"
)
def check_kept_comments(context):
    assert context.body.count(COMMENT) * len(COMMENT) <= MAX_KEPT_BYTES
    context.body = context.body.replace(COMMENT, b"")
    check_next(context)


@then("it gets all that the first endpoint has sent")
def check_sent(context):
    assert context.body == context.whole, context.body
    assert context.is_complete


@then("it gets the comment and a complete end")
def check_comment(context):
    assert context.body == COMMENT, context.body
    assert context.is_complete


@then("the request is counted as begun once")
def check_begun(context):
    assert context.begun == 1, context.begun


@then(
    "it gets the events 1 to 3 of the first endpoint and the rest of the next"
)
def check_resumed(context):
    check(context, (b"first", (1, 2, 3)), (b"next", (4,)))


@then("it gets the events of the next endpoint")
def check_next_events(context):
    check(context, (b"next", (1, 2, 3, 4)))


@then("it gets the comment and the events of the next endpoint")
def check_after_comment(context):
    check(context, (b"next", (1, 2, 3, 4)))


@then("it gets the whole answer within 1 s")
def check_at_once(context):
    assert context.body == context.whole, context.body
    assert context.took_s < 1.0, context.took_s


@then("it gets the end of the answer within {limit_s:g} s")
@then("it gets the end of the stream within {limit_s:g} s")
def check_end(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@then("the stream ends by the deadline")
@then("it gets an answer by the deadline")
def check_deadline(context):
    assert context.took_s < context.time_s + 0.5, context.took_s


@then("it gets the head and the events of the next endpoint")
def check_head(context):
    check(context, (b"next", (1, 2, 3, 4)))
    assert context.head["Response-Seal"] == "next", context.head.items()


@then("it gets the whole answer of the first endpoint")
def check_whole(context):
    if context.kind.is_stream:
        check_first(context)
    else:
        assert context.body == BODY, context.body


def get_overlap_s(context, answering, other):
    """Return for how long an endpoint kept on after another answered."""
    time.sleep(MAX_OVERLAP_S)
    endpoint = context.endpoint
    assert other in endpoint.left_s, "the connection is still open"
    return endpoint.left_s[other] - endpoint.answered_s[answering]


@then("the first endpoint was left when the next one had answered")
def check_first_left(context):
    assert 0.0 <= get_overlap_s(context, 2, 1) < MAX_OVERLAP_S


@then("the next endpoint was left when the first one had gone on")
def check_next_left(context):
    assert 0.0 <= get_overlap_s(context, 1, 2) < MAX_OVERLAP_S
