import itertools
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import admission
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import Refusal
from mulberryhollow.state.environment import RequestClass

START_S = 1000.0
CLASSES = {
    "chats": RequestClass.CHAT,
    "patient requests": RequestClass.PATIENT,
}


def parse_weights(text):
    pairs = (item.split("=") for item in text.split())
    return {name: float(weight) for name, weight in pairs}


def make_unlimited_limit():
    rules = admission.InflightRules(requests=10**9)
    return admission.InflightLimit(rules)


@given("admission of {rate:d} tokens a second to accounts {weights}")
def make_admission(context, rate, weights):
    context.rate = rate
    inflight = None if rate >= 1_000_000 else make_unlimited_limit()
    context.admission = admission.Admission(
        rate, parse_weights(weights), START_S, inflight=inflight
    )
    context.peer_demand = lambda: None
    context.admitted = []


@given("admission admits a quarter of the patient requests")
def shed_patient(context):
    context.admission.set_patient_fraction(0.25)


@given("admission knows of 8 live nodes without reports")
def set_nodes(context):
    context.admission.set_live_nodes(8, START_S)


@given("admission knows of 8 live nodes whose peers see no demand")
def set_idle_peers(context):
    set_nodes(context)
    context.peer_demand = dict


@given("admission knows of 8 live nodes whose peers see the same demand")
def set_equal_peers(context):
    set_nodes(context)
    context.peer_demand = lambda: context.admission.list_demand(context.now_s)


@when("account {name} sends {count:d} {kind} of {cost:d} tokens at once")
def send_at_once(context, name, count, kind, cost):
    context.account, context.cost = name, cost
    context.results = [
        context.admission.admit(name, CLASSES[kind], cost, START_S)
        for _ in range(count)
    ]
    context.admitted += [
        result
        for result in context.results
        if isinstance(result, admission.Admitted)
    ]


@when(
    "account {name} sends {count:d} {kind} of {cost:d} tokens a second for "
    "{for_s:d} seconds"
)
def plan_sending(context, name, count, kind, cost, for_s):
    context.for_s = for_s
    context.senders = [(name, count, CLASSES[kind], cost)]


@when(
    "meanwhile account {name} sends {count:d} {kind} of {cost:d} tokens a "
    "second"
)
def plan_more_sending(context, name, count, kind, cost):
    context.senders.append((name, count, CLASSES[kind], cost))


def list_arrivals(context):
    arrivals = [
        (START_S + step / count, name, request_class, cost)
        for name, count, request_class, cost in context.senders
        for step in range(count * context.for_s)
    ]
    return sorted(arrivals, key=lambda arrival: arrival[:2])


def run_plan(context):
    if "tokens" in context:
        return
    context.tokens, context.counts = {}, {}
    reported_s = START_S
    for now_s, name, request_class, cost in list_arrivals(context):
        context.now_s = now_s
        demand = context.peer_demand()
        if demand is not None and now_s - reported_s >= 1.0:
            reported_s = now_s
            for number in range(7):
                context.admission.report_demand(f"n{number}", demand, now_s)
        result = context.admission.admit(name, request_class, cost, now_s)
        got = isinstance(result, admission.Admitted)
        context.tokens.setdefault(name, 0)
        context.tokens[name] += cost * got
        tally = context.counts.setdefault((name, request_class), [0, 0])
        tally[0] += got
        tally[1] += 1


@when("all admitted requests end")
def end_all(context):
    for item in context.admitted:
        context.admission.finish(item, START_S + 1.0)
        context.admission.finish(item, START_S + 1.0)


@when("the accounts of admission become {weights}")
def change_accounts(context, weights):
    context.admission.set_accounts(parse_weights(weights), START_S)


@then(
    "between {low:d} and {high:d} of these requests of account {name} are "
    "admitted"
)
def check_between(context, name, low, high):
    got = sum(
        isinstance(result, admission.Admitted) for result in context.results
    )
    assert low <= got <= high, got


def get_first_refusal(context):
    return next(
        result for result in context.results if isinstance(result, Refusal)
    )


@then(
    "its first refusal is {kind}, not run, after {low_s:g} to {high_s:g} "
    "seconds"
)
def check_refusal(context, kind, low_s, high_s):
    refusal = get_first_refusal(context)
    assert refusal.kind.wire_name == kind, refusal
    assert refusal.ran is ExecutionStatus.NOT_RUN
    assert low_s <= refusal.retry_after_s <= high_s, refusal


@then("its first refusal is {kind}, not run, without a retry time")
def check_plain_refusal(context, kind):
    refusal = get_first_refusal(context)
    assert refusal.kind.wire_name == kind
    assert refusal.ran is ExecutionStatus.NOT_RUN
    assert refusal.retry_after_s is None


@then("a chat sent by account {name} at that retry time is admitted")
def check_retry(context, name):
    at_s = START_S + get_first_refusal(context).retry_after_s + 1e-6
    result = context.admission.admit(
        name, RequestClass.CHAT, context.cost, at_s
    )
    assert isinstance(result, admission.Admitted), result


@then("the retry times of account {name} grow by {step_s:g} seconds each")
def check_spacing(context, name, step_s):
    times_s = [
        result.retry_after_s
        for result in context.results
        if isinstance(result, Refusal)
    ]
    assert len(times_s) > 20
    for before_s, after_s in itertools.pairwise(times_s):
        assert abs(after_s - before_s - step_s) < 1e-6


@then("all chats of account {name} are admitted")
def check_all(context, name):
    run_plan(context)
    got, sent = context.counts[name, RequestClass.CHAT]
    assert got == sent, (got, sent)


@then("at least {percent:d}% of the chats of account {name} are admitted")
def check_most(context, name, percent):
    run_plan(context)
    got, sent = context.counts[name, RequestClass.CHAT]
    assert got >= sent * percent / 100, (got, sent)


@then(
    "fewer than {percent:d}% of the patient requests of account {name} are "
    "admitted"
)
def check_few(context, name, percent):
    run_plan(context)
    got, sent = context.counts[name, RequestClass.PATIENT]
    assert got < sent * percent / 100, (got, sent)


@then("{count:d} patient requests of account {name} are admitted")
def check_patients(context, name, count):
    run_plan(context)
    got, _ = context.counts[name, RequestClass.PATIENT]
    assert got == count, got


@then("account {name} got between {low:d}% and {high:d}% of the shared rate")
def check_rate(context, name, low, high):
    run_plan(context)
    percent = 100 * context.tokens[name] / (context.rate * context.for_s)
    assert low <= percent <= high, percent


@then(
    "account {name} got between {low:d}% and {high:d}% of an eighth of the "
    "rate"
)
def check_eighth(context, name, low, high):
    run_plan(context)
    rate = context.rate * 0.125
    percent = 100 * context.tokens[name] / (rate * context.for_s)
    assert low <= percent <= high, percent


@then(
    "account {more} got between {low:d} and {high:d} times as much as "
    "account {less}"
)
def check_ratio(context, more, low, high, less):
    run_plan(context)
    ratio = context.tokens[more] / context.tokens[less]
    assert low <= ratio <= high, ratio


@then("admission has {count:d} requests in flight")
def check_inflight(context, count):
    assert context.admission.inflight_count == count


_ARRIVALS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 3.0),
        strategies.sampled_from("abc"),
        strategies.sampled_from(RequestClass),
        strategies.integers(1, 600),
    ),
    max_size=80,
)


@then("for any arrivals admitted tokens stay within rate and burst")
def check_any_arrivals(context):
    @hypothesis.given(_ARRIVALS)
    def check(arrivals):
        weights = {"a": 1.0, "b": 2.0, "c": 5.0}
        controller = admission.Admission(
            1000, weights, 0.0, inflight=make_unlimited_limit()
        )
        now_s, spent = 0.0, 0.0
        for gap_s, name, request_class, cost in arrivals:
            now_s += gap_s
            result = controller.admit(name, request_class, cost, now_s)
            if isinstance(result, admission.Admitted):
                spent += cost
            bucket_and_pool = 2 * 1000 * admission.BURST_S
            oversize = 600 * len(weights)
            assert spent <= 1000 * now_s + bucket_and_pool + oversize

    check()


@when(
    "demand moves between 8 nodes every {move_s:g} seconds with {lost:d}% "
    "report loss"
)
def move_demand(context, move_s, lost):
    rng = random.Random(7)
    weights = {"a": 1.0, "b": 1.0, "c": 2.0}
    nodes = [
        admission.Admission(1000, weights, 0.0, 8, make_unlimited_limit())
        for _ in range(8)
    ]
    context.spent = 0
    for step in range(6000):
        now_s = step / 100
        if step % 100 == 99:
            exchange_demand(nodes, now_s, lambda: rng.random() * 100 < lost)
        node = nodes[int(now_s / move_s + 1e-9) % 8]
        for name in weights:
            result = node.admit(name, RequestClass.CHAT, 20, now_s)
            context.spent += 20 * isinstance(result, admission.Admitted)


def exchange_demand(nodes, now_s, is_lost):
    for sender, receiver in itertools.permutations(range(8), 2):
        if not is_lost():
            demand = nodes[sender].list_demand(now_s)
            nodes[receiver].report_demand(f"n{sender}", demand, now_s)


@then("the nodes together admit between {low:d}% and 110% of the shared rate")
def check_total(context, low):
    percent = 100 * context.spent / (1000 * 60)
    assert low <= percent <= 110, percent
