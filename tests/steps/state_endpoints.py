from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.state import endpoints

SERVICE = "chat"
VERSION = "v1"


def build_endpoint(number, state="live"):
    return endpoints.Endpoint(
        id=f"e{number}",
        role="model",
        address=f"127.0.0.1:{9000 + number}",
        failure_domain=f"d{number % 4}",
        service=SERVICE,
        version=VERSION,
        market="reclaimable",
        price_per_hour=1.0 + number % 4,
        state=state,
    )


def list_available(view, now_s):
    view.advance(now_s)
    group = view.get_group(SERVICE, VERSION)
    return {record.endpoint.id for record in group}


@given("an endpoint view of {count:d} endpoints in 4 failure domains")
def make_view(context, count):
    context.now_s = 100.0
    context.items = [build_endpoint(number) for number in range(count)]
    context.view = endpoints.EndpointView()
    context.view.apply_list(context.items, context.now_s)
    context.works = []


@when("endpoint {endpoint_id} is marked as leaving")
def mark_endpoint(context, endpoint_id):
    context.view.mark_leaving(endpoint_id)


@when("failure domain {domain} is marked as leaving")
def mark_domain(context, domain):
    context.view.mark_domain_leaving(domain)


@when("failure domain {domain} is marked as leaving for {for_s:g} seconds")
def mark_domain_for(context, domain, for_s):
    context.view.mark_domain_leaving(domain, context.now_s + for_s)


@when("the endpoint list still shows all endpoints as live")
def apply_old_list(context):
    context.view.apply_list(context.items, context.now_s)


@when("the endpoint list shows no endpoint")
def apply_empty_list(context):
    context.view.apply_list([], context.now_s)


@when("the endpoint list shows {count:d} endpoints")
def apply_longer_list(context, count):
    items = [build_endpoint(number) for number in range(count)]
    context.view.apply_list(items, context.now_s)


@when("the endpoint list shows e0 as leaving")
def apply_leaving_list(context):
    items = [build_endpoint(0, "leaving"), *context.items[1:]]
    context.view.apply_list(items, context.now_s)


@when("{by_s:g} seconds pass for the endpoint view")
def advance_time(context, by_s):
    context.now_s += by_s


@when(
    "endpoint {endpoint_id} reports {running:d} running and {queued:d} "
    "queued, measured {age_s:g} seconds ago"
)
def report_load(context, endpoint_id, running, queued, age_s):
    context.view.report_load(
        endpoint_id, running, queued, 8, age_s, context.now_s
    )


@when("{count:d} requests are sent to endpoint {endpoint_id}")
def send_requests(context, count, endpoint_id):
    context.works += [
        context.view.start(endpoint_id, 0.1, context.now_s)
        for _ in range(count)
    ]


@when("a probe is sent to endpoint {endpoint_id}")
def send_probe(context, endpoint_id):
    context.view.start(endpoint_id, 0.1, context.now_s)


@when("all requests end")
def end_requests(context):
    for work in context.works:
        context.view.finish(work, context.now_s)
        context.view.finish(work, context.now_s)


@when("peer {node} has {amount:d} requests at endpoint {endpoint_id}")
def set_peer(context, node, amount, endpoint_id):
    context.view.set_peer_load(node, endpoint_id, amount)


@when("peer {node} is gone")
def drop_peer(context, node):
    context.view.drop_peer(node)


@when("endpoint {endpoint_id} fails {times:d} times with {kind}")
def fail_endpoint(context, endpoint_id, times, kind):
    for _ in range(times):
        context.view.record_failure(
            endpoint_id, endpoints.FailureKind[kind], context.now_s
        )


@when(
    "endpoint {endpoint_id} crashes {times:d} times "
    "due to a quarantined request"
)
def crash_endpoint(context, endpoint_id, times):
    for _ in range(times):
        context.view.record_failure(
            endpoint_id,
            endpoints.FailureKind.CRASHED,
            context.now_s,
            is_quarantined=True,
        )


@when("endpoint {endpoint_id} answers")
def answer_endpoint(context, endpoint_id):
    context.view.record_success(endpoint_id)


@when("endpoint {endpoint_id} is set to drain")
def drain_endpoint(context, endpoint_id):
    context.view.set_draining(endpoint_id, True)


@when("endpoint {endpoint_id} is set to stop draining")
def undrain_endpoint(context, endpoint_id):
    context.view.set_draining(endpoint_id, False)


@then("endpoint {endpoint_id} is available")
def check_available(context, endpoint_id):
    assert endpoint_id in list_available(context.view, context.now_s)


@then("endpoint {endpoint_id} is not available")
def check_unavailable(context, endpoint_id):
    assert endpoint_id not in list_available(context.view, context.now_s)


@then("the available endpoints are {names}")
def check_all_available(context, names):
    found = list_available(context.view, context.now_s)
    assert found == set(names.split()), found


@then("endpoint {endpoint_id} has a load of {load:d}")
def check_load(context, endpoint_id, load):
    found = context.view.get(endpoint_id).load
    assert found == load, found


_IDS = strategies.integers(0, 7).map(lambda number: f"e{number}")
_EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("leave"), _IDS),
        strategies.tuples(strategies.just("succeed"), _IDS),
        strategies.tuples(strategies.just("fail"), _IDS),
        strategies.tuples(strategies.just("start"), _IDS),
        strategies.tuples(strategies.just("undrain"), _IDS),
        strategies.tuples(strategies.just("report"), _IDS),
        strategies.tuples(strategies.just("list"), _IDS),
        strategies.tuples(strategies.just("shorten"), _IDS),
    ),
    max_size=60,
)


def apply_event(view, event, endpoint_id, now_s):
    items = [build_endpoint(number) for number in range(8)]
    match event:
        case "leave":
            view.mark_leaving(endpoint_id)
        case "succeed":
            view.record_success(endpoint_id)
        case "fail":
            kind = endpoints.FailureKind.CONNECT_FAILED
            view.record_failure(endpoint_id, kind, now_s)
        case "start":
            view.finish(view.start(endpoint_id, 0.1, now_s), now_s + 0.1)
        case "undrain":
            view.set_draining(endpoint_id, False)
        case "report":
            view.report_load(endpoint_id, 1, 0, 8, 0.5, now_s)
        case "list":
            view.apply_list(items, now_s)
        case "shorten":
            kept = [item for item in items if item.id != endpoint_id]
            view.apply_list(kept, now_s)


@then("in any order of events a leaving endpoint is never available")
def check_any_order(context):
    @hypothesis.given(_EVENTS)
    def check(events):
        view = endpoints.EndpointView()
        view.apply_list([build_endpoint(n) for n in range(8)], 0.0)
        leaving_ids = set()
        for now_s, (event, endpoint_id) in enumerate(events):
            apply_event(view, event, endpoint_id, float(now_s))
            if event == "leave":
                leaving_ids.add(endpoint_id)
            group = view.get_group(SERVICE, VERSION)
            least_loaded = {r.endpoint.id for r in group.list_least_loaded(8)}
            assert not leaving_ids & list_available(view, float(now_s))
            assert not leaving_ids & least_loaded

    check()


@when("reports older than {age_s:g} seconds expire")
def expire_reports(context, age_s):
    context.view.expire_reports(context.now_s - age_s)


@when("endpoint {endpoint_id} reports the work times {values}")
def report_work_times(context, endpoint_id, values):
    for value in values.split():
        context.view.report_load(
            endpoint_id, 1, 0, 8, 0.0, context.now_s, float(value)
        )


@then(
    "endpoint {endpoint_id} takes between {low:g} and {high:g} with a "
    "spread above {least:g}"
)
def check_work_time(context, endpoint_id, low, high, least):
    record = context.view.get(endpoint_id)
    mean, spread = record.work_time.estimate(context.now_s)
    assert low <= mean <= high and spread > least, (mean, spread)


@when("a peer has seen the work time of the service")
def add_peer_work_time(context):
    context.view.add_peer_work_time({SERVICE: 1})


@then("the room of the service {reports} work time")
def check_room_work_time(context, reports):
    room = context.view.measure_room(SERVICE, context.now_s)
    assert room.is_work_based == (reports == "reports"), room


@given("the service reports work time")
def start_work_time(context):
    context.view.add_peer_work_time({SERVICE: 1})


@when(
    "{count:d} requests are placed at endpoint {endpoint_id} for {hold_s:g} "
    "seconds"
)
def place_requests(context, count, endpoint_id, hold_s):
    for _ in range(count):
        context.view.add_placement(endpoint_id, hold_s, context.now_s)


@when("a placement at endpoint {endpoint_id} is withdrawn")
def withdraw_placement(context, endpoint_id):
    context.view.withdraw_placement(endpoint_id)


@when(
    "the peers count {count:d} requests at endpoint {endpoint_id}, "
    "{age_s:g} seconds ago"
)
def count_peers(context, count, endpoint_id, age_s):
    context.view.set_peer_loads(
        "others", {endpoint_id: count}, context.now_s - age_s
    )


@then(
    "{placed:d} placed and {others:d} other requests are at endpoint "
    "{endpoint_id}"
)
def check_backlog(context, placed, others, endpoint_id):
    context.view.advance(context.now_s)
    backlog = context.view.get(endpoint_id).backlog
    assert (backlog.placed, backlog.others) == (placed, others), backlog


@then(
    "of the requests counted at endpoint {endpoint_id} {count:d} are "
    "expected after {after_s:d} s"
)
def check_others(context, endpoint_id, count, after_s):
    backlog = context.view.get(endpoint_id).backlog
    found, _ = backlog.estimate_others(
        context.view.get_usual_load(SERVICE), 0.1, context.now_s + after_s
    )
    assert round(found) == count, found


@given("its endpoints have {tokens:d} tokens of memory")
def set_memory(context, tokens):
    context.view.set_memory({SERVICE: tokens})


@when(
    "{count:d} requests of {tokens:d} tokens are placed at endpoint "
    "{endpoint_id} for {hold_s:g} seconds"
)
def place_large_requests(context, count, tokens, endpoint_id, hold_s):
    for _ in range(count):
        context.view.add_placement(
            endpoint_id, hold_s, context.now_s, float(tokens)
        )


@then("{count:d} requests of {tokens:d} tokens use the room for {total:g} s")
def check_room_use(context, count, tokens, total):
    room = context.view.measure_room(SERVICE, context.now_s)
    assert room.memory_tokens == 8000.0, room
    assert room.used_slots == count, room
    assert room.used_memory_tokens == tokens, room
    assert abs(room.backlog_s - total) < 1e-6, room
