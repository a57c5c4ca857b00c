"""Instances that share one account's quota, on a simulated clock."""

import logging
import math
import random
import types

from mulberryhollow.coordination import limits
from mulberryhollow.serving import quota_peering
from mulberryhollow.state import catalogue

REPORT_INTERVAL_S = 0.5
MEAN_COST = 8000.0
COST_SIGMA = 1.4
MAX_COST = 60000.0


class _Instance:
    """One instance with its peering, without threads.

    The object also stands in for the dispatcher, the clock and the peers
    that the peering uses.
    """

    def __init__(self, pool, index):
        self.pool = pool
        self.index = index
        self.answer = None
        self.peering = quota_peering.QuotaPeering(
            self, self, self, self.list_members
        )
        self.peering.connect()

    @property
    def quotas(self):
        return self.pool.tables[self.index]

    def now_s(self):
        return self.pool.now_s

    def read(self, function):
        return function(self, self.pool.now_s)

    def list_members(self):
        """Return the other instances in random order; none if isolated."""
        if not self.pool.is_connected:
            return []
        others = [
            types.SimpleNamespace(instance_id=each.index)
            for each in self.pool.instances
            if each is not self
        ]
        self.pool.random.shuffle(others)
        return others

    def handle(self, topic, handler):
        self.answer = handler

    def call(self, name, topic, payload, timeout_s):
        self.pool.ask_count += 1
        return self.pool.instances[name].answer(payload)


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
    """

    def __init__(self, rules, rate, burst, nodes, seed=1):
        self.rules = rules
        self.quota = catalogue.Quota(rate, burst, catalogue.QuotaUnit.TOKENS)
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.is_connected = True
        self.admitted = []
        self.refused = 0
        self.ask_count = 0
        self._pending_reports = []
        self._next_report_s = 0.0
        self._nodes = nodes
        self.tables = [self._make_table() for _ in range(nodes)]
        self.instances = [_Instance(self, index) for index in range(nodes)]

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
            at_s, index, remote = self._pending_reports.pop(0)
            self.tables[index].report_demand(
                "others", {"a": remote}, at_s, self._nodes - 1
            )

    def _schedule_reports(self):
        """Schedule a report of the remote demand to each instance."""
        demands = [
            table.list_demand(self._next_report_s).get("a", 0.0)
            for table in self.tables
        ]
        self._pending_reports += [
            (
                self._next_report_s + self.random.uniform(0.1, 0.5),
                index,
                sum(demands) - local,
            )
            for index, local in enumerate(demands)
        ]
        self._pending_reports.sort()

    def spend(self, index, cost):
        """Charge a request at an instance; return None or QuotaExceeded."""
        table = self.tables[index]
        found = table.spend("a", cost, self.now_s)
        if isinstance(found, limits.CreditShortfall):
            borrowed = self._borrow(index, found.lack)
            found = table.reconcile(
                "a",
                cost,
                borrowed.lent,
                borrowed.owed,
                self.now_s,
                borrowed.asked,
            )
        if found is None:
            self.admitted.append((self.now_s, cost))
        else:
            self.refused += 1
        return found

    def _borrow(self, index, lack):
        """Return the credit that an instance borrows from the others."""
        # Each call to a peer is logged: here tens of thousands of lines.
        logging.disable(logging.INFO)
        try:
            return self.instances[index].peering.borrow("r", "a", lack)
        finally:
            logging.disable(logging.NOTSET)

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
        per_s = self.quota.rate_per_s * demand / MEAN_COST
        mu = math.log(MEAN_COST) - COST_SIGMA**2 / 2
        while self.now_s < end_s:
            self.pass_time(self.random.expovariate(per_s))
            cost = self.random.lognormvariate(mu, COST_SIGMA)
            index = self.random.randrange(self._nodes)
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
