"""Load and unload orders of an engine: fencing and rate limit."""

import threading
import time

import attrs

__all__ = ["Loader", "Order"]

_LOAD_TIME_S = 0.2
# Token bucket for the rate of loads from the weight store.
_LOAD_BURST = 4.0
_LOADS_PER_S = 0.5


@attrs.frozen
class Order:
    """An order to load or unload a version.

    Parameters
    ----------
    order : str
        ``load`` or ``unload``.
    service : str
        Name of the service.
    version : str
        Version to load or unload.
    fence : int
        Fencing token of the instance that gives the order.
    """

    order: str
    service: str
    version: str
    fence: int


class Loader:
    """Loaded versions; a token bucket stands for the weight store's rate.

    Parameters
    ----------
    version : str
        Version that is loaded at the start.
    """

    def __init__(self, version):
        self._ready_s = {version: 0.0}
        self._fence = 0
        self._loads = _LOAD_BURST
        self._refilled_s = time.monotonic()
        self._lock = threading.Lock()

    def carry_out(self, order, checks_fence):
        """Execute an order; return the HTTP status.

        Returns
        -------
        int
            409 for a fencing token below the highest seen, 429 when the
            rate of loads is exceeded, 400 for an unknown order, else 200.
        """
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
        """Return whether a version has finished loading."""
        return self._ready_s.get(version, float("inf")) <= time.monotonic()

    def list_versions(self):
        """Return the versions that have finished loading, sorted."""
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
