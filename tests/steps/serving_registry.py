import collections
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import membership
from mulberryhollow.serving import registry
from tests import restored_store

USUAL_INTERVAL_S = 1.0


class Peers:
    """Membership with the local member alone."""

    def __init__(self, name):
        self._member = membership.Member(
            instance_id=name,
            incarnation=1,
            peer_address="10.0.0.1:7000",
            http_address="10.0.0.1:8000",
            failure_domain="d",
            region="r",
            started_s=0.0,
        )

    def local_member(self):
        return self._member

    def members(self):
        return []

    def add_members(self, members):
        pass


def register(context, count):
    cloud = types.SimpleNamespace(list_entries=list)
    context.registries = [
        registry.Registry(context.registration_store, cloud, Peers(f"i{n}"))
        for n in range(count)
    ]
    for each in context.registries:
        each.register()


@given("a store that was copied before an instance registered itself there")
def copy_before(context):
    copy_before_many(context, 1)


@given(
    "a store that was copied before {count:d} instances registered themselves"
)
def copy_before_many(context, count):
    context.registration_store = restored_store.RestoredStore()
    # Only the writes count here; lists of a large fleet take long to decode.
    context.registration_store.list_objects = lambda *_, **__: (1, [])
    copied = context.registration_store.copy()
    register(context, count)
    context.registration_copy = copied


@given("a store that was copied after an instance registered itself there")
def copy_after(context):
    context.registration_store = restored_store.RestoredStore()
    register(context, 1)
    context.registration_copy = context.registration_store.copy()


@when("the store of registrations is restored")
def restore(context):
    context.registration_store.restore(context.registration_copy)
    context.restored_revision = context.registration_store.revision


@when("the registry is called for {seconds:d} seconds")
def call(context, seconds):
    """Call each registry when it is due; count the writes of each second."""
    context.writes = collections.Counter()
    for each in context.registries:
        now_s = 0.0
        while now_s < seconds:
            before = context.registration_store.revision
            wait_s = each.register()
            written = context.registration_store.revision - before
            context.writes[int(now_s)] += written
            now_s += USUAL_INTERVAL_S if wait_s is None else wait_s


@when("the registry removes the registration")
def remove(context):
    for each in context.registries:
        each.remove()


@then("the store has the registration of the instance")
def check_registered(context):
    assert len(context.registration_store.objects) == 1


@then("the store has no registration")
def check_removed(context):
    found = context.registration_store.objects
    assert not found, found


@then("the store of registrations was not written")
def check_unwritten(context):
    assert context.registration_store.revision == context.restored_revision


@then(
    "{count:d} registrations were written again, at most {most:d} in any "
    "second"
)
def check_spread(context, count, most):
    assert context.writes.total() == count, context.writes
    assert max(context.writes.values()) <= most, context.writes
