import json
import time

from behave import given
from behave import then
from behave import when
import urllib3
import xxhash

from tests.steps import standins_store

_MAX_TOKENS = 6
_READ_TIMEOUT_S = 1.0
_LONG_PROMPT = " ".join(f"w{i}" for i in range(40))


@given("an engine stand-in")
def start_engine(context):
    fleet = standins_store.start_fleet(context)
    child = fleet.start_engine("m1", "fd-1", "desk", "1")
    context.endpoint = child.address


@given("a connection to the engine that was used for a request")
def open_connection(context):
    context.connection = urllib3.connection_from_url(
        f"http://{context.endpoint}",
        maxsize=1,
        retries=False,
        timeout=_READ_TIMEOUT_S,
    )
    assert context.connection.request("GET", "/v1/load").status == 200


@then("a request on that connection times out")
def check_request_times_out(context):
    try:
        context.connection.request("GET", "/v1/load")
    except urllib3.exceptions.ReadTimeoutError:
        return
    raise AssertionError("a request on the silenced connection was answered")


@given("a plain stand-in")
def start_plain(context):
    fleet = standins_store.start_fleet(context)
    context.ledger = fleet.folder / "ledger"
    options = ["--ledger", str(context.ledger)]
    child = fleet.start_plain("p1", "fd-1", "visits", "1", *options)
    context.endpoint = child.address


def generate(context, prompt, resume=()):
    """Send a generate request; return the status and lines of the answer."""
    body = {
        "request_id": "r1",
        "version": "1",
        "prompt": prompt,
        "max_tokens": _MAX_TOKENS,
        "resume_tokens": list(resume),
    }
    answer = standins_store.call(
        context.endpoint, "POST", "/v1/generate", json=body
    )
    lines = [json.loads(line) for line in answer.data.splitlines()]
    return answer.status, lines


def make_tokens(prompt):
    """Return the tokens that the interface page defines for a prompt."""
    digests = (
        xxhash.xxh32_intdigest(f"1{prompt}{index}".encode())
        for index in range(_MAX_TOKENS)
    )
    return [f" t{digest % 997}" for digest in digests]


@then('the engine\'s answer to "{prompt}" has the {count:d} expected tokens')
def check_tokens(context, prompt, count):
    _, lines = generate(context, prompt)
    assert [line["token"] for line in lines[:-1]] == make_tokens(prompt)
    assert lines[-1]["end"] and lines[-1]["seq"] == count


@then("the engine's answer resumed after {count:d} tokens starts at {index:d}")
def check_resumed(context, count, index):
    _, lines = generate(context, "a b c", make_tokens("a b c")[:count])
    assert [line["seq"] for line in lines] == [index, index + 1, _MAX_TOKENS]
    assert lines[0]["token"] == make_tokens("a b c")[index]


@when("the engine has answered a prompt of 40 words")
def generate_long_prompt(context):
    generate(context, _LONG_PROMPT)


@then("the engine reports {count:d} cached prompt tokens for it")
def check_cached(context, count):
    _, lines = generate(context, _LONG_PROMPT)
    assert lines[-1]["cached_prompt_tokens"] == count


def send_load_order(context, version, fence):
    """Order an engine to load a version; return the status."""
    body = {
        "order": "load",
        "service": "desk",
        "version": version,
        "fence": fence,
    }
    return standins_store.call(
        context.endpoint, "POST", "/v1/orders", json=body
    ).status


@when('the engine is ordered to load "{version}" with fencing token {fence:d}')
def order_load(context, version, fence):
    assert send_load_order(context, version, fence) == 200


@then("an order with fencing token {fence:d} is answered {status:d}")
def check_order(context, fence, status):
    assert send_load_order(context, "2", fence) == status


@when('the fault "{fault}" is set at the endpoint')
def set_endpoint_fault(context, fault):
    standins_store.set_fault(context.endpoint, fault)


@then('the engine\'s answer is "{seen}"')
def check_answer(context, seen):
    assert _describe_answer(context) == seen


def _describe_answer(context):
    """Return a short description of the engine's answer."""
    try:
        status, lines = generate(context, "a b c")
    except urllib3.exceptions.HTTPError:
        return "cut"
    match status:
        case 409:
            return "refused"
        case 500:
            return "failed"
    if any(line["request_id"] != "r1" for line in lines):
        return "of another id"
    return "whole" if "end" in lines[-1] else "without end mark"


@then('a query for booking "{name}" is answered {status:d}')
def check_booking_status(context, name, status):
    path = f"/v1/bookings/{name}"
    answer = standins_store.call(context.endpoint, "GET", path)
    assert answer.status == status


@then('a query for booking "{name}" is answered 404 with the ledger\'s start')
def check_booking_not_run(context, name):
    path = f"/v1/bookings/{name}"
    answer = standins_store.call(context.endpoint, "GET", path)
    assert answer.status == 404
    assert 0 < answer.json()["ledger_since_s"] < time.time()


def book(context, name):
    """Send a booking and return its status."""
    body = {"request_id": name, "key": f"k-{name}", "slot": "s", "details": ""}
    return standins_store.call(
        context.endpoint, "POST", "/v1/book", json=body
    ).status


@then('booking "{name}" is answered {status:d}')
def check_booking(context, name, status):
    assert book(context, name) == status


@then('the ledger holds the booking "{name}" once')
def check_ledger(context, name):
    ledger = standins_store.call(context.endpoint, "GET", "/control").json()
    assert [e["request_id"] for e in ledger["ledger"]] == [name]


@when("a crash after the next booking is set at the endpoint")
def set_crash_fault(context):
    standins_store.set_fault(context.endpoint, "crash", when="ran")


@then('booking "{name}" gets no answer')
def check_no_answer(context, name):
    try:
        book(context, name)
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError("the booking was answered")


@then('the ledger\'s file holds the booking "{name}"')
def check_file(context, name):
    lines = context.ledger.read_text(encoding="utf-8").splitlines()
    entries = [json.loads(line) for line in lines]
    ran = [e["request_id"] for e in entries if e["step"] == "ran"]
    assert ran == [name]
