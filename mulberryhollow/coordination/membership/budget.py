"""Budget of bytes for messages between peers."""

__all__ = ["BUDGET_BYTES_PER_S", "ByteBudget"]

BUDGET_BYTES_PER_S = 6_000.0
"""Bytes sent and received that a node plans with, in bytes a second; TCP and
IP headers take the rest of the 7,000 allowed."""

BURST_S = 5.0
"""Time whose unused bytes can be spent at once, in seconds."""

BULK_SHARE = 0.9
"""Share of a full budget above which facts that are not urgent are sent."""


class ByteBudget:
    """Token bucket that the bytes in both directions are charged to.

    Parameters
    ----------
    rate_bytes_per_s : float
        Bytes that become free, in bytes a second.
    now_s : float
        Present time, in seconds.

    Notes
    -----
    Heartbeats and urgent facts may overdraw it; everything else then waits
    until the debt is paid.
    """

    def __init__(self, rate_bytes_per_s=BUDGET_BYTES_PER_S, now_s=0.0):
        self._rate_bytes_per_s = rate_bytes_per_s
        self._capacity_bytes = rate_bytes_per_s * BURST_S
        self._level_bytes = self._capacity_bytes
        self._filled_s = now_s

    def charge(self, size_bytes, now_s):
        """Take off bytes that were sent or received.

        Parameters
        ----------
        size_bytes : int
            How many, in bytes.
        now_s : float
            Present time, in seconds.
        """
        self._fill(now_s)
        self._level_bytes -= size_bytes

    def find_free_bytes(self, now_s):
        """Return what facts that are not urgent may take now, in bytes."""
        self._fill(now_s)
        reserved = self._capacity_bytes * BULK_SHARE
        return max(0, int(self._level_bytes - reserved))

    def _fill(self, now_s):
        """Add what became free since the last call."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(self._filled_s, now_s)
        filled = self._level_bytes + elapsed_s * self._rate_bytes_per_s
        self._level_bytes = min(self._capacity_bytes, filled)
