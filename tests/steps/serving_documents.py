import logging
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow.platform import records
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import documents
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import watch
from mulberryhollow.state import facts
from mulberryhollow.state import objects
from mulberryhollow.transport import store
from standins import platform


class Peers:
    """Gossip of one instance: its facts reach the met instances at once."""

    def __init__(self):
        self.table = facts.FactTable()
        self.met = set()

    def local_member(self):
        return membership.Member("me", 1, "h:1", "h:2", "d", "r", 0.0)

    def publish(self, fact):
        if self.table.merge(fact):
            for each in self.met:
                each.publish(fact)

    def subscribe(self, topic, callback):
        self.table.subscribe(topic, callback)

    def handle(self, topic, handler):
        pass

    def meet(self, others):
        """Exchange all facts with other instances."""
        for each in others:
            self.met.add(each)
            each.met.add(self)
        for one in (self, *others):
            for fact in one.table.list_facts(facts.Topic.DOCUMENT):
                for each in one.met:
                    each.publish(fact)


class LoggedEvents(logging.Handler):
    """Numbers of the events that are logged."""

    def __init__(self):
        super().__init__()
        self.numbers = []

    def emit(self, record):
        self.numbers.append(getattr(record, "event", 0))


class Instance:
    """Follower of the configuration with its actor and its gossip."""

    def __init__(self, stored):
        clock = clocks.ManualClock()
        self.applied = []
        self.actor = documents.DocumentActor.start(
            self._apply, records.decode_catalogue, self._publish
        )
        self.peers = Peers()
        self.peering = fact_peering.FactPeering(
            self.peers, clock, None, self.actor, None
        )
        self.peering.connect()
        client = store.StoreClient(
            "127.0.0.1:1", dialect=dialects.PlatformDialect()
        )
        client._pool = stored
        self.follower = watch.ObjectFollower(
            client,
            records.CONFIGURATION_KIND,
            clock,
            documents.DocumentFollower(records.CONFIGURATION_NAME, self.actor),
        )
        self.is_cut_off = False

    def _apply(self, document):
        self.applied.append(document.environment)
        self._publish(document)

    def _publish(self, document):
        self.peering.publish_document(records.CONFIGURATION_NAME, document)

    @property
    def numbers(self):
        return [each.number for each in self.applied]

    def settle(self):
        """Wait until the actor has handled all messages sent before."""
        self.actor.ask(documents.DocumentUpdate(0, b"{}"))

    def read(self):
        """Read the store until nothing is new."""
        for _ in range(0 if self.is_cut_off else 3):
            try:
                self.follower.read()
            except errors.StoreUnavailableError:
                continue
            except errors.HistoryLostError:
                continue
        self.settle()


def read_all(context):
    for _ in range(2):
        for each in context.instances.values():
            each.read()


def start_instance(context, name):
    context.instances[name] = Instance(context.platform)
    context.add_cleanup(context.instances[name].actor.stop)
    return context.instances[name]


@given("a configuration store in era {era:d}")
def make_store_of_era(context, era):
    context.platform = platform.PlatformStore(era=era)


@given("readers a and b that follow the configuration")
def start_instances(context):
    if "platform" not in context:
        make_store_of_era(context, 1)
    context.events = LoggedEvents()
    logger = logging.getLogger("mulberryhollow")
    logger.addHandler(context.events)
    context.add_cleanup(logger.removeHandler, context.events)
    context.instances = {}
    first, second = (start_instance(context, each) for each in "ab")
    first.peers.meet([second.peers])
    read_all(context)


def write_fields(context, number, **fields):
    content = {"version": number, "routes": [], "services": []} | fields
    context.platform.put("config", "main", content)
    read_all(context)


@when("the operator writes configuration {number:d}")
def write_number(context, number):
    write_fields(context, number)


@when("the operator writes configuration {number:d} with another content")
def write_other_content(context, number):
    write_fields(context, number, limits={"maxHeaderBytes": 99})


@when("the operator writes an invalid configuration")
def write_invalid(context):
    write_fields(context, 9, routes=1)


@when("the configuration is written as {number:d} {when} a list of reader a")
def write_beside_list(context, number, when):
    """Hold the answer to a list of reader a until its step continues."""
    reader = context.instances["a"]
    answers = []
    request = context.platform.request

    def answer_late(method, path, **options):
        answer = request(method, path, **options)
        if when == "during" and not answers:
            write_by_other(context, number)
        answers.append(answer)
        context.before_answer()
        return answer

    def list_again():
        reader.follower._must_list = True
        reader.follower._store._pool = types.SimpleNamespace(
            request=answer_late
        )
        reader.read()

    if when == "before":
        write_by_other(context, number)
    context.list_again = list_again


def write_by_other(context, number):
    content = {"version": number, "routes": [], "services": []}
    context.platform.put("config", "main", content)


@when("reader a is told of it {order} the list by its peer")
def tell_beside_list(context, order):
    peer = context.instances["b"]
    context.before_answer = peer.read if order == "before" else lambda: None
    context.list_again()
    peer.read()
    context.instances["a"].settle()


@when("all readers list the store again")
def list_all_again(context):
    for each in context.instances.values():
        each.follower._must_list = True
    read_all(context)


@when("the configuration store is copied")
def copy_store(context):
    context.saved = context.platform.copy()


@when("the configuration store is restored")
def restore_store(context):
    context.platform.restore(context.saved)
    read_all(context)


@when("reader {name} starts and {first}")
def start_after_restore(context, name, first):
    others = [
        each.peers for key, each in context.instances.items() if key != name
    ]
    found = start_instance(context, name)
    steps = [found.read, lambda: found.peers.meet(others)]
    if first == "meets its peers first":
        steps.reverse()
    for each in steps:
        each()
        found.settle()
    read_all(context)


@when("reader {name} is gone")
def stop_instance(context, name):
    gone = context.instances.pop(name)
    for each in context.instances.values():
        each.peers.met.discard(gone.peers)


@when("reader {name} is cut off from its store")
def cut_off_from_store(context, name):
    context.instances[name].is_cut_off = True


@then("reader {name} has put into force {numbers}")
def check_applied(context, name, numbers):
    found = ", ".join(map(str, context.instances[name].numbers))
    assert found == numbers, found


@then("reader {name} has configuration {number:d} in force")
def check_in_force(context, name, number):
    numbers = context.instances[name].numbers
    assert numbers[-1:] == [number], numbers


@then("reader {name} has the content of reader {other}")
def check_same_content(context, name, other):
    instances = context.instances
    found = instances[name].applied[-1], instances[other].applied[-1]
    assert found[0] == found[1], found


@then("each reader has logged event {number:d} once")
def check_logged(context, number):
    count = context.events.numbers.count(number)
    assert count == len(context.instances), context.events.numbers


@then("the configuration is published with the revision of the store")
def check_published_version(context):
    for each in context.instances.values():
        fact = each.peers.table.get(facts.Topic.DOCUMENT, "main")
        assert fact.version == context.platform.revision, fact.version
        assert objects.get_era(fact.version) == 0
