"""Load and unload orders of an engine: fencing and rate limit."""

import threading
import time

import attrs

__all__ = ["Order", "VersionLoader"]

_LOAD_DURATION_S = 0.2
# Capacity of the token bucket that limits loads from the weight store; a
# load takes one token.
_LOAD_BUCKET_SIZE = 4.0
_LOAD_REFILL_PER_S = 0.5


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


class VersionLoader:
    """Loads and unloads versions of a model.

    A token bucket simulates the limited rate of the weight store.

    Parameters
    ----------
    version : str
        Version that is loaded at the start.
    """

    def __init__(self, version):
        self._ready_at_s = {version: 0.0}
        self._fencing_token = 0
        self._load_tokens = _LOAD_BUCKET_SIZE
        self._refilled_at_s = time.monotonic()
        self._lock = threading.Lock()

    def execute(self, order, checks_fencing_token):
        """Execute an order; return the HTTP status.

        Parameters
        ----------
        order : Order
            The order.
        checks_fencing_token : bool
            Whether an order with an outdated fencing token is refused.

        Returns
        -------
        int
            409 for a fencing token below the highest seen, 429 when the
            rate of loads is exceeded, 400 for an unknown order, else 200.
        """
        with self._lock:
            if checks_fencing_token and order.fence < self._fencing_token:
                return 409
            match order.order:
                case "load":
                    status = self._load(order.version)
                case "unload":
                    self._ready_at_s.pop(order.version, None)
                    status = 200
                case _:
                    status = 400
            if status == 200:
                self._fencing_token = max(self._fencing_token, order.fence)
        return status

    def is_loaded(self, version):
        """Return whether a version has finished loading."""
        return self._ready_at_s.get(version, float("inf")) <= time.monotonic()

    def list_versions(self):
        """Return the versions that have finished loading, sorted."""
        return sorted(v for v in list(self._ready_at_s) if self.is_loaded(v))

    def _load(self, version):
        if version in self._ready_at_s:
            return 200
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * _LOAD_REFILL_PER_S
        self._load_tokens = min(_LOAD_BUCKET_SIZE, self._load_tokens + refill)
        self._refilled_at_s = now_s
        if self._load_tokens < 1:
            return 429
        self._load_tokens -= 1
        self._ready_at_s[version] = now_s + _LOAD_DURATION_S
        return 200
