import json
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.platform import records
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import factlink
from mulberryhollow.serving import fleetfeed
from mulberryhollow.serving import fleetlender
from mulberryhollow.state import facts
from mulberryhollow.state import objects


class Peers:
    """Records published facts and passes calls to the given handlers."""

    def __init__(self, handlers=None):
        self.published = []
        self.subscribed = {}
        self.handlers = handlers if handlers is not None else {}
        self.calls = 0

    def me(self):
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


def make_entry(name, state="ready", is_deleted=False):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "d",
        "version": "v1",
        "slots": 4,
        "state": state,
        "born": 5,
    }
    return objects.StoredObject(
        "servers", name, 1, json.dumps(fields).encode(), "", is_deleted
    )


def make_feed(context, peers):
    """Return a fleet watcher, connected to its peers, and its dispatcher."""
    clock = clocks.ManualClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    link = factlink.FactLink(
        peers, clock, dispatcher, None, lambda actor: actor.quotas
    )
    link.connect()
    feed = fleetfeed.FleetFeed(
        records.decode_listing, dispatcher, clock, link.publish_leaving
    )
    feed.test_clock = clock
    return feed, dispatcher


@given("a fleet watcher that has listed e1 and e2")
def list_fleet(context):
    context.peers = Peers()
    context.feed, context.feed_dispatcher = make_feed(context, context.peers)
    context.feed.take_list([make_entry("e1"), make_entry("e2")])


@when("the entry of e1 says that it is leaving, twice")
def say_leaving(context):
    for _ in range(2):
        context.feed.take_changes([make_entry("e1", "draining")])


@when("the entry of e1 is deleted")
def go_entry(context):
    context.feed.take_changes([make_entry("e1", is_deleted=True)])


@when("a peer publishes that e1 is {kind}")
def hear_notice(context, kind):
    fact = facts.Fact(facts.Topic.NOTICE, f"{kind} e1.5", 1, b"")
    context.peers.subscribed[facts.Topic.NOTICE](fact)


@when("the list is read again")
def list_fleet_again(context):
    context.feed.take_list([make_entry("e1"), make_entry("e2")])


def list_taking(dispatcher):
    """Return the identities of the endpoints that accept requests."""
    return dispatcher.read(
        lambda actor, now_s: sorted(
            record.endpoint.identity
            for record in actor.view.get_group("s", "v1")
        )
    )


@then("it is published once that e1 is {kind}")
def check_told(context, kind):
    keys = [fact.key for fact in context.peers.published]
    assert keys == [f"{kind} e1.5"], keys


@then("only e2 accepts requests")
def check_only(context):
    found = list_taking(context.feed_dispatcher)
    assert found == ["e2"], found


@then("e1 and e2 accept requests")
def check_both_take(context):
    found = list_taking(context.feed_dispatcher)
    assert found == ["e1", "e2"], found


@given("an instance that cannot read the store")
def make_turned_away(context):
    lender = fleetlender.FleetLender(context.peers, context.feed, tuple)
    lender.connect()
    context.asking = Peers(context.peers.handlers)
    context.away_feed, context.away = make_feed(context, context.asking)
    member = types.SimpleNamespace(instance_id="peer")
    context.lender = fleetlender.FleetLender(
        context.asking, context.away_feed, lambda: (member,)
    )


@when("that instance calls its peer")
def ask_peer(context):
    context.lender.tick()


@then("it knows e1 and e2")
def check_knows(context):
    assert context.away_feed.is_known
    assert list_taking(context.away) == ["e1", "e2"]


@then("it does not call its peer again")
def check_not_again(context):
    context.lender.tick()
    assert context.asking.calls == 1


@when("the store returns from an outage and the entry of e1 is deleted")
def go_after_return(context):
    context.feed.note_return()
    context.feed.take_changes([make_entry("e1", is_deleted=True)])


@when("another entry changes")
def change_another(context):
    context.feed.take_changes([make_entry("e2")])


@when("{seconds:g} seconds pass at the fleet watcher")
def go_by_at_feed(context, seconds):
    context.feed.test_clock.advance(seconds)
    context.feed.expire()
