import itertools
import types

from behave import given
from behave import then
from behave import when

from mulberryhollow import clock as clocks
from mulberryhollow.serving import detached_answers


@given("an empty cache of detached answers")
def make_cache(context):
    context.cache = detached_answers.DetachedAnswerCache(clocks.ManualClock())
    context.ids = itertools.count()
    context.added = []


def add(context, request_id, size):
    """Add an answer of 64 tokens of a size in total."""
    answer = types.SimpleNamespace(
        request=types.SimpleNamespace(request_id=request_id),
        tokens=("x" * (size * 16),) * 64,
    )
    context.cache.add(answer)
    context.added.append(request_id)


@when("{count:d} answers of {size:d} KiB are added")
def add_many(context, count, size):
    for number in itertools.islice(context.ids, count):
        add(context, f"r{number}", size)


@when("the same answer of {size:d} KiB is added {count:d} times")
def add_again(context, size, count):
    for _ in range(count):
        add(context, "same", size)


def pop_all(context):
    """Return all answers that are kept."""
    names = dict.fromkeys(context.added)
    found = map(context.cache.pop, names)
    return [each for each in found if each is not None]


@then("the latest answer is returned")
def check_latest(context):
    assert context.cache.pop(context.added[-1]) is not None


@then("at most {size:d} MiB of answers are kept")
def check_size(context, size):
    latest = context.added[-1]
    found = pop_all(context)
    total = sum(len(token) for each in found for token in each.tokens)
    assert total <= size << 20, total
    add(context, latest, 1)


@then("{count:d} answers are kept")
def check_count(context, count):
    assert len(pop_all(context)) == count
