import types

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.protocol import cloud as messages
from mulberryhollow.serving import notices
from mulberryhollow.serving import pollers
from mulberryhollow.state import prefixes


class NumberedList:
    """Server of a list of items with numbers from 1 on."""

    def __init__(self):
        self.items = []
        self.calls = 0

    def add(self, item):
        self.items.append(attrs.evolve(item, number=len(self.items) + 1))

    def restart(self):
        self.items.clear()

    def list_after(self, after):
        self.calls += 1
        return [each for each in self.items if each.number > after]


class Dispatcher:
    """Applies changes at once, to an actor that has an index of prefixes."""

    def __init__(self):
        self.actor = types.SimpleNamespace(
            prefixes=prefixes.PrefixIndex(),
            view=types.SimpleNamespace(mark_leaving=lambda name: None),
        )

    def change(self, apply):
        apply(self.actor, 0.0)


@given("an engine with {count:d} cache events that are read")
def make_engine(context, count):
    context.list = NumberedList()
    context.dispatcher = Dispatcher()
    engine = types.SimpleNamespace(id="e1", address="a:1", role="model")
    client = types.SimpleNamespace(
        get_cache_events=lambda address, after: context.list.list_after(after)
    )
    context.poller = pollers.LoadPoller(
        client,
        context.dispatcher,
        types.SimpleNamespace(endpoints=(engine,)),
    )
    context.poller._read_load = lambda endpoint: None
    publish(context, range(count))
    read_events(context)


def publish(context, found):
    for each in found:
        context.list.add(prefixes.CacheEvent(0, True, each))


@when("the engine restarts and publishes {count:d} cache events")
def restart_engine(context, count):
    context.list.restart()
    publish(context, range(100, 100 + count))


@when("the cache events are read")
def read_events(context):
    for _ in range(pollers.LOAD_READS_PER_EVENTS_READ):
        context.poller.read()


@then("the engine is known to hold the {count:d} prefixes and no other")
def check_prefixes(context, count):
    held = set(context.dispatcher.actor.prefixes._held.get("e1", ()))
    assert held == set(range(100, 100 + count)), held


@given("a cloud API with {count:d} reclaim notices that are read")
def make_cloud(context, count):
    context.list = NumberedList()
    context.applied = []
    context.poller = pollers.NoticePoller(
        types.SimpleNamespace(list_notices=context.list.list_after),
        Dispatcher(),
        notices.Notices(),
        context.applied.append,
        lambda notice: None,
    )
    for number in range(count):
        give_notice(context, f"e{number}")
    read_notices(context)


def give_notice(context, name):
    context.list.add(messages.Notice(0, name, "d1", 1000.0))


@when("the cloud API restarts and gives 1 notice")
def restart_cloud(context):
    context.list.restart()
    give_notice(context, "late")


@when("the reclaim notices are read")
def read_notices(context):
    context.list.calls = 0
    context.poller.read()


@then("{count:d} notices were applied")
def check_applied(context, count):
    assert len(context.applied) == count, context.applied


@then("the last read made {count:d} call")
def check_calls(context, count):
    assert context.list.calls == count, context.list.calls
