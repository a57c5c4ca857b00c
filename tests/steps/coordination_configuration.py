import itertools
import pathlib
import types

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import configuration
from mulberryhollow.protocol import document
from mulberryhollow.state import objects

EXAMPLE = pathlib.Path("examples/production.ini").read_bytes()
DOCUMENTS = {"good": EXAMPLE, "bad": b"[odd]"}


@attrs.frozen
class Member:
    instance: str
    failure_domain: str


@given("version {version:d} of a document is active")
def activate_document(context, version):
    context.active_document = configuration.ActiveDocument(document.parse)
    context.active_document.offer(version, EXAMPLE)


@when("version {version:d} of a {kind} document is offered")
def offer_document(context, version, kind):
    context.offered = context.active_document.offer(version, DOCUMENTS[kind])


@then("the offer is {outcome} and version {version:d} is active")
def check_offer(context, outcome, version):
    assert type(context.offered).__name__ == outcome, context.offered
    assert context.active_document.checked_version == version
    assert context.active_document.document.environment.version == version


@then("the rejection is marked as repeated")
def check_repeated(context):
    assert context.offered.is_repeated
    assert context.offered.faults


@then("an instance whose peers report versions 6 and 4 is behind until 6")
def check_behind(context):
    context.active_document.record_peer_version(6)
    context.active_document.record_peer_version(4)
    assert context.active_document.is_behind
    context.active_document.offer(6, EXAMPLE)
    assert not context.active_document.is_behind


@then("after any offers the highest good version is active")
def check_any_offers(context):
    offers = strategies.tuples(
        strategies.integers(1, 9), strategies.sampled_from(("good", "bad"))
    )

    @hypothesis.given(strategies.lists(offers, max_size=30))
    def check(offered):
        kinds = {}
        active_document = configuration.ActiveDocument(document.parse)
        versions = [0]
        for version, kind in offered:
            kind = kinds.setdefault(version, kind)
            active_document.offer(version, DOCUMENTS[kind])
            versions.append(active_document.checked_version)
        good = [each for each, kind in kinds.items() if kind == "good"]
        assert versions == sorted(versions)
        assert active_document.checked_version == max(good, default=0)

    check()


@then("after any offers of numbered documents the number has never fallen")
def check_any_numbered_offers(context):
    offers = strategies.tuples(
        strategies.sampled_from(("offer", "offer_published")),
        strategies.integers(1, 9),
        strategies.integers(1, 9),
    )

    @hypothesis.given(strategies.lists(offers, max_size=30))
    def check(offered):
        active_document = configuration.ActiveDocument(
            lambda data, version: types.SimpleNamespace(number=int(data))
        )
        numbers = [0]
        for method, version, number in offered:
            offer = getattr(active_document, method)
            offer(version, str(number).encode())
            numbers.append(active_document.document.number)
        assert numbers == sorted(numbers)

    check()


def parse_number(data, version):
    return types.SimpleNamespace(number=int(data))


@given(
    "instances whose active document has number {number:d}, "
    "as of revision {revision:d}"
)
def activate_numbered(context, number, revision):
    context.active_documents = [
        configuration.ActiveDocument(parse_number) for _ in range(2)
    ]
    for each in context.active_documents:
        each.offer(objects.make_version(1, revision), str(number).encode())


@when("a peer publishes number {number:d} with version {version:d}")
def publish_numbered(context, number, version):
    context.offered = context.active_documents[0].offer_published(
        version, str(number).encode()
    )


@then("the offer is {outcome} with published version {version:d}")
def check_published_offer(context, outcome, version):
    assert type(context.offered).__name__ == outcome, context.offered
    found = context.active_documents[0].document.published_version
    assert found == version, found


@when("the store is restored at revision {revision:d}")
def restore_numbered(context, revision):
    context.restored_revision = revision


@when("one instance applies numbers 9 and 10, and another only number 10")
def apply_after_restore(context):
    first, second = context.active_documents

    def offer(active_document, number):
        revision = context.restored_revision + number
        version = objects.make_version(2, revision)
        outcome = active_document.offer(version, str(number).encode())
        return outcome.document.published_version

    context.published_9 = offer(first, 9)
    context.published_10 = [offer(first, 10), offer(second, 10)]


@then("each published version of number 10 is above that of number 9")
def check_published_order(context):
    found = context.published_9, context.published_10
    assert min(context.published_10) > context.published_9, found


@then(
    "after {store} s without the store and {peers} s without peers "
    "the instance is {expected}"
)
def check_readiness(context, store, peers, expected):
    contacts_s = [
        None if age == "never" else 10_000.0 - float(age)
        for age in (store, peers)
    ]
    match configuration.decide_ready(10_000.0, *contacts_s, True):
        case configuration.Ready():
            assert expected == "Ready"
        case configuration.NotReady(reason):
            assert expected == reason.name


@then("an instance without a document is not ready")
def check_no_document(context):
    outcome = configuration.decide_ready(1.0, 1.0, 1.0, False)
    reason = configuration.NotReadyReason.NO_DOCUMENT
    assert outcome == configuration.NotReady(reason)


@given("{domains:d} failure domains with {count:d} members each")
def make_members(context, domains, count):
    pairs = itertools.product(range(domains), range(count))
    context.members = [
        Member(f"i-{domain}-{index}", f"zone-{domain}")
        for domain, index in pairs
    ]


@when("{count:d} watchers are chosen for each failure domain")
def choose(context, count):
    context.zones = sorted({each.failure_domain for each in context.members})
    context.watchers = {
        zone: configuration.choose_watchers(context.members, zone, count)
        for zone in context.zones
    }


@then("each failure domain has {count:d} watchers of its own")
def check_watchers(context, count):
    for zone, watchers in context.watchers.items():
        prefix = zone.replace("zone-", "i-") + "-"
        assert len(set(watchers)) == count
        assert all(name.startswith(prefix) for name in watchers)


@then("the order of members does not change the watchers")
def check_order(context):
    for zone, watchers in context.watchers.items():
        reordered = reversed(context.members)
        assert configuration.choose_watchers(reordered, zone, 2) == watchers


@then("the loss of a watcher does not change the other watcher")
def check_loss(context):
    for zone, (first, second) in context.watchers.items():
        remaining = [
            each for each in context.members if each.instance != first
        ]
        assert configuration.choose_watchers(remaining, zone, 2)[0] == second


@given('a change of the example from "{old}" to "{new}" by "{council}"')
def make_change(context, old, new, council):
    old, new = (text.replace("\\n", "\n").encode() for text in (old, new))
    assert old in EXAMPLE
    data = EXAMPLE.replace(old, new)
    context.change = configuration.Change("production", 7, data, council)
    context.stored = objects.StoredObject(
        "environment", "production", 7, EXAMPLE
    )


@given("the stored example has version 8")
def store_example(context):
    context.stored = objects.StoredObject(
        "environment", "production", 8, EXAMPLE
    )


@given("the stored document is invalid")
def store_invalid(context):
    context.stored = objects.StoredObject(
        "environment", "production", 7, b"[odd]"
    )


def decide(context, change):
    """Return the decision on a change of the stored document."""
    return configuration.decide_change(change, context.stored, document.parse)


@then("the change is {expected}")
def check_decision(context, expected):
    match decide(context, context.change):
        case configuration.Allowed():
            assert expected == "allowed"
        case configuration.Refused(faults):
            assert expected == "refused", list(map(str, faults))
            assert all(fault.section and fault.remedy for fault in faults)


@then("a change based on version 7 is a conflict with version 8")
def check_conflict(context):
    change = configuration.Change("production", 7, b"[odd]", "brunner")
    conflict = decide(context, change)
    assert conflict == configuration.Conflict(7, 8)
    assert "--base-version" in conflict.remedy


@then(
    'a change by "{allowed}" may replace it, but a change by "{refused}" may'
    " not"
)
def check_repair(context, allowed, refused):
    change = configuration.Change("production", 7, EXAMPLE, allowed)
    assert decide(context, change) == configuration.Allowed()
    change = attrs.evolve(change, council=refused)
    assert isinstance(decide(context, change), configuration.Refused)
