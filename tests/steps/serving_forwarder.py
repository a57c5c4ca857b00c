import types
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.platform import endpoints as endpoint_codec
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import forwarder
from mulberryhollow.serving import peer_forwarding
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from tests import requests


def event(number):
    return b"id: %d\ndata: x\n\n" % number


ANSWERS = {
    "whole": (200, [b"hello"], None),
    "failed": (500, [b"sorry"], None),
    "half stream": (200, [event(1), event(2)], streams.Broken("cut")),
    "rest of stream": (200, [event(3), event(4)], None),
    "stream with a gap": (200, [event(4)], None),
    "stream cut inside an event": (200, [event(1), event(2), b"id: 3"], None),
    "stream closed after its head": (200, [], None),
    "stream without framing": (200, list(map(event, (1, 2, 3, 4))), None),
    "stream cut inside its first event": (200, [b"id: 1\ndata: x\n"], None),
    "whole stream": (200, list(map(event, (1, 2, 3, 4))), None),
    "stream with a gap at its start": (200, [event(1) + event(3)], None),
}
FAULTS = {
    "unsent": streams.NotSent("no connection"),
    "broken": streams.Broken("reset"),
    "silent": streams.Silent(1.0),
}
ENDS_OF_REFUSALS = {
    "refused": None,
    "moved": None,
    "refused with a silent end": streams.Silent(0.25),
    "refused with a broken end": streams.Broken("reset"),
    "refused with another answer": streams.Crossed("a second answer"),
}


SEAL = ("Response-Seal", "s")
LEAVING = ("Server-Leaving", "1")
PAUSE = ("Retry-After", "2")
HEADS = {
    "many running": (200, (SEAL, ("Instance-Load", "9" * 400 + ",1,8"))),
    "many queued": (200, (SEAL, ("Instance-Load", "1," + "9" * 400 + ",8"))),
    "many slots": (200, (SEAL, ("Instance-Load", "1,1," + "9" * 400))),
    "a long number": (200, (SEAL, ("Instance-Load", "1,1," + "9" * 5000))),
    "leaving": (200, (LEAVING, SEAL)),
    "unsealed": (200, ()),
    "unproved 408": (408, (SEAL,)),
    "unproved 429": (429, (SEAL,)),
    "unproved 503": (503, (SEAL,)),
    "encoded": (200, (SEAL, ("Content-Encoding", "gzip"))),
    "leaving refused": (503, (LEAVING, ("Not-Executed", "1"))),
    "leaving failed": (500, (LEAVING,)),
    "leaving moved": (421, (LEAVING,)),
    "pausing refused": (503, (PAUSE, ("Not-Executed", "1"))),
    "pausing failed": (503, (PAUSE,)),
}
UNFRAMED = ("stream closed after its head", "stream without framing")


class Answer:
    """A scripted answer that may end with a fault."""

    is_new_connection = True

    def __init__(self, head, pieces, fault, framing=messages.Framing.LENGTH):
        self.framing = framing
        self.head = head
        self.pieces = list(pieces)
        self.fault = fault

    def wait(self, timeout_s):
        return True

    def read_piece(self, timeout_s):
        if self.pieces:
            return self.pieces.pop(0)
        if self.fault is not None:
            raise errors.EndpointError(self.fault)
        return b""

    def abort(self):
        pass

    def close(self):
        pass


class Channel:
    """Connection that another request uses once its answer is closed."""

    is_aborted = False

    def abort(self):
        self.is_aborted = True


class Client:
    """Gives the next scripted outcome to each attempt."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.calls = []
        self.sent = []
        self.broken = set()
        self.lost = ""
        self.channels = []
        self.on_open = []

    def open(self, attempt, on_channel, await_answer=None):
        self.calls.append(attempt.call)
        if self.on_open:
            self.on_open.pop(0)()
        self.channels.append(Channel())
        on_channel(self.channels[-1])
        self.sent.append(attempt.call.endpoint)
        outcome = self.outcomes.pop(0)
        if outcome == "broken":
            self.broken.add(attempt.address)
        if outcome in FAULTS:
            raise errors.EndpointError(FAULTS[outcome])
        if outcome in HEADS:
            status, fields = HEADS[outcome]
            head = endpoint_codec.EndpointCodec().decode_head(
                status, (("Attempt-Id", "r1"), *fields)
            )
            return Answer(head, [b"hello"], None)
        if outcome in ENDS_OF_REFUSALS:
            head = messages.AnswerHead(
                503, (), "r1", True, is_other_endpoint=outcome == "moved"
            )
            return Answer(head, [], ENDS_OF_REFUSALS[outcome])
        status, pieces, fault = ANSWERS[outcome]
        head = messages.AnswerHead(status, (), "r1")
        if outcome in UNFRAMED:
            framing = messages.Framing.CONNECTION_CLOSE
            return Answer(head, pieces, fault, framing)
        return Answer(head, pieces, fault)

    def has_ended(self, address):
        return not self.is_alive(address)

    def is_alive(self, address):
        match self.lost:
            case "all endpoints":
                return False
            case "the broken ones":
                return address not in self.broken
        return True


class Codec:
    """Keeps the arguments of each call, so that the test can check them."""

    def encode_call(self, request, chosen, remaining_s, last_event_id):
        return types.SimpleNamespace(
            endpoint=chosen.endpoint_id,
            remaining_s=remaining_s,
            last=last_event_id,
        )


class Recorder:
    """Counts the requests that have begun."""

    def __init__(self):
        self.begun = 0

    def record_begun(self, request):
        self.begun += 1

    def record_first(self, request, elapsed_s):
        pass

    def record_end(self, request, outcome, elapsed_s):
        pass


@given("a forwarder whose endpoints answer in turn: {outcomes}")
def make_forwarder(context, outcomes):
    context.clock = clocks.ManualClock()
    actor = dispatching.DispatchActor.start(context.clock, 1)
    context.add_cleanup(actor.stop)
    context.dispatcher = dispatching.Dispatcher(actor, context.clock)
    items = [
        endpoints.Endpoint(f"e{n}", "m", f"h:{n}", "d", "s", "v1")
        for n in range(6)
    ]
    context.dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 1}}),
        )
    )
    context.told_leaving = []
    context.dispatcher.on_endpoint_leaving = context.told_leaving.append
    context.client = Client(outcomes.split(", "))
    context.recorder = Recorder()
    context.forwarder = forwarder.Forwarder(
        forwarder.ForwardDependencies(
            context.dispatcher,
            context.client,
            Codec(),
            context.clock,
            caller_watch.CallerWatch(context.clock),
            context.recorder,
        )
    )


@given("{lost} accept no connections any more")
def lose(context, lost):
    context.client.lost = lost
    context.crashes = []
    context.dispatcher.on_crash = lambda *crash: context.crashes.append(crash)


@then("the peers are told of {count:d} crashes")
def check_crashes(context, count):
    assert len(context.crashes) == count, context.crashes


class Peers(peer_forwarding.NoPeers):
    """No peers, and endpoints that are not reached by the attempts in turn."""

    def __init__(self, unreached):
        self.unreached = unreached

    def list_unreached(self, service):
        return self.unreached.pop(0)


class Permits:
    """Permits that nobody grants; keeps those that are given back."""

    def __init__(self):
        self.given_back = []

    def list_exhausted(self, service, account):
        return frozenset()

    def give_back(self, endpoint_id, permit):
        self.given_back.append((endpoint_id, permit))


@given(
    "the endpoint of a request's permit is not reached by the first attempt"
)
def lose_permitted(context):
    peers = Peers([frozenset(("e0",)), frozenset()])
    dependencies = attrs.evolve(context.forwarder._dependencies, peers=peers)
    context.forwarder = forwarder.Forwarder(dependencies)
    context.permit = routing.Permit("p", "i2")
    context.dispatcher.permits = Permits()


@when("a IDEMPOTENT request with the permit is forwarded")
def forward_permitted(context):
    forward(context, "IDEMPOTENT", placement="e0", permit=context.permit)


@then("the permit has been given back once")
def check_given_back(context):
    found = context.dispatcher.permits.given_back
    assert found == [("e0", context.permit)], found


def forward(
    context,
    kind,
    is_gone=lambda: False,
    left_s=10.0,
    is_by_room=False,
    **fields,
):
    """Forward one request to its end; keep its head, body and error."""
    now_s = context.clock.now_s()
    request = requests.make_request(
        catalogue.RequestKind[kind],
        arrived_s=now_s,
        deadline_s=now_s + left_s,
        is_admitted_by_room=is_by_room,
        **fields,
    )
    context.body, context.error, context.head = b"", None, None
    try:
        forwarding = context.forwarder.forward(request, is_gone)
    except errors.MulberryError as error:
        context.error = error
        return
    context.head = forwarding.head
    try:
        if forwarding.body is not None:
            context.body = forwarding.body
        else:
            for piece in forwarding.iterate():
                context.body += piece
    except errors.MulberryError as error:
        context.error = error
    finally:
        forwarding.close()


@when("a {kind} request is forwarded")
def forward_one(context, kind):
    forward(context, kind)


@when("a {kind} request admitted by room is forwarded with {seconds:g} s left")
def forward_by_room(context, kind, seconds):
    forward(context, kind, left_s=seconds, is_by_room=True)


@then("its caller is told to return within {seconds:g} s")
def check_latest(context, seconds):
    assert 0 < context.error.refusal.retry_after_s <= seconds


@when("the caller of a request leaves before its second attempt is connected")
def forward_leaving(context):
    def leave():
        context.is_gone = True
        context.forwarder._dependencies.watch.poll()

    context.is_gone = False
    context.client.on_open = [lambda: None, leave]
    forward(context, "IDEMPOTENT", lambda: context.is_gone)


@then("only the connection of the second attempt is aborted")
def check_aborted(context):
    aborted = [each.is_aborted for each in context.client.channels]
    assert aborted == [False, True], aborted


@when("{count:d} more {kind} requests meet pausing endpoints")
def forward_to_pausing(context, count, kind):
    context.client.outcomes = ["pausing refused"] * 4 * count
    for _ in range(count):
        forward(context, kind)


@when("{seconds:g} seconds pass at the forwarder")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@when("{count:d} more {kind} requests are answered whole")
def forward_more(context, count, kind):
    context.client.outcomes = ["whole"] * count
    for _ in range(count):
        forward(context, kind)


@when("a IDEMPOTENT request of a disconnected caller is forwarded")
def forward_gone(context):
    forward(context, "IDEMPOTENT", lambda: True)


@when("5 requests of different kinds are forwarded")
def forward_many(context):
    for kind in (
        "NON_IDEMPOTENT",
        "NON_IDEMPOTENT",
        "IDEMPOTENT",
        "STREAM",
    ):
        if context.client.outcomes:
            forward(context, kind)


@then('the caller gets "{text}" after {count:d} attempts')
def check_answer(context, text, count):
    assert context.error is None, context.error
    assert context.body == text.encode(), context.body
    assert len(context.client.calls) == count
    names = [call.endpoint for call in context.client.calls]
    assert len(set(names)) == len(names), names


@then('the caller of the last of them gets "{text}"')
def check_last_answer(context, text):
    assert context.error is None, context.error
    assert context.body == text.encode(), context.body


@then("the forwarded request ends as {ran} after {count:d} attempts")
def check_forward_refused(context, ran, count):
    assert isinstance(context.error, errors.RefusedError), context.error
    assert context.error.refusal.ran is errors.ExecutionStatus[ran], (
        context.error.refusal
    )
    assert len(context.client.calls) == count


@then("the caller gets the endpoint's own failure after {count:d} attempts")
def check_own_failure(context, count):
    assert (context.head.status, context.body) == (500, b"sorry")
    assert len(context.client.calls) == count


@then("the caller gets events 1 to 4 without a break")
def check_events(context):
    assert context.error is None, context.error
    assert context.body == b"".join(map(event, (1, 2, 3, 4))), context.body


@then("the second attempt requested the events after event 2")
def check_last_event(context):
    assert [call.last for call in context.client.calls] == ["", "2"]


@then("the caller's stream is broken off after event 2")
def check_broken_off(context):
    assert isinstance(context.error, errors.EndpointError), context.error
    assert context.body == event(1) + event(2), context.body


@then("the endpoint of the first attempt got no other request")
def check_first_endpoint(context):
    names = [call.endpoint for call in context.client.calls]
    assert names.count(names[0]) == 1, names


@then("the endpoint of the first attempt is available")
def check_available(context):
    first = context.client.calls[0].endpoint
    assert context.dispatcher.read(
        lambda actor, now_s: (
            actor.view.advance(now_s),
            actor.view.get(first).is_available(),
        )[1]
    )


@then("the caller is told to come back in {least_s:g} to {most_s:g} seconds")
def check_retry_after(context, least_s, most_s):
    refusal = context.error.refusal
    assert least_s <= refusal.retry_after_s <= most_s, refusal


@then("the peers are told of no endpoint that leaves")
def check_no_leaving_told(context):
    assert context.told_leaving == []


@then("the peers are told once that it leaves")
def check_leaving_told(context):
    assert context.told_leaving == [context.client.calls[0].endpoint]


@then("nothing is sent to an endpoint")
def check_nothing(context):
    assert isinstance(context.error, errors.CallerDisconnectedError), (
        context.error
    )
    assert not context.client.calls


@then("no endpoint has any of them in flight")
def check_in_flight(context):
    loads = context.dispatcher.read(
        lambda actor, now_s: [record.local_load for record in actor.view]
    )
    assert not any(loads), loads


@then("{count:d} request has begun")
def check_begun(context, count):
    assert context.recorder.begun == count


@given("the service of the forwarder reports work time")
def report_work_time(context):
    context.dispatcher.read(
        lambda actor, now_s: actor.view.add_peer_work_time({"s": 1})
    )


@given("each piece of an answer takes {seconds:g} s")
def delay_pieces(context, seconds):
    read_piece = Answer.read_piece

    def read_late(answer, timeout_s):
        if answer.pieces:
            context.clock.advance(seconds)
        return read_piece(answer, timeout_s)

    patch = mock.patch.object(Answer, "read_piece", read_late)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a {kind} request with a prompt of {tokens:d} tokens is forwarded")
def forward_prompt(context, kind, tokens):
    now_s = context.clock.now_s()
    request = requests.make_request(
        catalogue.RequestKind[kind],
        arrived_s=now_s,
        deadline_s=now_s + 10.0,
        chain=routing.PromptChain(tokens=tokens),
    )
    forwarding = context.forwarder.forward(request)
    if forwarding.body is None:
        list(forwarding.iterate())
    forwarding.close()


def list_learned(context):
    return context.dispatcher.read(
        lambda actor, now_s: actor.router.estimator.list_shared()
    )


@then(
    "the forwarder has learned {events:d} events and a {what} of {seconds:g} s"
)
def check_learned(context, events, what, seconds):
    learned = list_learned(context)
    name = {"gap": "s\tgap low", "whole": "s\twhole route"}[what]
    weight, total = learned[name]
    assert abs(total / weight - seconds) < 1e-6, learned
    found = learned.get("*\ts\troute", (1.0, 0.0))
    assert found == (1.0, events), learned


@then("the forwarder has learned nothing")
def check_nothing_learned(context):
    assert not list_learned(context)


def mark_leaving(dispatcher, endpoint_id):
    dispatcher.report_leaving(endpoint_id)


def drain(dispatcher, endpoint_id):
    dispatcher.change(
        lambda actor, now_s: actor.view.set_draining(endpoint_id, True)
    )


def unlist(dispatcher, endpoint_id):
    dispatcher.change(
        lambda actor, now_s: actor.view.apply_list(
            [
                record.endpoint
                for record in actor.view
                if record.endpoint.id != endpoint_id
            ],
            now_s,
        )
    )


WAYS_TO_LEAVE = {
    "says in an answer that it leaves": mark_leaving,
    "is gone at a peer": drain,
    "is not listed any more": unlist,
}


@when(
    "{count:d} of the endpoints chosen for a {kind} request {way} during the "
    "connection"
)
def forward_to_leaving(context, count, kind, way):
    """Forward a request whose first endpoints leave once they are chosen."""
    client = context.client

    def leave():
        endpoint_id = client.calls[-1].endpoint
        WAYS_TO_LEAVE[way](context.dispatcher, endpoint_id)
        context.dispatcher.read(lambda actor, now_s: None)
        context.left.append(endpoint_id)

    context.left, context.ended = [], []
    context.dispatcher.on_attempt_begin = lambda route: context.ended.append(1)
    context.dispatcher.on_attempt_end = lambda ended: context.ended.pop()
    context.retries = []
    context.dispatcher.spend_retry = context.retries.append
    client.on_open = [leave] * count
    forward(context, kind)


@then("only the endpoint that stays was sent the request")
def check_sent_to_staying(context):
    client = context.client
    assert client.sent == [client.calls[-1].endpoint], client.sent
    assert not set(client.sent) & set(context.left), client.sent


@then("no retry was spent, and no attempt or load stays counted")
def check_not_counted(context):
    assert context.retries == [], context.retries
    assert context.ended == [], context.ended
    loads = context.dispatcher.read(
        lambda actor, now_s: actor.view.list_local_loads()
    )
    assert loads == {}, loads


@when(
    "a RESUMABLE_STREAM is forwarded whose second endpoint leaves during the "
    "connection"
)
def forward_resumed_to_leaving(context):
    def leave():
        context.left = [context.client.calls[-1].endpoint]
        mark_leaving(context.dispatcher, context.left[0])
        context.dispatcher.read(lambda actor, now_s: None)

    context.client.on_open = [lambda: None, leave]
    forward(context, "RESUMABLE_STREAM")


@then("the endpoint that left was not sent the stream")
def check_stream_not_sent(context):
    sent = context.client.sent
    assert len(sent) == 2 and not set(sent) & set(context.left), sent


@given("its instance ends its requests in {seconds:g} s")
def set_stop(context, seconds):
    end_s = context.clock.now_s() + seconds
    context.forwarder._dependencies.stop.end_s = end_s


@given("each attempt of the forwarder takes {seconds:g} s")
def delay_attempts(context, seconds):
    context.client.on_open = [
        lambda: context.clock.advance(seconds) for _ in range(4)
    ]


@when("a {kind} request is forwarded with {seconds:g} s left")
def forward_with_deadline(context, kind, seconds):
    forward(context, kind, left_s=seconds)


@then("the endpoint was told at most {seconds:g} s")
def check_told(context, seconds):
    (call,) = context.client.calls
    assert call.remaining_s <= seconds, call.remaining_s


@then("no endpoint of the forwarder counts as failing")
def check_no_failures(context):
    failures = context.dispatcher.read(
        lambda actor, now_s: [record.circuit.failures for record in actor.view]
    )
    assert not any(failures), failures


@then("the answer of the forwarder is broken off after {count:d} attempts")
def check_stopped_stream(context, count):
    check_broken_off(context)
    assert len(context.client.calls) == count
