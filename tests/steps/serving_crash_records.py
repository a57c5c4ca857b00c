import itertools

from behave import given
from behave import then
from behave import when

from tests import crash_fleet

RESEND_S = 6.0
REPEATS = 40
CALM_S = 4.0


@given(
    "{count:d} instances before {endpoints:d} endpoints that each have "
    "{others:d} long answers"
)
def make_fleet(context, count, endpoints, others):
    context.crash_fleet = crash_fleet.CrashFleet(count, endpoints, others)


@given("the endpoints tell no load")
def hide_load(context):
    context.crash_fleet.tells_load = False


@when(
    "a request comes every 6 s at the next instance and crashes its endpoint "
    "{when_}"
)
def send_deadly(context, when_):
    fleet = context.crash_fleet
    instances = itertools.cycle(range(len(fleet.records)))
    is_answering = when_ == "in the middle of its answer"
    for number in range(1, REPEATS + 1):
        fleet.run_until(number * RESEND_S)
        fleet.send_deadly(next(instances), is_answering)


@then("it has crashed at most {count:d} endpoints")
def check_crashes(context, count):
    assert context.crash_fleet.crashes <= count, context.crash_fleet.crashes


@then("at most 1 in 100 of the other requests at a crash is refused")
def check_others(context):
    fleet = context.crash_fleet
    refused = fleet.count_refused()
    assert refused <= 0.01 * len(fleet.at_crash), (
        refused,
        len(fleet.at_crash),
    )


@when(
    "{rate:d} equal look-ups a second come and {failing:d} endpoints at a "
    "time crash {times:d} times"
)
def send_look_ups(context, rate, failing, times):
    fleet = context.crash_fleet
    crash_s = [CALM_S + number * RESEND_S for number in range(times)]
    context.accepted = []
    for number in range(int(rate * (crash_s[-1] + RESEND_S))):
        fleet.run_until(number / rate)
        while crash_s and crash_s[0] <= fleet.now_s:
            crash_s.pop(0)
            for endpoint in fleet.list_up()[:failing]:
                fleet.crash(endpoint)
        context.accepted.append(fleet.look_up())


@then("at least 99 in 100 look-ups are accepted")
def check_accepted(context):
    accepted = context.accepted
    assert sum(accepted) >= 0.99 * len(accepted), (
        sum(accepted),
        len(accepted),
    )
