"""Whether a running stream has to leave its endpoint."""

__all__ = ["must_move"]

MARGIN_S = 0.5
"""Time kept free before a reclaim, in seconds."""


def must_move(remaining_tokens, interval_s, reclaim_at_s, now_s):
    """Return whether an answer cannot end before its endpoint goes.

    Parameters
    ----------
    remaining_tokens : int
        Largest number of tokens still to come.
    interval_s : float
        Time between tokens seen so far, in seconds.
    reclaim_at_s : float or None
        When the endpoint goes, in Unix seconds; None when it stays.
    now_s : float
        Wall-clock time, in Unix seconds.

    Examples
    --------
    >>> must_move(100, 0.05, 1003.0, 1000.0)
    True
    >>> must_move(10, 0.05, 1003.0, 1000.0)
    False
    """
    if reclaim_at_s is None:
        return False
    return now_s + remaining_tokens * interval_s > reclaim_at_s - MARGIN_S
