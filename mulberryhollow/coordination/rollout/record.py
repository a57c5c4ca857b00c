"""Status record of a version move; its stage never goes back."""

import enum

import attrs

from mulberryhollow.coordination.rollout import times as move_times
from mulberryhollow import errors
from mulberryhollow.state import objects

__all__ = [
    "DONE_MARGIN_S",
    "Move",
    "MoveError",
    "Stage",
    "abort",
    "advance",
    "find_withdrawn",
    "merge",
    "renew",
    "start",
]

DONE_MARGIN_S = move_times.DEFAULT_TIMES.done_margin_s
"""Minimum time from writing ``done`` to the deadline, in seconds.

A move with times of its own has another margin.
"""

MAX_WITHDRAWN = 32
"""Maximum number of withdrawn versions that a record names.

It keeps a record far below the size of an object of the store.
"""


class MoveError(errors.MulberryError):
    """A move's record does not allow a change."""


class Stage(enum.Enum):
    """Stage of a move; ``done`` and ``rolled_back`` are final."""

    PLANNED = "planned"
    SHIFTING = "shifting"
    DONE = "done"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether the move has ended."""
        return self in (Stage.DONE, Stage.ROLLED_BACK)


_NEXT_STAGES = {
    Stage.PLANNED: {Stage.PLANNED, Stage.SHIFTING, Stage.ROLLED_BACK},
    Stage.SHIFTING: {Stage.SHIFTING, Stage.DONE, Stage.ROLLED_BACK},
    Stage.DONE: set(),
    Stage.ROLLED_BACK: set(),
}


_PROGRESS = {
    Stage.PLANNED: 0,
    Stage.SHIFTING: 1,
    Stage.DONE: 2,
    Stage.ROLLED_BACK: 2,
}


def _check_share(_move, _attribute, share):
    """Reject a share outside 0..1, including NaN."""
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"share {share} is not between 0 and 1")


def _check_deadline(move, _attribute, deadline_s):
    """Reject a deadline that is infinite or not after the creation."""
    if not move.created_s < deadline_s < float("inf"):
        raise ValueError(
            f"deadline {deadline_s} is not a finite time after the creation"
        )


@attrs.frozen
class Move:
    """Record of a gradual change of a service from one version to another.

    Parameters
    ----------
    id : str
        Unique id of the move.
    environment, service : str
        Environment and service of the move; a service has one move at a
        time.
    from_version, to_version : str
        Names of the old and the new version.
    created_s, deadline_s : float
        Creation and latest end of the move, in Unix seconds.
    stage : Stage
        Current stage.
    share : float
        Share of the service's requests for the new version, 0 to 1.
    reason : str
        Why the move was rolled back; otherwise empty.
    driver : str
        Name of the driver that holds the lease; empty when none does.
    lease_until_s : float
        End of the lease, in Unix seconds.
    epoch : int
        Number of times that the lease changed its holder.
    version : int
        Version of the object that holds the record; 0 when not stored.
    times : Times or None
        Times of this move; None for those of the drivers' settings.
    withdrawn : tuple of str
        Versions of earlier moves that were taken back. Their endpoints may
        still be listed, and an instance that starts knows only this record.
    """

    id: str
    environment: str
    service: str
    from_version: str
    to_version: str
    created_s: float
    deadline_s: float = attrs.field(validator=_check_deadline)
    stage: Stage = Stage.PLANNED
    share: float = attrs.field(default=0.0, validator=_check_share)
    reason: str = ""
    driver: str = ""
    lease_until_s: float = 0.0
    epoch: int = 0
    version: int = 0
    times: move_times.Times | None = None
    withdrawn: tuple[str, ...] = ()

    @property
    def done_by_s(self):
        """Latest time for writing ``done``, in Unix seconds."""
        return self.deadline_s - _get_times(self).done_margin_s

    @property
    def object_name(self):
        """Name of the object that holds the record."""
        return f"{self.environment}.{self.service}"


def _get_times(move):
    """Return the times that hold for a move's record."""
    return move.times or move_times.DEFAULT_TIMES


def advance(move, stage, now_s, share=None, reason=""):
    """Return the record in the same or a later stage.

    Parameters
    ----------
    move : Move
        The record as last read.
    stage : Stage
        The new stage.
    now_s : float
        Current time, in Unix seconds.
    share : float or None
        Share of the new version; None keeps the current share. A final stage
        ignores it: ``done`` sets 1 and ``rolled_back`` sets 0.
    reason : str
        Why the move is rolled back.

    Returns
    -------
    Move
        The record to write; its ``version`` is still the one read.

    Raises
    ------
    MoveError
        When the stage would go back, the move has ended, or too little time
        remains before the deadline to write ``done``.
    """
    if stage not in _NEXT_STAGES[move.stage]:
        raise MoveError(
            f"move {move.id} is {move.stage.value} and cannot become"
            f" {stage.value}",
            "read the move again, or start another one",
        )
    match stage:
        case Stage.DONE:
            _check_margin(move, now_s)
            share = 1.0
        case Stage.ROLLED_BACK:
            share = 0.0
        case _:
            share = move.share if share is None else share
    return attrs.evolve(move, stage=stage, share=share, reason=reason)


def _check_margin(move, now_s):
    """Refuse ``done`` when it may not reach every node before the deadline."""
    if now_s > move.done_by_s:
        raise MoveError(
            f"move {move.id} is too close to its deadline to become done",
            "let it roll back and start a move with a later deadline",
        )


def renew(move, driver, lease_until_s):
    """Return the record with a driver's new or extended lease.

    Parameters
    ----------
    move : Move
        The record as last read; a move that has ended keeps its stage.
    driver : str
        Name of the driver that acquires or extends the lease.
    lease_until_s : float
        End of the lease, in Unix seconds.

    Returns
    -------
    Move
        The record to write; a new holder increments the epoch.
    """
    epoch = move.epoch + (move.driver != driver)
    return attrs.evolve(
        move, driver=driver, lease_until_s=lease_until_s, epoch=epoch
    )


def merge(known, found):
    """Return the record that holds after a later one was read.

    A store that comes back from an older copy holds an earlier record of the
    move, or none, under a later version. Then the known record stays, under
    that version: the driver writes it again.

    Parameters
    ----------
    known : Move or None
        The record known before.
    found : Move
        The record that was read, of a later version.
    """
    if (
        known is None
        or known.id != found.id
        or objects.get_era(known.version) == objects.get_era(found.version)
        or not _is_further(known, found)
    ):
        return found
    return attrs.evolve(known, version=found.version)


def _is_further(known, found):
    """Return whether the known record is further than another one.

    The end that was told first stays, whoever drives the other record.
    """
    if known.stage.is_final and known.stage is not found.stage:
        return True
    return _get_progress(known) > _get_progress(found)


def _get_progress(move):
    """Return a key by which the records of a move never go back."""
    return _PROGRESS[move.stage], move.epoch, move.lease_until_s


def find_withdrawn(previous, *used):
    """Return the versions that a new move of a service has to leave aside.

    Parameters
    ----------
    previous : Move or None
        Record of the move that the new one replaces.
    *used : str
        Versions between which the new move is.
    """
    if previous is None:
        return ()
    is_done = previous.stage is Stage.DONE
    ended = () if is_done else (previous.to_version,)
    found = dict.fromkeys((*previous.withdrawn, *ended))
    left = [version for version in found if version not in used]
    return tuple(left[-MAX_WITHDRAWN:])


def abort(move, now_s, operator):
    """Return the record rolled back by an operator.

    Raises
    ------
    MoveError
        When the move has ended.
    """
    reason = f"aborted by {operator}"
    return advance(move, Stage.ROLLED_BACK, now_s, reason=reason)


def start(current, new_move):
    """Return the record of a new move, to replace the current one.

    Parameters
    ----------
    current : Move or None
        The record that the object holds now.
    new_move : Move
        The new move.

    Returns
    -------
    Move
        The record to write. It has the object version and the lease of the
        current record, so a new driver waits until that lease expires.

    Raises
    ------
    MoveError
        When a move of the service is still in progress, when the new move
        does not change the version, or when its deadline is too near.
    """
    if current is not None and not current.stage.is_final:
        raise MoveError(
            f"move {current.id} of {current.service} is still in progress",
            "wait for its end or abort it first",
        )
    if new_move.from_version == new_move.to_version:
        raise MoveError(
            f"service {new_move.service} already uses {new_move.to_version}",
            "name another version",
        )
    min_duration_s = _get_times(new_move).min_duration_s
    if new_move.deadline_s - new_move.created_s < min_duration_s:
        raise MoveError(
            f"the deadline of move {new_move.id} is too near",
            f"set a deadline at least {min_duration_s:g} seconds ahead",
        )
    if current is None:
        return new_move
    return attrs.evolve(
        new_move,
        driver=current.driver,
        lease_until_s=current.lease_until_s,
        epoch=current.epoch,
        version=current.version,
    )
