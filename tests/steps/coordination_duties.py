import random

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import duties
from mulberryhollow import errors
from mulberryhollow.state import objects
from tests import fakes

STEP_S = 0.1


class Instance:
    """An instance with its view of the lease in an in-memory store."""

    def __init__(self, name, store):
        self.name = name
        self.store = store
        self.lease = duties.Lease(name, duties.LeaseRules())
        self.is_running = True
        self.acted = []

    def step(self, now_s):
        if not self.is_running:
            return
        match self.lease.plan(now_s):
            case duties.Read():
                try:
                    found = self.store.get("duty", "holder")
                except errors.StoreUnavailableError:
                    return
                self.lease.observe(found, now_s)
            case duties.Write() as write:
                self.write(write, now_s)

    def write(self, write, now_s):
        change = f"{self.name} {now_s}"
        outcome = self.store.put(
            "duty", "holder", write.value, write.expected_version, change
        )
        if isinstance(outcome, objects.WriteOutcomeUnknown):
            found = (
                None
                if self.store.is_down
                else self.store.get("duty", "holder")
            )
            is_done = found is not None and found.change_id == change
            outcome = (
                objects.WriteApplied(found.version)
                if is_done
                else objects.WriteRejected("unknown outcome")
            )
        self.lease.resolve(write, outcome, now_s)


@given("instances a and b with one lease object")
def make_instances(context):
    context.store = fakes.FakeStore()
    context.instances = [Instance(name, context.store) for name in "ab"]
    context.now_s = 0.0


def pass_time(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.now_s += STEP_S
        for instance in context.instances:
            instance.step(context.now_s)


def list_holders(context):
    return [
        each
        for each in context.instances
        if each.is_running and each.lease.is_held(context.now_s)
    ]


@when("the lease instances run for {seconds:g} seconds")
def pass_seconds(context, seconds):
    before = list_holders(context)
    context.before = [(each.name, each.lease.fencing_token) for each in before]
    pass_time(context, seconds)


@when("the holder stops")
def stop_holder(context):
    (context.former,) = list_holders(context)
    context.former_fencing_token = context.former.lease.fencing_token
    context.former.is_running = False


@when("the holder is frozen for {seconds:g} seconds")
def freeze_holder(context, seconds):
    stop_holder(context)
    pass_time(context, seconds)
    context.former.is_running = True


@when("the store is unavailable for {seconds:g} seconds")
def stop_store_for(context, seconds):
    context.store.is_down = True
    pass_time(context, seconds)


@when("the holder releases the lease")
def release_lease(context):
    (context.former,) = list_holders(context)
    context.former_fencing_token = context.former.lease.fencing_token
    lease = context.former.lease
    write = lease.plan_release(context.now_s)
    context.former.write(write, context.now_s)
    context.former.is_running = False


@when("the answers of all writes are lost for {seconds:g} seconds")
def lose_answers(context, seconds):
    context.store.faults = ["lost"] * 100
    pass_time(context, seconds)


@then("exactly one instance holds the lease")
def check_one(context):
    assert len(list_holders(context)) == 1


@then("the holder and its fencing token are unchanged")
def check_unchanged(context):
    now = [(e.name, e.lease.fencing_token) for e in list_holders(context)]
    assert now == context.before, (now, context.before)


@then("the other instance holds the lease with a higher fencing token")
def check_other(context):
    (holder,) = list_holders(context)
    assert holder is not context.former
    assert holder.lease.fencing_token > context.former_fencing_token


@then("the former holder does not hold the lease")
def check_former(context):
    assert not context.former.lease.is_held(context.now_s)


@then("{seconds:g} seconds later exactly one instance holds the lease")
def check_one_later(context, seconds):
    pass_time(context, seconds)
    check_one(context)


@then("no instance holds the lease")
def check_none(context):
    assert not list_holders(context)


@then("at most one instance holds the lease")
def check_at_most_one(context):
    assert len(list_holders(context)) <= 1


@then("random faults never cause two holders or a lower fencing token")
def check_random(context):
    for seed in range(60):
        rng = random.Random(seed)
        make_instances(context)
        highest = 0
        for _ in range(200):
            event = rng.random()
            if event < 0.05:
                context.store.is_down = not context.store.is_down
            elif event < 0.12:
                context.store.faults = [rng.choice(["lost", "dropped"])]
            elif event < 0.2:
                each = rng.choice(context.instances)
                each.is_running = not each.is_running
            pass_time(context, 0.3)
            holders = [
                each
                for each in context.instances
                if each.lease.is_held(context.now_s)
            ]
            assert len(holders) <= 1, f"seed {seed}"
            for each in holders:
                assert each.lease.fencing_token >= highest, f"seed {seed}"
                highest = each.lease.fencing_token


@when(
    "the rules of a lease of {lease_s:g} seconds with calls of {call_s:g} "
    "second are made"
)
def make_rules(context, lease_s, call_s):
    context.lease_rules = duties.LeaseRules.derive(lease_s, call_s)
    context.call_s = call_s


@then("the holder renews before its time ends")
def check_renewal(context):
    assert 0 < context.lease_rules.renew_s < context.lease_rules.hold_s


@then("the last call of the holder ends before another instance takes over")
def check_last_call(context):
    rules = context.lease_rules
    assert rules.hold_s + context.call_s < rules.takeover_s, rules


@then(
    "another instance takes over {lease_s:g} seconds after a renewal or later"
)
def check_takeover(context, lease_s):
    assert context.lease_rules.takeover_s >= lease_s, context.lease_rules


@then(
    "lease rules of {renew_s:g}, {hold_s:g}, {takeover_s:g} and calls of "
    "{call_s:g} second are refused"
)
def check_refused_rules(context, renew_s, hold_s, takeover_s, call_s):
    try:
        duties.LeaseRules(renew_s, hold_s, takeover_s)
    except ValueError:
        return
    raise AssertionError("the rules were accepted")


@given("a usage ledger of source {source}")
def make_ledger(context, source):
    context.ledgers = getattr(context, "ledgers", {})
    context.ledgers[source] = duties.UsageLedger(source, 5.0)


@when("{source} counts {count:d} requests of {account} at {wall_s:g}")
def count_requests(context, source, count, account, wall_s):
    for _ in range(count):
        context.ledgers[source].record(account, wall_s)


@when("{source} reports its counts to {other} at {wall_s:g}")
def report_counts(context, source, other, wall_s):
    data = context.ledgers[source].encode(wall_s)
    context.ledgers[other].merge(data)


@then("{source} has {count:d} requests of {account} in window {window:d}")
def check_counts(context, source, count, account, window):
    total = context.ledgers[source].total(window)
    assert total.get(account, 0) == count, total


@then("malformed counts are refused by {source}")
def check_malformed_counts(context, source):
    for data in (
        b"",
        b"[]",
        b"{}",
        b'{"source":"x","windows":{"a":1}}',
        b'{"source":"x","windows":{},"report":{"window":1}}',
    ):
        try:
            context.ledgers[source].merge(data)
        except ValueError:
            continue
        raise AssertionError(data)
