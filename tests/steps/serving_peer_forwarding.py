from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from mulberryhollow.state import catalogue
from tests import rate_fleet

SEEDS = (1, 2)


@given("{members:d} instances before {count:d} endpoints")
def make_fleets(context, members, count):
    context.fleets = [
        rate_fleet.RateFleet(members, count, seed) for seed in SEEDS
    ]


@when("{count:d} instances lose all endpoints, whose connections are {kind}")
def lose_paths(context, count, kind):
    for fleet in context.fleets:
        fleet.lose_paths(count, kind)


@given("the requests may be served in region {region} only")
def restrict_regions(context, region):
    for fleet in context.fleets:
        fleet.allowed_regions = frozenset((region,))


@given("one of the instances has an older build")
def keep_older_build(context):
    for fleet in context.fleets:
        fleet.level = 0


@then("only peers and endpoints of region {region} have received a request")
def check_receivers(context, region):
    for fleet in context.fleets:
        assert fleet.receivers == {region}, fleet.receivers


@then("all requests are refused at once as not run, naming {region}")
def check_region_named(context, region):
    for fleet in context.fleets:
        assert fleet.refusals and not fleet.served
        assert not fleet.receivers, fleet.receivers
        for _, _, refusal in fleet.refusals:
            assert refusal.ran is errors.ExecutionStatus.NOT_RUN, refusal
            assert refusal.retry_after_s > 0, refusal
            assert f"({region})" in refusal.message, refusal


@given("callers that allow each repeatable request {allowed_s:g} seconds")
def allow(context, allowed_s):
    for fleet in context.fleets:
        fleet.kind = catalogue.RequestKind.IDEMPOTENT
        fleet.allowed_s = allowed_s
        fleet.request_fields = {"max_endpoints": 1, "goal_s": 0.418}


@when("{count:d} instances silently lose {endpoint_count:d} of the endpoints")
def lose_some_paths(context, count, endpoint_count):
    for fleet in context.fleets:
        fleet.lose_paths(count, "silent", endpoint_count)


@then("no request has run twice")
def check_run_once(context):
    for fleet in context.fleets:
        assert set(fleet.runs.values()) == {1}, fleet.runs.most_common(2)


@when("{count:d} requests of each instance are answered too late")
def send_late(context, count):
    for fleet in context.fleets:
        fleet.send_late(count)


@when("the endpoints break off {fraction:g} of their answers")
def break_off(context, fraction):
    for fleet in context.fleets:
        fleet.broken_fraction = fraction


@when("all endpoints fail requests of kind {kind}")
def fail(context, kind):
    for fleet in context.fleets:
        fleet.status = 500
        fleet.kind = catalogue.RequestKind[kind]
        fleet.runs.clear()


@then("no request runs on more than {count:d} endpoints")
def check_runs(context, count):
    for fleet in context.fleets:
        assert fleet.runs
        assert max(fleet.runs.values()) <= count, fleet.runs.most_common(3)


@when("all paths to the endpoints are back")
def restore_paths(context):
    for fleet in context.fleets:
        fleet.lost_paths.clear()


@when("the count of answers begins anew")
def restart_count(context):
    for fleet in context.fleets:
        fleet.served_at.clear()
        fleet.refused_at.clear()
        fleet.refusals.clear()
        fleet.peer_requests = 0


def get_served_fraction(fleet, names):
    served = sum(fleet.served_at[name] for name in names)
    return served / (served + sum(fleet.refused_at[name] for name in names))


@then(
    "the instances that are cut off serve at least {fraction:g} of their "
    "requests"
)
def check_cut_off(context, fraction):
    for fleet in context.fleets:
        found = get_served_fraction(fleet, fleet.lost_paths)
        assert found >= fraction, found


@then("the others serve all of theirs")
def check_others(context):
    for fleet in context.fleets:
        others = fleet.instances.keys() - fleet.lost_paths.keys()
        assert get_served_fraction(fleet, others) == 1.0, fleet.refusals[:3]


@then("only the instances that are cut off use peers")
def check_lost(context):
    for fleet in context.fleets:
        lost = {
            name
            for name, instance in fleet.instances.items()
            if instance.peers.is_lost("s")
        }
        assert lost == fleet.lost_paths.keys(), lost


@then("no request is sent to a peer")
def check_no_peer(context):
    assert [fleet.peer_requests for fleet in context.fleets] == [0, 0]


@then("all instances serve all of their requests")
def check_all_served(context):
    for fleet in context.fleets:
        assert not fleet.refusals, fleet.refusals[:3]
        assert len(fleet.served_at) == len(fleet.instances)


@then(
    "all requests are refused as not run, each after {count:d} peers or fewer"
)
def check_all_refused(context, count):
    for fleet in context.fleets:
        assert not fleet.served_at, fleet.served_at
        ran = {refusal.ran for _, _, refusal in fleet.refusals}
        assert ran == {errors.ExecutionStatus.NOT_RUN}, ran
        assert fleet.peer_requests <= count * len(fleet.refusals)
