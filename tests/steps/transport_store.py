from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from mulberryhollow.platform import store as dialects
from mulberryhollow.transport import store
from standins import scripted

TIMEOUT_S = 0.2
REVISIONS = (1, 2, 3)


def page(revision):
    body = b'{"items": [], "at": %d}' % revision
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


@given("a store that answers the second of three lists too late")
def start_store(context):
    scripts = [[page(each)] for each in REVISIONS]
    scripts[1].insert(0, 1.5 * TIMEOUT_S)
    # The late answer is there when the third call is made.
    scripts[2].insert(0, 0.5 * TIMEOUT_S)
    context.endpoint = scripted.ScriptedEndpoint(scripts)
    context.add_cleanup(context.endpoint.close)


@when("three lists are read from it")
def read_lists(context):
    client = store.StoreClient(
        context.endpoint.address, TIMEOUT_S, dialects.PlatformDialect()
    )
    context.revisions = []
    for _ in REVISIONS:
        try:
            context.revisions.append(client.list_objects("k")[0])
        except errors.StoreUnavailableError:
            context.revisions.append(None)


@then("the second list fails and the others have their own revisions")
def check_revisions(context):
    assert context.revisions == [1, None, 3], context.revisions
