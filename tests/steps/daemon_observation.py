import io
import json
import socket

from behave import given
from behave import then
from behave import when

from mulberryhollow.cli import main
from tests import site_fixture
from tools import site as sites


def send_all(context, address, chats, look_ups, bookings):
    shared = context.shared
    answers = [shared.chat(address, 2, stream=False) for _ in range(chats)]
    answers += [
        shared.post(address, site_fixture.LOOKUP, {"query": "x"})
        for _ in range(look_ups)
    ]
    answers += [
        shared.book(address, sites.make_key()) for _ in range(bookings)
    ]
    assert all(answer.status in (200, 201) for answer in answers), [
        answer.data for answer in answers
    ]


def read_histograms(context):
    return {
        (row["account"], row["request_class"], row["measure"]): row["count"]
        for row in run_command(context, "histograms")[1]["histograms"]
    }


def run_command(context, name):
    stream = io.StringIO()
    words = [name, "--store", context.shared.site.store_address, "--json"]
    code = main.main(words, None, stream)
    return code, json.loads(stream.getvalue())


@when(
    "{chats:d} chats, {look_ups:d} look-ups and {bookings:d} booking"
    " are sent to every instance"
)
def send_everywhere(context, chats, look_ups, bookings):
    context.before = read_histograms(context)
    for address in context.shared.entry_names.values():
        send_all(context, address, chats, look_ups, bookings)


@then('"status" ends as everywhere and names every instance')
def check_status(context):
    code, report = run_command(context, "status")
    assert (code, report["outcome"]) == (0, "everywhere"), report
    named = {row["instance"] for row in report["instances"]}
    assert named == set(context.shared.entry_names), report
    assert all(row["ready"] for row in report["instances"]), report


@then('"histograms" ends as whole with these requests of "{account}"')
def check_histograms(context, account):
    code, report = run_command(context, "histograms")
    assert (code, report["outcome"]) == (0, "whole"), report
    found = read_histograms(context)
    for row in context.table:
        name = account, row["request_class"], row["measure"]
        count = found[name] - context.before.get(name, 0)
        assert count == int(row["count"]), (name, count)


@given("an instance that sends metrics to a socket")
def add_instance(context):
    context.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.socket.close)
    context.socket.bind(("127.0.0.1", 0))
    context.socket.setblocking(False)
    host, port = context.socket.getsockname()
    site = context.shared.site
    site.further_settings = f"[metrics]\nstatsd_address = {host}:{port}\n"
    name = context.shared.add_entry()
    context.address = context.shared.entry_names[name]
    context.shared.wait_ready()


@when(
    "{chats:d} chats, {look_ups:d} look-ups and {bookings:d} booking"
    " are sent to that instance"
)
def send_to_added_instance(context, chats, look_ups, bookings):
    send_all(context, context.address, chats, look_ups, bookings)


@when("a booking without a key is sent to that instance")
def send_without_key(context):
    body = {"slot": "friday-0900"}
    answer = context.shared.post(context.address, site_fixture.BOOKING, body)
    assert answer.status == 400, answer.data


@then("these metrics arrive")
def check_metrics(context):
    seen = set()
    wanted = {f"mulberryhollow.{row['metric']}" for row in context.table}

    def has_all():
        seen.update(read_names(context.socket))
        return wanted <= seen

    site_fixture.wait_until(has_all)


def read_names(receiver):
    """Return the names of the metrics that have arrived."""
    names = set()
    while True:
        try:
            names.add(receiver.recv(65536).decode().partition(":")[0])
        except BlockingIOError:
            return names
