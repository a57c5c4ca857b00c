import collections
import contextlib
import itertools
import json
import random

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import duties
from mulberryhollow import errors
from mulberryhollow.serving import usage
from mulberryhollow.state import objects
from tests import restored_store

WINDOW_S = 5.0
DELAY_S = 10.0
TICK_S = 0.5
FENCE = 7


class Cloud:
    """Cloud API that records the reports; it may refuse or lose answers."""

    def __init__(self):
        self.reports = []
        self.is_refusing = False
        self.is_losing = False

    def report_usage(self, fence, window, counts):
        if self.is_refusing:
            return objects.WriteRejected("unavailable")
        self.reports.append((window, tuple(sorted(counts.items()))))
        if self.is_losing:
            return objects.WriteOutcomeUnknown("no answer")
        return objects.WriteApplied(fence)


@attrs.define
class Process:
    """A process with its usage counts and reporter."""

    ledger: usage.SharedUsageLedger
    reporter: usage.UsageReporter


class Fleet:
    """A holder, the collector that it reports to, and a successor.

    The holder reports its counts to the collector, which sends all counts to
    whoever holds the lease.
    """

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.store = restored_store.RestoredStore()
        self.cloud = Cloud()
        self.names = (f"process-{n}" for n in itertools.count())
        self.is_exchanging = True
        self.collector = self.start()
        self.holder = self.start()
        self.successor = self.start()

    def start(self):
        """Return a process that has just started."""
        ledger = usage.SharedUsageLedger(
            duties.UsageLedger(next(self.names), WINDOW_S),
            clocks.SlewedWallClock(self.clock),
        )
        reporter = usage.UsageReporter(
            ledger, self.store, self.cloud, self.clock, DELAY_S
        )
        ledger.encode_own()
        return Process(ledger, reporter)

    def exchange(self):
        """Pass the counts on, as the aggregate reports do."""
        for each in (self.holder, self.successor):
            if each is not None:
                self.tell(each.ledger.encode_own(), self.collector)
        if self.holder is not None:
            self.tell(self.collector.ledger.encode_all(5), self.holder)

    def tell(self, messages, process):
        for each in messages:
            process.ledger.merge(each)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.collector.ledger.record_usage("acme")
            if self.is_exchanging:
                self.exchange()
            if self.holder is not None:
                with contextlib.suppress(errors.StoreUnavailableError):
                    self.holder.reporter.work(FENCE, lambda: True)

    def run_until(self, is_reached):
        """Run until a condition holds, for a minute at most."""
        for _ in range(120):
            self.run(TICK_S)
            if is_reached():
                return
        raise AssertionError("not reached within a minute")

    def take_over(self):
        """Let the successor become the holder, the usual time later."""
        self.holder = None
        self.run(4.0)
        self.holder = self.successor
        self.successor = self.start()
        self.holder.reporter.begin()

    def read_stored(self):
        """Return the stored report as (window, counts)."""
        found = self.store.objects[usage.DUTY_KIND, usage.REPORT_OBJECT_NAME]
        fields = json.loads(found.value)
        return fields["window"], tuple(sorted(fields["counts"].items()))


@given("a fleet whose usage is reported, over a store that was copied")
def start_fleet(context):
    context.fleet = fleet = Fleet()
    fleet.holder.reporter.begin()
    fleet.run(20.0)
    context.copied = fleet.store.copy()
    fleet.run(13.0)
    assert len(fleet.cloud.reports) >= 4, fleet.cloud.reports
    context.restored_s = fleet.clock.wall_s()


def restore(context):
    context.fleet.store.restore(context.copied)
    context.restored_s = context.fleet.clock.wall_s()


@when("the store is restored and the holder keeps the duties")
def restore_store(context):
    restore(context)


@when("the store is restored and the holder acquires them again")
def restore_and_acquire(context):
    restore(context)
    context.fleet.exchange()
    context.fleet.holder.reporter.begin()


@when("the store is restored and is restored once more")
def restore_again(context):
    restore(context)
    context.fleet.run(3.0)
    restore(context)


@when("the store is away for {seconds:g} seconds and is restored")
def restore_after_outage(context, seconds):
    """Let the holder lose the lease when it cannot renew it for 2 seconds."""
    fleet = context.fleet
    fleet.store.is_down = True
    fleet.run(min(seconds, 2.0))
    holder, fleet.holder = fleet.holder, None
    fleet.run(max(seconds - 2.0, 0.0))
    fleet.store.is_down = False
    fleet.holder = holder
    restore_and_acquire(context)


@when("the holder is cut off until the earliest successor has reported")
def report_by_earliest_successor(context):
    """Let a window become due that the former holder has not reported."""
    fleet = context.fleet
    rules = duties.LeaseRules()
    fleet.cloud.is_refusing = True
    fleet.run_until(lambda: fleet.read_stored()[0] > max(list_counts(context)))
    fleet.run(6.0)
    fleet.cloud.is_refusing = False
    context.former, fleet.holder = fleet.holder, None
    fleet.run(rules.takeover_s - rules.hold_s)
    fleet.holder, fleet.successor = fleet.successor, None
    fleet.is_exchanging = False
    fleet.holder.reporter.begin()
    reported = len(fleet.cloud.reports)
    fleet.run(usage.START_DELAY_S)
    assert len(fleet.cloud.reports) > reported + 1, fleet.cloud.reports


@when("the store is restored and the former holder acquires the duties")
def restore_for_former(context):
    fleet = context.fleet
    fleet.holder = context.former
    fleet.successor = fleet.start()
    restore_and_acquire(context)
    add_late_counts(fleet)
    fleet.is_exchanging = True


@when("requests that were counted late are known everywhere")
def count_late(context):
    add_late_counts(context.fleet)


def add_late_counts(fleet):
    """Let every process know more requests of each window than before."""
    ledger = fleet.collector.ledger
    latest = ledger.find_window()
    windows = {n: {"late": latest} for n in range(20, latest + 1)}
    message = json.dumps({"source": "late", "windows": windows})
    for each in (fleet.collector, fleet.holder, fleet.successor):
        if each is not None:
            each.ledger.merge(message)


@when("the fleet runs for {seconds:g} seconds")
def run_fleet(context, seconds):
    context.fleet.run(seconds)


@when("the holder is killed")
def kill_holder(context):
    context.fleet.holder = None


@when("the holder is killed after a report to nobody")
def kill_after_report(context):
    fleet = context.fleet
    fleet.is_exchanging = False
    reported = len(fleet.cloud.reports)
    fleet.run_until(lambda: len(fleet.cloud.reports) > reported)
    fleet.holder = None
    fleet.is_exchanging = True


@when("the holder is killed before it sent a report")
def kill_before_sent(context):
    fleet = context.fleet
    stored = fleet.read_stored()
    fleet.cloud.is_refusing = True
    fleet.run_until(lambda: fleet.read_stored() != stored)
    fleet.exchange()
    fleet.holder = None
    fleet.cloud.is_refusing = False


@when("the holder is killed while its answers are lost")
def kill_while_losing(context):
    fleet = context.fleet
    fleet.cloud.is_losing = True
    fleet.run(6.0)
    fleet.holder = None
    fleet.cloud.is_losing = False


@when("the store is restored and a successor takes over")
def restore_and_succeed(context):
    restore(context)
    context.fleet.take_over()


@when("a successor takes over")
def succeed(context):
    context.fleet.take_over()


@when("a successor takes over and the store is restored at its first read")
def restore_at_read(context):
    context.fleet.store.at_read = lambda: restore(context)
    context.fleet.take_over()
    context.fleet.run_until(lambda: context.fleet.store.at_read is None)


@when(
    "a successor takes over and another thread sees a restore at query "
    "{query:d} of the era"
)
def restore_at_query(context, query):
    fleet = context.fleet
    fleet.holder = None
    fleet.run(6.0)
    fleet.holder = fleet.successor
    fleet.successor = fleet.start()
    fleet.holder.reporter.begin()
    fleet.clock.advance(usage.START_DELAY_S)
    fleet.store.run_at_era_query(query, lambda: restore(context))
    fleet.holder.reporter.work(FENCE, lambda: True)


@when("the store is restored while all instances start anew")
def restore_and_restart(context):
    restore(context)
    restart_all(context)


@when("all instances start anew")
def restart_all(context):
    fleet = context.fleet
    fleet.collector = fleet.start()
    fleet.holder = None
    fleet.successor = fleet.start()
    fleet.take_over()


@when("the latest report is replaced in the store by a late write")
def replace_stored(context):
    fleet = context.fleet
    fleet.exchange()
    window, _ = fleet.read_stored()
    value = json.dumps({"counts": {"acme": 99}, "window": window}).encode()
    fleet.store.write(usage.DUTY_KIND, usage.REPORT_OBJECT_NAME, value)


@when("the store is restored and keeps the write")
def restore_with_write(context):
    context.copied = context.fleet.store.copy()
    restore(context)


@when(
    "the store is restored and another report of that window is written late"
)
def restore_and_write_late(context):
    restore(context)
    window = max(window for window, _ in context.fleet.cloud.reports)
    value = json.dumps({"counts": {"acme": 99}, "window": window}).encode()
    context.fleet.store.write(
        usage.DUTY_KIND, usage.REPORT_OBJECT_NAME, value, "era-1-late"
    )


@when("the holder goes on")
def go_on(context):
    context.fleet.run(TICK_S)


def list_counts(context):
    """Return the counts that were reported of each window."""
    found = collections.defaultdict(set)
    for window, counts in context.fleet.cloud.reports:
        found[window].add(counts)
    return found


@then("no window was reported with two counts")
def check_one_count(context):
    wrong = {
        window: counts
        for window, counts in list_counts(context).items()
        if len(counts) > 1
    }
    assert not wrong, wrong


def check_reported(context, first):
    now_s = context.fleet.clock.wall_s()
    due = range(first, int((now_s - DELAY_S) // WINDOW_S))
    missing = set(due) - set(list_counts(context))
    assert len(due) > 2 and not missing, (due, missing)


@then("every window that has ended was reported")
def check_all_reported(context):
    check_reported(context, min(list_counts(context)))


@then("every window that began after the restore was reported")
def check_later_reported(context):
    check_reported(context, int(context.restored_s // WINDOW_S) + 1)


@then("the stored report is the latest that was sent")
def check_stored(context):
    fleet = context.fleet
    window = max(list_counts(context))
    assert fleet.read_stored() in [
        (window, counts) for counts in list_counts(context)[window]
    ], (fleet.read_stored(), fleet.cloud.reports)


def strike(fleet, chance, copies):
    """Let one random event happen to a fleet."""
    match chance.randrange(8):
        case 0 | 1:
            fleet.store.restore(chance.choice(copies[-20:]))
        case 2:
            fleet.take_over()
        case 3:
            fleet.holder.reporter.begin()
        case 4:
            fleet.is_exchanging = not fleet.is_exchanging
        case 5:
            fleet.store.is_late = not fleet.store.is_late
        case 6:
            fleet.cloud.is_losing = not fleet.cloud.is_losing
        case 7:
            late, fleet.store.late = fleet.store.late, []
            for write in late:
                write()
    add_late_counts(fleet)


@then(
    "in runs of seeds {first:d} to {last:d} no window is reported with two "
    "counts"
)
def check_seeded_runs(context, first, last):
    reported = 0
    for seed in range(first, last + 1):
        chance = random.Random(seed)
        context.fleet = fleet = Fleet()
        fleet.holder.reporter.begin()
        copies = []
        for _ in range(240):
            fleet.run(TICK_S)
            copies.append(fleet.store.copy())
            if chance.random() < 0.1:
                strike(fleet, chance, copies)
        wrong = [e for e in list_counts(context).values() if len(e) > 1]
        assert not wrong, (seed, wrong)
        reported += len(list_counts(context))
    assert reported > 5 * (last + 1 - first), reported
