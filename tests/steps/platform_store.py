import contextlib
import json
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import watch
from mulberryhollow.state import objects
from mulberryhollow.transport import store
from standins import platform


@given("a store with the platform's dialect")
def make_platform_store(context):
    context.platform = platform.PlatformStore()
    context.client = store.StoreClient(
        "127.0.0.1:1", dialect=dialects.PlatformDialect()
    )
    context.client._pool = context.platform


@when("an object of the product is written and read again")
def write_and_read(context):
    context.outcome = context.client.put("k", "n", b"text", 0, "c1")
    context.found = context.client.get("k", "n")


@then("its content, version and change id are as written")
def check_read_object(context):
    found = context.found
    assert isinstance(context.outcome, objects.WriteApplied)
    assert (found.value, found.change_id) == (b"text", "c1"), found
    assert found.version == context.outcome.version
    resolved = context.client.resolve_write("k", "n", "c1")
    assert resolved == context.outcome, resolved


@when(
    "an object of the product is written twice with the same expected version"
)
def write_twice(context):
    first = context.client.put("k", "n", b"a", 0, "c1")
    second = context.client.put("k", "n", b"b", first.version, "c2")
    context.outcome = context.client.put("k", "n", b"c", first.version, "c3")
    context.version = second.version


@then("the second write is a conflict that returns the current version")
def check_conflict(context):
    expected = objects.WriteRejected("conflict", context.version)
    assert context.outcome == expected, context.outcome
    assert context.client.get("k", "n").value == b"b"


@when("the store answers a write with {status:d}")
def answer_write(context, status):
    context.platform.statuses = [status]
    context.outcome = context.client.put("k", "n", b"a", 3, "c1")


@then("the outcome of the write is {name}")
def check_outcome(context, name):
    assert type(context.outcome).__name__ == name, context.outcome


@when("{count:d} objects are listed in pages of 3")
def list_pages(context, count):
    for number in range(count):
        context.platform.put("k", f"n{number}", {"x": number})
    context.revision = context.platform.revision
    context.listed = context.client.list_objects("k")


@then("all {count:d} are found, as of the revision of the first page")
def check_pages(context, count):
    revision, found = context.listed
    assert len({each.name for each in found}) == count
    assert revision == context.revision


@when("an object changes and another is removed during a watch")
def watch_changes(context):
    context.platform.put("k", "a", {"x": 1})
    context.platform.put("k", "b", {"x": 1})
    start_revision = context.platform.revision
    context.platform.put("k", "a", {"x": 2})
    context.platform.remove("k", "b")
    context.watched = context.client.watch("k", start_revision, 0.0)


@then("the watch reports both changes")
def check_watch_changes(context):
    revision, found = context.watched
    assert revision == context.platform.revision
    reported = [(each.name, each.is_deleted) for each in found]
    assert reported == [("a", False), ("b", True)], reported


@when("the store no longer has the history for a watch")
def drop_history(context):
    context.platform.put("k", "a", {"x": 1})
    context.platform.statuses = [410]
    context.revision = 1


@then("the watch fails with a lost-history error")
def check_history_lost(context):
    try:
        context.client.watch("k", context.revision, 0.0)
    except errors.HistoryLostError:
        return
    raise AssertionError("the watch was answered")


class RecordingFollower:
    """Records the names of the listed and the changed objects."""

    def __init__(self):
        self.names = set()
        self.lists = 0

    def handle_list(self, items, revision):
        self.lists += 1
        self.names = {each.name for each in items}

    def handle_changes(self, items):
        self.names |= {each.name for each in items}

    def record_recovery(self, at_s, last_use_s):
        raise AssertionError("the store was never unavailable")


@when("the objects of a kind are followed and the history is lost")
def follow_objects(context):
    context.follower = RecordingFollower()
    follow = watch.ObjectFollower(
        context.client, "k", clocks.ManualClock(), context.follower
    )
    context.platform.put("k", "a", {"x": 1})
    follow.read()
    context.platform.put("k", "b", {"x": 1})
    context.platform.statuses = [410]
    try:
        follow.read()
    except errors.HistoryLostError:
        follow.read()


@then("the list is read twice and no object is missed")
def check_followed_list(context):
    assert context.follower.lists == 2
    assert context.follower.names == {"a", "b"}


def write_object(context, value, name="a"):
    """Write an object of another client and return it as read."""
    context.platform.put("k", name, {"x": value})
    return context.client.get("k", name)


@when("an object is written twice, and once more after a restore")
def write_over_restore(context):
    context.platform.era = 1
    first = write_object(context, 1)
    saved = context.platform.copy()
    second = write_object(context, 2)
    context.platform.restore(saved)
    context.versions = [
        each.version for each in (first, second, write_object(context, 3))
    ]


@then("its version has increased each time")
def check_increasing(context):
    versions = context.versions
    assert versions == sorted(set(versions)), versions


@when("a watch begins and the store is restored, with {count:d} writes since")
def watch_over_restore(context, count):
    context.platform.era = 1
    write_object(context, 1)
    saved = context.platform.copy()
    write_object(context, 2)
    context.revision, _ = context.client.list_objects("k")
    context.platform.restore(saved)
    for number in range(count):
        context.platform.put("k", f"b{number}", {"x": number})


@when("an object's version from before a restore is given out again")
def give_out_again(context):
    context.platform.era = 1
    write_object(context, 1)
    saved = context.platform.copy()
    context.earlier = write_object(context, 2)
    context.platform.restore(saved)
    context.platform.put("k", "a", {"x": 3})


@when("an instance that {knowledge} writes on the earlier version")
def write_on_earlier(context, knowledge):
    if knowledge == "has seen the restore":
        context.client.get("k", "a")
    context.outcome = store.put_and_resolve(
        context.client, "k", "a", b"late", context.earlier.version
    )


@then("the write was a conflict")
def check_restored_conflict(context):
    assert isinstance(context.outcome, objects.WriteRejected), context.outcome
    assert context.outcome.reason == "conflict", context.outcome


@when("the store answers from before a restore, after an answer of now")
def answer_late(context):
    context.platform.era = 1
    write_object(context, 1)
    context.platform.restore(context.platform.copy())
    context.client.get("k", "a")
    context.platform.era = 1
    context.reads = [
        lambda: context.client.get("k", "a"),
        lambda: context.client.get("k", "absent"),
        lambda: context.client.list_objects("k"),
    ]


@then("the late answer counts as none")
def check_late_answer(context):
    for read in context.reads:
        try:
            found = read()
        except errors.StoreUnavailableError:
            continue
        raise AssertionError(found)
    outcome = context.client.put("k", "b", b"x", 0, "c1")
    assert isinstance(outcome, objects.WriteOutcomeUnknown), outcome


@when("the store is restored between two pages of a list")
def restore_between_pages(context):
    context.platform.era = 1
    for number in range(7):
        context.platform.put("k", f"n{number}", {"x": number})
    request = context.platform.request

    def restore_first(method, path, **options):
        if "after=" in path and context.platform.era == 1:
            context.platform.restore(context.platform.copy())
        return request(method, path, **options)

    context.client._pool = types.SimpleNamespace(request=restore_first)


@then("the list counts as not answered")
def check_no_list(context):
    try:
        found = context.client.list_objects("k")
    except errors.StoreUnavailableError:
        return
    raise AssertionError(found)


class CopyingFollower:
    """Keeps a copy of the objects that it is told of."""

    def __init__(self):
        self.values = {}

    def handle_list(self, items, revision):
        self.values = {}
        self.handle_changes(items)

    def handle_changes(self, items):
        for each in items:
            if each.is_deleted:
                self.values.pop(each.name, None)
            else:
                self.values[each.name] = each.value

    def record_recovery(self, at_s, last_use_s):
        pass


@when("objects are followed through a restore, with {count:d} writes since")
def follow_over_restore(context, count):
    context.platform.era = 1
    context.follower = CopyingFollower()
    follow = watch.ObjectFollower(
        context.client, "k", clocks.ManualClock(), context.follower
    )
    context.platform.put("k", "a", {"x": 1})
    follow.read()
    saved = context.platform.copy()
    context.platform.put("k", "a", {"x": 2})
    context.platform.put("k", "lost", {"x": 1})
    follow.read()
    context.platform.restore(saved)
    for number in range(count):
        context.platform.put("k", f"b{number}", {"x": number})
    for _ in range(3):
        with contextlib.suppress(errors.HistoryLostError):
            follow.read()


@then("the follower has the objects that the store has")
def check_followed_objects(context):
    found = {
        name: json.loads(value)
        for name, value in context.follower.values.items()
    }
    stored = {
        name: item["spec"]
        for (_, name), item in context.platform.objects.items()
    }
    assert found == stored, (found, stored)
