from behave import given
from behave import then

from mulberryhollow.state import endpoints
from mulberryhollow.state import regions

REGION_MAP = regions.RegionMap({"d1": "r1", "d2": "r2"})


def read_names(text):
    return None if text == "any" else frozenset(text.split(","))


@given("a route that allows {route} and an account that allows {account}")
def combine(context, route, account):
    context.allowed = regions.combine(read_names(route), read_names(account))


@then("a receiver in r1 is {in_r1}, in r2 {in_r2}, and elsewhere {elsewhere}")
def check_receivers(context, in_r1, in_r2, elsewhere):
    expected = {"d1": in_r1, "d2": in_r2, "d3": elsewhere}
    for domain, result in expected.items():
        endpoint = endpoints.Endpoint("e", "m", "h:1", domain, "s", "v1")
        is_allowed = REGION_MAP.admits(context.allowed, endpoint)
        assert is_allowed is (result == "allowed"), (domain, is_allowed)
