"""What the stand-ins, the callers and the fault injector record."""

import json
import threading
import time

import attrs

__all__ = [
    "Call",
    "ConfigurationWritten",
    "Disturbance",
    "DutyCall",
    "EndpointLeft",
    "Exited",
    "LeavingSaid",
    "Recorder",
    "Run",
    "STORE",
    "Stream",
    "StreamRun",
]

STORE = "store"
"""Target of the disturbances of the store."""


@attrs.frozen
class DutyCall:
    """A call of a duty, as its API received it.

    Parameters
    ----------
    at_s : float
        Time of arrival, in seconds.
    instance : str
        Instance that sent the call, by the address that it was sent to.
    duty, subject : str
        Path of the call, and what its fencing tokens are compared within.
    token : int
        Fencing token.
    content : dict
        Body of the call.
    """

    at_s: float
    instance: str
    duty: str
    subject: str
    token: int
    content: dict


@attrs.frozen
class Disturbance:
    """A fault, or a planned stop, from its begin to its end.

    Parameters
    ----------
    target : str
        Name of an instance, or `STORE`.
    kind : str
        Name of the fault.
    begin_s, end_s : float
        Begin and end, in seconds.
    """

    target: str
    kind: str
    begin_s: float
    end_s: float


@attrs.frozen
class Run:
    """A request that an endpoint has begun to run."""

    at_s: float
    attempt: str
    endpoint: str
    path: str


@attrs.frozen
class StreamRun:
    """A stream that an endpoint has run, recorded when its work has ended.

    Parameters
    ----------
    attempt, endpoint : str
        Id of the request and of the endpoint.
    fate : str
        What the endpoint meant to do: "whole", "pause", "silent" or "close".
    begin_s, ended_s : float
        Begin and end of its work, in seconds.
    first_s : float or None
        Time of its first event, in seconds.
    last : int
        Number of the last event that it sent; 0 for none.
    end : str
        How its work ended: "finished", "closed" by it or "left" by the other
        side.
    """

    attempt: str
    endpoint: str
    fate: str
    begin_s: float
    ended_s: float
    first_s: float | None
    last: int
    end: str

    def is_sound(self):
        """Return whether the endpoint meant to finish the stream."""
        return self.fate in ("whole", "pause")


@attrs.frozen
class Stream:
    """What a caller has read of a stream, beside its `Call`.

    Parameters
    ----------
    attempt : str
        Id of the request.
    count : int
        Number of events of the whole stream.
    numbers : tuple of int
        Numbers of the events in the order of their arrival; 0 for one that
        belongs to another stream.
    is_whole : bool
        Whether the stream has ended as complete.
    """

    attempt: str
    count: int
    numbers: tuple
    is_whole: bool


@attrs.frozen
class LeavingSaid:
    """An answer in which an endpoint says that it leaves."""

    attempt: str
    endpoint: str


@attrs.frozen
class Call:
    """A caller's request; `status` is 0 without a complete answer.

    Parameters
    ----------
    attempt : str
        Id of the request.
    instance : str
        Instance that the request was sent to.
    life : int
        Number of the process of that instance.
    path : str
        Path of the request.
    sent_s, ended_s : float
        Times of sending and of the complete answer or failure, in seconds.
    status : int
        Status of the answer.
    fault : str
        How the call failed, or what is wrong with the answer.
    """

    attempt: str
    instance: str
    life: int
    path: str
    sent_s: float
    ended_s: float
    status: int
    fault: str


@attrs.frozen
class ConfigurationWritten:
    """A configuration that the store has confirmed, first or once more.

    An instance may act on it between `begun_s` and the confirmation, at
    `at_s`.
    """

    begun_s: float
    at_s: float
    version: int
    routes: tuple


@attrs.frozen
class EndpointLeft:
    """A leaving endpoint's change of its entry that the store confirmed."""

    at_s: float
    endpoint: str
    how: str


@attrs.frozen
class Exited:
    """A process that ended by itself, or too late after SIGTERM."""

    at_s: float
    instance: str
    reason: str


class Recorder:
    """Thread-safe list of records with times since its creation."""

    def __init__(self):
        self._start_s = time.monotonic()
        self._records = []
        self._open = {}
        self._lock = threading.Lock()

    def now_s(self):
        """Return the time since the creation, in seconds."""
        return time.monotonic() - self._start_s

    def add(self, record):
        """Append a record."""
        with self._lock:
            self._records.append(record)

    def begin(self, target, kind):
        """Record the begin of a disturbance; a second begin has no effect."""
        with self._lock:
            self._open.setdefault((target, kind), self.now_s())

    def end(self, target, kind):
        """Record the end of a disturbance, if it has begun."""
        with self._lock:
            begin_s = self._open.pop((target, kind), None)
            if begin_s is not None:
                self._records.append(
                    Disturbance(target, kind, begin_s, self.now_s())
                )

    def end_all(self):
        """Record the end of all disturbances."""
        for target, kind in tuple(self._open):
            self.end(target, kind)

    def select(self, kind):
        """Return the records of one class, in the order of their adding."""
        with self._lock:
            return [each for each in self._records if isinstance(each, kind)]

    def dump(self, path):
        """Write all records as JSON lines."""
        with path.open("w", encoding="utf-8") as file:
            for each in self._records:
                fields = {"record": type(each).__name__} | attrs.asdict(each)
                file.write(json.dumps(fields) + "\n")
