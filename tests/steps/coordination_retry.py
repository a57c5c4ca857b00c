import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import retry
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state.endpoints import FailureKind
from mulberryhollow.state.environment import RequestClass

NOW_S = 100.0
CHAT = RequestClass.CHAT


@given("a retry policy with a budget of {count:d} retries")
def make_policy(context, count):
    budget = retry.RetryBudget(ratio=0.05, burst=count)
    context.policy = retry.RetryPolicy(random.Random(3), budget)


@when("a {call} request fails with {kind}")
def fail_request(context, call, kind):
    context.decision = context.policy.decide(
        1, FailureKind[kind], call == "idempotent", NOW_S + 5.0, NOW_S
    )


@when("a request that may have run fails its last attempt with {kind}")
def fail_last(context, kind):
    context.decision = context.policy.decide(
        4, FailureKind[kind], True, NOW_S + 5.0, NOW_S, may_have_run=True
    )


@when("{count:d} requests fail and nothing succeeds")
def fail_many(context, count):
    context.decisions = [
        context.policy.decide(
            1, FailureKind.CONNECT_FAILED, True, NOW_S + 5.0, NOW_S
        )
        for _ in range(count)
    ]


@when("{count:d} requests succeed")
def succeed_many(context, count):
    for _ in range(count):
        context.policy.budget.record_success()


@when("a request fails {remaining_s:g} seconds before its deadline")
def fail_late(context, remaining_s):
    context.decision = context.policy.decide(
        1, FailureKind.CONNECT_FAILED, True, NOW_S + remaining_s, NOW_S
    )


@when("{count:d} requests fail their third attempt with a large budget")
def fail_third(context, count):
    budget = retry.RetryBudget(burst=count)
    policy = retry.RetryPolicy(random.Random(3), budget)
    context.decisions = [
        policy.decide(3, FailureKind.FAILED, True, NOW_S + 5.0, NOW_S)
        for _ in range(count)
    ]


@then("the retry decision is to try again")
def check_retry(context):
    assert isinstance(context.decision, retry.RetryAfter)
    assert not context.decision.fresh_connection


@then("the retry decision is to try again, fresh")
def check_retry_fresh(context):
    assert isinstance(context.decision, retry.RetryAfter)
    assert context.decision.fresh_connection
    assert context.decision.may_have_run


@then("the retry decision is to give up as unknown")
def check_unknown(context):
    refusal = context.decision.refusal
    assert refusal.kind is RefusalKind.OUTCOME_UNKNOWN
    assert refusal.ran is ExecutionStatus.UNKNOWN


@then("the retry decision is to give up, outcome unknown")
def check_last(context):
    assert context.decision.refusal.ran is ExecutionStatus.UNKNOWN


@then("the retry decision is to give up for its deadline")
def check_late(context):
    refusal = context.decision.refusal
    assert refusal.kind is RefusalKind.DEADLINE_PASSED
    assert refusal.ran is ExecutionStatus.NOT_RUN


@then("{count:d} of them were retried")
def check_tried(context, count):
    tried = sum(
        isinstance(decision, retry.RetryAfter)
        for decision in context.decisions
    )
    assert tried == count, tried


@then("the others failed with a retry time")
def check_others(context):
    refusals = [
        decision.refusal
        for decision in context.decisions
        if isinstance(decision, retry.FailRequest)
    ]
    assert all(refusal.retry_after_s > 0 for refusal in refusals)
    assert all(refusal.ran is ExecutionStatus.NOT_RUN for refusal in refusals)


@then("for any attempt and time no retry starts past its deadline")
def check_deadlines(context):
    @hypothesis.given(
        strategies.integers(1, 10),
        strategies.sampled_from(FailureKind),
        strategies.booleans(),
        strategies.floats(-0.1, 0.3),
    )
    def check(attempt, kind, idempotent, remaining_s):
        policy = retry.RetryPolicy()
        decision = policy.decide(
            attempt, kind, idempotent, NOW_S + remaining_s, NOW_S
        )
        if isinstance(decision, retry.RetryAfter):
            assert 0 <= decision.delay_s < remaining_s
            assert idempotent or not decision.may_have_run

    check()


@then("their delays are spread from near 0 to 0.2 seconds")
def check_jitter(context):
    delays_s = [decision.delay_s for decision in context.decisions]
    assert min(delays_s) < 0.02
    assert 0.18 < max(delays_s) <= 0.2


def get_quarantine(context):
    if "quarantine" not in context:
        context.quarantine = retry.Quarantine()
    return context.quarantine


def record_crash(context, fingerprint, endpoint_id, at_s):
    crash = retry.CrashFact(fingerprint, endpoint_id, at_s)
    return get_quarantine(context).record_crash(crash)


@when("request {fingerprint} crashes endpoint {endpoint_id}")
def crash_endpoint(context, fingerprint, endpoint_id):
    record_crash(context, fingerprint, endpoint_id, 0.0)


@when("a peer reports that request {fingerprint} crashed endpoint {name}")
def merge_crash(context, fingerprint, name):
    peer = retry.Quarantine()
    peer.record_crash(retry.CrashFact(fingerprint, name, 0.0))
    get_quarantine(context).merge(peer.list_facts())


@when("{count:d} other requests crash one endpoint each")
def crash_many(context, count):
    for number in range(count):
        record_crash(context, f"other{number}", f"e{number}", 0.0)


def lose_endpoint(context, endpoint_id, requests, is_leaving):
    lost = [
        retry.LostRequest(fingerprint, state == "answering")
        for state, fingerprint in (
            request.split() for request in requests.split(" and ")
        )
    ]
    get_quarantine(context).record_loss(endpoint_id, lost, is_leaving, 0.0)


@when("endpoint {endpoint_id} ends while it runs {requests}")
def end_endpoint(context, endpoint_id, requests):
    lose_endpoint(context, endpoint_id, requests, False)


@when("leaving endpoint {endpoint_id} ends while it runs {requests}")
def end_leaving_endpoint(context, endpoint_id, requests):
    lose_endpoint(context, endpoint_id, requests, True)


@when("request {fingerprint} is completed at {at_s:g} s")
def complete_request(context, fingerprint, at_s):
    get_quarantine(context).record_completed(fingerprint, at_s)


@when("at {at_s:g} s request {fingerprint} crashes endpoint {name}")
def crash_endpoint_at(context, fingerprint, name, at_s):
    record_crash(context, fingerprint, name, at_s)


@when("a peer has quarantined request {fingerprint} at {at_s:g} s")
def mark_quarantined(context, fingerprint, at_s):
    crash = retry.CrashFact(fingerprint, "peer-endpoint", at_s)
    get_quarantine(context).mark_quarantined(crash)


@when("the quarantine expires what is old at {at_s:g} s")
def expire_quarantine(context, at_s):
    get_quarantine(context).expire(at_s)


@then("crashes and completions merge to the same quarantine in any order")
def check_merge_with_completions(context):
    names = strategies.sampled_from("ab")
    times = strategies.integers(0, 9).map(float)
    crashes = strategies.builds(
        retry.CrashFact, names, strategies.sampled_from("wxyz"), times
    )
    facts = strategies.lists(
        crashes | strategies.builds(retry.SoundFact, names, times), max_size=9
    )

    @hypothesis.given(facts, strategies.randoms(use_true_random=False))
    def check(found, rng):
        first = retry.Quarantine()
        first.merge(found)
        shuffled = found * 2
        rng.shuffle(shuffled)
        second = retry.Quarantine()
        second.merge(shuffled)
        third = retry.Quarantine()
        third.merge(first.list_facts())
        for name in "ab":
            expected = first.is_quarantined(name)
            assert second.is_quarantined(name) == expected
            assert third.is_quarantined(name) == expected

    check()


@then("request {fingerprint} is a suspect")
def check_suspect(context, fingerprint):
    assert context.quarantine.is_suspect(fingerprint)


@then("request {fingerprint} is not a suspect")
def check_no_suspect(context, fingerprint):
    assert not context.quarantine.is_suspect(fingerprint)


@then("request {fingerprint} is in quarantine")
def check_quarantined(context, fingerprint):
    context.refusal = context.quarantine.check(fingerprint)
    assert context.refusal is not None


@then("request {fingerprint} is not in quarantine")
def check_free(context, fingerprint):
    assert context.quarantine.check(fingerprint) is None


@then("its refusal is not run and has no retry time")
def check_quarantine_refusal(context):
    assert context.refusal.kind is RefusalKind.QUARANTINED
    assert context.refusal.ran is ExecutionStatus.NOT_RUN
    assert context.refusal.retry_after_s is None


@then("a fingerprint depends on service, class and body alone")
def check_fingerprint(context):
    compute = retry.compute_fingerprint
    patient = RequestClass.PATIENT
    assert compute("chat", CHAT, b"x") == compute("chat", CHAT, b"x")
    others = {
        compute("chat", CHAT, b"x"),
        compute("chat", CHAT, b"y"),
        compute("chat", patient, b"x"),
        compute("chatx", CHAT, b""),
        compute("cha", CHAT, b"tx"),
    }
    assert len(others) == 5


@then("crash facts merge to the same quarantine in any order")
def check_merge(context):
    names = strategies.sampled_from("abc")
    facts = strategies.lists(strategies.tuples(names, names), max_size=12)

    @hypothesis.given(facts, strategies.randoms(use_true_random=False))
    def check(pairs, rng):
        first = retry.Quarantine()
        for pair in pairs:
            first.record_crash(retry.CrashFact(*pair, 0.0))
        shuffled = first.list_facts() * 2
        rng.shuffle(shuffled)
        second = retry.Quarantine()
        second.merge(shuffled)
        for name in "abc":
            expected = len({e for f, e in pairs if f == name}) >= 2
            assert first.is_quarantined(name) == expected
            assert second.is_quarantined(name) == expected

    check()


@then("the quarantine holds at most {count:d} fingerprints")
def check_bound(context, count):
    assert len(context.quarantine) <= count
