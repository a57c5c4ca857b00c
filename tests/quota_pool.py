"""Instances that share one account's quota, on a simulated clock."""

import logging
import math
import random
import types

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow.serving import quota_peering
from mulberryhollow.state import catalogue
from tests import requests

REPORT_INTERVAL_S = 0.5
MEAN_COST = 8000.0
COST_SIGMA = 1.4
MAX_COST = 60000.0


class _OverQuotaError(Exception):
    """A request exceeded its quota, as the argument says."""


class _Instance:
    """One instance with its peering, without threads.

    The object also stands in for the dispatcher, the clock and the peers
    that the peering uses.
    """

    def __init__(self, pool, index):
        self.pool = pool
        self.index = index
        self.is_running = True
        self.handlers = {}
        self.collectors = None
        self.peering = quota_peering.QuotaPeering(self, self, self)
        self.peering.connect()

    @property
    def view(self):
        return types.SimpleNamespace(
            has_work_based_services=self.pool.limits_debts
        )

    @property
    def quotas(self):
        return self.pool.tables[self.index]

    def now_s(self):
        return self.pool.now_s

    def read(self, function):
        return function(self, self.pool.now_s)

    def change(self, function):
        function(self, self.pool.now_s)

    def local_member(self):
        return types.SimpleNamespace(
            instance_id=self.index,
            failure_domain=f"d{self.index % self.pool.domains}",
        )

    def apply_members(self):
        """Apply the running instances in the same partition, shuffled."""
        others = [
            each.local_member()
            for each in self.pool.instances
            if each is not self and self.pool.reaches(self, each)
        ]
        self.pool.random.shuffle(others)
        self.collectors = sharing.choose_collectors(
            self.local_member(), tuple(others), len(self.pool.instances)
        )
        self.peering.apply_collectors(self.collectors)

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    def call(self, name, topic, payload, timeout_s):
        self.pool.ask_count += 1
        other = self.pool.instances[name]
        if not self.pool.reaches(self, other):
            raise errors.PeerError("no answer", "none")
        return other.handlers[topic](payload)

    def charge(self, account, service, cost, fingerprint, parts):
        found = self.quotas.spend(account, cost, self.pool.now_s)
        if isinstance(found, limits.QuotaExceeded):
            raise _OverQuotaError(found)
        return found

    def reconcile(self, account, service, cost, borrowed):
        found = self.quotas.reconcile(
            account,
            cost,
            borrowed.lent,
            borrowed.owed,
            self.pool.now_s,
            borrowed.asked,
        )
        self.accept(service, "", found)

    def place(self, route_request):
        return None

    def accept(self, service, fingerprint, exceeded, parts=()):
        if exceeded is not None:
            raise _OverQuotaError(exceeded)


class QuotaPool:
    """Quota tables of several instances with delayed aggregate reports.

    Parameters
    ----------
    rules : QuotaRules
        Tolerances of the quota.
    rate, burst : float
        Quota of the account, in units a second and in units.
    nodes : int
        Number of instances.
    seed : int
        Seed of the random numbers.
    domains : int
        Number of failure domains of the instances.
    mean_cost : float
        Mean cost of a request spent at random, in units.
    """

    def __init__(
        self,
        rules,
        rate,
        burst,
        nodes,
        seed=1,
        domains=1,
        mean_cost=MEAN_COST,
    ):
        self.rules = rules
        self.quota = catalogue.Quota(rate, burst, catalogue.QuotaUnit.TOKENS)
        self.random = random.Random(seed)
        self.domains = domains
        self.mean_cost = mean_cost
        self.now_s = 0.0
        self.cut_fraction = 0.0
        self.is_connected = True
        self.limits_debts = False
        self.admitted = []
        self.refused = 0
        self.ask_count = 0
        self._pending_reports = []
        self._next_report_s = 0.0
        self._nodes = nodes
        self.tables = [self._make_table() for _ in range(nodes)]
        self.instances = [_Instance(self, index) for index in range(nodes)]
        self.apply_members()

    def apply_members(self):
        """Apply the current membership at every instance."""
        for each in self.instances:
            each.apply_members()

    def reaches(self, first, second):
        """Return whether one running instance can call another."""
        if not (first.is_running and second.is_running and self.is_connected):
            return False
        cut = self.cut_fraction * len(self.instances)
        return (first.index < cut) == (second.index < cut)

    def _make_table(self):
        """Return the table of an instance that has just started."""
        table = limits.QuotaTable(self.rules)
        table.set_quotas({"a": self.quota})
        table.set_live_nodes(self._nodes, self.now_s)
        return table

    def restart(self, down_s=0.0, start_s=0.0):
        """Restart all instances with empty quota tables.

        Parameters
        ----------
        down_s : float
            Time until the new processes start, in seconds.
        start_s : float
            Time from their start until they accept requests, in seconds.
        """
        began_s = self.now_s + down_s
        self.now_s = began_s + start_s
        self._pending_reports = []
        self.tables = [self._make_table() for _ in range(self._nodes)]
        for table in self.tables:
            table.start_empty(began_s)
        self.apply_members()

    def pass_time(self, by_s):
        """Advance the clock and deliver the reports due until then."""
        self.now_s += by_s
        while self._next_report_s < self.now_s:
            self._schedule_reports()
            self._next_report_s += REPORT_INTERVAL_S
        while (
            self.is_connected
            and self._pending_reports
            and self._pending_reports[0][0] < self.now_s
        ):
            at_s, index, remote, count = self._pending_reports.pop(0)
            self.tables[index].report_demand(
                "others", {"a": remote}, at_s, count
            )

    def _schedule_reports(self):
        """Schedule a report of the remote demand to each instance."""
        demands = [
            table.list_demand(self._next_report_s).get("a", 0.0)
            for table in self.tables
        ]
        for each in self.instances:
            reached = [
                other.index
                for other in self.instances
                if other is not each and self.reaches(each, other)
            ]
            report = (
                self._next_report_s + self.random.uniform(0.1, 0.5),
                each.index,
                sum(demands[index] for index in reached),
                sum(
                    self.instances[index].collectors.is_local
                    for index in reached
                ),
            )
            self._pending_reports.append(report)
        self._pending_reports.sort()

    def spend(self, index, cost):
        """Charge a request at an instance; return None or QuotaExceeded."""
        request = requests.make_request(cost=cost, arrived_s=self.now_s)
        # Each call to a peer is logged: here tens of thousands of lines.
        logging.disable(logging.INFO)
        try:
            self.instances[index].peering.charge(request)
        except _OverQuotaError as error:
            self.refused += 1
            return error.args[0]
        finally:
            logging.disable(logging.NOTSET)
        self.admitted.append((self.now_s, cost))
        return None

    def spend_randomly(self, demand, seconds):
        """Spend at random times, with log-normally distributed costs.

        Parameters
        ----------
        demand : float
            Demand as a multiple of the quota's rate.
        seconds : float
            Duration, in seconds.
        """
        end_s = self.now_s + seconds
        per_s = self.quota.rate_per_s * demand / self.mean_cost
        mu = math.log(self.mean_cost) - COST_SIGMA**2 / 2
        while self.now_s < end_s:
            self.pass_time(self.random.expovariate(per_s))
            cost = self.random.lognormvariate(mu, COST_SIGMA)
            index = self.random.randrange(self._nodes)
            if self.instances[index].is_running:
                self.spend(index, min(MAX_COST, cost))

    def find_window_max(self):
        """Return the maximum admitted in any window, in units."""
        highest = total = 0.0
        start = 0
        for at_s, cost in self.admitted:
            total += cost
            while self.admitted[start][0] <= at_s - self.rules.window_s:
                total -= self.admitted[start][1]
                start += 1
            highest = max(highest, total)
        return highest

    def find_bound(self):
        """Return the amount allowed in a window, in units."""
        rules = self.rules
        quota = self.quota
        allowed = quota.rate_per_s * rules.window_s + quota.burst
        return allowed * (1.0 + rules.overrun) + rules.slack
