"""Local view of the endpoints that a node routes requests to."""

from mulberryhollow.state.endpoints.backlog import Backlog
from mulberryhollow.state.endpoints.backlog import UsualLoad
from mulberryhollow.state.endpoints.circuit import Circuit
from mulberryhollow.state.endpoints.circuit import CircuitState
from mulberryhollow.state.endpoints.group import EndpointGroup
from mulberryhollow.state.endpoints.record import Endpoint
from mulberryhollow.state.endpoints.record import EndpointRecord
from mulberryhollow.state.endpoints.record import FailureKind
from mulberryhollow.state.endpoints.record import Work
from mulberryhollow.state.endpoints.room import ServiceRoom
from mulberryhollow.state.endpoints.view import EndpointView

__all__ = [
    "Backlog",
    "Circuit",
    "CircuitState",
    "Endpoint",
    "EndpointGroup",
    "EndpointRecord",
    "EndpointView",
    "FailureKind",
    "ServiceRoom",
    "UsualLoad",
    "Work",
]
