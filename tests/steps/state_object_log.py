from behave import given
from behave import then
from behave import when

from mulberryhollow.state import object_log
from mulberryhollow.state import objects


def make_object(name, version, is_deleted=False):
    return objects.StoredObject("k", name, version, b"x", "", is_deleted)


@given("a log of the objects a and b as of revision {revision:d}")
def make_log(context, revision):
    context.log = object_log.ObjectLog()
    items = (make_object("a", 1), make_object("b", 2))
    context.log.apply(object_log.ObjectChanges(None, revision, items, True))


def add_read(context, base, revision, items):
    context.log.apply(object_log.ObjectChanges(base, revision, items, False))


@given("a read from revision {base:d} to {revision:d} that changed a")
def change_object(context, base, revision):
    add_read(context, base, revision, (make_object("a", revision),))


@given("a read from revision {base:d} to {revision:d} that deleted b")
def delete_object(context, base, revision):
    add_read(context, base, revision, (make_object("b", revision, True),))


@given("a read from revision {base:d} to {revision:d} without a change")
def read_nothing(context, base, revision):
    add_read(context, base, revision, ())


@given("{count:d} reads that each changed a")
def change_often(context, count):
    for base in range(context.log.revision, context.log.revision + count):
        change_object(context, base, base + 1)


@when("a reader at revision {after} asks for changes")
def ask_log(context, after):
    revision = None if after == "none" else int(after)
    context.changes = context.log.list_changes(revision)


@then("it gets {items} as {form} up to revision {revision:d}")
def check_changes(context, items, form, revision):
    names = [
        f"deleted {each.name}" if each.is_deleted else each.name
        for each in context.changes.items
    ]
    assert (", ".join(names) or "nothing") == items, names
    assert context.changes.is_complete == (form == "all objects")
    assert context.changes.revision == revision


@then("it gets no answer")
def check_no_changes(context):
    assert context.changes is None, context.changes
