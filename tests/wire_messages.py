"""Messages between instances, as a build of this repository writes them.

``python -m tests.wire_messages`` writes them as JSON. Run in a worktree of an
older commit, with this file copied into it, it records that build's messages.
"""

import base64
import json
import sys
import types
import zlib

import attrs
from thrift.protocol import TCompactProtocol
from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from mulberryhollow.coordination import duties
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import membership
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow.protocol import aggregates
from mulberryhollow.protocol import draws
from mulberryhollow.protocol import forwarding
from mulberryhollow.protocol.gen.peer import ttypes
from mulberryhollow.protocol import peer_requests
from mulberryhollow.protocol import peers
from mulberryhollow.protocol import permits
from mulberryhollow.protocol import relays
from mulberryhollow.serving import fleet_peering
from mulberryhollow.serving import stored_quarantine
from mulberryhollow.state import catalogue
from mulberryhollow.state import facts
from mulberryhollow.state import fleet
from mulberryhollow.state import object_log
from mulberryhollow.state import objects

NOW_S = 50.0
WALL_S = 1_800_000_000.0
KEY = b"k" * 32
PROTOCOL = TCompactProtocol.TCompactProtocolAcceleratedFactory(fallback=True)

MEMBER = membership.Member(
    "i1", 7, "10.0.0.1:7400", "10.0.0.1:8400", "d1", "r1", 12.5
)
MEMBER_STATE = membership.MemberState(MEMBER, 3)
EXCHANGE = membership.Exchange(
    -5,
    (facts.Fact(facts.Topic.NOTICE, "leaving e1", 1, b"", WALL_S),),
    (facts.FactId(facts.Topic.DOCUMENT, "main", 9),),
    (facts.FactId(facts.Topic.VERDICT, "m", 2),),
    (1, -2),
    900,
)
ENVELOPE = peers.sign(
    peers.Envelope("i1", 7, 4, WALL_S, "10.0.0.2:7400", "t", b"p", b"r"), KEY
)
REPORT = aggregates.AggregateReport(
    "i1",
    "d1",
    sharing.Total(
        sharing.Amounts({"acme": 40}, {"0a1b": 3}, {"chat": 0.25}), 2
    ),
    True,
    ['{"source":"i1.7","windows":{"3":{"acme":2}}}'],
    True,
    {"servers": 17},
)
CHAIN = routing.PromptChain((11, 12), (100, 250), 300, 1)
REQUEST = forwarding.ForwardRequest(
    request_id="q1",
    route="answers",
    service="chat",
    account="acme",
    kind=catalogue.RequestKind.STREAM,
    arrived_s=NOW_S,
    deadline_s=NOW_S + 2.0,
    goal_s=0.5,
    payload=forwarding.Payload("POST", "/a?b", (("X-A", "1"),), b"body\n\xff"),
    host="h",
    gap_goal_s=0.4,
    priority=2,
    chain=CHAIN,
    cost=300.0,
    last_event_id="5",
    fingerprint="f1",
    parts=("p1", "p2"),
)
DRAW = draws.Draw(
    "acme",
    300.0,
    attrs.evolve(REQUEST.to_route_request(), idempotent=True),
)
GRANTED = draws.DrawnCredit(None, "e1", routing.Permit("n", "i2"))
EXCEEDED = draws.DrawnCredit(
    limits.QuotaExceeded("acme", 1.5, -20.0, 0.25, 100.0)
)
QUESTION = permits.PermitQuestion("e1", "acme", "n", 1.5, 0.25, 6)
RELAYED = object_log.FollowerState(
    object_log.ObjectChanges(
        3,
        9,
        (
            objects.StoredObject(
                "servers", "e1", 8, b"{}\xff", "c", True, b"s"
            ),
        ),
        False,
    ),
    NOW_S - 0.5,
    NOW_S - 4.0,
)
REFUSAL = errors.Refusal(
    errors.RefusalKind.OVER_SHARE, "why", "later", retry_after_s=0.5
)
HEAD = forwarding.AnswerHead(
    200, (), is_leaving=True, rate_limit=forwarding.RateLimit(5.0)
)
LISTING = fleet.EndpointListing(
    "e1", 1700, "chat", "10.0.0.9:80", "d1", "v1", 4, True, True, 2.5
)


def write_lease():
    """Return the lease object that instance i1 writes first."""
    lease = duties.Lease("i1", duties.LeaseRules())
    lease.plan(10.0)
    lease.observe(None, 10.0)
    return lease.plan(15.0).value


def read_lease(value):
    """Return the holder that another instance reads."""
    lease = duties.Lease("i2", duties.LeaseRules())
    lease.observe(objects.StoredObject("duty", "lease", 1, value), 10.0)
    return lease.holder


def write_usage():
    """Return the counts of one window."""
    ledger = duties.UsageLedger("i1.7", 10.0)
    ledger.record("acme", 35.0)
    ledger.record("acme", 36.0)
    return ledger.encode(36.0).encode()


def read_usage(data):
    """Return the counts that a peer merges."""
    ledger = duties.UsageLedger("i2.1", 10.0)
    ledger.merge(data)
    return ledger.total(3)


def write_listings():
    """Return the answer to a peer of level 0 that asks for the endpoints."""
    watcher = types.SimpleNamespace(listings=(LISTING,))
    peering = fleet_peering.FleetPeering(None, watcher, tuple)
    return peering._answer(b"")


def read_listings(data):
    """Return the listings that an instance adopts from a peer."""
    adopted = []
    watcher = types.SimpleNamespace(is_known=False, adopt=adopted.extend)
    caller = types.SimpleNamespace(call=lambda *arguments: data)
    member = types.SimpleNamespace(instance_id="i2")
    fleet_peering.FleetPeering(caller, watcher, lambda: [member]).tick()
    return adopted


def read_member_fact(value):
    """Return the state in a member fact with a given value."""
    fact = membership.encode_fact(MEMBER_STATE, WALL_S)
    return membership.decode_fact(attrs.evolve(fact, value=value))


def read_envelope(data):
    """Return the envelope in bytes, whose signature is verified."""
    wire = deserialize(ttypes.Envelope(), data, PROTOCOL)
    envelope = peers.from_wire(wire)
    peers.verify(envelope, KEY)
    return envelope


def read_head(text):
    """Return what a peer's header tells of an answer."""
    head = peer_requests.decode_head(
        200, ((peer_requests.OUTCOME_HEADER, text.decode()),)
    )
    return head.refusal or (
        head.request_id,
        head.endpoint_id,
        head.is_leaving,
        head.rate_limit,
    )


@attrs.frozen
class Message:
    """A message, how it is written and what is read from it.

    Parameters
    ----------
    write : callable
        Returns the bytes that this build writes.
    read : callable
        Returns what this build reads in bytes.
    expected : object
        What is read.
    further : tuple
        Paths in the JSON to the objects and lists to which a newer build may
        add a field.
    is_packed : bool
        Whether the JSON is compressed.
    """

    write: object
    read: object
    expected: object
    further: tuple = ((),)
    is_packed: bool = False

    def unpack(self, data):
        """Return the JSON text in the bytes."""
        return zlib.decompress(data) if self.is_packed else data

    def extend(self, data):
        """Return the bytes as a newer build with further fields has them."""
        text, newline, body = self.unpack(data).partition(b"\n")
        fields = json.loads(text)
        for path in self.further:
            found = fields
            for step in path:
                found = found[step]
            if isinstance(found, dict):
                found["future"] = {"a": [1]}
            else:
                found.append("future")
        text = json.dumps(fields).encode() + newline + body
        return zlib.compress(text) if self.is_packed else text


MESSAGES = {
    "exchange": Message(
        lambda: peers.encode_exchange(EXCHANGE),
        peers.decode_exchange,
        EXCHANGE,
        None,
    ),
    "envelope": Message(
        lambda: serialize(peers.to_wire(ENVELOPE), PROTOCOL),
        read_envelope,
        ENVELOPE,
        None,
    ),
    "member fact": Message(
        lambda: membership.encode_fact(MEMBER_STATE, WALL_S).value,
        read_member_fact,
        MEMBER_STATE,
    ),
    "registration": Message(
        lambda: membership.encode_registration(MEMBER),
        membership.decode_registration,
        MEMBER,
    ),
    "aggregate report": Message(
        lambda: aggregates.encode_report(REPORT),
        aggregates.decode_report,
        REPORT,
        ((), ("total",), ("total", "amounts")),
        is_packed=True,
    ),
    "draw": Message(
        lambda: draws.encode_draw(REQUEST, NOW_S),
        lambda data: draws.decode_draw(data, NOW_S),
        attrs.evolve(
            DRAW,
            route_request=attrs.evolve(
                DRAW.route_request, idempotent=REQUEST.kind.is_repeatable
            ),
        ),
        ((), ("chain",)),
    ),
    "drawn credit": Message(
        lambda: draws.encode_drawn(GRANTED),
        lambda data: draws.decode_drawn("acme", data),
        GRANTED,
        ((), ("permit",)),
    ),
    "exceeded quota": Message(
        lambda: draws.encode_drawn(EXCEEDED),
        lambda data: draws.decode_drawn("acme", data),
        EXCEEDED,
        ((), ("exceeded",)),
    ),
    "permit question": Message(
        lambda: permits.encode_question(QUESTION, 0),
        permits.decode_question,
        QUESTION,
    ),
    "granted permit": Message(
        lambda: permits.encode_permit(limits.PermitGranted()),
        permits.decode_permit,
        limits.PermitGranted(),
        (),
    ),
    "refused permit": Message(
        lambda: permits.encode_permit(limits.PermitRefused(0.5)),
        permits.decode_permit,
        limits.PermitRefused(0.5),
        (),
    ),
    "relayed objects": Message(
        lambda: json.dumps(relays.encode_relayed(RELAYED, NOW_S)).encode(),
        lambda data: relays.decode_relayed(json.loads(data), NOW_S),
        RELAYED,
        ((), ("changes",), ("changes", "items", 0)),
    ),
    "forwarded request": Message(
        lambda: peer_requests.encode_call(REQUEST, 2.0, "").body,
        lambda data: peer_requests.decode_request(data, NOW_S),
        REQUEST,
        ((), ("chain",)),
    ),
    "forwarded answer": Message(
        lambda: peer_requests.encode_outcome(HEAD, "q1", "e1")[0][1].encode(),
        read_head,
        ("q1", "e1", True, forwarding.RateLimit(5.0)),
    ),
    "forwarded refusal": Message(
        lambda: peer_requests.encode_refusal(REFUSAL)[1][0][1].encode(),
        read_head,
        REFUSAL,
    ),
    "endpoint listings": Message(
        write_listings, read_listings, [LISTING], ((0,),)
    ),
    "usage counts": Message(write_usage, read_usage, {"acme": 2}),
    "usage report": Message(
        lambda: duties.UsageReport(3, {"acme": 2}).encode(),
        duties.UsageReport.decode,
        duties.UsageReport(3, {"acme": 2}),
    ),
    "quarantine entry": Message(
        lambda: stored_quarantine._Entry(("e1", "e2"), WALL_S).encode(),
        stored_quarantine._Entry.decode,
        stored_quarantine._Entry(("e1", "e2"), WALL_S),
    ),
    "lease": Message(write_lease, read_lease, "i1"),
}


def main():
    """Write the messages of the build that is imported."""
    recorded = {
        name: base64.b64encode(message.write()).decode()
        for name, message in MESSAGES.items()
    }
    json.dump(recorded, sys.stdout, indent=1)
    sys.stdout.write("\n")


if __name__ == "__main__":
    main()
