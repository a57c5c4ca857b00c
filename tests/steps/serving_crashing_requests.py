import time

from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from tests.steps import serving_crashing_parts as parts

TEXT = "the same"
WAIT_S = 2.0


@when("the same request arrives at instance {number:d}")
def send_same(context, number):
    answer = parts.send(context, context.instances[number], ["first"], TEXT)
    assert answer == parts.EVENT, answer


@when(
    "{count:d} endpoints crash while each has the same request of instance "
    "{number:d}"
)
def crash_endpoints(context, count, number):
    context.parts_fleet.failing = count
    for _ in range(count):
        parts.send(context, context.instances[number], ["first"], TEXT)


@given("the same request is under way at instance {number:d}")
def begin_same(context, number):
    instance = context.instances[number]
    context.under_way = parts.begin(context, instance, ["first"], TEXT)


@when("the answer that is under way ends")
def end_answer(context):
    assert b"".join(context.under_way.iterate()) == parts.EVENT
    context.under_way.close()


@then("the same request is served at each instance")
def check_served(context):
    for each in context.instances:
        end_s = time.monotonic() + WAIT_S
        # Completions are told to the peers by other threads.
        while True:
            answer = parts.send(context, each, ["first"], TEXT)
            if answer == parts.EVENT or time.monotonic() > end_s:
                break
            time.sleep(0.01)
        assert answer == parts.EVENT, answer


@when('a request with the part "{part}" arrives three times at each instance')
def send_deadly(context, part):
    for _ in range(3):
        for each in context.instances:
            answer = parts.send(context, each, [part], TEXT)
            assert isinstance(answer, errors.Refusal), answer
