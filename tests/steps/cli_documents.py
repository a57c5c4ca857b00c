from behave import given
from behave import then
from behave import when

from mulberryhollow.protocol import document
from mulberryhollow.protocol import status
from tests import commands
from tests import fakes


@given("a store that holds the example as production and trial")
def make_store(context):
    context.store = fakes.FakeStore()
    context.instances = fakes.FakeInstances()
    context.store.write("environment", "production", commands.EXAMPLE)
    context.store.write("environment", "trial", commands.EXAMPLE)
    commands.write_files(context)


@given('the store has "{faults}" at the next writes')
def plan_faults(context, faults):
    store = context.store

    def race():
        store.write("environment", "production", commands.EXAMPLE)

    for fault in faults.split():
        match fault:
            case "race":
                store.faults.append(race)
            case "stale":
                found = store.objects["environment", "production"]
                store.stale = [found, found, found]
            case "outage":
                store.is_down = True
            case "outage-at-write":
                store.goes_down_at_write = True
            case _:
                store.faults.append(fault)


@given('the trial document changes "{old}" to "{new}" at version {version:d}')
def change_trial(context, old, new, version):
    data = commands.replace_in_example(old, new)
    assert context.store.write("environment", "trial", data) == version


@given("an instance reports {reported} of the trial document")
def report_trial(context, reported):
    trial = context.store.objects["environment", "trial"].value
    data = b"other" if "other bytes" in reported else trial
    answer = status.InstanceStatus(
        "i-1",
        "zone-a",
        int(reported.split()[1]),
        document.digest(data),
        "not ready" not in reported,
    )
    body = status.encode_status(answer)
    context.instances.register(context.store, "i-1", status=body)


@when('an operator runs "{command}" with "{old}" replaced by "{new}"')
def run_changed(context, command, old, new):
    data = commands.replace_in_example(old, new)
    (context.folder / "changed").write_bytes(data)
    commands.run_command(context, command)


@when('an operator runs "{command}"')
def run_unchanged(context, command):
    commands.run_command(context, command)


@when("the instances stop and production gets the example again")
def stop_instances(context):
    context.instances.bodies.clear()
    context.store.write("environment", "production", commands.EXAMPLE)


@then('the command ends with {code:d} and "{outcome}"')
def check_end(context, code, outcome):
    assert context.report["outcome"] == outcome, context.report
    assert context.code == code, context.report
    if outcome in ("conflict", "unknown", "unavailable", "usage"):
        assert context.report["remedy"]


@then("the faults name section, key, message and remedy")
def check_faults(context):
    for fault in context.report["faults"]:
        assert set(fault) == {"section", "key", "message", "remedy"}
        assert fault["remedy"]


@then("the report has version {version:d} and the bytes of the example")
def check_shown(context, version):
    assert context.report["version"] == version
    assert context.report["document"] == commands.EXAMPLE.decode()
    assert context.report["digest"] == document.digest(commands.EXAMPLE)


@then('the report names section "{section}" owned by "{council}"')
def check_sections(context, section, council):
    named = {"section": section, "councils": [council]}
    assert named in context.report["sections"], context.report


@then("production is at version {version:d}")
def check_version(context, version):
    found = context.store.objects["environment", "production"]
    assert found.version == version, found.version


@then("production has the bytes of the trial document")
def check_promoted(context):
    names = ("trial", "production")
    values = [context.store.objects["environment", name] for name in names]
    assert values[0].value == values[1].value
    assert context.report["digest"] == document.digest(values[0].value)
