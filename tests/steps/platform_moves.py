import time

from behave import given
from behave import then
from behave import when

from tools import platform_site

SETTLING_S = 0.5

BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "exposureShare": 0.1,
    "exposureSlack": 0,
    "rollbackMs": 5000,
}


@given("an instance that moves versions, with e1 of v1 and e2 not listed")
def start_moving_instance(context):
    context.site = platform_site.PlatformSite(
        contracts=["rollout"], bounds=BOUNDS
    )
    context.add_cleanup(context.site.close)
    context.site.wait_ready()
    context.site.server.store.remove("servers", "e2")
    time.sleep(SETTLING_S)
    context.site.endpoints["e2"].received.clear()


def list_new(context):
    record = platform_site.make_endpoint_record(
        context.site.endpoints["e2"].address
    )
    entry = record | {"version": "v2", "born": 1700000009000}
    context.site.server.store.put("servers", "e2", entry)


def order(context, duration_s):
    spec = {"service": "s", "target": "v2", "durationS": duration_s}
    context.site.server.store.put("rollouts", "s", spec)


def get_status(context):
    stored = context.site.server.store.objects["rollouts", "s"]
    return stored["status"] or {}


@when("v2 is ordered for {duration_s:d} s and e2 is listed with it")
def order_before_listing(context, duration_s):
    order(context, duration_s)
    list_new(context)


@when(
    "e2 is listed with v2, which is ordered for {duration_s:d} s "
    "{delay_s:g} s later"
)
def list_before_order(context, duration_s, delay_s):
    list_new(context)
    send_until(context, time.monotonic() + delay_s)
    order(context, duration_s)


def send_until(context, until_s):
    while time.monotonic() < until_s:
        context.site.call("GET", "/safe/x")


@when("{count:d} requests of the moved service are sent")
def send_moved(context, count):
    context.answers = []
    context.run_before = 0
    for _ in range(count):
        if not get_status(context).get("state"):
            received = context.site.endpoints["e2"].received
            context.run_before = len(received)
        context.answers.append(context.site.call("GET", "/safe/x"))
        time.sleep(0.02)


@then(
    "e2 has run at most {count:d} of them, and none before the move was "
    "recorded"
)
def check_exposure(context, count):
    received = context.site.endpoints["e2"].received
    assert len(received) <= count, len(received)
    assert context.run_before == 0, context.run_before
    assert get_status(context)["target"] == "v2", get_status(context)
