"""Distributed token buckets for the quotas of client accounts."""

import collections

import attrs

from mulberryhollow.coordination.admission.demand import DemandTable
from mulberryhollow.coordination.admission.demand import REPORT_LIFETIME_S
from mulberryhollow.coordination.limits.outcomes import CreditShortfall
from mulberryhollow.coordination.limits.outcomes import QuotaExceeded
from mulberryhollow.coordination.limits.outcomes import QuotaRules

__all__ = ["QuotaTable"]

PRIOR_DEMAND_FRACTION = 0.02
"""Demand assumed at each instance, as a fraction of the quota's rate.

It divides the quota of an account without demand evenly.
"""

MIN_POOLED_CREDIT = 1.0
"""Credit from which a request is admitted when credit is pooled, in units.

With a pool the debt that a request leaves is the only one.
"""

POOLED_PRIOR_DEMAND_FRACTION = 0.005
"""Demand assumed at each instance that grants credit when it is pooled.

As a fraction of the quota's rate, so small that most of the credit gathers
where the requests of an account are charged.
"""

OWING_FRACTION = 0.25
"""Fraction of an account's rate that goes to requests that leave a debt.

A debt blocks the requests after it, also short and urgent ones. The largest
requests of an account over its quota are still served at this rate.
"""

RATE_SLACK_FRACTION = 0.5
"""Fraction of the tolerated slack that is added to the rate of a window."""

DEMAND_TIME_CONSTANT_S = 5.0
"""Time constant with which an account's demand is smoothed, in seconds.

It is longer than that of the admission: the fractions need not follow a
sudden change, since peers lend credit, and the demand of a few large
requests is uneven.
"""

BURST_SLACK_FRACTION = 0.3
"""Fraction of the tolerated slack that is added to the burst.

The slack that remains beside `RATE_SLACK_FRACTION`, `BURST_SLACK_FRACTION`
and `SMALL_REQUEST_SLACK_FRACTION` covers the last admitted request, which may
leave a debt; the fractions of the instances add up to one at most.
"""

LOCAL_DEMAND_LAG_S = 0.75
"""Age of the local demand compared with a report of remote demand, in s.

The reported aggregates are up to three intervals of half a second old. The
lower of the present and that former local demand counts, so that no
instance mistakes a simultaneous rise or fall of the demand at all instances
for a change at the remote ones only.
"""

AMPLE_CREDIT_REQUESTS = 2.0
"""Credit above which peers are not asked, in mean costs of a request."""

MEAN_COST_WEIGHT = 0.05
"""Weight of the latest request in an account's mean cost."""

MIN_EXHAUSTED_S = 0.25
"""Minimum time before peers without credit are asked again, in seconds.

It is half the interval of the aggregate reports, so that an account above
its quota causes few calls.
"""

MAX_EXHAUSTED_S = 1.0
"""Maximum time before peers without credit are asked again, in seconds.

The fractions change with the demand, so an older answer is out of date.
"""

SMALL_REQUEST_SLACK_FRACTION = 0.1
"""Fraction of the tolerated slack that is reserved for small requests.

It is given out as rate.
"""

SMALL_REQUEST_MAX_FRACTION = 0.005
"""Maximum cost of a small request, as a fraction of the quota's burst.

Small requests, such as bookings and look-ups, are still served while the
account is blocked by the debt of a large request; their total is
negligible.
"""


@attrs.frozen
class _RemoteDemand:
    """Demand at the other instances and local demand to compare it with.

    Parameters
    ----------
    at_s : float
        When the demand was reported, in seconds.
    demand : dict
        Client account to its remote demand, in units a second.
    count : int
        Instances covered by the report that grant credit.
    local : dict
        Client account to its local demand, in units a second (see
        `LOCAL_DEMAND_LAG_S`).
    """

    at_s: float
    demand: dict
    count: int
    local: dict


@attrs.frozen
class _ExhaustedPeers:
    """Result of asking peers for an account that has no credit anywhere.

    Parameters
    ----------
    ask_again_at_s : float
        Earliest time to ask peers again, in seconds.
    credit_at_s : float
        Expected time at which credit is available again, in seconds.
    """

    ask_again_at_s: float
    credit_at_s: float


@attrs.define
class _Bucket:
    """Token bucket of an account's local fraction, refilled at `at_s`."""

    credit: float
    at_s: float


class QuotaTable:
    """Token buckets for the fraction of each quota that an instance grants.

    Parameters
    ----------
    rules : QuotaRules or None
        Tolerances of the quotas; no tolerance when None.

    Attributes
    ----------
    limits_debts : bool
        Whether only so many requests may leave a debt as `OWING_FRACTION`
        allows, where credit is pooled; otherwise each one may.

    Notes
    -----
    The fraction of an account's quota granted by an instance is the
    fraction of the account's demand that arrives there, so that the
    fractions add up to one at most. A peer without a report is assumed to
    have the same demand as this instance. Where the local credit does not
    clearly cover a request, peers are asked: they lend the credit that they
    have, and the request is admitted if the total is positive. An admitted
    request may leave a debt, so that large requests pass as well as small
    ones.
    """

    def __init__(self, rules=None):
        self._rules = rules or QuotaRules()
        self._nodes = 1
        self._is_pooled = False
        self._starts_full = True
        self._began_s = None
        self._quotas = {}
        self._buckets = {}
        self._small_buckets = {}
        self._demand = DemandTable(DEMAND_TIME_CONSTANT_S)
        self._remote_demand = None
        self._local_history = collections.deque()
        self._mean_costs = {}
        self._exhausted = {}
        self._owes_until_s = {}
        self.limits_debts = False

    def set_rules(self, rules):
        """Replace the tolerances."""
        self._rules = rules

    def start_empty(self, began_s):
        """Let new buckets start empty instead of with their burst.

        Used by a process that replaces one that may just have granted the
        burst.

        Parameters
        ----------
        began_s : float
            Start of the process, in seconds. Buckets are refilled from
            this time on, since no other instance has granted the local
            fraction since then.
        """
        self._starts_full = False
        self._began_s = began_s

    def set_live_nodes(self, nodes, now_s, is_pooled=False):
        """Set the number of instances that grant credit.

        Parameters
        ----------
        nodes : float
            Number of live instances that grant credit, including this one;
            larger by the fraction of instances that are unreachable.
        now_s : float
            The time, in seconds.
        is_pooled : bool
            Whether all requests of an account are usually charged at the
            same instance.
        """
        self._nodes = max(1, nodes)
        self._is_pooled = is_pooled

    def set_quotas(self, quotas):
        """Replace the quotas and drop the state of removed accounts.

        Parameters
        ----------
        quotas : dict
            Client account to its Quota.
        """
        self._quotas = {
            name: quota for name, quota in quotas.items() if quota.is_limited
        }
        self._demand.keep_accounts(self._quotas)
        for table in (
            self._buckets,
            self._small_buckets,
            self._mean_costs,
            self._exhausted,
            self._owes_until_s,
        ):
            for name in table.keys() - self._quotas.keys():
                del table[name]

    def list_demand(self, now_s):
        """Return the local demand by account, in units a second."""
        return self._demand.list_local(now_s)

    def report_demand(self, node, demand, now_s, count=1):
        """Store the reported demand of the other instances.

        Parameters
        ----------
        node : str
            Source of the report. It is not used: each report covers all
            other instances and replaces the previous one.
        demand : dict
            Client account to its demand, in units a second.
        now_s : float
            The time, in seconds.
        count : int
            Number of instances covered by the report that grant credit.

        Notes
        -----
        Reports are ignored until the history of local demand is
        `LOCAL_DEMAND_LAG_S` long.
        """
        history = self._local_history
        present = self.list_demand(now_s)
        history.append((now_s, present))
        while len(history) > 1 and now_s - history[1][0] >= LOCAL_DEMAND_LAG_S:
            history.popleft()
        at_s, former = history[0]
        if now_s - at_s < LOCAL_DEMAND_LAG_S:
            return
        local = {
            name: min(rate, former.get(name, 0.0))
            for name, rate in present.items()
        }
        self._remote_demand = _RemoteDemand(now_s, demand, count, local)

    def spend(self, account, cost, now_s):
        """Charge a request to the quota of its account.

        Parameters
        ----------
        account : str
            The client account.
        cost : float
            Cost of the request, in units.
        now_s : float
            The time, in seconds.

        Returns
        -------
        None, CreditShortfall or QuotaExceeded
            None when the request is admitted; CreditShortfall when peers are
            to be asked for credit before `reconcile` decides.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return None
        self._demand.add(account, cost, now_s)
        mean = self._mean_costs.get(account, cost)
        self._mean_costs[account] = mean + MEAN_COST_WEIGHT * (cost - mean)
        bucket, fraction = self._find_bucket(account, quota, now_s)
        required = MIN_POOLED_CREDIT
        if not self._is_pooled:
            required = max(cost, AMPLE_CREDIT_REQUESTS * mean)
        elif self.limits_debts:
            required = self._find_required(
                account, quota, fraction, cost, now_s
            )
        if bucket.credit >= required:
            self._take(account, quota, bucket, cost, now_s)
            return None
        if self._spend_small(account, quota, fraction, cost, now_s):
            return None
        exhausted = self._exhausted.get(account)
        if exhausted is None or now_s >= exhausted.ask_again_at_s:
            return CreditShortfall(max(cost, mean) - bucket.credit)
        rate = self._find_rate(quota) * fraction
        wait_s = exhausted.credit_at_s - now_s
        return QuotaExceeded(account, wait_s, bucket.credit, fraction, rate)

    def reconcile(self, account, cost, lent, owed, now_s, asked=1):
        """Admit or refuse a request after peers were asked for credit.

        Parameters
        ----------
        account : str
            The client account.
        cost : float
            Cost of the request, in units.
        lent : float
            Credit lent by peers, in units.
        owed : float
            Debts of the peers that were asked, in units.
        now_s : float
            The time, in seconds.
        asked : int
            Number of peers that were asked.

        Returns
        -------
        None or QuotaExceeded
            None when the request is admitted.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return None
        bucket, fraction = self._find_bucket(account, quota, now_s)
        bucket.credit += lent
        total = bucket.credit - owed
        min_credit = 0.0
        if not asked and self._nodes > 1:
            min_credit = self._find_min_credit_without_peers(
                account, quota, fraction
            )
        if self._is_pooled and self.limits_debts:
            required = self._find_required(
                account, quota, fraction, cost, now_s
            )
            min_credit = max(min_credit, required - MIN_POOLED_CREDIT)
        if total > min_credit:
            self._take(account, quota, bucket, cost, now_s)
            return None
        wait_s = (1.0 + min_credit - total) / self._find_rate(quota)
        exhausted_s = min(max(wait_s, MIN_EXHAUSTED_S), MAX_EXHAUSTED_S)
        self._exhausted[account] = _ExhaustedPeers(
            now_s + exhausted_s, now_s + max(wait_s, exhausted_s)
        )
        rate = self._find_rate(quota) * fraction
        return QuotaExceeded(account, wait_s, total, fraction, rate)

    def _find_required(self, account, quota, fraction, cost, now_s):
        """Return the credit from which a request is admitted in a pool.

        A request that costs more than half of the burst never finds that
        much, so it is admitted from there on.
        """
        if now_s >= self._owes_until_s.get(account, float("-inf")):
            return MIN_POOLED_CREDIT
        half = self._find_burst(quota, fraction) / 2
        return max(MIN_POOLED_CREDIT, min(cost, half))

    def _take(self, account, quota, bucket, cost, now_s):
        """Charge an admitted request, and note the debt that it leaves."""
        bucket.credit -= cost
        if bucket.credit < 0.0:
            rate = OWING_FRACTION * self._find_rate(quota)
            self._owes_until_s[account] = now_s - bucket.credit / rate

    def _find_min_credit_without_peers(self, account, quota, fraction):
        """Return the local credit required when no peer could be asked.

        Notes
        -----
        The peers may be admitting requests that leave debts at the same
        time. If each instance requires the credit of a mean request, debts
        and unused credit balance on average.
        """
        half = self._find_burst(quota, fraction) / 2
        return min(self._mean_costs.get(account, 0.0), half)

    def lend(self, account, wanted, now_s):
        """Lend credit to a peer.

        Parameters
        ----------
        account : str
            The client account.
        wanted : float
            Credit that the peer asks for, in units.
        now_s : float
            The time, in seconds.

        Returns
        -------
        float
            Credit lent, in units; the local debt, below 0, if there is one.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return 0.0
        bucket, _ = self._find_bucket(account, quota, now_s)
        lent = min(bucket.credit, max(0.0, wanted))
        bucket.credit -= max(0.0, lent)
        return lent

    def _find_bucket(self, account, quota, now_s):
        """Return an account's refilled bucket and its local fraction."""
        fraction = self._find_fraction(account, quota, now_s)
        rate = self._find_rate(quota) * fraction
        burst = self._find_burst(quota, fraction)
        initial_fraction = 1.0 / self._nodes if self._starts_full else 0.0
        first = _Bucket(
            self._find_burst(quota, initial_fraction),
            now_s if self._starts_full else self._began_s,
        )
        bucket = _refill(self._buckets, account, rate, burst, now_s, first)
        return bucket, fraction

    def _spend_small(self, account, quota, fraction, cost, now_s):
        """Charge a small request to the slack reserved for small ones."""
        if cost > SMALL_REQUEST_MAX_FRACTION * quota.burst:
            return False
        rules = self._rules
        rate = (
            SMALL_REQUEST_SLACK_FRACTION
            * rules.slack
            / rules.window_s
            * fraction
        )
        buckets = self._small_buckets
        burst = max(rate, cost)
        first = _Bucket(burst, now_s)
        bucket = _refill(buckets, account, rate, burst, now_s, first)
        if bucket.credit < cost:
            return False
        bucket.credit -= cost
        return True

    def _find_fraction(self, account, quota, now_s):
        """Return the fraction of an account's demand that is local.

        Notes
        -----
        The local demand is taken from the time of the remote report, not
        from the present (see `LOCAL_DEMAND_LAG_S`).
        """
        remote = self._remote_demand
        if remote is None or now_s - remote.at_s > REPORT_LIFETIME_S:
            return 1.0 / self._nodes
        prior = quota.rate_per_s * (
            POOLED_PRIOR_DEMAND_FRACTION
            if self._is_pooled
            else PRIOR_DEMAND_FRACTION
        )
        local = remote.local.get(account, 0.0) + prior
        unreported = max(0, self._nodes - 1 - remote.count)
        reported = remote.demand.get(account, 0.0) + prior * remote.count
        return local / (local * (1 + unreported) + reported)

    def _find_rate(self, quota):
        """Return the rate of an account over all instances, per second."""
        rules = self._rules
        slack_rate = RATE_SLACK_FRACTION * rules.slack / rules.window_s
        return quota.rate_per_s * (1.0 + rules.overrun) + slack_rate

    def _find_burst(self, quota, fraction):
        """Return the size of an account's local bucket, in units."""
        rules = self._rules
        burst = quota.burst * (1.0 + rules.overrun) * fraction
        if self._is_pooled:
            # The slack covers the debt of the last request alone.
            return burst
        return burst + BURST_SLACK_FRACTION * rules.slack / self._nodes


def _refill(buckets, account, rate, burst, now_s, first):
    """Return an account's bucket, or `first`, after a refill up to now."""
    bucket = buckets.setdefault(account, first)
    gained = rate * max(0.0, now_s - bucket.at_s)
    bucket.credit = min(burst, bucket.credit + gained)
    bucket.at_s = now_s
    return bucket
