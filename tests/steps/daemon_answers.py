import json
import socket
import time

from behave import given
from behave import then
from behave import when

from tests import site_fixture
from tools.history import expected
from tools import site as sites

POISON = "poison in the pipe"


def get_instance_address(context, number):
    return list(context.shared.entry_names.values())[number - 1]


FAULTS = {
    "truncates its next answer": ("truncate", {"count": 1}),
    "answers its next call with the answer to another": (
        "cross",
        {"count": 1},
    ),
    "goes silent on open connections": ("silent", {}),
}


@given("every engine {what}")
def set_engine_fault(context, what):
    name, fields = FAULTS[what]
    for address in context.shared.engines.values():
        context.shared.fault(address, name, **fields)


@given("a chat was streamed from instance {number:d} before")
def chat_before(context, number):
    for _ in range(4):
        answer = context.shared.chat(get_instance_address(context, number), 2)
        site_fixture.check_complete_answer(answer, 2)


@when("a chat of {count:d} tokens is streamed from instance {number:d}")
def stream(context, count, number):
    context.count = count
    context.answer = context.shared.chat(
        get_instance_address(context, number), count
    )


@when(
    "a chat of {count:d} tokens is streamed from instance {number:d}"
    " and its engine is killed"
)
def stream_and_kill(context, count, number):
    context.count = count
    call = site_fixture.BackgroundCall(
        context.shared.chat, get_instance_address(context, number), count
    )
    site_fixture.wait_until(lambda: find_busy_engine(context))
    name = find_busy_engine(context)
    context.shared.fleet.kill(name)
    del context.shared.engines[name]
    context.shared.add_engine()
    context.answer = call.wait()


def find_busy_engine(context):
    """Return the name of an engine that runs a request, or None."""
    for name, address in context.shared.engines.items():
        load = sites.call(address, "GET", "/control").json()
        if load["requests_running"]:
            return name
    return None


@then("the answer is complete")
def check_complete(context):
    site_fixture.check_complete_answer(context.answer, context.count)


@when("a caller disconnects in the middle of a chat of {count:d} tokens")
def disconnect_caller(context, count):
    context.count = count
    body = json.dumps(
        {
            "prompt": site_fixture.PROMPT,
            "max_tokens": count,
            "stream": True,
        }
    )
    host, port = get_instance_address(context, 1).split(":")
    with socket.create_connection((host, int(port)), 10) as connection:
        connection.sendall(
            f"POST {site_fixture.CHAT} HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {site_fixture.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        data = b""
        while data.count(b"data: ") < 10:
            data += connection.recv(4096)
    head = data.decode().split("\r\n\r\n")[0].lower()
    context.request_id = head.split("x-request-id: ")[1].split("\r\n")[0]
    context.tokens = [
        json.loads(line.removeprefix("data: "))["token"]
        for line in data.decode().split("\n")
        if line.startswith("data: ") and line.endswith("}")
    ]


@then("every engine is idle within {limit_s:d} seconds")
def check_idle(context, limit_s):
    site_fixture.wait_until(lambda: find_busy_engine(context) is None, limit_s)


def make_rest_request(context, number, key=site_fixture.KEY):
    headers = {"Last-Event-ID": str(len(context.tokens) - 1)}
    path = f"/v1/requests/{context.request_id}"

    def request_rest():
        address = get_instance_address(context, number)
        context.answer = sites.call(
            address, "GET", path, key=key, headers=headers
        )
        return context.answer.status == 200

    return request_rest


@when("the caller requests the rest from another instance")
def request_rest_elsewhere(context):
    site_fixture.wait_until(make_rest_request(context, 2), 5)


@when("another account requests the rest")
def request_rest_as_other_account(context):
    time.sleep(0.5)
    make_rest_request(context, 2, "example-key-brunner-households")()


@then("both parts together are the complete answer")
def check_combined(context):
    rest, event, _ = site_fixture.read_stream(context.answer)
    assert event == "end"
    text = "".join(context.tokens + rest)
    wanted = expected.make_text("v1", site_fixture.PROMPT, context.count)
    assert text == wanted, (text, wanted)


@then("the request is refused as {kind}")
def check_refused(context, kind):
    error = context.answer.json()["error"]
    assert error["kind"] == kind, error


@given("two more engines")
def add_engines(context):
    for _ in range(2):
        context.shared.add_engine()
    context.shared.wait_ready()


@when("a prompt that crashes every engine is sent to instance {number:d}")
def send_poison(context, number):
    for address in context.shared.engines.values():
        context.shared.fault(address, "poison", text=POISON)
    address = get_instance_address(context, number)
    context.answer = context.shared.chat(address, 5, False, POISON)


@then("instances 2 and 3 refuse the prompt at once")
def check_quarantined(context):
    for number in (2, 3):
        address = get_instance_address(context, number)
        answer = context.shared.chat(address, 5, False, POISON)
        error = answer.json()["error"]
        assert error["kind"] == "request_quarantined", error
        assert error["ran"] == "not run", error


@then("{count:d} engines have crashed")
def check_crashed(context, count):
    children = context.shared.fleet.children
    dead = [
        name
        for name in context.shared.engines
        if not children[name].is_running()
    ]
    for name in dead:
        del context.shared.engines[name]
    assert len(dead) == count, dead


def send_input(context, what):
    shared = context.shared
    address = get_instance_address(context, 1)
    chat = {"prompt": "x", "max_tokens": 1}
    path = site_fixture.CHAT
    match what:
        case "a chat without a key":
            return sites.call(address, "POST", path, chat)
        case "a chat of a stranger":
            key = "example-key-brunner-history"
            return sites.call(address, "POST", path, chat, key)
        case "an unknown service":
            return shared.post(address, "/v1/services/nothing/chat", chat)
        case "an unknown class":
            return shared.post(address, "/v1/services/call-chat/x", chat)
        case "a body that is no JSON":
            return shared.post(address, path, "x")
        case "a chat of -1 tokens":
            return shared.post(address, path, chat | {"max_tokens": -1})
        case "an oversize body":
            return shared.post(address, path, {"prompt": "x" * 300_000})
        case "a passed deadline":
            return shared.post(address, path, chat, {"X-Timeout-S": "0"})
        case "a keyless booking":
            return shared.post(address, site_fixture.BOOKING, {"slot": "x"})
        case "a booking key without its time":
            return shared.book(address, "no-time-in-here")


@when("bad input such as {what} is sent")
def send_bad_input(context, what):
    context.answer = send_input(context, what)


@then("the input is refused with {status:d} as {kind} and not run")
def check_bad_input(context, status, kind):
    error = context.answer.json()["error"]
    assert context.answer.status == status, context.answer.status
    assert (error["kind"], error["ran"]) == (kind, "not run"), error
    assert error["remedy"]
    assert context.answer.headers["X-Request-Id"]
