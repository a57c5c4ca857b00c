import collections
import itertools

from behave import given
from behave import then
from behave import when

from mulberryhollow.state import catalogue
from tests import rate_fleet

SEEDS = (1, 2, 3)
LARGE_FLEET = 100
LARGE_FLEET_SEEDS = (1,)
KINDS = {
    "model": catalogue.RequestKind.STREAM,
    "plain": catalogue.RequestKind.NON_IDEMPOTENT,
}


@given(
    "{members:d} instances before {count:d} endpoints that take {rate:g} "
    "requests a second while cold"
)
def make_fleets(context, members, count, rate):
    context.fleets = [
        rate_fleet.RateFleet(members, count, seed, cold_per_s=rate)
        for seed in (LARGE_FLEET_SEEDS if members >= LARGE_FLEET else SEEDS)
    ]


@given("the service of the cold endpoints is {kind}")
def set_kind(context, kind):
    for fleet in context.fleets:
        fleet.kind = KINDS[kind]


@given("{count:d} of the cold endpoints name {rate:g} requests a second")
def name_rate(context, count, rate):
    context.rate = rate
    for fleet in context.fleets:
        for endpoint in itertools.islice(fleet.endpoints.values(), count):
            endpoint.rate = rate


@when(
    "{load:g} requests a second arrive for {duration_s:g} seconds before "
    "endpoints are cold"
)
@when(
    "{load:g} requests a second arrive for {duration_s:g} seconds at the cold "
    "endpoints"
)
def run(context, load, duration_s):
    for fleet in context.fleets:
        fleet.run(duration_s, load)


@when("{count:d} endpoints become cold for {cold_s:g} seconds")
def chill(context, count, cold_s):
    for fleet in context.fleets:
        fleet.refusals.clear()
        fleet.served.clear()
        fleet.chill(list(fleet.endpoints)[:count], cold_s)


@when(
    "{count:d} endpoints are replaced by ones that are cold for {cold_s:g} "
    "seconds"
)
def replace(context, count, cold_s):
    for fleet in context.fleets:
        fleet.replace_endpoints(list(fleet.endpoints)[:count], cold_s)


EVENTS = {
    "killed": "kill_owner",
    "frozen for 1.5 seconds": "freeze_owner",
    "replaced by a joining instance": "replace_owner",
}


def change_owners(context, text):
    for fleet in context.fleets:
        getattr(fleet, EVENTS[text])()


for each in EVENTS:
    when(f"the owner of a cold endpoint is {each}")(
        lambda context, text=each: change_owners(context, text)
    )


@then("no cold endpoint gets more in any second than it may")
def check_worst(context):
    for fleet in context.fleets:
        worst = [rate_fleet.count_worst_cold(e) for e in fleet.list_cold()]
        assert max(worst) <= fleet.allow_cold(), worst


@then("at least {fraction:g} of the rate of cold endpoints is used")
def check_used(context, fraction):
    for fleet in context.fleets:
        used = [
            rate_fleet.count_cold_use(
                endpoint, fleet.cold_per_s, fleet.clock.now_s()
            )
            for endpoint in fleet.list_cold()
        ]
        assert min(used) >= fraction, used


@then(
    'at least {fraction:g} of the requests of account "{name}" are served '
    "while it is cold"
)
def check_account(context, fraction, name):
    for fleet in context.fleets:
        served = collections.Counter(account for _, account in fleet.served)
        refused = collections.Counter(each for _, each, _ in fleet.refusals)
        part = served[name] / (served[name] + refused[name])
        assert part >= fraction, (served, refused)


@then("no permit was asked for")
def check_no_calls(context):
    assert not any(fleet.calls for fleet in context.fleets)
