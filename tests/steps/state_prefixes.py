from behave import given
from behave import then
from behave import when
import xxhash

from mulberryhollow.state import prefixes

WORDS = [f"w{number}" for number in range(40_000)]


def build_prompt(words):
    return " ".join(WORDS[:words])


@given("a prefix index that keeps {count:d} entries")
def make_index(context, count):
    context.index = prefixes.PrefixIndex(count)


@when(
    "a prompt of {words:d} words is assumed to be cached at "
    "endpoint {endpoint_id}"
)
def insert_prompt(context, words, endpoint_id):
    hashes = prefixes.hash_prefixes(build_prompt(words))
    context.index.insert(endpoint_id, hashes)


@when(
    "a prompt of {words:d} words is assumed to be cached at "
    "{count:d} endpoints"
)
def insert_everywhere(context, words, count):
    for number in range(count):
        insert_prompt(context, words, f"e{number}")


@when("engine {endpoint_id} publishes events {first:d} to {last:d} as added")
def publish_added(context, endpoint_id, first, last):
    hashes = prefixes.hash_prefixes(build_prompt(640))
    for number in range(first, last + 1):
        event = prefixes.CacheEvent(number, True, hashes[number - 1])
        context.index.apply_event(endpoint_id, event)


@when(
    "engine {endpoint_id} publishes event {number:d} as evicting block "
    "{block:d}"
)
def publish_evicted(context, endpoint_id, number, block):
    hashes = prefixes.hash_prefixes(build_prompt(640))
    event = prefixes.CacheEvent(number, False, hashes[block - 1])
    context.index.apply_event(endpoint_id, event)


@then("the prefix hashes of 40 words are those of 16 and 32 words")
def check_hashes(context):
    expected = tuple(
        xxhash.xxh3_64_intdigest(build_prompt(count).encode())
        for count in (16, 32)
    )
    assert prefixes.hash_prefixes(build_prompt(40)) == expected


@then("a prompt of {words:d} words matches {blocks:d} blocks at {name}")
def check_match(context, words, blocks, name):
    found = context.index.match(build_prompt(words))
    assert found == {name: blocks}, found


@then(
    "two endpoints match {words:d} words, e0 with {first:d} and e1 with "
    "{second:d} blocks"
)
def check_two_matches(context, words, first, second):
    found = context.index.match(build_prompt(words))
    assert found == {"e0": first, "e1": second}, found
    hashes = prefixes.hash_prefixes(build_prompt(words))
    assert context.index.count_blocks("e0", hashes) == first


@then("the prefix index has {count:d} blocks of {endpoint_id}")
def check_block_count(context, count, endpoint_id):
    hashes = prefixes.hash_prefixes(build_prompt(640))
    assert context.index.count_blocks(endpoint_id, hashes) == count


@then("the prefix index holds at most {count:d} entries")
def check_size(context, count):
    assert len(context.index) <= count, len(context.index)


@then("a prompt of {words:d} words matches {count:d} endpoints")
def check_match_count(context, words, count):
    assert len(context.index.match(build_prompt(words))) == count


@then("repeated matches of {words:d} words reach all {count:d} endpoints")
def check_rotation(context, words, count):
    prompt = build_prompt(words)
    reached = set()
    for _ in range(count):
        reached |= context.index.match(prompt).keys()
    assert len(reached) == count, len(reached)


@then("a prompt of {words:d} words has {count:d} prefix hashes")
def check_hash_count(context, words, count):
    hashes = prefixes.hash_prefixes(build_prompt(words))
    assert len(hashes) == count, len(hashes)


@then("endpoint {endpoint_id} holds the {blocks:d} blocks of {words:d} words")
def check_held(context, endpoint_id, blocks, words):
    hashes = prefixes.hash_prefixes(build_prompt(words))
    assert context.index.count_blocks(endpoint_id, hashes) == blocks


@then("a prompt with a lone surrogate has 1 prefix hash")
def check_surrogate(context):
    prompt = "\ud800 " * 20
    assert len(prefixes.hash_prefixes(prompt)) == 1
