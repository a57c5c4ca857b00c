"""Migration of a running stream away from a reclaimed endpoint."""

__all__ = ["must_migrate"]

RECLAIM_MARGIN_S = 0.5
"""Safety margin before a reclaim, in seconds."""


def must_migrate(remaining_tokens, interval_s, reclaim_at_s, now_s):
    """Return whether an answer cannot end before its endpoint is reclaimed.

    Parameters
    ----------
    remaining_tokens : int
        Maximum number of tokens still to come.
    interval_s : float
        Observed time between tokens, in seconds.
    reclaim_at_s : float or None
        When the endpoint is reclaimed, in Unix seconds; None if it is not.
    now_s : float
        Wall-clock time, in Unix seconds.

    Examples
    --------
    >>> must_migrate(100, 0.05, 1003.0, 1000.0)
    True
    >>> must_migrate(10, 0.05, 1003.0, 1000.0)
    False
    """
    if reclaim_at_s is None:
        return False
    return (
        now_s + remaining_tokens * interval_s > reclaim_at_s - RECLAIM_MARGIN_S
    )
