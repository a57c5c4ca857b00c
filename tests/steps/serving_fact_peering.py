import time
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import membership
from mulberryhollow.coordination import retry
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import registry
from mulberryhollow.state import facts
from tests import fakes


REPORT_TIMEOUT_S = 5.0


class Limits:
    """Records the number of instances that was set."""

    def __init__(self):
        self.live = None

    def set_live_nodes(self, live, now_s, ages_s=()):
        self.live = live


class Dispatcher:
    """Applies changes to recording limits, without an actor."""

    def __init__(self):
        self.quotas = Limits()
        self.shared_retries = Limits()
        self.view = types.SimpleNamespace(drop_peer=lambda name: None)
        self.quarantine = retry.Quarantine()

    def change(self, apply):
        apply(self, 0.0)


class Peers:
    """Membership of the local member and the members that were added."""

    def __init__(self):
        self.views = []
        self.facts = {}

    def local_member(self):
        return make_member("me")

    def members(self):
        return self.views

    def publish(self, fact):
        self.facts[fact.key] = fact

    def list_facts(self, topic):
        return [
            each for each in self.facts.values() if each.topic == topic.value
        ]

    def add_members(self, members):
        self.views += [
            membership.MemberView(each, membership.MemberStatus.ALIVE, True)
            for each in members
            if each.instance_id != "me"
        ]


def make_member(name, incarnation=1):
    return membership.Member(
        instance_id=name,
        incarnation=incarnation,
        peer_address="10.0.0.1:7000",
        http_address="10.0.0.1:8000",
        failure_domain="d",
        region="r",
        started_s=0.0,
    )


@given("a fact peering whose settings name {named:d} other instances")
def make_peering(context, named):
    context.peering_clock = clocks.ManualClock()
    context.peering_peers = Peers()
    context.peering_dispatcher = Dispatcher()
    context.peering = fact_peering.FactPeering(
        context.peering_peers,
        context.peering_clock,
        context.peering_dispatcher,
        None,
        lambda actor: actor.quotas,
        named=named,
    )


@given("a store where {count:d} peers are registered")
def register_peers(context, count):
    context.peering_store = fakes.FakeStore()
    write_registrations(context, range(count))


@when("{count:d} more peers register")
def register_more_peers(context, count):
    write_registrations(context, range(100, 100 + count))


def write_registrations(context, numbers):
    for index in numbers:
        member = make_member(f"peer-{index}")
        context.peering_store.write(
            membership.KIND,
            member.instance_id,
            membership.encode_registration(member),
        )


@when("{count:d} peers become members")
def add_peers(context, count):
    context.peering_peers.add_members(
        [make_member(f"peer-{index}") for index in range(count)]
    )


@when("{by_s:d} seconds pass at the fact peering")
def pass_time(context, by_s):
    context.peering_clock.advance(by_s)


@when("it reads the membership")
def read_membership(context):
    context.peering.tick()


@when("the instance registers itself")
def register_itself(context):
    cloud = types.SimpleNamespace(list_entries=list)
    context.registry = registry.Registry(
        context.peering_store,
        cloud,
        context.peering_peers,
        on_found=context.peering.tick,
    )
    context.wait_s = context.registry.register()


@when("the registry is called again")
def register_again(context):
    assert 0 < context.wait_s <= 5.0, context.wait_s
    context.peering_peers.views.clear()
    context.wait_s = context.registry.register()


@then("the registry reads the store no more")
def check_registry_idle(context):
    register_more_peers(context, 20)
    context.peering_peers.views.clear()
    context.registry.register()
    assert not context.peering_peers.views


@then("it shares limits among {count:d} instances")
def check_live(context, count):
    dispatcher = context.peering_dispatcher
    assert dispatcher.quotas.live == count, dispatcher.quotas.live
    assert dispatcher.shared_retries.live == count, (
        dispatcher.shared_retries.live
    )


@when("the fact peering announces its level")
def announce_level(context):
    context.peering.announce_level()


@when("the member {name} publishes level {level:d} as incarnation {number:d}")
def publish_level(context, name, level, number):
    context.peering_peers.publish(
        membership.encode_level(make_member(name, number), 0, 0.0, level)
    )


@when("the member {name} publishes {text} in place of a level")
def publish_malformed_level(context, name, text):
    fact = membership.encode_level(make_member(name), 1, 0.0)
    context.peering_peers.publish(
        facts.Fact(fact.topic, fact.key, fact.version, text.encode())
    )


@when("the peering sees {name} with incarnation {number:d}")
def replace_member(context, name, number):
    peers = context.peering_peers
    peers.views = [
        each for each in peers.views if each.member.instance_id != name
    ]
    peers.add_members([make_member(name, number)])


@when("the peering sees {name} as {status} and {reach}")
def set_status(context, name, status, reach):
    peers = context.peering_peers
    peers.views = [
        membership.MemberView(
            each.member,
            membership.MemberStatus[status.upper()],
            reach == "reachable",
        )
        if each.member.instance_id == name
        else each
        for each in peers.views
    ]


@then("its collectors have level {level:d}")
def check_level(context, level):
    context.peering.tick()
    found = context.peering.collectors.level
    assert found == level, found


@then("the level that it has published is renewed after {by_s:d} seconds")
def check_renewal(context, by_s):
    peers = context.peering_peers
    before = peers.facts["level me"]
    context.peering.tick()
    assert peers.facts["level me"] is before
    context.peering_clock.advance(by_s)
    context.peering.tick()
    after = peers.facts["level me"]
    assert after.version > before.version
    assert after.expires_s > before.expires_s > by_s


@when("completions of a request at {times} s are reported")
def report_completions(context, times):
    context.reported = []
    context.peering_peers.publish = context.reported.append
    for at_s in times.split(", "):
        context.peering.report_sound(retry.SoundFact("f", float(at_s)))
    end_s = time.monotonic() + REPORT_TIMEOUT_S
    # Completions are reported by other threads.
    while len(context.reported) < len(times.split(", ")):
        assert time.monotonic() < end_s, context.reported
        time.sleep(0.001)


@then("the instances that hold the first of these facts take no other")
def check_one_fact(context):
    table = facts.FactTable()
    assert table.merge(context.reported[0])
    assert not any(map(table.merge, context.reported[1:])), context.reported
