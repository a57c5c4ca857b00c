"""Facts that instances tell each other whatever they serve."""

import concurrent.futures
import functools
import zlib

from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow.serving import documents
from mulberryhollow.state import facts

__all__ = ["CALL_TIMEOUT_S", "FactLink", "LATCHED_EXPIRY_S"]

CRASH_TOPIC = "request.crash"
PROMPT_TOPIC = "prompt.long"
LEAVING = "leaving"
GONE = "gone"

CALL_TIMEOUT_S = 1.0
"""Longest time of a call to a peer for a request, in seconds."""

TELL_TIMEOUT_S = 0.25
"""Longest wait for peers to hear of a quarantine, in seconds."""

PROMPT_TIMEOUT_S = 0.2
"""Longest time to tell a peer of a long prompt, in seconds.

Later it would have been computed already.
"""

MAX_PROMPT_PEERS = 64
"""Peers that are told of a long prompt at most.

In a larger fleet an endpoint is so rarely chosen twice at a time that the
sums, which come later, are enough.
"""

TOLD_PEERS = 8
"""Peers that hear of a quarantine before the caller does."""

LATCHED_EXPIRY_S = 24 * 3600.0
"""Time after which a crash or notice is forgotten, in seconds."""

GONE_EXPIRY_S = 30.0
"""Time for which it is told that an entry is gone, in seconds."""

LOST_EXPIRY_S = 15.0
"""Time for which an instance that is out of reach counts as live, in s.

It may still serve callers and spend its part of what is shared.
"""


class FactLink:
    """Publishes what this instance knows and applies what others tell.

    Parameters
    ----------
    peers : Peers
        Facts and calls.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Takes members and crashes.
    documents : pykka.ActorRef
        Takes documents.
    get_limits : callable
        Returns what shares limits by demand, given the dispatch actor.
    named : int
        Other instances that the settings name; they count as live until
        one of them is met, for `LOST_EXPIRY_S` at most.

    Notes
    -----
    Nothing told here proves ownership of anything: a fact that is lost,
    doubled or late costs time or money, never safety.
    """

    def __init__(
        self, peers, clock, dispatcher, documents, get_limits, named=0
    ):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._documents = documents
        self._get_limits = get_limits
        self._me = peers.me()
        self._named = named
        self._named_until_s = clock.now_s() + LOST_EXPIRY_S
        self._lost_s = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            TOLD_PEERS, thread_name_prefix="tell"
        )
        self.usable = ()
        self.last_contact_s = None

    def connect(self):
        """Subscribe to facts and answer calls."""
        peers = self._peers
        peers.subscribe(facts.Topic.DOCUMENT, self._take_document)
        peers.subscribe(facts.Topic.QUARANTINE, self._take_crash)
        peers.subscribe(facts.Topic.NOTICE, self._take_leaving)
        peers.handle(CRASH_TOPIC, self._answer_crash)
        peers.handle(PROMPT_TOPIC, self._answer_prompt)

    def tick(self):
        """Notice who is there."""
        now_s = self._clock.now_s()
        views = self._peers.members()
        others = [
            view
            for view in views
            if view.member.instance_id != self._me.instance_id
        ]
        gone = [view for view in others if not view.is_usable]
        self.usable = tuple(view.member for view in others if view.is_usable)
        if self.usable:
            self.last_contact_s = now_s
        names = [view.member.instance_id for view in gone]
        lost = self._count_lost(gone, now_s)
        live = 1 + (len(self.usable) + lost or self._count_named(now_s))
        self._dispatcher.change(
            functools.partial(_apply_members, self._get_limits, live, names)
        )

    def _count_lost(self, gone, now_s):
        """Return how many instances have gone out of reach just now."""
        names = {
            view.member.instance_id
            for view in gone
            if view.standing is not membership.Standing.LEFT
        }
        self._lost_s = {name: self._lost_s.get(name, now_s) for name in names}
        return sum(
            now_s - since_s < LOST_EXPIRY_S
            for since_s in self._lost_s.values()
        )

    def _count_named(self, now_s):
        """Return how many instances may be there though none was met."""
        return self._named if now_s < self._named_until_s else 0

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
        return self.find_owner(task) is None

    def find_owner(self, task):
        """Return the id of the usual doer of a task; None for this one.

        Parameters
        ----------
        task : str
            Name of the task.
        """
        names = [each.instance_id for each in self.usable]
        names.append(self._me.instance_id)
        owner = membership.rank_by_rendezvous(task, names)[0]
        return None if owner == self._me.instance_id else owner

    def publish_document(self, environment_name, document):
        """Tell the peers the document in force."""
        self._publish(
            facts.Topic.DOCUMENT,
            environment_name,
            document.version,
            zlib.compress(document.data),
        )

    def publish_leaving(self, endpoint_id, is_listed):
        """Tell the peers that an endpoint takes no new work.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        is_listed : bool
            Whether it says so itself; otherwise its entry is gone.
        """
        self._publish(
            facts.Topic.NOTICE,
            f"{LEAVING} {endpoint_id}"
            if is_listed
            else f"{GONE} {endpoint_id}",
            1 if is_listed else int(self._clock.wall_s() * 1000),
            b"",
            LATCHED_EXPIRY_S if is_listed else GONE_EXPIRY_S,
        )

    def tell_long_prompt(self, route):
        """Tell the peers where a long prompt is computed from now on.

        Parameters
        ----------
        route : Route
            Where it went.
        """
        fields = (route.endpoint_id, f"{route.chosen.compute_s:.3f}")
        payload = " ".join(fields).encode()
        for member in self.usable[:MAX_PROMPT_PEERS]:
            self._threads.submit(
                self._call,
                member.instance_id,
                PROMPT_TOPIC,
                payload,
                PROMPT_TIMEOUT_S,
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

    def _call(self, instance, topic, payload, timeout_s=CALL_TIMEOUT_S):
        """Return the answer of a peer, or None."""
        try:
            return self._peers.call(instance, topic, payload, timeout_s)
        except errors.PeerError:
            return None

    def _take_document(self, fact):
        """Offer a document that a peer has in force."""
        self._documents.tell(
            documents.Offer(fact.version, zlib.decompress(fact.value))
        )

    def _take_crash(self, fact):
        """Add a crash to the quarantine."""
        fingerprint, _, endpoint_id = fact.key.partition(" ")
        self._dispatcher.change(
            lambda actor, now_s: actor.quarantine.record_crash(
                fingerprint, endpoint_id
            )
        )

    def _take_leaving(self, fact):
        """Keep new work away from an endpoint that a peer saw leave.

        Notes
        -----
        One whose entry is gone may be listed again, which ends it.
        """
        kind, _, endpoint_id = fact.key.partition(" ")
        if kind == LEAVING:
            self._dispatcher.change(
                lambda actor, now_s: actor.view.mark_leaving(endpoint_id)
            )
        elif kind == GONE:
            self._dispatcher.change(
                lambda actor, now_s: actor.view.set_draining(endpoint_id, True)
            )

    def _answer_prompt(self, payload):
        """Keep away for a time from where a peer's long prompt went."""
        endpoint_id, _, cost = payload.decode().partition(" ")
        cost_s = float(cost)
        self._dispatcher.change(
            lambda actor, now_s: actor.view.add_peer_prompt(
                endpoint_id, cost_s, now_s
            )
        )
        return b"1"

    def _answer_crash(self, payload):
        """Refuse a request from now on that a peer has quarantined."""
        fingerprint, _, _ = payload.decode().partition(" ")
        self._dispatcher.change(
            lambda actor, now_s: actor.quarantine.condemn(fingerprint)
        )
        return b"1"

    def _publish(self, topic, key, version, value, expiry_s=0.0):
        """Publish one fact; an expiry of 0 keeps it."""
        expires_s = self._clock.wall_s() + expiry_s if expiry_s else 0.0
        self._peers.publish(facts.Fact(topic, key, version, value, expires_s))


def _apply_members(get_limits, live, gone, actor, now_s):
    """Set the number of live instances and forget those that are gone."""
    get_limits(actor).set_live_nodes(live, now_s)
    actor.shared_retries.set_live_nodes(live)
    for name in gone:
        actor.view.drop_peer(name)
