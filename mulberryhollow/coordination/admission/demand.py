"""Offered load of each client account, on this node and at its peers."""

import collections
import math

import attrs

__all__ = ["DemandTable"]

# Time constant of the moving averages, in seconds.
DEMAND_TIME_CONSTANT_S = 2.0

# Age above which a peer's report is dropped, in seconds.
REPORT_LIFETIME_S = 10.0


class _DecayingRate:
    """Exponentially weighted moving average of one account's rate."""

    __slots__ = ("_amount", "_at_s", "_decay_s")

    def __init__(self, now_s, decay_s):
        self._amount = 0.0
        self._at_s = now_s
        self._decay_s = decay_s

    def add(self, amount, now_s):
        """Add an amount."""
        self._amount = self._decay(now_s) + amount
        self._at_s = now_s

    def get(self, now_s):
        """Return the rate, per second."""
        return self._decay(now_s) / self._decay_s

    def _decay(self, now_s):
        """Return the decayed amount."""
        age_s = max(0.0, now_s - self._at_s)
        return self._amount * math.exp(-age_s / self._decay_s)


@attrs.frozen
class _Report:
    """Demand that a peer has reported, for `count` nodes together."""

    at_s: float
    demand: dict
    count: int


class DemandTable:
    """Local demand and the latest report of each peer.

    Parameters
    ----------
    decay_s : float
        Time constant of the moving averages, in seconds.
    """

    def __init__(self, decay_s=DEMAND_TIME_CONSTANT_S):
        self._decay_s = decay_s
        self._local = {}
        self._reports = {}
        self._peer_totals = collections.Counter()

    def add(self, account, tokens, now_s):
        """Add a request to the local demand, whether admitted or not.

        Parameters
        ----------
        account : str
            The client account.
        tokens : float
            Cost of the request, in tokens.
        now_s : float
            The time, in seconds.
        """
        rate = self._local.get(account)
        if rate is None:
            rate = self._local[account] = _DecayingRate(now_s, self._decay_s)
        rate.add(tokens, now_s)

    def get_local(self, account, now_s):
        """Return an account's local demand, in tokens a second."""
        rate = self._local.get(account)
        return 0.0 if rate is None else rate.get(now_s)

    def list_local(self, now_s):
        """Return the local demand by account, in tokens a second."""
        return {name: rate.get(now_s) for name, rate in self._local.items()}

    def sum_all(self, now_s):
        """Return local plus reported demand, in tokens a second by account."""
        total = collections.Counter(self._peer_totals)
        total.update(self.list_local(now_s))
        return dict(total)

    def set_report(self, node, demand, now_s, count=1):
        """Replace the report of one peer, or of several peers together.

        Parameters
        ----------
        node : str
            Name of the reporting peer.
        demand : dict
            Client account to its demand, in tokens a second.
        now_s : float
            The time, in seconds.
        count : int
            Number of peers that the report covers.
        """
        self._remove(node)
        self._reports[node] = _Report(now_s, dict(demand), count)
        self._peer_totals.update(demand)

    def expire(self, now_s):
        """Drop reports older than `REPORT_LIFETIME_S`."""
        old = [
            node
            for node, report in self._reports.items()
            if now_s - report.at_s > REPORT_LIFETIME_S
        ]
        for node in old:
            self._remove(node)

    def keep_accounts(self, accounts):
        """Drop the local demand of all accounts but the given ones."""
        self._local = {
            name: rate
            for name, rate in self._local.items()
            if name in accounts
        }

    def get_fraction(self, account, nodes, prior, now_s):
        """Return the fraction of an account's demand that is local.

        Parameters
        ----------
        account : str
            The client account.
        nodes : int
            Live nodes, this one included.
        prior : float
            Demand assumed at each node, in tokens a second, so that the
            rate of an account without demand is divided evenly.
        now_s : float
            The time, in seconds.

        Returns
        -------
        float
            Above 0 and at most 1. A peer without a report is assumed to
            have the same demand as this node, so that without any report
            the fraction is 1 / `nodes`.
        """
        local = self.get_local(account, now_s) + prior
        reported = sum(each.count for each in self._reports.values())
        unreported = max(0, nodes - 1 - reported)
        peers = max(0.0, self._peer_totals[account]) + prior * reported
        if not local:
            return 1.0 / nodes
        return local / (local * (1 + unreported) + peers)

    def _remove(self, node):
        """Remove a peer's report from the totals."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._peer_totals.subtract(report.demand)
        if not self._reports:
            self._peer_totals.clear()
