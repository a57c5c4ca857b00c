import json
import math
import random
import types
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import events
from mulberryhollow.platform import records
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import fleet_peering
from mulberryhollow.serving import fleet_watcher
from mulberryhollow.state import facts
from mulberryhollow.state import objects
from tests import leaving_fleet


class Peers:
    """Records published facts and passes calls to the given handlers."""

    def __init__(self, handlers=None):
        self.published = []
        self.subscribed = {}
        self.handlers = handlers if handlers is not None else {}
        self.calls = 0

    def local_member(self):
        return types.SimpleNamespace(instance_id="me", failure_domain="d")

    def publish(self, fact):
        self.published.append(fact)

    def subscribe(self, topic, callback):
        self.subscribed[topic] = callback

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    def call(self, name, topic, payload, timeout_s):
        self.calls += 1
        return self.handlers[topic](payload)


def make_entry(name, state="ready", is_deleted=False, **more):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "d",
        "version": "v1",
        "slots": 4,
        "state": state,
        "born": 5,
        **more,
    }
    return objects.StoredObject(
        "servers", name, 1, json.dumps(fields).encode(), "", is_deleted
    )


def make_watcher(context, peers):
    """Return a fleet watcher, connected to its peers, and its dispatcher."""
    clock = clocks.ManualClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    peering = fact_peering.FactPeering(
        peers, clock, dispatcher, None, lambda actor: actor.quotas
    )
    peering.connect()
    watcher = fleet_watcher.FleetWatcher(
        records.decode_listing, dispatcher, clock, peering.publish_leaving
    )
    watcher.test_clock = clock
    return watcher, dispatcher


@given("a fleet watcher that has listed e1 and e2")
def list_fleet(context):
    context.peers = Peers()
    context.watcher, context.watcher_dispatcher = make_watcher(
        context, context.peers
    )
    context.watcher.handle_list([make_entry("e1"), make_entry("e2")])


@when("the entry of e1 says that it is leaving, twice")
def mark_entry_leaving(context):
    for _ in range(2):
        context.watcher.handle_changes([make_entry("e1", "draining")])


@when("the entry of e1 is deleted")
def delete_entry(context):
    context.watcher.handle_changes([make_entry("e1", is_deleted=True)])


@when("a peer publishes that e1 is {kind}")
def receive_notice(context, kind):
    fact = facts.Fact(facts.Topic.NOTICE, f"{kind} e1.5", 1, b"")
    context.peers.subscribed[facts.Topic.NOTICE](fact)
    # The actor has to read the time before it passes.
    context.watcher_dispatcher.read(lambda actor, now_s: None)


@when("the list is read again")
def list_fleet_again(context):
    context.watcher.handle_list([make_entry("e1"), make_entry("e2")])


def list_accepting(dispatcher):
    """Return the identities of the endpoints that accept requests."""
    return dispatcher.read(
        lambda actor, now_s: sorted(
            record.endpoint.identity
            for record in actor.view.get_group("s", "v1")
        )
    )


@then("it is published once that e1 is {kind}")
def check_published(context, kind):
    keys = [fact.key for fact in context.peers.published]
    assert keys == [f"{kind} e1.5"], keys


@then("only e2 accepts requests")
def check_only(context):
    found = list_accepting(context.watcher_dispatcher)
    assert found == ["e2"], found


@then("e1 and e2 accept requests")
def check_both_accept(context):
    found = list_accepting(context.watcher_dispatcher)
    assert found == ["e1", "e2"], found


@given("an instance that cannot read the store")
def make_storeless(context):
    peering = fleet_peering.FleetPeering(context.peers, context.watcher, tuple)
    peering.connect()
    context.calling_peers = Peers(context.peers.handlers)
    context.storeless_watcher, context.storeless_dispatcher = make_watcher(
        context, context.calling_peers
    )
    member = types.SimpleNamespace(instance_id="peer")
    context.storeless_peering = fleet_peering.FleetPeering(
        context.calling_peers, context.storeless_watcher, lambda: (member,)
    )


@when("that instance calls its peer")
def call_peer(context):
    context.storeless_peering.tick()


@then("it knows e1 and e2")
def check_knows(context):
    assert context.storeless_watcher.is_known
    assert list_accepting(context.storeless_dispatcher) == ["e1", "e2"]


@then("it does not call its peer again")
def check_not_called_again(context):
    context.storeless_peering.tick()
    assert context.calling_peers.calls == 1


@when("the store returns from an outage and the entry of e1 is deleted")
def delete_entry_after_return(context):
    context.watcher.record_recovery(
        context.watcher.test_clock.now_s(), math.inf
    )
    context.watcher.handle_changes([make_entry("e1", is_deleted=True)])


@when("another entry changes")
def change_another(context):
    context.watcher.handle_changes([make_entry("e2")])


@when("{seconds:g} seconds pass at the fleet watcher")
def pass_time_at_watcher(context, seconds):
    context.watcher.test_clock.advance(seconds)
    context.watcher.expire()


@when(
    "the entry of e1 says that it is cold for {first:d}, {second:d} and "
    "{third:d} ms"
)
def make_entry_cold(context, first, second, third):
    context.watcher_dispatcher.read(
        lambda actor, now_s: actor.view.set_cold_rates({"s": 15.0})
    )
    patcher = mock.patch.object(events, "log")
    context.logged = patcher.start()
    context.add_cleanup(patcher.stop)
    for cold_left_ms in (first, second, third):
        item = make_entry("e1", coldLeftMs=cold_left_ms)
        context.watcher.handle_changes([item])


def get_cold_limit(dispatcher, name):
    return dispatcher.read(
        lambda actor, now_s: actor.view.get_cold_limit(f"{name}.5", now_s)
    )


@then("e1 is limited as a cold endpoint and e2 is not")
def check_cold(context):
    rate, left_s = get_cold_limit(context.watcher_dispatcher, "e1")
    assert rate == 15.0 and math.isclose(left_s, 0.6), (rate, left_s)
    assert get_cold_limit(context.watcher_dispatcher, "e2") == (0.0, 0.0)


@then("e1 is not limited as a cold endpoint")
def check_not_cold(context):
    assert get_cold_limit(context.watcher_dispatcher, "e1") == (0.0, 0.0)


@then("it is logged once that e1 is {state}")
def check_logged(context, state):
    event = {"cold": fleet_watcher.COLD, "warm": fleet_watcher.WARM}[state]
    found = [e for e in context.logged.call_args_list if e.args == (event,)]
    assert [each.kwargs["endpoint"] for each in found] == ["e1.5"], found


@then("e1 is known as cold there too")
def check_cold_there(context):
    cold = context.storeless_dispatcher.read(
        lambda actor, now_s: actor.view.get("e1.5").cold_until_s - now_s
    )
    assert math.isclose(cold, 1.5), cold


@when("e1 is listed with version {version}")
def list_version(context, version):
    with mock.patch.object(events, "log") as context.logged:
        context.watcher.handle_changes([make_entry("e1", version=version)])


@then("the line of its change names version {version}")
def check_logged_version(context, version):
    (call,) = context.logged.call_args_list
    assert call.args == (fleet_watcher.CHANGED,), call
    assert call.kwargs["version"] == version, call


@when("two answers of e1 say that it leaves")
def report_said_leaving(context):
    context.said_leaving = []
    context.watcher_dispatcher.on_endpoint_leaving = (
        context.said_leaving.append
    )
    for _ in range(2):
        context.watcher_dispatcher.report_leaving("e1.5")


@then("its peers are told once that e1 said it leaves")
def check_said_leaving(context):
    assert context.said_leaving == ["e1.5"], context.said_leaving


def list_in_era(context, era, *items):
    """Read a complete list that the store gave out in an era."""
    context.watcher.handle_list(items, objects.make_version(era, 9))


@given("a fleet watcher that has listed e1 and e2 in era 1")
def list_fleet_in_era(context):
    list_fleet(context)
    list_in_era(context, 1, make_entry("e1"), make_entry("e2"))


@when("the store comes back from a copy in which both are ready")
def restore_store(context):
    list_in_era(context, 2, make_entry("e1"), make_entry("e2"))


@when("the entry of e1 is written again")
def write_again(context):
    version = objects.make_version(2, 10)
    item = attrs.evolve(make_entry("e1"), version=version)
    context.watcher.handle_changes([item])


@when("e1 starts again as another process")
def start_again(context):
    context.watcher.handle_changes([make_entry("e1", born=6)])


@when("the store has recovered from an outage")
def recover(context):
    context.watcher.record_recovery(
        context.watcher.test_clock.now_s(), math.inf
    )


@then("its listing of e1 says that it is leaving")
def check_listed_leaving(context):
    found = {each.key: each.is_leaving for each in context.watcher.listings}
    assert found == {"e1.5": True, "e2.5": False}, found


@then("it lists only e2")
def check_listed(context):
    found = [each.key for each in context.watcher.listings]
    assert found == ["e2.5"], found


@then("the e1 that started last and e2 are listed")
def check_listed_last(context):
    found = sorted(each.key for each in context.watcher.listings)
    assert found == ["e1.6", "e2.5"], found


@then("that instance sends requests to e2 only")
def check_storeless_accepting(context):
    assert list_accepting(context.storeless_dispatcher) == ["e2"]


@when("that instance hears from a peer that e1 is gone")
def receive_notice_there(context):
    fact = facts.Fact(facts.Topic.NOTICE, "gone e1.5", 1, b"")
    context.calling_peers.subscribed[facts.Topic.NOTICE](fact)


@when("that instance reads the list in the store")
def read_list_there(context):
    context.storeless_watcher.handle_list(
        [make_entry("e1"), make_entry("e2")], 9
    )


@when("the store is in contact for {seconds:g} seconds")
def pass_time_in_contact(context, seconds):
    clock = context.watcher.test_clock
    clock.advance(seconds)
    context.watcher.expire(clock.now_s())


@then(
    "in {steps:d} random events at {count:d} instances, none uses an endpoint "
    "that it knows to have left, with seeds 0 to {last:d}"
)
def check_random_events(context, steps, count, last):
    wrong, context.lost = {}, {}
    for seed in range(last + 1):
        site = leaving_fleet.Site(random.Random(seed), count)
        try:
            for step in range(steps):
                site.step()
                found = site.list_wrong()
                if found:
                    wrong[seed] = step, found
                    break
            site.settle()
            if site.list_lost():
                context.lost[seed] = site.list_lost()
        finally:
            site.stop()
    assert not wrong, wrong


@then("after them all instances use the endpoints that stay")
def check_lost(context):
    assert not context.lost, context.lost


@when("the lines of the fleet watcher are recorded")
def record_lines(context):
    patcher = mock.patch.object(events, "log")
    context.logged = patcher.start()
    context.add_cleanup(patcher.stop)


@then("the lines on e1 are: {lines}")
def check_lines(context, lines):
    names = {
        fleet_watcher.KEPT: "kept",
        fleet_watcher.CHANGED: "removed",
        fact_peering.TOLD: "told",
    }
    found = [
        names[each.args[0]]
        for each in context.logged.call_args_list
        if each.kwargs.get("endpoint") == "e1.5"
    ]
    assert found == lines.split(", "), context.logged.call_args_list
