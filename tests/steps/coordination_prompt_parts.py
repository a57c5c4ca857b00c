from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from mulberryhollow.coordination import retry
from mulberryhollow import errors


def get_quarantine(context):
    if "part_quarantine" not in context:
        context.part_quarantine = retry.PartQuarantine()
    return context.part_quarantine


@when("part {parts} crashes endpoints {names}")
@when("parts {parts} crash endpoints {names}")
def crash_endpoints(context, parts, names):
    for name in names.split(", "):
        get_quarantine(context).record_crash(parts.split(", "), name)


@when("an answer to parts {parts} begins")
def begin_answer(context, parts):
    get_quarantine(context).record_begun(parts.split(", "))


@when("{count:d} other parts crash one endpoint each")
def crash_others(context, count):
    for index in range(count):
        get_quarantine(context).record_crash([f"other{index}"], f"x{index}")


@then("a prompt with parts {parts} is in quarantine")
def check_quarantined(context, parts):
    refusal = get_quarantine(context).check(parts.split(", "))
    assert refusal.ran is errors.ExecutionStatus.NOT_RUN
    assert refusal.kind is errors.RefusalKind.QUARANTINED


@then("a prompt with parts {parts} is not in quarantine")
def check_not_quarantined(context, parts):
    assert get_quarantine(context).check(parts.split(", ")) is None


@then("at most {count:d} parts are suspects")
def check_bound(context, count):
    assert len(context.part_quarantine) <= count


@then("part crashes and sound parts merge to the same quarantine in any order")
def check_merge(context):
    part = strategies.sampled_from("abcd")
    crash = strategies.builds(
        retry.PartCrash,
        strategies.sampled_from("123456"),
        strategies.frozensets(part, min_size=1).map(
            lambda parts: tuple(sorted(parts))
        ),
    )
    facts = strategies.lists(strategies.one_of(part, crash), max_size=16)
    prompts = [(a, b) for a in "abcd" for b in "abcd"]

    def merge(found):
        quarantine = retry.PartQuarantine()
        for fact in found:
            match fact:
                case str():
                    quarantine.mark_sound(fact)
                case retry.PartCrash():
                    quarantine.merge_crash(fact)
        return [quarantine.find_quarantined(each) for each in prompts]

    @hypothesis.given(facts, strategies.randoms(use_true_random=False))
    def check(found, rng):
        shuffled = found * 2
        rng.shuffle(shuffled)
        assert merge(found) == merge(shuffled)

    check()
