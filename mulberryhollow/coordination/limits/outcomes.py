"""Rules of a quota and what becomes of a request under it."""

import attrs

__all__ = ["OverQuota", "QuotaRules", "Short"]


@attrs.frozen
class QuotaRules:
    """How far a quota may be overrun by all instances together.

    Parameters
    ----------
    overrun : float
        Tolerated part above the quota.
    slack : float
        Tolerated amount above it in any window, in units.
    window_s : float
        Length of a window, in seconds.
    """

    overrun: float = 0.0
    slack: float = 0.0
    window_s: float = 8.0


@attrs.frozen
class OverQuota:
    """A request is beyond this instance's part of its account's quota.

    Parameters
    ----------
    account : str
        The client account.
    wait_s : float
        When there is credit again, in seconds.
    credit : float
        Credit of all that were asked, in units; 0 or a debt.
    fraction : float
        This instance's part of the quota, 0 to 1.
    rate_per_s : float
        Refill here, in units a second.
    """

    account: str
    wait_s: float
    credit: float
    fraction: float
    rate_per_s: float


@attrs.frozen
class Short:
    """A request that this instance's credit alone does not allow.

    Parameters
    ----------
    lack : float
        Credit that peers may give up for it, in units; 0 or less where
        only their debts are to be looked at.
    """

    lack: float
