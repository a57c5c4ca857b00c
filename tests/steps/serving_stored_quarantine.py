import itertools

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import retry
from mulberryhollow import errors
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import stored_quarantine
from tests import fakes
from tests import restored_store


def start_instance(context):
    actor = dispatching.DispatchActor.start(context.clock, 1)
    context.add_cleanup(actor.stop)
    context.dispatcher = dispatching.Dispatcher(actor, context.clock)
    context.stored = stored_quarantine.StoredQuarantine(
        context.store, context.clock, context.dispatcher
    )


@given("an instance whose quarantine is stored")
def start_first(context):
    context.clock = clocks.ManualClock()
    context.store = fakes.FakeStore()
    context.began_revision = context.store.revision
    start_instance(context)
    context.stored.load()


@when("part {part} crashes {count:d} endpoints there")
def crash(context, part, count):
    context.dispatcher.read(
        lambda actor, now_s: [
            actor.part_quarantine.record_crash([part], f"e{n}")
            for n in range(count)
        ]
    )


@when("an answer with part {part} begins there")
def begin_answer(context, part):
    context.dispatcher.report_begun((part,))


@when("the instance performs the duty")
def perform_duty(context):
    context.stored.work(1, lambda: True)


@when("the instance performs the duty while the store is away")
def perform_duty_without_store(context):
    context.store.is_down = True
    perform_duty(context)
    context.store.is_down = False


@when("an instance starts anew over the same store")
def start_anew(context):
    start_instance(context)
    context.stored.load()


@when("the store goes away while an instance starts anew")
def start_without_store(context):
    context.store.is_down = True
    start_instance(context)
    try:
        context.stored.load()
    except errors.StoreUnavailableError:
        return
    raise AssertionError("the store was read while it was away")


@when("the store comes back and the instance reads it")
def read_store(context):
    context.store.is_down = False
    context.stored.load()


@when("{count:d} hours pass")
def pass_hours(context, count):
    context.clock.advance(count * 3600.0)


@when("the stored entry of part {part} is {text}")
def write_entry(context, part, text):
    context.store.write(stored_quarantine.KIND, part, text.encode())


def check_part(context, part):
    return context.dispatcher.read(
        lambda actor, now_s: actor.part_quarantine.check((part,))
    )


@then("it refuses prompts with part {part}")
def check_refused(context, part):
    assert check_part(context, part) is not None


@then("it accepts prompts with part {part}")
def check_accepted(context, part):
    assert check_part(context, part) is None


@then("no part is stored")
def check_none(context):
    assert not context.store.objects, context.store.objects


@then("the store was written once")
def check_written_once(context):
    assert context.store.revision == context.began_revision + 1


@given("an instance whose quarantine is stored over a store that was copied")
def start_over_copied(context):
    context.clock = clocks.ManualClock()
    context.store = restored_store.RestoredStore()
    start_instance(context)
    context.stored.load()
    copy_store(context)


@when("the store of the quarantine is copied")
def copy_store(context):
    context.copied = context.store.copy()


@when("the store of the quarantine is restored")
def restore_store(context):
    context.store.restore(context.copied)


@when("another instance that knows no part performs the duty after a restore")
def perform_elsewhere(context):
    found, context.store.objects = context.store.objects, {}
    start_instance(context)
    context.stored.load()
    context.store.objects = found
    restore_store(context)
    perform_duty(context)
    perform_duty(context)


def crash_with_request(context, name, numbers, how):
    now_s = context.clock.wall_s()
    context.dispatcher.read(
        lambda actor, _: actor.quarantine.merge(
            retry.CrashFact(name, f"e{n}", now_s, how == "beside others")
            for n in numbers
        )
    )


@when("request {name} crashes {count:d} endpoints there, {how}")
def crash_request(context, name, count, how):
    context.numbers = itertools.count()
    numbers = itertools.islice(context.numbers, count)
    crash_with_request(context, name, numbers, how)


@when("request {name} is completed there")
def complete_request(context, name):
    now_s = context.clock.wall_s()
    context.dispatcher.read(
        lambda actor, _: actor.quarantine.record_completed(name, now_s)
    )


@then("it refuses request {name} after {count:d} more, {how}")
def check_request_refused(context, name, count, how):
    context.clock.advance(1.0)
    numbers = itertools.islice(context.numbers, count)
    crash_with_request(context, name, numbers, how)
    refusal = context.dispatcher.read(
        lambda actor, _: actor.quarantine.check(name)
    )
    assert refusal is not None
