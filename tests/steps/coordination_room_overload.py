from behave import given
from behave import then
from behave import when

from tests import room_fleet

AFTER_S = 8.0
"""Calls before it are not measured: the load has just risen, in seconds.

A load that rises at once is covered by the waves.
"""

USUAL_S = 4.0
USUAL_LOAD = 0.5
SERVICES = {
    "engines": {},
    "plain services": {
        "kinds": room_fleet.PLAIN_KINDS,
        "endpoints": 4,
        "places": 6,
    },
}


def rise(now_s):
    """Return the relative load: a rise after some seconds."""
    return USUAL_LOAD if now_s < USUAL_S else 1.0


@given(
    "{service} with {count:d} instances at {load:g} times the room, "
    "seed {seed:d}"
)
def prepare(context, service, count, load, seed):
    context.options = SERVICES[service] | {
        "instances": count,
        "load": load,
        "seed": seed,
    }
    context.wave = rise
    context.events = []


@given("waves of load by {low:g} and {high:g} for {seconds:d} seconds each")
def set_waves(context, low, high, seconds):
    context.wave = lambda now_s: high if now_s // seconds % 2 else low


@given("one of 16 accounts sends {factor:d} times its usual load")
def set_heavy(context, factor):
    context.options["heavy"] = float(factor)


@given("{fraction:g} of the callers return at once and often")
def set_impatient(context, fraction):
    context.options["impatient"] = fraction


@given("{fraction:g} of the prompts are large")
def set_large(context, fraction):
    context.options["large"] = fraction


@given("the instances do not know each other's demand")
def hide_demand(context):
    context.options["knows_others"] = False


@given(
    "a third of the endpoints is reclaimed at {at_s:d} s and replaced at "
    "{end_s:d} s"
)
def set_reclaim(context, at_s, end_s):
    context.events += [
        (at_s, lambda fleet: fleet.reclaim(2)),
        (end_s, lambda fleet: fleet.restore()),
    ]


@given("a holder dies at {at_s:d} s")
def set_death(context, at_s):
    context.events.append((at_s, lambda fleet: fleet.silent.add(0)))


@given("a holder is frozen for {seconds:d} s and goes on at {at_s:d} s")
def set_freeze(context, seconds, at_s):
    context.events += [
        (at_s, lambda fleet: fleet.silent.add(0)),
        (at_s + seconds, lambda fleet: fleet.silent.clear()),
    ]


@given("the holders are parted in halves from {at_s:d} s to {end_s:d} s")
def set_partition(context, at_s, end_s):
    context.parted = at_s, end_s
    context.events += [
        (at_s, lambda fleet: fleet.part(2)),
        (end_s, lambda fleet: fleet.part(1)),
    ]


@given("all instances start again at {at_s:d} s")
def set_restart(context, at_s):
    context.events.append((at_s, lambda fleet: fleet.restart()))


@when('the policy "{names}" serves it for {seconds:d} seconds')
@when('the policies "{names}" serve it for {seconds:d} seconds')
def serve(context, names, seconds):
    context.fleets = {}
    for name in names.split(", "):
        fleet = room_fleet.Fleet(name, **context.options)
        fleet.wave = context.wave
        for at_s, run in context.events:
            fleet.schedule(at_s, run, fleet)
        context.fleets[name] = fleet.run(seconds)
        served = {
            each.name: round(measure(fleet, each), 3) for each in fleet.kinds
        }
        print(f"{name}: in time {served}, value {measure_value(fleet):.3f}")
    context.fleet = context.fleets["room"]


def measure(fleet, kind):
    return fleet.measure(lambda call: call.kind is kind, AFTER_S)


def measure_value(fleet):
    """Return the mean value of a request."""
    count = sum(call.arrived_s > AFTER_S for call in fleet.calls)
    return fleet.sum_value(AFTER_S) / count


@then("at least {fraction:g} of each kind are in time")
def check_each(context, fraction):
    for kind in context.fleet.kinds:
        assert measure(context.fleet, kind) >= fraction, kind.name


@then("at least {fraction:g} of the most urgent kind are in time")
def check_urgent(context, fraction):
    served = measure(context.fleet, context.fleet.kinds[0])
    assert served >= fraction, served


@then("no kind is served more often than a more urgent one")
def check_order(context):
    served = [measure(context.fleet, kind) for kind in context.fleet.kinds]
    assert served == sorted(served, reverse=True), served


@then("of each kind some are served")
def check_some(context):
    served = [measure(context.fleet, kind) for kind in context.fleet.kinds]
    assert min(served) > 0.01, served


@then("each account and size gets at least {fraction:g} of its fair share")
def check_fair(context, fraction):
    fleet = context.fleet
    mean = fleet.measure(after_s=AFTER_S)
    parts = {
        name: fleet.measure(lambda c, name=name: c.account == name, AFTER_S)
        for name in fleet.weights
    }
    parts["large"] = fleet.measure(lambda c: c.size > 1.0, AFTER_S)
    parts["small"] = fleet.measure(lambda c: c.size < 1.0, AFTER_S)
    assert min(parts.values()) >= fraction * mean, (mean, parts)


@then('the value is at least {factor:g} times that of "{name}"')
def check_value(context, factor, name):
    value = measure_value(context.fleet)
    other = measure_value(context.fleets[name])
    assert value >= factor * other, (value, other)


@then("at least {fraction:g} of the other accounts' requests are in time")
def check_others(context, fraction):
    served = context.fleet.measure(lambda c: c.account != "a0", AFTER_S)
    assert served >= fraction, served


@then("impatient callers are in time no more often than patient ones")
def check_impatient(context):
    measure_calls = context.fleet.measure
    impatient = measure_calls(lambda c: c.is_impatient, AFTER_S)
    patient = measure_calls(lambda c: not c.is_impatient, AFTER_S)
    assert impatient <= patient, (impatient, patient)


@then("no request runs twice, and each one is served, refused or expired")
def check_once(context):
    assert max(call.runs for call in context.fleet.calls) == 1
    assert all(call.sends for call in context.fleet.calls)


@then("the places in use are at most the room while parted")
def check_parted(context):
    begin_s, end_s = context.parted
    endpoints = context.fleet.endpoints
    used = [
        count
        for at_s, count in context.fleet.used
        if begin_s + 2.0 < at_s < end_s
    ]
    slots = endpoints.places * len(endpoints.running)
    assert sum(used) / len(used) <= slots, used
