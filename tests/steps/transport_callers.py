import io
import json
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock
from mulberryhollow.serving import gateway
from mulberryhollow.transport import callers


@given("a CallerApp without a configuration document")
def make_app(context):
    relay_dependencies = types.SimpleNamespace(observer=None)
    dependencies = types.SimpleNamespace(
        instance="e1",
        clock=clock.ManualClock(),
        relay_dependencies=relay_dependencies,
    )
    context.app = callers.CallerApp(gateway.Gateway(dependencies), {})


@when("a booking is posted to it with send number {number}")
def post_booking(context, number):
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/v1/services/fitter-bookings/booking",
        "HTTP_AUTHORIZATION": "Bearer key",
        "HTTP_X_SEND_NUMBER": number,
        "wsgi.input": io.BytesIO(b"{}"),
    }

    def start_response(status, headers):
        context.status = status

    context.body = b"".join(context.app(environ, start_response))


@then("the application answers {status:d} with {ran}")
def check_refusal(context, status, ran):
    assert context.status.startswith(str(status)), context.status
    assert json.loads(context.body)["error"]["ran"] == ran, context.body
