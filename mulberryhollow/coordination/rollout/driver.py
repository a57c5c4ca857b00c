"""The driver of a version move: one node at a time, under a lease."""

import itertools
import logging

import attrs

from mulberryhollow.coordination.rollout import actions
from mulberryhollow.coordination.rollout import orders
from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import schedule
from mulberryhollow.coordination.rollout import times as step_times
from mulberryhollow.coordination.rollout import verdict
from mulberryhollow.events import declare
from mulberryhollow.events import log
from mulberryhollow.state import objects

__all__ = ["Driver", "LEASE_S"]

LEASE_S = 15.0
"""Length of a lease, in seconds."""

RENEW_S = 10.0
"""Time left at which a lease is renewed, in seconds."""

CLOCK_SKEW_S = 1.0
"""Greatest difference between the clocks of two nodes, in seconds."""

RETRY_S = 0.5
"""Time until a write or read is tried again, in seconds."""

ANSWER_TIMEOUT_S = 5.0
"""Time after which the outcome of a write counts as lost, in seconds."""

MIN_SAMPLE_S = 5.0
"""Least time over which the requests a second are estimated, in seconds."""

_LEASE_TAKEN = declare(7010, logging.INFO, "this instance drives the move")
_LEASE_LOST = declare(
    7011,
    logging.WARNING,
    "another instance has changed the move",
    "nothing; this instance follows the stored record",
)
_SHARE_CHANGED = declare(
    7012, logging.INFO, "share of the new version changed"
)
_DONE = declare(7013, logging.INFO, "move is done")
_ROLLED_BACK = declare(
    7014,
    logging.WARNING,
    "move is rolled back",
    "read the reason; start another move when it is removed",
)
_ANSWER_LOST = declare(
    7015,
    logging.WARNING,
    "outcome of a write of the move is unknown",
    "nothing; the record is read again",
)


@attrs.define
class _Write:
    """A write whose outcome is not known yet."""

    move: record.Move
    change_id: str
    sent_s: float
    is_lost: bool = False


@attrs.frozen
class _Sample:
    """Requests of the service begun by some time in a move."""

    move_id: str
    at_s: float
    started: int


class Driver:
    """Drives one service's move while it holds the lease.

    Parameters
    ----------
    name : str
        Unique name of this run of the instance; another after a restart.
    watcher : Watcher
        What this node knows about the move.
    times : Times
        Least times of the steps.

    Notes
    -----
    The lease only says who usually drives. Whether a write takes effect is
    decided by its conditional update: a driver that was paused, or a second
    one, fails there, reads the record again and follows it.
    """

    def __init__(self, name, watcher, times=step_times.DEFAULT_TIMES):
        self.name = name
        self._times = times
        self._watcher = watcher
        self._orders = orders.OrderBook()
        self._numbers = itertools.count(1)
        self._write = None
        self._must_read = False
        self._retry_s = float("-inf")
        self._first = None
        self._requests_per_s = 0.0

    @property
    def move(self):
        """The latest record, or None."""
        return self._watcher.move

    def observe(self, move, change_id, now_s):
        """Take in a record read from the store or from a watch.

        Parameters
        ----------
        move : Move
            The record with its object's version.
        change_id : str
            Id of the change that wrote it.
        now_s : float
            The present time, in Unix seconds.

        Notes
        -----
        This settles a lost answer: the record carries the id of that change,
        or a later one, or the change has not taken effect. Should it do so
        later, it and the next write cannot both succeed.
        """
        self._watcher.observe(move, now_s)
        if move.version < self._watcher.move.version:
            return
        self._must_read = False
        write = self._write
        if write and (write.is_lost or write.change_id == change_id):
            self._write = None

    def settle(self, change_id, outcome, now_s):
        """Take in the outcome of a write.

        Parameters
        ----------
        change_id : str
            Id of the change.
        outcome : Done, NotDone or Unknown
            What the store answered.
        now_s : float
            The present time, in Unix seconds.
        """
        write = self._write
        if write is None or write.change_id != change_id:
            return
        match outcome:
            case objects.Done(version):
                self._write = None
                _report(self._watcher.move, write.move)
                written = attrs.evolve(write.move, version=version)
                self._watcher.observe(written, now_s)
            case objects.NotDone("conflict"):
                self._write = None
                self._must_read = True
                log(_LEASE_LOST, move=write.move.id)
            case objects.NotDone():
                self._write = None
                self._retry_s = now_s + RETRY_S
            case objects.Unknown():
                self._lose(write)

    def hear(self, bad):
        """Take over a verdict of another node."""
        self._watcher.hear(bad)

    def holds_lease(self, now_s):
        """Return whether this driver has the lease."""
        move = self._watcher.move
        return move.driver == self.name and now_s < move.lease_until_s

    def step(self, counters, capacity, now_s):
        """Return what to do now.

        Parameters
        ----------
        counters : Counters
            Merged counters.
        capacity : Capacity
            The service's endpoints as seen.
        now_s : float
            The present time, in Unix seconds.

        Returns
        -------
        list
            `SetShare`, `Tell`, `WriteMove`, `ReadMove` and `Order`, in the
            order in which they have to be carried out.
        """
        if self._watcher.move is None:
            return []
        asked = self._watcher.step(counters, now_s)
        self._measure_demand(counters, now_s)
        asked += self._write_or_read(counters, capacity, now_s)
        if self.holds_lease(now_s) and not self._must_read:
            move = self._watcher.move
            plan = self._make_plan(move, capacity)
            asked += self._orders.list_due(move, plan, capacity, now_s)
        return asked

    def _make_plan(self, move, capacity):
        """Return the times of the move by the requests seen so far."""
        return schedule.make_plan(
            move, capacity, self._requests_per_s, self._times
        )

    def _measure_demand(self, counters, now_s):
        """Estimate the service's requests a second, since the first step."""
        move = self._watcher.move
        started = sum(
            counters.total(move.service, version).started
            for version in (move.from_version, move.to_version)
        )
        if self._first is None or self._first.move_id != move.id:
            self._first = _Sample(move.id, now_s, started)
        elapsed_s = now_s - self._first.at_s
        if elapsed_s >= MIN_SAMPLE_S:
            growth = started - self._first.started
            self._requests_per_s = growth / elapsed_s

    def _write_or_read(self, counters, capacity, now_s):
        """Return the next call of the store, if one is due."""
        write = self._write
        if write and now_s >= write.sent_s + ANSWER_TIMEOUT_S:
            self._lose(write)
        if now_s < self._retry_s:
            return []
        if self._must_read:
            self._retry_s = now_s + RETRY_S
            return [actions.ReadMove(self._watcher.move.object_name)]
        if self._write:
            return []
        wanted = self._choose_record(counters, capacity, now_s)
        return [] if wanted is None else [self._send(wanted, now_s)]

    def _lose(self, write):
        """Note that an outcome is unknown; only a read settles it."""
        if not write.is_lost:
            log(_ANSWER_LOST, move=write.move.id)
        write.is_lost = True
        self._must_read = True

    def _send(self, wanted, now_s):
        """Return the conditional update for a record."""
        change_id = f"{self.name}:{wanted.id}:{next(self._numbers)}"
        self._write = _Write(wanted, change_id, now_s)
        return actions.WriteMove(
            wanted, wanted.version, change_id, _get_latest_s(wanted)
        )

    def _choose_record(self, counters, capacity, now_s):
        """Return the record to write now, or None."""
        move = self._watcher.move
        plan = self._make_plan(move, capacity)
        if self._is_settled(move, plan, capacity, now_s):
            return None
        if not self.holds_lease(now_s):
            return self._choose_lease(move, now_s)
        changed = self._choose_change(move, plan, counters, capacity, now_s)
        if changed is None and now_s < move.lease_until_s - RENEW_S:
            return None
        return record.renew(changed or move, self.name, now_s + LEASE_S)

    def _is_settled(self, move, plan, capacity, now_s):
        """Return whether the move has ended and left nothing to do."""
        return move.stage.is_final and self._orders.is_settled(
            move, plan, capacity, now_s
        )

    def _choose_lease(self, move, now_s):
        """Return the record with the lease taken, once it is free."""
        is_own = move.driver == self.name
        is_free = now_s >= move.lease_until_s + CLOCK_SKEW_S
        if not (is_own or is_free):
            return None
        return record.renew(move, self.name, now_s + LEASE_S)

    def _choose_change(self, move, plan, counters, capacity, now_s):
        """Return the record in its next state, or None to keep it."""
        if move.stage.is_final:
            return None
        match self._watcher.judge(counters, now_s):
            case verdict.Bad() as bad:
                return _roll_back(move, bad.reason, now_s)
            case judgement:
                decision = schedule.decide(
                    move,
                    plan,
                    capacity,
                    judgement,
                    self._watcher.since_s,
                    now_s,
                )
        match decision:
            case schedule.GiveUp(reason):
                return _roll_back(move, reason, now_s)
            case schedule.Finish():
                return record.advance(move, record.Stage.DONE, now_s)
            case schedule.Shift(share):
                return record.advance(
                    move, record.Stage.SHIFTING, now_s, share
                )
            case schedule.Hold():
                return None


def _get_latest_s(move):
    """Return the latest time for sending a record, in Unix seconds."""
    is_done = move.stage is record.Stage.DONE
    return move.done_by_s if is_done else float("inf")


def _report(before, after):
    """Log what a write of the record has changed."""
    if after.epoch != before.epoch:
        log(_LEASE_TAKEN, move=after.id, epoch=after.epoch)
    match after.stage:
        case before.stage if after.share == before.share:
            return
        case record.Stage.DONE:
            log(_DONE, move=after.id)
        case record.Stage.ROLLED_BACK:
            log(_ROLLED_BACK, move=after.id, reason=after.reason)
        case _:
            log(_SHARE_CHANGED, move=after.id, share=after.share)


def _roll_back(move, reason, now_s):
    """Return the record rolled back."""
    return record.advance(move, record.Stage.ROLLED_BACK, now_s, reason=reason)
