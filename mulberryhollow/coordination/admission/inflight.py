"""Limit of the requests that one node has in flight."""

import collections

import attrs

from mulberryhollow.state import environment

__all__ = ["InflightLimit", "InflightRules"]

# Assumed mean duration of a request before the first one ends, in s.
INITIAL_HOLD_TIME_S = 1.0

# Weight of the latest request in the mean duration.
HOLD_TIME_WEIGHT = 0.05


@attrs.frozen
class InflightRules:
    """Limits of the requests in flight at one node.

    Parameters
    ----------
    requests : int
        Maximum number of requests in flight.
    patient_fraction : float
        Fraction of `requests` that patient requests may occupy.
    unrestricted_fraction : float
        Fraction of `requests` up to which accounts may exceed their
        weighted shares.
    """

    requests: int = 480
    patient_fraction: float = 0.5
    unrestricted_fraction: float = 0.8


class InflightLimit:
    """Counts requests in flight by account and class.

    Parameters
    ----------
    rules : InflightRules or None
        The limits; `InflightRules()` when None.
    """

    def __init__(self, rules=None):
        self.rules = rules or InflightRules()
        self._by_account = collections.Counter()
        self._patient = 0
        self._mean_hold_s = INITIAL_HOLD_TIME_S

    def __len__(self):
        return self._by_account.total()

    def allows(self, account, request_class, share):
        """Return whether one more request may be in flight.

        Parameters
        ----------
        account : str
            The client account.
        request_class : RequestClass
            The request's class.
        share : float
            The account's weighted share, from 0 to 1.
        """
        total = len(self)
        limit = self.rules.requests
        if total >= limit:
            return False
        is_patient = request_class is environment.RequestClass.PATIENT
        if is_patient and self._patient >= limit * self.rules.patient_fraction:
            return False
        is_unrestricted = total < limit * self.rules.unrestricted_fraction
        return is_unrestricted or self._by_account[account] < limit * share

    def start(self, account, request_class):
        """Count a request as in flight."""
        self._by_account[account] += 1
        if request_class is environment.RequestClass.PATIENT:
            self._patient += 1

    def finish(self, account, request_class, held_s):
        """Record the end of a request.

        Parameters
        ----------
        account : str
            The client account.
        request_class : RequestClass
            The request's class.
        held_s : float
            Duration of the request, in seconds.
        """
        self._by_account[account] -= 1
        if not self._by_account[account]:
            del self._by_account[account]
        if request_class is environment.RequestClass.PATIENT:
            self._patient -= 1
        self._mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self._mean_hold_s)

    def compute_wait_s(self):
        """Return the expected time until a request ends, in seconds."""
        return self._mean_hold_s / max(1, len(self))
