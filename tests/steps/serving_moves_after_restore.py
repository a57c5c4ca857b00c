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
