import pathlib
import re

import attrs
from behave import given
from behave import then

from mulberryhollow.protocol import document
from mulberryhollow.state import environment
from mulberryhollow.state import keys

LISTED = re.compile(r"\| client account `(.+)` \| `(.+)` \|")


@given("the example document and its listed keys")
def read_example(context):
    examples = pathlib.Path("examples")
    data = (examples / "production.ini").read_bytes()
    text = (examples / "README.md").read_text(encoding="utf-8")
    context.environment = document.parse(data)
    context.listed = LISTED.findall(text)


@then("each listed key finds its own client account, also a second time")
def check_listed(context):
    ring = keys.KeyRing(context.environment)
    found = {name: ring.find(key).name for name, key in context.listed * 2}
    assert set(found) == set(context.environment.accounts)
    assert all(name == other for name, other in found.items())


@then("a wrong, an empty and a malformed key find none")
def check_wrong(context):
    ring = keys.KeyRing(context.environment)
    wrong = ["example-key", "", "\udc80", "\0"]
    assert [ring.find(key) for key in wrong] == [None] * 4
    assert keys.find_account(context.environment, "") is None


@then('no key matches the hashes ":", "zz:00", "00" and an empty one')
def check_malformed(context):
    hashes = [":", "zz:00", "00", "", "00" * 99 + ":00"]
    assert not any(keys.verify("key", each) for each in hashes)


@then("{count:d} accounts leave at most {limit:d} cached keys")
def check_bound(context, count, limit):
    salt = "00" * 8
    ring = keys.KeyRing(environment.Environment("x", 1.0, 1.0))
    for number in range(count):
        key_hash = keys.make_hash(f"key {number}", salt)
        account = environment.Account("one", "two", key_hash)
        ring._environment = attrs.evolve(
            ring._environment, accounts={"one": account}
        )
        assert ring.find(f"key {number}") is account
    assert len(ring._accounts) <= limit
