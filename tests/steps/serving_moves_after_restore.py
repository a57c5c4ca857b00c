from behave import then
from behave import when

from tests import move_fleet


@when(
    "the store is copied {copied_s:g} s after the order and restored at "
    "{restored_s:g} s"
)
def copy_and_restore(context, copied_s, restored_s):
    fleet = context.fleet
    fleet.platform.era = 1
    fleet.run(copied_s)
    copied = fleet.platform.copy()
    fleet.run(restored_s - copied_s)
    context.state_before = fleet.status.get("state")
    context.restored_s = fleet.clock.now_s()
    fleet.platform.restore(copied)


@then("{seconds:g} s after the restore the move is {state}")
def check_state(context, seconds, state):
    assert context.state_before == state, context.state_before
    context.fleet.run(seconds)
    assert context.fleet.status.get("state") == state, context.fleet.status


def list_versions(context):
    """Return the version of each request since the restore."""
    return [
        each.version
        for each in context.fleet.sent
        if each.sent_s >= context.restored_s
    ]


@then("the new version got every request since the restore")
def check_all_new(context):
    assert set(list_versions(context)) == {"v2"}, list_versions(context)


@then("the new version got no request since the restore")
def check_none_new(context):
    assert set(list_versions(context)) == {"v1"}, list_versions(context)


@then(
    "the new version got at most a tenth of the requests and 50 more, or is "
    "good"
)
def check_exposure(context):
    fleet = context.fleet
    if fleet.status["state"] == "completed":
        return
    sent = [each for each in fleet.sent if each.sent_s >= fleet.ordered_s]
    new = [each for each in sent if each.version == "v2"]
    limit = move_fleet.LIMIT.compute_allowance(len(sent))
    assert len(new) <= limit, (len(new), limit)


def run_until(context, since_s):
    """Run until a time after the order."""
    fleet = context.fleet
    fleet.run(fleet.ordered_s + since_s - fleet.clock.now_s())


@when(
    "the move is ordered for {duration_s:d} s and the order is lost at "
    "{lost_s:d} s for {gap_s:d} s"
)
def lose_order(context, duration_s, lost_s, gap_s):
    fleet = context.fleet
    fleet.platform.era = 1
    fleet.run(1.0)
    copied = fleet.platform.copy()
    fleet.order(duration_s)
    context.deadline_s = fleet.ordered_s + duration_s
    run_until(context, lost_s)
    context.state_before = fleet.status.get("state")
    context.move_before = fleet.status["record"]["id"]
    context.spec = fleet.platform.objects["rollouts", move_fleet.SERVICE][
        "spec"
    ]
    context.restored_s = fleet.clock.now_s()
    context.gap_s = gap_s
    fleet.platform.restore(copied)
    # Another write, so that the order is created at another revision.
    fleet.platform.put("config", "main", {"version": 2})
    if gap_s < 10:
        fleet.run(gap_s)
        fleet.platform.put("rollouts", move_fleet.SERVICE, context.spec)


@when("nothing is written again")
def write_nothing(context):
    assert ("rollouts", move_fleet.SERVICE) not in (
        context.fleet.platform.objects
    )


@when("the order is deleted {delay_s:d} s after it was written")
def delete_written(context, delay_s):
    context.fleet.run(delay_s)
    context.fleet.platform.remove("rollouts", move_fleet.SERVICE)


@then("{seconds:d} s after it is written again the move is {state}")
def check_state_again(context, seconds, state):
    check_state(context, seconds, state)


@then("each request since the restore went to {version}")
def check_version(context, version):
    assert set(list_versions(context)) == {version}, list_versions(context)


@then("the store holds the move that was ordered first")
def check_same_move(context):
    found = context.fleet.status["record"]["id"]
    assert found == context.move_before, (found, context.move_before)


@then("{seconds:d} s later no instance gives the new version any request")
def check_none_given(context, seconds):
    context.fleet.run(seconds)
    for each in context.fleet.list_running():
        found = each.dispatcher.actor.shares.get(move_fleet.SERVICE)
        assert not found.get("v2"), (each.peers.name, found)
