"""Faults that are injected into a stand-in."""

import os
import random
import threading
import time

import attrs

from standins import http

__all__ = ["EndpointFaults", "Fault", "FaultSet"]

_CRASH_EXIT_CODE = 70
_RANDOM_SEED = 7
_ENDPOINT_FAULT_NAMES = {
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
    """One fault, as set through ``POST /control``.

    Parameters
    ----------
    fault : str
        Name of the fault.
    count : int
        Number of calls that a counted fault affects.
    delay_s, for_s, after_s : float
        Length of a delay or a freeze, and time until a reclaim, in seconds.
    factor : float
        Factor by which calls take longer.
    share : float
        Share of the calls affected, 0 to 1.
    route, version : str
        Restricts the fault to a route or version; empty for all.
    text : str
        Text that marks the affected requests.
    when : str
        ``now``, or ``ran`` for right after the next effect of a request.
    instance : object
        Id of the instance that a fault of the cloud concerns, or the fields
        of an instance to register.
    failure_domain, address, role : str
        Failure domain, address and role that a fault of the cloud concerns.
    items : tuple
        Price list of the cloud.
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
        """Return whether calls of a route and version are affected."""
        return self.route in ("", route) and self.version in ("", version)


class FaultSet:
    """The active faults, at most one of each name."""

    def __init__(self):
        self._faults = {}
        self._remaining = {}
        self._lock = threading.Lock()

    def add(self, fault):
        """Activate a fault."""
        with self._lock:
            self._faults[fault.fault] = fault
            self._remaining[fault.fault] = fault.count

    def clear(self):
        """Deactivate every fault."""
        with self._lock:
            self._faults.clear()
            self._remaining.clear()

    def get(self, name):
        """Return the active fault of this name, or None."""
        return self._faults.get(name)

    def consume(self, name):
        """Use up one call of a counted fault; return whether one was left."""
        with self._lock:
            remaining = self._remaining.get(name, 0)
            if remaining:
                self._remaining[name] = remaining - 1
            return remaining > 0


class EndpointFaults(FaultSet):
    """The active faults of an engine or plain service."""

    def __init__(self):
        super().__init__()
        self.server = None
        self._frozen_until_s = 0.0
        self._random = random.Random(_RANDOM_SEED)

    def add(self, fault):
        """Activate a fault, or apply one that acts at once.

        Raises
        ------
        ValueError
            For a fault that endpoints do not support.
        """
        if fault.fault not in _ENDPOINT_FAULT_NAMES:
            raise ValueError(f"unknown fault {fault.fault}")
        match fault:
            case Fault(fault="crash", when="now"):
                self.crash()
            case Fault(fault="freeze"):
                self._frozen_until_s = time.monotonic() + fault.for_s
            case Fault(fault="silent"):
                self.server.silence_connections()
            case _:
                super().add(fault)

    def clear(self):
        """Deactivate every fault."""
        super().clear()
        self._frozen_until_s = 0.0
        if self.server:
            self.server.restore_connections()

    def crash(self):
        """End the process at once."""
        os._exit(_CRASH_EXIT_CODE)

    def crash_if_poisoned(self, text):
        """End the process when the request contains the poison text."""
        poison = self.get("poison")
        if poison and poison.text in text:
            self.crash()

    def crash_after_effect(self):
        """End the process after an effect if the ``crash`` fault is active."""
        if self.consume("crash"):
            self.crash()

    def wait_while_frozen(self):
        """Wait for the end of a freeze."""
        while time.monotonic() < self._frozen_until_s:
            time.sleep(
                min(0.01, self._frozen_until_s - time.monotonic() + 0.001)
            )

    def should_fail(self, route, version):
        """Return whether the ``fail`` fault affects this call."""
        fail = self.get("fail")
        if fail is None or not fail.covers(route, version):
            return False
        return self._random.random() < fail.share

    def scale_time(self, time_s, route, version):
        """Return a duration in seconds, lengthened by the ``slow`` fault."""
        slow = self.get("slow")
        if slow is None or not slow.covers(route, version):
            return time_s
        return time_s * slow.factor

    def raise_if_answer_dropped(self):
        """Raise ConnectionCutError when ``drop_answer`` affects this call."""
        if self.consume("drop_answer"):
            raise http.ConnectionCutError
