import concurrent.futures

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow import errors
from mulberryhollow.platform import endpoints as codecs
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import forwarder
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from mulberryhollow.transport import forwarding
from standins import stuttering
from tests import requests
from tests.steps import serving_forwarder

KINDS = tuple(catalogue.RequestKind)


@given("{count:d} stuttering endpoints")
def start_endpoints(context, count):
    context.endpoints = [
        stuttering.StutteringEndpoint(n) for n in range(count)
    ]
    for each in context.endpoints:
        context.add_cleanup(each.close)
    clock = clocks.SystemClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    items = [
        endpoints.Endpoint(f"e{n}", "m", each.address, "d", "s", "v1")
        for n, each in enumerate(context.endpoints)
    ]
    dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 6}}),
        )
    )
    codec = codecs.EndpointCodec()
    context.clock = clock
    context.forwarder = forwarder.Forwarder(
        forwarder.ForwardDependencies(
            dispatcher,
            forwarding.ForwardClient(codec, clock),
            codec,
            clock,
            caller_watch.CallerWatch(clock),
            serving_forwarder.Recorder(),
        )
    )


def forward(context, request_id, kind):
    """Return (status, body), or the execution status of a failure."""
    now_s = context.clock.now_s()
    target = "/stream" if kind.is_stream else "/x"
    request = requests.make_request(
        kind,
        request_id=request_id,
        arrived_s=now_s,
        deadline_s=now_s + 3.0,
        max_endpoints=3,
        payload=messages.Payload(
            "POST", target, (("Attempt-Id", request_id),), b"body"
        ),
    )
    try:
        answer = context.forwarder.forward(request)
        try:
            if answer.body is not None:
                return answer.head.status, answer.body
            return answer.head.status, b"".join(answer.iterate())
        finally:
            answer.close()
    except errors.RefusedError as error:
        return error.refusal.ran, b""
    except errors.EndpointError:
        return errors.ExecutionStatus.UNKNOWN, b""


@when("{callers:d} callers send {count:d} requests of each kind to them")
def send_requests(context, callers, count):
    names = [
        (f"{caller}-{kind.name}-{number}", kind)
        for caller in range(callers)
        for kind in KINDS
        for number in range(count)
    ]
    with concurrent.futures.ThreadPoolExecutor(callers) as threads:
        answers = threads.map(lambda each: forward(context, *each), names)
        context.answers = dict(zip(names, answers, strict=True))


def list_runs(context, request_id):
    return [run for each in context.endpoints for run in each.runs[request_id]]


@then("at least 1 in {part:d} of them end with a success")
def check_share(context, part):
    served = sum(status == 200 for status, _ in context.answers.values())
    assert served * part >= len(context.answers), served


@then("each success is the whole answer of one run")
def check_successes(context):
    for (request_id, kind), (status, body) in context.answers.items():
        expected = list_runs(context, request_id)
        if kind.is_stream:
            numbers = range(1, stuttering.EVENTS + 1)
            whole = [stuttering.make_event(request_id, n) for n in numbers]
            expected.append((200, b"".join(whole)))
        is_answer = isinstance(status, int)
        assert not is_answer or (status, body) in expected, (request_id, body)


@then(
    "no request that may not be repeated runs twice or is told "
    '"not run" after a run'
)
def check_runs(context):
    for (request_id, kind), (status, _) in context.answers.items():
        runs = len(list_runs(context, request_id))
        is_refused = status is errors.ExecutionStatus.NOT_RUN
        assert kind.is_repeatable or runs <= 1 - is_refused, (
            request_id,
            status,
            runs,
        )
