import time

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.transport import endpoints
from standins import scripted

PAUSE_S = 0.05


def report(running):
    body = b'{"running": %d, "queued": 0, "slots": 4}' % running
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


@given("an own endpoint that sends its first load report twice")
def start_endpoint(context):
    context.endpoint = scripted.ScriptedEndpoint(
        [[report(1), PAUSE_S, report(1)], [report(2)]]
    )
    context.add_cleanup(context.endpoint.close)


@when("the load is read there twice, the second time a little later")
def read_loads(context):
    client = endpoints.EndpointClient(clocks.SystemClock())
    context.loads = [client.get_load(context.endpoint.address)]
    time.sleep(2 * PAUSE_S)
    context.loads.append(client.get_load(context.endpoint.address))


@then("the load reports are those of the first and the second call")
def check_loads(context):
    found = [each.running for each in context.loads]
    assert found == [1, 2], found
