"""Peering between instances that serve the product's own interface."""

import functools
import json
import threading

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import cloud
from mulberryhollow.protocol import handover
from mulberryhollow.serving import fact_peering
from mulberryhollow.state import decoding
from mulberryhollow.state import facts

__all__ = ["InstancePeering", "InstancePeeringDependencies"]

CLAIM_TOPIC = "claims.run"
FETCH_TOPIC = "request.fetch"
HANDOVER_TOPIC = "request.park"

MAX_HANDOVER_PEERS = 2
"""Number of peers to which an answer is handed over."""

MAX_FETCH_PEERS = 4
"""Maximum number of peers that are asked for an answer.

The instance that accepted the request is asked first and does not count.
"""

VOLATILE_EXPIRY_S = 10.0
"""Time after which a published load or demand expires, in seconds."""

# Upper bound of reclaim times, in Unix milliseconds. The version of a notice
# is its distance from this bound, so that the earliest time wins.
_MAX_RECLAIM_MS = 1 << 46


@attrs.frozen
class InstancePeeringDependencies:
    """Dependencies of the peering.

    Parameters
    ----------
    peers : Peers
        Gossip of facts, and calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Receives load, demand and crashes.
    documents : pykka.ActorRef
        Receives documents.
    detached_answers : DetachedAnswerCache
        Stores detached answers that peers hand over.
    claims : ClaimStore
        Runs the claim operations that peers forward.
    on_notice : callable
        Called with each Notice that a peer publishes.
    """

    peers: object
    clock: object
    dispatcher: object
    documents: object
    detached_answers: object
    claims: object
    on_notice: object


class InstancePeering(fact_peering.FactPeering):
    """Extends `FactPeering` with what the product's own interface needs.

    That is load, demand, reclaim notices, claim operations and detached
    answers.

    Parameters
    ----------
    dependencies : InstancePeeringDependencies
        Dependencies of the peering.
    """

    def __init__(self, dependencies):
        super().__init__(
            dependencies.peers,
            dependencies.clock,
            dependencies.dispatcher,
            dependencies.documents,
            lambda actor: actor.admission,
        )
        self._dependencies = dependencies
        self._reported_endpoints = {}
        self._lock = threading.Lock()

    def connect(self):
        """Subscribe to facts and register the handlers of peer calls."""
        super().connect()
        peers = self._peers
        peers.subscribe(facts.Topic.NOTICE, self._apply_notice)
        peers.subscribe(facts.Topic.LOAD, self._apply_load)
        peers.subscribe(facts.Topic.DEMAND, self._apply_demand)
        peers.handle(FETCH_TOPIC, self._answer_fetch)
        peers.handle(HANDOVER_TOPIC, self._answer_handover)
        peers.handle(CLAIM_TOPIC, self._dependencies.claims.answer)

    def tick(self):
        """Apply the membership, then publish local load and demand."""
        super().tick()
        local = self._dispatcher.read(_read_local)
        self._publish_json(facts.Topic.LOAD, local.loads)
        self._publish_json(facts.Topic.DEMAND, local.demand)

    def find_claim_owner(self, bucket):
        """Return the usual owner of a claim bucket; None for this one."""
        return self.find_owner(f"claims {bucket}")

    def forward_claim(self, owner, payload):
        """Forward a claim operation to its usual owner; return the answer.

        Raises
        ------
        PeerError
            If the owner gives no answer.
        """
        return self._peers.call(
            owner, CLAIM_TOPIC, payload, fact_peering.CALL_TIMEOUT_S
        )

    def publish_notice(self, notice):
        """Publish a reclaim notice; the earliest time wins."""
        fields = attrs.asdict(notice)
        self._publish(
            facts.Topic.NOTICE,
            f"{notice.instance} {notice.failure_domain}",
            _MAX_RECLAIM_MS - int(notice.reclaim_at_s * 1000),
            json.dumps(fields).encode(),
            fact_peering.NOTICE_EXPIRY_S,
        )

    def hand_over(self, answer):
        """Send an answer to peers; return whether one of them stored it."""
        payload = handover.encode_answer(answer)
        chosen = self._choose_holders(answer.request.request_id)
        answers = [
            self._call(each, HANDOVER_TOPIC, payload) for each in chosen
        ]
        return b"1" in answers

    def fetch(self, request_id):
        """Ask peers for a detached answer; return the answer, or None.

        The instance that accepted the request is asked first.
        """
        origin = callers.get_origin(request_id)
        ranked = self._rank(request_id, self.usable)[:MAX_FETCH_PEERS]
        names = dict.fromkeys([origin, *ranked])
        for name in names:
            if name == self._local_member.instance_id:
                continue
            data = self._call(name, FETCH_TOPIC, request_id.encode())
            if data:
                return handover.decode_answer(data)
        return None

    def _choose_holders(self, request_id):
        """Return the peers that receive an answer.

        Those in other failure domains are preferred.
        """
        elsewhere = [
            member
            for member in self.usable
            if member.failure_domain != self._local_member.failure_domain
        ]
        return self._rank(request_id, elsewhere or self.usable)[
            :MAX_HANDOVER_PEERS
        ]

    @staticmethod
    def _rank(request_id, members):
        """Return instance ids, the usual holder of an answer first."""
        names = [member.instance_id for member in members]
        return membership.rank_by_rendezvous(request_id, names)

    def _answer_fetch(self, payload):
        """Pop a detached answer for a peer; empty if there is none."""
        answer = self._dependencies.detached_answers.pop(payload.decode())
        return handover.encode_answer(answer) if answer else b""

    def _answer_handover(self, payload):
        """Store the detached answer of a peer that is leaving."""
        self._dependencies.detached_answers.add(
            handover.decode_answer(payload)
        )
        return b"1"

    def _apply_notice(self, fact):
        """Apply a reclaim notice; `FactPeering` applies the other notices."""
        is_of_endpoint = fact.key.startswith(fact_peering.RATE_LIMIT)
        if is_of_endpoint or not fact.value:
            return
        self._dependencies.on_notice(
            cloud.Notice(**decoding.decode_json(fact.value))
        )

    def _apply_load(self, fact):
        """Apply a peer's requests in flight at endpoints."""
        if fact.key == self._local_member.instance_id:
            return
        loads = decoding.decode_json(fact.value)
        with self._lock:
            before = self._reported_endpoints.get(fact.key, ())
            self._reported_endpoints[fact.key] = tuple(loads)
        amounts = dict.fromkeys(before, 0.0) | loads
        self._dispatcher.change(
            functools.partial(_apply_peer_load, fact.key, amounts)
        )

    def _apply_demand(self, fact):
        """Apply the demand of client accounts at a peer."""
        if fact.key == self._local_member.instance_id:
            return
        demand = decoding.decode_json(fact.value)
        self._dispatcher.change(
            lambda actor, now_s: actor.admission.report_demand(
                fact.key, demand, now_s
            )
        )

    def _publish_json(self, topic, value):
        """Publish a volatile fact of this instance."""
        self._publish(
            topic,
            self._local_member.instance_id,
            int(self._clock.wall_s() * 1000),
            json.dumps(value, separators=(",", ":")).encode(),
            VOLATILE_EXPIRY_S,
        )


@attrs.frozen
class _LocalAmounts:
    """Load and demand of this instance.

    Parameters
    ----------
    loads : dict
        Endpoint id to the requests that this instance has in flight there.
    demand : dict
        Client account to its demand, in tokens per second.
    """

    loads: dict
    demand: dict


def _read_local(actor, now_s):
    """Return the load and demand of this instance.

    Runs in the dispatch actor.
    """
    return _LocalAmounts(
        actor.view.list_local_loads(), actor.admission.list_demand(now_s)
    )


def _apply_peer_load(node, amounts, actor, now_s):
    """Set a peer's requests in flight at endpoints."""
    for endpoint_id, amount in amounts.items():
        actor.view.set_peer_load(node, endpoint_id, amount)
