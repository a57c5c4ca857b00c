import json
import logging

from behave import given
from behave import then
from behave import when

from mulberryhollow import errors
from mulberryhollow.platform import records
from mulberryhollow.state import facts
from tests import evacuation_fleet

ALL_DOMAINS = {
    evacuation_fleet.name_domain(number)
    for number in range(evacuation_fleet.DOMAINS)
}
KIND = records.EVACUATION_KIND


class EventCounter(logging.Handler):
    """Counts the log lines of each event number."""

    def __init__(self):
        super().__init__()
        self.numbers = []

    def emit(self, record):
        self.numbers.append(getattr(record, "event", None))


@given("{size:d} instances that follow the evacuations, and {fault}")
def make_fleet(context, size, fault):
    loss = 0.1 if fault == "a tenth of the messages lost" else 0.0
    fleet = context.fleet = evacuation_fleet.EvacuationFleet(size, loss)
    instances = list(fleet.instances.values())
    match fault:
        case "a store that turns away all but one instance":
            # The last one is no collector in the large fleet.
            for each in instances:
                each.access.is_turned_away = not each.collectors.is_local
            readers = [each for each in instances if each.collectors.is_local]
            for each in readers[1:]:
                each.access.is_turned_away = True
        case "a store that turns away the collectors of fd-02":
            for name in instances[0].collectors.domains["fd-02"]:
                fleet.instances[name].access.is_turned_away = True
        case "a configuration that changes in each tick":
            run = fleet.tick

            def tick():
                fleet.store.put(
                    "config", "main", {"version": fleet.clock.now_s()}
                )
                run()

            fleet.tick = tick
        case _:
            assert fault in ("no fault", "a tenth of the messages lost")
    context.counter = EventCounter()
    logger = logging.getLogger("mulberryhollow")
    logger.addHandler(context.counter)
    context.add_cleanup(logger.removeHandler, context.counter)
    context.add_cleanup(logger.setLevel, logger.level)
    logger.setLevel(logging.INFO)


@when("the operator evacuates {domain}")
def evacuate(context, domain):
    names = ALL_DOMAINS if domain == "all failure domains" else [domain]
    for name in names:
        context.fleet.store.put(KIND, name, {})


@when("the evacuation of {domain} is withdrawn")
def withdraw(context, domain):
    context.fleet.store.remove(KIND, domain)


@when("the evacuation of {domain} is withdrawn and the history is lost")
def withdraw_and_lose(context, domain):
    withdraw(context, domain)
    for number in range(3):
        context.fleet.store.put("config", "main", {"version": number})
    del context.fleet.store.events[:-1]


@when("the operator evacuates, then withdraws, {domain}")
def evacuate_and_withdraw(context, domain):
    evacuate(context, domain)
    context.old_version = context.fleet.store.revision
    context.fleet.run(5.0)
    withdraw(context, domain)
    context.fleet.run(5.0)


@when("a peer publishes the fact of that evacuation again")
def publish_again(context):
    context.old_fact = facts.Fact(
        facts.Topic.NOTICE, "evacuation fd-01", context.old_version, b""
    )
    for name in context.fleet.instances:
        context.fleet.cluster.publish(name, context.old_fact)


@when(
    "a restarted instance gets that fact before and after it reads the store"
)
def publish_to_restarted(context):
    fleet = context.fleet
    name = list(fleet.instances)[-1]
    fleet.restart(name)
    fleet.cluster.publish(name, context.old_fact)
    assert "fd-01" not in fleet.instances[name].list_accepting()
    fleet.restart(name)
    fleet.instances[name].follower.read()
    fleet.cluster.publish(name, context.old_fact)
    assert "fd-01" in fleet.instances[name].list_accepting()


@when("the store turns away all instances for {seconds:d} seconds")
def turn_all_away(context, seconds):
    context.fleet.run(5.0)
    for each in context.fleet.instances.values():
        each.access.is_turned_away = True
    context.fleet.run(seconds)


@when("the store answers all instances again")
def answer_all(context):
    for each in context.fleet.instances.values():
        each.access.is_turned_away = False


@when("an instance is restarted")
def restart(context):
    context.restarted = list(context.fleet.instances)[0]
    is_turned_away = context.fleet.instances[
        context.restarted
    ].access.is_turned_away
    context.fleet.restart(context.restarted)
    restarted = context.fleet.instances[context.restarted]
    restarted.access.is_turned_away = is_turned_away


@when("an instance is restarted without store and peers")
def restart_alone(context):
    restart(context)
    restarted = context.fleet.instances[context.restarted]
    restarted.access.is_turned_away = True
    restarted.report = lambda: None


@then("it accepts callers only after {seconds:d} seconds")
def check_waits(context, seconds):
    restarted = context.fleet.instances[context.restarted]
    context.fleet.run(seconds - 0.2)
    assert not restarted.watcher.is_settled
    context.fleet.run(0.4)
    assert restarted.watcher.is_settled


@then("it accepts callers within {seconds:d} second")
def check_settles(context, seconds):
    restarted = context.fleet.instances[context.restarted]
    restarted.access.is_turned_away = False
    assert not restarted.watcher.is_settled
    context.fleet.run(seconds)
    assert restarted.watcher.is_settled


@when("an endpoint starts in fd-01 and one moves there")
def list_later(context):
    context.fleet.run(5.0)
    listed = [
        *context.fleet.endpoints[1:],
        evacuation_fleet.make_endpoint("fd-01/new", "fd-01"),
        evacuation_fleet.make_endpoint("fd-00/0", "fd-01"),
    ]
    for each in context.fleet.instances.values():
        each.actor.view.apply_list(listed, context.fleet.clock.now_s())
        group = each.actor.view.get_group("s", "v1")
        assert "fd-00/0" not in group and "fd-01/new" not in group


@when("a request runs in fd-01 as the operator evacuates the domain")
def run_request(context):
    context.instance = next(iter(context.fleet.instances.values()))
    request = evacuation_fleet.make_route_request("r", "fd-01/0")
    context.running = context.instance.dispatcher.choose_endpoint(request)
    evacuate(context, "fd-01")
    context.fleet.run(5.0)
    assert "fd-01" not in context.instance.list_accepting()


@then("the request still counts there and its end is recorded")
def check_running(context):
    view = context.instance.actor.view
    assert view.get_local_load("fd-01/0") == 1
    context.instance.dispatcher.finish(context.running)
    assert view.get_local_load("fd-01/0") == 0


@when("an evacuation of {name} with the value {value} is written")
def write_entry(context, name, value):
    context.fleet.store.put(KIND, name, json.loads(value))
    context.fleet.run(2.0)


@when("all instances list the evacuations again")
def list_again(context):
    for each in context.fleet.instances.values():
        each.follower._must_list = True
    context.fleet.run(2.0)


@then("each instance has logged event {number:d} once")
def check_logged(context, number):
    found = context.counter.numbers.count(number)
    assert found == len(context.fleet.instances), found


@then("within {limit_s:d} seconds no instance sends anything new to {names}")
def check_evacuated(context, limit_s, names):
    domains = set(names.split(", "))
    context.fleet.measure(
        lambda each: not each.list_accepting() & domains, float(limit_s)
    )
    check_sends_nothing(context, names)


@then("no instance sends anything new to {names}")
def check_sends_nothing(context, names):
    domains = set(names.split(", "))
    for each in context.fleet.instances.values():
        used = each.list_used()
        assert not used & domains, used


@then("each instance sends to {names}")
def check_sends(context, names):
    expected = (
        ALL_DOMAINS
        if names == "all failure domains"
        else set(names.split(", "))
    )
    for each in context.fleet.instances.values():
        assert each.list_accepting() == expected, each.list_accepting()
        assert each.list_used() == expected, each.list_used()


@then("within {limit_s:d} seconds each instance sends to all failure domains")
def check_readmitted(context, limit_s):
    context.fleet.measure(
        lambda each: each.list_accepting() == ALL_DOMAINS, float(limit_s)
    )
    check_sends(context, "all failure domains")


@then("after {seconds:d} seconds each instance sends to all failure domains")
def check_readmitted_later(context, seconds):
    context.fleet.run(seconds)
    check_sends(context, "all failure domains")


@then(
    "within {limit_s:d} seconds each instance refuses as not run, with a "
    "Retry-After"
)
def check_refused(context, limit_s):
    context.fleet.measure(
        lambda each: not each.list_accepting(), float(limit_s)
    )
    for each in context.fleet.instances.values():
        request = evacuation_fleet.make_route_request("r")
        assert each.dispatcher.place(request) is None
        try:
            each.dispatcher.choose_endpoint(request)
        except errors.RefusedError as error:
            refusal = error.refusal
            assert refusal.kind is errors.RefusalKind.NO_CAPACITY, refusal
            assert refusal.ran is errors.ExecutionStatus.NOT_RUN, refusal
            assert refusal.retry_after_s > 0, refusal
            continue
        raise AssertionError("an endpoint was chosen")


@when("the store is copied before the operator evacuates {domain}")
def copy_and_evacuate(context, domain):
    context.fleet.store.era = 1
    context.fleet.run(5.0)
    context.copied = context.fleet.store.copy()
    evacuate(context, domain)
    context.fleet.run(5.0)
    check_sends_nothing(context, domain)


@when("the store is restored from the copy")
def restore_store(context):
    context.fleet.store.restore(context.copied)


@when("an instance is restarted and hears its peers after it reads the store")
def restart_before_facts(context):
    fleet = context.fleet
    restart(context)
    restarted = fleet.instances[context.restarted]
    restarted.follower.read()
    assert not restarted.watcher.list_active()
    for fact in list_evacuation_facts(fleet, context.restarted):
        fleet.cluster.publish(context.restarted, fact)


def list_evacuation_facts(fleet, name):
    """Return the facts on evacuations that another instance holds."""
    other = next(each for each in fleet.instances if each != name)
    held = fleet.instances[other].watcher.list_active()
    return [
        facts.Fact(
            facts.Topic.NOTICE,
            f"evacuation {each.failure_domain}",
            each.revision,
            b"",
        )
        for each in held
    ]


@then("for {seconds:d} seconds no instance sends anything new to {names}")
def check_sends_nothing_for(context, seconds, names):
    domains = set(names.split(", "))
    end_s = context.fleet.clock.now_s() + seconds
    while context.fleet.clock.now_s() < end_s:
        context.fleet.tick()
        for each in context.fleet.instances.values():
            sent = each.list_accepting() & domains
            assert not sent, (each.member.instance_id, sent)
    check_sends_nothing(context, names)
