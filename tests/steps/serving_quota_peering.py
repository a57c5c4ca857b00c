import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import quota_peering
from mulberryhollow.serving import room_admission
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from tests import requests

RULES = limits.QuotaRules()
RATE_PER_S = 0.000001
ACCOUNT = "b"  # Its usual holder is the second instance, then the third.


class Peers:
    """Passes calls to handlers; some answers are lost or never sent."""

    def __init__(self, clock):
        self.clock = clock
        self.handlers = {}
        self.lost = set()
        self.silent = set()
        self.malformed = {}
        self.asked = []

    def at(self, name):
        """Return the peers as seen by the instance of that name."""
        return types.SimpleNamespace(
            handle=lambda topic, handler: self.handlers.update(
                {(name, topic): handler}
            ),
            call=self.call,
            local_member=lambda: types.SimpleNamespace(instance_id=name),
        )

    def call(self, name, topic, payload, timeout_s):
        self.asked.append(name)
        if name in self.silent:
            self.clock.advance(timeout_s)
            raise errors.PeerError("no answer", "none")
        if name in self.malformed:
            return self.malformed[name]
        answer = self.handlers[name, topic](payload)
        if name in self.lost:
            raise errors.PeerError("no answer", "none")
        return answer


def make_peering(context, name, count):
    """Return the peering of an instance with 1000 tokens in its bucket."""
    actor = dispatching.DispatchActor.start(context.clock, 1)
    context.add_cleanup(actor.stop)
    dispatcher = dispatching.Dispatcher(actor, context.clock)
    quota = catalogue.Quota(
        RATE_PER_S, 1000.0 * count, catalogue.QuotaUnit.TOKENS
    )

    def fill(actor, now_s):
        actor.quotas.set_rules(RULES)
        actor.quotas.set_quotas({ACCOUNT: quota})
        actor.quotas.set_live_nodes(count, now_s)

    dispatcher.change(fill)
    names = ("first", "second", "third")
    others = tuple(each for each in names if each != name)
    admission = room_admission.RoomAdmission(dispatcher, context.clock, name)
    peering = quota_peering.QuotaPeering(
        context.quota_peers.at(name), context.clock, dispatcher, admission
    )
    peering.connect()
    peering.apply_collectors(sharing.Collectors((), others, live=count))
    return types.SimpleNamespace(
        peering=peering, dispatcher=dispatcher, admission=admission
    )


def get_credit(instance):
    """Drain the bucket of an instance; return the credit that was left."""
    return instance.dispatcher.read(
        lambda actor, now_s: actor.quotas.lend(ACCOUNT, 1e9, now_s)
    )


@given("{count:d} instances with 1000 tokens of credit each")
def make_peerings(context, count):
    context.clock = clocks.ManualClock()
    context.quota_peers = Peers(context.clock)
    context.instances = {
        name: make_peering(context, name, count)
        for name in ("first", "second", "third")
    }


@given("the second instance owes {debt:d} tokens")
def owe(context, debt):
    context.instances["second"].dispatcher.change(
        lambda actor, now_s: actor.quotas.reconcile(
            ACCOUNT, 1000.0 + debt, 0.0, 0.0, now_s
        )
    )


@given("the answers of the second instance are lost")
def lose_answers(context):
    context.quota_peers.lost.add("second")


@given("the second instance does not answer")
def silence(context):
    context.quota_peers.silent.add("second")


@when("the first instance asks for {wanted:d} tokens")
def ask(context, wanted):
    context.began_s = context.clock.now_s()
    context.quota_peers.asked.clear()
    context.borrowed = context.instances["first"].peering.borrow(
        "r", ACCOUNT, wanted
    )


@then("it borrowed {lent:d} tokens from {count:d} peers")
def check_lent(context, lent, count):
    assert context.borrowed.lent == lent, context.borrowed
    assert len(context.quota_peers.asked) == count, context.quota_peers.asked


@then("it learned of a debt of {owed:d} tokens")
def check_owed(context, owed):
    assert context.borrowed.owed == owed, context.borrowed


@then("the second instance has {second:d} tokens left and the third {third:d}")
def check_remaining(context, second, third):
    remaining = [
        round(get_credit(context.instances[name]))
        for name in ("second", "third")
    ]
    assert remaining == [second, third], remaining


@then("a tenth of a second has passed")
def check_time(context):
    passed_s = context.clock.now_s() - context.began_s
    assert abs(passed_s - 0.1) < 1e-6, passed_s


@given("the second and third instance hold the credit of the first")
def set_holders(context):
    names = ("second", "third")
    context.instances["first"].peering.apply_collectors(
        sharing.Collectors(names, names, is_local=False, live=3)
    )


@given("no other instance answers")
def silence_all(context):
    context.quota_peers.silent.update(("second", "third"))


@given('the second instance answers "{text}"')
def answer_malformed(context, text):
    context.quota_peers.malformed["second"] = text.encode()


@when("the first instance charges {cost:d} tokens")
def charge(context, cost):
    request = requests.make_request(account=ACCOUNT, cost=cost)
    context.refusal = None
    try:
        context.instances["first"].peering.charge(request)
    except errors.RefusedError as error:
        context.refusal = error.refusal


@then("the charge is accepted")
def check_accepted(context):
    assert context.refusal is None, context.refusal


@then("the charge is refused with a retry time")
def check_refused(context):
    assert context.refusal.retry_after_s > 0, context.refusal


@then(
    "the second instance was asked {second:d} times and the third {third:d} "
    "times"
)
def check_asked_holders(context, second, third):
    asked = context.quota_peers.asked
    counts = (asked.count("second"), asked.count("third"))
    assert counts == (second, third), asked


@given("the second instance knows the endpoints e0 to e5")
def list_endpoints(context):
    items = [
        endpoints.Endpoint(f"e{n}", "m", f"h:{n}", "d", "s", "v1")
        for n in range(6)
    ]
    context.instances["second"].dispatcher.read(
        lambda actor, now_s: (
            actor.view.apply_list(items, now_s),
            actor.shares.set_endpoint_counts({"s": {"v1": 1}}),
        )
    )


@given(
    "all of them name a rate and the second instance has permits for {allowed}"
)
def name_rates(context, allowed):
    dispatcher = context.instances["second"].dispatcher
    for number in range(6):
        dispatcher.change(
            lambda actor, now_s, number=number: actor.observe_rate(
                f"e{number}", 1.0, now_s
            )
        )
    dispatcher.permits = types.SimpleNamespace(
        list_exhausted=lambda service, account: frozenset(),
        acquire=lambda service, chosen, account: (
            routing.Permit("p") if chosen.endpoint_id == allowed else None
        ),
    )


def place(context, cost, chain):
    now_s = context.clock.now_s()
    request = requests.make_request(
        account=ACCOUNT,
        cost=cost,
        chain=chain,
        arrived_s=now_s,
        deadline_s=now_s + 10.0,
    )
    context.drawn = context.instances["first"].peering.charge(request)
    return context.drawn.placement


@then("the permit came with each placement")
def check_permit(context):
    assert context.drawn.permit == routing.Permit("p"), context.drawn


@when(
    "the first instance charges {cost:d} tokens for prompts of {tokens:d} "
    "tokens, {count:d} times"
)
def place_prompts(context, cost, tokens, count):
    context.placements = {
        place(context, cost, routing.PromptChain((number,), (tokens,), tokens))
        for number in range(count)
    }


@when(
    "the first instance charges {cost:d} tokens for one session, {count:d} "
    "times in {seconds:d} seconds"
)
def place_session(context, cost, count, seconds):
    chain = routing.PromptChain((7, 8), (9000, 9100), 9100)
    context.placements = set()
    for _ in range(count):
        context.placements.add(place(context, cost, chain))
        context.clock.advance(seconds / count)


@then("the prompts were placed at {count:d} endpoints")
def check_placements(context, count):
    assert "" not in context.placements, context.placements
    assert len(context.placements) == count, context.placements


@then("the prompts were placed at {count:d} endpoints or more")
def check_min_placements(context, count):
    assert "" not in context.placements, context.placements
    assert len(context.placements) >= count, context.placements
