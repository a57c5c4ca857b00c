import json

from behave import given
from behave import then

from mulberryhollow.protocol import draws
from mulberryhollow.protocol import peer_requests
from tests import requests

REGIONS = {
    "any": None,
    "r1,r2": frozenset(("r1", "r2")),
    "nowhere": frozenset(),
}


@given("a forwarded request that is allowed in {names}")
def make_restricted(context, names):
    context.request = requests.make_request(allowed_regions=REGIONS[names])


@then("its draw at level 1 is read back with {names}")
def check_draw(context, names):
    payload = draws.encode_draw(context.request, 0.0, level=1)
    found = draws.decode_draw(payload, 0.0).route_request.allowed_regions
    assert found == REGIONS[names], found


@then("its draw at level 0 names no regions")
def check_older_draw(context):
    payload = draws.encode_draw(context.request, 0.0, level=0)
    assert "allowed_regions" not in json.loads(payload)


@then("its call of a peer is read back with {names}")
def check_call(context, names):
    call = peer_requests.encode_call(context.request, 1.0, "")
    found = peer_requests.decode_request(call.body, 0.0).allowed_regions
    assert found == REGIONS[names], found
