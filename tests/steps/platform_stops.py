import concurrent.futures
import http.client
import itertools
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
from standins import platform_site as standins
from tests import requests
from tools import platform_site

GRACE_S = 8.0
LATE_S = 20.0
TIMEOUT_MS = 30000
LEAD_S = 0.5
PAUSE_S = 0.005
GOALS_MS = {"": 3000, "-goal": 6000, "-retry": 1000}
LARGE_BYTES = 3_000_000
READ_BYTES = 8192
WINDOW_BYTES = 8192
SEGMENT_BYTES = 1448
READ_S = 6.0
WHENS = {"0.5 seconds before SIGTERM": -LEAD_S, "1 second after SIGTERM": 1.0}
NAMES = {
    "non_idempotent": "late-once",
    "idempotent": "late-safe",
    "streaming": "late-stream",
}


def make_routes():
    for kind, name in NAMES.items():
        for suffix, goal_ms in GOALS_MS.items():
            route = platform_site.make_route(name + suffix, kind, TIMEOUT_MS)
            yield route | {"goalMs": goal_ms, "gapGoalMs": TIMEOUT_MS}


@given("a stopping instance whose endpoints answer late")
def start_instance(context):
    context.site = site = platform_site.PlatformSite()
    context.add_cleanup(site.close)
    for endpoint in site.endpoints.values():
        endpoint.late_s = LATE_S
    site.configure(1, *make_routes())
    site.wait_ready()
    context.threads = concurrent.futures.ThreadPoolExecutor(1)


def call(context, method, path):
    """Send a request; return the answer or the error, and when it came."""
    began_s = time.monotonic()
    try:
        answer = context.site.call(
            method, path, **{"Deadline-Ms": str(TIMEOUT_MS)}
        )
    except (OSError, http.client.HTTPException) as error:
        answer = error
    return answer, began_s, time.monotonic()


def terminate(context):
    context.terminated_s = time.monotonic()
    context.site.process.send_signal(signal.SIGTERM)


def send_around(context, send, delay_s):
    """Send a request some time after SIGTERM, or before it if negative."""
    if delay_s < 0:
        running = context.threads.submit(send)
        time.sleep(-delay_s)
        terminate(context)
    else:
        terminate(context)
        time.sleep(delay_s)
        running = context.threads.submit(send)
    context.is_late = delay_s > 0
    context.answer, context.sent_s, context.answered_s = running.result()


def send_kind(context, kind, delay_s, suffix=""):
    path = {
        "non_idempotent": "slow/x",
        "idempotent": "slow/x",
        "streaming": "long-stream/x",
    }[kind]
    method = "POST" if kind == "non_idempotent" else "GET"
    target = f"/{NAMES[kind]}{suffix}/{path}"
    send_around(context, lambda: call(context, method, target), delay_s)


@when("a {kind} request is sent 0.5 seconds before SIGTERM")
def send_before(context, kind):
    send_kind(context, kind, -LEAD_S)


@when("a {kind} request is sent 1 second after SIGTERM")
def send_after(context, kind):
    send_kind(context, kind, 1.0)


@when(
    "a {kind} request with a goal of 6 seconds is sent 2 seconds after SIGTERM"
)
def send_long(context, kind):
    send_kind(context, kind, 2.0, "-goal")


@when(
    "a request that is tried again after 3 seconds is sent 1 second after "
    "SIGTERM"
)
def send_retried(context):
    send_kind(context, "idempotent", 1.0, "-retry")


@then("the second endpoint was told at most {seconds:g} seconds")
def check_second_told(context, seconds):
    told_ms = [
        int(each["Deadline-Ms"])
        for each in context.site.list_executed_requests()
    ]
    assert min(told_ms) <= seconds * 1000, told_ms


def check_time(context):
    elapsed_s = context.answered_s - context.terminated_s
    assert elapsed_s < GRACE_S, elapsed_s
    context.site.process.wait(GRACE_S)
    assert time.monotonic() - context.terminated_s < GRACE_S


@then(
    "it is answered with {status:d} within the grace time, having run {runs}"
)
def check_answer(context, status, runs):
    assert getattr(context.answer, "status", None) == status, context.answer
    check_time(context)
    # Requests that are sent no later than 3 s after the signal may take
    # until the last sixth of the grace time.
    elapsed_s = context.answered_s - context.terminated_s
    assert elapsed_s >= GRACE_S * 5 / 6, elapsed_s
    count = len(context.site.list_executed_requests())
    assert count == {"once": 1, "twice": 2}[runs], count


@then("the endpoints were told a time within the grace, if sent after SIGTERM")
def check_told_time(context):
    (seen,) = context.site.list_executed_requests()
    left_s = context.terminated_s + GRACE_S - context.sent_s
    if context.is_late:
        assert int(seen["Deadline-Ms"]) <= left_s * 1000, seen


@then("the stream breaks off within the grace time after its first event")
def check_stream(context):
    assert isinstance(context.answer, http.client.IncompleteRead), (
        context.answer
    )
    assert b"id: 1" in context.answer.partial, context.answer.partial
    check_time(context)


@then("it is refused at once with a Retry-After and no endpoint has run it")
def check_refused(context):
    assert getattr(context.answer, "status", None) == 503, context.answer
    assert float(context.answer.headers["Retry-After"]) > 0
    assert context.answered_s - context.sent_s < 0.5
    assert not context.site.list_executed_requests()


@when("a peer forwards a request 0.5 seconds before SIGTERM")
def forward(context):
    request = requests.make_request(
        catalogue.RequestKind.NON_IDEMPOTENT,
        account="acme",
        payload=messages.Payload(
            "POST", "/late-once/slow/x", (("Attempt-Id", "r1"),), b"body"
        ),
    )
    body = peer_requests.encode_call(request, TIMEOUT_MS / 1000, "").body

    def send():
        began_s = time.monotonic()
        try:
            answer = context.site.forward(body)
        except (OSError, http.client.HTTPException) as error:
            answer = error
        return answer, began_s, time.monotonic()

    send_around(context, send, -LEAD_S)


@then("the peer is told within the grace time that it may have run")
def check_peer_told(context):
    answer = context.answer
    assert isinstance(answer, http.client.HTTPResponse), answer
    head = peer_requests.decode_head(answer.status, answer.getheaders())
    unknown = errors.ExecutionStatus.UNKNOWN
    assert head.refusal and head.refusal.ran is unknown, head
    # A peer sends the request of an instance that is leaving elsewhere.
    assert head.refusal.kind is errors.RefusalKind.OUTCOME_UNKNOWN, head
    check_time(context)


@when("it gets SIGTERM while no request is running")
def stop_idle(context):
    terminate(context)


@when("it gets SIGTERM while a caller keeps an idle connection")
def stop_with_kept_connection(context):
    connection = http.client.HTTPConnection(
        "127.0.0.1", context.site.callers_port, timeout=GRACE_S
    )
    context.add_cleanup(connection.close)
    headers = {"Host": "h.example", "Key": "k1", "Attempt-Id": "kept"}
    connection.request("POST", "/once/x", b"{}", headers)
    answer = connection.getresponse()
    assert answer.read() and answer.status == 200, answer.status
    assert connection.sock is not None
    terminate(context)


@then("it ends within {limit_s:g} seconds")
def check_end(context, limit_s):
    context.site.process.wait(GRACE_S)
    elapsed_s = time.monotonic() - context.terminated_s
    assert elapsed_s < limit_s, elapsed_s


def send_without_pause(context, name):
    """Send requests on kept connections until none is established.

    Returns a list of (id, status or None without an answer, time sent).
    """
    found = []
    port = context.site.callers_port
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=GRACE_S)
    for number in itertools.count():
        if connection.sock is None:
            try:
                connection.connect()
            except OSError:
                return found
        request_id = f"{name}-{number}"
        headers = {
            "Host": "h.example",
            "Key": "k1",
            "Attempt-Id": request_id,
            "Deadline-Ms": "5000",
        }
        sent_s = time.monotonic()
        status = None
        try:
            connection.request("POST", "/once/x", b"{}", headers)
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            connection.close()
        found.append((request_id, status, sent_s))
        time.sleep(PAUSE_S)


@when(
    "{count:d} callers send requests without a pause on kept connections "
    "through a stop"
)
def send_through_stop(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        running = [
            threads.submit(send_without_pause, context, f"c{number}")
            for number in range(count)
        ]
        time.sleep(LEAD_S)
        terminate(context)
        context.found = [each for run in running for each in run.result()]


@then("each request that has run is answered with 200, and no other one")
def check_each(context):
    received = [
        each["Attempt-Id"] for each in context.site.list_executed_requests()
    ]
    answered = [name for name, status, _ in context.found if status == 200]
    assert sorted(received) == sorted(answered), set(received) ^ set(answered)


@then("requests were answered after the signal, and others refused")
def check_both(context):
    late = {
        status
        for _, status, sent_s in context.found
        if sent_s > context.terminated_s
    }
    assert {200, 503} <= late, late


@given("a stopping instance whose endpoints send large answers")
def start_with_large_answers(context):
    start_instance(context)
    for endpoint in context.site.endpoints.values():
        endpoint.large_bytes = LARGE_BYTES


def connect_slowly(context):
    """Connect with a small window and the segments of a real network."""
    connection = socket.socket()
    context.add_cleanup(connection.close)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.settimeout(GRACE_S)
    connection.connect(("127.0.0.1", context.site.callers_port))
    return connection


def read_steadily(context, kind, read_s, next_after_s=None):
    """Read a large answer; return it or the error, and when it came.

    Sends another request so long after the first, unless that is None.
    """
    name = NAMES[kind]
    path = "large-stream" if kind == "streaming" else "large"
    head = (
        f"GET /{name}/{path}/x HTTP/1.1\r\nHost: h.example\r\nKey: k1\r\n"
        f"Deadline-Ms: {TIMEOUT_MS}\r\nAttempt-Id: "
    )
    connection = connect_slowly(context)
    began_s = time.monotonic()
    connection.sendall(f"{head}large\r\n\r\n".encode())
    data = b""
    try:
        while not is_whole(data):
            piece = connection.recv(READ_BYTES)
            if not piece:
                break
            data += piece
            elapsed_s = time.monotonic() - began_s
            if next_after_s is not None and elapsed_s >= next_after_s:
                connection.sendall(f"{head}next\r\n\r\n".encode())
                next_after_s = None
            due_s = read_s * len(data) / LARGE_BYTES
            time.sleep(max(0.0, due_s - elapsed_s))
    except OSError as error:
        data += f" {error!r}".encode()
    return data, began_s, time.monotonic()


def is_whole(data):
    """Return whether an answer with a length, or in chunks, is complete."""
    head, separator, body = data[:READ_BYTES].partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return data.endswith(b"\r\n0\r\n\r\n")
    return len(data) >= len(head) + len(separator) + LARGE_BYTES


@when(
    "a caller reads a {kind} answer within {read_s:g} seconds, sent {moment}"
)
def read_large(context, kind, read_s, moment):
    send_around(
        context, lambda: read_steadily(context, kind, read_s), WHENS[moment]
    )


@when(
    "a caller sends another request {after_s:g} seconds after its {kind} "
    "one, sent {moment}"
)
def read_and_send(context, kind, after_s, moment):
    send_around(
        context,
        lambda: read_steadily(context, kind, READ_S, after_s),
        WHENS[moment],
    )


@then("it gets the whole answer, having run once")
def check_whole(context):
    data = context.answer
    seen = len(data), data[:12], data[-60:]
    assert data.startswith(b"HTTP/1.1 200 "), seen
    assert is_whole(data), seen
    events = data.count(b"\nid: ")
    assert events in {0, LARGE_BYTES // standins.EVENT_BYTES}, (events, seen)
    received = [
        each["Attempt-Id"] for each in context.site.list_executed_requests()
    ]
    assert received == ["large"], received
