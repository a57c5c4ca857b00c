import contextlib
import io

from behave import given
from behave import then

import mulberryhollow
from mulberryhollow.cli import main
from mulberryhollow.protocol import status
from mulberryhollow.state import environment
from mulberryhollow.state import histograms
from mulberryhollow.state import keys


@given('an instance "{name}" with active version {version:d}')
@given(
    'an instance "{name}" of "{environment_name}"'
    " with active version {version:d}"
)
def add_instance(context, name, version, environment_name="production"):
    answer = status.InstanceStatus(
        name, "a", version, "d", True, environment_name
    )
    body = status.encode_status(answer)
    context.instances.register(context.store, name, status=body)


@given('an instance "{name}" that does not answer')
def add_silent(context, name):
    context.instances.register(context.store, name)


@given('an instance "{name}" that sends malformed answers')
def add_malformed(context, name):
    bodies = {"status": b'{"instance": 1}', "histograms": b"[]"}
    context.instances.register(context.store, name, **bodies)


@given('instances "{one}" and "{two}" that each recorded {count:d} latencies')
def add_recorded(context, one, two, count):
    for name in (one, two):
        series = histograms.LatencyHistograms()
        for number in range(count):
            chat = environment.RequestClass.CHAT
            series.record("brunner-desk", chat, 1000 + number)
        body = status.encode_histograms(series.snapshot())
        context.instances.register(context.store, name, histograms=body)


@then('the report lists "{name}" with version {version:d}')
def check_reported_version(context, name, version):
    rows = {row["instance"]: row for row in context.report["instances"]}
    assert rows[name]["document_version"] == version


@then('the report has an error for "{one}" and "{two}" only')
def check_errors(context, one, two):
    rows = context.report["instances"]
    named = {row["instance"] for row in rows if row["error"]}
    assert named == {one, two}


@then("the report has one histogram of {count:d} requests")
def check_merged(context, count):
    (record,) = context.report["histograms"]
    assert record["count"] == count
    assert record["account"] == "brunner-desk"


@then('the list "{name}" has "{key}" {number:d}')
def check_listed_number(context, name, key, number):
    assert number in [row[key] for row in context.report[name]]


@then('the list "{name}" has "{key}" "{text}"')
def check_listed_text(context, name, key, text):
    assert text in [row[key] for row in context.report[name]]


@then("the hash verifies the key")
def check_hash(context):
    assert keys.verify("wrong", context.report["key_hash"])


def run_to_exit(*words):
    """Return the exit code and output of a command that raises SystemExit."""
    stream = io.StringIO()
    with (
        contextlib.redirect_stdout(stream),
        contextlib.redirect_stderr(stream),
    ):
        try:
            main.main(list(words))
        except SystemExit as end:
            return end.code, stream.getvalue()
    raise AssertionError(words)


@then("each command has help with an example")
def check_help(context):
    _code, text = run_to_exit("--help")
    assert "exit codes" in text
    names = [name for name in main.list_commands() if name in text]
    assert len(names) >= 10, names
    for name in names:
        code, text = run_to_exit(name, "--help")
        assert code == 0
        assert f"example:\n  mulberryhollow {name}" in text


@then("the version is printed")
def check_printed_version(context):
    code, text = run_to_exit("--version")
    assert (code, text) == (
        0,
        f"mulberryhollow {mulberryhollow.__version__}\n",
    )


@then("an unknown command and a missing store end with 2")
def check_usage(context):
    assert run_to_exit("nothing")[0] == 2
    assert run_to_exit("apply", "file")[0] == 2
