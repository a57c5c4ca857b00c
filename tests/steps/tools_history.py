import pathlib
import tempfile

import attrs
from behave import given
from behave import then
from behave import when

from tools.history import checker
from tools.history import expected
from tools.history import record

_START_S = 1_000.0


def sent(call, kind, text, at_s=1.0, **fields):
    """Return a request that was sent to entry e1."""
    at_s = _START_S + at_s
    return record.Sent(
        at_s=at_s, call=call, entry="e1", kind=kind, text=text, **fields
    )


def answered(call, outcome="done", at_s=2.0, **fields):
    """Return the answer to a call."""
    fields.setdefault("request_id", f"r-{call}")
    at_s = _START_S + at_s
    return record.Answered(at_s=at_s, call=call, outcome=outcome, **fields)


def step(endpoint, kind, request_id, name="ran", at_s=1.5, **fields):
    """Return an entry of an endpoint's ledger."""
    return record.EndpointStep(
        at_s=_START_S + at_s,
        endpoint=endpoint,
        step=name,
        kind=kind,
        request_id=request_id,
        **fields,
    )


def chat(call, prompt, answer_prompt=None, count=3, tokens=3):
    """Return a chat request for three tokens and its answer."""
    text = expected.make_text("1", answer_prompt or prompt, count)
    return [
        sent(call, "chat", prompt, max_tokens=3),
        answered(call, content=text, tokens=tokens),
    ]


def booking(call, key, at_s=1.0, **fields):
    """Return a booking request and its answer."""
    return [
        sent(call, "booking", "s1", at_s, key=key),
        answered(call, at_s=at_s + 1, **fields),
    ]


def ran_booking(endpoint, call, key):
    """Return the ledger entry of a booking that ran."""
    return step(
        endpoint,
        "booking",
        f"r-{call}",
        key=key,
        slot="s1",
        booking_id=f"{endpoint}-1",
    )


def arrived_at_leaving(after_s):
    """Return a reclaim notice and a request that arrives later."""
    return [
        record.LeavingNotice(
            at_s=_START_S, endpoints=("m1",), reclaim_at_s=_START_S + 9
        ),
        step("m1", "generate", "r-late", "arrived", at_s=after_s),
    ]


def configuration(at_s, version):
    return record.ConfigurationSeen(
        at_s=_START_S + at_s,
        instance="e1",
        environment="production",
        version=version,
    )


def published(until_s):
    """Return version 5 accepted at 4 s and later readings of version 4.

    The readings are one second apart, from 5 s to `until_s`.
    """
    first = record.Published(
        at_s=_START_S + 4.0, environment="production", version=5
    )
    readings = [configuration(at_s, 4) for at_s in range(5, int(until_s) + 1)]
    return [first, *readings]


def revision(at_s, number):
    return record.StoreRevision(
        at_s=_START_S + at_s, kind="claim", name="b1", revision=number
    )


def move(at_s, state, name="move-2"):
    return record.MoveSeen(
        at_s=_START_S + at_s, move=name, state=state, deadline_s=_START_S + 10
    )


def crashes(count):
    """Return crashes of several endpoints by one prompt."""
    return [
        record.Crashed(at_s=_START_S + index, endpoint=f"m{index}", text="x")
        for index in range(count)
    ]


def sent_after_rollback(at_s):
    """Return a look-up sent after its version was rolled back at 1 s."""
    result = expected.make_result("2", "q")
    return [
        attrs.evolve(move(1.0, "rolled_back"), to_version="2"),
        sent("l3", "lookup", "q", at_s),
        answered("l3", at_s=at_s + 0.1, content=result, version="2"),
    ]


def lost_after_stop(event):
    """Return a call lost after a planned stop and another event."""
    return [
        sent("c9", "chat", "x", max_tokens=3),
        record.StopPlanned(at_s=_START_S + 1.5, instance="e1"),
        event,
        answered("c9", "lost"),
    ]


def ended_call(outcome, **fields):
    """Return a call that ended without a complete answer."""
    return [
        sent("c8", "chat", "x", max_tokens=3),
        answered("c8", outcome, **fields),
    ]


_KILLED = record.Killed(at_s=_START_S + 1.7, instance="e1")
_PLANTED = {
    "a second run of a booking elsewhere": [ran_booking("p2", "b1", "k1")],
    "an answer with another booking's id": booking("b7", "k1", content="p7-9"),
    "a run of an attempt at what was refused as not run": [
        step("m1", "generate", "r-refused~0.2")
    ],
    "a run of a request refused as not run": [
        step("m1", "generate", "r-refused")
    ],
    "a resend refused as not run after a run": booking(
        "b8", "k1", at_s=3.0, outcome="refused", ran="not run"
    ),
    "an answer cut short": chat("c3", "x", count=2),
    "an answer to another prompt": chat("c3", "x", answer_prompt="y"),
    "an answer with too low a token count": chat("c3", "x", tokens=2),
    "a look-up's result of another query": [
        sent("l2", "lookup", "q"),
        answered("l2", content=expected.make_result("1", "other")),
    ],
    "one request id on two calls": [
        sent("c4", "chat", "x", max_tokens=3),
        answered("c4", "refused", request_id="r-c1", ran="outcome unknown"),
    ],
    "a request that ended three endpoints": crashes(3),
    "a request that ended two endpoints": crashes(2),
    "an answer that is not typed": ended_call("malformed"),
    "a refusal that does not say whether it ran": ended_call("refused"),
    "a call lost at a running entry": ended_call("lost"),
    "a call without an end": [sent("c5", "chat", "x", max_tokens=3)],
    "work at a leaving endpoint after 3.1 s": arrived_at_leaving(3.1),
    "work at a leaving endpoint after 2.9 s": arrived_at_leaving(2.9),
    "a configuration going back": [configuration(5.0, 3)],
    "a configuration in force after 8 s": published(12.0),
    "a configuration in force after 6 s": published(10.0),
    "a configuration read after a gap": published(12.0)[:1]
    + [configuration(12.0, 4)],
    "a store revision going back": [revision(5.0, 3)],
    "a move without an end": [move(1.0, "shifting"), configuration(11.0, 4)],
    "a move without an end before its deadline": [move(1.0, "shifting")],
    "a request to a version taken back": sent_after_rollback(4.5),
    "a request to a version just taken back": sent_after_rollback(3.5),
    "a move that ends after its deadline": [move(10.5, "done")],
    "a move that ends twice": [move(9.5, "rolled_back", name="move-1")],
    "a call cut off by a planned stop": lost_after_stop(configuration(1.7, 4)),
    "a call lost with a killed entry": lost_after_stop(_KILLED),
    "a refusal that says outcome unknown": booking(
        "b9", "k9", outcome="refused", ran="outcome unknown"
    )
    + [ran_booking("p1", "b9", "k9")],
}


@given("a clean history")
def make_clean_history(context):
    context.history = [
        *chat("c1", "hello there"),
        step("m1", "generate", "r-c1"),
        sent("l1", "lookup", "free on monday"),
        answered("l1", content=expected.make_result("1", "free on monday")),
        step("p1", "lookup", "r-l1"),
        *booking("b1", "k1", content="p1-1"),
        *booking("b2", "k1", content="p1-1"),
        ran_booking("p1", "b1", "k1"),
        sent("refused", "chat", "x", max_tokens=3),
        answered("refused", "refused", ran="not run"),
        configuration(1.0, 3),
        configuration(4.0, 4),
        revision(1.0, 3),
        revision(4.0, 4),
        move(1.0, "planned", name="move-1"),
        move(9.0, "done", name="move-1"),
    ]


@when("the history also contains {planted}")
def plant(context, planted):
    context.history += _PLANTED[planted]


@when("the history is written and read again")
def write_and_read(context):
    recorder = record.Recorder()
    for event in context.history:
        recorder.add(event)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "history"
        recorder.dump(path)
        context.history = record.load(path)


@then("the checker finds nothing")
def check_clean(context):
    assert checker.check(context.history) == []


@then('the checker finds only "{rule}"')
def check_found(context, rule):
    found = checker.check(context.history)
    assert {violation.rule for violation in found} == {rule}, found
