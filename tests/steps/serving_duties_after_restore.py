import contextlib
import itertools
import random

import attrs
from behave import given
from behave import then
from behave import when
import urllib3

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import duties
from mulberryhollow import errors
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import duties as duty_managers
from mulberryhollow.state import objects
from mulberryhollow.transport import store
from standins import platform

RULES = duties.LeaseRules()
LEASE_S = 3.0
CALL_S = RULES.takeover_s - RULES.hold_s
STEP_S = 0.25
LEASE_OBJECT = ("duty", duty_managers.LEASE_OBJECT_NAME)


class Link:
    """Way of one instance to the store, with planned faults.

    `faults` has one entry for each write to come: "lost" (executed, no
    answer), "dropped", "late" (executed after `late_s`, no answer) or None.
    """

    def __init__(self, platform_store, clock):
        self.store = platform_store
        self.clock = clock
        self.is_cut = False
        self.late_s = 1.0
        self.faults = []
        self.late = []

    def request(self, method, path, body=None, headers=None, timeout=None):
        if self.is_cut:
            raise urllib3.exceptions.ReadTimeoutError(None, path, "cut")
        is_write = method != "GET"
        match self.faults.pop(0) if is_write and self.faults else None:
            case "dropped":
                raise urllib3.exceptions.ReadTimeoutError(None, path, "lost")
            case "late":
                due_s = self.clock.elapsed_s() + self.late_s
                self.late.append((due_s, method, path, body))
                raise urllib3.exceptions.ReadTimeoutError(None, path, "late")
            case "lost":
                self.store.request(method, path, body)
                raise urllib3.exceptions.ReadTimeoutError(None, path, "lost")
        return self.store.request(method, path, body)

    def execute_late(self):
        """Execute the late writes that are due."""
        now_s = self.clock.elapsed_s()
        due = [each for each in self.late if each[0] <= now_s]
        self.late = [each for each in self.late if each[0] > now_s]
        for _, method, path, body in due:
            self.store.request(method, path, body)


@attrs.frozen
class Act:
    """A duty call as the platform receives it."""

    at_s: float
    holder: str
    token: int


class RecordedDuty:
    """Duty that makes a call at each tick; calls take up to `delay_s`."""

    def __init__(self, name, clock, acts):
        self.name = name
        self.clock = clock
        self.acts = acts
        self.delay_s = lambda: 0.0
        self.ends_s = 0.0

    def begin(self):
        pass

    def work(self, fence, is_held):
        now_s = self.clock.elapsed_s()
        if now_s < self.ends_s:
            return
        self.ends_s = now_s + self.delay_s()
        self.acts.append(Act(self.ends_s, self.name, fence))


class Candidate:
    """One instance: its duty manager and its way to the store."""

    def __init__(self, name, platform_store, clock, acts):
        self.name = name
        self.link = Link(platform_store, clock)
        self.client = store.StoreClient(
            "127.0.0.1:1", dialect=dialects.PlatformDialect()
        )
        self.client._pool = self.link
        self.duty = RecordedDuty(name, clock, acts)
        self.manager = duty_managers.DutyManager(
            name, self.client, clock, (self.duty,), RULES
        )
        self.is_frozen = False

    def step(self):
        self.link.execute_late()
        if not self.is_frozen:
            with contextlib.suppress(errors.StoreUnavailableError):
                self.manager.tick()


class Site:
    """Candidates over one store."""

    def __init__(self, names):
        self.clock = clocks.ManualClock(100.0)
        self.store = platform.PlatformStore(era=1)
        self.acts = []
        self.candidates = []
        for name in names:
            self.start(name)

    def start(self, name):
        self.candidates.append(
            Candidate(name, self.store, self.clock, self.acts)
        )

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for each in self.candidates:
                each.step()

    def find_holders(self):
        return [each for each in self.candidates if each.manager.is_held()]

    def run_until_held(self):
        for _ in range(100):
            self.run(STEP_S)
            if self.find_holders():
                return self.find_holders()[0]
        raise AssertionError("nobody holds the lease")


@given("duty managers a, b and c over a store that can be restored")
def make_three(context):
    context.site = Site("abc")


@given("duty managers a and b over a store that can be restored")
def make_two(context):
    context.site = Site("ab")


@given("both become candidates {seconds:g} seconds after their first contact")
def become_candidates_late(context, seconds):
    clock = context.site.clock
    begin_s = clock.elapsed_s()
    for each in context.site.candidates:
        each.client.get("other", "object")
        each.manager._is_candidate = lambda: (
            clock.elapsed_s() - begin_s >= seconds
        )
    context.site.store.calls.clear()


@then(
    "one duty manager holds the lease and the store was read once a second "
    "at most"
)
def check_held_soon(context):
    assert len(context.site.find_holders()) == 1
    reads = [each for each in context.site.store.calls if each[0] == "GET"]
    assert len(reads) <= 2 * 3, reads


@given("a copy of the store in which the lease is {content}")
def make_copy(context, content):
    site = context.site
    match content:
        case "absent":
            context.saved = site.store.copy()
        case "held":
            holder = site.run_until_held()
            context.saved = site.store.copy()
            holder.link.is_cut = True
            site.run(8.0)
            holder.link.is_cut = False
        case "released":
            first = site.run_until_held()
            first.manager.release()
            context.saved = site.store.copy()
            site.candidates.remove(first)
    assert (LEASE_OBJECT in context.saved.objects) == (content != "absent")


@when("one duty manager holds the duties")
def hold(context):
    context.holder = context.site.run_until_held()
    context.site.run(5.0)
    assert context.site.find_holders() == [context.holder]


@when("the store is restored from that copy {times:d} times")
def restore(context, times):
    for _ in range(times):
        context.site.store.restore(context.saved)
        context.site.run(STEP_S)
        context.restored_s = context.site.clock.elapsed_s()


@when("it is cut off from the store, which is restored from that copy")
def cut_and_restore(context):
    context.holder.link.is_cut = True
    context.site.store.restore(context.saved)
    context.restored_s = context.site.clock.elapsed_s()


@when(
    "the store is restored {times:d} times from copies of {age_s:g} seconds "
    "before, {gap_s:g} seconds apart"
)
def restore_repeatedly(context, times, age_s, gap_s):
    site = context.site
    context.restores_s = []
    for _ in range(times):
        saved = site.store.copy()
        site.run(age_s)
        site.store.restore(saved)
        context.restores_s.append(site.clock.elapsed_s())
        site.run(gap_s - age_s)
    site.run(age_s)


@then("the holder acted within the lease time of each restore")
def check_acted_soon(context):
    waits = [
        min(
            (
                each.at_s - restored_s
                for each in context.site.acts
                if each.holder == context.holder.name
                and each.token >= objects.make_version(era, 0)
            ),
            default=None,
        )
        for era, restored_s in enumerate(context.restores_s, 2)
    ]
    assert all(wait_s is not None and wait_s <= LEASE_S for wait_s in waits), (
        waits
    )


@then("nobody else acted since the first of these restores")
def check_nobody_else(context):
    names = {
        each.holder
        for each in context.site.acts
        if each.at_s > context.restores_s[0]
    }
    assert names == {context.holder.name}, names


@when(
    "it is cut off for {cut_s:g} seconds and the store is restored from a "
    "copy of before"
)
def restore_after_cut(context, cut_s):
    site = context.site
    context.saved = site.store.copy()
    context.holder.link.is_cut = True
    site.run(cut_s)
    context.holder.link.is_cut = False
    site.store.restore(context.saved)
    context.restored_s = site.clock.elapsed_s()


@when("duty manager {name} starts")
def start_one(context, name):
    context.site.start(name)


@when("the duty managers run for {seconds:g} seconds")
def run_site(context, seconds):
    context.site.run(seconds)


@when("it is cut off until the other one acts, which then releases")
def alternate(context):
    site = context.site
    context.holder.link.is_cut = True
    while context.holder.manager.is_held():
        site.run(STEP_S)
    # The last call is on its way for as long as a call may be.
    last = site.acts.pop()
    site.acts.append(attrs.evolve(last, at_s=last.at_s + CALL_S - STEP_S))
    other = site.run_until_held()
    assert other is not context.holder
    context.holder.link.is_cut = False
    site.run(STEP_S)
    other.manager.release()


@when("the next {write} of the lease is carried out {late_s:g} seconds late")
def make_late(context, write, late_s):
    site, holder = context.site, context.holder
    for each in site.candidates:
        each.link.late_s = late_s
        each.duty.delay_s = lambda: CALL_S - STEP_S
    context.late_links = [holder.link]
    match write:
        case "takeover":
            context.late_links = [
                each.link for each in site.candidates if each is not holder
            ]
            holder.link.is_cut = True
        case "release":
            while site.clock.elapsed_s() < holder.duty.ends_s:
                site.clock.advance(STEP_S)
    for link in context.late_links:
        link.faults = ["late"]
    if write == "release":
        holder.manager.release()
        site.start(holder.name)
    context.restored_s = site.clock.elapsed_s()


@then("the late write was carried out")
def check_late_write(context):
    assert not any(each.faults for each in context.late_links)
    assert not any(each.late for each in context.late_links)


@then("one duty manager acts again after the late write")
def check_acts_after_late_write(context):
    check_acts_again(context)


def list_turns(acts):
    """Return the acts of each turn of a holder, in order of arrival."""
    ordered = sorted(acts, key=lambda each: each.at_s)
    return [
        list(turn)
        for _, turn in itertools.groupby(
            ordered, key=lambda each: (each.holder, each.token)
        )
    ]


def find_broken_rule(acts):
    """Return the first broken rule of ONE; None if none is broken."""
    turns = list_turns(acts)
    tokens = [turn[0].token for turn in turns]
    if sorted(set(tokens)) != tokens:
        return f"the tokens fall or are used twice: {tokens}"
    last_s = {}
    for turn in turns:
        name = turn[0].holder
        if name in last_s and turn is not turns[0]:
            at_s, number = last_s[name]
            others = {
                each[0].holder for each in turns[number : turns.index(turn)]
            }
            if others - {name} and turn[0].at_s - at_s < LEASE_S:
                return f"{name} acted at {at_s} and at {turn[0].at_s}"
        last_s[name] = turn[-1].at_s, turns.index(turn)
    return None


@then("no two duty managers acted within a call's time of each other")
def check_apart(context):
    turns = list_turns(context.site.acts)
    assert len(turns) > 1
    for before, after in itertools.pairwise(turns):
        if before[0].holder == after[0].holder:
            continue
        if after[0].at_s < context.restored_s:
            continue
        gap_s = after[0].at_s - before[-1].at_s
        assert gap_s >= CALL_S, (before[-1], after[0])


@then("the tokens of all duty calls rise from holder to holder")
def check_tokens(context):
    assert find_broken_rule(context.site.acts) is None, find_broken_rule(
        context.site.acts
    )


@then("one duty manager acts again")
def check_acts_again(context):
    assert len(context.site.find_holders()) == 1
    assert context.site.acts[-1].at_s > context.restored_s + 10.0


@then("no duty manager acts before and after another within the lease time")
def check_no_alternation(context):
    acts = context.site.acts
    assert {each.holder for each in acts} == {"a", "b"}
    assert find_broken_rule(acts) is None, find_broken_rule(acts)


@given("a lease whose object is absent in era {era:d} for {seconds:g} seconds")
def make_absent_lease(context, era, seconds):
    context.lease = duties.Lease("a", RULES)
    context.lease.observe(None, 0.0, era)
    context.now_s = seconds
    context.write = context.lease.plan(seconds)
    assert isinstance(context.write, duties.Write), context.write


@when("the write that creates it is applied in era {era:d}")
def apply_in_later_era(context, era):
    outcome = objects.WriteApplied(objects.make_version(era, 9))
    context.lease.resolve(context.write, outcome, context.now_s)


@then("the lease is not held and is read again")
def check_read_again(context):
    assert not context.lease.is_held(context.now_s)
    assert context.lease.plan(context.now_s + 1.0) == duties.Read()


def release(site, chosen):
    """Release the duties of a candidate, whose process starts again."""
    if site.clock.elapsed_s() < chosen.duty.ends_s:
        return
    chosen.manager.release()
    site.start(chosen.name)
    site.candidates[-1].duty.delay_s = chosen.duty.delay_s


def disturb(site, rng, copies):
    """Cause one random fault, or none."""
    chosen = rng.choice(site.find_holders() * 2 + site.candidates)
    match rng.choices(
        ("restore", "cut", "write", "freeze", "release", "mend", "none"),
        (6, 4, 8, 3, 12, 16, 51),
    )[0]:
        case "restore":
            site.store.restore(rng.choice(copies[-12:]))
        case "cut":
            chosen.link.is_cut = True
        case "write":
            chosen.link.late_s = rng.uniform(1.0, 6.0)
            chosen.link.faults = [rng.choice(["lost", "dropped", "late"])]
        case "freeze":
            chosen.is_frozen = True
        case "release" if len(site.candidates) < 20:
            release(site, chosen)
        case "mend":
            for each in site.candidates:
                each.is_frozen = each.link.is_cut = False


def play(seed):
    """Play random faults; return the duty calls that arrived."""
    rng = random.Random(seed)
    site = Site("abc")
    for each in site.candidates:
        each.duty.delay_s = lambda: rng.uniform(0.0, 0.95 * CALL_S)
    copies = [site.store.copy()]
    for _ in range(200):
        disturb(site, rng, copies)
        copies.append(site.store.copy())
        site.run(0.5)
    return site.acts


@then("duty managers under {count:d} seeds of random faults act one at a time")
def check_random_faults(context, count):
    plays = {seed: play(seed) for seed in range(count)}
    turns = sum(len(list_turns(acts)) for acts in plays.values())
    assert turns > 3 * count, turns
    broken = {
        seed: found
        for seed, acts in plays.items()
        if (found := find_broken_rule(acts))
    }
    assert not broken, (len(broken), broken)
