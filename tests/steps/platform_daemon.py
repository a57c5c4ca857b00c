import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from standins import platform_site

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_LIMIT_S = 15.0


def find_ports(count):
    """Return free ports."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def make_route(prefix, kind, timeout_ms=3000):
    return {
        "name": f"r-{prefix}",
        "host": "h.example",
        "pathPrefix": f"/{prefix}/",
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 500,
        "service": "s",
        "maxAttempts": 2,
        "gapGoalMs": 400,
    }


def make_configuration(version, *more):
    return {
        "version": version,
        "routes": [
            make_route("safe", "idempotent"),
            make_route("once", "non_idempotent"),
            make_route("stream", "streaming"),
            make_route("slow", "non_idempotent", 800),
            make_route("slow/y", "non_idempotent"),
            *more,
        ],
        "services": [{"name": "s", "maxConns": 100}],
        "tenants": [{"name": "acme", "apiKeys": ["k1"]}],
    }


def make_entry(endpoint, state="ready"):
    return {
        "service": "s",
        "address": endpoint.address,
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "born": 1700000000000,
    }


@given("an instance on a small platform with endpoints e1 and e2")
def start_instance(context):
    context.server = platform_site.PlatformServer()
    context.add_cleanup(context.server.close)
    context.endpoints = {}
    for name in ("e1", "e2"):
        endpoint = platform_site.PlatformEndpoint(name)
        context.add_cleanup(endpoint.close)
        context.endpoints[name] = endpoint
        context.server.store.put("servers", name, make_entry(endpoint))
    context.server.store.put("config", "main", make_configuration(1))
    ports = find_ports(5)
    context.callers, context.ready, control, first, last = ports
    settings = {
        "nodeName": "edge-1",
        "zone": "z1",
        "region": "r1",
        "ip": "127.0.0.1",
        "listen": {
            "frontend": f"127.0.0.1:{context.callers}",
            "ready": f"127.0.0.1:{context.ready}",
            "control": f"127.0.0.1:{control}",
        },
        "internalPorts": [first, last],
        "limits": {"maxFds": 4100},
        "bounds": {"graceS": 8},
        "platform": {"address": context.server.address},
        "cloudApi": {"address": context.server.address, "duties": []},
    }
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    context.process = subprocess.Popen(
        [sys.executable, "-m", "mulberryhollow.platform"],
        cwd=ROOT,
        env=os.environ | {"MULBERRYHOLLOW_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(stop_process, context.process)
    wait_until(lambda: ask_ready(context) == 200, START_LIMIT_S)


def stop_process(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def wait_until(is_true, limit_s):
    """Wait until something is true; fail after a time."""
    end_s = time.monotonic() + limit_s
    while not is_true():
        assert time.monotonic() < end_s, "it did not come about"
        time.sleep(0.05)


def ask_ready(context):
    """Return the status that the balancer gets; 0 for none."""
    try:
        return send(context.ready, "GET", "/v1/readyz").status
    except OSError:
        return 0


def send(port, method, path, headers=None, body=None):
    """Return the answer to one request, with its body as `data`."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=9.0)
    connection.request(method, path, body, headers or {})
    answer = connection.getresponse()
    answer.data = answer.read()
    connection.close()
    return answer


def call(context, method, path, **extra):
    """Send a caller's request with its id and key."""
    headers = {
        "Host": "h.example",
        "Attempt-Id": f"r{time.monotonic_ns()}",
        "Deadline-Ms": "5000",
        "Key": "k1",
    }
    body = b"{}" if method == "POST" else None
    return send(context.callers, method, path, headers | extra, body)


@when("a GET /safe/x, a POST /once/x and a GET /stream/x are sent")
def send_each(context):
    context.answers = [
        call(context, method, path)
        for method, path in (
            ("GET", "/safe/x"),
            ("POST", "/once/x"),
            ("GET", "/stream/x"),
        )
    ]


@then("the first two have an endpoint's seal and whole body")
def check_plain(context):
    for answer in context.answers[:2]:
        name = answer.data.decode().rpartition(" ")[2]
        assert answer.status == 200, answer.status
        assert answer.headers["Response-Seal"] == f"seal {name}"


@then("the stream has events 1 to 3 and ends whole")
def check_streamed(context):
    events = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))
    assert context.answers[2].data == events, context.answers[2].data


@when("a GET /safe/x is sent with forged headers")
def send_forged(context):
    forged = {"Tenant": "evil", "Retention": "1", "Pin-Ms": "9"}
    context.answer = call(
        context, "GET", "/safe/x", **forged, **{"Expect-Instance": "e9"}
    )


@then("the endpoint got the account, its own name and no forged header")
def check_unforged(context):
    assert context.answer.status == 200, context.answer.status
    (seen,) = [each for e in context.endpoints.values() for each in e.seen]
    assert seen["Tenant"] == "acme"
    assert seen["Expect-Instance"] in context.endpoints
    assert not {"Retention", "Pin-Ms", "Key"} & seen.keys(), seen


@when("a GET {path} is sent with key {key}")
def send_not_allowed(context, path, key):
    context.answer = call(context, "GET", path, Key=key)


@then("the status is {status:d} and no endpoint has run it")
def check_not_run(context, status):
    assert context.answer.status == status, context.answer.status
    assert not any(each.seen for each in context.endpoints.values())


@when("e1 is full and {count:d} requests are sent")
def fill_one(context, count):
    context.endpoints["e1"].is_full = True
    context.answers = [call(context, "POST", "/once/x") for _ in range(count)]


@when("e1 and e2 are full and a POST /once/x is sent")
def fill_all(context):
    for endpoint in context.endpoints.values():
        endpoint.is_full = True
    context.answer = call(context, "POST", "/once/x")


@then("the status is 503 with a time to return")
def check_full(context):
    assert context.answer.status == 503, context.answer.status
    assert float(context.answer.headers["Retry-After"]) > 0


@then("all of them are answered by {name}")
def check_by(context, name):
    found = [(each.status, each.data) for each in context.answers]
    expected = (200, f"answer of {name}".encode())
    assert found == [expected] * len(found), found


@then("all of them are answered")
def check_all(context):
    assert [each.status for each in context.answers] == [200] * 6


@when("e1 drains and {count:d} requests are sent")
def drain_one(context, count):
    entry = make_entry(context.endpoints["e1"], "draining")
    context.server.store.put("servers", "e1", entry)
    time.sleep(0.5)
    context.answers = [call(context, "GET", "/safe/x") for _ in range(count)]


@when("a configuration with the route /new/ is written")
def write_route(context):
    configuration = make_configuration(2, make_route("new", "idempotent"))
    context.server.store.put("config", "main", configuration)


@then("a GET /new/x is served within {limit_s:g} seconds")
def check_new(context, limit_s):
    wait_until(lambda: call(context, "GET", "/new/x").status == 200, limit_s)


@when("the store refuses every call and {count:d} requests are sent")
def refuse_calls(context, count):
    context.server.is_refusing = True
    time.sleep(0.5)
    context.answers = [call(context, "GET", "/safe/x") for _ in range(count)]


@when("a caller of /slow/y/x leaves after {seconds:g} seconds")
def leave_early(context, seconds):
    connection = socket.create_connection(("127.0.0.1", context.callers))
    connection.sendall(
        b"GET /slow/y/x HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n"
        b"Attempt-Id: left\r\nDeadline-Ms: 5000\r\n\r\n"
    )
    time.sleep(seconds)
    connection.close()


@then("the endpoint has noticed within a second")
def check_noticed(context):
    endpoints = context.endpoints.values()
    wait_until(lambda: sum(each.left for each in endpoints) == 1, 1.0)


@when("a POST /slow/x is sent whose route allows 0.8 seconds")
def send_slow(context):
    context.began_s = time.monotonic()
    context.answer = call(context, "POST", "/slow/x")


@then("the status is 504 within {limit_s:g} seconds")
def check_timed_out(context, limit_s):
    assert context.answer.status == 504, context.answer.status
    assert time.monotonic() - context.began_s < limit_s


@when("a GET /slow/y/x is sent and the instance gets SIGTERM")
def terminate(context):
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        call_under_way = threads.submit(call, context, "GET", "/slow/y/x")
        time.sleep(0.3)
        context.began_s = time.monotonic()
        context.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        context.ready_status = ask_ready(context)
        context.answer = call_under_way.result()


@then("the request is answered and the instance ends within 8 seconds")
def check_stopped(context, limit_s=8.0):
    assert context.answer.status == 200, context.answer.status
    context.process.wait(limit_s)
    assert time.monotonic() - context.began_s < limit_s


@then("it was not ready from the signal on")
def check_not_ready(context):
    assert context.ready_status == 503, context.ready_status
