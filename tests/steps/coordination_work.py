from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import work

NOW_S = 100.0


def make_features(**fields):
    return work.RequestFeatures("s", "r", "a", prompt_tokens=600, **fields)


def observe(context, count, events):
    features = make_features(hinted_output_tokens=events)
    for _ in range(count):
        served = work.Served(features, 0.05, 0.01, events, 0.5)
        context.estimator.observe("e1", served, 1.0, NOW_S)


@given("a work estimator that has seen {count:d} answers of {events:d} events")
def make_estimator(context, count, events):
    context.estimator = work.WorkEstimator()
    observe(context, count, events)


@when("the work estimator sees {count:d} answers of {events:d} events")
def see_answers(context, count, events):
    observe(context, count, events)


def check_events(context, low, high, **fields):
    found, quantile = context.estimator.estimate_events(
        make_features(**fields)
    )
    assert low <= found <= high and found <= quantile, (found, quantile)


@then("a request is expected to have {low:d} to {high:d} events")
def check_expected(context, low, high):
    check_events(context, low, high)


@then(
    "a request of at most {tokens:d} tokens is expected to have {low:d} to "
    "{high:d} events"
)
def check_maximum(context, tokens, low, high):
    check_events(context, low, high, max_output_tokens=tokens)


@then(
    "a request with the hint {hint:d} is expected to have {low:d} to {high:d} "
    "events"
)
def check_hint(context, hint, low, high):
    check_events(context, low, high, hinted_output_tokens=hint)


@given(
    "two speed tables that saw endpoint {name} take {first:g} and {second:g} "
    "times as long"
)
def make_speed_tables(context, name, first, second):
    context.tables = work.SpeedTable(), work.SpeedTable()
    for table, ratio in zip(context.tables, (first, second), strict=True):
        for _ in range(20):
            table.observe(name, ratio, NOW_S)
    context.tables[0].set_remote(context.tables[1].list_sums(NOW_S))


@then("together they find {name} to take {low:g} to {high:g} times as long")
def check_slowness(context, name, low, high):
    found, _ = context.tables[0].estimate(name, 1.0, NOW_S)
    assert low <= found <= high, found


@then("they find nothing of a replaced endpoint")
def check_replaced(context):
    table = context.tables[0]
    assert table.estimate("e1 later", 1.0, NOW_S)[0] == 1.0
    table.keep({"e1 later"})
    assert not table.list_sums(NOW_S)


@then("{seconds:d} seconds later {name} is taken for an average endpoint")
def check_forgotten(context, seconds, name):
    table = context.tables[1]
    found, _ = table.estimate(name, 1.0, NOW_S + seconds)
    assert abs(found - 1.0) < 0.05, found
