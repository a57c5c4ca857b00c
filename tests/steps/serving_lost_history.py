import contextlib

from behave import given
from behave import then
from behave import when
import urllib3

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import watch
from mulberryhollow.transport import store as stores
from standins import platform
from tests import followed_store

KIND = followed_store.KIND


@given(
    "{count:d} instances that follow the store, with the seeds 0 to {last:d}"
)
def make_fleets(context, count, last):
    context.fleets = [
        followed_store.Fleet(seed, count) for seed in range(last + 1)
    ]


@when(
    "the store is away for {outage_s:g} s, then changes and drops its history"
)
def lose_history_after_outage(context, outage_s):
    context.known_s = []
    for fleet in context.fleets:
        fleet.set_away(True)
        fleet.run(outage_s)
        fleet.set_away(False)
        fleet.store.put(KIND, "second", {})
        fleet.store.drop_history()
        context.known_s.append(fleet.measure_until_known("second", 10.0))


@when("the store drops its history with each change for {for_s:g} s")
def lose_all_history(context, for_s):
    context.known_s = []
    context.for_s = for_s
    for fleet in context.fleets:
        for each in fleet.instances:
            each.access.lists = each.access.watches = 0
        began_s = fleet.clock.now_s()
        number = 0
        while fleet.clock.now_s() < began_s + for_s:
            number += 1
            fleet.store.put(KIND, f"change {number}", {})
            # Changes of other kinds, too, raise the revision of the store.
            known_s = 0.0
            while known_s < 3.0 and not all(
                f"change {number}" in each.names for each in fleet.instances
            ):
                fleet.store.put("other", "o", {"at": fleet.clock.now_s()})
                fleet.store.drop_history()
                fleet.run(0.05)
                known_s += 0.05
            context.known_s.append(known_s)


@then("each instance knows the change within {limit_s:g} s")
@then("each instance knows each change within {limit_s:g} s")
def check_known(context, limit_s):
    late = [each for each in context.known_s if each > limit_s]
    assert not late, (len(late), len(context.known_s), max(late))


@then("no instance made more than {rate:g} calls a second to the store")
def check_call_rate(context, rate):
    calls = [
        each.access.lists + each.access.watches
        for fleet in context.fleets
        for each in fleet.instances
    ]
    assert max(calls) <= rate * context.for_s, max(calls)


@given("an instance and a peer that follow the store")
def make_two(context):
    # Neither loop runs: the steps call what the loops would call.
    context.fleet = followed_store.Fleet(0, 2)
    context.instance, context.peer = context.fleet.instances
    context.store = context.fleet.store
    context.clock = context.fleet.clock
    context.instance.lists = context.instance.access.watches = 0


def read(instance):
    with contextlib.suppress(errors.MulberryError):
        instance.relay.read(instance.follower)


@when("the peer reads {count:d} more changes")
def read_more(context, count):
    for number in range(count):
        context.store.put(KIND, f"earlier {number}", {})
        read(context.peer)


@when("the instance reads the store")
def read_store(context):
    read(context.instance)


@when("the instance reads the store {count:d} times")
def read_store_often(context, count):
    for _ in range(count):
        read(context.instance)


@when("the store changes and drops its history")
def lose_history(context):
    context.store.put(KIND, "second", {})
    context.store.drop_history()


@when("a read of the instance finds the history lost and cannot list")
def read_without_list(context):
    def fail_lists(name):
        if name == "list":
            raise urllib3.exceptions.HTTPError("no answer")

    # Its contact is old, as after an outage, so it asks its peers.
    context.clock.advance(10.0)
    context.instance.access.at_call = fail_lists
    read(context.instance)
    context.instance.access.at_call = lambda name: None


@when("the instance asks the peer")
def ask_peer(context):
    assert context.instance.relay.ask(), "the instance asks for nothing"
    context.instance.ask(context.peer)


@when("the instance hears of the peer while its watch finds the history lost")
def move_during_watch(context):
    def ask(name):
        context.instance.access.at_call = lambda name: None
        context.instance.follower.accept(
            context.peer.follower.describe(context.instance.follower.revision)
        )

    context.instance.access.at_call = ask
    read(context.instance)


@when("another thread lists the objects while the history is lost")
def list_during_loss(context):
    """Let a watch find the history lost while a list is under way."""
    client = context.instance.follower._store
    list_objects = client.list_objects

    def lose_meanwhile(kind):
        client.list_objects = list_objects
        answer = list_objects(kind)
        context.store.put(KIND, "second", {})
        context.store.drop_history()
        context.instance.access.at_call = fail_lists
        read(context.instance)
        context.instance.access.at_call = lambda name: None
        return answer

    def fail_lists(name):
        if name == "list":
            raise urllib3.exceptions.HTTPError("no answer")

    client.list_objects = lose_meanwhile
    context.instance.follower._list()
    context.instance.access.watches = context.instance.lists = 0


@when("an object is removed and the history is lost between two pages")
def lose_between_pages(context):
    for number in range(6):
        context.store.put(KIND, f"page {number}", {})
    context.store.drop_history()
    pages = []

    def remove(name):
        if name == "list":
            pages.append(name)
        if len(pages) == 2 and (KIND, "first") in context.store.objects:
            context.store.remove(KIND, "first")
            context.store.drop_history()

    context.instance.access.at_call = remove
    for _ in range(2):
        read(context.instance)
    assert len(pages) > 1, pages


@when("{answer} arrives 2 s later, after a peer has moved the position")
def deliver_late(context, answer):
    follower = context.instance.follower
    before = follower.revision
    context.store.put(KIND, "earlier", {})
    read(context.peer)
    moved = context.peer.follower.describe(before)

    def move(name):
        context.instance.access.at_call = lambda name: None
        follower.accept(moved)
        context.store.put(KIND, "second", {})
        context.clock.advance(2.0)

    if "watch" in answer:
        context.instance.access.at_call = move
        read(context.instance)
    else:
        move("watch")
        read(context.peer)
        # The peer was asked before the position moved.
        follower.accept(context.peer.follower.describe(before))
    assert "second" not in context.instance.names, context.instance.names


@given("a watch of the objects of a store, with {count:d} reads before")
def make_watch(context, count):
    context.store = platform.PlatformStore()
    context.store.put(KIND, "first", {})
    context.access = followed_store.Access(context.store)
    client = stores.StoreClient(
        "127.0.0.1:1", dialect=dialects.PlatformDialect()
    )
    client._pool = context.access
    context.reported = []
    context.watch = watch.ObjectWatch(
        client,
        KIND,
        clocks.ManualClock(),
        lambda item: context.reported.append(item.name),
    )
    read_watch(context, count)


@when("the watch is read {count:d} times")
def read_watch(context, count):
    for _ in range(count):
        with contextlib.suppress(errors.MulberryError):
            context.watch.read()


@when("the store changes once more")
def change_again(context):
    context.store.put(KIND, "third", {})
    context.access.lists = 0


@then("the watch has reported the objects {names}")
def check_reported(context, names):
    assert set(context.reported) == set(names.split(", ")), context.reported


@then("the watch ended with a call that waits for changes")
def check_waits(context):
    assert context.access.lists == 0, context.access.lists


@then("the last contact of the instance is {age_s:g} s old")
def check_contact(context, age_s):
    found_s = context.clock.now_s() - context.instance.follower.last_contact_s
    assert abs(found_s - age_s) < 0.1, found_s


@then("the instance has listed the objects and knows the change")
def check_listed(context):
    assert context.instance.lists >= 1, context.instance.lists
    assert "second" in context.instance.names, context.instance.names


@then("the instance has the objects that the store has")
def check_same(context):
    stored = {name for kind, name in context.store.objects if kind == KIND}
    assert context.instance.names == stored, context.instance.names ^ stored
