import json
import types
import zlib

from behave import then

from mulberryhollow.coordination.booking import claim
from mulberryhollow.coordination.duties import lease
from mulberryhollow.coordination.duties import usage as ledgers
from mulberryhollow.coordination import membership
from mulberryhollow.platform import records
from mulberryhollow.platform import settings
from mulberryhollow.platform import store
from mulberryhollow.protocol import aggregates
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import claims
from mulberryhollow.protocol import cloud
from mulberryhollow.protocol import document
from mulberryhollow.protocol import draws
from mulberryhollow.protocol import endpoints
from mulberryhollow.protocol import handover
from mulberryhollow.protocol import moves
from mulberryhollow.protocol import peer_requests
from mulberryhollow.protocol import permits
from mulberryhollow.protocol import relays
from mulberryhollow.protocol import status
from mulberryhollow.serving import capacity
from mulberryhollow.serving import stored_quarantine
from mulberryhollow.state import environment
from mulberryhollow.state import facts
from mulberryhollow.state import objects

DEEP = b"[" * 200_000 + b"]" * 200_000
LONG = b"9" * 5000
VALUES = (DEEP, LONG, b"9" * 400, b"1e999", b"-5", b"null", b'"x"', b"[]")
FIELDS = (
    "renewals holder running seq number end source windows version metadata "
    "revision items remaining_s chain request exceeded ledger_since_s kind "
    "contact_age_s recovery_age_s changes stored_s endpoints total claim "
    "bucket incarnation started_s instance_id has_rate_limit address"
)
MALFORMED = (
    b"",
    b"\xff\xfe\x00",
    b"{",
    b"[[]]",
    *VALUES,
    *(
        b"{"
        + b",".join(
            b'"%s":%s' % (name, each) for name in FIELDS.encode().split()
        )
        + b"}"
        for each in VALUES
    ),
    *(b"[%s,%s,%s,%s,%s,%s]" % ((each,) * 6) for each in VALUES[:5]),
)
VALUE_ERRORS = {
    "aggregate report": lambda data: aggregates.decode_report(
        zlib.compress(data)
    ),
    "detached answer": handover.decode_answer,
    "request of a peer": lambda data: peer_requests.decode_request(data, 0.0),
    "answer of a peer": lambda data: peer_requests.decode_head(
        200, ((peer_requests.OUTCOME_HEADER, data.decode("latin-1")),)
    ),
    "draw": lambda data: draws.decode_draw(data, 0.0),
    "drawn credit": lambda data: draws.decode_drawn("a", data),
    "claim call": claims.decode_call,
    "claim result": claims.decode_result,
    "permit question": permits.decode_question,
    "permit": permits.decode_permit,
    "ledger start": endpoints.decode_ledger_start,
    "line of a stream": endpoints.decode_line,
    "load report": endpoints.decode_load,
    "list of instances": cloud.decode_instances,
    "list of notices": cloud.decode_notices,
    "member fact": lambda data: membership.decode_fact(
        facts.Fact(facts.Topic.MEMBER, "i", 1, data)
    ),
    "registration": membership.decode_registration,
    "bucket of claims": claim.decode_claims,
    "usage counts": lambda data: ledgers.UsageLedger("a", 5.0).merge(data),
    "relayed objects": lambda data: relays.decode_relayed(
        {"recovery_age_s": 1, "contact_age_s": data.decode("latin-1")}, 0.0
    ),
    "evacuation": lambda data: records.decode_evacuation(
        objects.StoredObject("evacuations", "z", 1, data)
    ),
    "entry of an endpoint": lambda data: records.decode_listing(
        objects.StoredObject("servers", "e", 1, data)
    ),
}
OWN_ERRORS = {
    "status": status.decode_status,
    "histograms": status.decode_histograms,
    "document": document.parse,
    "configuration": lambda data: records.decode_catalogue(data, 1),
    "move record": lambda data: moves.decode(data, 1),
    "settings file": settings.decode_settings,
    "caller's body": lambda data: callers.parse_body(
        data, environment.RequestClass.CHAT
    ),
}
ABSENT = {
    "lease": lease._decode,
    "capacity record": capacity.PlanRecord.decode,
    "usage report": ledgers.UsageReport.decode,
    "stored quarantine": stored_quarantine._Entry.decode,
    "answer to a write": lambda data: (
        store.PlatformDialect().decode_written_version(
            types.SimpleNamespace(data=data)
        )
    ),
}
EMPTY = {"free": "", "empty": capacity.PlanRecord(), "none": None, "0": 0}


def list_outcomes(decode):
    """Return the value or the error for each malformed text."""
    outcomes = []
    for data in MALFORMED:
        try:
            outcomes.append(decode(data))
        except Exception as error:  # noqa: BLE001
            outcomes.append(error)
    return outcomes


def list_errors(decode):
    found = list_outcomes(decode)
    return [each for each in found if isinstance(each, Exception)]


@then("each malformed {message} is refused with a value error")
def check_value_errors(context, message):
    found = list_errors(VALUE_ERRORS[message])
    assert len(found) > len(MALFORMED) / 2, found
    wrong = [each for each in found if not isinstance(each, ValueError)]
    assert not wrong, wrong
    too_long = [each for each in found if len(str(each)) > 1000]
    assert not too_long, len(str(too_long[0]))


@then("each malformed {message} raises {name}")
def check_own_errors(context, message, name):
    found = list_errors(OWN_ERRORS[message])
    assert len(found) > len(MALFORMED) / 2, found
    names = {type(each).__name__ for each in found}
    assert names == {name}, names


@then("each malformed {name} counts as {absent}")
def check_absent(context, name, absent):
    found = list_outcomes(ABSENT[name])
    assert not [each for each in found if isinstance(each, Exception)], found
    assert found[:4] == [EMPTY[absent]] * 4, found


@then("a registration whose {field} is {value} is refused")
def check_registration(context, field, value):
    if value == "400 digits":
        value = "9" * 400
    member = membership.Member("i", 1, "a:1", "a:2", "d", "r", 5.0)
    sound = membership.encode_registration(member)
    assert membership.decode_registration(sound) == member
    fields = json.loads(sound) | {field: json.loads(value)}
    try:
        membership.decode_registration(json.dumps(fields).encode())
    except ValueError:
        return
    raise AssertionError("the registration was accepted")
