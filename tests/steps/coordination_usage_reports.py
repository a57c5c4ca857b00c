import json

from behave import then
from behave import when

from mulberryhollow.coordination import duties


@when(
    "{source} records the report of window {window:d} with {count:d} requests "
    "of {account}"
)
def record_report(context, source, window, count, account):
    report = duties.UsageReport(window, {account: count})
    context.ledgers[source].record_report(report)


@when("{source} reports its counts and its report to {other} at {wall_s:g}")
def tell_report(context, source, other, wall_s):
    for message in context.ledgers[source].encode_own(wall_s):
        context.ledgers[other].merge(message)


@then(
    "{source} knows the report of window {window:d} with {count:d} requests "
    "of {account}"
)
def check_report(context, source, window, count, account):
    expected = duties.UsageReport(window, {account: count})
    assert context.ledgers[source].report == expected


def count_told_reports(context, source, wall_s):
    """Return in how many messages of a ledger there is a report."""
    messages = context.ledgers[source].encode_all(wall_s)
    return sum("report" in json.loads(each) for each in messages)


@then("all counts of {source} at {wall_s:g} hold the report once")
def check_told_once(context, source, wall_s):
    assert count_told_reports(context, source, wall_s) == 1


@then("all counts of {source} at {wall_s:g} hold no report")
def check_not_told(context, source, wall_s):
    assert count_told_reports(context, source, wall_s) == 0
