import contextlib
import itertools
import threading
import time

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from standins import scripted
from tests import requests
from tests import scripted_streams as streams

GAP_GOAL_S = 0.1
TIME_S = 1.5
LEAVES_S = 0.9
PROMPT_TOKENS = 50_000


def make_chunks(*numbers):
    return b"".join(streams.chunk(streams.event(each)) for each in numbers)


def send_events(numbers):
    """Return the steps of an endpoint that sends an event each 0.05 s."""
    return [step for each in numbers for step in (0.05, make_chunks(each))]


COMMENT = streams.chunk(b": keep\n\n")
FIRST_TWO = streams.CHUNKED + make_chunks(1, 2)
SCRIPTS = {
    "is silent for good after 2": [FIRST_TWO, "hang"],
    "is silent for good": ["hang"],
    "hangs after its head": [streams.CHUNKED, "hang"],
    "sends only comments": [
        streams.CHUNKED,
        *itertools.chain(*itertools.repeat((0.05, COMMENT), 40)),
    ],
    "pauses shortly before the end": [
        FIRST_TWO,
        *send_events(range(3, 30)),
        "hang",
    ],
    "sends only comments after 2": [
        FIRST_TWO,
        *[0.2, streams.chunk(b": wait\n\n")] * 10,
    ],
    "goes on without an end": [FIRST_TWO, *send_events(range(3, 60))],
    "pauses for long and ends": [FIRST_TWO, 0.9, make_chunks(3), streams.END],
}


@given("an endpoint that has failed twice")
def set_failures(context):
    def prepare(actor, now_s):
        for _ in range(2):
            actor.view.record_failure(
                "e0", endpoints.FailureKind.CONNECT_FAILED, now_s
            )
        context.credit = actor.retries.budget.credit - 1.0
        actor.retries.budget.spend()

    context.prepare = prepare


@given("an endpoint whose circuit is half open")
def open_half(context):
    def prepare(actor, now_s):
        for _ in range(3):
            actor.view.record_failure(
                "e0", endpoints.FailureKind.CONNECT_FAILED, now_s - 60.0
            )
        actor.view.advance(now_s)
        state = actor.view.get("e0").circuit.state
        assert state is endpoints.CircuitState.HALF_OPEN, state

    context.prepare = prepare


@given("a forwarded stream whose endpoint {behaviour}")
def set_stream(context, behaviour):
    context.kind = catalogue.RequestKind.RESUMABLE_STREAM
    context.count = 1
    context.script = SCRIPTS[behaviour]
    context.gap_goal_s = GAP_GOAL_S


@given("a forwarded stream without a gap goal whose endpoint {behaviour}")
def set_stream_without_goal(context, behaviour):
    set_stream(context, behaviour)
    context.gap_goal_s = 0.0


@given("a request that may not run twice, which fails with a 500")
def set_failing(context):
    context.kind = catalogue.RequestKind.NON_IDEMPOTENT
    context.count = 1
    context.script = streams.make_sized(500, b"failed")
    context.gap_goal_s = GAP_GOAL_S


@given("another endpoint that answers too late")
def add_endpoint(context):
    context.count = 2
    context.prepare = lambda actor, now_s: None


@given("another endpoint, but no retry to ask it")
def add_endpoint_without_retry(context):
    context.count = 2

    def prepare(actor, now_s):
        while actor.shared_retries.spend("s", now_s):
            pass

    context.prepare = prepare


def forward(context, left, pause_s=0.0):
    """Forward a request to its end, or until its caller leaves.

    The caller pauses for some time after the first events.
    """
    endpoint = scripted.ScriptedEndpoint([context.script, ["hang"]])
    context.add_cleanup(endpoint.close)
    clock, instance = streams.start_instance(
        context, endpoint.address, count=context.count
    )
    dependencies = instance._dependencies
    dependencies.watch.start()
    context.add_cleanup(dependencies.watch.stop)
    context.dispatcher = dependencies.dispatcher
    context.dispatcher.read(context.prepare)
    context.routes = []
    context.dispatcher.on_attempt_begin = context.routes.append
    now_s = clock.now_s()
    request = requests.make_request(
        context.kind,
        arrived_s=now_s,
        deadline_s=now_s + TIME_S,
        goal_s=GAP_GOAL_S,
        gap_goal_s=context.gap_goal_s,
        chain=routing.PromptChain(tokens=PROMPT_TOKENS),
    )
    with (
        contextlib.suppress(errors.MulberryError),
        contextlib.closing(
            instance.forward(request, left.is_set)
        ) as forwarding,
    ):
        if forwarding.body is None:
            for number, _ in enumerate(forwarding.iterate()):
                time.sleep(0.0 if number else pause_s)


@when("its deadline passes")
@when("it is complete")
def forward_to_end(context):
    forward(context, threading.Event())


@when("its deadline passes before a slow caller has read it")
def forward_slowly(context):
    forward(context, threading.Event(), TIME_S)


@when("its caller leaves")
@when("its caller leaves after {time_s:g} s")
def forward_until_left(context, time_s=LEAVES_S):
    left = threading.Event()
    timer = threading.Timer(time_s, left.set)
    timer.start()
    context.add_cleanup(timer.cancel)
    forward(context, left)


@then("the endpoint has {count:d} failures in a row")
def check_failures(context, count):
    found = context.dispatcher.read(
        lambda actor, now_s: actor.view.get("e0").circuit.failures
    )
    assert found == count, found


@then("the circuit of the endpoint is {state}")
def check_circuit(context, state):
    found = context.dispatcher.read(
        lambda actor, now_s: actor.view.get("e0").circuit.state
    )
    assert found is endpoints.CircuitState(state), found


@then("it admits a request")
def check_admits(context):
    assert context.dispatcher.read(
        lambda actor, now_s: actor.view.get("e0").circuit.admits_work()
    )


@then("the retry budget has the credit of {count:d} successes")
def check_credit(context, count):
    found = context.dispatcher.read(
        lambda actor, now_s: actor.retries.budget.credit
    )
    assert abs(found - context.credit - 0.1 * count) < 0.01, found


@then("the other endpoint is expected to be {state}")
def check_busy(context, state):
    first = context.routes[0].endpoint_id
    other = "e1" if first == "e0" else "e0"
    end_s, now_s = context.dispatcher.read(
        lambda actor, now_s: (actor.view.get(other).busy_until_s, now_s)
    )
    assert (end_s > now_s) == (state == "busy"), end_s - now_s
