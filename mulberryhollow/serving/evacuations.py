"""Follows the operator's evacuations of failure domains."""

import logging
import threading

from mulberryhollow import events
from mulberryhollow.state import evacuations
from mulberryhollow.state import facts

__all__ = ["EvacuationWatcher"]

# First word of a notice's key: the rest is the evacuated failure domain and
# the version is the store's revision of the request or of its withdrawal.
EVACUATION = "evacuation"

# Value of the notice. At equal versions the greater value replaces the other,
# as a withdrawal replaces the request in the `EvacuationTable`.
_VALUES = {True: b"", False: b"withdrawn"}

MAX_REPORTED_ENTRIES = 256
"""Maximum number of ignored entries that are kept to log each once."""

EVACUATED = events.declare(
    6040,
    logging.INFO,
    "the endpoints of a failure domain get no new requests, as the operator "
    "requested",
)
WITHDRAWN = events.declare(
    6041,
    logging.INFO,
    "the evacuation of a failure domain was withdrawn; its endpoints get "
    "requests again",
)
IGNORED = events.declare(
    6042,
    logging.WARNING,
    "an entry that requests an evacuation is ignored",
    "correct the entry or delete it; its name must be a failure domain and "
    "its value a JSON object",
)
LOST = events.declare(
    6043,
    logging.WARNING,
    "an evacuation that a restore of the store has lost was not written "
    "again; the endpoints of the failure domain get requests again",
    "request the evacuation again if it is still wanted",
)


class EvacuationWatcher:
    """Applies the evacuations in the store to the dispatcher.

    Implements the callbacks that `ObjectFollower` calls. Each change is also
    published to the peers, so that one that the store turns away learns of
    it.

    Parameters
    ----------
    decode : callable
        Returns the Evacuation of a StoredObject, or raises ValueError.
    dispatcher : Dispatcher
        Receives the `Evacuations`.
    peers : Peers
        Gossip of facts.
    clock : Clock
        Source of time.
    limit_s : float
        Time within which an evacuation takes effect on all instances, in
        seconds.
    known_domains : iterable of str
        The failure domains that can be evacuated; empty for all.

    Notes
    -----
    The follower's thread and that of the gossip call this object.
    """

    def __init__(
        self, decode, dispatcher, peers, clock, limit_s, known_domains=()
    ):
        self._decode = decode
        self._dispatcher = dispatcher
        self._peers = peers
        self._table = evacuations.EvacuationTable(known_domains)
        self._lock = threading.Lock()
        self._reported = {}
        self._clock = clock
        self._settled_s = clock.now_s() + limit_s
        self._is_known = False

    def connect(self):
        """Subscribe to the facts of the peers."""
        self._peers.subscribe(facts.Topic.NOTICE, self._apply_fact)

    @property
    def is_settled(self):
        """Whether callers can be accepted.

        A started instance waits for a list of the store, which peers relay
        too. It does not wait longer than an evacuation may take: without the
        store and without peers that know the kind, it would never serve.
        """
        return self._is_known or self._clock.now_s() >= self._settled_s

    @property
    def current(self):
        """The `Evacuations` of this time."""
        with self._lock:
            return self._table.get_current()

    def list_active(self):
        """Return the active evacuations, sorted by failure domain."""
        with self._lock:
            return self._table.list_active()

    def handle_list(self, items, revision):
        """Apply a complete list.

        Parameters
        ----------
        items : iterable of StoredObject
            Every object of the kind.
        revision : int
            Revision of the store at which the list is complete.
        """
        found = self._decode_all(items)
        now_s = self._clock.now_s()
        self._update(
            lambda table: table.apply_list(found, revision, now_s),
            is_published=True,
        )
        self._is_known = True

    def handle_changes(self, items):
        """Apply changed and deleted objects, the oldest first."""
        found = self._decode_all(items)
        now_s = self._clock.now_s()
        self._update(
            lambda table: [each for each in found if table.merge(each, now_s)],
            is_published=True,
        )

    def record_recovery(self, at_s, last_use_s):
        """Do nothing, since the lists tell of a restore by their era."""

    def expire(self):
        """End evacuations that were not written again after a restore."""
        now_s = self._clock.now_s()
        self._update(
            lambda table: table.expire(now_s), is_published=True, end=LOST
        )

    def _apply_fact(self, fact):
        """Apply an evacuation that a peer has published."""
        kind, _, domain = fact.key.partition(" ")
        if kind != EVACUATION or not self._table.is_known_domain(domain):
            return
        is_active = fact.value == _VALUES[True]
        found = evacuations.Evacuation(domain, fact.version, is_active)
        now_s = self._clock.now_s()
        self._update(
            lambda table: [found] if table.merge(found, now_s) else [],
            is_published=False,
        )

    def _decode_all(self, items):
        """Return the Evacuation of each object, without those ignored."""
        return [
            each for each in map(self._decode_item, items) if each is not None
        ]

    def _decode_item(self, item):
        """Return the Evacuation of an object.

        A malformed object counts as none, so that the state of an instance
        does not depend on which earlier version of the object it has seen.
        The domain of an unknown one gets no endpoint, so it is left out.
        """
        domain = item.name
        if not self._table.is_known_domain(domain):
            if not item.is_deleted:
                self._report(item, "the failure domain is unknown")
            return None
        if item.is_deleted:
            return evacuations.Evacuation(domain, item.version, False)
        try:
            return self._decode(item)
        except ValueError as error:
            self._report(item, str(error))
            return evacuations.Evacuation(domain, item.version, False)

    def _report(self, item, reason):
        """Log once that a version of an object is ignored."""
        if self._reported.get(item.name) == item.version:
            return
        if len(self._reported) >= MAX_REPORTED_ENTRIES:
            self._reported.clear()
        self._reported[item.name] = item.version
        events.log(
            IGNORED, entry=item.name, version=item.version, reason=reason
        )

    def _update(self, change, is_published, end=WITHDRAWN):
        """Change the table, apply the result and log what is new.

        Parameters
        ----------
        change : callable
            Given the table, returns the evacuations that are a change.
        is_published : bool
            Whether changes are published; those that a peer has reported are
            not published again. The lock is released before, since the
            gossip may be waiting for it.
        end : Event
            Event that tells of the end of an evacuation.
        """
        with self._lock:
            changed = change(self._table)
            if changed:
                current = self._table.get_current()
                self._dispatcher.change(
                    lambda actor, now_s: actor.view.set_evacuations(current)
                )
        for each in changed:
            events.log(
                EVACUATED if each.is_active else end,
                failure_domain=each.failure_domain,
                version=each.revision,
                source="store" if is_published else "peer",
            )
        if is_published:
            for each in changed:
                self._publish(each)

    def _publish(self, evacuation):
        """Publish a change as a fact.

        It does not expire: an instance that the store turns away needs it for
        as long as the evacuation lasts, and there is one for each failure
        domain at most.
        """
        self._peers.publish(
            facts.Fact(
                facts.Topic.NOTICE,
                f"{EVACUATION} {evacuation.failure_domain}",
                evacuation.revision,
                _VALUES[evacuation.is_active],
            )
        )
