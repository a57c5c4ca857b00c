"""Tolerances of quotas, and outcomes of charges and of draws of permits."""

import attrs

__all__ = [
    "ColdRules",
    "CreditShortfall",
    "PermitGranted",
    "PermitRefused",
    "QuotaExceeded",
    "QuotaRules",
]


@attrs.frozen
class QuotaRules:
    """Tolerances by which all instances together may exceed a quota.

    Parameters
    ----------
    overrun : float
        Tolerated excess, as a fraction of the quota.
    slack : float
        Further tolerated excess in any window, in units.
    window_s : float
        Length of a window, in seconds.
    """

    overrun: float = 0.0
    slack: float = 0.0
    window_s: float = 8.0


@attrs.frozen
class ColdRules:
    """Tolerances by which all instances may exceed a cold endpoint's rate.

    Parameters
    ----------
    overrun : float
        Factor of the rate that may arrive in any one second.
    slack : float
        Further requests that may arrive in any one second.
    """

    overrun: float = 1.0
    slack: float = 0.0


@attrs.frozen
class QuotaExceeded:
    """The quota of a request's client account is exhausted.

    Parameters
    ----------
    account : str
        The client account.
    wait_s : float
        Time until credit is available again, in seconds.
    credit : float
        Credit of this instance and the peers that were asked, in units;
        negative for a debt.
    fraction : float
        Fraction of the quota given out by this instance, from 0 to 1.
    rate_per_s : float
        Refill rate at this instance, in units a second.
    """

    account: str
    wait_s: float
    credit: float
    fraction: float
    rate_per_s: float


@attrs.frozen
class CreditShortfall:
    """The local credit does not cover a request, so peers are to be asked.

    Parameters
    ----------
    lack : float
        Credit to borrow from peers, in units; 0 or less where only the
        debts of the peers are to be checked.
    """

    lack: float


@attrs.frozen
class PermitGranted:
    """One request may be sent."""


@attrs.frozen
class PermitRefused:
    """No request may be sent now.

    Parameters
    ----------
    wait_s : float
        Time after which to ask again, in seconds. For a limited rate,
        different askers are told different times.
    """

    wait_s: float
