import types
from unittest import mock

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import streams
from mulberryhollow.protocol import callers
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import relay
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment

TOKENS = ("a", "b")


class Engines:
    """Answers every prompt in full; keeps the addresses that got one."""

    def __init__(self):
        self.prompted = []

    def generate(self, address, call, timeout_s):
        self.prompted.append(address)
        yield [
            streams.TokenLine(call.attempt_id, number, token)
            for number, token in enumerate(TOKENS)
        ]
        yield [streams.End(call.attempt_id, len(TOKENS))]

    def has_ended(self, address):
        return not self.is_alive(address)

    def is_alive(self, address):
        return True


@given("a relay before {count:d} engines")
def make_relay(context, count):
    clock = clocks.ManualClock()
    actor = dispatching.DispatchActor.start(clock, 1)
    context.add_cleanup(actor.stop)
    context.relay_dispatcher = dispatching.Dispatcher(actor, clock)
    items = [
        endpoints.Endpoint(f"e{n}", "model", f"h:{n}", "d", "s", "v1")
        for n in range(count)
    ]
    context.relay_dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 1}}),
        )
    )
    context.engines = Engines()
    request = callers.CallerRequest(
        "i_1",
        "a",
        "s",
        environment.RequestClass.CHAT,
        clock.wall_s() + 10.0,
        callers.GenerateRequest("p", len(TOKENS)),
    )
    context.relay = relay.Relay(
        relay.RelayDependencies(
            context.relay_dispatcher,
            context.engines,
            clock,
            mock.Mock(),
            types.SimpleNamespace(get_reclaim_at=lambda endpoint_id: None),
        ),
        request,
        "fingerprint",
    )


@when("the first {count:d} engines that it chooses leave before the send")
def run_relay(context, count):
    dispatcher = context.relay_dispatcher
    context.left = []
    context.retried = mock.Mock(wraps=dispatcher.decide_retry)
    dispatcher.decide_retry = context.retried

    def leave(route):
        if len(context.left) < count:
            context.left.append(route.address)
            dispatcher.report_leaving(route.endpoint_id)
            dispatcher.read(lambda actor, now_s: None)

    dispatcher.on_attempt_begin = leave
    context.relayed = [token for each in context.relay.run() for token in each]


@then("the relay's answer is whole and came from the engine that stays")
def check_relayed(context):
    assert context.relayed == list(TOKENS), context.relayed
    prompted = context.engines.prompted
    assert len(prompted) == 1, prompted
    assert not set(prompted) & set(context.left), prompted


@then("the relay waited for no retry, and no load stays counted")
def check_no_retry(context):
    assert not context.retried.called, context.retried.call_args_list
    loads = context.relay_dispatcher.read(
        lambda actor, now_s: actor.view.list_local_loads()
    )
    assert loads == {}, loads
