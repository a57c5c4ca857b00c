import collections
import itertools
import logging
import math

import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import rollout
from mulberryhollow.coordination.rollout import evidence
from mulberryhollow.coordination.rollout import orders
from mulberryhollow.coordination.rollout import schedule
from mulberryhollow.state import counters as counting
from mulberryhollow.state import objects

ROLLOUT_EVENTS = range(7000, 8000)
logging.getLogger("mulberryhollow").addFilter(
    lambda entry: getattr(entry, "event", 0) not in ROLLOUT_EVENTS
)

Stage = rollout.Stage
RANKS = {stage: min(rank, 2) for rank, stage in enumerate(Stage)}
TICK_S = 0.5
STEP_S = 1.0
REQUESTS_PER_S = 200
QUICK_BUCKET, SLOW_BUCKET = 10, 20
EVENTS = ["pause a", "pause b", "wake", "down", "up", "lose", "stall", "bad"]


class Traffic:
    """Cumulative counters of both versions, as merged on one node."""

    def __init__(self):
        self.counters = counting.Counters("tester", 1)
        self.cells = collections.Counter()
        self.sequence = 0

    def serve(self, share, seconds, rate, hits, slow=(), excused=False):
        """Count requests; ``hits`` maps (version, route) to a failure rate."""
        routes = {"a": 0.5, "b": 0.3, "c": 0.2}
        version_shares = {"v2": share, "v1": 1 - share}
        rows = {}
        for (version, version_share), route in itertools.product(
            version_shares.items(), routes
        ):
            number = rate * seconds * version_share * routes[route]
            failed = number * hits.get((version, route), 0.0)
            name = version, route
            self.cells[name, "all"] += number
            self.cells[name, "failed"] += failed
            self.cells[name, "excused"] += failed * excused
            self.cells[name, "slow"] += number * (version in slow)
            key = counting.RowKey("chat", version, route)
            rows[key] = self._make_row(name)
        self.sequence += 1
        self.counters.merge(
            counting.Snapshot("peers", 1, 0, self.sequence, rows)
        )

    def _make_row(self, name):
        total, failed, excused, slow = (
            int(self.cells[name, what])
            for what in ("all", "failed", "excused", "slow")
        )
        buckets = [0] * counting.BUCKET_COUNT
        buckets[QUICK_BUCKET] = total - slow
        buckets[SLOW_BUCKET] = slow
        return counting.Row(
            total, total - failed, failed, excused, tuple(buckets)
        )


class Simulation:
    """Simulated store, drivers and endpoints under a manual clock."""

    def __init__(self, duration_s, names):
        self.now_s = 0.0
        self.record = make_move(duration_s, version=1)
        self.written = [(0.0, self.record, "start")]
        self.is_up = True
        self.is_bad = False
        self.lost_every = 0
        self.fails_after_done = False
        self.writes = 0
        self.stalls = False
        self.held_writes = []
        self.log = []
        self.paused = set()
        self.told = []
        self.load_s = 1.0
        self.refuses_loads = False
        self.traffic = Traffic()
        self.traffic.serve(0.0, 10, REQUESTS_PER_S, {})
        self.endpoints = {f"e{index}": {"v1"} for index in range(6)}
        self.fences = dict.fromkeys(("e0", "e1", "e2"), 0)
        self.drivers = {}
        self.shares = {}
        for name in names:
            self.drivers[name] = rollout.Driver(name, rollout.MoveMonitor())
            self.shares[name] = 0.0

    @property
    def capacity(self):
        seen = tuple(
            rollout.Endpoint(
                name, 16, tuple(sorted(versions)), name in self.fences
            )
            for name, versions in self.endpoints.items()
        )
        return rollout.Capacity(seen, self.load_s)

    def run(self, seconds):
        """Advance the clock and step every driver that is not paused."""
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            share = sum(self.shares.values()) / len(self.shares)
            failures = 0.5 if self.is_bad else 0.0
            hits = {("v2", route): failures for route in "abc"}
            self.traffic.serve(share, STEP_S, REQUESTS_PER_S, hits)
            for name in sorted(self.drivers.keys() - self.paused):
                self.step(name)

    def step(self, name, sees_store=True):
        """Let one driver observe the store and execute its actions."""
        driver = self.drivers[name]
        if self.is_up and sees_store:
            _, _, change_id = self.written[-1]
            driver.observe(self.record, change_id, self.now_s)
        returned = driver.step(
            self.traffic.counters, self.capacity, self.now_s
        )
        for action in returned:
            self.log.append((self.now_s, name, action))
            self.execute(name, action)

    def execute(self, name, action):
        driver = self.drivers[name]
        match action:
            case rollout.SetShare(share=share):
                self.shares[name] = share
            case rollout.PublishVerdict(bad):
                for other in self.drivers.keys() - self.paused:
                    self.drivers[other].receive_verdict(bad)
            case rollout.WriteMove():
                outcome = self.send(action)
                driver.resolve_write(action.change_id, outcome, self.now_s)
            case rollout.Order():
                self.execute_order(action)

    def send(self, write):
        """Send a write, or hold it back while the senders are stalled."""
        if not self.stalls:
            return self.store(write)
        self.held_writes.append(write)
        return objects.WriteOutcomeUnknown("no answer")

    def release(self):
        """Send the held writes that are not too late, ``done`` first."""
        held_writes = sorted(
            self.held_writes, key=lambda w: w.move.stage is not Stage.DONE
        )
        self.held_writes, self.stalls = [], False
        for write in held_writes:
            if self.now_s <= write.not_after_s:
                self.store(write)

    def store(self, write):
        if not self.is_up:
            return objects.WriteRejected("unavailable")
        if write.expected_version != self.record.version:
            return objects.WriteRejected("conflict", self.record.version)
        version = self.record.version + 1
        self.record = attrs.evolve(write.move, version=version)
        self.written.append((self.now_s, self.record, write.change_id))
        self.writes += 1
        if self.fails_after_done and self.record.stage is Stage.DONE:
            self.is_up = False
            return objects.WriteOutcomeUnknown("cut")
        if self.lost_every and self.writes % self.lost_every == 0:
            return objects.WriteOutcomeUnknown("cut")
        return objects.WriteApplied(version)

    def execute_order(self, order):
        """Execute an order as an endpoint does."""
        if order.fence < self.fences.get(order.address, 0):
            return
        if order.address in self.fences:
            self.fences[order.address] = order.fence
        if order.command.value == "unload":
            self.endpoints[order.address].discard(order.version)
        elif not self.refuses_loads:
            self.endpoints[order.address].add(order.version)


def make_move(duration_s, **changes):
    move = rollout.Move("m", "production", "chat", "v1", "v2", 0.0, duration_s)
    return attrs.evolve(move, **changes)


@given("a move of {duration_s:d} seconds")
def define_move(context, duration_s):
    context.move = make_move(duration_s)


@then("no sequence of changes takes the stage back or writes done too late")
def check_stages(context):
    change = strategies.tuples(
        strategies.sampled_from(Stage), strategies.floats(0, 400)
    )

    @hypothesis.given(strategies.lists(change, max_size=6))
    def check(changes):
        move = context.move
        for stage, now_s in changes:
            try:
                later = rollout.advance(move, stage, now_s)
            except rollout.MoveError:
                continue
            assert RANKS[move.stage] <= RANKS[later.stage]
            assert not move.stage.is_final
            assert stage is not Stage.DONE or now_s <= 280
            move = later

    check()


@when("a move is started {how}")
def start_refused_move(context, how):
    ended = attrs.evolve(context.move, stage=Stage.DONE)
    current, wanted = {
        "while it is under way": (context.move, context.move),
        "to the version in use": (
            ended,
            attrs.evolve(context.move, to_version="v1"),
        ),
        "with too little time": (ended, make_move(100)),
    }[how]
    context.error = None
    try:
        rollout.start(current, wanted)
    except rollout.MoveError as error:
        context.error = error


@then("the move is refused with a remedy")
def check_refusal(context):
    assert context.error.message and context.error.remedy


@when("the move is rolled back under a lease of driver a and another starts")
def restart(context):
    leased = rollout.renew(context.move, "a", 30.0)
    ended = rollout.abort(attrs.evolve(leased, version=5), 10.0, "an operator")
    context.new = rollout.start(ended, attrs.evolve(context.move, id="m2"))


@then("the new move still has the lease of driver a")
def check_kept_lease(context):
    new = context.new
    assert (new.id, new.driver, new.lease_until_s) == ("m2", "a", 30.0)
    assert (new.stage, new.version) == (Stage.PLANNED, 5)


@then(
    "the evidence of an evaluation is fair for any counts of requests and hits"
)
def check_fairness(context):
    counts = strategies.integers(1, 40)

    @hypothesis.given(
        counts, counts, strategies.integers(0, 80), strategies.floats(1.5, 99)
    )
    def check(new, old, hits, ratio):
        hits = min(hits, new + old)
        expected = 0.0
        for of_new in range(max(0, hits - old), min(new, hits) + 1):
            process = evidence.Evidence((ratio,))
            process.add_change_point(1.0)
            process.add(
                evidence.Arm(new, of_new), evidence.Arm(old, hits - of_new)
            )
            chance = math.comb(new, of_new) * math.comb(old, hits - of_new)
            chance /= math.comb(new + old, hits)
            expected += chance * math.exp(process.log_value)
        assert expected <= 1 + 1e-9

    check()


@given(
    "two versions that together serve {rate:d} requests a second, the new one"
    " a share of {share:g}"
)
def start_traffic(context, rate, share):
    context.rate, context.share, context.now_s = rate, share, 0.0
    context.traffic = Traffic()
    context.traffic.serve(0.0, 10, rate, {})
    move = make_move(300, stage=Stage.SHIFTING, share=share)
    context.tester = rollout.SequentialTester(
        move, context.traffic.counters, 0.0
    )


@when("for {seconds:g} seconds {what}")
def serve(context, seconds, what):
    everything = list(itertools.product(("v1", "v2"), "abc"))
    new = everything[3:]
    failing = {
        "the new version fails": new,
        "the new version fails among few failures": new,
        "the new version fails on route c among few failures": [("v2", "c")],
        "the new version's failures are excused": new,
        "everything fails": everything,
    }.get(what, ())
    slow = {
        "the new version is slow": ("v2",),
        "everything is slow": ("v1", "v2"),
    }.get(what, ())
    hits = dict.fromkeys(
        everything, 0.05 * ("few" in what or "little" in what)
    )
    hits |= dict.fromkeys(failing, 0.6)
    for _ in range(int(seconds / TICK_S)):
        context.now_s += TICK_S
        context.traffic.serve(
            context.share, TICK_S, context.rate, hits, slow, "excused" in what
        )
        context.verdict = context.tester.evaluate(
            context.traffic.counters, context.now_s
        )


@when("the share rises and everything fails during each of {times:d} pauses")
def pause_tester(context, times):
    failing = dict.fromkeys(itertools.product(("v1", "v2"), "abc"), 0.8)
    for _ in range(times):
        context.traffic.serve(0.05, 5, context.rate, {})
        context.traffic.serve(0.8, 5, context.rate, failing)
        context.now_s += 10
        context.verdict = context.tester.evaluate(
            context.traffic.counters, context.now_s
        )


@then("the verdict is {text}")
def check_verdict(context, text):
    match context.verdict:
        case rollout.Bad() as bad:
            assert bad.reason.startswith(text), bad
        case rollout.Good():
            assert text == "good"
        case rollout.Undecided():
            assert text == "undecided"


@then("the schedule decides")
def check_decisions(context):
    for row in context.table:
        share, now_s, since_s = map(float, row.cells[:3])
        loaded = int(row["loaded"])
        capacity = rollout.Capacity(
            tuple(
                rollout.Endpoint(f"e{i}", 16, ("v2",) if i < loaded else ())
                for i in range(9)
            )
        )
        move = attrs.evolve(context.move, share=share, stage=Stage.SHIFTING)
        judgement = {
            "undecided": rollout.Undecided(7),
            "partly": rollout.Good(4.0),
            "good": rollout.Good(4.0, covers_routes=True),
        }[row["judgement"]]
        plan = rollout.make_plan(move, capacity, REQUESTS_PER_S)
        decision = rollout.decide(
            move, plan, capacity, judgement, since_s, now_s
        )
        kind, _, detail = row["decision"].partition(": ")
        match decision:
            case rollout.Shift(new_share):
                assert kind == f"share {new_share:g}", (row, decision)
            case rollout.Finish():
                assert kind == "finish", (row, decision)
            case rollout.Hold(reason):
                assert kind == "hold" and detail in reason, (row, decision)
            case rollout.RollBack(reason):
                assert kind == "give up" and detail in reason, (row, decision)


@then(
    "at {rate:d} requests a second the ramp begins {before_s:d} before its end"
)
def check_ramp(context, rate, before_s):
    plan = rollout.make_plan(context.move, rollout.Capacity(()), rate)
    ramp_s = plan.done_by_s - plan.times.reserve_s - plan.ramp_from_s
    assert round(ramp_s) == before_s, ramp_s


@then("the trial share is not above {share:g}")
def check_trial_share(context, share):
    assert share >= schedule.TRIAL_SHARE


@given("a rollout of {duration_s:d} seconds with drivers {names}")
def make_simulation(context, duration_s, names):
    context.simulation = Simulation(duration_s, names.split(", "))


@given("a monitor of a move that is shifting")
def make_monitor(context):
    context.move = make_move(300, stage=Stage.SHIFTING, share=0.4, version=3)
    context.monitor = rollout.MoveMonitor()
    context.monitor.observe(context.move, 0.0)
    assert context.monitor.step(None, 0.0) == [
        rollout.SetShare("chat", "v2", 0.4)
    ]


@when("the monitor receives a verdict against the new version")
def receive_degraded_verdict(context):
    context.bad = rollout.Bad("m", rollout.Degradation.SLOW, "", 9)
    context.monitor.receive_verdict(context.bad)


@then("the monitor sets the share to 0 at once and publishes each second")
def check_publishing(context):
    returned = [context.monitor.step(None, index / 2) for index in range(1, 6)]
    publish_action = rollout.PublishVerdict(context.bad)
    assert returned.pop(0) == [
        rollout.SetShare("chat", "v2", 0.0),
        publish_action,
    ]
    assert returned == [[], [publish_action], [], [publish_action]]


@then("the monitor publishes nothing once the move is rolled back")
def check_not_published(context):
    ended = rollout.abort(context.move, 4.0, "an operator")
    context.monitor.observe(attrs.evolve(ended, version=4), 4.0)
    assert context.monitor.step(None, 5.0) == []


@when("{seconds:d} seconds pass")
def run_simulation(context, seconds):
    context.simulation.run(seconds)


@when("the new version degrades and {seconds:d} seconds pass")
def degrade(context, seconds):
    context.simulation.run(20 if context.simulation.is_up else 0)
    context.simulation.is_bad = True
    context.simulation.run(seconds)


@when("two operators abort the move at the same version")
def abort_twice(context):
    simulation = context.simulation
    aborted = [
        rollout.abort(simulation.record, 1.0, operator) for operator in "xy"
    ]
    context.outcomes = [
        simulation.store(rollout.WriteMove(move, move.version, move.reason))
        for move in aborted
    ]


@then("one of the operators gets a conflict")
def check_conflict(context):
    match context.outcomes:
        case [objects.WriteApplied(), objects.WriteRejected("conflict")]:
            return
    raise AssertionError(context.outcomes)


@when("driver {name} is paused")
def pause(context, name):
    context.simulation.paused.add(name)


@when("driver {name} resumes")
def resume(context, name):
    simulation = context.simulation
    simulation.paused.discard(name)
    simulation.log.clear()
    simulation.step(name, sees_store=False)


@then("driver {name} does not hold the lease and gave no order on resuming")
def check_stopped(context, name):
    simulation = context.simulation
    returned = [action for _, _, action in simulation.log]
    assert any(isinstance(action, rollout.WriteMove) for action in returned)
    assert not any(isinstance(action, rollout.Order) for action in returned)
    assert simulation.record.driver != name
    assert not simulation.drivers[name].holds_lease(simulation.now_s)


@then("exactly one driver holds the lease and the epoch is {epoch:d}")
def check_one_driver(context, epoch):
    simulation = context.simulation
    holders = [
        d
        for d in simulation.drivers.values()
        if d.holds_lease(simulation.now_s)
    ]
    assert len(holders) == 1 and simulation.record.epoch == epoch


FAULTS = {
    "every second answer of the store is lost": {"lost_every": 2},
    "the store goes down": {"is_up": False},
    "the store comes back": {"is_up": True, "fails_after_done": False},
    "the store goes down as soon as done is written": {
        "fails_after_done": True
    },
    "no endpoint accepts a load": {"refuses_loads": True},
    "the weight store allows one load in 5 seconds": {"load_s": 5.0},
}


def register_fault(text, changes):
    @when(text)
    def set_fault(context):
        vars(context.simulation).update(changes)


for _text, _changes in FAULTS.items():
    register_fault(_text, _changes)


@when("the senders stall for {seconds:d} seconds")
def stall_senders(context, seconds):
    context.simulation.stalls = True
    context.simulation.run(seconds)
    context.simulation.release()


@then("a stale read of the record changes nothing")
def check_stale_read(context):
    simulation = context.simulation
    for driver in simulation.drivers.values():
        driver.observe(simulation.written[1][1], "", simulation.now_s)
        assert driver.move == simulation.record


@when(
    "a late order loads version v1 again on an endpoint that checks no fencing"
    " tokens"
)
def load_late(context):
    context.simulation.endpoints["e5"].add("v1")


@then("the stored move is done and was written in time")
def check_done(context):
    record = context.simulation.record
    assert record.stage is Stage.DONE, record
    check_written(context.simulation)


@then('the stored move is rolled back with a reason about "{reason}"')
def check_rolled_back(context, reason):
    record = context.simulation.record
    assert record.stage is Stage.ROLLED_BACK and reason in record.reason, (
        record
    )


@then("every node gives the new version a share of {share:g}")
def check_shares(context, share):
    assert set(context.simulation.shares.values()) == {share}, (
        context.simulation.shares
    )


@then("every endpoint {which} version {version}")
def check_endpoints(context, which, version):
    seen = context.simulation.endpoints.values()
    assert all(version in versions for versions in seen), seen
    assert "only" not in which or all(len(x) == 1 for x in seen), seen


@then("the verdict first set the share, then was published, then written")
def check_sequence(context):
    log = context.simulation.log
    index = next(
        i
        for i, (_, _, x) in enumerate(log)
        if isinstance(x, rollout.PublishVerdict)
    )
    kinds = [type(action) for _, _, action in log[index - 1 : index + 2]]
    assert kinds == [
        rollout.SetShare,
        rollout.PublishVerdict,
        rollout.WriteMove,
    ], kinds


@then("no two loads are closer than {load_s:g} seconds")
def check_loads(context, load_s):
    times_s = [
        now_s
        for now_s, _, action in context.simulation.log
        if isinstance(action, rollout.Order) and action.command.value == "load"
    ]
    assert len(times_s) >= 6
    pairs = itertools.pairwise(times_s)
    assert all(later - now >= load_s for now, later in pairs)


@then("every order could be sent no later than 3 seconds before a lease's end")
def check_guard(context):
    ends_s = {
        record.lease_until_s for _, record, _ in context.simulation.written
    }
    given = [
        (now_s, action)
        for now_s, _, action in context.simulation.log
        if isinstance(action, rollout.Order)
    ]
    assert given and orders.ORDER_GUARD_S == 3.0
    for now_s, order in given:
        assert now_s <= order.not_after_s
        assert order.not_after_s + 3.0 in ends_s


def check_written(simulation):
    """Check that stages never go back and ``done`` was written in time."""
    stages = [RANKS[record.stage] for _, record, _ in simulation.written]
    assert stages == sorted(stages)
    finals = {
        record.stage
        for _, record, _ in simulation.written
        if record.stage.is_final
    }
    assert len(finals) <= 1
    for (_, before, _), (at_s, record, _) in itertools.pairwise(
        simulation.written
    ):
        if record.stage is not before.stage and record.stage is Stage.DONE:
            assert at_s <= record.done_by_s


@given(
    "any schedule of pauses, outages, lost or late writes and a bad version"
)
def define_schedules(context):
    event = strategies.sampled_from(
        [
            "pause a",
            "pause b",
            "wake",
            "down",
            "up",
            "lose",
            "stall",
            "bad",
            "wait",
        ]
    )
    context.schedules = strategies.lists(event, max_size=8)


def apply_event(simulation, event):
    match event.split():
        case ["pause", name]:
            simulation.paused.add(name)
        case ["wake"]:
            simulation.paused.clear()
            simulation.release()
        case ["stall"]:
            simulation.stalls = True
        case ["down"] | ["up"]:
            simulation.is_up = event == "up"
        case ["lose"]:
            simulation.lost_every = 2
        case ["bad"]:
            simulation.is_bad = True


@then("each move ends as done in time or rolled back, on every node")
def check_any_schedule(context):
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(context.schedules)
    def check(events):
        simulation = Simulation(160, ["a", "b"])
        for event in events:
            apply_event(simulation, event)
            simulation.run(18)
        simulation.paused.clear()
        simulation.release()
        simulation.run(max(0, 161 - simulation.now_s))
        sees_done = simulation.is_up and simulation.record.stage is Stage.DONE
        for name, share in simulation.shares.items():
            move = simulation.drivers[name].move
            assert share == (move is not None and move.stage is Stage.DONE)
            assert share == 1.0 or not sees_done
        simulation.is_up = True
        simulation.run(30)
        assert simulation.record.stage.is_final
        is_done = simulation.record.stage is Stage.DONE
        assert set(simulation.shares.values()) == {float(is_done)}
        check_written(simulation)

    check()
