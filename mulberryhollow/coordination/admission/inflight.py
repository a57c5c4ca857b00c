"""Limit of the requests that one node has in flight."""

import collections

import attrs

from mulberryhollow.state import environment

__all__ = ["InflightLimit", "InflightRules"]

HOLD_START_S = 1.0
HOLD_SMOOTHING = 0.05


@attrs.frozen
class InflightRules:
    """Limits of one node.

    Parameters
    ----------
    requests : int
        Most requests in flight.
    patient_part : float
        Part of them that patient requests may take.
    free_part : float
        Part up to which no account is held to its weighted share.
    """

    requests: int = 480
    patient_part: float = 0.5
    free_part: float = 0.8


class InflightLimit:
    """Counts requests in flight by account and class.

    Parameters
    ----------
    rules : InflightRules or None
        The limits; the defaults when None.
    """

    def __init__(self, rules=None):
        self.rules = rules or InflightRules()
        self._by_account = collections.Counter()
        self._patient = 0
        self._hold_s = HOLD_START_S

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
        if is_patient and self._patient >= limit * self.rules.patient_part:
            return False
        is_free = total < limit * self.rules.free_part
        return is_free or self._by_account[account] < limit * share

    def start(self, account, request_class):
        """Count a request as in flight."""
        self._by_account[account] += 1
        if request_class is environment.RequestClass.PATIENT:
            self._patient += 1

    def finish(self, account, request_class, held_s):
        """Count a request as ended.

        Parameters
        ----------
        account : str
            The client account.
        request_class : RequestClass
            The request's class.
        held_s : float
            How long it was in flight, in seconds.
        """
        self._by_account[account] -= 1
        if not self._by_account[account]:
            del self._by_account[account]
        if request_class is environment.RequestClass.PATIENT:
            self._patient -= 1
        self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)

    def compute_wait_s(self):
        """Return the mean time until a request ends, in seconds."""
        return self._hold_s / max(1, len(self))
