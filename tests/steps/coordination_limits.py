import itertools

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import limits
from mulberryhollow.state import catalogue

RULES = limits.QuotaRules(overrun=0.1, slack=2000.0, window_s=8.0)
STEP_S = 0.1
TOLD_EVERY = 5


@given(
    "a quota of {rate:g} a second with burst {burst:g} "
    "over {nodes:d} instances"
)
def make_quotas(context, rate, burst, nodes):
    quota = catalogue.Quota(rate, burst, catalogue.QuotaUnit.TOKENS)
    context.quota = quota
    context.tables = [limits.QuotaTable(RULES) for _ in range(nodes)]
    for table in context.tables:
        table.set_quotas({"a": quota})
        table.set_live_nodes(nodes, 0.0)
    context.hears = True
    context.spent = []
    context.refused = 0
    context.now_s = 0.0


@when("all instances start again")
def restart_quotas(context):
    nodes = len(context.tables)
    context.tables = [limits.QuotaTable(RULES) for _ in range(nodes)]
    for table in context.tables:
        table.start_low()
        table.set_quotas({"a": context.quota})
        table.set_live_nodes(nodes, context.now_s)


@given("the instances hear nothing of each other")
def cut_quotas(context):
    context.hears = False


def tell_quotas(context):
    """Let every instance hear the sum over the others."""
    demands = [
        table.list_demand(context.now_s).get("a", 0.0)
        for table in context.tables
    ]
    for table, own in zip(context.tables, demands, strict=True):
        others = {"a": sum(demands) - own}
        count = len(context.tables) - 1
        table.report_demand("others", others, context.now_s, count)


def spend_quota(context, rates, seconds):
    """Spend at a rate for each instance, in one request a step."""
    for step in range(int(seconds / STEP_S)):
        context.now_s += STEP_S
        if context.hears and step % TOLD_EVERY == 0:
            tell_quotas(context)
        for table, rate in zip(context.tables, rates, strict=True):
            cost = rate * STEP_S
            if table.spend("a", cost, context.now_s) is None:
                context.spent.append((context.now_s, cost))
            else:
                context.refused += 1


@when("each instance spends {rate:g} tokens a second for {seconds:g} seconds")
def spend_evenly(context, rate, seconds):
    spend_quota(context, [rate] * len(context.tables), seconds)


@when(
    "instance 0 spends {first:g} and instance 1 spends {second:g} "
    "tokens a second"
)
def spend_unevenly(context, first, second):
    spend_quota(context, [first, second], 20.0)


@when("instance 0 spends {cost:g} tokens at once")
def spend_at_once(context, cost):
    assert context.tables[0].spend("a", cost, context.now_s) is None


@then("no request was refused")
def check_none_refused(context):
    assert not context.refused, context.refused


@then("no window of 8 s has more than the quota, a tenth and 2000")
def check_windows(context):
    bound = (context.quota.rate_per_s * 8 + context.quota.burst) * 1.1 + 2000
    for begin_s, _ in context.spent:
        window = [
            cost
            for at_s, cost in context.spent
            if begin_s <= at_s < begin_s + 8.0
        ]
        assert sum(window) <= bound, (begin_s, sum(window), bound)


@then("a request of {cost:g} tokens is admitted")
def check_quota_admits(context, cost):
    assert context.tables[0].spend("a", cost, context.now_s) is None


@then("a request of {cost:g} tokens is refused with a time to return")
def check_quota_refuses(context, cost):
    over = context.tables[0].spend("a", cost, context.now_s)
    assert over.wait_s > 0, over


@given("a retry budget of ratio {ratio:g} and slack {slack:g} over {nodes:d}")
def make_retry_budget(context, ratio, slack, nodes):
    rules = limits.RetryRules(ratio, slack, 10.0)
    context.budgets = [limits.SharedRetryBudget(rules) for _ in range(nodes)]
    for budget in context.budgets:
        budget.set_live_nodes(nodes)
    context.allowance = rules


@when("each instance has {count:d} requests and repeats all it may")
def repeat_all(context, count):
    context.requests = count * len(context.budgets)
    context.repeats = 0
    for budget in context.budgets:
        for number in range(count):
            budget.record_request("s", number / count)
        allowed = itertools.takewhile(
            bool, (budget.spend("s", 1.0) for _ in itertools.count())
        )
        context.repeats += sum(allowed)


@then("all repeats together stay within the allowance")
def check_allowance(context):
    rules = context.allowance
    bound = rules.ratio * context.requests + rules.slack
    assert 0 < context.repeats <= bound, (context.repeats, bound)


@then("another service may still be repeated")
def check_other_service(context):
    assert context.budgets[0].spend("t", 1.0)


@then("{seconds:g} seconds later repeats are allowed again")
def check_allowed_later(context, seconds):
    assert not context.budgets[0].spend("s", 1.0)
    assert context.budgets[0].spend("s", 1.0 + seconds)
