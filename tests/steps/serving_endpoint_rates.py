import itertools

from behave import given
from behave import then
from behave import when

from tests import rate_fleet

SEEDS = (1, 2, 3)


@given(
    "{members:d} instances before {count:d} endpoints, of which {limited:d} "
    "name {rate:g} requests a second"
)
def make_fleets(context, members, count, limited, rate):
    context.rate = rate
    context.fleets = [
        rate_fleet.RateFleet(members, count, seed) for seed in SEEDS
    ]
    for fleet in context.fleets:
        for endpoint in itertools.islice(fleet.endpoints.values(), limited):
            endpoint.rate = rate


@when("{load:g} requests a second arrive for {duration_s:g} seconds")
def run(context, load, duration_s):
    for fleet in context.fleets:
        fleet.run(duration_s, load)


@then("no endpoint gets more in 4 seconds than its rate allows")
def check_worst(context):
    allowed = rate_fleet.allow(context.rate)
    worst = [
        fleet.count_worst(endpoint)
        for fleet in context.fleets
        for endpoint in fleet.endpoints.values()
        if endpoint.rate is not None
    ]
    assert max(worst) <= allowed, (worst, allowed)


@then("all requests are served")
def check_served(context):
    assert not any(fleet.refusals for fleet in context.fleets)
    assert all(fleet.served for fleet in context.fleets)
