import itertools

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.state.facts import Fact
from mulberryhollow.state.facts import FactTable
from mulberryhollow.state.facts import Topic

EXPIRY_S = 100.0
TOPICS = [topic.value for topic in Topic]
DRAWN_FACTS = strategies.builds(
    Fact,
    strategies.sampled_from(TOPICS),
    strategies.sampled_from(["a", "b"]),
    strategies.integers(0, 4),
    strategies.sampled_from([b"", b"x", b"y"]),
    strategies.sampled_from([0.0, 50.0, 60.0]),
)


def merge_all(*groups):
    table = FactTable()
    for fact in itertools.chain(*groups):
        table.merge(fact)
    return table


def list_content(table):
    return sorted(
        (fact.topic, fact.key, fact.version, fact.value, fact.expires_s)
        for fact in table.changes_since(0).facts
    )


def make_verdict(version, key="move-1"):
    return Fact(Topic.VERDICT, key, version, b"bad")


@given("a fact table")
def make_table(context):
    context.fact_table = FactTable()


@given("a fact table for {count:d} facts")
def make_small_table(context, count):
    context.fact_table = FactTable(capacity=count)


@given("a fact table for {size:d} bytes")
def make_table_of_bytes(context, size):
    context.fact_table = FactTable(capacity_bytes=size)


@when("version 2 and then version 1 of a verdict are merged")
def merge_reordered(context):
    context.delivered = []
    context.fact_table.subscribe(Topic.VERDICT, context.delivered.append)
    assert context.fact_table.merge(make_verdict(2))
    assert not context.fact_table.merge(make_verdict(1))
    assert not context.fact_table.merge(make_verdict(2))


@then("the fact table holds version 2 of the verdict")
def check_version(context):
    assert context.fact_table.get(Topic.VERDICT, "move-1") == make_verdict(2)


@then("the subscriber of verdicts received version 2 only")
def check_subscriber(context):
    assert context.delivered == [make_verdict(2)]


@then("merging facts is commutative, associative and idempotent")
def check_merge(context):
    groups = strategies.lists(DRAWN_FACTS, max_size=8)

    @hypothesis.given(groups, groups, groups)
    def check(first, second, third):
        whole = list_content(merge_all(first, second, third))
        assert whole == list_content(merge_all(third, first, second))
        inner = merge_all(second, third).changes_since(0).facts
        assert whole == list_content(merge_all(first, inner))
        assert whole == list_content(merge_all(first, second, third, first))
        check_versions_never_decrease(first + second + third)

    check()


def check_versions_never_decrease(found):
    table = FactTable()
    highest = {}
    for fact in found:
        table.merge(fact)
        topic_key = fact.topic, fact.key
        highest[topic_key] = max(highest.get(topic_key, 0), fact.version)
        assert table.get(*topic_key).version == highest[topic_key]


@when("a verdict and a notice are merged")
def merge_two(context):
    context.notice = Fact(Topic.NOTICE, "i-1", 1, b"")
    context.fact_table.merge(make_verdict(1))
    context.fact_table.merge(context.notice, source="i-7")


@then("the changes of the fact table are the verdict and the notice")
def check_changes(context):
    changes = context.fact_table.changes_since(0)
    assert changes.facts == (make_verdict(1), context.notice)
    context.cursor = changes.cursor


@then("a later change of the verdict is the only one after the cursor")
def check_cursor(context):
    context.fact_table.merge(make_verdict(2))
    changes = context.fact_table.changes_since(context.cursor)
    assert changes.facts == (make_verdict(2),)
    assert context.fact_table.changes_since(changes.cursor).facts == ()


@then("changes received from a peer are not sent back to that peer")
def check_source(context):
    found = context.fact_table.changes_since(0, skip_sources=("i-7",)).facts
    assert found == (make_verdict(2),)


@when("a document, two counter snapshots and a verdict are merged")
def merge_four(context):
    context.document = Fact(Topic.DOCUMENT, "production", 1, b"")
    context.early = Fact(Topic.COUNTERS, "i-1", 1, b"")
    context.later = Fact(Topic.COUNTERS, "i-2", 1, b"")
    found = (context.document, context.early, context.later, make_verdict(1))
    for fact in found:
        context.fact_table.merge(fact)


@then("the fact table holds the document, the verdict and the later snapshot")
def check_eviction(context):
    found = context.fact_table.changes_since(0).facts
    assert found == (context.document, context.later, make_verdict(1))


@when("a large document is merged")
def merge_large(context):
    context.document = Fact(Topic.DOCUMENT, "production", 1, bytes(500))
    context.fact_table.merge(context.document)


@then("the fact table holds the document")
def check_document(context):
    assert context.fact_table.get("document", "production") == context.document


@when("a quarantine is merged and then expires")
def merge_expiring(context):
    context.fact = Fact(Topic.QUARANTINE, "f", 1, b"", EXPIRY_S)
    assert context.fact_table.merge(context.fact, EXPIRY_S - 1)
    assert context.fact_table.drop_expired(EXPIRY_S - 1) == ()
    context.dropped = context.fact_table.drop_expired(EXPIRY_S)


@then("the fact table has dropped the quarantine")
def check_dropped(context):
    assert context.dropped == (context.fact,)
    assert len(context.fact_table) == 0
    assert context.fact_table.size_bytes == 0


@then("the fact table does not accept the quarantine again")
def check_not_again(context):
    assert not context.fact_table.merge(context.fact, EXPIRY_S)


@when("one quarantine is merged with two expiry times")
def merge_twice(context):
    for expires_s in (EXPIRY_S, 2 * EXPIRY_S, EXPIRY_S):
        fact = Fact(Topic.QUARANTINE, "f", 1, b"", expires_s)
        context.fact_table.merge(fact)


@then("the fact table keeps the quarantine until the later expiry")
def check_prolonged(context):
    assert context.fact_table.drop_expired(EXPIRY_S) == ()
    assert len(context.fact_table.drop_expired(2 * EXPIRY_S)) == 1


@then("tables with equal non-volatile facts have equal digests")
def check_digests(context):
    non_volatile = [make_verdict(3), make_verdict(1, "move-2")]
    volatile = [Fact(Topic.LOAD, "i-1", 1, b"")]
    context.one = merge_all(non_volatile, volatile)
    context.other = merge_all(reversed(non_volatile), [make_verdict(1)])
    assert context.one.compute_digest() == context.other.compute_digest()
    assert context.one.compute_digests() == context.other.compute_digests()


@then("one more verdict changes one digest")
def check_difference(context):
    context.other.merge(make_verdict(1, "move-3"))
    assert context.one.compute_digest() != context.other.compute_digest()
    pairs = zip(
        context.one.compute_digests(),
        context.other.compute_digests(),
        strict=True,
    )
    assert sum(one != other for one, other in pairs) == 1
