"""Counts of the attempts at services whose version is being moved."""

import concurrent.futures
import math
import threading

import attrs

from mulberryhollow import errors
from mulberryhollow.state import counters as counting
from mulberryhollow.state import endpoints
from mulberryhollow.state import facts
from mulberryhollow.state import objects

__all__ = [
    "Count",
    "CountersOfMove",
    "CounterReports",
    "MoveRecorder",
    "MovingServices",
    "PeerCounters",
    "PeerVerdict",
    "RECORD_SEPARATOR",
]

TOPIC = "move.counters"

RECORD_SEPARATOR = b"\n"
"""Stands between the change id and the record in a published fact."""

CALL_TIMEOUT_S = 0.4
"""Timeout of a report of counters, in seconds."""

OVERDUE_FACTOR = 4.0
"""Multiple of the usual time at which a request counts as slow."""

MIN_OVERDUE_S = 0.25
"""Shortest time after which an unanswered request counts as slow, in s."""

# Failures that say nothing about the version of the endpoint.
_UNCOUNTED_FAILURES = {
    endpoints.FailureKind.CONNECT_FAILED,
    endpoints.FailureKind.REFUSED,
    endpoints.FailureKind.SILENT_POOLED,
}

_REPORT_THREADS = 4


@attrs.frozen
class PeerCounters:
    """Encoded counters of a peer."""

    data: bytes


@attrs.frozen
class PeerVerdict:
    """Encoded verdict of a peer."""

    data: bytes


@attrs.frozen
class CountersOfMove:
    """Counters of one move of a service, as if it were the only one.

    The results of an earlier move to the same version say nothing about the
    later one.

    Parameters
    ----------
    counters : Counters
        Merged counters, with the id of the move in place of the service.
    move_id : str
        Id of the move.
    """

    counters: object
    move_id: str

    def total(self, service, version, route=None):
        """Return the sum of a version's rows, as `Counters.total`."""
        return self.counters.total(self.move_id, version, route)

    def total_by_route(self, service, version):
        """Return the sums by route, as `Counters.total_by_route`."""
        return self.counters.total_by_route(self.move_id, version)


@attrs.define
class MovingServices:
    """State of the moves that other threads read.

    Only the actor of moves writes it.

    Parameters
    ----------
    targets : dict
        New version of each service with a move in progress.
    usual_s : dict
        Median time to the first byte of the old version, by service, in
        seconds; infinite if it is not known.
    has_records : bool
        Whether any record is followed, of a move in progress or ended.
    """

    targets: dict = attrs.field(factory=dict)
    usual_s: dict = attrs.field(factory=dict)
    has_records: bool = False


@attrs.frozen
class Count:
    """What the actor of moves counts of one attempt.

    Parameters
    ----------
    service, version, route : str
        Service, the endpoint's version, and the route of the request.
    latency_s : float or None
        Time to its first byte, or without one until now, in seconds; None if
        it has been counted before.
    is_ok : bool or None
        Whether it has succeeded; None if it has not ended.
    is_excused : bool
        Whether its failure is due to the request.
    """

    service: str
    version: str
    route: str
    latency_s: float | None = None
    is_ok: bool | None = None
    is_excused: bool = False

    @classmethod
    def of(cls, route, **fields):
        """Return the count for an attempt by its Route."""
        request_class = route.request_class
        name = getattr(request_class, "value", request_class)
        return cls(route.service, route.version, name, **fields)

    def apply(self, counters, key):
        """Add the count to the row of a key."""
        if self.latency_s is not None:
            counters.record_start(key)
            counters.record_latency(key, self.latency_s)
        if self.is_ok:
            counters.record_ok(key)
        elif self.is_ok is not None:
            counters.record_failure(key)
        if self.is_excused:
            counters.excuse(key)


@attrs.define
class _OpenAttempt:
    """An attempt that has begun; `is_timed` once its time was counted."""

    route: object
    is_timed: bool = False


class MoveRecorder:
    """Sends the counts of attempts and the facts of peers to the actor.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running MoveActor.
    moving : MovingServices
        Names the services with a move in progress.
    clock : Clock
        Source of monotonic time.
    make_record : callable
        Returns the message to the actor for a StoredObject.
    kind : str
        Kind of the stored objects that hold moves.
    """

    def __init__(self, actor, moving, clock, make_record, kind):
        self._actor = actor
        self._moving = moving
        self._clock = clock
        self._make_record = make_record
        self._kind = kind
        self._open = {}
        self._lock = threading.Lock()

    def observe(self, dispatcher):
        """Count the attempts of a dispatcher from now on."""
        dispatcher.on_attempt_begin = self.record_begin
        dispatcher.on_first_byte = self.record_first_byte
        dispatcher.on_attempt_end = self.record

    def record_begin(self, route):
        """Follow an attempt at a service that is moved.

        It counts with its first byte, at its end or once it is overdue, since
        an attempt that the endpoint doesn't run is not counted.
        """
        if route.service not in self._moving.targets:
            return
        with self._lock:
            self._open[id(route.work)] = _OpenAttempt(route)

    def record_first_byte(self, route, first_s):
        """Count the time to the first event of a stream."""
        if self._mark_timed(route):
            self._actor.tell(Count.of(route, latency_s=first_s))

    def record(self, ended):
        """Count the end of an attempt if its service has a move in progress.

        A failure to connect, a refusal, a silent pooled connection and an
        attempt whose caller has left are not counted.
        """
        route = ended.route
        with self._lock:
            attempt = self._open.pop(id(route.work), None)
        is_moving = route.service in self._moving.targets
        is_uncounted = ended.is_abandoned or ended.kind in _UNCOUNTED_FAILURES
        if not is_moving or is_uncounted:
            return
        is_timed = attempt is not None and attempt.is_timed
        self._actor.tell(
            Count.of(
                route,
                latency_s=None if is_timed else ended.first_byte_s,
                is_ok=ended.kind is None and not ended.has_failed,
                is_excused=ended.is_quarantined,
            )
        )

    def count_overdue(self):
        """Count the time of the requests that are overdue without an answer.

        A version that does not answer is known as slow before its requests
        time out.
        """
        now_s = self._clock.now_s()
        with self._lock:
            waiting = [
                each.route for each in self._open.values() if not each.is_timed
            ]
        for route in waiting:
            waited_s = now_s - route.work.started_at_s
            is_overdue = waited_s >= self._get_overdue_s(route.service)
            if is_overdue and self._mark_timed(route):
                self._actor.tell(Count.of(route, latency_s=waited_s))

    def _get_overdue_s(self, service):
        """Return the time after which a request is overdue, in seconds."""
        usual_s = self._moving.usual_s.get(service, math.inf)
        return min(
            counting.OVERDUE_LATENCY_S,
            max(MIN_OVERDUE_S, OVERDUE_FACTOR * usual_s),
        )

    def _mark_timed(self, route):
        """Return whether the time of an open attempt is counted now."""
        with self._lock:
            attempt = self._open.get(id(route.work))
            if attempt is None or attempt.is_timed:
                return False
            attempt.is_timed = True
            return True

    def connect(self, peers):
        """Subscribe to the counters, verdicts and records of the peers."""
        peers.subscribe(
            facts.Topic.COUNTERS,
            lambda fact: self._actor.tell(PeerCounters(fact.value)),
        )
        peers.subscribe(
            facts.Topic.VERDICT,
            lambda fact: self._actor.tell(PeerVerdict(fact.value)),
        )
        peers.subscribe(facts.Topic.MOVE, self._receive_record)
        peers.handle(TOPIC, self._answer_counters)

    def _receive_record(self, fact):
        """Send a peer's record of a move to the actor."""
        change_id, _, value = fact.value.partition(RECORD_SEPARATOR)
        stored = objects.StoredObject(
            self._kind,
            fact.key,
            fact.version,
            value,
            change_id.decode(errors="replace"),
        )
        self._actor.tell(self._make_record(stored))

    def _answer_counters(self, payload):
        """Merge the counters that a peer reports."""
        self._actor.tell(PeerCounters(payload))
        return b"1"


class CounterReports:
    """Sends the local counters to the instances that evaluate moves.

    Parameters
    ----------
    peers : Peers
        Calls between instances.

    Notes
    -----
    Gossip takes seconds over a large fleet, which is a large part of a short
    move. The counters are cumulative, so a lost report costs nothing but its
    delay.
    """

    def __init__(self, peers):
        self._peers = peers
        self._sent = {}
        self._calls = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _REPORT_THREADS, thread_name_prefix="move-counters"
        )

    def send(self, names, sequence, encode):
        """Report to the instances that do not have the counters yet.

        Parameters
        ----------
        names : set of str
            Instances that evaluate a move.
        sequence : int
            Sequence number of the counters.
        encode : callable
            Returns the encoded counters.
        """
        due = [
            name
            for name in sorted(names)
            if self._sent.get(name, 0) < sequence and self._is_idle(name)
        ]
        payload = encode() if due else b""
        for name in due:
            self._calls[name] = self._threads.submit(
                self._call, name, sequence, payload
            )

    def _is_idle(self, name):
        """Return whether no report to an instance is on its way."""
        call = self._calls.get(name)
        return call is None or call.done()

    def _call(self, name, sequence, payload):
        """Send one report; it is sent again later if it fails."""
        try:
            self._peers.call(name, TOPIC, payload, CALL_TIMEOUT_S)
        except errors.PeerError:
            return
        self._sent[name] = sequence
