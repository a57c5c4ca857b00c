"""Quotas of client accounts over all instances."""

import collections

import attrs

from mulberryhollow.coordination.admission.demand import DemandTable
from mulberryhollow.coordination.admission.demand import REPORT_LIFETIME_S
from mulberryhollow.coordination.limits.outcomes import OverQuota
from mulberryhollow.coordination.limits.outcomes import QuotaRules
from mulberryhollow.coordination.limits.outcomes import Short

__all__ = ["QuotaTable"]

PRIOR_PART = 0.02
"""Demand assumed at each instance, as a part of the quota's rate.

It spreads the quota of an account without demand evenly.
"""

RATE_SLACK = 0.5
"""Part of the tolerated slack that is given out as rate over a window."""

DEMAND_DECAY_S = 5.0
"""Time over which the demand of an account is smoothed, in seconds.

Longer than the admission's: parts need not follow a jump, since peers lend,
and the demand of few large requests is uneven.
"""

BURST_SLACK = 0.3
"""Part of the tolerated slack that is given out as burst.

What is left after `SMALL_SLACK` covers the last request, which may leave a
debt; the parts themselves add up to one at most.
"""

OWN_LAG_S = 0.75
"""Age of the own demand that is compared with what others told, in seconds.

Their sums are up to three intervals of half a second old. The lower of the
present and that former demand counts: when the demand rises or falls
everywhere at once, no instance takes that for a change at the others only.
"""

AMPLE = 2.0
"""Credit that needs no look at the peers, in mean requests."""

MEAN_STEP = 0.05
"""Weight of the latest request in an account's mean request."""

LEAST_DRY_S = 0.25
"""Shortest time for which peers are not asked again, in seconds.

Half the time between two sums, so that an account beyond its quota costs
few calls.
"""

MOST_DRY_S = 1.0
"""Longest time for which peers are not asked again, in seconds.

Parts move with the demand, so an older look says little.
"""

SMALL_SLACK = 0.1
"""Part of the tolerated slack that is kept for small requests, as rate."""

SMALL_PART = 0.005
"""Largest small request, as a part of the quota's burst.

An account that is held up by the debt of a large request still gets its
bookings and look-ups served, which together hardly count.
"""


@attrs.frozen
class _Others:
    """What the others have told, and own demand at that time."""

    at_s: float
    demand: dict
    count: int
    own: dict


@attrs.frozen
class _Dry:
    """What is known of an account whose peers had no credit either.

    Parameters
    ----------
    until_s : float
        When they are asked again, in seconds.
    credit_at_s : float
        When there is credit again, in seconds.
    """

    until_s: float
    credit_at_s: float


@attrs.define
class _Bucket:
    """What is left of one account's part."""

    credit: float
    at_s: float


class QuotaTable:
    """Part of every quota that one instance gives out.

    Parameters
    ----------
    rules : QuotaRules or None
        How far quotas may be overrun; not at all when None.

    Notes
    -----
    An account's part here is the part of its demand that arrives here, so
    that the parts add up to one at most. A peer that tells nothing is taken
    to see the same demand as this instance. Where the credit here does not
    cover a request amply, its peers' credit counts too: they lend what they
    have, and the request is admitted if all together have some. It may
    leave a debt, so large requests pass as well as small ones.
    """

    def __init__(self, rules=None):
        self._rules = rules or QuotaRules()
        self._nodes = 1
        self._starts_full = True
        self._began_s = None
        self._quotas = {}
        self._buckets = {}
        self._small_buckets = {}
        self._demand = DemandTable(DEMAND_DECAY_S)
        self._others = None
        self._own_history = collections.deque()
        self._means = {}
        self._dry = {}

    def set_rules(self, rules):
        """Use other tolerances from now on."""
        self._rules = rules

    def start_low(self, began_s):
        """Let accounts begin without their burst.

        For a process that takes the place of one that may just have given
        the burst out.

        Parameters
        ----------
        began_s : float
            When the process began, in seconds; the part here has not been
            spent since then, as nobody else took it.
        """
        self._starts_full = False
        self._began_s = began_s

    def set_live_nodes(self, nodes, now_s):
        """Set the number of instances that admit requests.

        Parameters
        ----------
        nodes : int
            Their number, this one included.
        now_s : float
            The time, in seconds.
        """
        self._nodes = max(1, nodes)

    def set_quotas(self, quotas):
        """Take over the quota of each client account.

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
            self._means,
            self._dry,
        ):
            for name in table.keys() - self._quotas.keys():
                del table[name]

    def list_demand(self, now_s):
        """Return the demand here by account, in units a second."""
        return self._demand.list_own(now_s)

    def report_demand(self, node, demand, now_s, count=1):
        """Take over the demand that the other instances have told.

        Parameters
        ----------
        node : str
            Who tells it; a later report replaces it.
        demand : dict
            Client account to its demand, in units a second.
        now_s : float
            The time, in seconds.
        count : int
            Instances that it covers.
        """
        history = self._own_history
        present = self.list_demand(now_s)
        history.append((now_s, present))
        while len(history) > 1 and now_s - history[1][0] >= OWN_LAG_S:
            history.popleft()
        at_s, former = history[0]
        if now_s - at_s < OWN_LAG_S:
            return
        own = {
            name: min(rate, former.get(name, 0.0))
            for name, rate in present.items()
        }
        self._others = _Others(now_s, demand, count, own)

    def spend(self, account, cost, now_s):
        """Charge a request to its account.

        Parameters
        ----------
        account : str
            The client account.
        cost : float
            What the request counts, in units.
        now_s : float
            The time, in seconds.

        Returns
        -------
        None, Short or OverQuota
            None when it is admitted; Short when peers are to be asked, and
            `settle` decides.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return None
        self._demand.add(account, cost, now_s)
        mean = self._means.get(account, cost)
        self._means[account] = mean + MEAN_STEP * (cost - mean)
        bucket, fraction = self._find_bucket(account, quota, now_s)
        if bucket.credit >= max(cost, AMPLE * mean):
            bucket.credit -= cost
            return None
        if self._spend_small(account, quota, fraction, cost, now_s):
            return None
        dry = self._dry.get(account)
        if dry is None or now_s >= dry.until_s:
            return Short(max(cost, mean) - bucket.credit)
        rate = self._find_rate(quota) * fraction
        wait_s = dry.credit_at_s - now_s
        return OverQuota(account, wait_s, bucket.credit, fraction, rate)

    def settle(self, account, cost, lent, owed, now_s, asked=1):
        """Decide on a request for which peers were asked.

        Parameters
        ----------
        account : str
            The client account.
        cost : float
            What the request counts, in units.
        lent : float
            Credit that peers have given up, in units.
        owed : float
            Debts of the peers asked, in units.
        now_s : float
            The time, in seconds.
        asked : int
            Peers that were asked.

        Returns
        -------
        None or OverQuota
            None when it is admitted.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return None
        bucket, fraction = self._find_bucket(account, quota, now_s)
        bucket.credit += lent
        total = bucket.credit - owed
        least = 0.0
        if not asked and self._nodes > 1:
            least = self._find_alone_credit(account, quota, fraction)
        if total > least:
            bucket.credit -= cost
            return None
        wait_s = (1.0 + least - total) / self._find_rate(quota)
        dry_s = min(max(wait_s, LEAST_DRY_S), MOST_DRY_S)
        self._dry[account] = _Dry(now_s + dry_s, now_s + max(wait_s, dry_s))
        rate = self._find_rate(quota) * fraction
        return OverQuota(account, wait_s, total, fraction, rate)

    def _find_alone_credit(self, account, quota, fraction):
        """Return the credit that admits a request without any peer.

        Notes
        -----
        The peers, which cannot be asked, may leave debts as well; with a
        mean request's credit, debts and rests even out.
        """
        half = self._find_burst(quota, fraction) / 2
        return min(self._means.get(account, 0.0), half)

    def lend(self, account, wanted, now_s):
        """Give credit up for a peer that lacks it.

        Parameters
        ----------
        account : str
            The client account.
        wanted : float
            What the peer lacks, in units.
        now_s : float
            The time, in seconds.

        Returns
        -------
        float
            What it gets, in units; the own debt, below 0, if there is one.
        """
        quota = self._quotas.get(account)
        if quota is None:
            return 0.0
        bucket, _ = self._find_bucket(account, quota, now_s)
        lent = min(bucket.credit, max(0.0, wanted))
        bucket.credit -= max(0.0, lent)
        return lent

    def _find_bucket(self, account, quota, now_s):
        """Return an account's bucket as of now, and its part here."""
        fraction = self._find_fraction(account, quota, now_s)
        rate = self._find_rate(quota) * fraction
        burst = self._find_burst(quota, fraction)
        part = 1.0 / self._nodes if self._starts_full else 0.0
        first = _Bucket(
            self._find_burst(quota, part),
            now_s if self._starts_full else self._began_s,
        )
        bucket = _refill(self._buckets, account, rate, burst, now_s, first)
        return bucket, fraction

    def _spend_small(self, account, quota, fraction, cost, now_s):
        """Charge a small request to what is kept for such ones."""
        if cost > SMALL_PART * quota.burst:
            return False
        rules = self._rules
        rate = SMALL_SLACK * rules.slack / rules.window_s * fraction
        buckets = self._small_buckets
        burst = max(rate, cost)
        first = _Bucket(burst, now_s)
        bucket = _refill(buckets, account, rate, burst, now_s, first)
        if bucket.credit < cost:
            return False
        bucket.credit -= cost
        return True

    def _find_fraction(self, account, quota, now_s):
        """Return the part of an account's demand that arrives here.

        Notes
        -----
        Own demand counts as of the others' report, not as of now (see
        `OWN_LAG_S`).
        """
        others = self._others
        if others is None or now_s - others.at_s > REPORT_LIFETIME_S:
            return 1.0 / self._nodes
        prior = PRIOR_PART * quota.rate_per_s
        own = others.own.get(account, 0.0) + prior
        silent = max(0, self._nodes - 1 - others.count)
        told = others.demand.get(account, 0.0) + prior * others.count
        return own / (own * (1 + silent) + told)

    def _find_rate(self, quota):
        """Return the rate of an account over all instances."""
        rules = self._rules
        slack_rate = RATE_SLACK * rules.slack / rules.window_s
        return quota.rate_per_s * (1.0 + rules.overrun) + slack_rate

    def _find_burst(self, quota, fraction):
        """Return the size of an account's bucket here."""
        rules = self._rules
        burst = quota.burst * (1.0 + rules.overrun) * fraction
        return burst + BURST_SLACK * rules.slack / self._nodes


def _refill(buckets, account, rate, burst, now_s, first):
    """Return an account's bucket as of now; `first` if there is none."""
    bucket = buckets.setdefault(account, first)
    gained = rate * max(0.0, now_s - bucket.at_s)
    bucket.credit = min(burst, bucket.credit + gained)
    bucket.at_s = now_s
    return bucket
