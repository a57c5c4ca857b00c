from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import rollout
from mulberryhollow.protocol import moves
from tests import commands


def read_move(context, service):
    """Return the stored record of a service's move."""
    found = context.store.objects["move", f"production.{service}"]
    return moves.decode(found.value, found.version)


@given(
    'the move of "{service}" from "{old}" to "{new}" has the stage "{name}"'
)
def store_move(context, service, old, new, name):
    if name == "none":
        return
    stage = rollout.Stage(name)
    move = rollout.Move(
        "m-1", "production", service, old, new, 0.0, 900.0, stage
    )
    context.store.write("move", move.object_name, moves.encode(move))


@when('the driver writes the move of "{service}" just before the next write')
def plan_driver(context, service):
    def write():
        data = moves.encode(read_move(context, service))
        context.store.write("move", f"production.{service}", data)

    context.store.faults.append(write)


@when('service "{name}" is changed from "{old}" to "{new}" by "{command}"')
def run_with_service(context, name, old, new, command):
    text = commands.EXAMPLE.decode()
    head, mark, tail = text.partition(f"[service {name}]")
    assert old in tail
    changed = head + mark + tail.replace(old, new, 1)
    (context.folder / "changed").write_text(changed, encoding="utf-8")
    commands.run_command(context, command)


@then(
    'the stored move of "{service}" goes from "{old}" to "{new}"'
    ' in stage "{stage}"'
)
def check_move(context, service, old, new, stage):
    move = read_move(context, service)
    seen = (move.from_version, move.to_version, move.stage.value)
    assert seen == (old, new, stage), seen
