import collections
import random

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import limits
from mulberryhollow.state import catalogue

ACCOUNT = "a"
LONG, SHORT = 12000, 600


class Charges:
    """Charges requests to one pooled quota on a simulated clock."""

    def __init__(self, rate_per_s, limits_debts):
        self.rate_per_s = rate_per_s
        self.table = limits.QuotaTable()
        self.table.set_quotas(
            {
                ACCOUNT: catalogue.Quota(
                    rate_per_s, rate_per_s, catalogue.QuotaUnit.TOKENS
                )
            }
        )
        self.table.set_live_nodes(1, 0.0, is_pooled=True)
        self.table.limits_debts = limits_debts
        self.served = collections.Counter()
        self.used = collections.Counter()

    def run(self, arrivals):
        for at_s, cost in arrivals:
            found = self.table.spend(ACCOUNT, cost, at_s)
            if isinstance(found, limits.CreditShortfall):
                found = self.table.reconcile(ACCOUNT, cost, 0.0, 0.0, at_s)
            if found is None:
                self.served[cost] += 1
                self.used[int(at_s)] += cost


@given("a pooled quota of {rate:d} a second whose debts are limited")
def make_quota(context, rate):
    context.charges = Charges(rate, True)
    context.unlimited = Charges(rate, False)


@when(
    "{seconds:d} seconds of {times:g} times the quota arrive, half of it in "
    "requests of {long:d} and half in requests of {short:d}"
)
def send(context, seconds, times, long, short):
    rng = random.Random(5)
    tokens = context.charges.rate_per_s * times * seconds / 2
    arrivals = sorted(
        (rng.uniform(0, seconds), cost)
        for cost in (long, short)
        for _ in range(int(tokens / cost))
    )
    context.seconds = seconds
    context.charges.run(arrivals)
    context.unlimited.run(arrivals)


@then("at least {part:g} of the tokens of the quota are used in each second")
def check_used(context, part):
    charges = context.charges
    for second in range(context.seconds):
        assert charges.used[second] >= part * charges.rate_per_s, charges.used


@then(
    "at least {part:g} of the tokens go to the short requests, and more than "
    "where debts are not limited"
)
def check_short(context, part):
    charges = context.charges
    used = sum(charges.used.values())
    assert charges.served[SHORT] * SHORT >= part * used, charges.served
    assert charges.served[SHORT] > context.unlimited.served[SHORT]


@then("at least {part:g} of the tokens go to the long requests")
def check_long(context, part):
    charges = context.charges
    used = sum(charges.used.values())
    assert charges.served[LONG] * LONG >= part * used, charges.served


@then("no second uses more than the quota, its burst and one long request")
def check_bound(context):
    charges = context.charges
    bound = 2 * charges.rate_per_s + LONG
    assert all(each <= bound for each in charges.used.values()), charges.used


@given(
    "an account refused for a request of {cost:d} tokens for {wait_s:g} "
    "seconds"
)
def refuse(context, cost, wait_s):
    context.refused = limits.RefusedAccounts()
    exceeded = limits.QuotaExceeded(ACCOUNT, wait_s, -1.0, 1.0, 10.0)
    context.refused.record(exceeded, cost, 100.0)


@then(
    "a request of {cost:d} tokens is refused without asking for {wait_s:g} "
    "seconds"
)
def check_refused(context, cost, wait_s):
    found = context.refused.find(ACCOUNT, cost, 100.0 + 0.9 * wait_s)
    assert abs(found.wait_s - 0.1 * wait_s) < 1e-6, found
    assert context.refused.find(ACCOUNT, cost, 100.001 + wait_s) is None


@then("a request of {cost:d} tokens is sent to the holder")
def check_sent(context, cost):
    assert context.refused.find(ACCOUNT, cost, 100.0) is None
