import io
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from mulberryhollow.cli import main
from mulberryhollow.cli import sessions
from mulberryhollow.clock import ManualClock
from mulberryhollow.protocol import document
from mulberryhollow.protocol import status
from tests import fakes

EXAMPLE = pathlib.Path("examples/production.ini").read_bytes()
COUNCILS = ("operators", "brunner", "tolgyfa")
OFFLINE = ("check", "events", "settings", "hash-key")


def replace_in_example(old, new):
    """Return the example with every place of a text replaced."""
    assert old.encode() in EXAMPLE
    return EXAMPLE.replace(old.encode(), new.encode())


def run_command(context, command):
    """Run a command line with --json; keep its code and report."""
    words = command.split()
    if words[0] not in OFFLINE:
        words += ["--store", "fake:1"]
    files = context.files
    words = [files.get(word, word) for word in words]
    words = [part for word in words for part in word.split()]
    stream = io.StringIO()
    session = sessions.Session(
        lambda address, timeout_s: context.store,
        context.instances.fetch,
        ManualClock(),
    )
    context.code = main.main([*words, "--json"], session, stream)
    context.report = json.loads(stream.getvalue())


def write_files(context):
    """Write the files that command lines refer to in capitals."""
    held = tempfile.TemporaryDirectory()
    context.add_cleanup(held.cleanup)
    folder = pathlib.Path(held.name)
    keys = "\n".join(f"example-key-{name}-operator" for name in COUNCILS)
    (folder / "keys").write_text(keys, encoding="utf-8")
    (folder / "wrong").write_text("wrong", encoding="utf-8")
    context.folder = folder
    context.files = {
        "KEY": f"--key-file {folder / 'keys'}",
        "WRONG": f"--key-file {folder / 'wrong'}",
        "KEYFILE": str(folder / "wrong"),
        "CHANGED": str(folder / "changed"),
    }


@given("a store that holds the example as production and trial")
def make_store(context):
    context.store = fakes.FakeStore()
    context.instances = fakes.FakeInstances()
    context.store.write("environment", "production", EXAMPLE)
    context.store.write("environment", "trial", EXAMPLE)
    write_files(context)


@given('the store has "{faults}" at the next writes')
def plan_faults(context, faults):
    store = context.store

    def race():
        store.write("environment", "production", EXAMPLE)

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


@given('the trial changes "{old}" to "{new}" at version {version:d}')
def change_trial(context, old, new, version):
    data = replace_in_example(old, new)
    assert context.store.write("environment", "trial", data) == version


@given("an instance reports {reported} of the trial")
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


@when('an operator runs "{command}" with "{old}" as "{new}"')
def run_changed(context, command, old, new):
    data = replace_in_example(old, new)
    (context.folder / "changed").write_bytes(data)
    run_command(context, command)


@when('an operator runs "{command}"')
def run_plain(context, command):
    run_command(context, command)


@when("the instances stop and production gets the example again")
def stop_instances(context):
    context.instances.bodies.clear()
    context.store.write("environment", "production", EXAMPLE)


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
    assert context.report["document"] == EXAMPLE.decode()
    assert context.report["digest"] == document.digest(EXAMPLE)


@then('the report names "{section}" of "{council}"')
def check_sections(context, section, council):
    named = {"section": section, "councils": [council]}
    assert named in context.report["sections"], context.report


@then("production is at version {version:d}")
def check_version(context, version):
    found = context.store.objects["environment", "production"]
    assert found.version == version, found.version


@then("production has the bytes of the trial")
def check_promoted(context):
    names = ("trial", "production")
    values = [context.store.objects["environment", name] for name in names]
    assert values[0].value == values[1].value
    assert context.report["digest"] == document.digest(values[0].value)
