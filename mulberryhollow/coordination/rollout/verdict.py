"""Verdicts on a new version."""

import dataclasses
import enum

__all__ = ["Bad", "Degradation", "Good", "Undecided"]


class Degradation(enum.Enum):
    """Kind of degradation of a version.

    A version is unproven when its exposure is used up without evidence that
    it is healthy.
    """

    FAILING = "failing"
    SLOW = "slow"
    UNPROVEN = "unproven"


@dataclasses.dataclass(frozen=True)
class Bad:
    """The new version is degraded; this verdict is final for the move.

    Parameters
    ----------
    move_id : str
        Id of the move.
    badness : Degradation
        Kind of the degradation.
    route : str
        Route on which the new version is degraded; empty if it is degraded
        over all routes together.
    requests : int
        Number of requests that the new version had started by then.
    """

    move_id: str
    badness: Degradation
    route: str
    requests: int

    @property
    def reason(self):
        """Description of the verdict, for the record and the operator."""
        where = f"on route {self.route}" if self.route else "in total"
        return f"{self.badness.value} {where} after {self.requests} requests"


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The evidence is not sufficient for a verdict yet.

    Parameters
    ----------
    requests : int
        Number of requests that the new version has answered in this window.
    """

    requests: int


@dataclasses.dataclass(frozen=True)
class Good:
    """The new version is healthy at the current share.

    Parameters
    ----------
    evidence : float
        Natural logarithm of the smallest likelihood ratio over all routes
        together.
    covers_routes : bool
        Whether the evidence suffices on each of the larger routes too.
    at_share : float
        Natural logarithm of the smallest likelihood ratio over the results
        at the current share alone.
    """

    evidence: float
    covers_routes: bool = False
    at_share: float = 0.0
