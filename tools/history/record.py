"""Events of a history and the recorder that collects them."""

import json
import threading

import attrs

__all__ = [
    "Answered",
    "ConfigurationSeen",
    "Crashed",
    "EndpointStep",
    "Killed",
    "LeavingNotice",
    "MoveSeen",
    "Published",
    "Recorder",
    "Sent",
    "StopPlanned",
    "StoreRevision",
    "load",
]


@attrs.frozen(kw_only=True)
class Sent:
    """A caller sent a request.

    Parameters
    ----------
    at_s : float
        Unix seconds, as in every event.
    call : str
        Unique name of the call.
    entry : str
        Name of the entry instance that the request was sent to.
    kind : str
        ``chat``, ``patient``, ``lookup`` or ``booking``.
    text : str
        Prompt, query or slot.
    key : str
        Idempotency key of a booking.
    max_tokens : int
        Number of tokens requested.
    """

    at_s: float
    call: str
    entry: str
    kind: str
    text: str
    key: str = ""
    max_tokens: int = 0


@attrs.frozen(kw_only=True)
class Answered:
    """A call ended.

    Parameters
    ----------
    call : str
        Name of the call.
    outcome : str
        ``done``, ``refused``, ``lost`` when the connection ended without
        a complete answer, ``malformed`` when the answer is not typed,
        ``unreached`` when no connection was made.
    request_id : str
        From ``X-Request-Id``.
    ran : str
        Execution status that a refusal states.
    content : str
        Text, result or booking id.
    tokens : int
        Number of tokens that the answer states.
    version : str
        Version that answered; empty when the answer names none.
    detail : str
        Kind of the refusal or of the loss.
    """

    at_s: float
    call: str
    outcome: str
    request_id: str = ""
    ran: str = ""
    content: str = ""
    tokens: int = 0
    version: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class EndpointStep:
    """An entry of an endpoint's ledger.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    step : str
        ``arrived`` or ``ran``.
    kind : str
        ``generate``, ``lookup`` or ``booking``.
    request_id, key, slot, booking_id, version : str
        As in the ledger entry.
    """

    at_s: float
    endpoint: str
    step: str
    kind: str
    request_id: str
    key: str = ""
    slot: str = ""
    booking_id: str = ""
    version: str = ""


@attrs.frozen(kw_only=True)
class StoreRevision:
    """The store wrote a revision of an object."""

    at_s: float
    kind: str
    name: str
    revision: int
    change_id: str = ""


@attrs.frozen(kw_only=True)
class ConfigurationSeen:
    """An instance reported the active version of its configuration.

    `environment` is the name of the environment that the configuration
    document describes.
    """

    at_s: float
    instance: str
    environment: str
    version: int


@attrs.frozen(kw_only=True)
class Published:
    """The store accepted a version of an environment's document."""

    at_s: float
    environment: str
    version: int


@attrs.frozen(kw_only=True)
class Crashed:
    """A request crashed the endpoint that ran it.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    text : str
        Prompt of the request.
    """

    at_s: float
    endpoint: str
    text: str


@attrs.frozen(kw_only=True)
class LeavingNotice:
    """A reclaim notice announced that endpoints will leave."""

    at_s: float
    endpoints: tuple
    reclaim_at_s: float


@attrs.frozen(kw_only=True)
class MoveSeen:
    """A move was observed in a state.

    Parameters
    ----------
    move : str
        Name of the move.
    state : str
        ``planned``, ``shifting``, ``done`` or ``rolled_back``.
    deadline_s : float
        Time by which the move must end, in Unix seconds.
    to_version : str
        Name of the new version.
    """

    at_s: float
    move: str
    state: str
    deadline_s: float
    to_version: str = ""


@attrs.frozen(kw_only=True)
class StopPlanned:
    """A graceful stop of an instance was requested."""

    at_s: float
    instance: str


@attrs.frozen(kw_only=True)
class Killed:
    """An instance was killed with SIGKILL, without notice."""

    at_s: float
    instance: str


_EVENT_TYPES = {
    event.__name__: event
    for event in (
        Sent,
        Answered,
        EndpointStep,
        StoreRevision,
        ConfigurationSeen,
        Crashed,
        Published,
        LeavingNotice,
        MoveSeen,
        StopPlanned,
        Killed,
    )
}


class Recorder:
    """Thread-safe collector of events."""

    def __init__(self):
        self._events = []
        self._lock = threading.Lock()

    def add(self, event):
        """Append one event."""
        with self._lock:
            self._events.append(event)

    def list_events(self):
        """Return all events, sorted by time."""
        with self._lock:
            return sorted(self._events, key=lambda event: event.at_s)

    def dump(self, path):
        """Write all events to a file, as one JSON object a line."""
        lines = [
            json.dumps({"type": type(event).__name__} | attrs.asdict(event))
            for event in self.list_events()
        ]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def load(path):
    """Return the events of a file that a recorder wrote."""
    lines = path.read_text(encoding="utf-8").splitlines()
    values = [json.loads(line) for line in lines if line]
    return [_EVENT_TYPES[value.pop("type")](**value) for value in values]
