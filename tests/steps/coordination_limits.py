import itertools

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import limits
from tests import quota_pool

RULES = limits.QuotaRules(overrun=0.1, slack=2000.0, window_s=8.0)
LARGE_REQUEST_RULES = limits.QuotaRules(
    overrun=0.1, slack=140000.0, window_s=8.0
)
STEP_S = 0.1


@given(
    "a quota of {rate:g} a second with burst {burst:g} "
    "over {nodes:d} instances"
)
def make_quotas(context, rate, burst, nodes):
    context.pool = quota_pool.QuotaPool(RULES, rate, burst, nodes)


@given(
    "a quota of {rate:g} a second for large requests over {nodes:d} "
    "instances, with random seed {seed:d}"
)
def make_large_request_quotas(context, rate, nodes, seed):
    context.pool = quota_pool.QuotaPool(
        LARGE_REQUEST_RULES, rate, rate, nodes, seed
    )


@given("endpoints whose services limit the debts of accounts")
def limit_debts(context):
    context.pool.limits_debts = True
    context.pool.apply_members()


@when("all instances restart")
def restart_quotas(context):
    context.pool.restart()


@when("all instances restart after {down_s:g} seconds")
def restart_quotas_later(context, down_s):
    context.pool.restart(down_s, 0.5)


@when("{demand:g} times the quota is requested for {seconds:g} seconds")
def request_at_random(context, demand, seconds):
    context.pool.spend_randomly(demand, seconds)


@then("no window exceeds the bound")
def check_bound(context):
    window_max = context.pool.find_window_max()
    assert window_max <= context.pool.find_bound(), window_max


@then("no instance was asked for credit more than {count:d} times")
def check_asked(context, count):
    assert context.pool.ask_count <= count, context.pool.ask_count


@given("the instances cannot reach each other")
def disconnect_instances(context):
    context.pool.is_connected = False
    context.pool.apply_members()


@given(
    "a quota of {rate:g} a second for requests of {mean:g} tokens over "
    "{nodes:d} instances in {domains:d} domains"
)
def make_fleet_quotas(context, rate, mean, nodes, domains):
    context.pool = quota_pool.QuotaPool(
        LARGE_REQUEST_RULES,
        rate,
        rate,
        nodes,
        domains=domains,
        mean_cost=mean,
    )


@when("the usual holders of {count:d} domains die and nobody knows yet")
def kill_holders(context, count):
    pool = context.pool
    holders = {each.collectors.local[0] for each in pool.instances}
    for index in sorted(holders)[:count]:
        pool.instances[index].is_running = False


@when("the instances notice who is running")
def notice_members(context):
    context.pool.apply_members()


@when("{fraction:g} of the instances are cut off from the others")
def cut_instances(context, fraction):
    context.pool.cut_fraction = fraction


@when("the statistics begin anew")
def reset_statistics(context):
    context.pool.admitted.clear()
    context.pool.refused = 0


@then("at most 1 in {count:d} requests was refused")
def check_refused_fraction(context, count):
    pool = context.pool
    total = pool.refused + len(pool.admitted)
    assert total > count, total
    assert pool.refused <= total / count, (pool.refused, total)


@then("at least {fraction:g} of the quota was used in {seconds:g} seconds")
def check_used(context, fraction, seconds):
    pool = context.pool
    used = sum(cost for _, cost in pool.admitted)
    least = fraction * seconds * pool.quota.rate_per_s
    assert used >= least, (used, least)


def spend_quota(context, rates, seconds):
    """Spend at a rate for each instance, in one request a step."""
    for _ in range(int(seconds / STEP_S)):
        context.pool.pass_time(STEP_S)
        for index, rate in enumerate(rates):
            context.pool.spend(index, rate * STEP_S)


@when("each instance spends {rate:g} tokens a second for {seconds:g} seconds")
def spend_evenly(context, rate, seconds):
    spend_quota(context, [rate] * len(context.pool.tables), seconds)


@when(
    "instance 0 spends {first:g} and instance 1 spends {second:g} "
    "tokens a second"
)
def spend_unevenly(context, first, second):
    spend_quota(context, [first, second], 20.0)


@when("instance {index:d} spends {cost:g} tokens at once")
def spend_at_once(context, index, cost):
    assert context.pool.spend(index, cost) is None


@then("no request was refused")
def check_none_refused(context):
    assert not context.pool.refused, context.pool.refused


@then("no window of 8 s exceeds the quota by over a tenth and 2000")
def check_windows(context):
    pool = context.pool
    quota = pool.quota
    bound = (quota.rate_per_s * 8 + quota.burst) * 1.1 + 2000
    assert pool.find_window_max() <= bound, (pool.find_window_max(), bound)


@then("a request of {cost:g} tokens is admitted")
def check_quota_admits(context, cost):
    assert context.pool.spend(0, cost) is None


@then("a request of {cost:g} tokens is refused with a retry time")
def check_quota_refuses(context, cost):
    exceeded = context.pool.spend(0, cost)
    assert exceeded.wait_s > 0, exceeded


@then(
    "a request of {cost:g} tokens is refused until {low_s:g} to {high_s:g}"
    " seconds later"
)
def check_retry_time(context, cost, low_s, high_s):
    exceeded = context.pool.spend(0, cost)
    assert low_s <= exceeded.wait_s <= high_s, exceeded


SPENT_AFTER_S = 3.5
"""Time from a start until retries are sent, in seconds."""

OLD_S = 60.0


@given("a retry budget of ratio {ratio:g} and slack {slack:g} over {nodes:d}")
def make_retry_budget(context, ratio, slack, nodes):
    rules = limits.RetryRules(ratio, slack, 10.0)
    context.budgets = [limits.SharedRetryBudget(rules) for _ in range(nodes)]
    for budget in context.budgets:
        budget.set_live_nodes(nodes, 0.0)
    context.allowance = rules


@when("each instance has {count:d} requests and sends all the retries allowed")
def retry_all(context, count):
    context.count = count
    context.requests = context.retries = 0
    for budget in context.budgets:
        send_requests(context, budget, 0.0)


def send_requests(context, budget, at_s):
    """Send the requests of one instance and all the retries allowed."""
    count = context.count
    context.requests += count
    for number in range(count):
        budget.record_request("s", at_s + number / count)
    context.retries += spend_all(budget, at_s + 1.0)


def spend_all(budget, now_s, is_speculative=False):
    """Return how many retries an instance is allowed at a time."""
    attempts = (
        budget.spend("s", now_s, is_speculative) for _ in itertools.count()
    )
    return sum(itertools.takewhile(bool, attempts))


def start_again(context, began_s):
    """Return the budget of a process that replaces another one."""
    budget = limits.SharedRetryBudget(context.allowance)
    budget.start_again(began_s)
    budget.set_live_nodes(1, began_s)
    return budget


@when("{count:d} instances are started again at the same time, 3 times")
def restart_instances(context, count):
    for began_s in (1.0, 3.0, 5.0):
        for _ in range(count):
            send_requests(context, start_again(context, began_s), began_s)


@when("all instances are started again, one each second")
def restart_in_turn(context):
    nodes = len(context.budgets)
    starts_s = [1.0 + number for number in range(nodes)]
    for began_s in starts_s:
        budget = start_again(context, began_s)
        spent_s = began_s + SPENT_AFTER_S
        ages_s = [
            spent_s - each if each <= spent_s else OLD_S
            for each in starts_s
            if each != began_s
        ]
        budget.set_live_nodes(nodes, spent_s, ages_s)
        send_requests(context, budget, spent_s - 1.0)


@when("{count:d} instances leave and the others send all the retries allowed")
def leave(context, count):
    for budget in context.budgets[count:]:
        budget.set_live_nodes(len(context.budgets) - count, 2.0)
        context.retries += spend_all(budget, 3.0)


@when(
    "one instance is started again and 1 in 10 of its {count:d} requests fails"
)
def start_with_failures(context, count):
    budget = start_again(context, 0.0)
    others_s = [OLD_S] * (len(context.budgets) - 1)
    budget.set_live_nodes(len(context.budgets), 0.0, others_s)
    context.retries = 0
    for number in range(count):
        at_s = SPENT_AFTER_S + number / count
        budget.record_request("s", at_s)
        if number % 10 == 9:
            context.retries += budget.spend("s", at_s)


@then("at least {count:d} of them are repeated")
def check_repeated(context, count):
    assert context.retries >= count, context.retries


@when("all instances are started again without requests")
def restart_all(context):
    nodes = len(context.budgets)
    context.budgets = [start_again(context, 0.0) for _ in range(nodes)]
    for budget in context.budgets:
        budget.set_live_nodes(nodes, 0.0, [0.0] * (nodes - 1))


@when("all instances are started again and know no other")
def restart_unknown(context):
    context.budgets = [start_again(context, 0.0) for _ in context.budgets]


@then(
    "{seconds:g} seconds after the start {count:d} retries of each are allowed"
)
def check_slack(context, seconds, count):
    for budget in context.budgets:
        assert spend_all(budget, seconds) == count


@then("all retries together stay within the allowance")
def check_allowance(context):
    rules = context.allowance
    bound = rules.ratio * context.requests + rules.slack
    assert 0 < context.retries <= bound, (context.retries, bound)


@then("another service may still be retried")
def check_other_service(context):
    assert context.budgets[0].spend("t", 1.0)


@then("{seconds:g} seconds later retries are allowed again")
def check_allowed_later(context, seconds):
    assert not context.budgets[0].spend("s", 1.0)
    assert context.budgets[0].spend("s", 1.0 + seconds)


@when("an instance without requests sends all the speculative retries allowed")
def spend_speculatively(context):
    context.speculative = spend_all(context.budgets[0], 1.0, True)


@then("it has sent {count:d} and may send {left:d} after failed attempts")
def check_left(context, count, left):
    assert context.speculative == count, context.speculative
    found = spend_all(context.budgets[0], 2.0)
    assert found == left, found


@when("it gives one of them back {seconds:g} s later")
def give_back(context, seconds):
    context.at_s = 1.0 + seconds
    # A later one of another request does not count for it.
    budget = context.budgets[0]
    budget.spend("s", context.at_s)
    budget.give_back("s", 1.0, True)


@then("it may send {count:d} retries more, all of them speculative")
def check_given_back(context, count):
    budget = context.budgets[0]
    assert spend_all(budget, context.at_s, True) == count
    assert not budget.spend("s", context.at_s)
