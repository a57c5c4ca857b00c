import collections
import itertools

from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from tests import rate_fleet

SEEDS = (1, 2, 3)
LARGE_FLEET = 100
LARGE_FLEET_SEEDS = (1,)


@given(
    "{members:d} instances before {count:d} endpoints, of which {limited:d} "
    "name {rate:g} requests a second"
)
def make_fleets(context, members, count, limited, rate):
    context.rate = rate
    context.fleets = [
        rate_fleet.RateFleet(members, count, seed)
        for seed in (LARGE_FLEET_SEEDS if members >= LARGE_FLEET else SEEDS)
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


EVENTS = {
    "the owner of a limited endpoint is killed": "kill_owner",
    "the owner of a limited endpoint is cut off": "isolate_owner",
    "half of the instances are cut off": "cut_half",
    "no instance reaches another": "isolate_all",
    "the members double in a second": "double",
    "the cut heals": "heal",
    "the named rates are halved": "halve_limits",
    "the endpoints name no rate any more": "end_limits",
}


def change_all(context, text):
    for fleet in context.fleets:
        getattr(fleet, EVENTS[text])()


for each in EVENTS:
    when(each)(lambda context, text=each: change_all(context, text))


@when("the count of requests begins anew")
def restart_count(context):
    for fleet in context.fleets:
        for endpoint in fleet.endpoints.values():
            endpoint.arrivals.clear()


@when(
    "{load:g} requests a second arrive for {duration_s:g} seconds, "
    'nine in ten of account "a"'
)
def run_accounts(context, load, duration_s):
    for fleet in context.fleets:
        fleet.run(duration_s, load, ("a", "b"), (9, 1))


@then("at least {fraction:g} of the named rates is used")
def check_used(context, fraction):
    for fleet in context.fleets:
        since_s = fleet.start_s + 5.0
        until_s = fleet.clock.now_s()
        for endpoint in fleet.endpoints.values():
            if endpoint.rate is None:
                continue
            count = sum(at_s >= since_s for at_s, _ in endpoint.arrivals)
            used = count / (endpoint.rate * (until_s - since_s))
            assert used >= fraction, used


@then("each endpoint gets at least half of its equal share")
def check_shares(context):
    for fleet in context.fleets:
        counts = [len(each.arrivals) for each in fleet.endpoints.values()]
        assert min(counts) >= 0.5 * sum(counts) / len(counts), counts


@then(
    "the others are refused as not run, to return in {least_s:g} to "
    "{most_s:g} seconds"
)
def check_refusals(context, least_s, most_s):
    for fleet in context.fleets:
        assert fleet.refusals
        for _, _, refusal in fleet.refusals:
            assert refusal.ran is errors.ExecutionStatus.NOT_RUN
            assert least_s <= refusal.retry_after_s <= most_s, refusal


@then('account "b" gets at least {fraction:g} of its equal share')
def check_account(context, fraction):
    for fleet in context.fleets:
        counts = collections.Counter(account for _, account in fleet.served)
        equal = 0.5 * sum(counts.values())
        assert counts["b"] >= fraction * equal, counts
