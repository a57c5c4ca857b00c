import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import capacity

NOW_S = 100.0
DOMAINS = ("d0", "d1", "d2", "d3")
MARKETS = {"reclaimable": 1.0, "on_demand": 3.0}


def build_offers(step=0.1):
    return [
        capacity.InstanceOffer(
            domain, "standard", market, price * (1 + step * index)
        )
        for index, domain in enumerate(DOMAINS)
        for market, price in MARKETS.items()
    ]


def build_instances(count, domains=DOMAINS, market="reclaimable"):
    return [
        capacity.Instance(
            f"{domain}-{market}-{number}",
            "chat",
            "v1",
            domain,
            "standard",
            market,
            MARKETS[market] * (1 + 0.1 * index),
        )
        for index, domain in enumerate(domains)
        for number in range(count)
    ]


def build_demand(urgent, patient=0.0):
    return capacity.Demand("chat", "v1", "model", urgent, patient)


def count_by_domain(context):
    kept = collections.Counter(
        instance.failure_domain
        for instance in context.running
        if instance.id not in context.plan.stops and not instance.is_leaving
    )
    return kept


def run_plan(context, demand, budget, rules=None):
    context.demand = demand
    context.plan = capacity.plan(
        demand,
        context.offers,
        context.running,
        context.refused,
        budget,
        NOW_S,
        rules,
    )


@given("prices of 4 failure domains, on-demand at 3 times reclaimable")
def make_prices(context):
    context.offers = build_offers()
    context.running = []
    context.refused = capacity.RefusedStarts(random.Random(2))


@given("{count:d} instances run in each failure domain")
def run_instances(context, count):
    context.running = build_instances(count)


@given("{count:d} on-demand instances run in each failure domain but d0")
def run_on_demand(context, count):
    context.running = build_instances(count, DOMAINS[1:], "on_demand")


@given("{count:d} on-demand instances run in each failure domain")
def run_on_demand_everywhere(context, count):
    context.running = build_instances(count, DOMAINS, "on_demand")


@given("{count:d} more reclaimable instances run in each failure domain")
def run_more(context, count):
    context.running = context.running + build_instances(count)


@then("the capacity plan stops only on-demand instances")
def check_stopped_market(context):
    assert all("on_demand" in name for name in context.plan.stops)


@given("the instances of failure domain {domain} are leaving")
def leave_domain(context, domain):
    context.running = [
        capacity.Instance(
            instance.id,
            instance.service,
            instance.version,
            instance.failure_domain,
            instance.machine_class,
            instance.market,
            instance.price_per_hour,
            is_leaving=instance.failure_domain == domain,
        )
        for instance in context.running
    ]


def refuse(context, is_refused):
    for offer in filter(is_refused, context.offers):
        context.refused.record_refused(offer, NOW_S)


@given("starts in failure domain {domain} were refused")
def refuse_domain(context, domain):
    refuse(context, lambda offer: offer.failure_domain == domain)


@given("all reclaimable starts were refused")
def refuse_reclaimable(context):
    refuse(context, lambda offer: offer.market == "reclaimable")


@given("all starts were refused")
def refuse_all(context):
    refuse(context, lambda offer: True)


@when(
    "a capacity of {urgent:g} urgent and {patient:g} patient is planned "
    "within {budget:g} an hour"
)
def plan_capacity(context, urgent, patient, budget):
    run_plan(context, [build_demand(urgent, patient)], budget)


@when("no capacity is planned")
def plan_nothing(context):
    run_plan(context, [], 100.0)


@when(
    "a capacity of {urgent:g} urgent is planned with an on-demand fraction"
    " of {fraction:g}"
)
def plan_on_demand(context, urgent, fraction):
    rules = capacity.PlanRules(on_demand_fraction=fraction)
    run_plan(context, [build_demand(urgent)], 1000.0, rules)


@then("the capacity plan survives the loss of any failure domain")
def check_loss(context):
    counts = count_by_domain(context)
    for start in context.plan.starts:
        counts[start.offer.failure_domain] += start.count
    demand = context.demand[0]
    remaining = counts.total() - max(counts.values())
    assert remaining >= demand.urgent + demand.patient, counts


@then("the instances that are not stopped survive the loss of any domain")
def check_running(context):
    counts = count_by_domain(context)
    remaining = counts.total() - max(counts.values())
    assert remaining >= context.demand[0].urgent, counts


@then("the capacity plan starts only reclaimable instances")
def check_market(context):
    markets = {start.offer.market for start in context.plan.starts}
    assert markets == {"reclaimable"}


@then("the capacity plan has no shortfall")
def check_no_shortfall(context):
    assert not context.plan.shortfall, context.plan.shortfall


@then("the capacity plan starts {starts:d} and stops {stops:d} instances")
def check_counts(context, starts, stops):
    started = sum(start.count for start in context.plan.starts)
    found = started, len(context.plan.stops)
    assert found == (starts, stops), found


@then("the capacity plan starts nothing in failure domain {domain}")
def check_avoided_domain(context, domain):
    domains = {start.offer.failure_domain for start in context.plan.starts}
    assert domains and domain not in domains


@then("the capacity plan sheds {percent:g}% of the patient work")
def check_shed(context, percent):
    shed = 100 * context.plan.shortfall[0].patient_part_shed
    assert abs(shed - percent) < 1e-6, shed


@then("the capacity plan sheds more than 0% of the patient work")
def check_some_shed(context):
    assert 0 < context.plan.shortfall[0].patient_part_shed <= 1


@then("the capacity plan lacks {amount:g} urgent capacity")
def check_lacking(context, amount):
    lacking = context.plan.shortfall[0].urgent_lacking
    assert abs(lacking - amount) < 1e-6, lacking


@then("the capacity plan costs at most {amount:g} an hour")
def check_cost(context, amount):
    cost = sum(
        start.count * start.offer.price_per_hour
        for start in context.plan.starts
    )
    assert 0 < cost <= amount
    assert abs(cost - context.plan.cost_per_hour) < 1e-6


@then("the capacity plan stops the most expensive instances")
def check_most_expensive(context):
    stopped = {name.split("-")[0] for name in context.plan.stops}
    kept = count_by_domain(context)
    assert "d3" in stopped
    assert kept["d0"] >= kept["d3"], kept


@then("on-demand instances of the capacity plan provide at least {amount:d}")
def check_on_demand(context, amount):
    found = sum(
        start.count
        for start in context.plan.starts
        if start.offer.market == "on_demand"
    )
    assert found >= amount, found


@then("refusals of one offer block it for 2.5 to 5, then 5 to 10 seconds")
def check_backoff(context):
    offer = context.offers[0]
    blocked = context.refused.is_blocked
    context.refused.record_refused(offer, NOW_S)
    assert blocked(offer, NOW_S + 2.4)
    assert not blocked(offer, NOW_S + 5.0)
    context.refused.record_refused(offer, NOW_S + 5.0)
    assert blocked(offer, NOW_S + 9.9)
    assert not blocked(offer, NOW_S + 15.0)


@then("a successful start resets the backoff of the offer")
def check_backoff_reset(context):
    offer = context.offers[0]
    context.refused.record_refused(offer, NOW_S + 20.0)
    context.refused.record_started(offer)
    assert not context.refused.is_blocked(offer, NOW_S + 20.0)


@then("for any demand a plan without running instances is within the budget")
def check_any_budget(context):
    @hypothesis.given(
        strategies.floats(0.0, 30.0),
        strategies.floats(0.0, 30.0),
        strategies.floats(0.0, 60.0),
        strategies.sets(strategies.integers(0, 7)),
    )
    def check(urgent, patient, budget, blocked):
        refused = capacity.RefusedStarts()
        for index in blocked:
            refused.record_refused(context.offers[index], NOW_S)
        plan = capacity.plan(
            [build_demand(urgent, patient)],
            context.offers,
            [],
            refused,
            budget,
            NOW_S,
        )
        assert plan.cost_per_hour <= budget
        started = {start.offer for start in plan.starts}
        assert not started & {context.offers[index] for index in blocked}

    check()
