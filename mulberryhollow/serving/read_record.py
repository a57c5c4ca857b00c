"""Record of what the store answered to the reads of one kind."""

import logging

import attrs

from mulberryhollow import events

__all__ = ["ReadRecord"]

FIRST_PAUSE_S = 0.1
"""Pause after a list whose history was lost before the next watch, in s."""

MAX_PAUSE_S = 0.8
"""Largest pause between two lists while no history is kept, in seconds.

Each of them brings all changes, so a change is known within this time.
"""

HISTORY_LOST = events.declare(
    9016,
    logging.WARNING,
    "the store has dropped changes of a kind that were not read yet; its "
    "objects have to be listed again",
    "check the load on the store if this repeats for one revision",
)
LISTED_AGAIN = events.declare(
    9017,
    logging.INFO,
    "a kind whose history was lost has been listed again",
)


@attrs.define
class ReadRecord:
    """Answers of the store to the list and watch calls of this instance.

    What other instances relay is not recorded here: it says nothing about
    the history that the store keeps for this instance.

    Parameters
    ----------
    kind : str
        Kind of the objects.

    Attributes
    ----------
    answered_s : float or None
        When the store last answered with objects or changes, monotonic, in
        seconds.
    lost_count : int
        Number of calls that found the history lost.
    """

    kind: str
    answered_s: float | None = None
    lost_count: int = 0
    _row: int = 0
    _lost_since_s: float = 0.0

    @property
    def pause_s(self):
        """Time until the next read, in seconds; None for the usual one.

        Doubles with each loss of a row. The second one means that the history
        after a fresh list was lost as well.
        """
        if self._row < 2:
            return None
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self._row - 1, 10))

    def record_loss(self, revision, now_s):
        """Count a call that found the history after a revision lost.

        Logs the first, second, fourth, eighth and so on of a row, so that a
        store which keeps no history does not fill the log.
        """
        if not self._row:
            self._lost_since_s = now_s
        self._row += 1
        self.lost_count += 1
        if self._row & (self._row - 1) == 0:
            events.log(
                HISTORY_LOST,
                kind=self.kind,
                revision=revision,
                row=self._row,
                lost_s=round(now_s - self._lost_since_s, 3),
            )

    def record_list(self, revision, now_s):
        """Record a list; log it if it is the first one after a loss."""
        self.answered_s = now_s
        if self._row == 1:
            events.log(
                LISTED_AGAIN,
                kind=self.kind,
                revision=revision,
                lost_s=round(now_s - self._lost_since_s, 3),
            )

    def record_changes(self, now_s):
        """Record the answer to a watch, which ends a row of losses."""
        self.answered_s = now_s
        self._row = 0
