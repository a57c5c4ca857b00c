"""Refused callers that are expected to return."""

import collections
import enum

import attrs

__all__ = ["Return", "ReturnTable"]

MAX_REFUSED = 4096
"""Maximum number of refused requests that are remembered."""

EXPIRY_S = 5.0
"""Time for which a refused request is remembered after its return time.

In seconds.
"""

EARLY_FRACTION = 0.1
"""Part of the Retry-After by which a caller may return early.

Clocks and networks of callers are not exact.
"""


class Return(enum.Enum):
    """How a request relates to earlier refusals."""

    NEW = "new"
    ON_TIME = "on time"
    EARLY = "early"


@attrs.frozen
class _Refused:
    at_s: float
    return_at_s: float


class ReturnTable:
    """Fingerprints of refused requests; bounded, and they expire."""

    def __init__(self):
        self._refused = collections.OrderedDict()

    def __len__(self):
        return len(self._refused)

    def classify(self, fingerprint, now_s):
        """Return the `Return` of a request."""
        entry = self._refused.get(fingerprint) if fingerprint else None
        if entry is None or now_s > entry.return_at_s + EXPIRY_S:
            return Return.NEW
        allowed_s = EARLY_FRACTION * (entry.return_at_s - entry.at_s)
        if now_s < entry.return_at_s - allowed_s:
            return Return.EARLY
        return Return.ON_TIME

    def get_left_s(self, fingerprint, now_s):
        """Return the time until a refused request may return, in seconds."""
        entry = self._refused.get(fingerprint)
        return 0.0 if entry is None else max(0.0, entry.return_at_s - now_s)

    def add(self, fingerprint, return_at_s, now_s):
        """Remember a refused request, which should return at a time."""
        if not fingerprint:
            return
        refused = self._refused
        refused.pop(fingerprint, None)
        refused[fingerprint] = _Refused(now_s, return_at_s)
        while refused and (
            len(refused) > MAX_REFUSED
            or next(iter(refused.values())).return_at_s + EXPIRY_S < now_s
        ):
            refused.popitem(last=False)

    def remove(self, fingerprint):
        """Forget a request that has been granted."""
        self._refused.pop(fingerprint, None)
