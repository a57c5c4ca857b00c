import io
import itertools
import types

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import membership
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.platform import callers
from mulberryhollow.platform import headers
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import forwarder
from mulberryhollow.serving import ingress
from mulberryhollow.serving import quota_peering
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from mulberryhollow.state import facts

EVENT = b"id: 1\ndata: x\n\n"
CATALOGUE = catalogue.Catalogue(
    number=1,
    routes=(
        catalogue.Route(
            name="route",
            host="h",
            path_prefix="/p/",
            kind=catalogue.RequestKind.STREAM,
            shares=(catalogue.ServiceShare("s", 1.0),),
            timeout_s=10.0,
            goal_s=0.5,
            priority=0,
            max_endpoints=2,
        ),
    ),
    services={},
)


class Fleet:
    """Endpoints that a part of a prompt crashes, and the facts of instances.

    An endpoint that has crashed refuses connections.
    """

    def __init__(self, count, deadly_part):
        self.items = [
            endpoints.Endpoint(f"e{n}", "m", f"h:{n}", "d", "s", "v1")
            for n in range(count)
        ]
        self.crashed = set()
        self.failing = 0
        self._deadly_part = deadly_part
        self._tables = []

    def open(self, attempt, on_channel, await_answer=None):
        """Answer with one event, or crash before the head."""
        address = attempt.address
        if address in self.crashed:
            raise errors.EndpointError(streams.NotSent("refused"))
        parts = attempt.call.prompt.split(",")
        names = [part.partition(":")[0] for part in parts]
        if self.failing or self._deadly_part in names:
            self.failing -= bool(self.failing)
            self.crashed.add(address)
            raise errors.EndpointError(streams.Broken("closed"))
        return Answer()

    def has_ended(self, address):
        return not self.is_alive(address)

    def is_alive(self, address):
        return address not in self.crashed

    def join(self, name):
        """Return the peers as one more instance sees them."""
        table = facts.FactTable()
        self._tables.append(table)
        member = membership.Member(
            name, 1, "10.0.0.1:7000", "10.0.0.1:8000", "d", "r", 0.0
        )
        return types.SimpleNamespace(
            local_member=lambda: member,
            members=list,
            handle=lambda topic, handler: None,
            subscribe=table.subscribe,
            publish=self._publish,
            call=self._call,
        )

    def _publish(self, fact):
        return [table.merge(fact) for table in self._tables][0]

    @staticmethod
    def _call(name, topic, payload, timeout_s):
        raise errors.PeerError("no answer", "none")


class Answer:
    is_new_connection = True

    """A stream of one event."""

    def __init__(self):
        self.head = messages.AnswerHead(200, (), "")
        self.framing = messages.Framing.CHUNKS
        self._pieces = [EVENT]

    def wait(self, timeout_s):
        return True

    def read_piece(self, timeout_s):
        return self._pieces.pop() if self._pieces else b""

    def close(self):
        pass


class Codec:
    """Passes the header with the parts of the prompt on."""

    def encode_call(self, request, chosen, remaining_s, last_event_id):
        found = dict(request.payload.headers)
        return types.SimpleNamespace(prompt=found[headers.PROMPT_PARTS])


class Recorder:
    """Ignores what a forwarding records."""

    def record_begun(self, request):
        pass

    def record_first(self, request, elapsed_s):
        pass

    def record_end(self, request, outcome, elapsed_s):
        pass


def start_instance(context, name):
    """Return the ingress of an instance before the endpoints."""
    clock, fleet = context.clock, context.parts_fleet
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, clock)
    dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(fleet.items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 1}}),
        )
    )
    peers = fleet.join(name)
    peering = fact_peering.FactPeering(peers, clock, dispatcher, None, None)
    peering.connect()
    dispatcher.on_crash = peering.report_crash
    dispatcher.on_sound = peering.report_sound
    dispatcher.on_part_crash = peering.report_part_crash
    dispatcher.on_part_cleared = peering.report_sound_part
    forwarding = forwarder.Forwarder(
        forwarder.ForwardDependencies(
            dispatcher,
            fleet,
            Codec(),
            clock,
            caller_watch.CallerWatch(clock),
            Recorder(),
        )
    )
    quotas = quota_peering.QuotaPeering(peers, clock, dispatcher)
    found = ingress.Ingress(
        ingress.IngressDependencies(forwarding, clock, quotas)
    )
    found.apply(CATALOGUE)
    return found


@given(
    "{count:d} instances before {endpoints_count:d} endpoints that the part "
    '"{part}" crashes'
)
def make_fleet(context, count, endpoints_count, part):
    context.clock = clocks.ManualClock()
    context.request_numbers = itertools.count()
    context.parts_fleet = Fleet(endpoints_count, part)
    context.instances = [
        start_instance(context, f"i{n}") for n in range(count)
    ]


@given("the requests of the route are {kind}")
def set_kind(context, kind):
    (route,) = CATALOGUE.routes
    route = attrs.evolve(route, kind=catalogue.RequestKind[kind])
    for each in context.instances:
        each.apply(attrs.evolve(CATALOGUE, routes=(route,)))


def begin(context, instance, parts, text=None):
    """Send a request; return its forwarding, or raise RefusedError.

    Without a text, the body is one that no other request has.
    """
    number = next(context.request_numbers)
    prompt = ",".join(f"{part}:100" for part in parts)
    body = (text or f"body {number}").encode()
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/p/x",
        "HTTP_HOST": "h",
        "HTTP_ATTEMPT_ID": f"r{number}",
        "HTTP_MODEL": "m",
        "HTTP_PROMPT_PREFIX": prompt,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    incoming = callers.CallerCodec().decode(environ)
    return instance.accept(incoming, lambda: False)


def send(context, instance, parts, text=None):
    """Send a request as `begin`; return body or refusal."""
    try:
        forwarding = begin(context, instance, parts, text)
    except errors.RefusedError as error:
        return error.refusal
    try:
        return forwarding.body or b"".join(forwarding.iterate())
    finally:
        forwarding.close()


def split_parts(text, number):
    """Return the named parts and a last one that no other request has."""
    return [*text.split(", "), f"own{number}"]


def send_to_each(context, text):
    return [
        send(context, each, split_parts(text, next(context.request_numbers)))
        for each in context.instances
    ]


@when('{count:d} requests with the parts "{text}" arrive at each instance')
def send_many(context, count, text):
    for _ in range(count):
        send_to_each(context, text)


@when(
    "{count:d} endpoints crash while each has a request with the parts "
    '"{text}"'
)
def crash_endpoints(context, count, text):
    context.parts_fleet.failing = count
    for _ in range(count):
        send_to_each(context, text)


@when(
    "{count:d} endpoints crash while each has a request with the last part "
    '"{part}"'
)
def crash_with_last_part(context, count, part):
    context.parts_fleet.failing = count
    for _ in range(count):
        send(context, context.instances[0], ["first", part])


@then("{count:d} endpoints have crashed")
def check_crashed(context, count):
    assert len(context.parts_fleet.crashed) == count, (
        context.parts_fleet.crashed
    )


@then(
    'a request with the parts "{text}" is refused at each instance as not run'
)
def check_refused(context, text):
    before = set(context.parts_fleet.crashed)
    for result in send_to_each(context, text):
        assert isinstance(result, errors.Refusal), result
        assert result.kind is errors.RefusalKind.QUARANTINED, result
        assert result.ran is errors.ExecutionStatus.NOT_RUN, result
    assert context.parts_fleet.crashed == before


@then('a request with the parts "{text}" is served at each instance')
def check_served(context, text):
    for result in send_to_each(context, text):
        assert result == EVENT, result
