import concurrent.futures
import json
import time

from behave import given
from behave import then
from behave import when

from mulberryhollow.platform import moves
from mulberryhollow.platform import store as dialects
from mulberryhollow.transport import store
from tools import platform_site

SETTLING_S = 0.5

BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "exposureShare": 0.1,
    "exposureSlack": 50,
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


def send_at_rate(context, method, per_s, until, limit_s):
    """Send requests at a rate until a condition holds or the time is up."""
    begin_s = time.monotonic()
    sent = 0
    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        while not until() and time.monotonic() < begin_s + limit_s:
            verb, path = method.split()
            threads.submit(context.site.call, verb, f"{path}/x")
            sent += 1
            time.sleep(max(0.0, begin_s + sent / per_s - time.monotonic()))
    return time.monotonic() - begin_s


@then("the state of the move is {state} within {limit_s:g} s")
def check_state(context, state, limit_s):
    platform_site.wait_until(
        lambda: get_status(context).get("state") == state, limit_s
    )


@then("under {per_s:d} requests a second it is {state} within {limit_s:d} s")
def check_completed(context, per_s, state, limit_s):
    check_ended(context, per_s, "GET /safe", state, limit_s)


@then(
    "under {per_s:d} requests {method} a second it is {state} within "
    "{limit_s:d} s"
)
def check_ended(context, per_s, method, state, limit_s):
    send_at_rate(
        context,
        method,
        per_s,
        lambda: get_status(context).get("state") not in (None, "in_progress"),
        limit_s,
    )
    status = get_status(context)
    assert status.get("state") == state, status
    assert status["target"] == "v2", status


@then("e2 answers all requests from then on")
def check_moved(context):
    time.sleep(SETTLING_S)
    answers = [context.site.call("GET", "/safe/x").data for _ in range(20)]
    assert answers == [b"answer of e2"] * 20, answers


@given("e2 fails every request")
def fail_all(context):
    context.site.endpoints["e2"].is_failing = True


@then("e2 has failed at most {count:d} requests, and gets no more")
def check_failed(context, count):
    received = context.site.endpoints["e2"].received
    time.sleep(SETTLING_S)
    failed = len(received)
    assert 1 <= failed <= count, failed
    for _ in range(20):
        context.site.call("GET", "/safe/x")
    assert len(received) == failed, len(received)


@when("an order with {field} {value} is written and e2 is listed with v2")
def order_malformed(context, field, value):
    spec = {"service": "s", "target": "v2", "durationS": 12}
    spec[field] = json.loads(value)
    context.site.server.store.put("rollouts", "s", spec)
    list_new(context)


@then("e2 has run none of them")
def check_unused(context):
    received = context.site.endpoints["e2"].received
    assert not received, len(received)


@then("the order has no state")
def check_no_state(context):
    assert not get_status(context), get_status(context)


@when(
    "the order is deleted and {count:d} requests of the moved service are sent"
)
def delete_order(context, count):
    context.site.server.store.remove("rollouts", "s")
    time.sleep(SETTLING_S)
    context.site.endpoints["e2"].received.clear()
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@when("e2 fails no more and v2 is ordered for {duration_s:d} s")
def order_again(context, duration_s):
    context.site.endpoints["e2"].is_failing = False
    order(context, duration_s)
    platform_site.wait_until(
        lambda: get_status(context).get("state") == "in_progress", 1.5
    )


@given("the first write of a move's state is lost")
def lose_first_write(context):
    server = context.site.server
    lost = iter(["first"])

    def handle(handler, body):
        if handler.path.endswith("/status") and next(lost, None):
            handler.close_connection = True
            return
        server.handle(handler, body)

    server._server.handle = handle


@then("its record is read only until another order replaces it")
def check_replaced(context):
    server = context.site.server
    client = store.StoreClient(
        server.address, dialect=dialects.PlatformDialect()
    )
    records = moves.StatusRecords(client)
    assert records.get("move", ".s").value
    context.site.stop()
    spec = {"service": "s", "target": "v3", "durationS": 9}
    server.store.put("rollouts", "s", spec)
    assert get_status(context)["target"] == "v2"
    assert records.get("move", ".s") is None
