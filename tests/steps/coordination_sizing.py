from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import capacity
from mulberryhollow.state import catalogue

RULES = capacity.SizingRules(
    prefill_time_target=0.35,
    batch_fill_target=0.35,
    on_demand_fraction=0.5,
    reclaimable_fraction=2 / 3,
)


@then(
    "{busy:g} s/s of prompts and {in_flight:g} requests at {slots:d} slots "
    "require {need:d} endpoints"
)
def check_need(context, busy, in_flight, slots, need):
    found = capacity.compute_required_count(busy, in_flight, slots, RULES)
    assert found == need, found


@given("four domains with prices 1.0, 0.8, 1.25 and 0.9")
def make_domains(context):
    prices = {"d1": 1.0, "d2": 0.8, "d3": 1.25, "d4": 0.9}
    context.scaling = catalogue.Scaling(1, 5, 4.0, 0.22, prices)
    context.serving = {}
    context.ordered = {}
    context.lacking = {}
    context.unavailable = set()


@given("no reclaimable endpoint is available")
def refuse_reclaimable(context):
    context.unavailable = {
        capacity.Slot(domain, True) for domain in context.scaling.domain_prices
    }


@given("{count:d} reclaimable endpoints serve in each domain")
def serve_reclaimable_everywhere(context, count):
    for domain in context.scaling.domain_prices:
        context.serving[capacity.Slot(domain, True)] = count


@given("{count:d} on-demand endpoints boot in {domain}")
def boot_on_demand(context, count, domain):
    context.ordered[capacity.Slot(domain, False)] = count


@then("{count:d} on-demand endpoints are still wanted in {domain}")
def check_still_wanted(context, count, domain):
    found = context.wanted[capacity.Slot(domain, False)]
    assert found == count, found


@given("{count:d} on-demand endpoints serve in each domain")
def serve_on_demand(context, count):
    for domain in context.scaling.domain_prices:
        context.serving[capacity.Slot(domain, False)] = count


def size(context):
    """Choose the target numbers for the current requirement."""
    context.wanted = capacity.choose_counts(
        context.need,
        context.scaling,
        capacity.EndpointCounts(
            dict(context.serving),
            dict(context.ordered),
            dict(context.lacking),
        ),
        context.unavailable,
        RULES,
    )


@when("{need:d} endpoints are needed and none serves")
@when("{need:d} endpoints are needed")
def need_endpoints(context, need):
    context.need = need
    size(context)


@when("{count:d} reclaimable endpoints serve too")
def serve_reclaimable(context, count):
    for slot, wanted in context.wanted.items():
        if slot.is_reclaimable:
            context.serving[slot] = wanted
    served = sum(
        count for slot, count in context.serving.items() if slot.is_reclaimable
    )
    assert served == count, served
    size(context)


def list_wanted(context, is_reclaimable):
    return {
        slot.failure_domain: count
        for slot, count in context.wanted.items()
        if slot.is_reclaimable is is_reclaimable and count
    }


@then("3 on-demand endpoints are wanted in d2, d4 and d1")
def check_on_demand_domains(context):
    assert list_wanted(context, False) == {"d1": 1, "d2": 1, "d4": 1}


@then("4 reclaimable endpoints are wanted, one in each domain")
def check_reclaimable_domains(context):
    found = list_wanted(context, True)
    assert found == dict.fromkeys(context.scaling.domain_prices, 1), found


@then("{count:d} on-demand endpoints are wanted in total")
def check_on_demand(context, count):
    found = sum(list_wanted(context, False).values())
    assert found == count, context.wanted


@then("at least {count:d} of the serving endpoints are kept")
def check_kept(context, count):
    kept = sum(
        min(count, context.wanted.get(slot, 0))
        for slot, count in context.serving.items()
    )
    assert kept >= count, kept


@then("each domain has at least {minimum:d} and at most {maximum:d} endpoints")
def check_bounds(context, minimum, maximum):
    for domain in context.scaling.domain_prices:
        count = sum(
            amount
            for slot, amount in context.wanted.items()
            if slot.failure_domain == domain
        )
        assert minimum <= count <= maximum, (domain, count)


@given("{count:d} domains of equal price and the default rules")
def make_equal_domains(context, count):
    prices = {f"d{number}": 1.0 for number in range(count)}
    context.scaling = catalogue.Scaling(1, 40, 4.0, 0.22, prices)


@when("{need:d} endpoints are needed and all that is wanted serves")
def serve_wanted(context, need):
    rules = capacity.SizingRules()
    serving = {}
    for _ in range(2):
        serving = capacity.choose_counts(
            need,
            context.scaling,
            capacity.EndpointCounts(serving, serving),
            set(),
            rules,
        )
    context.wanted = serving


@then(
    "at least {need:d} endpoints remain without any one domain's reclaimable "
    "ones"
)
def check_remaining(context, need):
    total = sum(context.wanted.values())
    for domain in context.scaling.domain_prices:
        lost = context.wanted[capacity.Slot(domain, True)]
        assert total - lost >= need, (domain, context.wanted)


@then("they cost at most {price:g} on-demand endpoints")
def check_price(context, price):
    found = sum(
        count
        * (context.scaling.reclaimable_price if slot.is_reclaimable else 1)
        for slot, count in context.wanted.items()
    )
    assert found <= price, found


@then(
    "a cold endpoint of {rate:g} requests a second, each of {hold_s:g} s, at "
    "{slots:d} slots counts as {part:g}"
)
def check_cold_part(context, rate, hold_s, slots, part):
    found = capacity.compute_cold_part(rate, hold_s, slots, RULES)
    assert abs(found - part) < 1e-9, found


@when(
    "{need:d} endpoints are needed and each domain's reclaimable ones lack "
    "{lacking:g}"
)
def need_while_cold(context, need, lacking):
    context.lacking = {
        capacity.Slot(domain, True): lacking
        for domain in context.scaling.domain_prices
    }
    need_endpoints(context, need)
