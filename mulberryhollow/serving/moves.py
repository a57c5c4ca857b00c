"""Actor that evaluates and drives version moves on one instance."""

import concurrent.futures
import itertools
import logging

import attrs

from mulberryhollow.coordination import membership
from mulberryhollow.coordination import rollout
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.protocol import moves as codec
from mulberryhollow.serving import move_counting
from mulberryhollow.serving import watch
from mulberryhollow.state import counters as counting
from mulberryhollow.state import facts
from mulberryhollow.transport import actors

__all__ = [
    "FollowedMove",
    "MoveActor",
    "KIND",
    "MoveDependencies",
    "MoveRecord",
    "MoveRecorder",
    "MovingServices",
    "Tick",
    "WithdrawMove",
    "list_moves",
    "read_capacities",
    "watch_moves",
]

KIND = "move"
"""Kind of the stored objects that hold moves."""

TAKEOVER_INTERVAL_S = 0.75
"""Time without a driver after which the next instance in rank drives, in s."""

COUNTERS_EXPIRY_S = 600.0
"""Time after which counters of an instance are dropped, in seconds."""

RECORD_EXPIRY_S = 24 * 3600.0
"""Time after which a move's record from a peer is dropped, in seconds."""

VERDICT_EXPIRY_S = 24 * 3600.0
"""Time after which a verdict is dropped, in seconds."""

_STORE_THREADS = 4

_DELETED = "the order of the move was deleted"

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
MESSAGE_FAILED = events.declare(
    7103,
    logging.ERROR,
    "a message about moves could not be processed and was dropped",
    "check the version of the program on the other instances",
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
class MoveRecord:
    """A stored object of kind move, read from the store or a peer.

    An object without a change id is the record of an order that has no record
    in the store yet: the first driver writes it.
    """

    stored: object


@attrs.frozen
class WithdrawMove:
    """Message that the order of a service's move was deleted.

    Parameters
    ----------
    service : str
        Service of the move.
    version : int
        Revision of the store at the deletion.
    """

    service: str
    version: int


@attrs.frozen
class _WriteResolved:
    """Outcome of a conditional update of a move's record."""

    service: str
    change_id: str
    outcome: object


@attrs.frozen
class _ReadAbsent:
    """Result of a read that found no record of a service's move."""

    service: str


@attrs.frozen
class _ListMoves:
    """Query for the moves that the actor follows."""


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
    clock : Clock or SlewedWallClock
        Source of wall-clock time.
    moving : MovingServices
        Receives the names of the services with a move in progress.
    environment : str
        Environment whose moves are followed.
    times : rollout.Times
        Times of the moves that have none of their own.
    counter_reports : CounterReports or None
        Sends the counters to the instances that evaluate moves; None to
        publish them to all instances.
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
    counter_reports: object = None


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
        """Handle one message; an exception must not stop the actor."""
        try:
            return self._handle(message)
        except Exception as error:  # noqa: BLE001
            events.log(
                MESSAGE_FAILED,
                message=type(message).__name__,
                error=repr(error),
            )

    def _handle(self, message):
        """Handle one message."""
        match message:
            case Tick():
                self._tick(message)
            case move_counting.Count():
                self._count(message)
            case MoveRecord(stored):
                self._apply_record(stored)
            case WithdrawMove(service, version):
                self._withdraw(service, version)
            case _WriteResolved(service, change_id, outcome):
                now_s = self._dependencies.clock.wall_s()
                driver = self._followers[service].driver
                driver.resolve_write(change_id, outcome, now_s)
                self._apply_shares(service, now_s)
            case _ReadAbsent(service):
                self._followers[service].driver.observe_absence()
            case move_counting.PeerVerdict(data):
                self._apply_verdict(codec.decode_verdict(data))
            case _ListMoves():
                return self._list_moves()
            case move_counting.PeerCounters(data):
                self._counters.merge(counting.decode(data))

    def _tick(self, tick):
        """Evaluate and drive every move, then publish the counters."""
        for service, follower in self._followers.items():
            for action in self._step(service, follower, tick):
                self._execute(service, action)
        self._update_moving()
        self._publish_counters(tick)

    def _update_moving(self):
        """Update what other threads read about the moves in progress."""
        moves = {
            service: follower.monitor.move
            for service, follower in self._followers.items()
        }
        self._dependencies.moving.targets = {
            service: move.to_version
            for service, move in moves.items()
            if not move.stage.is_final
            or self._followers[service].monitor.is_lost
        }
        self._dependencies.moving.usual_s = {
            service: self._get_counters(self._followers[service])
            .total(service, moves[service].from_version)
            .estimate_median()
            for service in self._dependencies.moving.targets
        }

    def _step(self, service, follower, tick):
        """Return the actions of one service's move.

        The usual owner drives the move, the first MAX_TESTERS instances
        also evaluate it, and the others only follow its record.
        """
        testers = _rank_testers(service, tick.members)
        capacity = tick.capacities.get(service, rollout.Capacity(()))
        has_ended = (
            follower.monitor.move.stage.is_final
            and not follower.monitor.is_lost
        )
        is_tester = self._dependencies.instance in testers
        # A move that has ended is only driven to order unloading.
        if not is_tester or (has_ended and not capacity.loadable):
            return follower.monitor.step(None, tick.now_s)
        rank = testers.index(self._dependencies.instance)
        if self._may_drive(follower, rank, tick.now_s):
            return follower.driver.step(
                self._get_counters(follower), capacity, tick.now_s
            )
        return follower.monitor.step(self._get_counters(follower), tick.now_s)

    def _get_counters(self, follower):
        """Return the counters by which a move is evaluated.

        Moves with times of their own are counted by their id. Other builds
        know only moves without, and count these by service.
        """
        move = follower.monitor.move
        if move.times is None:
            return self._counters
        return move_counting.CountersOfMove(self._counters, move.id)

    def _may_drive(self, follower, rank, now_s):
        """Return whether this instance may drive a move.

        An instance of a lower rank waits, so that the usual owner of a move
        without a driver acquires the lease first.
        """
        move = follower.monitor.move
        free_since_s = max(move.lease_until_s, move.created_s)
        delay_s = rank * TAKEOVER_INTERVAL_S
        return (
            follower.driver.holds_lease(now_s)
            or now_s >= free_since_s + delay_s
        )

    def _apply_shares(self, service, now_s):
        """Apply the shares that follow from the record at once."""
        for action in self._followers[service].monitor.step(None, now_s):
            self._execute(service, action)

    def _withdraw(self, service, version):
        """End a move whose order was deleted as rolled back.

        The store may report the deletion with the revision of the last write,
        which is known already.
        """
        follower = self._followers.get(service)
        if follower is None or follower.monitor.move.stage.is_final:
            return
        now_s = self._dependencies.clock.wall_s()
        move = rollout.advance(
            follower.monitor.move,
            rollout.Stage.ROLLED_BACK,
            now_s,
            reason=_DELETED,
        )
        version = max(version, move.version + 1)
        move = attrs.evolve(move, version=version)
        follower.driver.observe(move, "", now_s)
        self._apply_shares(service, now_s)
        self._update_moving()

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
                self._submit(self._write, service, action)
            case rollout.ReadMove(object_name):
                self._submit(self._read, service, object_name)
            case rollout.Order():
                self._submit(self._order, action)

    def _submit(self, call, *arguments):
        """Run a call in another thread; log an exception that it raises."""

        def run():
            try:
                call(*arguments)
            except Exception as error:  # noqa: BLE001
                events.log(
                    MESSAGE_FAILED, message=call.__name__, error=repr(error)
                )

        self._threads.submit(run)

    def _set_share(self, service, share):
        """Set the share of a service's requests for the new version."""
        move = self._followers[service].monitor.move
        self._dependencies.dispatcher.change(
            lambda actor, now_s: actor.shares.set_move(
                service,
                move.from_version,
                move.to_version,
                share,
                move.withdrawn,
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

    def _read(self, service, object_name):
        """Read a record; the read is repeated later if the store is down."""
        try:
            stored = self._dependencies.store.get(KIND, object_name)
        except errors.StoreUnavailableError:
            return
        self.actor_ref.tell(
            _ReadAbsent(service) if stored is None else MoveRecord(stored)
        )

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
        if stored.change_id:
            self._publish_record(stored)
        follower = self._followers.get(move.service)
        if follower is None:
            follower = self._follow(move.service)
        now_s = self._dependencies.clock.wall_s()
        follower.driver.observe(move, stored.change_id, now_s)
        self._apply_shares(move.service, now_s)
        self._update_moving()

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
            stored.change_id.encode()
            + move_counting.RECORD_SEPARATOR
            + stored.value,
            RECORD_EXPIRY_S,
        )

    def _count(self, count):
        """Count the begin, the time or the end of one attempt.

        Any version but the new one counts as the old one.
        """
        follower = self._followers.get(count.service)
        if follower is None:
            return
        move = follower.monitor.move
        is_new = count.version == move.to_version
        version = move.to_version if is_new else move.from_version
        subject = move.service if move.times is None else move.id
        key = counting.RowKey(subject, version, count.route)
        count.apply(self._counters, key)

    def _publish_counters(self, tick):
        """Publish the local counters if they have changed."""
        sequence = self._counters.sequence
        reports = self._dependencies.counter_reports
        if reports is not None:
            names = set(
                itertools.chain.from_iterable(
                    _rank_testers(service, tick.members)
                    for service in self._dependencies.moving.targets
                )
            )
            reports.send(
                names - {self._dependencies.instance},
                sequence,
                lambda: counting.encode(self._counters.take_snapshot()),
            )
        elif sequence != self._published_sequence:
            self._published_sequence = sequence
            self._publish(
                facts.Topic.COUNTERS,
                f"{self._dependencies.instance}."
                f"{self._dependencies.incarnation}",
                sequence,
                counting.encode(self._counters.take_snapshot()),
                COUNTERS_EXPIRY_S,
            )

    def _publish(self, topic, key, version, value, expiry_s):
        """Publish one fact."""
        expires_s = self._dependencies.clock.wall_s() + expiry_s
        self._dependencies.peers.publish(
            facts.Fact(topic, key, version, value, expires_s)
        )


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
        store, KIND, clock, lambda item: actor.tell(MoveRecord(item))
    )


MoveRecorder = move_counting.MoveRecorder
MovingServices = move_counting.MovingServices


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


def _rank_testers(service, members):
    """Return the instances that evaluate a service's move, by rank."""
    ranked = membership.rank_by_rendezvous(f"move {service}", members)
    return ranked[: rollout.MAX_TESTERS]
