"""Orders that an engine takes: versions, fencing and loading rate."""

import threading
import time

import attrs

__all__ = ["Loader", "Order"]

_LOAD_TIME_S = 0.2
_LOAD_BURST = 4.0
_LOADS_PER_S = 0.5


@attrs.frozen
class Order:
    """An order to load or unload a version."""

    order: str
    service: str
    version: str
    fence: int


class Loader:
    """Loaded versions; loads come out of the weight store's rate.

    Parameters
    ----------
    version : str
        Version loaded from the start.
    """

    def __init__(self, version):
        self._ready_s = {version: 0.0}
        self._fence = 0
        self._loads = _LOAD_BURST
        self._refilled_s = time.monotonic()
        self._lock = threading.Lock()

    def carry_out(self, order, checks_fence):
        """Carry out an order; return the HTTP status."""
        with self._lock:
            if checks_fence and order.fence < self._fence:
                return 409
            match order.order:
                case "load":
                    status = self._load(order.version)
                case "unload":
                    self._ready_s.pop(order.version, None)
                    status = 200
                case _:
                    status = 400
            if status == 200:
                self._fence = max(self._fence, order.fence)
        return status

    def is_loaded(self, version):
        """Return whether requests of a version can run."""
        return self._ready_s.get(version, float("inf")) <= time.monotonic()

    def list_versions(self):
        """Return the versions that requests can run with."""
        return sorted(v for v in list(self._ready_s) if self.is_loaded(v))

    def _load(self, version):
        if version in self._ready_s:
            return 200
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _LOADS_PER_S
        self._loads = min(_LOAD_BURST, self._loads + refill)
        self._refilled_s = now_s
        if self._loads < 1:
            return 429
        self._loads -= 1
        self._ready_s[version] = now_s + _LOAD_TIME_S
        return 200
