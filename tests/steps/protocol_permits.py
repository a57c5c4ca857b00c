import json

from behave import then

from mulberryhollow.protocol import permits


def parse_rate(text):
    return None if text == "none" else float(text)


@then(
    "a question with a named rate of {named} and a cold rate of {cold:g} is "
    "read at level {level:d} as {read_named} and {read_cold:g}"
)
def check_question(context, named, cold, level, read_named, read_cold):
    question = permits.PermitQuestion(
        "e", "a", "p", parse_rate(named), 0.5, 6, cold
    )
    payload = permits.encode_question(question, level)
    if not level:
        assert len(json.loads(payload)) == permits.LEVEL_0_FIELDS
    found = permits.decode_question(payload)
    # The rate of a cold endpoint counts as observed now.
    age_s = 0.5 if parse_rate(named) == parse_rate(read_named) else 0.0
    assert found == permits.PermitQuestion(
        "e", "a", "p", parse_rate(read_named), age_s, 6, read_cold
    )


@then("a question with a cold rate below 0 is refused")
def check_malformed_question(context):
    payload = json.dumps(
        ["e", "a", "p", None, 0.5, 6, {"cold_per_s": -1.0}]
    ).encode()
    try:
        permits.decode_question(payload)
    except ValueError:
        return
    raise AssertionError("the question was accepted")
