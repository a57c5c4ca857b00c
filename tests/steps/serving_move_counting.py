import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.serving import move_counting
from mulberryhollow.state import catalogue
from mulberryhollow.state import facts
from tests import requests


def make_recorder(context, clock, usual_s=None):
    """Return a recorder whose counts are kept in `context.counts`."""
    context.counts = []
    actor = types.SimpleNamespace(tell=context.counts.append)
    moving = move_counting.MovingServices({"s": "v1"}, usual_s or {})
    return move_counting.MoveRecorder(actor, moving, clock, None, "move")


@given("the attempts are counted for a move to the version in use")
def count_attempts(context):
    make_recorder(context, context.clock).observe(context.dispatcher)


def describe(count):
    kinds = {None: "timed", True: "ok", False: "bad"}
    return f"{count.route} {count.version} {kinds[count.is_ok]}"


@then("the attempts count as: {expected}")
def check_counts(context, expected):
    found = ", ".join(map(describe, context.counts))
    assert found == expected, found


@when("the caller of a stream leaves after its first event")
def leave_stream(context):
    now_s = context.clock.now_s()
    request = requests.make_request(
        catalogue.RequestKind.STREAM, arrived_s=now_s, deadline_s=now_s + 9.0
    )
    forwarding = context.forwarder.forward(request)
    next(forwarding.iterate())
    forwarding.close()


@given("the attempts are counted, with a usual time of {usual_s:g} s")
def count_with_usual_time(context, usual_s):
    context.clock = clocks.ManualClock()
    context.counting = make_recorder(context, context.clock, {"s": usual_s})


@when("an attempt waits for {seconds:g} s")
def wait_for_answer(context, seconds):
    work = types.SimpleNamespace(started_at_s=context.clock.now_s())
    context.route = types.SimpleNamespace(
        service="s", version="v1", request_class="route", work=work
    )
    context.counting.record_begin(context.route)
    context.clock.advance(seconds)
    context.counting.count_overdue()
    context.counting.count_overdue()


@then("it has counted with {text}")
def check_overdue(context, text):
    found = [f"{round(each.latency_s, 3):g} s" for each in context.counts]
    assert found == ([] if text == "no time" else [text]), found


@when("a peer sends malformed counters, verdicts and records")
def send_malformed_messages(context):
    context.fleet.run(1.0)
    for each in context.fleet.list_running():
        each.peers.handlers[move_counting.TOPIC](b"\xff\x00")
        for topic in (facts.Topic.VERDICT, facts.Topic.MOVE):
            fact = facts.Fact(topic, "s", 10**9, b"x\n" + b"[" * 100_000)
            each.peers.subscribers[topic.value](fact)
