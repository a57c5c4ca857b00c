import collections
import json
import threading
import time

import attrs
from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import duties
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import duties as duty_managers
from mulberryhollow.serving import orders
from mulberryhollow.serving import usage
from mulberryhollow.state import catalogue
from mulberryhollow.state import evacuations
from mulberryhollow.state import fleet
from mulberryhollow.state import objects
from tests import fakes

WAIT_S = 10.0
SHORT_WAIT_S = 0.3


class Cloud:
    """Cloud API that records reports and orders.

    Some answers to reports are lost, and some orders are refused.
    """

    def __init__(self):
        self.reports = []
        self.orders = []
        self.answers_to_lose = 0
        self.refuses = False

    def report_usage(self, fence, window, counts):
        self.reports.append((window, tuple(sorted(counts.items()))))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return objects.WriteOutcomeUnknown("no answer")
        return objects.WriteApplied(fence)

    def order(self, fence, order):
        if order.is_reclaimable and self.refuses:
            return objects.WriteRejected("conflict")
        self.orders.append(order)
        return objects.WriteApplied(fence)


def make_reporter(context, source):
    """Return the usage counts of a process and their reporter."""
    ledger = duties.UsageLedger(source, 5.0)
    shared_ledger = usage.SharedUsageLedger(
        ledger, clocks.SlewedWallClock(context.clock)
    )
    reporter = usage.UsageReporter(
        shared_ledger, context.store, context.cloud, context.clock, 10.0
    )
    reporter.begin()
    return shared_ledger, reporter


@given("a usage reporter over a store")
def start_reporter(context):
    context.clock = clocks.ManualClock(100.0)
    context.store = fakes.FakeStore()
    context.cloud = Cloud()
    context.shared_ledger, context.reporter = make_reporter(context, "a")
    context.reporter.work(7, lambda: True)


def advance(context, seconds, is_held=lambda: True):
    for _ in range(round(seconds * 2)):
        context.clock.advance(0.5)
        context.reporter.work(7, is_held)


def begin_requests(context, count):
    for _ in range(count):
        context.shared_ledger.record_usage("acme")


@when("3 requests begin in each of 4 windows and 2 windows follow")
def count_windows(context):
    for _ in range(4):
        begin_requests(context, 3)
        advance(context, 5.0)
    advance(context, 10.0)


@then("windows 20 to 23 are reported with 3 requests each")
def check_windows_reported(context):
    found = [report for report in context.cloud.reports if report[1]]
    expected = [(window, (("acme", 3),)) for window in range(20, 24)]
    assert found == expected, found
    windows = [window for window, _ in context.cloud.reports]
    assert windows == sorted(set(windows)), windows


@when("a report is stored and its sender dies before it is accepted")
def die_before_sent(context):
    begin_requests(context, 3)
    context.cloud.answers_to_lose = 100
    advance(context, 10.0)
    assert context.cloud.reports


@when("a successor with additional counts takes over")
def succeed(context):
    context.cloud.answers_to_lose = 0
    context.shared_ledger, context.reporter = make_reporter(context, "b")
    context.shared_ledger.merge(b'{"source":"z","windows":{"20":{"acme":99}}}')
    advance(context, 10.0)


@when("the answer to a report is lost")
def lose_report(context):
    begin_requests(context, 3)
    context.cloud.answers_to_lose = 1
    advance(context, 9.0)
    begin_requests(context, 2)
    advance(context, 9.0)


@then("all reports of a window are equal")
def check_equal(context):
    counts_by_window = collections.defaultdict(set)
    for window, counts in context.cloud.reports:
        counts_by_window[window].add(counts)
    assert counts_by_window and all(
        len(each) == 1 for each in counts_by_window.values()
    ), counts_by_window
    repeats = collections.Counter(w for w, _ in context.cloud.reports)
    assert repeats[20] > 1, repeats


@when("the lease is lost before a report is sent")
def lose_lease(context):
    begin_requests(context, 3)
    advance(context, 10.0, lambda: False)


@then("nothing is reported")
def check_nothing_reported(context):
    assert not context.cloud.reports


@given("an endpoint scaler for a service with 2 endpoints")
def make_scaler(context):
    context.clock = clocks.ManualClock(100.0)
    context.cloud = Cloud()
    actor = dispatching.DispatchActor.start(context.clock, 1)
    context.add_cleanup(actor.stop)
    context.dispatcher = dispatching.Dispatcher(actor, context.clock)
    prices = {"d1": 1.0, "d2": 0.8}
    scaling = catalogue.Scaling(1, 8, 4.0, 0.2, prices)
    context.services = {
        "s": catalogue.ServiceSpec(
            "s", 100, catalogue.ModelSpec(48, 400000), scaling
        )
    }
    context.listings = [
        fleet.EndpointListing(f"e{n}", 1, "s", "h:1", f"d{n}", "v1", 48)
        for n in (1, 2)
    ]
    context.dispatcher.read(
        lambda actor, now_s: actor.view.apply_list(
            [each.to_endpoint() for each in context.listings], now_s
        )
    )
    context.evacuated = frozenset()
    context.moving_services = frozenset()
    context.scaler = orders.EndpointScaler(
        context.dispatcher,
        context.cloud,
        context.clock,
        lambda: context.services,
        lambda: context.listings,
        get_evacuations=lambda: evacuations.Evacuations(context.evacuated),
        get_moving=lambda: context.moving_services,
    )


def run_scaler(context, seconds, busy):
    """Run the scaler each second while prompts take some engine time."""
    for _ in range(round(seconds)):
        context.clock.advance(1.0)
        context.dispatcher.read(
            lambda actor, now_s: (
                busy and actor.work.add("s", busy, now_s),
                busy and actor.view.start("e1.1", 0.0, now_s),
            )
        )
        context.scaler.work(7, lambda: True)


def count_ordered(context):
    """Return the total of the latest on-demand orders."""
    latest = {
        each.failure_domain: each.count
        for each in context.cloud.orders
        if not each.is_reclaimable
    }
    return sum(latest.values())


@when("prompts keep {busy:g} engines busy for {seconds:g} seconds")
def keep_busy(context, busy, seconds):
    run_scaler(context, seconds, busy)


@when("the service's version is moved and prompts keep 1.2 engines busy")
def keep_busy_in_move(context):
    context.moving_services = {"s"}
    run_scaler(context, 12.0, 1.2)
    context.moving_services = frozenset()


@then("at least {minimum:d} on-demand endpoints are ordered")
def check_orders(context, minimum):
    assert count_ordered(context) >= minimum, context.cloud.orders


BUSY_AT_EVACUATION = 1.2


@when(
    "{count:d} on-demand endpoints serve in each domain and {names} is "
    "evacuated"
)
def serve_and_evacuate(context, count, names):
    context.listings = [
        fleet.EndpointListing(f"{domain}{n}", 1, "s", "h:1", domain, "v1", 48)
        for domain in ("d1", "d2")
        for n in range(count)
    ]
    evacuate(context, names, 1)


@when("{names} are evacuated for {seconds:d} seconds")
def evacuate(context, names, seconds):
    context.evacuated = frozenset(names.split(", "))
    context.cloud.orders.clear()
    run_scaler(context, seconds, BUSY_AT_EVACUATION)


@when("the evacuations end for {seconds:d} seconds")
def end_evacuations(context, seconds):
    context.evacuated = frozenset()
    context.cloud.orders.clear()
    run_scaler(context, seconds, 2.0)


@then("as many endpoints are ordered in d2 as the need requires")
def check_ordered_elsewhere(context):
    need = context.scaler._services["s"].need
    committed = collections.Counter(
        each.is_reclaimable
        for each in context.listings
        if each.failure_domain == "d2"
    )
    assert committed.total() < need, (need, committed)
    for each in context.cloud.orders:
        if each.failure_domain == "d2":
            committed[each.is_reclaimable] = each.count
    assert committed.total() >= need, (need, committed)


@then("nothing is ordered or released in d1")
def check_untouched(context):
    found = [e for e in context.cloud.orders if e.failure_domain == "d1"]
    assert not found, found


@then("d1 gets orders again")
def check_ordered_again(context):
    found = [e for e in context.cloud.orders if e.failure_domain == "d1"]
    assert found, context.cloud.orders


@given("{count:d} on-demand endpoints more serve")
def add_listings(context, count):
    context.listings += [
        fleet.EndpointListing(
            f"m{n}", 1, "s", "h:1", f"d{1 + n % 2}", "v1", 48
        )
        for n in range(count)
    ]


@given("the endpoint scaler's service limits its cold endpoints")
def limit_cold(context):
    spec = attrs.evolve(
        context.services["s"], cold_start=catalogue.ColdStart(3.0, 15.0)
    )
    context.services["s"] = spec


@when(
    "prompts keep {busy:g} engines busy for {seconds:g} seconds while all "
    "endpoints are cold"
)
def keep_busy_while_cold(context, busy, seconds):
    listed = [each.to_endpoint() for each in context.listings]
    until_s = context.clock.now_s() + seconds + 0.5

    def make_cold(actor, now_s):
        actor.view.apply_list(listed, now_s)
        actor.view.set_cold_rates({"s": 15.0})
        actor.view.set_cold_times({each.id: until_s for each in listed})

    context.dispatcher.read(make_cold)
    run_scaler(context, seconds, busy)


def list_releases(context):
    """Return the orders below the number that serves in their domain."""
    serving = collections.Counter(
        each.failure_domain
        for each in context.listings
        if not each.is_reclaimable
    )
    return [
        each
        for each in context.cloud.orders
        if not each.is_reclaimable
        and each.count < serving[each.failure_domain]
    ]


@then("at least {minimum:d} reclaimable endpoints are ordered")
def check_reclaimable_orders(context, minimum):
    ordered = {
        each.failure_domain: each.count
        for each in context.cloud.orders
        if each.is_reclaimable
    }
    assert sum(ordered.values()) >= minimum, context.cloud.orders


@then("no order releases an endpoint")
def check_no_release(context):
    assert not list_releases(context), context.cloud.orders


@then("an order releases endpoints")
def check_release(context):
    assert list_releases(context), context.cloud.orders


@when("reclaimable endpoints are refused for {seconds:g} seconds")
def refuse_orders(context, seconds):
    context.cloud.refuses = True
    run_scaler(context, seconds, 1.0)


@then("the orders of on-demand endpoints cover the need")
def check_covered(context):
    assert count_ordered(context) >= 4, context.cloud.orders


@when("{seconds:g} seconds pass without load")
def keep_idle(context, seconds):
    run_scaler(context, seconds, 0.0)


@then("nothing is ordered")
def check_no_orders(context):
    assert not context.cloud.orders, context.cloud.orders


class CountingDuty:
    """Duty that counts how often it was performed."""

    def __init__(self):
        self.runs = 0

    def begin(self):
        pass

    def work(self, fence, is_held):
        self.runs += 1


@given("two duty managers over one store")
def make_managers(context):
    context.clock = clocks.ManualClock(100.0)
    store = context.lease_store = fakes.FakeStore()
    context.counting_duties = [CountingDuty(), CountingDuty()]
    context.managers = [
        duty_managers.DutyManager(name, store, context.clock, (duty,))
        for name, duty in zip("ab", context.counting_duties, strict=True)
    ]


def run_managers(context, seconds):
    """Run both duty managers for a time."""
    for _ in range(round(seconds * 4)):
        context.clock.advance(0.25)
        for manager in context.managers:
            manager.tick()


@when("{seconds:g} seconds pass and the holder releases the duties")
def release_duties(context, seconds):
    run_managers(context, seconds)
    (context.former,) = [
        index
        for index, manager in enumerate(context.managers)
        if manager.is_held()
    ]
    context.managers[context.former].release()
    context.runs_before = context.counting_duties[context.former].runs


@when("{seconds:g} seconds pass for both duty managers")
def run_managers_later(context, seconds):
    run_managers(context, seconds)


@then("the other duty manager holds the duties and the former stays inactive")
def check_released(context):
    assert context.managers[1 - context.former].is_held()
    assert context.counting_duties[context.former].runs == context.runs_before


class BlockedDuty(CountingDuty):
    """Duty whose call ends only when it is told to."""

    def __init__(self):
        super().__init__()
        self.has_begun = threading.Event()
        self.may_end = threading.Event()

    def work(self, fence, is_held):
        self.has_begun.set()
        assert self.may_end.wait(WAIT_S)
        super().work(fence, is_held)


def get_lease_holder(context):
    """Return the holder that the stored lease names."""
    name = duty_managers.LEASE_OBJECT_NAME
    found = context.lease_store.get(usage.DUTY_KIND, name)
    return json.loads(found.value)["holder"]


@when(
    "{seconds:g} seconds pass and the holder releases the duties in the "
    "middle of a call"
)
def release_in_call(context, seconds):
    run_managers(context, seconds)
    context.holder_name, context.holding = next(
        (name, manager)
        for name, manager in zip("ab", context.managers, strict=True)
        if manager.is_held()
    )
    context.blocked = BlockedDuty()
    context.duty_after = CountingDuty()
    context.holding._handlers = (context.blocked, context.duty_after)
    context.add_cleanup(context.blocked.may_end.set)
    context.tick_thread = threading.Thread(
        target=context.holding.tick, daemon=True
    )
    context.tick_thread.start()
    assert context.blocked.has_begun.wait(WAIT_S)
    context.release_thread = threading.Thread(
        target=context.holding.release, daemon=True
    )
    context.release_thread.start()


@then("the lease is not released before the call has ended")
def check_not_released(context):
    context.release_thread.join(SHORT_WAIT_S)
    assert get_lease_holder(context) == context.holder_name


@then("it is released once the call has ended")
def check_released_after_call(context):
    context.blocked.may_end.set()
    context.release_thread.join(WAIT_S)
    assert not context.release_thread.is_alive()
    assert get_lease_holder(context) == ""


@when("the call does not end in the time that a release may wait")
def pass_release_time(context):
    end_s = time.monotonic() + WAIT_S
    while context.release_thread.is_alive() and time.monotonic() < end_s:
        context.clock.advance(duty_managers.RELEASE_TIMEOUT_S)
        context.release_thread.join(0.02)


@then("the release has returned and the lease still names the holder")
def check_lapses(context):
    assert not context.release_thread.is_alive()
    assert get_lease_holder(context) == context.holder_name


@then("no further duty is performed by the former holder")
def check_no_further_duty(context):
    context.blocked.may_end.set()
    context.tick_thread.join(WAIT_S)
    run_managers(context, 1.0)
    assert context.duty_after.runs == 0, context.duty_after.runs
    assert context.blocked.runs == 1, context.blocked.runs


@when("a successor takes over and merges a count of 5 requests a second later")
def merge_late(context):
    advance(context, 9.0)
    context.clock.advance(6.0)
    context.shared_ledger, context.reporter = make_reporter(context, "b")
    context.reporter.work(7, lambda: True)
    context.clock.advance(1.0)
    context.reporter.work(7, lambda: True)
    context.shared_ledger.merge(b'{"source":"z","windows":{"21":{"acme":5}}}')
    advance(context, 8.0)


@then("the report of that window counts all 5 requests")
def check_merged(context):
    counts_by_window = dict(context.cloud.reports)
    assert counts_by_window.get(21) == (("acme", 5),), context.cloud.reports


@when("the clock jumps by {step_s:g} seconds for {seconds:g} seconds")
def jump_clock(context, step_s, seconds):
    begin_requests(context, 3)
    context.clock.step(step_s)
    advance(context, seconds)
    begin_requests(context, 3)
    context.clock.step(-step_s)
    advance(context, 12.0)


@then("windows {first:d} and {second:d} are reported with 3 requests each")
def check_two_windows(context, first, second):
    found = [report for report in context.cloud.reports if report[1]]
    expected = [(window, (("acme", 3),)) for window in (first, second)]
    assert found == expected, found
