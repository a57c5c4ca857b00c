import http.client
import json
import time

import urllib3

from behave import then
from behave import when

from tests import site_fixture
from tools.history import expected
from tools import site as sites

EXTRA_RECLAIM_DELAY_S = 3.0


def start_chat(context, count, stream=True):
    """Start a chat at the first instance; return while it runs."""
    context.count = count
    context.name = next(iter(context.shared.entry_names))
    address = context.shared.entry_names[context.name]
    call = site_fixture.BackgroundCall(
        context.shared.chat, address, count, stream
    )
    site_fixture.wait_until(lambda: find_busy_engine(context))
    time.sleep(0.3)
    return call


def find_busy_engine(context):
    """Return the name of an engine that runs a request, or None."""
    for name, address in context.shared.engines.items():
        if sites.call(address, "GET", "/control").json()["requests_running"]:
            return name
    return None


def reclaim(context, after_s, **what):
    context.notice_s = time.time()
    context.shared.fault(
        context.shared.site.store_address, "reclaim", after_s=after_s, **what
    )


def kill_engine(context, name):
    context.shared.fleet.kill(name)
    context.shared.engines.pop(name)


@when(
    "a chat of {count:d} tokens is streamed and its engine is reclaimed"
    " after {after_s:d} second"
)
def stream_and_reclaim(context, count, after_s):
    call = start_chat(context, count)
    context.engine = find_busy_engine(context)
    reclaim(context, after_s + EXTRA_RECLAIM_DELAY_S, instance=context.engine)
    time.sleep(after_s)
    for _ in range(10):
        address = list(context.shared.entry_names.values())[1]
        assert context.shared.chat(address, 1).status == 200
    context.answer = call.wait()
    address = context.shared.engines[context.engine]
    context.arrivals = sites.call(address, "GET", "/control").json()
    kill_engine(context, context.engine)
    context.shared.add_engine()
    context.shared.wait_ready()


@then(
    "the leaving engine got no new work later than {limit_s:d} seconds"
    " after its notice"
)
def check_no_new_work(context, limit_s):
    late = [
        entry
        for entry in context.arrivals["ledger"]
        if entry["at_s"] > context.notice_s + limit_s
    ]
    assert not late, late


@when(
    "{chats:d} chats of {count:d} tokens are streamed and a failure domain"
    " is reclaimed after {after_s:d} second"
)
def reclaim_domain(context, chats, count, after_s):
    context.count = count
    shared = context.shared
    addresses = list(shared.entry_names.values())
    calls = [
        site_fixture.BackgroundCall(
            context.shared.chat, addresses[number % len(addresses)], count
        )
        for number in range(chats)
    ]
    site_fixture.wait_until(lambda: find_busy_engine(context))
    time.sleep(0.3)
    name = find_busy_engine(context)
    domain = context.shared.site.domains[name]
    reclaim(context, after_s, failure_domain=domain)
    time.sleep(after_s)
    for names in (shared.engines, shared.entry_names):
        for each in list(names):
            if shared.site.domains[each] == domain:
                shared.fleet.kill(each)
                del names[each]
    answers = [call.wait() for call in calls]
    context.answers = [
        site_fixture.read_moved_stream(shared, each) for each in answers
    ]
    restart_site(context)


def restart_site(context):
    """Replace the site by a new one for the following scenarios."""
    context.shared.close()
    context.shared.__init__()
    context.shared.start()


@then("every answer is complete")
def check_all_complete(context):
    prompt = site_fixture.PROMPT
    wanted = expected.make_text("v1", prompt, context.count)
    for tokens in context.answers:
        assert "".join(tokens) == wanted, tokens


@when(
    "a chat of {count:d} tokens is streamed from an instance that gets SIGTERM"
)
def stream_and_stop(context, count):
    call = start_chat(context, count)
    context.shared.fleet.terminate(context.name)
    context.answer = call.wait()
    context.code = context.shared.fleet.wait(context.name)
    replace_entry(context)


def replace_entry(context):
    context.shared.entry_names.pop(context.name)
    context.shared.add_entry()
    context.shared.wait_ready()


@then("the instance ends with exit code {code:d}")
def check_code(context, code):
    assert context.code == code, context.code


@when(
    "a chat of {count:d} tokens is streamed from an instance that is"
    " reclaimed and killed"
)
def stream_and_kill(context, count):
    call = start_chat(context, count)
    reclaim(context, 5.0, instance=context.name)
    context.answer = call.wait(5)
    context.shared.fleet.kill(context.name)
    replace_entry(context)


@when(
    "a chat of {count:d} tokens is requested without streaming from an"
    " instance that is reclaimed and killed"
)
def request_and_kill(context, count):
    call = start_chat(context, count, stream=False)
    reclaim(context, 5.0, instance=context.name)
    context.answer = call.wait(5)
    context.shared.fleet.kill(context.name)
    replace_entry(context)


@when(
    "a chat of {count:d} tokens is streamed from an instance that is"
    " reclaimed with its engine"
)
def stream_and_reclaim_both(context, count):
    call = start_chat(context, count)
    engine = find_busy_engine(context)
    reclaim(context, 1.0, instance=engine)
    reclaim(context, 1.0, instance=context.name)
    context.answer = call.wait(5)
    time.sleep(1.0)
    context.shared.fleet.kill(context.name)
    kill_engine(context, engine)
    context.shared.entry_names.pop(context.name)


@then("the caller receives the location of the rest")
def check_moved(context):
    assert context.answer.status == 200, context.answer.data
    tokens, event, fields = site_fixture.read_stream(context.answer)
    assert event == "moved", (event, fields)
    context.tokens, context.location = tokens, fields["location"]


@then("the rest from another instance completes the answer")
def check_rest(context):
    address = list(context.shared.entry_names.values())[-1]
    headers = {}
    if context.tokens:
        headers["Last-Event-ID"] = str(len(context.tokens) - 1)
    answer = sites.call(
        address,
        "GET",
        context.location,
        key=site_fixture.KEY,
        headers=headers,
    )
    assert answer.status == 200, answer.data
    rest, event, fields = site_fixture.read_stream(answer)
    assert event == "end", (event, fields)
    text = "".join(context.tokens + rest)
    prompt = site_fixture.PROMPT
    assert text == expected.make_text("v1", prompt, context.count)


@then("the caller is redirected to the location of the answer")
def check_redirected(context):
    assert context.answer.status == 303, context.answer.data
    context.location = context.answer.headers["Location"]


@then("the complete answer is fetched from another instance")
def check_fetched(context):
    address = list(context.shared.entry_names.values())[-1]
    answer = sites.call(address, "GET", context.location, key=site_fixture.KEY)
    assert answer.status == 200, answer.data
    wanted = expected.make_text("v1", site_fixture.PROMPT, context.count)
    assert answer.json()["text"] == wanted


def call_until_closed(address, end_s):
    """Send look-ups over new connections until refused; return failures."""
    found = []
    while time.monotonic() < end_s:
        try:
            sites.call(
                address,
                "POST",
                site_fixture.LOOKUP,
                {"query": "x"},
                site_fixture.KEY,
            )
        except urllib3.exceptions.NewConnectionError:
            return found
        except urllib3.exceptions.HTTPError as error:
            found.append(error)
    return found


def call_slowly_until_closed(address, end_s):
    """Send look-ups 1 s after connecting until refused; return failures."""
    found = []
    body = json.dumps({"query": "x"}).encode()
    headers = {"Authorization": f"Bearer {site_fixture.KEY}"}
    while time.monotonic() < end_s:
        connection = http.client.HTTPConnection(address, timeout=10.0)
        try:
            connection.connect()
        except OSError:
            return found
        time.sleep(1.0)
        try:
            connection.request("POST", site_fixture.LOOKUP, body, headers)
            connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            found.append(error)
        connection.close()
    return found


@when("callers keep sending to an instance that gets SIGTERM")
def send_while_stopping(context):
    stop_while_called(context, [call_until_closed] * 6)


@when(
    "callers that send 1 second after connecting meet an instance that"
    " gets SIGTERM"
)
def send_late_while_stopping(context):
    stop_while_called(context, [call_slowly_until_closed] * 6)


def stop_while_called(context, callers):
    """Terminate an instance during calls and store their failures."""
    shared = context.shared
    name = shared.add_entry()
    shared.wait_ready()
    address = shared.entry_names.pop(name)
    end_s = time.monotonic() + 20.0
    calls = [
        site_fixture.BackgroundCall(each, address, end_s) for each in callers
    ]
    time.sleep(0.5)
    shared.fleet.terminate(name)
    context.failures = [each for call in calls for each in call.wait()]


@then("every call was answered or found no listener")
def check_answered(context):
    assert not context.failures, context.failures
