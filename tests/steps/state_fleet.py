import math

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from mulberryhollow.state import fleet


@given("a catalogue with routes at h/a/, h/a/b/ and g/a/")
def make_catalogue(context):
    routes = tuple(
        catalogue.Route(
            name=f"{host}{prefix}",
            host=host,
            path_prefix=prefix,
            kind=catalogue.RequestKind.IDEMPOTENT,
            shares=(catalogue.ServiceShare("s", 1.0),),
            timeout_s=1.0,
            goal_s=0.1,
        )
        for host, prefix in (("h", "/a/"), ("h", "/a/b/"), ("g", "/a/"))
    )
    context.catalogue = catalogue.Catalogue(1, routes, {})


@then("a request for {host} {path} goes to {name}")
def check_route(context, host, path, name):
    found = context.catalogue.find_route(host, path)
    assert (found.name if found else "none") == name, found


def make_listing(name, started_ms=1, is_leaving=False):
    return fleet.EndpointListing(
        name, started_ms, "s", "h:1", "d", "v1", 4, is_leaving
    )


@given("a fleet with endpoints e1 and e2")
def make_fleet(context):
    context.fleet = fleet.Fleet()
    context.now_s = 100.0
    listed = {name: make_listing(name) for name in ("e1", "e2")}
    context.fleet.replace(listed, context.now_s)


@when("the entry of {name} is removed")
def remove_entry(context, name):
    context.fleet.remove(name, context.now_s)


@when("the store recovers from an outage")
def recover_store(context):
    context.fleet.record_recovery(context.now_s, math.inf)


@when("a list without {name} is read")
def read_list(context, name):
    listed = {
        each.identity: each
        for each in context.fleet.list_listings()
        if each.identity != name
    }
    context.fleet.replace(listed, context.now_s)


@when("{seconds:g} seconds go by and {name} is listed again")
def list_again(context, seconds, name):
    context.now_s += seconds
    context.fleet.put(name, make_listing(name))


@when("{seconds:g} seconds go by")
def pass_time(context, seconds):
    context.now_s += seconds
    context.fleet.expire(context.now_s)


@when("the entry of {name} becomes unreadable")
def make_unreadable(context, name):
    context.fleet.put(name, None)


@then("the fleet has {names}")
def check_fleet(context, names):
    found = sorted(e.identity for e in context.fleet.list_listings())
    assert found == names.split(" and "), found


@when("e1 is leaving and starts again under the same identity")
def restart_endpoint(context):
    context.view = endpoints.EndpointView()
    for listing in (
        make_listing("e1", 1, is_leaving=True),
        make_listing("e1", 2),
        make_listing("e1", 2),
    ):
        context.fleet.put("e1", listing)
        found = [e.to_endpoint() for e in context.fleet.list_listings()]
        context.view.apply_list(found, context.now_s)


@then("the new e1 accepts work and the former one does not")
def check_restarted(context):
    group = context.view.get_group("s", "v1")
    available = [record.endpoint.id for record in group]
    assert "e1.2" in available and "e1.1" not in available, available


def observe_cold(context, name, cold_s):
    listing = attrs.evolve(make_listing(name), cold_left_s=cold_s)
    found = context.fleet.observe_cold(listing, context.now_s)
    return found, context.fleet.list_cold().get(listing.key)


@then(
    "an entry of {name} with {cold_s:g} seconds cold makes it cold until "
    "{until_s:g}"
)
def check_becomes_cold(context, name, cold_s, until_s):
    assert observe_cold(context, name, cold_s) == (True, until_s)


@then(
    "an entry of {name} with {cold_s:g} seconds cold changes nothing until "
    "{until_s:g}"
)
def check_stays_cold(context, name, cold_s, until_s):
    assert observe_cold(context, name, cold_s) == (None, until_s)


@then("an entry of {name} with 0 seconds cold makes it warm")
def check_becomes_warm(context, name):
    assert observe_cold(context, name, 0.0) == (False, None)


@then("{name} has warmed up, which is told once")
def check_warmed(context, name):
    assert context.fleet.list_warmed(context.now_s) == [f"{name}.1"]
    assert context.fleet.list_warmed(context.now_s) == []


def _make_ranked_route(number, service, priority, goal_s):
    return catalogue.Route(
        name=f"r{number}",
        host="h",
        path_prefix=f"/{number}/",
        kind=catalogue.RequestKind.STREAM,
        shares=(catalogue.ServiceShare(service, 1.0),),
        timeout_s=10.0,
        goal_s=goal_s,
        priority=priority,
    )


@given(
    "a catalogue whose service s has a route of rank {rank:d} with a goal of "
    "{goal_s:g} s"
)
def make_ranked_route(context, rank, goal_s):
    context.routes = [_make_ranked_route(0, "s", rank, goal_s)]


@given(
    "a route to service {name} of rank {rank:d} with a goal of {goal_s:g} s"
)
def add_ranked_route(context, name, rank, goal_s):
    context.routes.append(_make_ranked_route(1, name, rank, goal_s))


@then("requests are ordered by urgency: {ordered}")
def check_ordered(context, ordered):
    found = catalogue.Catalogue(1, tuple(context.routes), {})
    assert found.has_patient_routes is (ordered == "yes")
