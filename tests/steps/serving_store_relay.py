import contextlib
import json
import logging
import threading
import time
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import store_relay
from mulberryhollow.serving import watch
from mulberryhollow.state import change_bounds
from mulberryhollow.state import objects
from mulberryhollow.transport import store as stores
from standins import platform

KIND = "k"


class Store:
    """Store of one kind without eras, whose watches return at once."""

    era = None

    def __init__(self):
        self.revision = 5
        self.changes = []

    def write(self, is_deleted=False):
        """Write or delete the object ``a``."""
        self.revision += 1
        item = objects.StoredObject(
            KIND, "a", self.revision, b"\xff{}", "", is_deleted
        )
        self.changes.append(item)

    def list_objects(self, kind):
        found = {each.name: each for each in self.changes}
        return self.revision, [
            each for each in found.values() if not each.is_deleted
        ]

    def watch(self, kind, after, wait_s):
        found = [each for each in self.changes if each.version > after]
        return self.revision, found


class StoreCalls:
    """Access of one instance to the store; calls are counted."""

    def __init__(self, store):
        self._store = store
        self.count = 0
        self.is_down = False

    @property
    def era(self):
        return self._store.era

    def learn_era(self, era):
        self._store.learn_era(era)

    def list_objects(self, kind):
        self._check()
        return self._store.list_objects(kind)

    def watch(self, kind, after, wait_s):
        self._check()
        return self._store.watch(kind, after, wait_s)

    def _check(self):
        self.count += 1
        if self.is_down:
            raise errors.StoreUnavailableError("down", "wait")


class Restores(logging.Handler):
    """Counts the logged restores of the store."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def emit(self, record):
        self.count += getattr(record, "event", 0) == stores.RESTORED.number


class Instance:
    """Follower of one kind and its relay; records what it is told."""

    def __init__(self, store, clock, is_collector, has_read=True):
        self.calls = StoreCalls(store)
        self.names = set()
        self.recoveries_s = []
        self.told = []
        self.follower = watch.ObjectFollower(self.calls, KIND, clock, self)
        self.relay = store_relay.StoreRelay(
            [self.follower], clock, lambda: is_collector
        )
        if has_read:
            self.read()
        self.calls.count = 0

    def read(self):
        try:
            return self.relay.read(self.follower)
        except errors.StoreUnavailableError:
            return None

    def handle_list(self, items, revision):
        self.names = {each.name for each in items}
        self.told.append(sorted(self.names))

    def handle_changes(self, items):
        for each in items:
            if each.is_deleted:
                self.names.discard(each.name)
            else:
                self.names.add(each.name)

    def record_recovery(self, at_s, last_use_s):
        self.recoveries_s.append(at_s)
        self.told.append("recovery")


def exchange(asking, answering):
    """Carry a question and its answer through JSON."""
    question = json.loads(json.dumps(asking.relay.ask()))
    answer = json.loads(json.dumps(answering.relay.answer(question)))
    asking.relay.accept(answer)


@given("a collector and {other} that both follow the store")
def make_instances(context, other):
    context.clock = clocks.ManualClock()
    context.store = Store()
    context.collector = Instance(context.store, context.clock, True)
    context.instance = Instance(
        context.store, context.clock, other == "another collector"
    )


@given("the instance has just started and has read nothing")
def restart_instance(context):
    context.instance = Instance(
        context.store, context.clock, False, has_read=False
    )


@when("the instance receives an answer without objects")
def receive_no_objects(context):
    fields = {"contact_age_s": 0.1, "recovery_age_s": None}
    context.instance.relay.accept({KIND: fields})


@when("an object is written")
def write_object(context):
    context.store.write()


@when("an object is written and the {who} reads the store")
def write_and_read(context, who):
    context.store.write()
    getattr(context, who).follower.read()


@when("the object is deleted and the collector reads the store")
def delete_and_read(context):
    context.store.write(is_deleted=True)
    context.collector.read()


@when("the instance reports to the collector")
@when("the other collector exchanges totals with the collector")
def report(context):
    exchange(context.instance, context.collector)
    context.instance.read()


@when("the instance reads")
@when("the other collector reads the store")
def read_instance(context):
    context.instance.read()


@when("the instance reads on for {seconds:g} of the 2 seconds of the bound")
def read_on(context, seconds):
    end_s = context.clock.now_s() + seconds
    while context.clock.now_s() < end_s:
        wait_s = context.instance.read() or 0.1
        context.clock.advance(min(wait_s, end_s - context.clock.now_s()))


@given("changes have to be known in {bound_s:g} seconds")
def set_bound(context, bound_s):
    context.bound_s = bound_s
    for each in (context.collector, context.instance):
        each.relay = store_relay.StoreRelay(
            [each.follower],
            context.clock,
            lambda made=each: made is context.collector,
            lambda: change_bounds.ChangeBounds(bound_s + 1, bound_s, bound_s),
        )


@when("the collector loses the store and an object is written")
def lose_store(context):
    context.collector.calls.is_down = True
    context.store.write()


@when(
    "the instance reads and reports until {margin_s:g} seconds before the "
    "bound"
)
def read_until_bound(context, margin_s):
    """Run both loops of the instance as the daemon does."""
    end_s = context.clock.now_s() + context.bound_s - margin_s
    read_s = report_s = context.clock.now_s()
    while (now_s := context.clock.now_s()) <= end_s:
        if now_s >= report_s:
            exchange(context.instance, context.collector)
            report_s += 0.5
        if now_s >= read_s:
            read_s = now_s + (context.instance.read() or 0.1)
        context.clock.advance(0.05)


@when("the collector is frozen for {seconds:d} seconds")
def freeze_collector(context, seconds):
    context.clock.advance(seconds)


@when("the collector is cut off from the store for {seconds:d} seconds")
def cut_collector(context, seconds):
    context.collector.calls.is_down = True
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.collector.read()
        exchange(context.instance, context.collector)


@when("the other collector is turned away for {seconds:d} seconds")
def turn_away(context, seconds):
    context.instance.calls.is_down = True
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.instance.read()


@when("the instance asks the collector and waits for the answer")
def ask_collector(context):
    context.answer = context.collector.relay.answer(
        context.instance.relay.ask()
    )


@when("the answer arrives")
def deliver_answer(context):
    context.instance.relay.accept(context.answer)


@when("the collector sees the store recover from an outage")
def recover(context):
    context.collector.calls.is_down = True
    context.collector.read()
    context.clock.advance(2.0)
    context.collector.calls.is_down = False
    context.collector.read()


@when("the instance receives malformed relayed objects")
def receive_malformed(context):
    for fields in ({}, [], {"contact_age_s": 0}, {"changes": {"base": 5}}):
        context.instance.relay.accept({KIND: fields})


@when("the reads of the instance fail for {seconds:d} seconds")
def fail_reads(context, seconds):
    context.instance.calls.is_down = True
    for _ in range(seconds):
        context.instance.follower.last_contact_s = float("-inf")
        context.instance.read()
        context.clock.advance(1.0)


@when("the instance receives a contact without a recovery")
def receive_contact(context):
    fields = {"contact_age_s": 0.1, "recovery_age_s": None}
    context.instance.relay.accept({KIND: fields})


@when("the instance receives a contact from {age_s:g} seconds ago")
def receive_old_contact(context, age_s):
    fields = {"contact_age_s": age_s, "recovery_age_s": None}
    context.instance.relay.accept({KIND: fields})


@when("the store answers the instance again")
def answer_again(context):
    context.instance.calls.is_down = False
    context.instance.follower.read()


@when("the collector notices the recovery while the instance asks")
def recover_during_question(context):
    """Ask from the callback, in another thread, while changes are applied."""
    collector = context.collector
    asking = []

    def ask():
        exchange(context.instance, collector)

    def record_recovery(at_s, last_use_s):
        thread = threading.Thread(target=ask, daemon=True)
        asking.append(thread)
        thread.start()
        thread.join(0.2)

    collector.record_recovery = record_recovery
    recover(context)
    asking[0].join(5.0)


@then("the instance recorded {count:d} recoveries")
def check_recoveries(context, count):
    recorded = context.instance.recoveries_s
    assert len(recorded) == count, recorded


@then("the {who} has the written object")
def check_object(context, who):
    assert context.instance.names == {"a"}, context.instance.names


@then("the instance has no object")
def check_no_object(context):
    assert context.instance.names == set(), context.instance.names


@then("the instance made no call to the store")
def check_no_calls(context):
    assert context.instance.calls.count == 0, context.instance.calls.count


@then("the instance made {count:d} calls to the store")
def check_calls(context, count):
    assert context.instance.calls.count == count, context.instance.calls.count


@then("the other collector asks for nothing")
def check_no_question(context):
    assert context.instance.relay.ask() == {}, context.instance.relay.ask()


@then("the instance recorded 1 recovery at the time of the collector's")
def check_recovery(context):
    recorded = context.instance.recoveries_s
    assert recorded == context.collector.recoveries_s, recorded


@given("a collector and an instance that follow a store with eras")
def make_instances_with_eras(context):
    context.clock = clocks.ManualClock(start_s=100.0)
    context.platform = platform.PlatformStore(era=1)
    context.restores = Restores()
    logger = logging.getLogger("mulberryhollow")
    logger.addHandler(context.restores)
    context.add_cleanup(logger.removeHandler, context.restores)
    context.collector = make_instance_with_era(context, True)
    context.instance = make_instance_with_era(context, False)


def make_instance_with_era(context, is_collector, has_read=True):
    client = stores.StoreClient(
        "127.0.0.1:1", dialect=dialects.PlatformDialect()
    )
    client._pool = context.platform
    made = Instance(client, context.clock, is_collector, has_read)
    made.client = client
    client.on_restored = made.relay.refresh
    return made


@given("a collector and an instance that follow two kinds with eras")
def make_instances_of_two_kinds(context):
    make_instances_with_eras(context)
    for each in (context.collector, context.instance):
        told = types.SimpleNamespace(
            handle_list=lambda items, revision: None,
            handle_changes=lambda items: None,
            record_recovery=lambda at_s, last_use_s: None,
        )
        each.other = watch.ObjectFollower(
            each.calls, "other", context.clock, told
        )
        each.other.read()
        each.relay = store_relay.StoreRelay(
            [each.follower, each.other],
            context.clock,
            lambda made=each: made is context.collector,
        )
        each.client.on_restored = each.relay.refresh
        each.calls.count = 0


@when("the collector reads both kinds of the restored store")
def read_both_restored(context):
    read_restored(context, "collector")
    context.collector.other.read()


@then("no kind of the instance is from before the restore")
def check_kinds(context):
    eras = [
        objects.get_era(each.revision)
        for each in (context.instance.follower, context.instance.other)
    ]
    assert eras == [context.platform.era] * 2, eras


@then("the store client of the instance knows era 2 and has logged it once")
def check_learned_era(context):
    for each in threading.enumerate():
        if each.name.startswith("refresh "):
            each.join(10.0)
    assert context.instance.client.era == 2, context.instance.client.era
    # The client of the collector has logged it as well.
    assert context.restores.count == 2, context.restores.count


@given("the instance has just started on the store with eras")
def restart_instance_with_era(context):
    context.instance = make_instance_with_era(context, False, has_read=False)


@when(
    "the store with eras writes {names}, is copied, writes b and is restored"
)
def restore_store_with_eras(context, names):
    write_names(context, names)
    saved = context.platform.copy()
    context.platform.put(KIND, "b", {})
    for each in (context.collector, context.instance):
        if each.follower.revision is not None:
            each.follower.read()
            each.calls.count = 0
            # One that has read changes knows no complete list of them.
            each.told = [sorted(each.names)]
    context.platform.restore(saved)


@when("the store with eras writes {names}")
def write_names(context, names):
    for each in names.split(", "):
        context.platform.put(KIND, each, {})


@when("the {who} reads the restored store")
def read_restored(context, who):
    for _ in range(2):
        with contextlib.suppress(errors.HistoryLostError):
            getattr(context, who).follower.read()


@when("the instance does nothing")
def do_nothing(context):
    pass


@when("the instance asks the collector")
def ask_for_objects(context):
    exchange(context.instance, context.collector)


@when("the instance is cut off from the store with eras")
def cut_off_instance(context):
    context.instance.calls.is_down = True


@when(
    "{seconds:d} seconds pass while the instance is told {answer} of the "
    "earlier era"
)
def tell_earlier_contact(context, seconds, answer):
    fields = {"contact_age_s": 0.1, "recovery_age_s": None}
    if answer == "a contact by name":
        fields["revision"] = objects.make_version(1, objects.MAX_REVISION)
    if answer == "a recovery":
        fields["recovery_age_s"] = 0.1
    recorded = len(context.instance.recoveries_s)
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.instance.relay.accept({KIND: fields})
    assert len(context.instance.recoveries_s) == recorded


@when("another call of the {who} is answered")
def answer_other_call(context, who):
    getattr(context, who).client.get("other", "x")


@when("a watch of the collector hangs")
def hang_watch(context):
    context.watch_end = threading.Event()
    started = threading.Event()
    request = context.platform.request

    def hang(method, path, **options):
        if "watch=" in path:
            started.set()
            context.watch_end.wait(10.0)
        return request(method, path, **options)

    context.collector.client._pool = types.SimpleNamespace(request=hang)
    context.reading = threading.Thread(
        target=read_restored, args=(context, "collector"), daemon=True
    )
    context.reading.start()
    assert started.wait(10.0)


@then("the collector has only the object a within {seconds:d} seconds")
def check_in_time(context, seconds):
    end_s = time.monotonic() + seconds
    while context.collector.names != {"a"} and time.monotonic() < end_s:
        time.sleep(0.01)
    try:
        assert context.reading.is_alive()
        assert context.collector.names == {"a"}, context.collector.names
    finally:
        context.watch_end.set()
        context.reading.join(10.0)


@then("the collector is told nothing more when its watch ends")
def check_told_once(context):
    assert not context.reading.is_alive()
    told = context.collector.told
    assert told == [["a", "b"], "recovery", ["a"]], told


@then(
    "the {who} was told of a recovery between the lists {before} and {after}"
)
def check_told(context, who, before, after):
    told = getattr(context, who).told
    expected = [before.split(", "), "recovery", after.split(", ")]
    assert told == expected, told


@then("the instance has the objects {names}")
def check_names(context, names):
    found = ", ".join(sorted(context.instance.names))
    assert found == names, found


@when("an instance of a build without eras at {revision} asks the collector")
def ask_without_eras(context, revision):
    context.base = None if revision == "none" else int(revision)
    answer = context.collector.relay.answer({KIND: context.base})
    context.answer = json.loads(json.dumps(answer))


@then(
    "it is told the objects {names} and the revisions of the store as {form}"
)
def check_plain_revisions(context, names, form):
    changes = context.answer[KIND]["changes"]
    kind_names = [(each[0], each[1]) for each in changes["items"]]
    assert kind_names == [(KIND, each) for each in names.split(", ")]
    assert changes["base"] == context.base
    assert changes["revision"] == context.platform.revision, changes
    assert [each[2] for each in changes["items"]] == [8], changes
    assert changes["is_complete"] == (form == "all objects")
