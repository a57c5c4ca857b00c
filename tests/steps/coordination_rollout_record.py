from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import rollout
from mulberryhollow.coordination.rollout import record
from mulberryhollow.state import objects


def make_record(stage, epoch, version):
    return rollout.Move(
        id="m",
        environment="",
        service="s",
        from_version="v1",
        to_version="v2",
        created_s=0.0,
        deadline_s=300.0,
        stage=rollout.Stage(stage),
        epoch=epoch,
        version=version,
    )


@given("a record of a move that is {stage}, in epoch {epoch:d}")
def know_record(context, stage, epoch):
    context.known = make_record(stage, epoch, objects.make_version(1, 20))


@when("a record that is {stage}, in epoch {epoch:d}, is read in a new era")
def read_in_new_era(context, stage, epoch):
    context.found = make_record(stage, epoch, objects.make_version(2, 12))


@when("a record that is {stage}, in epoch {epoch:d}, is read in the same era")
def read_in_same_era(context, stage, epoch):
    context.found = make_record(stage, epoch, objects.make_version(1, 21))


@then("the record that holds is {stage}, under the version of the new era")
def check_held(context, stage):
    held = record.merge(context.known, context.found)
    assert held.stage.value == stage, held
    assert held.version == context.found.version, held


@then("the record that holds is {stage}, in the same era")
def check_held_in_era(context, stage):
    assert record.merge(context.known, context.found) is context.found
