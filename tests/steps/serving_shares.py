import json
import types

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import routing
from mulberryhollow.platform import records
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import fleet_watcher
from mulberryhollow.serving import shares
from mulberryhollow.serving import version_holds
from mulberryhollow.state import endpoints
from mulberryhollow.state import objects


@given("the shares of a service with the endpoints {counts}")
def make_shares_by_endpoints(context, counts):
    context.version_shares = shares.VersionShares()
    context.version_shares.set_endpoint_counts({"s": json.loads(counts)})


@when("the moves {moves} are known in this order")
def set_moves(context, moves):
    for move in moves.split(", ") if moves != "none" else ():
        old, new, share = move.split()
        context.version_shares.set_move("s", old, new, float(share))


@then("the service's versions have the shares {expected}")
def check_shares_by_endpoints(context, expected):
    found = context.version_shares.get("s")
    rounded = {version: round(share, 9) for version, share in found.items()}
    assert rounded == json.loads(expected), found


@then("the endpoints of {versions} are no room")
def check_unused(context, versions):
    found = context.version_shares.list_unused("s")
    assert found == ({versions} - {"none"}), found


@given(
    "a dispatcher with e1 of v1 and e2 of v2, which has a share of {share:g}"
)
def make_moving_dispatcher(context, share):
    clock = clocks.ManualClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    context.moving = dispatching.Dispatcher(actor, clock)
    listed = [
        endpoints.Endpoint(
            id=f"e{n}", role="endpoint", address=f"h{n}:1", failure_domain="d",
            service="s", version=f"v{n}", slots=8,
        )
        for n in (1, 2)
    ]  # fmt: skip

    def prepare(actor, now_s):
        actor.view.apply_list(listed, now_s)
        actor.shares.set_endpoint_counts({"s": {"v1": 1, "v2": 1}})
        actor.shares.set_move("s", "v1", "v2", share)
        actor.prefixes.insert("e2", CHAIN.hashes)

    context.moving.read(prepare)


CHAIN = routing.PromptChain((11, 12), (400, 800), 900, 2)

REQUEST = routing.RouteRequest(
    request_id="r",
    service="s",
    version_shares={},
    request_class="route",
    deadline_s=1e9,
    idempotent=True,
)

KINDS = {
    "with a prompt cached at e2": {"chain": CHAIN},
    "that another instance sent to e2": {"preferred": "e2"},
}


@when("{count:d} requests {kind} are placed")
def place_moving(context, count, kind):
    requests = [
        attrs.evolve(REQUEST, request_id=f"r{n}", **KINDS.get(kind, {}))
        for n in range(count)
    ]
    if kind == "of peers":
        placed = [context.moving.place(each).chosen for each in requests]
    else:
        placed = [context.moving.choose_endpoint(each) for each in requests]
    context.placed = {each.endpoint_id for each in placed}


@then("all of them are placed at e1")
def check_placed(context):
    assert context.placed == {"e1"}, context.placed


@when("{count:d} requests fail at the endpoint that each was sent to")
def fail_first(context, count):
    context.repeats = []
    for n in range(count):
        request = attrs.evolve(REQUEST, request_id=f"r{n}")
        first = context.moving.choose_endpoint(request)
        if first.endpoint_id == "e2":
            again = context.moving.choose_endpoint(request, {"e2"})
            context.repeats.append(again.endpoint_id)


@then("the repeats of those that failed at e2 are placed at e1")
def check_repeats(context):
    assert context.repeats, "no request was sent to e2"
    assert set(context.repeats) == {"e1"}, context.repeats


def make_item(name, version, revision, is_deleted=False, born=5):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "d",
        "version": version,
        "slots": 4,
        "state": "ready",
        "born": born,
    }
    return objects.StoredObject(
        "servers", name, revision, json.dumps(fields).encode(), "", is_deleted
    )


@given("a fleet watcher that holds back new versions")
def make_usual_watcher(context):
    make_holding_watcher(context, make_item("e1", "v1", 10))


@given("a fleet watcher that starts with e1 of v1 and a younger e2 of v2")
def make_late_watcher(context):
    younger = make_item("e2", "v2", 9, born=7)
    make_holding_watcher(context, younger, make_item("e1", "v1", 10))


def make_holding_watcher(context, *items):
    context.hold_clock = clocks.ManualClock()
    context.holds = version_holds.VersionHolds()
    context.version_shares = shares.VersionShares()
    actor = _Actor(context.version_shares)
    context.holding = fleet_watcher.FleetWatcher(
        records.decode_listing,
        types.SimpleNamespace(change=lambda apply: apply(actor, 0.0)),
        context.hold_clock,
        lambda endpoint_id, is_listed: None,
        context.holds,
    )
    context.holding.handle_list(items, 10)
    context.version_shares.hold_back(context.holds.held)


class _View(list):
    """An empty view of endpoints that ignores what it is told."""

    def __getattr__(self, name):
        return lambda *arguments: None


class _Actor:
    """What the fleet watcher changes in the dispatch actor."""

    def __init__(self, version_shares):
        self.view = _View()
        self.prefixes = None
        self.shares = version_shares


@when("{name} is listed with version {version} at revision {revision:d}")
def list_held(context, name, version, revision):
    context.holding.handle_changes([make_item(name, version, revision)])


def release(context, revision):
    context.holds.release(revision, context.hold_clock.now_s())
    context.version_shares.hold_back(context.holds.held)


@when("the orders are known as of revision {revision:d}")
def know_orders(context, revision):
    release(context, revision)


@when("{seconds:g} seconds pass without the orders")
def pass_without_orders(context, seconds):
    context.hold_clock.advance(seconds)
    release(context, None)


@when("e1 is replaced by e3 of version v2")
def replace_version(context, revision=21):
    context.holding.handle_changes(
        [
            make_item("e1", "v1", revision, is_deleted=True),
            make_item("e3", "v2", revision),
        ]
    )


@when("e2 leaves too")
def remove_last(context):
    context.holding.handle_changes(
        [make_item("e2", "v1", 22, is_deleted=True)]
    )


@then("version v2 gets no requests")
def check_held(context):
    assert context.version_shares.get("s") == {"v1": 1.0, "v2": 0.0}


@then("versions v1 and v2 get requests")
def check_released(context):
    assert context.version_shares.get("s") == {"v1": 0.5, "v2": 0.5}


@then("nothing is held back")
def check_not_held(context):
    assert not context.holds.held


@then("version v2 gets all requests")
def check_all(context):
    assert context.version_shares.get("s") == {"v2": 1.0}
