"""Follows the orders by which an operator moves services to versions."""

import collections
import logging
import threading

import attrs

from mulberryhollow.coordination import rollout
from mulberryhollow import events
from mulberryhollow.protocol import moves as codec
from mulberryhollow.serving import moves
from mulberryhollow.state import objects
from mulberryhollow.state import restores

__all__ = ["MoveOrder", "OrderDecoders", "OrderFollower"]

SEEN = events.declare(
    7110, logging.INFO, "an order to move a service was read"
)
BEGUN = events.declare(
    7111, logging.INFO, "the move of an order can begin or has a record"
)
MALFORMED = events.declare(
    7112,
    logging.ERROR,
    "an order to move a service is malformed and starts nothing",
    "write the order again",
)
DELETED = events.declare(
    7113, logging.WARNING, "an order to move a service was deleted"
)


@attrs.frozen
class MoveOrder:
    """Operator's order to move a service to a version.

    Parameters
    ----------
    id : str
        Id of the move; a changed order, or one of the same content that was
        deleted in between, has another one.
    service, target : str
        The service and its new version.
    duration_s : float
        Time in which the move has to end, in seconds.
    written_id : str
        Id of the order as it is written in the store. That of the move is the
        id with which the order was first written, before a restore of the
        store lost it.
    """

    id: str
    service: str
    target: str
    duration_s: float
    written_id: str = ""

    def requests_same(self, other):
        """Return whether another order requests the same move."""
        return (self.service, self.target, self.duration_s) == (
            other.service,
            other.target,
            other.duration_s,
        )


@attrs.frozen
class OrderDecoders:
    """Decoders of the objects that hold orders.

    Parameters
    ----------
    decode : callable
        Returns the MoveOrder of a StoredObject or raises ValueError.
    decode_target : callable
        Returns the target of a malformed order, or None.
    decode_record : callable
        Returns the record of the move beside an order as a StoredObject, or
        None.
    """

    decode: object
    decode_target: object
    decode_record: object


@attrs.define
class _Seen:
    """An order that this instance has seen, its move and the one before it.

    The move is a planned one, whatever its record says; None if it could not
    begin yet.
    """

    order: MoveOrder
    version: int
    seen_s: float
    previous: object = None
    move: object = None


class OrderFollower:
    """Follows the orders in the store and starts their moves.

    Implements the callbacks that `ObjectFollower` calls.

    Parameters
    ----------
    decoders : OrderDecoders
        Decoders of the objects.
    actor : pykka.ActorRef
        A running MoveActor.
    dispatcher : Dispatcher
        Receives the shares of the versions.
    clock : SlewedWallClock
        Source of wall-clock time.
    get_listings : callable
        Returns every EndpointListing in use.
    make_times : callable
        ``make_times(duration_s)`` returns the Times of a move.

    Attributes
    ----------
    is_known : bool
        Whether the orders have been listed.

    Notes
    -----
    An order gives its target no requests from the moment that it is seen
    until a record of its move says otherwise. An order without a record is
    passed on as a planned move, which the first driver writes into the store.

    An order that a restored store lacks is kept for the time of
    `RestoreGrace`. If the same order is written again in this time, its move
    goes on.
    """

    def __init__(
        self, decoders, actor, dispatcher, clock, get_listings, make_times
    ):
        self._decoders = decoders
        self._actor = actor
        self._dispatcher = dispatcher
        self._clock = clock
        self._get_listings = get_listings
        self._make_times = make_times
        self._seen = {}
        self._reported = {}
        self._revision = 0
        self._grace = restores.RestoreGrace()
        self._lock = threading.Lock()
        self.is_known = False

    @property
    def has_pending(self):
        """Whether an order waits for endpoints, or to be written again."""
        return any(
            each.move is None or self._grace.precedes(each.version)
            for each in tuple(self._seen.values())
        )

    def get_written_id(self, move):
        """Return the id of the order in the store of a move.

        Parameters
        ----------
        move : Move
            The move, whose id is that of its order unless a restore of the
            store has lost the order.
        """
        seen = self._seen.get(move.service)
        is_current = seen is not None and seen.order.id == move.id
        return seen.order.written_id if is_current else move.id

    def handle_list(self, items, revision):
        """Apply a complete list of orders."""
        names = {item.name for item in items}
        now_s = self._clock.wall_s()
        with self._lock:
            self._revision = revision
            self._grace.observe(revision, now_s)
            for name in self._seen.keys() - names:
                if not self._grace.keeps(self._seen[name].version, now_s):
                    self._delete(name, revision)
        self.handle_changes(items)
        self.is_known = True

    def handle_changes(self, items):
        """Apply changed and deleted orders, the oldest first."""
        with self._lock:
            for item in items:
                if item.is_deleted:
                    self._delete(item.name, item.version)
                else:
                    self._apply(item)

    def record_recovery(self, at_s, last_use_s):
        """Do nothing, since the lists tell of a restore by their era."""

    def tick(self):
        """Apply what the time decides on orders.

        Begins the moves of those whose service has endpoints by now, and ends
        those that were not written again after a restore of the store.
        """
        with self._lock:
            if not self._grace.is_open(self._clock.wall_s()):
                self._delete_lost()
            for seen in self._seen.values():
                if seen.move is None:
                    self._begin(seen)

    def _delete_lost(self):
        """End the moves of orders that were not written again."""
        lost = [
            name
            for name, seen in self._seen.items()
            if self._grace.precedes(seen.version)
        ]
        for name in lost:
            self._delete(name, self._revision)

    def _apply(self, item):
        """Apply a new or changed order, or a change of its record."""
        try:
            order = self._decoders.decode(item)
        except ValueError as error:
            self._refuse(item, str(error))
            return
        record = self._decoders.decode_record(item)
        move = self._decode(record)
        seen = self._seen.get(item.name)
        if seen is not None and self._is_written_again(seen, order):
            seen.order = attrs.evolve(order, id=seen.order.id)
        elif seen is None or seen.order.written_id != order.written_id:
            seen = _Seen(order, item.version, self._clock.wall_s())
            self._see(item.name, seen, _list_withdrawn(move, order))
        seen.version = item.version
        if move is not None and move.id == order.id:
            seen.order, seen.move = order, _plan(move)
            self._actor.tell(moves.MoveRecord(record))
            return
        seen.previous = move
        if seen.move is None:
            self._begin(seen)
        else:
            self._pass_on(seen)

    def _is_written_again(self, seen, order):
        """Return whether an order is one that a restore has lost."""
        is_lost = self._grace.precedes(seen.version)
        return is_lost and seen.order.requests_same(order)

    def _decode(self, record):
        """Return the Move of a stored record; None without a usable one."""
        try:
            return record and codec.decode(record.value, record.version)
        except codec.MoveFormatError:
            return None

    def _see(self, name, seen, withdrawn):
        """Follow a new order, whose target gets nothing from now on.

        Nor do the versions of earlier orders that were taken back.
        """
        self._seen[name] = seen
        order = seen.order
        events.log(
            SEEN,
            move=order.id,
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            revision=seen.version,
        )
        self._set_aside(order.service, order.target, withdrawn)

    def _set_aside(self, service, version, withdrawn=()):
        """Give versions no requests until a move says otherwise."""
        self._dispatcher.change(
            lambda actor, now_s: actor.shares.set_move(
                service, "", version, 0.0, withdrawn
            )
        )

    def _begin(self, seen):
        """Pass the move of an order on if the service has another version."""
        order = seen.order
        from_version = self._find_from_version(seen)
        if from_version is None:
            return
        seen.move = rollout.Move(
            id=order.id,
            environment="",
            service=order.service,
            from_version=from_version,
            to_version=order.target,
            created_s=seen.seen_s,
            deadline_s=seen.seen_s + order.duration_s,
            times=self._make_times(order.duration_s),
            withdrawn=rollout.find_withdrawn(
                seen.previous, from_version, order.target
            ),
        )
        events.log(BEGUN, move=order.id, from_version=from_version)
        self._pass_on(seen)

    def _pass_on(self, seen):
        """Pass the move of an order without a record on, as a planned one.

        What is known of the move beyond its plan stays, see `rollout.merge`.
        """
        self._actor.tell(
            moves.MoveRecord(
                objects.StoredObject(
                    moves.KIND,
                    seen.order.service,
                    seen.version,
                    codec.encode(seen.move),
                )
            )
        )

    def _find_from_version(self, seen):
        """Return the version that the service moves from; None if unknown.

        After an order that was not completed it is the version that this one
        moved from, otherwise the one that most other endpoints have.
        """
        order, previous = seen.order, seen.previous
        counts = collections.Counter(
            each.version
            for each in self._get_listings()
            if each.service == order.service
            and each.version != order.target
            and not each.is_leaving
        )
        if previous is not None:
            is_done = previous.stage is rollout.Stage.DONE
            version = previous.to_version if is_done else previous.from_version
            if counts[version]:
                return version
        return max(sorted(counts), key=counts.get, default=None)

    def _refuse(self, item, reason):
        """Log a malformed order once; its target gets no requests.

        Nor do the versions that the record beside it leaves aside.
        """
        target = self._decoders.decode_target(item)
        known = self._seen.pop(item.name, None)
        if known is not None:
            self._actor.tell(
                moves.WithdrawMove(known.order.service, item.version)
            )
        if target is not None:
            move = self._decode(self._decoders.decode_record(item))
            withdrawn = rollout.find_withdrawn(move, target)
            self._set_aside(item.name, target, withdrawn)
        if self._reported.get(item.name) != item.version:
            self._reported[item.name] = item.version
            events.log(MALFORMED, order=item.name, reason=reason)

    def _delete(self, name, version):
        """End the move of a deleted order as rolled back."""
        seen = self._seen.pop(name, None)
        if seen is not None:
            events.log(DELETED, move=seen.order.id)
            self._actor.tell(moves.WithdrawMove(seen.order.service, version))


def _list_withdrawn(move, order):
    """Return the versions that an order leaves aside beside its target.

    Parameters
    ----------
    move : Move or None
        The record beside the order: of its own move or of the one before.
    order : MoveOrder
        The order.
    """
    if move is not None and move.id == order.id:
        return move.withdrawn
    return rollout.find_withdrawn(move, order.target)


def _plan(move):
    """Return the planned form of a move, as before its first record."""
    return rollout.Move(
        id=move.id,
        environment=move.environment,
        service=move.service,
        from_version=move.from_version,
        to_version=move.to_version,
        created_s=move.created_s,
        deadline_s=move.deadline_s,
        times=move.times,
        withdrawn=move.withdrawn,
    )
