"""What the instances tell each other, and what each makes of it."""

import concurrent.futures
import functools
import json
import threading

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import cloud
from mulberryhollow.protocol import handover
from mulberryhollow.serving import documents
from mulberryhollow.state import facts

__all__ = ["PeerLink", "PeerLinkParts"]

CLAIM_TOPIC = "claims.run"
CRASH_TOPIC = "request.crash"
FETCH_TOPIC = "request.fetch"
PARK_TOPIC = "request.park"

CALL_TIMEOUT_S = 1.0
"""Longest time of a call to a peer for a request, in seconds."""

TELL_TIMEOUT_S = 0.25
"""Longest wait for peers to hear of a quarantine, in seconds."""

TOLD_PEERS = 8
"""Peers that hear of a quarantine before the caller does."""

HOLDERS = 2
"""Peers that an answer is handed over to."""

FETCH_PEERS = 4
"""Peers that are asked for an answer, beside the one that accepted it."""

VOLATILE_EXPIRY_S = 10.0
"""Time after which a load or demand is no longer believed, in seconds."""

LATCHED_EXPIRY_S = 24 * 3600.0
"""Time after which a crash or notice is forgotten, in seconds."""

_LATEST_MS = 1 << 46


@attrs.frozen
class PeerLinkParts:
    """What a peer link connects.

    Parameters
    ----------
    peers : Peers
        Facts and calls.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Takes load, demand and crashes.
    documents : pykka.ActorRef
        Takes documents.
    parked : Parked
        Keeps answers that are handed over.
    claims : ClaimStore
        Carries out the calls of peers on claims.
    take_notice : callable
        Takes a Notice.
    """

    peers: object
    clock: object
    dispatcher: object
    documents: object
    parked: object
    claims: object
    take_notice: object


class PeerLink:
    """Publishes what this instance knows and applies what others tell.

    Parameters
    ----------
    parts : PeerLinkParts
        What it connects.

    Notes
    -----
    Nothing told here proves ownership of anything: a fact that is lost,
    doubled or late costs time or money, never safety.
    """

    def __init__(self, parts):
        self._parts = parts
        self._me = parts.peers.me()
        self._listed = {}
        self._lock = threading.Lock()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            TOLD_PEERS, thread_name_prefix="tell"
        )
        self.usable = ()
        self.last_contact_s = None

    def connect(self):
        """Subscribe to facts and answer calls."""
        peers = self._parts.peers
        peers.subscribe(facts.Topic.DOCUMENT, self._take_document)
        peers.subscribe(facts.Topic.QUARANTINE, self._take_crash)
        peers.subscribe(facts.Topic.NOTICE, self._take_notice)
        peers.subscribe(facts.Topic.LOAD, self._take_load)
        peers.subscribe(facts.Topic.DEMAND, self._take_demand)
        peers.handle(FETCH_TOPIC, self._answer_fetch)
        peers.handle(PARK_TOPIC, self._answer_park)
        peers.handle(CRASH_TOPIC, self._answer_crash)
        peers.handle(CLAIM_TOPIC, self._parts.claims.answer)

    def tick(self):
        """Publish load and demand; notice who is there."""
        views = self._parts.peers.members()
        others = [
            view
            for view in views
            if view.member.instance_id != self._me.instance_id
        ]
        gone = [view for view in others if not view.is_usable]
        self.usable = tuple(view.member for view in others if view.is_usable)
        if self.usable:
            self.last_contact_s = self._parts.clock.now_s()
        names = [view.member.instance_id for view in gone]
        self._parts.dispatcher.change(
            functools.partial(_apply_members, len(self.usable) + 1, names)
        )
        told = self._parts.dispatcher.read(_read_own)
        self._publish_json(facts.Topic.LOAD, told.loads)
        self._publish_json(facts.Topic.DEMAND, told.demand)

    def is_owner(self, task):
        """Return whether this instance usually does a task.

        Parameters
        ----------
        task : str
            Name of the task.

        Notes
        -----
        Instances that see different members may both think so.
        """
        names = [each.instance_id for each in self.usable]
        names.append(self._me.instance_id)
        ranked = membership.rank_by_rendezvous(task, names)
        return ranked[0] == self._me.instance_id

    def publish_document(self, environment_name, document):
        """Tell the peers the document in force."""
        self._publish(
            facts.Topic.DOCUMENT,
            environment_name,
            document.version,
            document.data,
        )

    def find_claim_owner(self, bucket):
        """Return the usual owner of a claim bucket; None for this one."""
        names = [each.instance_id for each in self.usable]
        names.append(self._me.instance_id)
        owner = membership.rank_by_rendezvous(f"claims {bucket}", names)[0]
        return None if owner == self._me.instance_id else owner

    def forward_claim(self, owner, payload):
        """Return what the usual owner answers to a call on claims.

        Raises
        ------
        PeerError
            When it gives no answer.
        """
        return self._parts.peers.call(
            owner, CLAIM_TOPIC, payload, CALL_TIMEOUT_S
        )

    def tell_crash(self, fingerprint, endpoint_id, is_quarantined):
        """Tell the peers that a request took down an endpoint.

        Parameters
        ----------
        fingerprint, endpoint_id : str
            The request and the endpoint.
        is_quarantined : bool
            Whether the request is refused from now on: then the nearest
            peers know it before its caller can send it to them.
        """
        self._publish_crash(fingerprint, endpoint_id)
        if not is_quarantined:
            return
        payload = f"{fingerprint} {endpoint_id}".encode()
        names = [each.instance_id for each in self.usable]
        ranked = membership.rank_by_rendezvous(fingerprint, names)
        calls = [
            self._threads.submit(self._call, each, CRASH_TOPIC, payload)
            for each in ranked[:TOLD_PEERS]
        ]
        concurrent.futures.wait(calls, TELL_TIMEOUT_S)

    def _publish_crash(self, fingerprint, endpoint_id):
        """Publish the crash as a fact."""
        self._publish(
            facts.Topic.QUARANTINE,
            f"{fingerprint} {endpoint_id}",
            1,
            b"",
            LATCHED_EXPIRY_S,
        )

    def publish_notice(self, notice):
        """Tell the peers a reclaim notice; the earliest time wins."""
        fields = attrs.asdict(notice)
        self._publish(
            facts.Topic.NOTICE,
            f"{notice.instance} {notice.failure_domain}",
            _LATEST_MS - int(notice.reclaim_at_s * 1000),
            json.dumps(fields).encode(),
            LATCHED_EXPIRY_S,
        )

    def hand_over(self, answer):
        """Give an answer to peers elsewhere; return whether one has it."""
        payload = handover.encode_answer(answer)
        chosen = self._choose_holders(answer.request.request_id)
        answers = [self._call(each, PARK_TOPIC, payload) for each in chosen]
        return b"1" in answers

    def fetch(self, request_id):
        """Ask peers for an answer; return it, or None."""
        origin = callers.get_origin(request_id)
        ranked = self._rank(request_id, self.usable)[:FETCH_PEERS]
        names = dict.fromkeys([origin, *ranked])
        for name in names:
            if name == self._me.instance_id:
                continue
            data = self._call(name, FETCH_TOPIC, request_id.encode())
            if data:
                return handover.decode_answer(data)
        return None

    def _choose_holders(self, request_id):
        """Return the peers in other failure domains to hand over to."""
        elsewhere = [
            member
            for member in self.usable
            if member.failure_domain != self._me.failure_domain
        ]
        return self._rank(request_id, elsewhere or self.usable)[:HOLDERS]

    @staticmethod
    def _rank(request_id, members):
        """Return instance ids, the usual holder of a request first."""
        names = [member.instance_id for member in members]
        return membership.rank_by_rendezvous(request_id, names)

    def _call(self, instance, topic, payload):
        """Return the answer of a peer, or None."""
        try:
            return self._parts.peers.call(
                instance, topic, payload, CALL_TIMEOUT_S
            )
        except errors.PeerError:
            return None

    def _answer_fetch(self, payload):
        """Give a parked answer away; empty when there is none."""
        answer = self._parts.parked.take(payload.decode())
        return handover.encode_answer(answer) if answer else b""

    def _answer_park(self, payload):
        """Keep an answer for a peer that is leaving."""
        self._parts.parked.park(handover.decode_answer(payload))
        return b"1"

    def _take_document(self, fact):
        """Offer a document that a peer has in force."""
        self._parts.documents.tell(documents.Offer(fact.version, fact.value))

    def _take_crash(self, fact):
        """Add a crash to the quarantine."""
        fingerprint, _, endpoint_id = fact.key.partition(" ")
        self._parts.dispatcher.change(
            lambda actor, now_s: actor.quarantine.record_crash(
                fingerprint, endpoint_id
            )
        )

    def _answer_crash(self, payload):
        """Refuse a request from now on that a peer has quarantined."""
        fingerprint, _, _ = payload.decode().partition(" ")
        self._parts.dispatcher.change(
            lambda actor, now_s: actor.quarantine.condemn(fingerprint)
        )
        return b"1"

    def _take_notice(self, fact):
        """Take a reclaim notice."""
        self._parts.take_notice(cloud.Notice(**json.loads(fact.value)))

    def _take_load(self, fact):
        """Take what a peer has sent to endpoints since their reports."""
        if fact.key == self._me.instance_id:
            return
        loads = json.loads(fact.value)
        with self._lock:
            before = self._listed.get(fact.key, ())
            self._listed[fact.key] = tuple(loads)
        amounts = dict.fromkeys(before, 0.0) | loads
        self._parts.dispatcher.change(
            functools.partial(_apply_peer_load, fact.key, amounts)
        )

    def _take_demand(self, fact):
        """Take what client accounts ask of a peer."""
        if fact.key == self._me.instance_id:
            return
        demand = json.loads(fact.value)
        self._parts.dispatcher.change(
            lambda actor, now_s: actor.admission.report_demand(
                fact.key, demand, now_s
            )
        )

    def _publish_json(self, topic, value):
        """Publish a volatile fact of this instance."""
        self._publish(
            topic,
            self._me.instance_id,
            int(self._parts.clock.wall_s() * 1000),
            json.dumps(value, separators=(",", ":")).encode(),
            VOLATILE_EXPIRY_S,
        )

    def _publish(self, topic, key, version, value, expiry_s=0.0):
        """Publish one fact; an expiry of 0 keeps it."""
        expires_s = self._parts.clock.wall_s() + expiry_s if expiry_s else 0.0
        self._parts.peers.publish(
            facts.Fact(topic, key, version, value, expires_s)
        )


@attrs.frozen
class _Own:
    """Load and demand of this instance.

    Parameters
    ----------
    loads : dict
        Endpoint id to requests sent since its last report.
    demand : dict
        Client account to its demand, in tokens a second.
    """

    loads: dict
    demand: dict


def _read_own(actor, now_s):
    """Return what the dispatch actor knows of this instance."""
    ids = [record.endpoint.id for record in actor.view]
    amounts = {each: actor.view.get_own_load(each) for each in ids}
    loads = {each: amount for each, amount in amounts.items() if amount}
    return _Own(loads, actor.admission.list_demand(now_s))


def _apply_members(live, gone, actor, now_s):
    """Set the number of live instances and forget those that are gone."""
    actor.admission.set_live_nodes(live, now_s)
    for name in gone:
        actor.view.drop_peer(name)


def _apply_peer_load(node, amounts, actor, now_s):
    """Set what a peer has sent to endpoints."""
    for endpoint_id, amount in amounts.items():
        actor.view.set_peer_inflight(node, endpoint_id, amount)
