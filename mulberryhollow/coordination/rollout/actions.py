"""Actions that the state machines of a version move ask for."""

import dataclasses
import enum

from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import verdict

__all__ = ["Command", "Order", "ReadMove", "SetShare", "Tell", "WriteMove"]


class Command(enum.Enum):
    """What an order asks of an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class WriteMove:
    """Write the record by a conditional update.

    Parameters
    ----------
    move : Move
        The record to write.
    expected_version : int
        Version that the object must have; 0 when it must be absent.
    change_id : str
        Unique id of the change.
    not_after_s : float
        Latest time for sending it, in Unix seconds; the sender looks at its
        clock once more, since it may have been paused in between.
    """

    move: record.Move
    expected_version: int
    change_id: str
    not_after_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class ReadMove:
    """Read the record from the store.

    Parameters
    ----------
    object_name : str
        Name of its object.
    """

    object_name: str


@dataclasses.dataclass(frozen=True)
class Order:
    """Order an endpoint to load or unload a version.

    Parameters
    ----------
    address : str
        The endpoint.
    command : Command
        What it has to do.
    service, version : str
        The version of which service.
    fence : int
        Fencing number: the version of the move's object.
    not_after_s : float
        Latest time for sending it, in Unix seconds.
    """

    address: str
    command: Command
    service: str
    version: str
    fence: int
    not_after_s: float


@dataclasses.dataclass(frozen=True)
class SetShare:
    """Route a share of the service's requests to the new version.

    Parameters
    ----------
    service, version : str
        The new version.
    share : float
        Its share, 0 to 1; the old version gets the rest.
    """

    service: str
    version: str
    share: float


@dataclasses.dataclass(frozen=True)
class Tell:
    """Tell the peers a verdict.

    Parameters
    ----------
    bad : Bad
        The verdict.
    """

    bad: verdict.Bad
