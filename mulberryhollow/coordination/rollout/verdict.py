"""Verdicts on a new version."""

import dataclasses
import enum

__all__ = ["Bad", "Badness", "Good", "Undecided"]


class Badness(enum.Enum):
    """What is wrong with a version."""

    FAILING = "failing"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class Bad:
    """The new version is worse; final for its move.

    Parameters
    ----------
    move_id : str
        Id of the move.
    badness : Badness
        What is wrong.
    route : str
        The route that shows it; empty when all routes together do.
    requests : int
        Requests that the new version had begun by then.
    """

    move_id: str
    badness: Badness
    route: str
    requests: int

    @property
    def reason(self):
        """Text for the record and the operator."""
        where = f"on route {self.route}" if self.route else "in total"
        return f"{self.badness.value} {where} after {self.requests} requests"


@dataclasses.dataclass(frozen=True)
class Undecided:
    """Neither is shown yet.

    Parameters
    ----------
    requests : int
        Requests that the new version has answered in this window.
    """

    requests: int


@dataclasses.dataclass(frozen=True)
class Good:
    """At this share the new version is no worse.

    Parameters
    ----------
    evidence : float
        Logarithm of the weakest likelihood ratio in total.
    covers_routes : bool
        Whether each of the larger routes shows it too.
    """

    evidence: float
    covers_routes: bool = False
