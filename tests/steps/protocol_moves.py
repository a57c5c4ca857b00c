from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import rollout
from mulberryhollow.protocol import moves

MOVE = rollout.Move("m-1", "production", "chat", "v1", "v2", 0.0, 600.0)
REPLACEMENTS = {
    "an unknown stage": (b'"planned"', b'"forward"'),
    "a share above one": (b'"share": 0.0', b'"share": 1.5'),
    "a deadline that is no time": (b"600.0", b"NaN"),
    "more than the longest record": (b'"m-1"', b'"' + b"m" * 20_000 + b'"'),
}


@given("any move record")
def define_records(context):
    context.records = strategies.builds(
        rollout.Move,
        id=strategies.text(),
        environment=strategies.text(),
        service=strategies.text(),
        from_version=strategies.text(),
        to_version=strategies.text(),
        created_s=strategies.floats(0, 1e9),
        deadline_s=strategies.floats(2e9, 3e9),
        stage=strategies.sampled_from(rollout.Stage),
        share=strategies.floats(0, 1),
        reason=strategies.text(),
        epoch=strategies.integers(0, 2**40),
    )


@when("the move record is encoded and decoded at version {version:d}")
def make_round_trip(context, version):
    context.round_trip = lambda move: moves.decode(moves.encode(move), version)


@then("the decoded move record is the same, with version {version:d}")
def check_round_trip(context, version):
    @hypothesis.given(context.records)
    def check(move):
        read = context.round_trip(move)
        assert read.version == version
        assert moves.encode(read) == moves.encode(move)

    check()


@when("the move record {text} is decoded")
def decode_malformed(context, text):
    data = text.encode()
    if text in REPLACEMENTS:
        data = moves.encode(MOVE).replace(*REPLACEMENTS[text])
    context.error = None
    try:
        moves.decode(data, 1)
    except moves.MoveFormatError as error:
        context.error = error


@then("the move codec raises an error with a message and a remedy")
def check_move_error(context):
    assert context.error is not None
    assert context.error.message and context.error.remedy


@then("any verdict survives a round trip, and each truncation is an error")
def check_verdict_round_trip(context):
    @hypothesis.given(strategies.from_type(rollout.Bad), strategies.data())
    def check(bad, data):
        message = moves.encode_verdict(bad)
        assert moves.decode_verdict(message) == bad
        length = data.draw(strategies.integers(0, len(message) - 1))
        try:
            moves.decode_verdict(message[:length])
        except moves.MoveFormatError as error:
            assert error.remedy
        else:
            raise AssertionError("a truncated verdict was decoded")

    check()
