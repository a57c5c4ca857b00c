"""Input and outcomes of admission by room."""

import dataclasses
import enum

import attrs

from mulberryhollow.coordination import work

__all__ = ["Granted", "NoRoom", "RoomInputs", "RoomRequest", "Rule"]


class Rule(enum.Enum):
    """Rule that decided on a request.

    Attributes
    ----------
    AMPLE
        The use of the room is below the limit for free admission.
    UNKNOWN
        No endpoint is known, so the choice of an endpoint decides.
    SHARE
        The share of the rank and account in the room.
    RETURNED
        The request was refused before and goes before new ones.
    IMPATIENT
        The request returned before its Retry-After time.
    RESERVED
        The remaining room is reserved for more urgent requests.
    MEMORY
        The memory of the endpoints is exhausted.
    LATE
        The request would start after its goal and delay others.
    EXPIRED
        The request would start after its deadline.
    """

    AMPLE = "ample"
    UNKNOWN = "unknown"
    SHARE = "share"
    RETURNED = "returned"
    IMPATIENT = "impatient"
    RESERVED = "reserved"
    MEMORY = "memory"
    LATE = "late"
    EXPIRED = "expired"


@attrs.frozen
class RoomRequest:
    """A request that asks for room.

    Parameters
    ----------
    rank : int
        Urgency by account and route; 0 is the most urgent.
    account : str
        Client account.
    work : RequestWork
        Expected work of the request.
    goal_left_s, deadline_left_s : float
        Time left to the latency goal and to the deadline, in seconds.
    fingerprint : str
        Hash that the request shares with its resends; empty for none.
    """

    rank: int
    account: str
    work: work.RequestWork
    goal_left_s: float
    deadline_left_s: float
    fingerprint: str = ""


@attrs.frozen
class RoomInputs:
    """Values on which a decision was based.

    Parameters
    ----------
    use : float
        Use of the room, where 1 means that it is full.
    wait_s : float
        Expected time until a request starts, in seconds.
    share : float
        Fraction of the requests of the rank and account that is granted.
    demand, capacity : float
        Demand of the last seconds and capacity that is divided, in places.
    age_s : float
        Age of the oldest information about the room, in seconds.
    """

    use: float
    wait_s: float = 0.0
    share: float = 1.0
    demand: float = 0.0
    capacity: float = 0.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """The request is served."""

    rule: Rule
    inputs: RoomInputs


@dataclasses.dataclass(frozen=True)
class NoRoom:
    """The request is refused and has not run.

    Parameters
    ----------
    rule : Rule
        Rule that decided.
    retry_after_s : float
        Time after which the caller should return, in seconds.
    inputs : RoomInputs
        Values on which the decision was based.
    """

    rule: Rule
    retry_after_s: float
    inputs: RoomInputs
