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


@then("the watch fails with a lost-history error")
def check_history_lost(context):
    try:
        context.client.watch("k", 1, 0.0)
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

    def record_recovery(self, at_s):
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
