"""Timing of a version move that an operator may set."""

import attrs

__all__ = ["DEFAULT_TIMES", "Times"]


@attrs.frozen
class Times:
    """Minimum times of the steps of a move.

    Parameters
    ----------
    step_s : float
        Minimum time at one share, in seconds.
    confirm_s : float
        Minimum time at the last share before ``done``, in seconds.
    reserve_s : float
        Time reserved at the end for a slow store or an outage, in seconds.
    """

    step_s: float = 5.0
    confirm_s: float = 20.0
    reserve_s: float = 40.0


DEFAULT_TIMES = Times()
"""Times that apply unless an operator sets others."""
