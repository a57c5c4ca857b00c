import pathlib
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import xxhash

from mulberryhollow import errors
from mulberryhollow.protocol import document
from mulberryhollow.state import environment

EXAMPLE = pathlib.Path("examples/production.ini")


def parse(data):
    """Return the parsed document, or the tuple of its faults."""
    try:
        return document.parse(data, 7)
    except errors.ConfigurationError as error:
        return error.faults


@given('the example document with "{old}" replaced by "{new}"')
def replace_in_document(context, old, new):
    text = EXAMPLE.read_text(encoding="utf-8")
    assert old in text
    context.data = text.replace(old, new.replace("\\n", "\n")).encode()


@given('the document text "{text}"')
def set_document(context, text):
    context.data = text.replace("\\n", "\n").encode()


@given("a document of {count:d} repeated sections")
def repeat_sections(context, count):
    context.data = b"[council one]\n" * count


@given("a document of {count:d} bytes")
def make_long_document(context, count):
    context.data = b"#" * count


@when("the document in {path} is parsed")
def parse_file(context, path):
    context.data = pathlib.Path(path).read_bytes()
    context.parsed = parse(context.data)


@when("the document is parsed")
def parse_document(context):
    context.parsed = parse(context.data)


@then(
    "the document has {councils:d} councils, {accounts:d} client accounts"
    " and {services:d} services"
)
def check_counts(context, councils, accounts, services):
    parsed = context.parsed
    counts = [len(parsed.councils), len(parsed.accounts), len(parsed.services)]
    assert counts == [councils, accounts, services], counts


@then("the document keeps its version and the digest of its bytes")
def check_identity(context):
    assert context.parsed.version == 7
    expected = xxhash.xxh3_128(context.data).hexdigest()
    assert context.parsed.digest == document.digest(context.data) == expected


@then('the document has a fault at "{section}" key "{key}" with a remedy')
@then('the document has a fault at "{section}" key "" with a remedy')
@then('the document has a fault at "" key "" with a remedy')
def check_fault(context, section="", key=""):
    fault_keys = [(fault.section, fault.key) for fault in context.parsed]
    assert (section, key) in fault_keys, fault_keys
    assert all(fault.message and fault.remedy for fault in context.parsed)


@then("the document has {count:d} faults")
def check_fault_count(context, count):
    assert len(context.parsed) == count, list(map(str, context.parsed))


@then("parsing arbitrary bytes returns a document or faults")
def check_any_bytes(context):
    @hypothesis.given(strategies.binary() | strategies.text().map(str.encode))
    def check(data):
        assert parse(data)

    check()


@then("parsing shuffled lines of the example returns a document or faults")
def check_any_lines(context):
    lines = EXAMPLE.read_text(encoding="utf-8").splitlines()
    odd = ["[", "[]", "[environment]", " = ", "= x", "name", "  more", "\r"]

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(lines + odd)),
        strategies.randoms(use_true_random=False),
    )
    def check(picked, source: random.Random):
        kept = [line for line in lines if source.random() < 0.9]
        parsed = parse("\n".join(kept + picked).encode())
        assert isinstance(parsed, environment.Environment) or all(parsed)

    check()
