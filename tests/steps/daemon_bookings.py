import time

from behave import given
from behave import then
from behave import when

from tests import site_fixture
from tools import site as sites


def get_instance_address(context, number):
    return list(context.shared.entry_names.values())[number - 1]


def send(context, address, slot="friday-0900", number=1):
    begin_s = time.monotonic()
    context.answer = context.shared.book(address, context.key, slot, number)
    context.took_s = time.monotonic() - begin_s


@given("the store drops its next {count:d} answers after the effect")
def drop_store_answers(context, count):
    context.shared.fault(
        context.shared.site.store_address, "drop_answer", count=count
    )


@given("the store is unavailable")
@when("the store becomes unavailable")
def stop_store(context):
    context.shared.fault(context.shared.site.store_address, "outage")


FAULTS = {
    "drops its next answer after the effect": ("drop_answer", {"count": 1}),
    "answers its next call with the answer to another": (
        "cross",
        {"count": 1},
    ),
    "goes silent on open connections": ("silent", {}),
    "refuses its next call": ("refuse", {"count": 1}),
    "is slow": ("slow", {"factor": 300.0}),
    "crashes after its next effect": ("crash", {"when": "ran"}),
}


@given("every booking endpoint {what}")
def set_booking_fault(context, what):
    name, fields = FAULTS[what]
    for address in context.shared.booking_services.values():
        context.shared.fault(address, name, **fields)


@given("a booking was sent to instance {number:d} before")
def book_before(context, number):
    address = get_instance_address(context, number)
    assert context.shared.book(address, sites.make_key()).status == 201


@when("the same booking is sent to every instance at once")
def send_everywhere(context):
    context.key = sites.make_key()
    calls = [
        site_fixture.BackgroundCall(context.shared.book, address, context.key)
        for address in context.shared.entry_names.values()
    ]
    context.answers = [call.wait() for call in calls]


@then("every answer names the same booking")
def check_same(context):
    ids = {answer.json()["booking_id"] for answer in context.answers}
    assert len(ids) == 1, ids


@when("a booking is sent to instance {number:d}")
def send_one(context, number):
    context.key = sites.make_key()
    send(context, get_instance_address(context, number))


@when("the booking is sent again to instance {number:d}")
def send_again(context, number):
    send(context, get_instance_address(context, number), number=2)


@when("the faults of the booking endpoints are cleared")
def clear_faults(context):
    context.shared.clear_faults()


@when("another body is sent with the same key to instance {number:d}")
def send_other_body(context, number):
    send(context, get_instance_address(context, number), "friday-1000", 2)


@when("a booking is sent to instance {number:d}, which is killed meanwhile")
def send_and_kill(context, number):
    context.key = sites.make_key()
    name = list(context.shared.entry_names)[number - 1]
    address = context.shared.entry_names[name]
    call = site_fixture.BackgroundCall(
        context.shared.book, address, context.key
    )
    site_fixture.wait_until(lambda: count_arrivals(context))
    context.shared.kill_entry(name)
    call.wait()
    assert call.error is not None, call.result.data


def count_arrivals(context):
    return sum(
        entry["key"] == context.key
        for address in context.shared.booking_services.values()
        for entry in sites.call(address, "GET", "/control").json()["arrived"]
    )


@when("the booking is sent again to another instance until it succeeds")
def send_until_made(context):
    def is_made():
        send(context, get_instance_address(context, 1), number=2)
        return context.answer.status == 201

    site_fixture.wait_until(is_made, 25)
    context.shared.add_entry()
    context.shared.clear_faults()
    context.shared.wait_ready()


@then("the booking is made")
def check_made(context):
    assert context.answer.status == 201, context.answer.data
    assert context.answer.json()["booking_id"]


@then("the booking ran once")
def check_once(context):
    check_times(context, 1)


@then("the booking ran {count:d} times")
def check_times(context, count):
    found = context.shared.count_bookings(context.key)
    assert found == count, found


@then("the booking is refused as {kind} and not run")
def check_not_run(context, kind):
    error = context.answer.json()["error"]
    assert (error["kind"], error["ran"]) == (kind, "not run"), error


@then("the booking is refused as {kind} with unknown outcome")
def check_unknown(context, kind):
    error = context.answer.json()["error"]
    assert (error["kind"], error["ran"]) == (kind, "outcome unknown"), error


@then("the refusal came within {limit_s:d} seconds and says when to retry")
def check_prompt(context, limit_s):
    assert context.took_s < limit_s, context.took_s
    assert int(context.answer.headers["Retry-After"]) > 0


@then("the booking is made or refused with unknown outcome")
def check_made_or_unknown(context):
    answer = context.answer.json()
    if context.answer.status == 201:
        assert answer["booking_id"], answer
    else:
        assert answer["error"]["ran"] == "outcome unknown", answer
