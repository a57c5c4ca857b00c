"""Timing of a version move."""

import attrs

from mulberryhollow.coordination.rollout import exposure as limits

__all__ = ["DEFAULT_TIMES", "Times"]

_RENEWAL_RATIO = 2 / 3

_MIN_PUSH_S = 2.0

_MIN_DONE_MARGIN_S = 0.5
_DONE_MARGIN_RATIO = 0.03

_MIN_RESERVE_S = 1.1
_RESERVE_RATIO = 0.07


@attrs.frozen
class Times:
    """Times of a move, and the limit that they have to keep.

    Parameters
    ----------
    step_s : float
        Minimum time at one share, in seconds.
    confirm_s : float
        Minimum time at the last share before ``done``, in seconds.
    reserve_s : float
        Time reserved at the end for a slow store or an outage, in seconds.
    done_margin_s : float
        Minimum time from writing ``done`` to the deadline, in seconds.
    min_duration_s : float
        Minimum time from the creation of a move to its deadline, in seconds.
    lease_s : float
        Duration of a driver's lease, in seconds.
    min_lease_remaining_s : float
        Remaining time of a lease at which it is renewed, in seconds.
    max_clock_skew_s : float
        Maximum difference between the clocks of two nodes, in seconds.
    write_timeout_s : float
        Time after which the outcome of a write counts as unknown, in seconds.
    exposure : ExposureLimit or None
        Limit on the requests of a bad version, which the shares are then
        derived from; None for the shares of the long ramp.
    """

    step_s: float = 5.0
    confirm_s: float = 20.0
    reserve_s: float = 40.0
    done_margin_s: float = 20.0
    min_duration_s: float = 150.0
    lease_s: float = 15.0
    min_lease_remaining_s: float = 10.0
    max_clock_skew_s: float = 1.0
    write_timeout_s: float = 5.0
    exposure: limits.ExposureLimit | None = None

    @classmethod
    def make_bounded(cls, limit, lease_s, duration_s):
        """Return the times of a move that an exposure limit bounds.

        Parameters
        ----------
        limit : ExposureLimit
            Limit on the requests of a bad version.
        lease_s : float
            Duration of a driver's lease, in seconds.
        duration_s : float
            Time from the creation of the move to its deadline, in seconds.
        """
        return cls(
            step_s=_MIN_PUSH_S,
            confirm_s=0.2 * duration_s,
            reserve_s=max(_MIN_RESERVE_S, _RESERVE_RATIO * duration_s),
            done_margin_s=max(
                _MIN_DONE_MARGIN_S, _DONE_MARGIN_RATIO * duration_s
            ),
            min_duration_s=0.0,
            lease_s=lease_s,
            min_lease_remaining_s=_RENEWAL_RATIO * lease_s,
            write_timeout_s=1.0,
            exposure=limit,
        )


DEFAULT_TIMES = Times()
"""Times that apply unless an operator sets others."""
