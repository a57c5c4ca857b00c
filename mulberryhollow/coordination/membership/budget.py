"""Byte-rate budget of the messages between peers."""

__all__ = ["BUDGET_BYTES_PER_S", "ByteBudget"]

BUDGET_BYTES_PER_S = 6_000.0
"""Payload rate of a node, sent and received together, in bytes a second.

TCP and IP headers take the rest of the 7,000 bytes a second allowed.
"""

BURST_S = 5.0
"""Burst of the token bucket, as seconds of its refill rate."""

BULK_RESERVE_SHARE = 0.9
"""Share of the bucket's capacity that non-urgent facts leave untouched."""


class ByteBudget:
    """Token bucket charged with the bytes sent and received.

    Parameters
    ----------
    rate_bytes_per_s : float
        Refill rate, in bytes a second.
    now_s : float
        Monotonic time, in seconds.

    Notes
    -----
    Heartbeats and urgent facts may overdraw the bucket; all other facts then
    wait until the debt is repaid.
    """

    def __init__(self, rate_bytes_per_s=BUDGET_BYTES_PER_S, now_s=0.0):
        self._rate_bytes_per_s = rate_bytes_per_s
        self._capacity_bytes = rate_bytes_per_s * BURST_S
        self._level_bytes = self._capacity_bytes
        self._filled_s = now_s

    def charge(self, size_bytes, now_s):
        """Charge bytes that were sent or received.

        Parameters
        ----------
        size_bytes : int
            Size of the traffic, in bytes.
        now_s : float
            Monotonic time, in seconds.
        """
        self._fill(now_s)
        self._level_bytes -= size_bytes

    def find_free_bytes(self, now_s):
        """Return the budget that non-urgent facts may use now, in bytes."""
        self._fill(now_s)
        reserved = self._capacity_bytes * BULK_RESERVE_SHARE
        return max(0, int(self._level_bytes - reserved))

    def _fill(self, now_s):
        """Refill the bucket for the time since the last call."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(self._filled_s, now_s)
        filled = self._level_bytes + elapsed_s * self._rate_bytes_per_s
        self._level_bytes = min(self._capacity_bytes, filled)
