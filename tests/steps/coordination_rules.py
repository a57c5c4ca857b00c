import copy
import io
import json

from behave import given
from behave import then
from behave import when

from mulberryhollow.cli import main
from mulberryhollow.coordination import configuration
from mulberryhollow.platform import records
from mulberryhollow.protocol import document

REGIONS = ("east", "west")
KEYS = ("k1", "k2", "k-new")
CLEAN = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/a/",
            "routeKind": "streaming",
            "timeoutMs": 10000,
            "goalMs": 800,
            "gapGoalMs": 400,
            "service": "s1",
            "allowedRegions": ["east"],
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "routeKind": "idempotent",
            "timeoutMs": 1000,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "maxConns": 100,
            "scaling": {"min": 1, "max": 2},
            "coldS": 4,
            "coldPerS": 15,
        },
        {"name": "s2", "maxConns": 100},
    ],
    "tenants": [
        {
            "name": "a1",
            "apiKeys": ["k1"],
            "unit": "token_count",
            "uncachedTokens": 200,
            "ratePerS": 100,
            "burst": 400,
        },
        {"name": "a2", "apiKeys": ["k2"], "ratePerS": 1, "burst": 2},
    ],
}


def decode(fields):
    """Return the decoded catalogue of the fields of a configuration."""
    return records.decode_catalogue(json.dumps(fields).encode(), 0)


def find(context):
    """Return the findings about the configuration of a scenario."""
    return configuration.check_catalogue(decode(context.fields), REGIONS)


def compare(context):
    """Return the differences from the clean configuration."""
    return configuration.list_catalogue_differences(
        decode(CLEAN), decode(context.fields)
    )


def is_about(finding, severity, entry, words):
    """Return whether a finding has a severity, entry, words and remedy."""
    assert finding.remedy, finding
    return (
        finding.severity.name.lower() == severity
        and finding.entry.startswith(entry)
        and words in finding.message
    )


@given("a clean platform configuration")
def make_clean(context):
    context.fields = copy.deepcopy(CLEAN)


@given("the {name} configuration in the file {label}")
def write_configuration(context, name, label):
    fields = copy.deepcopy(CLEAN)
    match name:
        case "clean":
            pass
        case "contradictory":
            fields["routes"][0]["goalMs"] = 10001
        case "incomplete":
            fields["routes"][0]["service"] = "s9"
        case "newer":
            fields["version"] = 8
            fields["limits"] = {"maxBodyBytes": 100}
        case "malformed":
            del fields["services"]
    path = context.folder / label.lower()
    path.write_text(json.dumps(fields), encoding="utf-8")
    context.files[label] = str(path)


@when("the configuration sets {path} to {value}")
def set_field(context, path, value):
    *parents, last = path.split(".")
    place = context.fields
    for name in parents:
        place = place[int(name) if name.isdecimal() else name]
    place[last] = json.loads(value)
    if last == "split":
        del place["service"]


@then("the rules find nothing")
def check_nothing(context):
    assert not find(context), find(context)


@then("the rules without regions find nothing")
def check_without_regions(context):
    findings = configuration.check_catalogue(decode(context.fields))
    assert not findings, findings


@then('the rules find only a {severity} about "{entry}" with "{words}"')
def check_only(context, severity, entry, words):
    check_found(context, severity, entry, words)
    # A change of a route may also leave a service without a route.
    others = [
        each
        for each in find(context)
        if not is_about(each, severity, entry, words)
        and each.message != "no route sends requests to it"
    ]
    assert not others, others


@then('the rules find a {severity} about "{entry}" with "{words}"')
def check_found(context, severity, entry, words):
    found = find(context)
    assert any(is_about(each, severity, entry, words) for each in found), found


@then("no finding or difference contains a key")
def check_secrets(context):
    findings = [*find(context), *compare(context)]
    assert len(findings) > 1, findings
    shown = " ".join(map(str, findings))
    assert not any(key in shown for key in KEYS), shown


@then("the differences are")
def check_differences(context):
    found = [(each.entry, each.message) for each in compare(context)]
    expected = [(row["entry"], row["words"]) for row in context.table]
    entries = [entry for entry, _ in found]
    assert entries == [entry for entry, _ in expected], found
    for (_, message), (_, words) in zip(found, expected, strict=True):
        assert words in message, found


@then("there are no differences")
def check_no_differences(context):
    assert not compare(context), compare(context)


@then('the rules of documents find a warning about "{entry}" with "{words}"')
def check_document(context, entry, words):
    found = configuration.check_environment(document.parse(context.data))
    assert any(is_about(each, "warning", entry, words) for each in found), (
        found
    )


@then('the report of the check has a {severity} about "{entry}"')
def check_reported(context, severity, entry):
    found = [
        (each["severity"], each["entry"])
        for each in context.report["findings"]
        if each["message"] and each["remedy"]
    ]
    assert (severity, entry) in found, context.report


@then('"{command}" prints "{line}"')
def check_text(context, command, line):
    words = [context.files.get(word, word) for word in command.split()]
    stream = io.StringIO()
    main.main(words, None, stream)
    assert line in stream.getvalue(), stream.getvalue()
