"""Driver of a version move: runs on one node at a time, under a lease."""

import itertools
import logging

import attrs

from mulberryhollow.coordination.rollout import actions
from mulberryhollow.coordination.rollout import bounded
from mulberryhollow.coordination.rollout import orders
from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import schedule
from mulberryhollow.coordination.rollout import times as step_times
from mulberryhollow.coordination.rollout import verdict
from mulberryhollow.events import declare
from mulberryhollow.events import log
from mulberryhollow.state import objects

__all__ = ["Driver", "LEASE_S"]

LEASE_S = step_times.DEFAULT_TIMES.lease_s
"""Duration of a lease, in seconds, unless the move has times of its own."""

RETRY_DELAY_S = 0.5
"""Delay before a write or read is retried, in seconds."""

MIN_SAMPLE_S = 5.0
"""Minimum time over which the request rate is estimated, in seconds."""

_LEASE_ACQUIRED = declare(7010, logging.INFO, "this instance drives the move")
_WRITE_CONFLICT = declare(
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
    "read the reason; start another move once its cause is removed",
)
_OUTCOME_UNKNOWN = declare(
    7015,
    logging.WARNING,
    "outcome of a write of the move is unknown",
    "nothing; the record is read again",
)


@attrs.define
class _Write:
    """A write that is in flight or has an unknown outcome."""

    move: record.Move
    change_id: str
    sent_s: float
    is_outcome_unknown: bool = False


@attrs.frozen
class _Sample:
    """Number of the service's requests started by some time in a move."""

    move_id: str
    at_s: float
    started: int


class Driver:
    """Drives the move of one service while it holds the lease.

    Parameters
    ----------
    name : str
        Unique name of this process; it changes with a restart.
    monitor : MoveMonitor
        Monitor of the move on this node.
    times : Times
        Times of the moves that have none of their own.

    Notes
    -----
    The lease only avoids needless contention between drivers. Safety rests on
    conditional updates: the write of a driver that was paused, or of a second
    driver, fails with a conflict; that driver then reads the record again and
    follows it.
    """

    def __init__(self, name, monitor, times=step_times.DEFAULT_TIMES):
        self.name = name
        self._default_times = times
        self._monitor = monitor
        self._orders = orders.OrderBook()
        self._change_numbers = itertools.count(1)
        self._write = None
        self._must_read = False
        self._retry_at_s = float("-inf")
        self._first_sample = None
        self._requests_per_s = 0.0

    @property
    def move(self):
        """Latest known record, or None."""
        return self._monitor.move

    @property
    def times(self):
        """Times of the current move."""
        move = self._monitor.move
        return (move and move.times) or self._default_times

    def observe(self, move, change_id, now_s):
        """Apply a record read from the store or received from a watch.

        Parameters
        ----------
        move : Move
            The record with its object's version.
        change_id : str
            Id of the change that wrote the record.
        now_s : float
            Current time, in Unix seconds.

        Notes
        -----
        A read resolves a write with an unknown outcome: either the record
        carries the id of that change or of a later one, or the change has not
        been applied. If it is applied after the read, it conflicts with this
        driver's next write, so at most one of the two succeeds.
        """
        self._monitor.observe(move, now_s)
        if move.version < self._monitor.move.version:
            return
        self._must_read = False
        write = self._write
        if write and (
            write.is_outcome_unknown or write.change_id == change_id
        ):
            self._write = None

    def observe_absence(self):
        """Handle a read that found no record of the move in the store.

        Notes
        -----
        For a move that nobody has driven yet, it resolves a write with an
        unknown outcome as `observe` does: the write has not been applied.
        The record of any other move was removed or replaced, which is
        observed before this driver writes again.
        """
        if self._monitor.move.epoch:
            return
        self._must_read = False
        if self._write and self._write.is_outcome_unknown:
            self._write = None

    def resolve_write(self, change_id, outcome, now_s):
        """Handle the outcome of a write.

        Parameters
        ----------
        change_id : str
            Id of the change.
        outcome : WriteApplied, WriteRejected or WriteOutcomeUnknown
            Outcome that the store returned.
        now_s : float
            Current time, in Unix seconds.
        """
        write = self._write
        if write is None or write.change_id != change_id:
            return
        match outcome:
            case objects.WriteApplied(version):
                self._write = None
                _log_changes(self._monitor.move, write.move)
                written = attrs.evolve(write.move, version=version)
                self._monitor.observe(written, now_s)
            case objects.WriteRejected("conflict"):
                self._write = None
                self._must_read = True
                log(_WRITE_CONFLICT, move=write.move.id)
            case objects.WriteRejected():
                self._write = None
                self._retry_at_s = now_s + RETRY_DELAY_S
            case objects.WriteOutcomeUnknown():
                self._mark_outcome_unknown(write)

    def receive_verdict(self, bad):
        """Receive a verdict of another node."""
        self._monitor.receive_verdict(bad)

    def holds_lease(self, now_s):
        """Return whether this driver holds an unexpired lease."""
        move = self._monitor.move
        return move.driver == self.name and now_s < move.lease_until_s

    def step(self, counters, capacity, now_s):
        """Return the actions that are due.

        Parameters
        ----------
        counters : Counters
            Merged counters of all nodes.
        capacity : Capacity
            Endpoints of the service, as observed.
        now_s : float
            Current time, in Unix seconds.

        Returns
        -------
        list
            `SetShare`, `PublishVerdict`, `WriteMove`, `ReadMove` and `Order`
            actions, in the order in which the caller has to execute them.
        """
        if self._monitor.move is None:
            return []
        due_actions = self._monitor.step(counters, now_s)
        self._estimate_request_rate(counters, now_s)
        due_actions += self._write_or_read(counters, capacity, now_s)
        if self.holds_lease(now_s) and not self._must_read:
            move = self._monitor.move
            plan = self._make_plan(move, capacity)
            due_actions += self._orders.list_due(move, plan, capacity, now_s)
        return due_actions

    def _make_plan(self, move, capacity):
        """Return the schedule of the move for the estimated request rate."""
        return schedule.make_plan(
            move, capacity, self._requests_per_s, self.times
        )

    def _estimate_request_rate(self, counters, now_s):
        """Estimate the service's request rate since the first step."""
        move = self._monitor.move
        started = sum(
            counters.total(move.service, version).started
            for version in (move.from_version, move.to_version)
        )
        if self._first_sample is None or self._first_sample.move_id != move.id:
            self._first_sample = _Sample(move.id, now_s, started)
        elapsed_s = now_s - self._first_sample.at_s
        if elapsed_s >= MIN_SAMPLE_S:
            growth = started - self._first_sample.started
            self._requests_per_s = growth / elapsed_s

    def _write_or_read(self, counters, capacity, now_s):
        """Return the next store action, if one is due."""
        write = self._write
        if write and now_s >= write.sent_s + self.times.write_timeout_s:
            self._mark_outcome_unknown(write)
        if now_s < self._retry_at_s:
            return []
        if self._must_read:
            self._retry_at_s = now_s + RETRY_DELAY_S
            return [actions.ReadMove(self._monitor.move.object_name)]
        if self._write:
            return []
        new_record = self._choose_record(counters, capacity, now_s)
        return [] if new_record is None else [self._send(new_record, now_s)]

    def _mark_outcome_unknown(self, write):
        """Mark a write's outcome as unknown; only a read resolves it."""
        if not write.is_outcome_unknown:
            log(_OUTCOME_UNKNOWN, move=write.move.id)
        write.is_outcome_unknown = True
        self._must_read = True

    def _send(self, new_record, now_s):
        """Return the conditional update that writes a record."""
        change_id = f"{self.name}:{new_record.id}:{next(self._change_numbers)}"
        self._write = _Write(new_record, change_id, now_s)
        return actions.WriteMove(
            new_record,
            new_record.version,
            change_id,
            self._get_not_after_s(new_record),
        )

    def _get_not_after_s(self, new_record):
        """Return the latest time for sending a write, in Unix seconds.

        The end of a move is written in time for all nodes to learn of it; one
        that is written again, after a restore of the store, is known already.
        """
        monitor = self._monitor
        is_known = monitor.is_lost and monitor.move.stage is record.Stage.DONE
        is_bound = new_record.stage is record.Stage.DONE and not is_known
        return new_record.done_by_s if is_bound else float("inf")

    def _choose_record(self, counters, capacity, now_s):
        """Return the record to write now, or None."""
        move = self._monitor.move
        plan = self._make_plan(move, capacity)
        if self._is_finished(move, plan, capacity, now_s):
            return None
        if not self.holds_lease(now_s):
            return self._acquire_lease(move, now_s)
        changed = self._choose_change(move, plan, counters, capacity, now_s)
        if self._monitor.is_lost:
            return self._renew(changed or move, now_s)
        renew_at_s = move.lease_until_s - self.times.min_lease_remaining_s
        if changed is None and now_s < renew_at_s:
            return None
        return self._renew(changed or move, now_s)

    def _renew(self, move, now_s):
        """Return the record with this driver's lease from now on."""
        return record.renew(move, self.name, now_s + self.times.lease_s)

    def _is_finished(self, move, plan, capacity, now_s):
        """Return whether the move has ended and no order remains.

        A record that a restore of the store has lost is to be written again.
        """
        if self._monitor.is_lost:
            return False
        return move.stage.is_final and self._orders.is_reconciled(
            move, plan, capacity, now_s
        )

    def _acquire_lease(self, move, now_s):
        """Return the record with this driver's lease, once it is available.

        Another driver's lease is available once it has been expired for the
        maximum clock difference.
        """
        is_holder = move.driver == self.name
        free_at_s = move.lease_until_s + self.times.max_clock_skew_s
        if not (is_holder or now_s >= free_at_s):
            return None
        return self._renew(move, now_s)

    def _choose_change(self, move, plan, counters, capacity, now_s):
        """Return the record with the next stage or share, or None."""
        if move.stage.is_final:
            return None
        match self._monitor.judge(counters, now_s):
            case verdict.Bad() as bad:
                return _roll_back(move, bad.reason, now_s)
            case judgement:
                decision = self._decide(plan, capacity, judgement, now_s)
        match decision:
            case schedule.RollBack(reason):
                return _roll_back(move, reason, now_s)
            case schedule.Finish():
                return record.advance(move, record.Stage.DONE, now_s)
            case schedule.Shift(share):
                return record.advance(
                    move, record.Stage.SHIFTING, now_s, share
                )
            case schedule.Hold():
                return None

    def _decide(self, plan, capacity, judgement, now_s):
        """Return the decision of the schedule that the times ask for."""
        move, since_s = self._monitor.move, self._monitor.since_s
        if self.times.exposure is None:
            return schedule.decide(
                move, plan, capacity, judgement, since_s, now_s
            )
        return bounded.decide(
            move,
            self.times,
            self._monitor.usage,
            capacity,
            judgement,
            since_s,
            now_s,
        )


def _log_changes(before, after):
    """Log the changes that a write made to the record."""
    if after.epoch != before.epoch:
        log(_LEASE_ACQUIRED, move=after.id, epoch=after.epoch)
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
    """Return the record in the rolled-back stage."""
    return record.advance(move, record.Stage.ROLLED_BACK, now_s, reason=reason)
