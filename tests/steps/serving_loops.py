import threading

from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from mulberryhollow.serving import pollers


class SteppingClock:
    """Clock whose waits pass at once, up to a time."""

    def __init__(self):
        self.time_s = 0.0
        self.end_s = 0.0
        self.is_over = threading.Event()

    def now_s(self):
        return self.time_s

    def wait(self, event, timeout_s):
        if self.time_s + timeout_s > self.end_s:
            self.is_over.set()
            return event.wait()
        self.time_s += timeout_s
        return event.is_set()


@given("a loop of {interval_s:g} seconds that backs off to {max_s:g} seconds")
def make_loop(context, interval_s, max_s):
    context.outcome = None
    context.call_s = 0.0
    clock = SteppingClock()

    def call():
        clock.time_s += context.call_s
        if isinstance(context.outcome, Exception):
            raise context.outcome
        return context.outcome

    context.loop = pollers.Loop("test", clock, interval_s, call, max_s)


@when("its call fails {count:d} times")
def fail_calls(context, count):
    context.outcome = errors.StoreUnavailableError("down", "wait")
    context.waits_s = [context.loop.call_once() for _ in range(count)]


@when("its call fails {count:d} times after {call_s:g} seconds each")
def fail_slow_calls(context, count, call_s):
    context.call_s = call_s
    fail_calls(context, count)


@when("its call succeeds")
def succeed(context):
    context.outcome = None
    context.waits_s = [context.loop.call_once()]


@when("its call returns {wait_s:g}")
def return_wait(context, wait_s):
    context.outcome = wait_s
    context.waits_s = [context.loop.call_once()]


@then("the waits are at most {limits} seconds")
def check_max_waits(context, limits):
    context.limits_s = [float(each) for each in limits.split(", ")]
    pairs = zip(context.waits_s, context.limits_s, strict=True)
    assert all(wait <= limit for wait, limit in pairs), context.waits_s


@then("no wait is below three quarters of that")
def check_min_waits(context):
    pairs = zip(context.waits_s, context.limits_s, strict=True)
    assert all(wait >= 0.75 * limit for wait, limit in pairs), context.waits_s


@then("the wait is {wait_s:g} seconds")
def check_wait(context, wait_s):
    assert context.waits_s == [wait_s], context.waits_s


@given("a thread that shares loops of {first_s:g} and {second_s:g} seconds")
def make_shared_loop(context, first_s, second_s):
    context.clock = SteppingClock()
    context.counts = [0, 0]
    context.error = None

    def call(index):
        context.counts[index] += 1
        if index and context.error:
            raise context.error

    loops = [
        pollers.Loop(
            str(index), context.clock, interval_s, lambda i=index: call(i)
        )
        for index, interval_s in enumerate((first_s, second_s))
    ]
    context.shared_loop = pollers.SharedLoop("test", context.clock, loops)
    context.add_cleanup(context.shared_loop.stop)


@given("the call of the second loop raises an exception")
def set_error(context):
    context.error = RuntimeError("failed on purpose")


@when("{seconds:g} seconds pass at the loops")
def pass_time(context, seconds):
    context.clock.end_s = seconds
    context.shared_loop.start()
    assert context.clock.is_over.wait(5.0)


@then(
    "the first was called {low:d} to {high:d} times and the second "
    "{second_low:d} to {second_high:d} times"
)
def check_counts(context, low, high, second_low, second_high):
    first, second = context.counts
    assert low <= first <= high, context.counts
    assert second_low <= second <= second_high, context.counts
