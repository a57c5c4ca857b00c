import random

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import booking
from mulberryhollow.state import objects

KEY_CREATED_S = 1764806400


class ClaimStore:
    """One stored object with conditional writes and injected faults.

    The faults are lost answers of applied writes and an outage.
    """

    def __init__(self):
        self.version = 0
        self.value = None
        self.writes = 0
        self.lose_answers = 0
        self.is_down = False

    def read(self):
        if self.value is None:
            return None
        return objects.StoredObject("claims", "b", self.version, self.value)

    def write(self, write):
        if self.is_down:
            return objects.WriteRejected("unavailable")
        if write.expected_version != self.version:
            return objects.WriteRejected("conflict", self.version)
        self.version += 1
        self.value = write.value
        self.writes += 1
        if self.lose_answers:
            self.lose_answers -= 1
            return objects.WriteOutcomeUnknown("connection cut")
        return objects.WriteApplied(self.version)


class Owner:
    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.bucket = booking.Bucket("b")
        self.results = {}
        self.pending_write = None

    def collect(self, answers):
        self.results.update({each.token: each.result for each in answers})

    def start(self):
        """Perform the reads; return the next write, if any."""
        action, answers = self.bucket.step()
        self.collect(answers)
        if isinstance(action, booking.Read):
            if self.store.is_down:
                self.collect(self.bucket.fail_read("down"))
                return None
            self.bucket.finish_read(self.store.read())
            return self.start()
        return action

    def finish(self, write):
        self.collect(self.bucket.finish_write(self.store.write(write)))

    def run(self):
        for _ in range(20):
            write = self.start()
            if write is None:
                return
            self.finish(write)

    def claim(self, key, body="body"):
        self.bucket.submit_claim(key, make_claim(key, self.name, body))


def make_claim(key, owner, body="body", serial=0):
    request_id = f"{owner}-{key}-{serial}"
    return booking.Claim(
        key,
        body,
        request_id,
        1,
        "e1",
        "127.0.0.1:1",
        KEY_CREATED_S + 5,
        KEY_CREATED_S,
    )


@given("two owners of one claim bucket")
def make_owners(context):
    context.store = ClaimStore()
    context.first = Owner(context.store, "first")
    context.second = Owner(context.store, "second")


@given("the store applies the next claim write and loses its answer")
def lose_answer(context):
    context.store.lose_answers = 1


@given("the store is down for claims")
def stop_store(context):
    context.store.is_down = True


@when('both owners claim key "{key}" at once')
def claim_both(context, key):
    owners = [context.first, context.second]
    for owner in owners:
        owner.claim(key)
    writes = [(owner, owner.start()) for owner in owners]
    for owner, write in writes:
        owner.finish(write)
    for owner in owners:
        owner.run()


@when("the first owner claims {count:d} keys one after another")
def claim_many(context, count):
    context.first.claim("k0")
    write = context.first.start()
    for number in range(1, count):
        context.first.claim(f"k{number}")
    context.first.finish(write)
    context.first.run()
    granted = context.first.results.values()
    assert sum(isinstance(each, booking.Granted) for each in granted) == count


@when('the first owner claims key "{key}" and pauses before reading again')
def claim_and_pause(context, key):
    context.first.claim(key)
    context.first.finish(context.first.start())


@when('the second owner resolves key "{key}" as not run')
def resolve_not_run(context, key):
    record(context.second, key, "first", booking.ClaimState.NOT_RUN)


@then('the first owner is not granted key "{key}" when it resumes')
def check_not_granted(context, key):
    context.first.run()
    assert isinstance(context.first.results[key], booking.Held)


def record(owner, key, runner, state):
    finished = attrs.evolve(make_claim(key, runner), state=state)
    owner.bucket.submit_outcome("outcome", finished)
    owner.run()


@when('the first owner runs key "{key}" and records done')
def run_done(context, key):
    context.first.claim(key)
    context.first.run()
    record(context.first, key, "first", booking.ClaimState.DONE)


@when("the second owner records not run for the same attempt")
def record_not_run(context):
    record(context.second, "a", "first", booking.ClaimState.NOT_RUN)


@then('the stored state of key "{key}" is done')
def check_done(context, key):
    claims = booking.decode_claims(context.store.value)
    assert claims[key].state is booking.ClaimState.DONE


@when('the first owner claims key "{key}"')
def claim_first(context, key):
    context.first.claim(key)
    context.first.run()


@when('the second owner claims key "{key}" with another body')
def claim_other_body(context, key):
    context.second.claim(key, "other")
    context.second.run()


@then("the second owner gets the result that the key is reused")
def check_reused(context):
    assert isinstance(context.second.results["a"], booking.KeyReused)


@then('the first owner gets the result that key "{key}" is unwritten')
def check_unwritten(context, key):
    assert isinstance(context.first.results[key], booking.Unwritten)


@then('exactly one owner is granted key "{key}"')
def check_one_granted(context, key):
    results = [context.first.results[key], context.second.results[key]]
    kinds = sorted(type(result).__name__ for result in results)
    assert kinds == ["Granted", "Held"], kinds


@then("the store accepted at most {count:d} claim writes")
def check_writes(context, count):
    assert context.store.writes <= count, context.store.writes


@then("random histories of 3 claim owners grant each attempt to one owner")
def check_random(context):
    for seed in range(200):
        run_history(random.Random(seed))


def run_history(rng):
    """Interleave claims, lost answers and resolutions of two keys."""
    store = ClaimStore()
    owners = [Owner(store, f"o{number}") for number in range(3)]
    pending = {}
    for serial in range(60):
        owner = rng.choice(owners)
        key = rng.choice("ab")
        store.lose_answers = rng.random() < 0.3
        store.is_down = rng.random() < 0.1
        if owner in pending:
            owner.finish(pending.pop(owner))
        elif rng.random() < 0.5:
            token = (key, serial)
            claim = make_claim(key, owner.name, serial=serial)
            owner.bucket.submit_claim(token, claim)
        else:
            resolve_at_random(rng, store, owner, key)
        write = None if owner in pending else owner.start()
        if write is not None:
            pending[owner] = write
    check_history(owners)


def resolve_at_random(rng, store, owner, key):
    stored = booking.decode_claims(store.value or b"[]").get(key)
    if stored is not None:
        state = rng.choice([booking.ClaimState.NOT_RUN])
        finished = attrs.evolve(stored, state=state)
        owner.bucket.submit_outcome(("end", key, rng.random()), finished)


def check_history(owners):
    """Each attempt number of a key was granted under one request id."""
    granted = {}
    for owner in owners:
        for result in owner.results.values():
            if isinstance(result, booking.Granted):
                claim = result.claim
                attempt_key = claim.identity, claim.attempt
                granted.setdefault(attempt_key, set()).add(claim.request_id)
    assert all(len(ids) == 1 for ids in granted.values()), granted


@then('booking key "{text}" at age {age_s:d} seconds is {kind}')
def check_key(context, text, age_s, kind):
    found = booking.parse_key("desk", text, KEY_CREATED_S + age_s)
    assert type(found).__name__ == kind, found


@then("no booking key that is still accepted is in an expired bucket")
def check_expiry(context):
    text = f"{KEY_CREATED_S}-7f3a9c21e4"
    bucket = booking.parse_key("a", text, KEY_CREATED_S).bucket
    for age_s in range(0, booking.KEY_LIFETIME_S + 1, 60):
        for now_s in (KEY_CREATED_S + age_s, KEY_CREATED_S + age_s + 0.9):
            key = booking.parse_key("a", text, now_s)
            if isinstance(key, booking.BookingKey):
                expired = booking.list_expired_buckets(now_s)
                assert bucket not in expired, age_s
    late_s = KEY_CREATED_S + booking.KEY_LIFETIME_S + 1800
    assert bucket in booking.list_expired_buckets(late_s)
