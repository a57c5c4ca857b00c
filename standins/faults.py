"""Faults that a stand-in has been told to show."""

import os
import random
import threading
import time

import attrs

from standins import http

__all__ = ["EndpointFaults", "Fault", "FaultSet"]

_CRASH_EXIT_CODE = 70
_RANDOM_SEED = 7
_ENDPOINT_FAULTS = {
    "crash",
    "cross",
    "drop_answer",
    "fail",
    "freeze",
    "ignore_fence",
    "poison",
    "refuse",
    "silent",
    "slow",
    "truncate",
}


@attrs.frozen(kw_only=True)
class Fault:
    """One fault as told through ``POST /control``.

    Parameters
    ----------
    fault : str
        Its name.
    count : int
        How many calls it strikes.
    delay_s, for_s, after_s : float
        Times, in seconds.
    factor : float
        By how much calls take longer.
    share : float
        Share of the calls struck, 0 to 1.
    route, version : str
        Restricts it to a route or version; empty strikes all.
    text : str
        Part of a request that it strikes.
    when : str
        ``now``, or ``ran`` for right after the next effect.
    instance, failure_domain, address, role : str
        What the cloud's faults are about.
    """

    fault: str
    count: int = 1
    delay_s: float = 0.0
    for_s: float = 0.0
    after_s: float = 0.0
    factor: float = 1.0
    share: float = 1.0
    route: str = ""
    version: str = ""
    text: str = ""
    when: str = "now"
    instance: object = ""
    failure_domain: str = ""
    address: str = ""
    role: str = ""
    items: tuple = ()

    def covers(self, route, version):
        """Return whether calls of a route and version are struck."""
        return self.route in ("", route) and self.version in ("", version)


class FaultSet:
    """The faults in force, at most one of each name."""

    def __init__(self):
        self._faults = {}
        self._left = {}
        self._lock = threading.Lock()

    def add(self, fault):
        """Put a fault in force."""
        with self._lock:
            self._faults[fault.fault] = fault
            self._left[fault.fault] = fault.count

    def clear(self):
        """End every fault."""
        with self._lock:
            self._faults.clear()
            self._left.clear()

    def get(self, name):
        """Return the fault of this name, or None."""
        return self._faults.get(name)

    def take(self, name):
        """Return whether a counted fault strikes now, using one up."""
        with self._lock:
            left = self._left.get(name, 0)
            if left:
                self._left[name] = left - 1
            return left > 0


class EndpointFaults(FaultSet):
    """The faults of an engine or plain service."""

    def __init__(self):
        super().__init__()
        self.server = None
        self._thaw_s = 0.0
        self._random = random.Random(_RANDOM_SEED)

    def add(self, fault):
        """Put a fault in force, or carry it out at once.

        Raises
        ------
        ValueError
            For a fault that endpoints do not show.
        """
        if fault.fault not in _ENDPOINT_FAULTS:
            raise ValueError(f"unknown fault {fault.fault}")
        match fault:
            case Fault(fault="crash", when="now"):
                self.crash()
            case Fault(fault="freeze"):
                self._thaw_s = time.monotonic() + fault.for_s
            case Fault(fault="silent"):
                self.server.silence_connections()
            case _:
                super().add(fault)

    def clear(self):
        """End every fault."""
        super().clear()
        self._thaw_s = 0.0
        if self.server:
            self.server.unsilence_connections()

    def crash(self):
        """End the process at once."""
        os._exit(_CRASH_EXIT_CODE)

    def crash_if_poisoned(self, text):
        """End the process when the request holds the poison text."""
        poison = self.get("poison")
        if poison and poison.text in text:
            self.crash()

    def crash_after_effect(self):
        """End the process when told to right after an effect."""
        if self.take("crash"):
            self.crash()

    def hold_if_frozen(self):
        """Wait for the end of a freeze."""
        while time.monotonic() < self._thaw_s:
            time.sleep(min(0.01, self._thaw_s - time.monotonic() + 0.001))

    def fails(self, route, version):
        """Return whether this call fails."""
        fail = self.get("fail")
        if fail is None or not fail.covers(route, version):
            return False
        return self._random.random() < fail.share

    def scale_time(self, time_s, route, version):
        """Return how long a step takes, in seconds."""
        slow = self.get("slow")
        if slow is None or not slow.covers(route, version):
            return time_s
        return time_s * slow.factor

    def cut_if_dropped(self):
        """Cut the connection when this answer is to be dropped."""
        if self.take("drop_answer"):
            raise http.ConnectionCutError
