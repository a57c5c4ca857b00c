import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock
from mulberryhollow.coordination import booking
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.serving import bookings
from mulberryhollow.state import environment


def refuse(*arguments, **named):
    raise callers.refuse(errors.RefusalKind.NO_CAPACITY, "none", "later")


@given("a booking handler without endpoints whose store returns no claim")
def make_handler(context):
    context.clock = clock.ManualClock(1764806400.0)
    context.handler = bookings.BookingHandler(
        types.SimpleNamespace(read=lambda *_: booking.Standing(None)),
        types.SimpleNamespace(),
        types.SimpleNamespace(choose=refuse),
        context.clock,
    )


@when("a booking is sent for the {number} time")
def send(context, number):
    request = callers.CallerRequest(
        request_id=callers.make_request_id("e1"),
        account="desk",
        service="fitter-bookings",
        request_class=environment.RequestClass.BOOKING,
        deadline_s=context.clock.wall_s() + 5.0,
        body=callers.BookingRequest("friday"),
        key_text="1764806400-7f3a9c21e4",
        is_first_send=number == "first",
    )
    try:
        context.handler.book(request, "f")
    except errors.RefusedError as error:
        context.refusal = error.refusal


@then("the booking handler refuses it as {ran}")
def check_refusal(context, ran):
    assert context.refusal.kind is errors.RefusalKind.NO_CAPACITY
    assert context.refusal.ran.value == ran, context.refusal
