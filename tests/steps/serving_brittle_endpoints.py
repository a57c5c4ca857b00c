from behave import then
from behave import when


@when(
    "the endpoints let {waiting:d} requests wait and fall over after "
    "{rejections:d} rejections"
)
def make_brittle(context, waiting, rejections):
    for fleet in context.fleets:
        fleet.make_brittle(rejections, waiting)


@then("at most {count:d} endpoints fall over")
def check_falls(context, count):
    falls = [
        sum(endpoint.falls for endpoint in fleet.endpoints.values())
        for fleet in context.fleets
    ]
    assert max(falls) <= count, falls
