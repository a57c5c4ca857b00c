from behave import given
from behave import then
from behave import when

from tests import move_fleet

SLACK_S = 1.0
"""Time until all instances have read the end of a move, in seconds."""


def make_fault(text):
    """Return the latency and the failures of each version's requests."""

    def fault(version, route, since_s, rng):
        latency_s = 0.05 + 0.1 * rng.random()
        is_hit = version == "v2" and rng.random() < 0.5
        match text:
            case "fails" if is_hit:
                return latency_s, True
            case "is slow" if is_hit:
                return 4.0 * latency_s, False
            case "fails after 6 s" if is_hit and since_s >= 6.0:
                return latency_s, True
            case "fails on one route" if is_hit and route == "route1":
                return latency_s, True
        return latency_s, rng.random() < 0.005

    return fault


@given(
    "{count:d} instances with {rate:g} requests a second, and a new version "
    "that {fault}"
)
def start_move_fleet(context, count, rate, fault):
    context.fleet = move_fleet.MoveFleet(count, rate, make_fault(fault))
    context.add_cleanup(context.fleet.close)
    context.fleet.run(2.0)


@when("the move is ordered for {duration_s:d} s")
def order_move(context, duration_s):
    context.fleet.order(duration_s)
    context.deadline_s = context.fleet.ordered_s + duration_s


def run_until(context, since_s):
    """Run until a time after the order."""
    fleet = context.fleet
    fleet.run(fleet.ordered_s + since_s - fleet.clock.now_s())


@when("its driver {fate} after {since_s:g} s")
def end_driver(context, fate, since_s):
    run_until(context, since_s)
    driver = context.fleet.driver
    if fate == "ends":
        driver.stop()
    else:
        driver.pool.is_cut = True


@when("the store is away from {begin_s:g} s to {end_s:g} s")
def cut_store(context, begin_s, end_s):
    run_until(context, begin_s)
    context.fleet.cut_store(True)
    run_until(context, end_s)
    context.fleet.cut_store(False)


@when("another instance starts after {since_s:g} s")
def start_another(context, since_s):
    run_until(context, since_s)
    context.fleet.add("late")


@then("it is {state} by its deadline")
def check_ended_in_time(context, state):
    fleet = context.fleet
    fleet.run(context.deadline_s - fleet.clock.now_s())
    assert fleet.status.get("state") == state, fleet.status
    assert fleet.status["target"] == "v2", fleet.status
    fleet.run(SLACK_S)


@then("it is {state} {within_s:g} s after the store is back")
def check_ended_late(context, state, within_s):
    context.fleet.run(within_s)
    assert context.fleet.status.get("state") == state, context.fleet.status


def list_new(context):
    """Return the requests of the new version by the deadline."""
    return [
        each
        for each in context.fleet.sent
        if each.version == "v2" and each.sent_s < context.deadline_s
    ]


@then("the new version got at most a tenth of the requests and 50 more")
def check_exposure_of_fleet(context):
    begin_s = context.fleet.ordered_s
    total = [
        each
        for each in context.fleet.sent
        if begin_s <= each.sent_s < context.deadline_s
    ]
    limit = move_fleet.LIMIT.compute_allowance(len(total))
    assert len(list_new(context)) <= limit, (len(list_new(context)), limit)


@then("no request reached it later than 5 s after its 50th bad answer")
def check_roll_back_time(context):
    sent = [each for each in context.fleet.sent if each.version == "v2"]
    bad = [each.end_s for each in sent if each.is_bad]
    assert bad, "the version has had no request"
    if len(bad) >= 50:
        late_s = sorted(bad)[49] + move_fleet.LIMIT.rollback_s
        assert sent[-1].sent_s <= late_s, (sent[-1], late_s)


@then("all instances give the new version every request")
def check_all_new(context):
    for each in context.fleet.list_running():
        found = each.dispatcher.actor.shares.get(move_fleet.SERVICE)
        assert found == {"v1": 0.0, "v2": 1.0}, (each.peers.name, found)


@then("the new version got no request {seconds:g} s after the deadline")
def check_none_after(context, seconds):
    late = [
        each
        for each in context.fleet.sent
        if each.version == "v2" and each.sent_s >= context.deadline_s + seconds
    ]
    assert not late, late[:3]


@then("the store got at most {count:d} writes, all of them from one driver")
def check_writes(context, count):
    calls = context.fleet.platform.calls
    writes = [call for call in calls if call[0] == "PUT"]
    assert len(writes) <= count, len(writes)
    assert context.fleet.status["record"]["epoch"] == 1, context.fleet.status


@when("version v2 is rolled back")
def wait_for_roll_back(context):
    fleet = context.fleet
    while fleet.status.get("state") != "rolled_back":
        fleet.run(0.2)
        assert fleet.clock.now_s() < context.deadline_s, fleet.status
    fleet.run(SLACK_S)


@when("a move to {version} is ordered for {duration_s:d} s")
def order_other_move(context, version, duration_s):
    context.fleet.order(duration_s, version)
    context.deadline_s = context.fleet.ordered_s + duration_s


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.fleet.run(seconds)


@when("{count:d} instances are killed and start again")
def restart_instances(context, count):
    context.restarted_s = context.fleet.clock.now_s()
    context.fleet.restart(count)


def list_sent(context, version):
    """Return the requests of a version since the latest restart."""
    return [
        each
        for each in context.fleet.sent
        if each.version == version and each.sent_s >= context.restarted_s
    ]


@then("version {version} gets no request for {seconds:g} s")
def check_withdrawn(context, version, seconds):
    context.fleet.run(seconds)
    sent = list_sent(context, version)
    assert not sent, (len(sent), sent[0])


@then("version {version} gets requests in {seconds:g} s")
def check_tried(context, version, seconds):
    context.fleet.run(seconds)
    assert list_sent(context, version)
