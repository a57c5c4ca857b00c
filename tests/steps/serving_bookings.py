import types
from unittest import mock

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock
from mulberryhollow.coordination import booking
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.serving import attempts
from mulberryhollow.serving import bookings
from mulberryhollow.serving import lookups
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


class LeavingDispatcher:
    """Chooses e1, then e2; e1 leaves between its choice and the send."""

    def __init__(self):
        self.withdrawn = []
        self.finished = []

    def choose(self, request, excluded, *options):
        name = "e2" if "e1" in excluded else "e1"
        chosen = types.SimpleNamespace(endpoint_id=name, address=name)
        return attempts.Route(chosen, None, "s", None)

    def check_send(self, route):
        if route.endpoint_id == "e1":
            raise errors.EndpointLeftError

    def withdraw(self, route):
        self.withdrawn.append(route.endpoint_id)

    def finish(self, route, fingerprint=""):
        self.finished.append(route.endpoint_id)


class Claims:
    """Grants every claim and keeps what is recorded of it."""

    def __init__(self):
        self.states = {}

    def claim(self, bucket, wanted):
        return booking.Granted(wanted)

    def record(self, bucket, ended):
        self.states[ended.endpoint_id] = ended.state
        return booking.Standing(ended)


def make_request(context, body, request_class):
    return callers.CallerRequest(
        request_id=callers.make_request_id("e1"),
        account="desk",
        service="s",
        request_class=request_class,
        deadline_s=context.clock.wall_s() + 5.0,
        body=body,
        key_text="1764806400-7f3a9c21e4",
    )


@given("a {kind} handler with endpoints e1 and e2")
def make_handler_with_endpoints(context, kind):
    context.clock = clock.ManualClock(1764806400.0)
    context.dispatcher = LeavingDispatcher()
    context.claims = Claims()
    context.endpoints = mock.Mock()
    context.endpoints.book.return_value = messages.BookingAnswer(
        "r", "b", "friday", "v1"
    )


@when("e1 leaves while a booking is claimed for it")
def book_while_leaving(context):
    handler = bookings.BookingHandler(
        context.claims, context.endpoints, context.dispatcher, context.clock
    )
    request = make_request(
        context,
        callers.BookingRequest("friday"),
        environment.RequestClass.BOOKING,
    )
    handler.book(request, "f")


@when("e1 leaves after it was chosen for a look-up")
def look_up_while_leaving(context):
    handler = lookups.LookupHandler(
        context.endpoints, context.dispatcher, context.clock
    )
    request = make_request(
        context,
        types.SimpleNamespace(query="q"),
        environment.RequestClass.LOOKUP,
    )
    handler.look_up(request, "f")


@then(
    "only e2 gets the booking, and the claim for e1 says that it has not run"
)
def check_booked(context):
    sent = [each.args[0] for each in context.endpoints.book.call_args_list]
    assert sent == ["e2"], sent
    assert context.claims.states["e1"] is booking.ClaimState.NOT_RUN


@then("only e2 gets the look-up")
def check_looked_up(context):
    sent = [each.args[0] for each in context.endpoints.look_up.call_args_list]
    assert sent == ["e2"], sent


@then("the load of e1 is withdrawn and that of e2 has ended")
def check_released(context):
    found = context.dispatcher.withdrawn, context.dispatcher.finished
    assert found == (["e1"], ["e2"]), found
