"""Admission controller: admits a request or refuses it with a retry time."""

import dataclasses

import attrs

from mulberryhollow.coordination.admission.demand import DemandTable
from mulberryhollow.coordination.admission.inflight import InflightLimit
from mulberryhollow.coordination.admission.shares import ShareBuckets
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import Refusal
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state import environment

__all__ = ["BURST_S", "Admission", "Admitted"]

# Size of an account's bucket, in seconds of its weighted share.
BURST_S = 2.0

# Interval at which the accounts' rates follow the demand, in seconds.
REBALANCE_INTERVAL_S = 0.5

# Demand assumed at each node, as a fraction of the account's share.
PRIOR_DEMAND_FRACTION = 0.01

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@attrs.frozen
class _ClassFloors:
    """Minimum fill levels that a request class leaves to other classes.

    Parameters
    ----------
    bucket : float
        Fraction of the account's bucket that has to remain.
    pool : float
        Fraction of the shared pool that has to remain.
    """

    bucket: float
    pool: float


_FLOORS = {
    environment.RequestClass.BOOKING: _ClassFloors(bucket=0.0, pool=0.0),
    environment.RequestClass.LOOKUP: _ClassFloors(bucket=0.0, pool=0.05),
    environment.RequestClass.CHAT: _ClassFloors(bucket=0.1, pool=0.1),
    environment.RequestClass.PATIENT: _ClassFloors(bucket=0.5, pool=0.5),
}


@dataclasses.dataclass(frozen=True, eq=False)
class Admitted:
    """An admitted request; instances are compared by identity.

    Parameters
    ----------
    account : str
        The client account.
    request_class : RequestClass
        The request's class.
    cost_tokens : float
        Tokens charged for the request.
    at_s : float
        Time of admission, in seconds.
    """

    account: str
    request_class: environment.RequestClass
    cost_tokens: float
    at_s: float


class Admission:
    """Admits requests by weighted fair shares of a rate shared by all nodes.

    Parameters
    ----------
    capacity_tokens_per_s : float
        Shared rate of all nodes, in tokens a second.
    weights : dict
        Client account to its weight.
    now_s : float
        The time, in seconds.
    nodes : int
        Live nodes, this one included.
    inflight : InflightLimit or None
        Limit of requests in flight; `InflightLimit()` when None.

    Notes
    -----
    An account's rate on this node is its weighted share of the shared
    rate times the fraction of its demand that arrives at this node. Over
    all nodes the fractions add up to one, apart from the lag of the
    demand reports.
    """

    def __init__(
        self, capacity_tokens_per_s, weights, now_s, nodes=1, inflight=None
    ):
        self._capacity = capacity_tokens_per_s
        self._weights = dict(weights)
        self._nodes = nodes
        self._patient_fraction = 1.0
        self._patient_credit = {}
        self._last_retry_at_s = {}
        self._running = set()
        self._demand = DemandTable()
        self._buckets = ShareBuckets()
        self._inflight = InflightLimit() if inflight is None else inflight
        self._rebalance(now_s)

    @property
    def inflight_count(self):
        """Requests in flight at this node."""
        return len(self._inflight)

    def admit(self, account, request_class, cost_tokens, now_s):
        """Admit or refuse a request immediately.

        Parameters
        ----------
        account : str
            The client account.
        request_class : RequestClass
            The request's class.
        cost_tokens : float
            Expected tokens of prompt and answer.
        now_s : float
            The time, in seconds.

        Returns
        -------
        Admitted or Refusal
            `finish` must be called with an `Admitted` when its request
            ends.
        """
        if account not in self._weights:
            return _refuse_unknown(account)
        self._demand.add(account, cost_tokens, now_s)
        if now_s - self._rebalanced_at_s >= REBALANCE_INTERVAL_S:
            self._rebalance(now_s)
        share = self.get_share(account)
        if not self._inflight.allows(account, request_class, share):
            return _refuse_inflight(self._inflight.compute_wait_s())
        if not self._passes_shedding(account, request_class):
            return self._refuse(account, request_class, cost_tokens, now_s)
        floors = _FLOORS[request_class]
        if not self._buckets.spend(
            account, cost_tokens, floors.bucket, floors.pool, now_s
        ):
            return self._refuse(account, request_class, cost_tokens, now_s)
        self._inflight.start(account, request_class)
        admitted = Admitted(account, request_class, cost_tokens, now_s)
        self._running.add(admitted)
        return admitted

    def finish(self, admitted, now_s):
        """Record the end of an admitted request, whatever its outcome.

        Parameters
        ----------
        admitted : Admitted
            The result of `admit`; a second call with it has no effect.
        now_s : float
            The time, in seconds.
        """
        if admitted not in self._running:
            return
        self._running.remove(admitted)
        held_s = max(0.0, now_s - admitted.at_s)
        self._inflight.finish(admitted.account, admitted.request_class, held_s)

    def set_live_nodes(self, nodes, now_s):
        """Set the number of live nodes, this one included."""
        self._nodes = max(1, nodes)
        self._rebalance(now_s)

    def set_capacity(self, capacity_tokens_per_s, now_s):
        """Set the shared rate of all nodes, in tokens a second."""
        self._capacity = capacity_tokens_per_s
        self._rebalance(now_s)

    def set_accounts(self, weights, now_s):
        """Set the client accounts and their weights."""
        self._weights = dict(weights)
        self._rebalance(now_s)

    def set_patient_fraction(self, fraction):
        """Set the fraction of patient requests that is not shed.

        Parameters
        ----------
        fraction : float
            From 0 to 1, as decided by the capacity plan.
        """
        self._patient_fraction = min(1.0, max(0.0, fraction))

    def report_demand(self, node, demand, now_s):
        """Store the demand that a peer reports.

        Parameters
        ----------
        node : str
            Name of the peer.
        demand : dict
            Result of `list_demand` on the peer.
        now_s : float
            The time, in seconds.
        """
        self._demand.set_report(node, demand, now_s)

    def list_demand(self, now_s):
        """Return this node's demand by account, in tokens a second."""
        return self._demand.list_local(now_s)

    def get_rate(self, account):
        """Return an account's refill rate on this node, in tokens a second."""
        return self._buckets.get_rate(account)

    def get_share(self, account):
        """Return an account's weighted share, from 0 to 1."""
        return self._weights[account] / self._total_weight

    def _rebalance(self, now_s):
        """Set each account's rate by its local and remote demand."""
        self._rebalanced_at_s = now_s
        self._total_weight = sum(self._weights.values())
        self._demand.expire(now_s)
        self._demand.keep_accounts(self._weights)
        removed = set(self._buckets.list_accounts()) - self._weights.keys()
        for account in removed:
            self._buckets.remove(account, now_s)
        for account, weight in self._weights.items():
            shared = self._capacity * self.get_share(account)
            fraction = self._demand.get_fraction(
                account, self._nodes, shared * PRIOR_DEMAND_FRACTION, now_s
            )
            burst = shared * BURST_S * max(fraction, 1.0 / self._nodes)
            self._buckets.set_share(
                account, weight, shared * fraction, burst, now_s
            )

    def _passes_shedding(self, account, request_class):
        """Return whether a request passes the shedding of patient work.

        Notes
        -----
        Each request adds the fraction that is not shed to the account's
        credit, and a request that passes spends 1.
        """
        if request_class is not environment.RequestClass.PATIENT:
            return True
        if self._patient_fraction >= 1.0:
            return True
        credit = (
            self._patient_credit.get(account, 0.0) + self._patient_fraction
        )
        passes = credit >= 1.0
        self._patient_credit[account] = credit - passes
        return passes

    def _refuse(self, account, request_class, cost_tokens, now_s):
        """Return a refusal with the time at which the refill covers the cost.

        The retry times of one account's refused requests are spaced by the
        refill time of their cost, so that they do not all retry at once.
        """
        floors = _FLOORS[request_class]
        covered_at_s = now_s + self._buckets.compute_wait_s(
            account, cost_tokens, floors.bucket, now_s
        )
        rate = self._buckets.get_rate(account)
        last_retry_s = self._last_retry_at_s.get(account, now_s)
        spacing_s = cost_tokens / rate if rate else MAX_RETRY_AFTER_S
        retry_at_s = max(covered_at_s, last_retry_s + spacing_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        retry_at_s = min(latest_s, max(retry_at_s, now_s + MIN_RETRY_AFTER_S))
        self._last_retry_at_s[account] = retry_at_s
        return Refusal(
            RefusalKind.OVER_SHARE,
            f"client account {account} has used up its share of the rate",
            "send the request again after the given time",
            ExecutionStatus.NOT_RUN,
            retry_at_s - now_s,
        )


def _refuse_unknown(account):
    """Return the refusal of a request of an unknown account."""
    return Refusal(
        RefusalKind.FORBIDDEN,
        f"client account {account} has no share",
        "ask its council to add it to the environment",
    )


def _refuse_inflight(wait_s):
    """Return the refusal of a request beyond the limit in flight."""
    return Refusal(
        RefusalKind.NO_CAPACITY,
        "this instance has reached its limit of requests in flight",
        "send the request again after the given time",
        ExecutionStatus.NOT_RUN,
        max(MIN_RETRY_AFTER_S, wait_s),
    )
