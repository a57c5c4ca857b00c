"""Decision whether a request is taken on, or when to come back."""

import dataclasses

import attrs

from mulberryhollow.coordination.admission.demand import DemandTable
from mulberryhollow.coordination.admission.inflight import InflightLimit
from mulberryhollow.coordination.admission.shares import ShareBuckets
from mulberryhollow.errors import Ran
from mulberryhollow.errors import Refusal
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state import environment

__all__ = ["BURST_S", "Admission", "Admitted"]

BURST_S = 2.0
REBALANCE_S = 0.5
PRIOR_PART = 0.01
RETRY_AFTER_AT_LEAST_S = 0.1
RETRY_AFTER_AT_MOST_S = 30.0


@attrs.frozen
class _ClassFloors:
    """Parts of bucket and pool that a class leaves to the others."""

    own: float
    pool: float


_FLOORS = {
    environment.RequestClass.BOOKING: _ClassFloors(own=0.0, pool=0.0),
    environment.RequestClass.LOOKUP: _ClassFloors(own=0.0, pool=0.05),
    environment.RequestClass.CHAT: _ClassFloors(own=0.1, pool=0.1),
    environment.RequestClass.PATIENT: _ClassFloors(own=0.5, pool=0.5),
}


@dataclasses.dataclass(frozen=True, eq=False)
class Admitted:
    """The request is taken on; each one is equal only to itself.

    Parameters
    ----------
    account : str
        The client account.
    request_class : RequestClass
        The request's class.
    cost_tokens : float
        What it was charged, in tokens.
    at_s : float
        When it was admitted, in seconds.
    """

    account: str
    request_class: environment.RequestClass
    cost_tokens: float
    at_s: float


class Admission:
    """Weighted fair shares of one node's part of the shared rate.

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
        Limit of requests in flight; the default one when None.

    Notes
    -----
    An account's rate here is its weighted share of the shared rate,
    times the part of its demand that arrives here. Over all nodes the
    parts add up to one, apart from the lag of the reports.
    """

    def __init__(
        self, capacity_tokens_per_s, weights, now_s, nodes=1, inflight=None
    ):
        self._capacity = capacity_tokens_per_s
        self._weights = dict(weights)
        self._nodes = nodes
        self._patient_part = 1.0
        self._patient_credit = {}
        self._promised_until_s = {}
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
        """Decide on a request at once.

        Parameters
        ----------
        account : str
            The client account.
        request_class : RequestClass
            The request's class.
        cost_tokens : float
            Expected prompt and answer, in tokens.
        now_s : float
            The time, in seconds.

        Returns
        -------
        Admitted or Refusal
            An admitted request is given to `finish` when it ends.
        """
        if account not in self._weights:
            return _refuse_unknown(account)
        self._demand.add(account, cost_tokens, now_s)
        if now_s - self._rebalanced_at_s >= REBALANCE_S:
            self._rebalance(now_s)
        share = self.get_share(account)
        if not self._inflight.allows(account, request_class, share):
            return _refuse_inflight(self._inflight.compute_wait_s())
        if not self._may_run(account, request_class):
            return self._refuse(account, request_class, cost_tokens, now_s)
        floors = _FLOORS[request_class]
        if not self._buckets.spend(
            account, cost_tokens, floors.own, floors.pool, now_s
        ):
            return self._refuse(account, request_class, cost_tokens, now_s)
        self._inflight.start(account, request_class)
        admitted = Admitted(account, request_class, cost_tokens, now_s)
        self._running.add(admitted)
        return admitted

    def finish(self, admitted, now_s):
        """Count an admitted request as ended, however it ended.

        Parameters
        ----------
        admitted : Admitted
            What `admit` returned; a second call has no effect.
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

    def set_patient_part(self, part):
        """Set the part of patient requests that may still run.

        Parameters
        ----------
        part : float
            From 0 to 1; what a capacity plan does not shed.
        """
        self._patient_part = min(1.0, max(0.0, part))

    def report_demand(self, node, demand, now_s):
        """Take over the demand that a peer sees.

        Parameters
        ----------
        node : str
            The peer.
        demand : dict
            The peer's `list_demand`.
        now_s : float
            The time, in seconds.
        """
        self._demand.set_report(node, demand, now_s)

    def list_demand(self, now_s):
        """Return demand here by account, for peers, in tokens a second."""
        return self._demand.list_own(now_s)

    def get_rate(self, account):
        """Return an account's own rate here, in tokens a second."""
        return self._buckets.get_rate(account)

    def get_share(self, account):
        """Return an account's weighted share, from 0 to 1."""
        return self._weights[account] / self._total_weight

    def _rebalance(self, now_s):
        """Set each account's rate by its demand here and at peers."""
        self._rebalanced_at_s = now_s
        self._total_weight = sum(self._weights.values())
        self._demand.expire(now_s)
        self._demand.keep_accounts(self._weights)
        gone = set(self._buckets.list_accounts()) - self._weights.keys()
        for account in gone:
            self._buckets.remove(account, now_s)
        for account, weight in self._weights.items():
            shared = self._capacity * self.get_share(account)
            part = self._demand.get_fraction(
                account, self._nodes, shared * PRIOR_PART, now_s
            )
            burst = shared * BURST_S * max(part, 1.0 / self._nodes)
            self._buckets.set_share(
                account, weight, shared * part, burst, now_s
            )

    def _may_run(self, account, request_class):
        """Return whether patient work is let through while it is shed."""
        if request_class is not environment.RequestClass.PATIENT:
            return True
        if self._patient_part >= 1.0:
            return True
        credit = self._patient_credit.get(account, 0.0) + self._patient_part
        may_run = credit >= 1.0
        self._patient_credit[account] = credit - may_run
        return may_run

    def _refuse(self, account, request_class, cost_tokens, now_s):
        """Return a refusal that says when the refill covers the cost.

        Refused requests are told one after the other, so that they do
        not all come back at once.
        """
        floors = _FLOORS[request_class]
        covered_s = now_s + self._buckets.compute_wait_s(
            account, cost_tokens, floors.own, now_s
        )
        rate = self._buckets.get_rate(account)
        promised_s = self._promised_until_s.get(account, now_s)
        spacing_s = cost_tokens / rate if rate else RETRY_AFTER_AT_MOST_S
        until_s = max(covered_s, promised_s + spacing_s)
        latest_s = now_s + RETRY_AFTER_AT_MOST_S
        until_s = min(latest_s, max(until_s, now_s + RETRY_AFTER_AT_LEAST_S))
        self._promised_until_s[account] = until_s
        return Refusal(
            RefusalKind.OVER_SHARE,
            f"client account {account} has used its share",
            "send the request again after the given time",
            Ran.NOT_RUN,
            until_s - now_s,
        )


def _refuse_unknown(account):
    """Return the refusal of an account that has no share."""
    return Refusal(
        RefusalKind.FORBIDDEN,
        f"client account {account} has no share",
        "ask its council to add it to the environment",
    )


def _refuse_inflight(wait_s):
    """Return the refusal of a request beyond the limit in flight."""
    return Refusal(
        RefusalKind.NO_CAPACITY,
        "this instance has as many requests in flight as it may have",
        "send the request again after the given time",
        Ran.NOT_RUN,
        max(RETRY_AFTER_AT_LEAST_S, wait_s),
    )
