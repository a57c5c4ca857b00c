import base64
import json
import pathlib
import zlib

import attrs
from behave import then
from behave import when

from mulberryhollow.coordination import sharing
from mulberryhollow.protocol import aggregates
from mulberryhollow.protocol import peer_requests
from tests import wire_messages

RECORDED = json.loads(
    pathlib.Path("tests/protocol/recorded/b231d2d.json").read_text()
)
THRIFT_FIELD = b"\x15\x02\x00"
"""An i32 field with the next number, and the end of the struct."""


def get_recorded(name):
    return wire_messages.MESSAGES[name], base64.b64decode(RECORDED[name])


@then("the recorded {name} is read")
def check_read(context, name):
    message, data = get_recorded(name)
    found = message.read(data)
    assert found == message.expected, found


@then("this build writes the {name} with the same content")
def check_written(context, name):
    message, data = get_recorded(name)
    found, expected = map(message.unpack, (message.write(), data))
    assert found == expected, (found, expected)


@then("this build writes the {name} with more content")
def check_superset(context, name):
    message, data = get_recorded(name)
    found, expected = map(json.loads, (message.write(), data))
    assert found | expected == found != expected, (found, expected)


@then("the {name} with fields of a newer build is read")
def check_extended(context, name):
    message, data = get_recorded(name)
    if message.further is None:
        extended = data[:-1] + THRIFT_FIELD
    else:
        extended = message.extend(data)
    found = message.read(extended)
    assert found == message.expected, found


@then("the {name} without its field {field} is refused")
def check_refused(context, name, field):
    message, data = get_recorded(name)
    fields = json.loads(message.unpack(data))
    del fields[field]
    data = json.dumps(fields).encode()
    try:
        message.read(zlib.compress(data) if message.is_packed else data)
    except ValueError:
        return
    raise AssertionError(name)


def make_full_report():
    tables = {name: {"a": 1} for name in attrs.fields_dict(sharing.Amounts)}
    total = sharing.Total(sharing.Amounts(**tables), 1)
    return aggregates.AggregateReport("i1", "d1", total)


@then("a report with every table has those of level 0 for a peer of level 0")
def check_tables_of_level(context):
    data = aggregates.encode_report(make_full_report(), 0)
    found = json.loads(zlib.decompress(data))["total"]["amounts"]
    assert sorted(found) == ["demand", "loads", "work"], found


@then("a report with every table is read back unchanged at level 1")
def check_all_tables(context):
    report = make_full_report()
    data = aggregates.encode_report(report, 1)
    assert aggregates.decode_report(data) == report


@when("a peer refuses with kind {kind} and exact kind {exact} as {ran}")
def refuse(context, kind, exact, ran):
    text = peer_requests.encode_refusal(wire_messages.REFUSAL)[1][0][1]
    fields = json.loads(text) | {"refusal": kind, "exact": exact, "ran": ran}
    context.refusal = wire_messages.read_head(json.dumps(fields).encode())


@then("the refusal is read as {kind} and {status}")
def check_refusal(context, kind, status):
    found = context.refusal.kind.name, context.refusal.ran.name
    assert found == (kind, status), found
