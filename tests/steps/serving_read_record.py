from unittest import mock

from behave import given
from behave import then
from behave import when

from mulberryhollow import events
from mulberryhollow.serving import read_record


@given("the record of the reads of a kind")
def make_record(context):
    context.record = read_record.ReadRecord("servers")
    context.now_s = 100.0
    patch = mock.patch.object(events, "log")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


@when(
    "{count:d} reads in a row find the history after revision {revision:d} "
    "lost"
)
def lose_history(context, count, revision):
    for _ in range(count):
        context.now_s += 0.5
        context.record.record_loss(revision, context.now_s)


@when("a watch is answered")
def answer_watch(context):
    context.record.record_changes(context.now_s)


@when("the kind is listed at revision {revision:d}")
def answer_list(context, revision):
    context.record.record_list(revision, context.now_s)


def list_fields(context, event):
    return [
        call.kwargs
        for call in context.logged.call_args_list
        if call.args == (event,)
    ]


@then("the loss is logged with the rows {rows} for revision {revision:d}")
def check_rows(context, rows, revision):
    found = list_fields(context, read_record.HISTORY_LOST)
    assert [each["row"] for each in found] == [
        int(each) for each in rows.split(", ")
    ], found
    assert found[-1]["revision"] == revision, found


@then("{count:d} losses are counted")
def check_count(context, count):
    assert context.record.lost_count == count, context.record


@then("the list after the loss is logged once")
def check_listed(context):
    found = list_fields(context, read_record.LISTED_AGAIN)
    assert [each["revision"] for each in found] == [61], found
