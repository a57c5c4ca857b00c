import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination.membership import Exchange
from mulberryhollow.protocol import peers
from mulberryhollow.state.facts import Fact
from mulberryhollow.state.facts import FactId

KEY = b"k" * 32
SENT_S = 1_000.0
NUMBERS = strategies.integers(-(1 << 63), (1 << 63) - 1)
IDS = strategies.builds(
    FactId, strategies.text(max_size=9), strategies.text(max_size=9), NUMBERS
)
FACTS = strategies.builds(
    Fact,
    strategies.text(max_size=9),
    strategies.text(max_size=9),
    NUMBERS,
    strategies.binary(max_size=40),
    strategies.floats(0, 1e10),
)
EXCHANGES = strategies.builds(
    Exchange,
    NUMBERS,
    strategies.lists(FACTS, max_size=3).map(tuple),
    strategies.lists(IDS, max_size=3).map(tuple),
    strategies.lists(IDS, max_size=3).map(tuple),
    strategies.lists(NUMBERS, max_size=3).map(tuple),
    strategies.integers(0, 10_000),
)


def make_envelope(sender="i-1", incarnation=5, sequence=1, sent_s=SENT_S):
    envelope = peers.Envelope(
        sender, incarnation, sequence, sent_s, "h:1", "topic", b"payload", b"r"
    )
    return peers.sign(envelope, KEY)


def find_refusal(function, *arguments):
    try:
        function(*arguments)
    except peers.EnvelopeError as error:
        return error.kind
    return None


@then("any exchange survives an encoding round trip")
def check_round_trip(context):
    @hypothesis.given(EXCHANGES)
    def check(exchange):
        payload = peers.encode_exchange(exchange)
        assert peers.decode_exchange(payload) == exchange

    check()


@then("decoding any bytes returns an exchange or raises an envelope error")
def check_malformed_payload(context):
    encoded = peers.encode_exchange(
        Exchange(1, (Fact("verdict", "a", 1, b"x"),), digests=(1, 2))
    )
    truncated = strategies.integers(0, len(encoded) - 1).map(
        lambda end: encoded[:end]
    )

    @hypothesis.given(strategies.one_of(strategies.binary(), truncated))
    def check(payload):
        find_refusal(peers.decode_exchange, payload)

    check()
    assert find_refusal(peers.decode_exchange, b"") == "malformed"


@given("a signed envelope")
def make_signed(context):
    context.envelope = make_envelope()
    context.guard = peers.ReplayGuard()


@then("the envelope verifies with the key that signed it")
def check_key(context):
    assert find_refusal(peers.verify, context.envelope, KEY) is None


@then("the envelope fails verification with another key")
def check_other_key(context):
    assert find_refusal(peers.verify, context.envelope, b"x") == "signature"


@then("the envelope fails verification when any one field is changed")
def check_fields(context):
    changes = {int: 9, float: 9.0, str: "changed", bytes: b"changed"}
    fields = attrs.asdict(context.envelope)
    assert len(fields) == 9
    for name, value in fields.items():
        changed = attrs.evolve(
            context.envelope, **{name: changes[type(value)]}
        )
        assert find_refusal(peers.verify, changed, KEY) == "signature", name


@when("the replay guard has accepted the envelope")
def accept_envelope(context):
    context.guard.check(context.envelope, SENT_S)


@when("the replay guard has accepted a later incarnation of the sender")
def accept_later_incarnation(context):
    context.guard.check(make_envelope(incarnation=6), SENT_S)


@then('the replay guard refuses the envelope as "{kind}"')
def check_refused(context, kind):
    found = find_refusal(context.guard.check, context.envelope, SENT_S)
    assert found == kind


@then(
    'the replay guard refuses the envelope {by_s:d} seconds {side} as "{kind}"'
)
def check_stale(context, by_s, side, kind):
    wall_s = SENT_S + (by_s if side == "late" else -by_s)
    found = find_refusal(context.guard.check, context.envelope, wall_s)
    assert found == kind


@then("sequence numbers 3, 1 and 2 are accepted and a second 2 is refused")
def check_reordered(context):
    context.guard = peers.ReplayGuard()
    found = [
        find_refusal(context.guard.check, make_envelope(sequence=n), SENT_S)
        for n in (3, 1, 2, 2)
    ]
    assert found == [None, None, None, "replayed"]


@then("a sequence number far below the highest is refused")
def check_window(context):
    context.guard.check(make_envelope(sequence=5_000), SENT_S)
    low = make_envelope(sequence=4)
    assert find_refusal(context.guard.check, low, SENT_S) == "replayed"


@given("a replay guard for 2 senders")
def make_small_guard(context):
    context.guard = peers.ReplayGuard(max_senders=2)


@then("a third sender is refused while two are fresh")
def check_full(context):
    context.guard.check(make_envelope("a"), SENT_S)
    context.guard.check(make_envelope("b"), SENT_S)
    third = make_envelope("c")
    assert find_refusal(context.guard.check, third, SENT_S) == "stale"


@then("the third sender is accepted when the other two can no longer be fresh")
def check_eviction(context):
    later_s = SENT_S + 61
    context.guard.check(make_envelope("c", sent_s=later_s), later_s)
    assert len(context.guard) == 1


@then("many envelopes of one sender keep a bounded number of sequence numbers")
def check_bound(context):
    guard = peers.ReplayGuard()
    unsigned = attrs.evolve(make_envelope(), mac=b"")
    for sequence in range(5_000):
        guard.check(attrs.evolve(unsigned, sequence=sequence), SENT_S)
    assert guard.count_sequence_numbers() <= 2_049
