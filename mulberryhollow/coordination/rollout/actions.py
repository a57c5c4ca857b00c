"""Actions that the state machines of a version move return."""

import dataclasses
import enum

from mulberryhollow.coordination.rollout import record
from mulberryhollow.coordination.rollout import verdict

__all__ = [
    "Command",
    "Order",
    "PublishVerdict",
    "ReadMove",
    "SetShare",
    "WriteMove",
]


class Command(enum.Enum):
    """Command of an order to an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class WriteMove:
    """Action: write the move's record by a conditional update.

    Parameters
    ----------
    move : Move
        The record to write.
    expected_version : int
        Version that the object must have; 0 when it must be absent.
    change_id : str
        Unique id of the change.
    not_after_s : float
        Latest time for sending the write, in Unix seconds; the sender checks
        the clock right before sending, because the process may have been
        paused in between.
    """

    move: record.Move
    expected_version: int
    change_id: str
    not_after_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class ReadMove:
    """Action: read the move's record from the store.

    Parameters
    ----------
    object_name : str
        Name of the object that holds the record.
    """

    object_name: str


@dataclasses.dataclass(frozen=True)
class Order:
    """Action: order an endpoint to load or unload a version.

    Parameters
    ----------
    address : str
        Address of the endpoint.
    command : Command
        Whether to load or unload.
    service, version : str
        The service and the version to load or unload.
    fence : int
        Fencing token: the version of the move's object.
    not_after_s : float
        Latest time for sending the order, in Unix seconds.
    """

    address: str
    command: Command
    service: str
    version: str
    fence: int
    not_after_s: float


@dataclasses.dataclass(frozen=True)
class SetShare:
    """Action: route a share of the service's requests to the new version.

    Parameters
    ----------
    service, version : str
        The service and its new version.
    share : float
        Share of the new version, 0 to 1; the old version gets the rest.
    """

    service: str
    version: str
    share: float


@dataclasses.dataclass(frozen=True)
class PublishVerdict:
    """Action: publish a verdict to the peers.

    Parameters
    ----------
    bad : Bad
        The verdict.
    """

    bad: verdict.Bad
