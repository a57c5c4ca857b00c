"""Accounts that the holder of their credit has refused."""

import collections

import attrs

__all__ = ["RefusedAccounts"]

MAX_REFUSED_S = 0.25
"""Longest time for which the holder is not asked again, in seconds.

Its credit may grow sooner than it said, when other holders lend it some.
"""

MAX_ACCOUNTS = 1024
"""Maximum number of accounts that are kept."""


@attrs.frozen
class _Refused:
    """Latest refusal of an account's holder, and until when it counts."""

    exceeded: object
    cost: float
    until_s: float


class RefusedAccounts:
    """Answers for a holder until it expects credit again.

    An account far over its quota sends many times what is admitted. Its
    holder would be busy with refusals and answer the other accounts late.
    """

    def __init__(self):
        self._refused = collections.OrderedDict()

    def record(self, exceeded, cost, now_s):
        """Keep the refusal of a request that would have cost an amount.

        Parameters
        ----------
        exceeded : QuotaExceeded
            Answer of the holder.
        cost : float
            Cost of the request, in the unit of the quota.
        now_s : float
            Monotonic time, in seconds.
        """
        wait_s = min(MAX_REFUSED_S, max(0.0, exceeded.wait_s))
        account = exceeded.account
        known = self._refused.pop(account, None)
        if known is not None and now_s < known.until_s:
            cost = min(cost, known.cost)
        self._refused[account] = _Refused(exceeded, cost, now_s + wait_s)
        if len(self._refused) > MAX_ACCOUNTS:
            self._refused.popitem(last=False)

    def find(self, account, cost, now_s):
        """Return the QuotaExceeded that applies to a request, or None.

        A request that costs less than the refused one may still be admitted.
        """
        known = self._refused.get(account)
        if known is None or now_s >= known.until_s or cost < known.cost:
            return None
        return attrs.evolve(known.exceeded, wait_s=known.until_s - now_s)
