import collections
import random
import statistics
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import xxhash

from mulberryhollow.coordination import routing
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment
from mulberryhollow.state import prefixes

LONG_PROMPT = " ".join(f"word{number}" for number in range(1600))
NOW_S = 100.0


def build_items(prefix, version, count):
    return [
        endpoints.Endpoint(
            id=f"{prefix}{number}",
            role="model",
            address=f"127.0.0.1:{9000 + number}",
            failure_domain=f"d{number % 4}",
            service="chat",
            version=version,
            price_per_hour=1.0 + number % 4,
        )
        for number in range(count)
    ]


def build_request(number, shares=None, **fields):
    return routing.RouteRequest(
        request_id=f"r{number}",
        service="chat",
        version_shares=shares or {"v1": 1.0},
        deadline_s=NOW_S + 0.9,
        **fields,
    )


def route(context, requests, excluded=frozenset()):
    context.chosen = [
        context.router.choose(
            request, context.view, context.index, NOW_S, excluded
        )
        for request in requests
    ]
    context.counts = collections.Counter(
        chosen.endpoint_id
        for chosen in context.chosen
        if isinstance(chosen, routing.Chosen)
    )


@given("a router over {first:d} endpoints of v1 and {second:d} of v2")
def make_router(context, first, second):
    context.view = endpoints.EndpointView()
    context.view.apply_list(
        build_items("a", "v1", first) + build_items("b", "v2", second), NOW_S
    )
    for record in context.view:
        context.view.report_load(record.endpoint.id, 0, 0, 32, 0.0, NOW_S)
    context.index = prefixes.PrefixIndex()
    context.router = routing.Router(rng=random.Random(5))


@when("{count:d} requests are routed with shares v1={first:g} v2={second:g}")
def route_shares(context, count, first, second):
    shares = {"v1": first, "v2": second}
    route(context, [build_request(n, shares) for n in range(count)])


@when("all endpoints of {version} are marked as leaving")
def leave_version(context, version):
    for record in list(context.view):
        if record.endpoint.version == version:
            context.view.mark_leaving(record.endpoint.id)


@when("20 endpoints are leaving, 10 draining and 10 have open circuits")
def remove_endpoints(context):
    kind = endpoints.FailureKind.CONNECT_FAILED
    for number in range(20):
        context.view.mark_leaving(f"a{number}")
    for number in range(20, 30):
        context.view.set_draining(f"a{number}", True)
    for number in range(30, 40):
        for _ in range(3):
            context.view.record_failure(f"a{number}", kind, NOW_S)


@when("{count:d} requests are routed that exclude 10 more endpoints")
def route_excluding(context, count):
    excluded = {f"a{number}" for number in range(40, 50)}
    requests = [
        build_request(number, prompt=LONG_PROMPT) for number in range(count)
    ]
    route(context, requests, excluded)


@when("{count:d} requests are routed by {policy}, excluding 10 more endpoints")
def route_by_policy(context, count, policy):
    context.router = getattr(routing, policy)()
    route_excluding(context, count)


@when("endpoint {name} is half open and {count:d} bookings are routed")
def route_bookings(context, name, count):
    kind = endpoints.FailureKind.CONNECT_FAILED
    for _ in range(3):
        context.view.record_failure(name, kind, NOW_S - 50.0)
    for record in context.view:
        if record.endpoint.id != name:
            context.view.report_load(record.endpoint.id, 8, 0, 32, 0, NOW_S)
    route(context, [build_request(n, idempotent=False) for n in range(count)])
    assert name in context.view.get_group("chat", "v1")


@when("a long prompt was sent to endpoint {name}")
def send_long_prompt(context, name):
    context.index.insert(name, prefixes.hash_prefixes(LONG_PROMPT))


@when("endpoint {name} reports a long queue")
def report_queue(context, name):
    context.view.report_load(name, 32, 64, 32, 0.0, NOW_S)


@when("requests occupied a slot for {held_s:g} seconds")
def hold_slots(context, held_s):
    for _ in range(10):
        work = context.view.start("a1", 0.0, NOW_S - held_s)
        context.view.finish(work, NOW_S)


@when("{count:d} long prompts without a common prefix are routed")
def route_long_prompts(context, count):
    context.counts = collections.Counter()
    for number in range(count):
        request = build_request(number, prompt=f"p{number} {LONG_PROMPT}")
        chosen = context.router.choose(
            request, context.view, context.index, NOW_S
        )
        context.view.start(chosen.endpoint_id, chosen.cost, NOW_S)
        context.counts[chosen.endpoint_id] += 1


@when("{count:d} patient requests are routed without any load")
def route_patient(context, count):
    patient = environment.RequestClass.PATIENT
    route(
        context,
        [build_request(n, request_class=patient) for n in range(count)],
    )


@then("version {version} got {count:d} requests")
def check_version(context, version, count):
    check_version_between(context, version, count, count)


@then("version {version} got between {low:d} and {high:d} requests")
def check_version_between(context, version, low, high):
    got = sum(
        getattr(chosen, "version", None) == version
        for chosen in context.chosen
    )
    assert low <= got <= high, got


@then("a request assigned to v2 keeps v2 as its share grows")
def check_sticky(context):
    for number in range(500):
        drawn = [
            routing.list_versions(f"r{number}", {"v1": 1 - share, "v2": share})
            for share in (0.05, 0.2, 0.5, 0.9)
        ]
        flags = [versions[0] == "v2" for versions in drawn]
        assert flags == sorted(flags), (number, flags)


@then("the other requests got no endpoint, not run, with a retry time")
def check_refused(context):
    refusals = [
        chosen.refusal
        for chosen in context.chosen
        if isinstance(chosen, routing.NoEndpoint)
    ]
    assert refusals
    for refusal in refusals:
        assert refusal.kind is RefusalKind.NO_CAPACITY
        assert refusal.ran is ExecutionStatus.NOT_RUN
        assert refusal.retry_after_s > 0


@then("only the 10 remaining endpoints got requests")
def check_remaining(context):
    assert context.counts
    assert set(context.counts) <= {f"a{number}" for number in range(50, 60)}


@then("endpoint {name} got {count:d} of the routed requests")
def check_count(context, name, count):
    assert context.counts[name] == count, context.counts[name]


def choose_long(context):
    request = build_request(1, prompt=LONG_PROMPT)
    return context.router.choose(request, context.view, context.index, NOW_S)


@then("the same prompt is routed to endpoint {name} with cached tokens")
def check_cached(context, name):
    chosen = choose_long(context)
    assert chosen.endpoint_id == name
    assert chosen.cached_tokens == 1600
    assert chosen.computed_tokens == 0


@then("the same prompt is not routed to endpoint {name}")
def check_not_cached(context, name):
    assert choose_long(context).endpoint_id != name


@then("no endpoint got more than {max_count:d} of them")
def check_spread(context, max_count):
    assert max(context.counts.values()) <= max_count, context.counts


@then("more than {bound:d} of them went to the cheapest failure domain")
def check_cheap(context, bound):
    cheap = sum(
        count
        for name, count in context.counts.items()
        if context.view.get(name).endpoint.failure_domain == "d0"
    )
    assert cheap > bound, cheap


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["leave", "fail", "list", "choose"]),
        strategies.integers(0, 5),
    ),
    max_size=40,
)


@then("in any order of events routing never chooses a leaving endpoint")
def check_any_order(context):
    @hypothesis.given(_EVENTS)
    def check(events):
        view = endpoints.EndpointView()
        items = build_items("a", "v1", 6)
        view.apply_list(items, 0.0)
        index = prefixes.PrefixIndex()
        router = routing.Router()
        leaving = set()
        for now_s, (event, number) in enumerate(events):
            endpoint_id = f"a{number}"
            match event:
                case "leave":
                    view.mark_leaving(endpoint_id)
                    leaving.add(endpoint_id)
                case "fail":
                    kind = endpoints.FailureKind.SILENT_FRESH
                    view.record_failure(endpoint_id, kind, now_s)
                case "list":
                    view.apply_list(items, now_s)
            request = build_request(number, prompt=LONG_PROMPT[:500])
            chosen = router.choose(request, view, index, float(now_s))
            if isinstance(chosen, routing.Chosen):
                assert chosen.endpoint_id not in leaving
                view.start(chosen.endpoint_id, chosen.cost, float(now_s))
                index.insert(chosen.endpoint_id, chosen.hashes)

    check()


@when(
    "engines with a step of {step_s:g} s take {token_time_s:g} s "
    "for a prompt token"
)
def set_engines(context, step_s, token_time_s):
    context.step_s, context.token_time_s = step_s, token_time_s


@when("one answer in three was queued for half a second")
def learn_token_time(context):
    rng = random.Random(5)
    for number in range(400):
        tokens = rng.choice([100, 250, 3000, 9000, 20000])
        wait_s = 0.5 if number % 3 == 0 else 0.0
        weighted = tokens * (1 + tokens / 2 / 25_000)
        first_s = context.step_s + weighted * context.token_time_s + wait_s
        context.router.learn("s", tokens, tokens, first_s)


@then(
    "the learned time per token is between {token_time_s:g} s and twice that"
)
def check_token_time(context, token_time_s):
    chain = routing.PromptChain((), (), 100_000)
    request = routing.RouteRequest("r", "s", {"v1": 1.0}, chain=chain)
    view = endpoints.EndpointView()
    view.apply_list([endpoints.Endpoint("e", "m", "h:1", "d", "s", "v1")], 0.0)
    chosen = context.router.choose(request, view, None, 0.0)
    learned_s = chosen.compute_s / (100_000 * 3)
    assert 0.9 * token_time_s <= learned_s <= 2 * token_time_s, learned_s


def make_chain(session, tokens=6000):
    """Return the chain of a request of a session."""
    hashes = (7, xxhash.xxh3_64_intdigest(session.encode()), 9)
    ends = (500, 500 + tokens, 700 + tokens)
    return routing.PromptChain(hashes, ends, 700 + tokens, 2)


@when(
    "{nodes:d} nodes route requests of {count:d} sessions that share "
    "prompt parts"
)
def route_sessions(context, nodes, count):
    routers = [
        (routing.Router(rng=random.Random(n)), prefixes.PrefixIndex())
        for n in range(nodes)
    ]
    context.endpoints_of_session = collections.defaultdict(collections.Counter)
    for number in range(count):
        chain = make_chain(f"session {number}")
        request = build_request(number, chain=chain)
        for router, index in routers:
            chosen = router.choose(request, context.view, index, NOW_S)
            context.endpoints_of_session[number][chosen.endpoint_id] += 1


@then("the requests of a session go to one endpoint")
def check_one_endpoint(context):
    split_sessions = [
        number
        for number, c in context.endpoints_of_session.items()
        if len(c) > 1
    ]
    assert not split_sessions, split_sessions


@then("the sessions are spread over at least {min_count:d} endpoints")
def check_sessions_spread(context, min_count):
    found = {e for c in context.endpoints_of_session.values() for e in c}
    assert len(found) >= min_count, len(found)


@when("the endpoint of session {number:d} has a full batch")
def fill_endpoint(context, number):
    (context.full,) = context.endpoints_of_session[number]
    context.view.report_load(context.full, 32, 40, 32, 0.0, NOW_S)


@then("a request of session {number:d} goes elsewhere")
def check_elsewhere(context, number):
    request = build_request(1, chain=make_chain(f"session {number}"))
    index = prefixes.PrefixIndex()
    chosen = context.router.choose(request, context.view, index, NOW_S)
    assert chosen.endpoint_id != context.full


@when(
    "a peer sends a prompt of {cost_s:g} seconds to the endpoint "
    "of session {number:d}"
)
def send_peer_prompt(context, cost_s, number):
    request = build_request(1, chain=make_chain(f"session {number}"))
    index = prefixes.PrefixIndex()
    chosen = context.router.choose(request, context.view, index, NOW_S)
    context.full = chosen.endpoint_id
    context.view.add_peer_prompt(context.full, cost_s, NOW_S)


@given("endpoints of which another instance chose one that {state}")
def choose_preferred(context, state):
    view = endpoints.EndpointView(random.Random(1))
    names = [f"e{n}" for n in range(6)]
    listed = names[1:] if state == "is not listed" else names
    view.apply_list(
        [
            endpoints.Endpoint(name, "m", f"h:{name}", "d", "s", "v1")
            for name in listed
        ],
        0.0,
    )
    if state == "is busy":
        view.add_peer_prompt("e0", 5.0, 0.0)
    if state == "is leaving":
        view.mark_leaving("e0")
    excluded = {"e0"} if state == "has just failed" else set()
    request = routing.RouteRequest(
        "r", "s", {"v1": 1.0}, deadline_s=10.0, preferred="e0"
    )
    context.chosen = routing.Router().choose(
        request, view, None, 0.0, excluded
    )


@then("the chosen endpoint is {result}")
def check_preferred(context, result):
    is_taken = context.chosen.endpoint_id == "e0"
    assert is_taken == (result == "taken"), context.chosen


@when("endpoint {name} reports its work time")
def report_work_time(context, name):
    context.view.report_load(name, 0, 0, 32, 0.0, NOW_S, 1.0)


@then("they were placed by {policy}")
def check_policy(context, policy):
    found = {chosen.hold_s > 0.0 for chosen in context.chosen}
    assert found == {policy == "work"}, context.chosen


@then("a decision of a cached prompt takes at most {bound_us:g} us")
def check_decision_time(context, bound_us):
    chain = routing.PromptChain(
        tuple(range(30)), tuple(range(400, 12_400, 400)), 12_400, 20
    )
    for number in range(12):
        context.index.insert(f"a{number}", chain.hashes[:20])
    request = build_request(1, chain=chain)
    times_us = []
    for _ in range(500):
        begin_ns = time.thread_time_ns()
        context.router.choose(request, context.view, context.index, NOW_S)
        times_us.append((time.thread_time_ns() - begin_ns) / 1000.0)
    assert statistics.median(times_us) <= bound_us, statistics.median(times_us)
