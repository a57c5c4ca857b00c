import concurrent.futures
import signal
import socket
import time

from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.protocol import peer_requests
from mulberryhollow.state import catalogue
from tests import requests
from tools import platform_site

SETTLING_S = 1.0


@given("an instance on a small platform with endpoints e1 and e2")
def start_instance(context):
    context.site = platform_site.PlatformSite()
    context.add_cleanup(context.site.close)
    context.site.wait_ready()


@when("a GET /safe/x, a POST /once/x and a GET /stream/x are sent")
def send_one_of_each_kind(context):
    context.answers = [
        context.site.call(method, path)
        for method, path in (
            ("GET", "/safe/x"),
            ("POST", "/once/x"),
            ("GET", "/stream/x"),
        )
    ]


@then(
    "the first two have an endpoint's Response-Seal header and complete body"
)
def check_plain_answers(context):
    for answer in context.answers[:2]:
        name = answer.data.decode().rpartition(" ")[2]
        assert answer.status == 200, answer.status
        assert answer.headers["Response-Seal"] == f"seal {name}"


@then("the stream has events 1 to 3 and is complete")
def check_stream(context):
    events = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))
    assert context.answers[2].data == events, context.answers[2].data


@when("a GET /safe/x is sent with forged headers")
def send_forged(context):
    forged = {"Tenant": "evil", "Retention": "1", "Pin-Ms": "9"}
    context.answer = context.site.call(
        "GET", "/safe/x", **forged, **{"Expect-Instance": "e9"}
    )


@then("the endpoint received the account, its own id and no forged header")
def check_received_headers(context):
    assert context.answer.status == 200, context.answer.status
    (seen,) = context.site.list_executed_requests()
    assert seen["Tenant"] == "acme"
    assert seen["Expect-Instance"] in context.site.endpoints
    assert not {"Retention", "Pin-Ms", "Key"} & seen.keys(), seen


@when("a GET {path} is sent with key {key}")
def send_refused_request(context, path, key):
    context.answer = context.site.call("GET", path, Key=key)


@then("the status is {status:d} and no endpoint has run the request")
def check_not_run(context, status):
    assert context.answer.status == status, context.answer.status
    assert not context.site.list_executed_requests()


@when("e1 is full and {count:d} requests are sent")
def fill_one_endpoint(context, count):
    context.site.endpoints["e1"].is_full = True
    context.answers = [
        context.site.call("POST", "/once/x") for _ in range(count)
    ]


@when("e1 and e2 are full and a POST /once/x is sent")
def fill_all_endpoints(context):
    for endpoint in context.site.endpoints.values():
        endpoint.is_full = True
    context.answer = context.site.call("POST", "/once/x")


@then("the status is 503 with a Retry-After header")
def check_retry_after(context):
    assert context.answer.status == 503, context.answer.status
    assert float(context.answer.headers["Retry-After"]) > 0


@then("all of them are answered by {name}")
def check_answered_by(context, name):
    found = [(each.status, each.data) for each in context.answers]
    expected = (200, f"answer of {name}".encode())
    assert found == [expected] * len(found), found


@then("all of them are answered")
def check_all_answered(context):
    found = [each.status for each in context.answers]
    assert found == [200] * len(found), found


@when(
    "e1 names a rate of {rate} requests a second and {count:d} requests are "
    "sent"
)
def name_rate(context, rate, count):
    context.site.endpoints["e1"].rate_limit = rate
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@then("e1 has run at most {count:d} of them")
def check_run_at_most(context, count):
    received = context.site.endpoints["e1"].received
    assert 1 <= len(received) <= count, len(received)


@when("e1 drains and {count:d} requests are sent")
def drain_endpoint(context, count):
    context.site.write_endpoint_record("e1", "draining")
    time.sleep(0.5)
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@when(
    "another writer leaves odd entries, e1 drains and {count:d} requests are "
    "sent"
)
def leave_odd_entries(context, count):
    store = context.site.server.store
    for name, text in (
        ("a", b"[" * 200_000 + b"]" * 200_000),
        ("b", b'{"slots": ' + b"9" * 5000 + b"}"),
        ("c", b'{"service": "\xff"}'),
    ):
        store.put_text("servers", name, text)
    drain_endpoint(context, count)


@when("a configuration with the route /new/ is written")
def write_route(context):
    route = platform_site.make_route("new", "idempotent")
    context.site.configure(2, route)


@then("a GET /new/x is served within {limit_s:g} seconds")
def check_new_route(context, limit_s):
    platform_site.wait_until(
        lambda: context.site.call("GET", "/new/x").status == 200, limit_s
    )


@when("the store refuses every call and {count:d} requests are sent")
def refuse_calls(context, count):
    context.site.server.is_refusing = True
    time.sleep(0.5)
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@when("a caller of /slow/y/x disconnects after {seconds:g} seconds")
def disconnect_early(context, seconds):
    connection = socket.create_connection(
        ("127.0.0.1", context.site.callers_port)
    )
    connection.sendall(
        b"GET /slow/y/x HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n"
        b"Attempt-Id: left\r\nDeadline-Ms: 5000\r\n\r\n"
    )
    time.sleep(seconds)
    connection.close()


@then("the endpoint sees the disconnect within a second")
def check_disconnect_noticed(context):
    endpoints = context.site.endpoints.values()
    platform_site.wait_until(
        lambda: sum(each.disconnected_clients for each in endpoints) == 1, 1.0
    )


@when("a POST /slow/x is sent whose route allows 0.8 seconds")
def send_slow(context):
    context.started_s = time.monotonic()
    context.answer = context.site.call("POST", "/slow/x")


@then("the status is 504 within {limit_s:g} seconds")
def check_timeout_status(context, limit_s):
    assert context.answer.status == 504, context.answer.status
    assert time.monotonic() - context.started_s < limit_s


@when("a GET /slow/y/x is sent and the instance gets SIGTERM")
def terminate(context):
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        running_call = threads.submit(context.site.call, "GET", "/slow/y/x")
        time.sleep(0.3)
        context.started_s = time.monotonic()
        context.site.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        context.ready_status = context.site.get_ready_status()
        context.answer = running_call.result()


@then("the request is answered and the instance ends within 8 seconds")
def check_stopped(context, limit_s=8.0):
    assert context.answer.status == 200, context.answer.status
    context.site.process.wait(limit_s)
    assert time.monotonic() - context.started_s < limit_s


@then("the instance was not ready after the signal")
def check_not_ready(context):
    assert context.ready_status == 503, context.ready_status


@when("e1 and e2 lose their answers and a {method} {path} is sent")
def lose_answers(context, method, path):
    for endpoint in context.site.endpoints.values():
        endpoint.loses_answers = True
    context.answer = context.site.call(method, path)


@when("e1 loses its answers and {count:d} GET /safe/x are sent")
def lose_answers_of_one(context, count):
    context.site.endpoints["e1"].loses_answers = True
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@then("the status is {status:d} and the request has run once")
def check_one_execution(context, status):
    assert context.answer.status == status, context.answer.status
    assert len(context.site.list_executed_requests()) == 1, (
        context.site.list_executed_requests()
    )


@when("{count:d} peers connect to the instance")
def connect_peers(context, count):
    address = ("127.0.0.1", context.site.peer_port)
    for _ in range(count):
        connection = socket.create_connection(address)
        context.add_cleanup(connection.close)


@then("the instance has at most {count:d} threads")
def check_threads(context, count):
    time.sleep(SETTLING_S)
    assert context.site.count_threads() <= count, context.site.count_threads()


def cut_heads(context):
    for endpoint in context.site.endpoints.values():
        endpoint.cuts_heads = True


@when("e1 and e2 cut the heads of their answers and a {method} {path} is sent")
def send_to_cutting(context, method, path):
    cut_heads(context)
    context.answer = context.site.call(method, path)


@then("the status is {status:d} and its body is not the endpoint's")
def check_own_answer(context, status):
    assert context.answer.status == status, context.answer.status
    assert "Response-Seal" not in context.answer.headers
    assert context.answer.data, "no reason is given"


@then("the endpoints have run the request at most {count:d} times")
def check_runs(context, count):
    assert 1 <= len(context.site.list_executed_requests()) <= count


@when("e1 and e2 cut the heads of their answers to a {kind} {path} of a peer")
def forward_to_cutting(context, kind, path):
    cut_heads(context)
    forward_from_peer(context, kind, path)


@then("the peer of the instance is told that the request may have run")
def check_peer_told_of_cut(context):
    answer = context.answer
    head = peer_requests.decode_head(answer.status, answer.getheaders())
    unknown = errors.ExecutionStatus.UNKNOWN
    assert head.refusal and head.refusal.ran is unknown, head


@when('a peer forwards a {kind} {path} that belongs to account "acme"')
def forward_from_peer(context, kind, path):
    headers = (("Attempt-Id", "r1"), ("X-Own", "1"))
    request = requests.make_request(
        catalogue.RequestKind[kind],
        account="acme",
        payload=messages.Payload("POST", path, headers, b"body"),
    )
    call = peer_requests.encode_call(request, 5.0, "")
    context.answer = context.site.forward(call.body)


@then("the peer gets the endpoint's answer to {path} unchanged")
def check_forwarded(context, path):
    answer = context.answer
    head = peer_requests.decode_head(answer.status, answer.getheaders())
    seal = dict(head.headers).get("Response-Seal", "")
    assert (head.status, head.request_id) == (200, "r1"), (head, answer.data)
    assert seal.split()[1] in head.endpoint_id, (seal, head)
    if path.startswith("/stream"):
        events = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))
        assert answer.data == events, answer.data
    else:
        assert answer.data.startswith(b"answer of "), answer.data


@then("the endpoint received the account and its own id")
def check_received_account(context):
    (seen,) = context.site.list_executed_requests()
    assert (seen["Tenant"], seen["X-Own"]) == ("acme", "1"), seen
    assert seen["Expect-Instance"] in context.site.endpoints, seen
    assert seen["body"] == b"body", seen


@when("a peer sends a body that is no request")
def send_malformed(context):
    context.answer = context.site.forward(b"{}")


@then("the peer is told that it is malformed and no endpoint has run it")
def check_malformed(context):
    answer = context.answer
    head = peer_requests.decode_head(answer.status, answer.getheaders())
    assert head.refusal.kind is errors.RefusalKind.MALFORMED, head
    assert not context.site.list_executed_requests()


@when("{zone} is evacuated and {count:d} GET /safe/x are sent a second later")
def evacuate_unused(context, zone, count):
    context.site.server.store.put("evacuations", zone, {})
    time.sleep(1.0)
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]


@then("the instance has asked the store for no evacuations")
def check_not_followed(context):
    paths = [path for _, path in context.site.server.store.calls]
    assert paths and not [each for each in paths if "evacuations" in each]
    lines = context.site.get_metrics()
    assert not [each for each in lines if "evacuat" in each]


@given("an instance that follows evacuations, with e1 in z1 and e2 in z2")
def start_with_places(context):
    context.site = platform_site.PlatformSite(
        {"e1": "z1", "e2": "z2"},
        contracts=["places"],
        zones={"z1": "r1", "z2": "r2"},
    )
    context.add_cleanup(context.site.close)
    context.site.wait_ready()


@when("2 GET /slow/y/x are running and the operator evacuates {zone}")
def evacuate_while_running(context, zone):
    threads = concurrent.futures.ThreadPoolExecutor(2)
    context.add_cleanup(threads.shutdown)
    context.running = [
        threads.submit(context.site.call, "GET", "/slow/y/x") for _ in range(2)
    ]
    endpoints = context.site.endpoints.values()
    platform_site.wait_until(lambda: all(e.received for e in endpoints), 1.5)
    context.site.server.store.put("evacuations", zone, {})


@then("within {limit_s:d} seconds the metrics page names {zone} as evacuated")
def check_page(context, limit_s, zone):
    start = f'mulberryhollow_evacuated{{failure_domain="{zone}"}} '
    platform_site.wait_until(
        lambda: any(
            each.startswith(start) for each in context.site.get_metrics()
        ),
        limit_s,
    )


@then("{count:d} GET /safe/x are answered by {name}")
def check_new_requests(context, count, name):
    context.answers = [
        context.site.call("GET", "/safe/x") for _ in range(count)
    ]
    check_answered_by(context, name)


@then("the running requests are answered by both endpoints")
def check_running_answered(context):
    answers = [each.result(5.0) for each in context.running]
    assert [each.data for each in answers] == [b"late"] * 2, answers
    names = {each.headers["Response-Seal"] for each in answers}
    assert names == {"seal e1", "seal e2"}, names


@when("{zone} is evacuated too")
def evacuate_another(context, zone):
    context.site.server.store.put("evacuations", zone, {})


@then(
    "within {limit_s:d} seconds a POST /once/x is refused at once with a "
    "Retry-After"
)
def check_all_evacuated(context, limit_s):
    platform_site.wait_until(
        lambda: context.site.call("POST", "/once/x").status == 503, limit_s
    )
    began_s = time.monotonic()
    answer = context.site.call("POST", "/once/x")
    assert time.monotonic() - began_s < 0.1
    assert answer.status == 503, answer.status
    assert float(answer.headers["Retry-After"]) > 0


@when("both evacuations are withdrawn")
def withdraw_both(context):
    for zone in ("z1", "z2"):
        context.site.server.store.remove("evacuations", zone)


@then("within {limit_s:d} seconds e1 and e2 answer GET /safe/x again")
def check_both_answer(context, limit_s):
    found = set()

    def is_met():
        answer = context.site.call("GET", "/safe/x")
        found.add(answer.data.decode())
        return {"answer of e1", "answer of e2"} <= found

    platform_site.wait_until(is_met, limit_s)


@then(
    "an idle instance that follows evacuations has at most {count:d} threads"
)
def check_threads_of_follower(context, count):
    found = context.site.count_threads()
    assert found <= count, found


@given("an instance with allowed regions, e1 in r1 and e2 in r2")
def start_with_regions(context):
    start_with_places(context)
    routes = [
        platform_site.make_route(name, "idempotent")
        | {"allowedRegions": [name]}
        for name in ("r1", "r9")
    ]
    tenant = {"name": "near", "apiKeys": ["k2"], "allowedRegions": ["r2"]}
    context.site.configure(2, *routes, tenants=[tenant])
    platform_site.wait_until(
        lambda: context.site.call("GET", "/r1/x").status == 200, 3.0
    )
    for endpoint in context.site.endpoints.values():
        endpoint.received.clear()


def send_restricted(context, count, path, key="k1"):
    context.answers = [
        context.site.call("GET", path, Key=key) for _ in range(count)
    ]


@when("{count:d} requests of a route allowed in r1 are sent")
def send_by_route(context, count):
    send_restricted(context, count, "/r1/x")


@when("{count:d} requests of an account allowed in r2 are sent")
def send_by_account(context, count):
    send_restricted(context, count, "/safe/x", "k2")


@when("{count:d} requests without a restriction are sent")
def send_unrestricted(context, count):
    send_restricted(context, count, "/safe/x")


@when("a request is sent whose route allows r1 and whose account r2")
def send_contradiction(context):
    context.started_s = time.monotonic()
    context.answer = context.site.call("GET", "/r1/x", Key="k2")


@when("a request of a route allowed in r9 is sent")
def send_to_empty_region(context):
    context.started_s = time.monotonic()
    context.answer = context.site.call("GET", "/r9/x")


@when("e1 is full and a request of a route allowed in r1 is sent")
def send_to_full_region(context):
    context.site.endpoints["e1"].is_full = True
    context.answer = context.site.call("GET", "/r1/x")


@when("a peer forwards {count:d} requests that are allowed in r2")
def forward_restricted(context, count):
    context.answers = []
    for number in range(count):
        name = f"p{number}"
        request = requests.make_request(
            request_id=name,
            payload=messages.Payload(
                "GET", "/safe/x", (("Attempt-Id", name),), b""
            ),
            allowed_regions=frozenset(("r2",)),
        )
        call = peer_requests.encode_call(request, 5.0, "")
        context.answers.append(context.site.forward(call.body))


@then("the regions of these requests were served by {names}")
def check_served_by(context, names):
    expected = set(names.removesuffix(" only").split(" and "))
    found = {each.data.decode().rpartition(" ")[2] for each in context.answers}
    assert {each.status for each in context.answers} == {200}
    assert found == expected, found


@then("it is refused at once with a Retry-After, naming {text}")
def check_region_refusal(context, text):
    assert time.monotonic() - context.started_s < 0.2
    assert context.answer.status == 503, context.answer.status
    assert float(context.answer.headers["Retry-After"]) > 0
    assert f"({text})" in context.answer.data.decode(), context.answer.data
    assert not context.site.list_executed_requests()


@then("it is refused and e2 has received nothing")
def check_stays(context):
    assert context.answer.status == 503, context.answer.status
    assert not context.site.endpoints["e2"].received


@when("{count:d} requests of a route with allowed regions are sent")
def send_unused_restriction(context, count):
    route = platform_site.make_route("r1", "idempotent")
    context.site.configure(2, route | {"allowedRegions": ["r1"]})
    platform_site.wait_until(
        lambda: context.site.call("GET", "/r1/x").status == 200, 3.0
    )
    send_restricted(context, count, "/r1/x")
