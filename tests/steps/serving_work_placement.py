import functools
import itertools
import statistics

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.serving import work_metrics
from tests import work_fleet

SPEEDS = (0.6, 1.0, 1.6)
BASELINES = ("today", "least outstanding", "power of two")
PLAIN_SLOTS = 6
PLAIN_GOALS_S = {0.045: 0.218, 0.09: 0.418}
ENGINE_SLOTS = 64
ENGINE_KINDS = (
    work_fleet.Kind("notes", 66.7, 0.519, 628, 42),
    work_fleet.Kind("briefings", 40.5, 1.245, 12_000, 55),
    work_fleet.Kind("tags", 59.0, 0.622, 1_800, 3),
)
SEED = 11


def take_speeds(count):
    return tuple(itertools.islice(itertools.cycle(SPEEDS), count))


@given("{count:d} plain endpoints of speeds 0.6 to 1.6 that take {ms:g} ms")
def make_plain(context, count, ms):
    plain_s = ms / 1000.0
    speeds = take_speeds(count)
    per_s = sum(speeds) * PLAIN_SLOTS / plain_s
    context.plan = work_fleet.Plan(
        (work_fleet.Kind("bookings", per_s, PLAIN_GOALS_S[plain_s]),),
        speeds,
        PLAIN_SLOTS,
        plain_s=plain_s,
        seed=SEED,
    )


@given("{count:d} engines of speeds 0.6 to 1.6")
def make_engines(context, count):
    speeds = take_speeds(count)
    plan = work_fleet.Plan(ENGINE_KINDS, speeds, ENGINE_SLOTS, seed=SEED)
    # Prompts are computed one after another, so they are the limit.
    prompts_s = sum(
        kind.per_s * kind.tokens * plan.token_s for kind in ENGINE_KINDS
    )
    kinds = scale_kinds(ENGINE_KINDS, sum(speeds) / prompts_s)
    context.plan = attrs.evolve(plan, kinds=kinds)


def scale_kinds(kinds, factor):
    return tuple(
        attrs.evolve(kind, per_s=factor * kind.per_s) for kind in kinds
    )


def add_incidents(context, *incidents):
    context.plan = attrs.evolve(
        context.plan, incidents=context.plan.incidents + incidents
    )


@given("{noise:g} noise in the fourth figure")
def set_noise(context, noise):
    context.plan = attrs.evolve(context.plan, noise=noise)


@given(
    "engine {name} is {factor:g} times slower from {begin_s:d} s to "
    "{end_s:d} s"
)
def slow_engine(context, name, factor, begin_s, end_s):
    def change(by, fleet):
        fleet.engines[name].speed *= by

    add_incidents(
        context,
        (begin_s, functools.partial(change, 1.0 / factor)),
        (end_s, functools.partial(change, factor)),
    )
    context.plan = attrs.evolve(context.plan, seconds=30.0)


@given("{count:d} holders fail from {begin_s:d} s to {end_s:d} s")
def fail_holders(context, count, begin_s, end_s):
    def fail(fleet):
        for holder in fleet.holders[:count]:
            fleet.stop(holder)

    add_incidents(context, (begin_s, fail))


@given("the aggregate reports are lost from {begin_s:d} s to {end_s:d} s")
def lose_reports(context, begin_s, end_s):
    def switch(is_on, fleet):
        fleet.has_reports = is_on

    add_incidents(
        context,
        (begin_s, functools.partial(switch, False)),
        (end_s, functools.partial(switch, True)),
    )


def run_fleet(context, instances, holders, load, policy, **fields):
    return work_fleet.Fleet(
        attrs.evolve(
            context.plan,
            kinds=scale_kinds(context.plan.kinds, load),
            instances=instances,
            holders=holders,
            policy=policy,
            **fields,
        )
    ).run()


@when(
    "{instances:d} instances with {holders:d} holders place {load:g} of "
    "their load"
)
def run_policies(context, instances, holders, load, **fields):
    context.fleets = {
        policy: run_fleet(context, instances, holders, load, policy, **fields)
        for policy in (*BASELINES, "work")
    }


@when(
    "{instances:d} instances with {holders:d} holders place {load:g} of "
    "their load from the start"
)
def run_from_start(context, instances, holders, load):
    run_policies(context, instances, holders, load, warm_s=0.0, seconds=10.0)


@when(
    "{instances:d} instances with {holders:d} holders place {load:g} of it "
    "for {seconds:d} s"
)
def run_work(context, instances, holders, load, seconds):
    context.fleet = run_fleet(
        context, instances, holders, load, "work", seconds=float(seconds)
    )


@then("at most {ratio:g} of the best baseline's requests are late")
def check_late(context, ratio):
    late = {
        policy: fleet.late_fraction for policy, fleet in context.fleets.items()
    }
    best = min(late[policy] for policy in BASELINES)
    assert late["work"] <= ratio * best, late


@then("the estimated speeds are within {bound:g} of the true ones")
def check_speeds(context, bound):
    fleet = context.fleet
    instances = fleet.holders or fleet.instances
    true = [1.0 / engine.speed for engine in fleet.engines.values()]
    for instance in instances:
        records = [instance.actor.view.get(name) for name in fleet.engines]
        errors = [
            record.slowness * statistics.mean(true) / slowness - 1.0
            for record, slowness in zip(records, true, strict=True)
        ]
        assert max(map(abs, errors)) <= bound, errors


@then("{fraction:g} of the costs are predicted within {bound:g}")
def check_costs(context, fraction, bound):
    errors = sorted(context.fleets["work"].errors)
    found = errors[int(fraction * len(errors))]
    assert found <= bound, found


@then(
    "engine {name} gets fewer requests from {begin_s:d} s to {end_s:d} s "
    "than from {later_s:d} s to {last_s:d} s"
)
def check_recovery(context, name, begin_s, end_s, later_s, last_s):
    counts = context.fleets["work"].begun_at[name]
    slow = sum(counts[second] for second in range(begin_s, end_s))
    later = sum(counts[second] for second in range(later_s, last_s))
    assert 0 < slow < later, counts


@then("the metrics page names the cost of each route and each engine's speed")
def check_metrics(context):
    fleet = context.fleet
    instance = fleet.instances[0]
    text = work_metrics.render_work(instance.actor, instance.clock.now_s())
    found = {line.rpartition(" ")[0] for line in text.splitlines()}
    wanted = {
        f'mulberryhollow_work_{what}_seconds{{service="work",route="{route}"}}'
        for what in ("expected", "actual")
        for route in ("notes", "briefings", "tags")
    } | {
        f'mulberryhollow_work_{what}{{endpoint="{name}"}}'
        for what in ("slowness", "requests", "prompt_backlog_seconds")
        for name in fleet.engines
    }
    assert wanted <= found, wanted - found
