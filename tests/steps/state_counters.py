from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.state import counters

KEY = counters.RowKey("chat", "v2", "ask")


def count_failures(incarnation, failures, node="a"):
    counted = counters.Counters(node, incarnation)
    for _ in range(failures):
        counted.record_failure(KEY)
    return counted


def list_messages(steps):
    """Return snapshots of three nodes that each count and send in steps."""
    nodes = [counters.Counters(name, 1) for name in "abc"]
    messages = []
    for node, latency_s in steps:
        nodes[node].record_failure(KEY)
        nodes[node].record_latency(KEY, latency_s)
        messages.append(nodes[node].take_snapshot())
    return messages


@given("any messages of counters from three nodes")
def define_messages(context):
    step = strategies.tuples(
        strategies.integers(0, 2), strategies.floats(0, 100)
    )
    steps = strategies.lists(step, min_size=1, max_size=8)
    context.messages = steps.map(list_messages)


@then("every order of them with duplicates merges into the same counts")
def check_orders(context):
    @hypothesis.given(context.messages, strategies.randoms())
    def check(messages, random):
        shuffled = messages * 2
        random.shuffle(shuffled)
        views = [counters.Counters("x", 1) for _ in range(2)]
        for view, order in zip(views, (messages, shuffled), strict=True):
            for message in order:
                view.merge(counters.decode(counters.encode(message)))
        totals = [view.total("chat", "v2", "ask") for view in views]
        assert totals[0] == totals[1]
        assert totals[0].failed == totals[0].latency_count == len(messages)

    check()


@given(
    "counters of node a that counted {failures:d} failures"
    " in incarnation {incarnation:d}"
)
def count(context, failures, incarnation):
    context.counted = getattr(context, "counted", [])
    context.counted.append(count_failures(incarnation, failures))


@when("the counters of both incarnations are merged at node b")
def merge_both(context):
    context.view = counters.Counters("b", 1)
    for counted in reversed(context.counted):
        context.view.merge(counted.take_snapshot())


@then("node b counts {failures:d} failures")
def check_failures(context, failures):
    assert context.view.total("chat", "v2").failed == failures


@when("one message of counters is lost and {more:d} more failures follow")
def lose_message(context, more):
    (sender,) = context.counted
    context.view = counters.Counters("b", 1)
    lost = sender.take_snapshot()
    other = counters.RowKey("chat", "v2", "other")
    for _ in range(more):
        sender.record_failure(other)
    known = context.view.merge(sender.take_snapshot(lost.sequence))
    assert known == 0
    assert context.view.merge(sender.take_snapshot(known)) == sender.sequence


@when("a peer reports {failures:d} failures in the name of node a")
def merge_echo(context, failures):
    (context.view,) = context.counted
    context.view.merge(count_failures(1, failures).take_snapshot())


@then("node a still counts {failures:d} failures")
def check_unchanged(context, failures):
    assert context.view.total("chat", "v2").failed == failures


@when("{number:d} of the failures are excused")
def excuse(context, number):
    context.counted[0].excuse(KEY, number)


@then("{number:d} failure is attributed to the version")
def check_attributed(context, number):
    assert context.counted[0].total("chat", "v2").attributed_failures == number


@given("counters of node a with {number:d} counted routes")
def count_routes(context, number):
    context.sender = counters.Counters("a", 1)
    for route in range(number):
        key = counters.RowKey("chat", "v2", f"route-{route}")
        context.sender.record_start(key)
        context.sender.record_latency(key, 0.2)


@when("one route counts another latency")
def record_another_latency(context):
    context.before = context.sender.sequence
    key = counters.RowKey("chat", "v2", "route-7")
    context.sender.record_latency(key, 0.1)


@then(
    "the next message of counters holds {rows:d} row in under {size:d} bytes"
)
def check_delta(context, rows, size):
    message = context.sender.take_snapshot(context.before)
    assert len(message.rows) == rows
    assert len(counters.encode(message)) < size


@then("any damage to their message raises a typed error or decodes to counts")
def check_damage(context):
    data = counters.encode(context.sender.take_snapshot())
    damage = strategies.tuples(
        strategies.integers(0, len(data) - 1), strategies.integers(0, 255)
    )

    @hypothesis.given(
        strategies.lists(damage, max_size=4),
        strategies.integers(0, len(data)),
    )
    def check(changes, length):
        damaged = bytearray(data)
        for offset, value in changes:
            damaged[offset] = value
        try:
            read = counters.decode(bytes(damaged[:length]))
        except counters.CountersFormatError:
            return
        assert all(row.started >= 0 for row in read.rows.values())

    check()
