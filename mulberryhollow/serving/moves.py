"""Actor that evaluates and drives version moves on one instance."""

import concurrent.futures
import logging

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.coordination import rollout
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.protocol import moves as codec
from mulberryhollow.serving import watch
from mulberryhollow.state import counters as counting
from mulberryhollow.state import endpoints
from mulberryhollow.state import facts
from mulberryhollow.state import objects
from mulberryhollow.transport import actors

__all__ = [
    "FollowedMove",
    "MoveActor",
    "MoveDependencies",
    "MoveRecorder",
    "MovingServices",
    "Tick",
    "list_moves",
    "read_capacities",
    "watch_moves",
]

KIND = "move"
"""Kind of the stored objects that hold moves."""

COUNTERS_EXPIRY_S = 600.0
"""Time after which counters of an instance are dropped, in seconds."""

RECORD_EXPIRY_S = 24 * 3600.0
"""Time after which a move's record from a peer is dropped, in seconds."""

VERDICT_EXPIRY_S = 24 * 3600.0
"""Time after which a verdict is dropped, in seconds."""

_STORE_THREADS = 4

# Stands between the change id and the record in a published fact.
_SEPARATOR = b"\n"

# Failures that say nothing about the version of the endpoint.
_UNCOUNTED_FAILURES = {
    endpoints.FailureKind.CONNECT_FAILED,
    endpoints.FailureKind.REFUSED,
    endpoints.FailureKind.SILENT_POOLED,
}

MALFORMED = events.declare(
    7101,
    logging.ERROR,
    "the record of a move is malformed and is ignored",
    "start the move again, which replaces the record",
)
ORDER_FAILED = events.declare(
    7102,
    logging.WARNING,
    "an endpoint did not accept an order; the order is repeated",
)


@attrs.frozen
class Tick:
    """Message that makes the actor evaluate and drive every move.

    Parameters
    ----------
    now_s : float
        Wall-clock time, in Unix seconds.
    capacities : dict
        Service name to its `rollout.Capacity`.
    members : tuple of str
        Ids of the live instances, including this one.
    """

    now_s: float
    capacities: dict
    members: tuple


@attrs.frozen
class _Record:
    """A stored object of kind move, read from the store or a peer."""

    stored: object


@attrs.frozen
class _WriteResolved:
    """Outcome of a conditional update of a move's record."""

    service: str
    change_id: str
    outcome: object


@attrs.frozen
class _Verdict:
    """A verdict of a peer."""

    verdict: rollout.Bad


@attrs.frozen
class _PeerCounters:
    """Encoded counters of a peer."""

    data: bytes


@attrs.frozen
class _ListMoves:
    """Query for the moves that the actor follows."""


@attrs.define
class MovingServices:
    """State of the moves that other threads read.

    Only the actor of moves writes it.

    Parameters
    ----------
    names : frozenset of str
        Services with a move in progress.
    has_records : bool
        Whether any record is followed, of a move in progress or ended.
    """

    names: frozenset = frozenset()
    has_records: bool = False


@attrs.frozen
class MoveDependencies:
    """Dependencies of the actor of moves.

    Parameters
    ----------
    instance : str
        Id of this instance.
    incarnation : int
        Incarnation number of this process.
    store : StoreClient
        Adapter to the object API.
    client : EndpointClient
        Sends orders to endpoints.
    peers : Peers
        Publishes counters, verdicts and records.
    dispatcher : Dispatcher
        Receives the traffic shares of versions.
    clock : Clock
        Source of time.
    moving : MovingServices
        Receives the names of the services with a move in progress.
    environment : str
        Environment whose moves are followed.
    times : rollout.Times
        Minimum durations of the steps.
    """

    instance: str
    incarnation: int
    store: object
    client: object
    peers: object
    dispatcher: object
    clock: object
    moving: object
    environment: str
    times: rollout.Times = rollout.Times()


@attrs.frozen
class FollowedMove:
    """A move as seen by this instance, for the status page.

    Parameters
    ----------
    id : str
        Id of the move.
    service : str
        Service whose version changes.
    to_version : str
        The new version.
    stage : str
        Stage of the latest record that this instance knows.
    share : float
        Traffic share of the new version on this instance, 0 to 1.
    is_bad : bool
        Whether this instance knows a verdict that the new version is
        degraded.
    """

    id: str
    service: str
    to_version: str
    stage: str
    share: float
    is_bad: bool

    @classmethod
    def of(cls, monitor, now_s):
        """Return the state of the move that a monitor follows."""
        move = monitor.move
        verdicts = [monitor.bad] if monitor.bad else []
        shares = rollout.effective_shares(move, verdicts, now_s)
        return cls(
            move.id,
            move.service,
            move.to_version,
            move.stage.value,
            shares[move.to_version],
            bool(verdicts),
        )


@attrs.define
class _Follower:
    """The state machines of one service's move."""

    monitor: rollout.MoveMonitor
    driver: rollout.Driver


class MoveActor(actors.ResilientActor):
    """Owns the state machines of the moves and the merged counters.

    Parameters
    ----------
    dependencies : MoveDependencies
        Dependencies of the actor.

    Notes
    -----
    The instances that rank first for a service by rendezvous hashing
    evaluate its move, and every instance acts on a verdict at once. The
    first of them drives the move. Whether a write takes effect is decided
    only by its conditional update.
    """

    use_daemon_thread = True

    def __init__(self, dependencies):
        super().__init__()
        self._dependencies = dependencies
        self._counters = counting.Counters(
            dependencies.instance, dependencies.incarnation
        )
        self._followers = {}
        self._verdicts = {}
        self._published_sequence = 0
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _STORE_THREADS, thread_name_prefix="moves"
        )

    def on_receive(self, message):
        """Handle one message."""
        match message:
            case Tick():
                self._tick(message)
            case _CountAttempt():
                self._count(message.ended)
            case _Record(stored):
                self._apply_record(stored)
            case _WriteResolved(service, change_id, outcome):
                now_s = self._dependencies.clock.wall_s()
                driver = self._followers[service].driver
                driver.resolve_write(change_id, outcome, now_s)
            case _Verdict(verdict):
                self._apply_verdict(verdict)
            case _ListMoves():
                return self._list_moves()
            case _PeerCounters(data):
                self._counters.merge(counting.decode(data))

    def _tick(self, tick):
        """Evaluate and drive every move, then publish the counters."""
        for service, follower in self._followers.items():
            for action in self._step(service, follower, tick):
                self._execute(service, action)
        self._dependencies.moving.names = frozenset(
            service
            for service, follower in self._followers.items()
            if not follower.monitor.move.stage.is_final
        )
        self._publish_counters()

    def _step(self, service, follower, tick):
        """Return the actions of one service's move.

        The usual owner drives the move, the first MAX_TESTERS instances
        also evaluate it, and the others only follow its record.
        """
        ranked = membership.rank_by_rendezvous(f"move {service}", tick.members)
        capacity = tick.capacities.get(service, rollout.Capacity(()))
        if ranked[0] == self._dependencies.instance:
            return follower.driver.step(self._counters, capacity, tick.now_s)
        is_tester = (
            self._dependencies.instance in ranked[: rollout.MAX_TESTERS]
        )
        counters = self._counters if is_tester else None
        return follower.monitor.step(counters, tick.now_s)

    def _apply_verdict(self, verdict):
        """Apply a peer's verdict, also to a record that arrives later."""
        self._verdicts[verdict.move_id] = verdict
        for follower in self._followers.values():
            follower.driver.receive_verdict(verdict)

    def _list_moves(self):
        """Return the FollowedMove of each service."""
        return [
            FollowedMove.of(
                follower.monitor, self._dependencies.clock.wall_s()
            )
            for follower in self._followers.values()
        ]

    def _execute(self, service, action):
        """Carry out one action of a state machine."""
        match action:
            case rollout.SetShare():
                self._set_share(service, action.share)
            case rollout.PublishVerdict(verdict):
                self._publish_verdict(verdict)
            case rollout.WriteMove():
                self._threads.submit(self._write, service, action)
            case rollout.ReadMove(object_name):
                self._threads.submit(self._read, object_name)
            case rollout.Order():
                self._threads.submit(self._order, action)

    def _set_share(self, service, share):
        """Set the share of a service's requests for the new version."""
        move = self._followers[service].monitor.move
        self._dependencies.dispatcher.change(
            lambda actor, now_s: actor.shares.set_move(
                service, move.from_version, move.to_version, share
            )
        )

    def _publish_verdict(self, verdict):
        """Publish a verdict."""
        self._publish(
            facts.Topic.VERDICT,
            verdict.move_id,
            1,
            codec.encode_verdict(verdict),
            VERDICT_EXPIRY_S,
        )

    def _write(self, service, action):
        """Write a record conditionally, unless its deadline has passed."""
        if self._dependencies.clock.wall_s() > action.not_after_s:
            return
        outcome = self._dependencies.store.put(
            KIND,
            action.move.object_name,
            codec.encode(action.move),
            action.expected_version,
            action.change_id,
        )
        self.actor_ref.tell(_WriteResolved(service, action.change_id, outcome))

    def _read(self, object_name):
        """Read a record; the read is repeated later if the store is down."""
        try:
            stored = self._dependencies.store.get(KIND, object_name)
        except errors.StoreUnavailableError:
            return
        if stored is not None:
            self.actor_ref.tell(_Record(stored))

    def _order(self, order):
        """Send an order to an endpoint, unless its deadline has passed."""
        if self._dependencies.clock.wall_s() > order.not_after_s:
            return
        message = messages.LoadOrder(
            order.command.value, order.service, order.version, order.fence
        )
        try:
            self._dependencies.client.send_order(order.address, message)
        except errors.EndpointError as error:
            events.log(
                ORDER_FAILED, endpoint=order.address, fault=str(error.fault)
            )

    def _apply_record(self, stored):
        """Apply and republish a record from the store or a peer."""
        try:
            move = codec.decode(stored.value, stored.version)
        except codec.MoveFormatError as error:
            events.log(MALFORMED, object=stored.name, reason=error.message)
            return
        if move.environment != self._dependencies.environment:
            return
        self._publish_record(stored)
        follower = self._followers.get(move.service)
        if follower is None:
            follower = self._follow(move.service)
        now_s = self._dependencies.clock.wall_s()
        follower.driver.observe(move, stored.change_id, now_s)
        if not move.stage.is_final:
            self._dependencies.moving.names |= {move.service}

    def _follow(self, service):
        """Start following the moves of a service."""
        monitor = rollout.MoveMonitor()
        name = (
            f"{self._dependencies.instance}.{self._dependencies.incarnation}"
        )
        driver = rollout.Driver(name, monitor, self._dependencies.times)
        follower = _Follower(monitor, driver)
        for verdict in self._verdicts.values():
            driver.receive_verdict(verdict)
        self._followers[service] = follower
        self._dependencies.moving.has_records = True
        return follower

    def _publish_record(self, stored):
        """Publish a record; peers that hold it already ignore it."""
        self._publish(
            facts.Topic.MOVE,
            stored.name,
            stored.version,
            stored.change_id.encode() + _SEPARATOR + stored.value,
            RECORD_EXPIRY_S,
        )

    def _count(self, ended):
        """Count the end of one attempt."""
        key = counting.RowKey(
            ended.route.service,
            ended.route.version,
            ended.route.request_class.value,
        )
        self._counters.record_start(key)
        self._counters.record_latency(key, ended.first_byte_s)
        if ended.kind is None:
            self._counters.record_ok(key)
            return
        self._counters.record_failure(key)
        if ended.is_quarantined:
            self._counters.excuse(key)

    def _publish_counters(self):
        """Publish the local counters if they have changed."""
        if self._counters.sequence == self._published_sequence:
            return
        self._published_sequence = self._counters.sequence
        snapshot = self._counters.take_snapshot()
        self._publish(
            facts.Topic.COUNTERS,
            f"{self._dependencies.instance}.{self._dependencies.incarnation}",
            self._published_sequence,
            counting.encode(snapshot),
            COUNTERS_EXPIRY_S,
        )

    def _publish(self, topic, key, version, value, expiry_s):
        """Publish one fact."""
        expires_s = self._dependencies.clock.wall_s() + expiry_s
        self._dependencies.peers.publish(
            facts.Fact(topic, key, version, value, expires_s)
        )


@attrs.frozen
class _CountAttempt:
    """The end of an attempt, which the actor counts."""

    ended: object


class MoveRecorder:
    """Sends the ends of attempts and the facts of peers to the actor.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running MoveActor.
    moving : MovingServices
        Names the services with a move in progress.
    """

    def __init__(self, actor, moving):
        self._actor = actor
        self._moving = moving

    def record(self, ended):
        """Count the end of an attempt if its service has a move in progress.

        A failure to connect, a refusal and a silent pooled connection are
        not counted.
        """
        if ended.route.service not in self._moving.names:
            return
        if ended.kind not in _UNCOUNTED_FAILURES:
            self._actor.tell(_CountAttempt(ended))

    def connect(self, peers):
        """Subscribe to the counters, verdicts and records of the peers."""
        peers.subscribe(
            facts.Topic.COUNTERS,
            lambda fact: self._actor.tell(_PeerCounters(fact.value)),
        )
        peers.subscribe(facts.Topic.VERDICT, self._receive_verdict)
        peers.subscribe(facts.Topic.MOVE, self._receive_record)

    def _receive_record(self, fact):
        """Send a peer's record of a move to the actor."""
        change_id, _, value = fact.value.partition(_SEPARATOR)
        stored = objects.StoredObject(
            KIND, fact.key, fact.version, value, change_id.decode()
        )
        self._actor.tell(_Record(stored))

    def _receive_verdict(self, fact):
        """Send a peer's verdict to the actor."""
        self._actor.tell(_Verdict(codec.decode_verdict(fact.value)))


def watch_moves(store, actor, clock):
    """Return a watch that sends the records of moves to their actor.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
    actor : pykka.ActorRef
        A running MoveActor.
    clock : Clock
        Source of time.
    """
    return watch.ObjectWatch(
        store, KIND, clock, lambda item: actor.tell(_Record(item))
    )


def list_moves(actor):
    """Return the FollowedMove of each service that a MoveActor follows."""
    return actor.ask(_ListMoves())


def read_capacities(actor, now_s):
    """Return the Capacity of each service.

    Runs in the dispatch actor. Endpoints that are leaving do not count.
    """
    by_service = {}
    for record in actor.view:
        if record.is_leaving:
            continue
        endpoint = rollout.Endpoint(
            record.endpoint.address,
            record.slots,
            tuple(record.versions),
            can_load=record.endpoint.role == "model",
        )
        by_service.setdefault(record.endpoint.service, []).append(endpoint)
    return {
        service: rollout.Capacity(tuple(found))
        for service, found in by_service.items()
    }
