import json

from behave import given
from behave import then
from behave import when

from tests import crowd
from tests import site_fixture
from tests.steps import platform_misbehaving_clients as clients
from tools import processes
from tools import site as sites


@given("an entry daemon with the default limits on memory")
def start_daemon(context):
    crowd.allow_descriptors(4096)
    fleet = processes.Fleet()
    context.add_cleanup(fleet.__exit__)
    site = sites.Site(fleet.__enter__())
    site.start_platform()
    site.add_plain("slots-1", "slots")
    address = site.add_entry("entry-1")
    context.process = fleet.children["entry-1"].process
    context.port = int(address.rpartition(":")[2])
    site.wait_ready(
        lambda _: (
            send_lookup(context, make_lookup(64), "with its length") == 200
        )
    )


def make_lookup(size):
    """Return the body of a lookup with a size in bytes."""
    frame = len(json.dumps({"query": ""}))
    return json.dumps({"query": "x" * (size - frame)}).encode()


def send_lookup(context, body, how):
    """Send a lookup to the entry daemon; return the status."""
    key = f"Authorization: Bearer {site_fixture.KEY}"
    return clients.send_body(
        context.port, site_fixture.LOOKUP, body, how, key
    )[0]


@when("{count:d} clients send {what} of {kib:d} KiB to it and stay")
def send_crowd(context, count, what, kib):
    clients.measure_crowd(
        context, context.process, [context.port], context.port
    )(
        count,
        lambda: crowd.list_request(what, site_fixture.LOOKUP, kib * 1024),
    )


@then("a lookup is answered by it")
def check_lookup(context):
    status = send_lookup(context, make_lookup(64), "with its length")
    assert status == 200, status


@when("a lookup of {size:d} bytes is sent to it {how}")
def send_sized(context, size, how):
    context.status = send_lookup(context, make_lookup(size), how)


@then("it is answered with {status:d}")
def check_status(context, status):
    assert context.status == status, context.status
