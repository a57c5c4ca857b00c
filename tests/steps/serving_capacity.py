import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock
from mulberryhollow.coordination import capacity as decisions
from mulberryhollow.serving import capacity
from mulberryhollow.state import objects

BUDGET_PER_HOUR = 12.0
DOMAINS = ("fd-1", "fd-2", "fd-3", "fd-4")


class PlanStore:
    """Store with one object, which is written conditionally."""

    def __init__(self):
        self.stored = None
        self.on_read = lambda: None
        self.on_written = lambda: None

    def get(self, kind, name):
        found = self.stored
        self.on_read()
        return found

    def put(self, kind, name, value, expected_version, change_id):
        version = self.stored.version if self.stored else 0
        if version != expected_version:
            return objects.WriteRejected("conflict", version)
        self.stored = objects.StoredObject(kind, name, version + 1, value)
        self.on_written()
        return objects.WriteApplied(version + 1)


class Cloud:
    """Cloud API that records starts and stops and refuses some starts."""

    def __init__(self):
        self.refused = set()
        self.started = []
        self.stopped = []
        self.instances = []

    def list_offers(self):
        return [
            decisions.InstanceOffer(domain, "small", market, price)
            for domain in DOMAINS
            for market, price in (("reclaimable", 1.0), ("on_demand", 3.0))
        ]

    def list_instances(self):
        return list(self.instances)

    def start(self, start_request):
        if start_request.offer.failure_domain in self.refused:
            return False
        self.started.append(start_request.offer)
        return True

    def stop(self, instance):
        self.stopped.append(instance)


@given("a capacity controller with a load of {load:d} requests")
def make_controller(context, load):
    context.clock = clock.ManualClock()
    context.store = PlanStore()
    context.cloud = Cloud()
    context.notices = []
    estimates = [
        capacity.LoadEstimate("chat", "v1", "model", float(load), 8.0)
    ]
    budget = types.SimpleNamespace(budget_per_hour=BUDGET_PER_HOUR)
    context.controller = capacity.CapacityController(
        capacity.CapacityDependencies(
            instance="e1",
            environment="production",
            store=context.store,
            cloud=context.cloud,
            dispatcher=types.SimpleNamespace(
                read=lambda query: estimates,
                change=lambda apply: None,
            ),
            peering=types.SimpleNamespace(
                is_owner=lambda task: True,
                publish_notice=context.notices.append,
            ),
            get_environment=lambda: budget,
            clock=context.clock,
        )
    )


@given("the cloud refuses starts in failure domain {domain}")
def refuse_starts(context, domain):
    context.cloud.refused.add(domain)


@given("another planner writes the plan between the read and the write")
def overtake(context):
    other = capacity.PlanRecord("e2", context.clock.wall_s() + 15.0)

    def write():
        context.store.on_read = lambda: None
        context.store.put("plan", "production", other.encode(), 0, "x")

    context.store.on_read = write


@given("the planner is paused for {pause_s:d} seconds after writing its plan")
def pause(context, pause_s):
    context.store.on_written = lambda: context.clock.advance(pause_s)


@given("{count:d} instances run")
def run_instances(context, count):
    context.cloud.instances = [
        decisions.Instance(
            f"i{number}",
            "chat",
            "v1",
            DOMAINS[number % len(DOMAINS)],
            "small",
            "reclaimable",
            1.0,
        )
        for number in range(count)
    ]


@when("the capacity controller runs")
def run_controller(context):
    context.controller.tick()


@when("the capacity controller runs {later_s:d} seconds later")
def run_controller_later(context, later_s):
    context.clock.advance(later_s)
    context.controller.tick()


@then("instances were started in at least {count:d} failure domains")
def check_spread(context, count):
    domains = {offer.failure_domain for offer in context.cloud.started}
    assert len(domains) >= count, domains


@then("none was started in failure domain {domain}")
def check_not_in_domain(context, domain):
    domains = {offer.failure_domain for offer in context.cloud.started}
    assert domain not in domains


@then("they cost at most the budget")
def check_cost(context):
    cost = sum(offer.price_per_hour for offer in context.cloud.started)
    assert cost <= BUDGET_PER_HOUR, cost


@then("no instance was started")
def check_none(context):
    assert not context.cloud.started


@then("a planned stop was published and no instance was terminated")
def check_stop_published(context):
    assert context.notices
    assert not context.cloud.stopped


@then("an instance was terminated")
def check_terminated(context):
    assert context.cloud.stopped
