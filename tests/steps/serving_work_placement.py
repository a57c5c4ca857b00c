import itertools

from behave import given
from behave import then
from behave import when

from tests import work_fleet

SPEEDS = (0.6, 1.0, 1.6)
BASELINES = ("today", "least outstanding", "power of two")
PLAIN_SLOTS = 6
PLAIN_GOALS_S = {0.045: 0.218, 0.09: 0.418}
SEED = 11


def take_speeds(count):
    return tuple(itertools.islice(itertools.cycle(SPEEDS), count))


@given("{count:d} plain endpoints of speeds 0.6 to 1.6 that take {ms:g} ms")
def make_plain(context, count, ms):
    plain_s = ms / 1000.0
    speeds = take_speeds(count)
    per_s = sum(speeds) * PLAIN_SLOTS / plain_s
    context.capacity = (
        work_fleet.Kind("bookings", per_s, PLAIN_GOALS_S[plain_s]),
    )
    context.plan = {
        "speeds": speeds,
        "slots": PLAIN_SLOTS,
        "plain_s": plain_s,
        "seed": SEED,
    }


@when(
    "{instances:d} instances with {holders:d} holders place {load:g} of "
    "their load"
)
def run_policies(context, instances, holders, load):
    kinds = tuple(
        work_fleet.Kind(
            kind.route,
            load * kind.per_s,
            kind.goal_s,
            kind.tokens,
            kind.events,
        )
        for kind in context.capacity
    )
    context.fleets = {
        policy: work_fleet.Fleet(
            work_fleet.Plan(
                kinds=kinds,
                instances=instances,
                holders=holders,
                policy=policy,
                **context.plan,
            )
        ).run()
        for policy in (*BASELINES, "work")
    }


@then("at most {ratio:g} of the best baseline's requests are late")
def check_late(context, ratio):
    late = {
        policy: fleet.late_fraction for policy, fleet in context.fleets.items()
    }
    best = min(late[policy] for policy in BASELINES)
    assert late["work"] <= ratio * best, late
