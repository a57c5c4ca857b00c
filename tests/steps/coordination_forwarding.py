import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import forwarding
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.state import catalogue
from tests import requests

FAULTS = {
    "Broken": streams.Broken("reset"),
    "Silent": streams.Silent(1.0),
    "Refused": streams.RefusedByEndpoint("full"),
    "NotSent": streams.NotSent("no connection"),
}


@given("a {kind} request for at most {endpoints:d} endpoints")
def make_forwarded(context, kind, endpoints):
    context.request = requests.make_request(
        catalogue.RequestKind[kind], max_endpoints=endpoints
    )
    context.attempts = forwarding.Attempts()


def end_attempt(context, name, now_s=1.0):
    """Decide on an attempt that ends with a fault."""
    fault = FAULTS[name]
    context.attempts.record(fault)
    context.decision = forwarding.decide_next(
        context.request, context.attempts, fault, now_s, 1.0
    )


@when("an attempt ends with {name} after its deadline")
def end_late(context, name):
    end_attempt(context, name, 10.5)


@when("an attempt ends with {name}")
def end_one(context, name):
    end_attempt(context, name)


@when("{count:d} attempts end with {name}")
def end_many(context, count, name):
    for _ in range(count):
        end_attempt(context, name)


@then("the request is given up as outcome unknown")
def check_unknown(context):
    refusal = context.decision.refusal
    assert refusal.ran is errors.ExecutionStatus.UNKNOWN, refusal
    assert refusal.retry_after_s is None


@then("the request is given up as not run")
def check_not_run(context):
    assert context.decision.refusal.ran is errors.ExecutionStatus.NOT_RUN


@then("the request is given up as not run, with a retry time within its goal")
def check_retry_time(context):
    refusal = context.decision.refusal
    assert refusal.ran is errors.ExecutionStatus.NOT_RUN, refusal
    assert 0 < refusal.retry_after_s < context.request.goal_s


@then("the request goes on and draws on the budget")
def check_draws(context):
    assert context.decision == forwarding.TryNextEndpoint(draws_budget=True)


@then("the request goes on for free")
def check_free(context):
    assert context.decision == forwarding.TryNextEndpoint(draws_budget=False)


@then("its head timeout is {head:g} s and its event timeout {event:g} s")
def check_timeouts(context, head, event):
    found = (
        forwarding.get_head_timeout_s(context.request, 0, 0.0),
        forwarding.get_event_timeout_s(context.request, 0, 0.0),
    )
    assert [round(each, 6) for each in found] == [head, event], found


@when("{count:d} connections in a row are not opened within {allowed_s:g} s")
def fail_to_connect(context, count, allowed_s):
    request = attrs.evolve(context.request, deadline_s=allowed_s)
    now_s = 0.0
    for _ in range(count):
        now_s += forwarding.get_connect_limit_s(request, now_s)
    context.left_s = allowed_s - now_s


@then("at least {left_s:g} s of its time are left")
def check_left(context, left_s):
    assert context.left_s >= left_s, context.left_s


@then("at most {left_s:g} s of its time are left")
def check_used(context, left_s):
    assert context.left_s <= left_s + 1e-9, context.left_s


@when("others have been asked in vain in {rounds:d} rounds")
def ask_in_vain(context, rounds):
    context.request = attrs.evolve(context.request, deadline_s=1e6)
    context.rounds = rounds


@then("the timeouts are {factor:g} times the first")
def check_factor(context, factor):
    for get_timeout_s in (
        forwarding.get_head_timeout_s,
        forwarding.get_event_timeout_s,
    ):
        first_s = get_timeout_s(context.request, 0, 0.0)
        found_s = get_timeout_s(context.request, 0, 0.0, rounds=context.rounds)
        assert found_s == factor * first_s, (found_s, first_s)
