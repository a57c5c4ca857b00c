from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import streams
from mulberryhollow.coordination.streams import events


@given("an event stream")
def make_stream(context):
    context.assembly = streams.EventAssembly()


@given("an event stream after event {last_id}")
def make_later_stream(context, last_id):
    context.assembly = streams.EventAssembly(last_id)


def to_bytes(text):
    return text.replace("|", "\n").encode()


@when('the bytes "{text}" arrive')
def feed_bytes(context, text):
    context.returned = context.assembly.feed(to_bytes(text))


@when("another endpoint resumes the stream")
def restart_stream(context):
    context.assembly.restart()


@when("more than a megabyte arrives without an event end")
def feed_endless(context):
    context.returned = context.assembly.feed(
        b"x" * (events.MAX_EVENT_BYTES + 1)
    )


@then('the bytes "{text}" are returned')
def check_returned(context, text):
    assert context.returned == to_bytes(text), context.returned


@then("the stream has a sequence fault")
def check_sequence_fault(context):
    assert isinstance(context.returned, streams.Crossed), context.returned


@then("{count:d} events have been returned")
def check_count(context, count):
    assert context.assembly.event_count == count
