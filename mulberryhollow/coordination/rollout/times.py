"""Times of a version move that an operator may set."""

import attrs

__all__ = ["DEFAULT_TIMES", "Times"]


@attrs.frozen
class Times:
    """Least times of the steps of a move.

    Parameters
    ----------
    step_s : float
        Least time at one share, in seconds.
    confirm_s : float
        Least time at the last share before ``done``, in seconds.
    reserve_s : float
        Time kept for a slow store or an outage at the end, in seconds.
    """

    step_s: float = 5.0
    confirm_s: float = 20.0
    reserve_s: float = 40.0


DEFAULT_TIMES = Times()
"""Times that hold unless an operator sets others."""
