from behave import given
from behave import then
from behave import when

from mulberryhollow import clock


@given("a manual clock")
def make_clock(context):
    context.clock = clock.ManualClock()
    context.start_s = context.clock.now_s()


@when("the manual clock is advanced by {by_s:g} seconds")
def advance_clock(context, by_s):
    context.clock.advance(by_s)


@then("the manual clock has moved by {by_s:g} seconds")
def check_clock(context, by_s):
    assert context.clock.now_s() - context.start_s == by_s
