"""Gossiped facts and peer calls that every kind of instance uses."""

import concurrent.futures
import functools
import logging
import math
import zlib

from mulberryhollow.coordination import membership
from mulberryhollow.coordination import retry
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.serving import documents
from mulberryhollow.state import facts

__all__ = ["CALL_TIMEOUT_S", "FactPeering", "NOTICE_EXPIRY_S"]

CRASH_TOPIC = "request.crash"
PROMPT_TOPIC = "prompt.long"

# First word of a quarantine's key that is not about a whole request: an
# endpoint crashed with parts of a prompt, or a part is sound.
PART_CRASH = "part-crash"
SOUND_PART = "sound-part"

# First word of a quarantine's key: a request was at a crash that others may
# have caused, or it was executed to its end. The version of the latter is the
# time of the end, in Unix milliseconds.
SHARED_CRASH = "shared-crash"
SOUND_REQUEST = "sound-request"

# First word of a notice's key: the endpoint's entry says that the endpoint is
# leaving, or the entry is gone.
LEAVING = "leaving"
GONE = "gone"

# First word of a notice's key: the value is the rate limit that the endpoint
# names, in requests per second, or empty when the limit has ended.
RATE_LIMIT = "rate-limit"

TOLD = events.declare(
    4028,
    logging.INFO,
    "a peer reports that an endpoint leaves or that its entry is gone",
)

CALL_TIMEOUT_S = 1.0
"""Timeout of a call to a peer on behalf of a request, in seconds."""

QUARANTINE_TIMEOUT_S = 0.25
"""Longest wait for peers to confirm a quarantine, in seconds."""

PROMPT_TIMEOUT_S = 0.2
"""Timeout of the call that reports a long prompt to a peer, in seconds.

After that the prompt would have been computed already.
"""

MAX_PROMPT_PEERS = 64
"""Maximum number of peers to which a long prompt is reported.

In a larger fleet two instances so rarely choose the same endpoint at the
same time that the aggregates, which arrive later, are enough.
"""

QUARANTINE_PEERS = 8
"""Number of peers that receive a quarantine before the caller's answer."""

NOTICE_EXPIRY_S = 24 * 3600.0
"""Time after which a notice is dropped, in seconds."""

CRASH_CHECK_INTERVAL_S = 600.0
"""Interval between checks for crashes that no longer count, in seconds."""

RATE_EXPIRY_S = 10.0
"""Time for which a rate limit is kept as a fact, in seconds."""

RATE_FACT_AGE_S = 1.0
"""Age that a rate limit of a peer is assumed to have, in seconds.

What this instance has seen of the endpoint later takes precedence.
"""

GONE_EXPIRY_S = 30.0
"""Time for which the fact that an entry is gone is kept, in seconds."""

UNREACHABLE_EXPIRY_S = 15.0
"""Time for which an unreachable instance still counts as live, in seconds.

Such an instance may still serve callers and use its share of the limits.
"""


MAX_LOGGED_NAMES = 4
"""Maximum number of instances that one log line names."""

LEVEL_CHANGED = events.declare(
    4041,
    logging.INFO,
    "the lowest protocol level of the reachable instances has changed",
    "during an upgrade, replace the instances that have the lowest level",
)

_GONE = (membership.MemberStatus.DEAD, membership.MemberStatus.LEFT)


class FactPeering:
    """Publishes facts of this instance and applies those of its peers.

    Parameters
    ----------
    peers : Peers
        Gossip of facts, and calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Receives the number of members, crashes and leaving endpoints.
    documents : pykka.ActorRef
        Receives documents.
    get_limits : callable or None
        Given the dispatch actor, returns the object that divides the limits
        among the instances by demand. None if another component sets the
        number of instances of those limits.
    named : int
        Number of other instances that the settings name. They count as
        live until the first of them is known as a member, for
        `UNREACHABLE_EXPIRY_S` at most.

    Attributes
    ----------
    usable : tuple of Member
        The other members that are reachable, as of the last tick.
    collectors : Collectors
        The instances that act for their failure domains, as of the last
        tick.
    last_contact_s : float or None
        When another member was last seen as usable, monotonic, in seconds.

    Notes
    -----
    No fact or call of this class proves ownership of anything: one that
    is lost, duplicated or late costs time or money, never safety.
    """

    def __init__(
        self, peers, clock, dispatcher, documents, get_limits, named=0
    ):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._documents = documents
        self._get_limits = get_limits
        self._local_member = peers.local_member()
        self._named = named
        self._named_until_s = clock.now_s() + UNREACHABLE_EXPIRY_S
        self._unreachable_since_s = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            QUARANTINE_PEERS, thread_name_prefix="tell"
        )
        self.usable = ()
        self.collectors = sharing.choose_collectors(
            self._local_member, (), 1 + named
        )
        self.last_contact_s = None
        self._crashes_expire_s = clock.now_s() + CRASH_CHECK_INTERVAL_S
        self._level_renewals = 0
        self._level_due_s = math.inf

    def connect(self):
        """Subscribe to facts and register the handlers of peer calls."""
        peers = self._peers
        peers.subscribe(facts.Topic.DOCUMENT, self._apply_document)
        peers.subscribe(facts.Topic.QUARANTINE, self._apply_crash)
        peers.subscribe(facts.Topic.NOTICE, self._apply_leaving)
        peers.handle(CRASH_TOPIC, self._answer_crash)
        peers.handle(PROMPT_TOPIC, self._answer_prompt)

    def announce_level(self):
        """Publish the protocol level of this instance, from now on."""
        self._publish_level(self._clock.now_s())

    def _publish_level(self, now_s):
        """Publish the level; an earlier fact of this process is renewed."""
        self._level_due_s = now_s + membership.LEVEL_REFRESH_S
        fact = membership.encode_level(
            self._local_member, self._level_renewals, self._clock.wall_s()
        )
        self._level_renewals += 1
        self._peers.publish(fact)

    def _find_level(self, remote_views, now_s):
        """Return the lowest protocol level of the reachable instances.

        One that is suspected may still be serving. Until the first of the
        named instances is known, their levels are not.
        """
        reachable = [
            view.member
            for view in remote_views
            if view.is_reachable and view.status not in _GONE
        ]
        levels = membership.list_levels(
            reachable, self._peers.list_facts(facts.Topic.NOTICE)
        )
        lowest = min([membership.PROTOCOL_LEVEL, *levels.values()])
        if not reachable and self._count_named(now_s):
            lowest = 0
        if lowest != self.collectors.level:
            names = [name for name in levels if levels[name] == lowest]
            events.log(
                LEVEL_CHANGED,
                level=lowest,
                instances=len(names),
                first=names[:MAX_LOGGED_NAMES],
            )
        return lowest

    def tick(self):
        """Apply the current membership to the limits and the view."""
        now_s = self._clock.now_s()
        if now_s >= self._level_due_s:
            self._publish_level(now_s)
        self._expire_crashes(now_s)
        views = self._peers.members()
        remote_views = [
            view
            for view in views
            if view.member.instance_id != self._local_member.instance_id
        ]
        gone = [view for view in remote_views if not view.is_usable]
        self.usable = tuple(
            view.member for view in remote_views if view.is_usable
        )
        if self.usable:
            self.last_contact_s = now_s
        names = [view.member.instance_id for view in gone]
        unreachable = self._count_unreachable(gone, now_s)
        live = 1 + (len(self.usable) + unreachable or self._count_named(now_s))
        self.collectors = sharing.choose_collectors(
            self._local_member,
            self.usable,
            live,
            self._find_level(remote_views, now_s),
        )
        self._dispatcher.change(
            functools.partial(
                _apply_members,
                self._get_limits,
                live,
                names,
                self._list_ages(now_s),
            )
        )

    def _list_ages(self, now_s):
        """Return the age of each usable member's process, in seconds.

        None while none of the instances that the settings name is known.
        """
        if not self.usable and self._count_named(now_s):
            return None
        wall_s = self._clock.wall_s()
        return [wall_s - member.started_s for member in self.usable]

    def _expire_crashes(self, now_s):
        """Drop the crashes that no longer count, now and then."""
        if now_s < self._crashes_expire_s:
            return
        self._crashes_expire_s = now_s + CRASH_CHECK_INTERVAL_S
        wall_s = self._clock.wall_s()
        self._dispatcher.change(
            lambda actor, now_s: actor.quarantine.expire(wall_s)
        )

    def _count_unreachable(self, gone, now_s):
        """Return how many instances became unreachable recently.

        Those that left on their own are not counted, nor those that have
        been unreachable for UNREACHABLE_EXPIRY_S.
        """
        names = {
            view.member.instance_id
            for view in gone
            if view.status is not membership.MemberStatus.LEFT
        }
        self._unreachable_since_s = {
            name: self._unreachable_since_s.get(name, now_s) for name in names
        }
        return sum(
            now_s - since_s < UNREACHABLE_EXPIRY_S
            for since_s in self._unreachable_since_s.values()
        )

    def _count_named(self, now_s):
        """Return the number of named instances while they count as live."""
        return self._named if now_s < self._named_until_s else 0

    def is_owner(self, task):
        """Return whether this instance is the usual owner of a task.

        Parameters
        ----------
        task : str
            Name of the task.

        Notes
        -----
        Instances with different views of the membership may both be the
        usual owner.
        """
        return self.find_owner(task) is None

    def find_owner(self, task):
        """Return the id of the usual owner of a task; None for this one.

        The owner is chosen by rendezvous hashing.

        Parameters
        ----------
        task : str
            Name of the task.
        """
        names = [each.instance_id for each in self.usable]
        names.append(self._local_member.instance_id)
        owner = membership.rank_by_rendezvous(task, names)[0]
        return None if owner == self._local_member.instance_id else owner

    def publish_document(self, environment_name, document):
        """Publish the active document to the peers."""
        self._publish(
            facts.Topic.DOCUMENT,
            environment_name,
            document.published_version,
            zlib.compress(document.data),
        )

    def publish_leaving(self, endpoint_id, is_listed):
        """Publish that an endpoint accepts no new requests.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        is_listed : bool
            Whether the endpoint's own entry says that it is leaving;
            otherwise its entry is gone.
        """
        self._publish(
            facts.Topic.NOTICE,
            f"{LEAVING} {endpoint_id}"
            if is_listed
            else f"{GONE} {endpoint_id}",
            1 if is_listed else int(self._clock.wall_s() * 1000),
            b"",
            NOTICE_EXPIRY_S if is_listed else GONE_EXPIRY_S,
        )

    def report_said_leaving(self, endpoint_id):
        """Report that an endpoint said in an answer that it leaves.

        Does not wait for the report, since an actor may call it.
        """
        self._threads.submit(self.publish_leaving, endpoint_id, True)

    def report_rate(self, endpoint_id, rate_per_s):
        """Report the rate limit that an endpoint names, or None, to peers.

        Does not wait for the report, since an actor calls it.
        """
        self._threads.submit(
            self._publish,
            facts.Topic.NOTICE,
            f"{RATE_LIMIT} {endpoint_id}",
            int(self._clock.wall_s() * 1000),
            b"" if rate_per_s is None else str(rate_per_s).encode(),
            RATE_EXPIRY_S,
        )

    def report_long_prompt(self, chosen):
        """Report to the peers which endpoint computes a long prompt.

        Parameters
        ----------
        chosen : Chosen
            Endpoint of the prompt's request.

        Notes
        -----
        In a large fleet only the collectors are told, since they choose the
        endpoints of most requests.
        """
        fields = (chosen.endpoint_id, f"{chosen.compute_s:.3f}")
        payload = " ".join(fields).encode()
        for name in self.collectors.others[:MAX_PROMPT_PEERS]:
            self._threads.submit(
                self._call, name, PROMPT_TOPIC, payload, PROMPT_TIMEOUT_S
            )

    def report_crash(self, crash, is_quarantined):
        """Report to the peers that a request crashed an endpoint.

        Parameters
        ----------
        crash : CrashFact
            The crash.
        is_quarantined : bool
            Whether the request is quarantined. Then the peers that rank
            first for its fingerprint are called as well, and this method
            waits for them, for at most QUARANTINE_TIMEOUT_S, so that they know
            of the quarantine before the caller can send the request to
            them.
        """
        key = f"{crash.fingerprint} {crash.endpoint_id}"
        at_ms = str(round(crash.at_s * 1000)).encode()
        fact_key = f"{SHARED_CRASH} {key}" if crash.is_shared else key
        self._publish_quarantine(fact_key, at_ms)
        if not is_quarantined:
            return
        payload = key.encode()
        names = [each.instance_id for each in self.usable]
        ranked = membership.rank_by_rendezvous(crash.fingerprint, names)
        calls = [
            self._threads.submit(self._call, each, CRASH_TOPIC, payload)
            for each in ranked[:QUARANTINE_PEERS]
        ]
        concurrent.futures.wait(calls, QUARANTINE_TIMEOUT_S)

    def report_sound(self, sound):
        """Report to the peers that a suspected request was completed.

        Does not wait for the report, since an actor may call it.

        Parameters
        ----------
        sound : SoundFact
            The completion. Its time is rounded up to a second, so that what
            all instances report within it is one fact.
        """
        self._threads.submit(
            self._publish_quarantine,
            f"{SOUND_REQUEST} {sound.fingerprint}",
            version=math.ceil(sound.at_s) * 1000,
        )

    def _publish_quarantine(self, key, value=b"", version=1):
        """Publish a fact of the quarantine."""
        self._publish(
            facts.Topic.QUARANTINE, key, version, value, retry.CRASH_EXPIRY_S
        )

    def report_part_crash(self, crash):
        """Report to the peers that parts of a prompt may crash endpoints.

        Parameters
        ----------
        crash : PartCrash
            The crash and the parts.
        """
        parts = ",".join(crash.parts)
        self._publish_quarantine(f"{PART_CRASH} {crash.endpoint_id} {parts}")

    def report_sound_part(self, part):
        """Report to the peers that a suspected part of a prompt is sound.

        Does not wait for the report, since an actor may call it.
        """
        self._threads.submit(self._publish_quarantine, f"{SOUND_PART} {part}")

    def _call(self, instance, topic, payload, timeout_s=CALL_TIMEOUT_S):
        """Return the answer of a peer, or None if the call failed."""
        try:
            return self._peers.call(instance, topic, payload, timeout_s)
        except errors.PeerError:
            return None

    def _apply_document(self, fact):
        """Send a document that is active at a peer to the document actor."""
        self._documents.tell(
            documents.PublishedDocument(
                fact.version, zlib.decompress(fact.value)
            )
        )

    def _apply_crash(self, fact):
        """Record a crash that a peer published in the quarantine."""
        first, _, rest = fact.key.partition(" ")
        if first == PART_CRASH:
            endpoint_id, _, parts = rest.rpartition(" ")
            crash = retry.PartCrash(endpoint_id, tuple(parts.split(",")))
            self._dispatcher.change(
                lambda actor, now_s: self._merge_part_crash(actor, crash)
            )
        elif first == SOUND_PART:
            self._dispatcher.change(
                lambda actor, now_s: actor.part_quarantine.mark_sound(rest)
            )
        elif first == SOUND_REQUEST:
            sound = retry.SoundFact(rest, fact.version / 1000)
            self._dispatcher.change(
                lambda actor, now_s: actor.quarantine.mark_sound(sound)
            )
        else:
            crash = self._decode_crash(fact)
            self._dispatcher.change(
                lambda actor, now_s: self._merge_crash(actor, crash)
            )

    def _decode_crash(self, fact):
        """Return the CrashFact that a peer published."""
        kind, _, rest = fact.key.partition(" ")
        is_shared = kind == SHARED_CRASH
        key = rest if is_shared else fact.key
        fingerprint, _, endpoint_id = key.partition(" ")
        at_s = self._decode_time(fact.value)
        return retry.CrashFact(fingerprint, endpoint_id, at_s, is_shared)

    def _decode_time(self, value):
        """Return the time of a crash; other builds do not state it."""
        return int(value) / 1000 if value else self._clock.wall_s()

    def _merge_crash(self, actor, crash):
        """Add the crash of a peer; tell the peers of a completion before."""
        actor.quarantine.record_crash(crash)
        self._answer_peer_crash(actor, crash)

    def _answer_peer_crash(self, actor, crash):
        """Report a completion that keeps a request out of the quarantine."""
        sound = actor.quarantine.answer_crash(crash)
        if sound is not None:
            self.report_sound(sound)

    def _merge_part_crash(self, actor, crash):
        """Add the crash of a peer; tell the peers which parts are sound."""
        for part in actor.part_quarantine.merge_crash(crash):
            self.report_sound_part(part)

    def _apply_leaving(self, fact):
        """Send no new requests to an endpoint that a peer saw leave.

        Notes
        -----
        An endpoint whose entry was gone is used again once it has written
        its entry again, see `FleetWatcher`.
        """
        kind, _, endpoint_id = fact.key.partition(" ")
        if kind in (LEAVING, GONE):
            events.log(TOLD, endpoint=endpoint_id, state=kind)
        if kind == LEAVING:
            self._dispatcher.change(
                lambda actor, now_s: actor.view.mark_leaving(endpoint_id)
            )
        elif kind == GONE:
            self._dispatcher.change(
                lambda actor, now_s: actor.view.set_draining(
                    endpoint_id, True, now_s
                )
            )
        elif kind == RATE_LIMIT:
            rate_per_s = float(fact.value) if fact.value else None
            self._dispatcher.change(
                lambda actor, now_s: actor.observe_rate(
                    endpoint_id, rate_per_s, now_s - RATE_FACT_AGE_S
                )
            )

    def _answer_prompt(self, payload):
        """Add a peer's long prompt to the load of the chosen endpoint."""
        endpoint_id, _, cost = payload.decode().partition(" ")
        cost_s = float(cost)
        self._dispatcher.change(
            lambda actor, now_s: actor.view.add_peer_prompt(
                endpoint_id, cost_s, now_s
            )
        )
        return b"1"

    def _answer_crash(self, payload):
        """Quarantine a request that a peer has quarantined."""
        fingerprint, _, endpoint_id = payload.decode().partition(" ")
        crash = retry.CrashFact(fingerprint, endpoint_id, self._clock.wall_s())
        self._dispatcher.change(
            lambda actor, now_s: self._mark_quarantined(actor, crash)
        )
        return b"1"

    def _mark_quarantined(self, actor, crash):
        """Quarantine a request, or tell the peers of a completion before."""
        actor.quarantine.mark_quarantined(crash)
        self._answer_peer_crash(actor, crash)

    def _publish(self, topic, key, version, value, expiry_s=0.0):
        """Publish one fact, which does not expire if expiry_s is 0."""
        expires_s = self._clock.wall_s() + expiry_s if expiry_s else 0.0
        self._peers.publish(facts.Fact(topic, key, version, value, expires_s))


def _apply_members(get_limits, live, gone, ages_s, actor, now_s):
    """Set the number of live instances and drop those that are gone."""
    if get_limits is not None:
        get_limits(actor).set_live_nodes(live, now_s)
    actor.shared_retries.set_live_nodes(live, now_s, ages_s)
    for name in gone:
        actor.view.drop_peer(name)
