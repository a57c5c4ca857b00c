import contextlib
import types
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import relay
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment

TOKENS = ("a", "b")
LONG_TOKENS = ("a", "b", "c", "d")
RECLAIM_S = 0.1


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


class ReclaimedEngines(Engines):
    """Answers token by token; the first engine is reclaimed after one token.

    The engine of each token is kept.
    """

    def __init__(self, reclaim):
        super().__init__()
        self.token_sources = []
        self._reclaim = reclaim

    def generate(self, address, call, timeout_s):
        self.prompted.append(address)
        is_first = address == self.prompted[0]
        known = len(call.tokens)
        for number, token in enumerate(LONG_TOKENS[known:], known):
            if is_first and not number:
                self._reclaim()
            self.token_sources.append(address)
            yield [streams.TokenLine(call.attempt_id, number, token)]
        yield [streams.End(call.attempt_id, len(LONG_TOKENS))]

    def copy_cache(self, source, source_id, target, target_id):
        return True

    def cancel(self, address, attempt_id):
        pass


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
    context.relay_clock = clock
    context.notices = types.SimpleNamespace(
        get_reclaim_at=lambda endpoint_id: None
    )
    request = callers.CallerRequest(
        "i_1",
        "a",
        "s",
        environment.RequestClass.CHAT,
        clock.wall_s() + 10.0,
        callers.GenerateRequest("p", len(LONG_TOKENS)),
    )
    context.relay = relay.Relay(
        relay.RelayDependencies(
            context.relay_dispatcher,
            context.engines,
            clock,
            mock.Mock(),
            context.notices,
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
    check_no_load(context)


@given("its engine is reclaimed after the first token")
def set_reclaimed(context):
    relayed, clock = context.relay, context.relay_clock

    def reclaim():
        first, reclaim_at_s = relayed.served_by, clock.wall_s() + RECLAIM_S
        context.relay_dispatcher.report_leaving(first)
        context.notices.get_reclaim_at = {first: reclaim_at_s}.get

    engines = ReclaimedEngines(reclaim)
    context.engines = engines
    relayed._dependencies = attrs.evolve(
        relayed._dependencies, endpoints=engines
    )


@when("the relay runs")
def run(context):
    context.relayed = []
    with contextlib.suppress(errors.RefusedError):
        for each in context.relay.run():
            context.relayed += each


@then("the relay's answer is whole and all of it came from its first engine")
def check_first_engine(context):
    assert context.relayed == list(LONG_TOKENS), context.relayed
    first = context.engines.prompted[0]
    assert context.engines.token_sources == [first] * len(LONG_TOKENS)


@then("the relay's answer is whole and its rest came from another engine")
def check_other_engine(context):
    assert context.relayed == list(LONG_TOKENS), context.relayed
    first, other = context.engines.prompted
    assert context.engines.token_sources == [first, other, other, other]


@then("no load stays counted")
def check_no_load(context):
    loads = context.relay_dispatcher.read(
        lambda actor, now_s: actor.view.list_local_loads()
    )
    assert loads == {}, loads
