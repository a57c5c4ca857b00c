"""Two-level aggregation of amounts reported by all instances."""

import collections
import itertools

import attrs

from mulberryhollow.coordination import membership

__all__ = [
    "AggregateTable",
    "Amounts",
    "Total",
    "rank_collectors",
]

EXPIRY_S = 3.0
"""Age above which an amount that is not reported again is dropped, in s.

A few reports may be lost before an instance's amounts are dropped.
"""


def _subtract(whole, part):
    """Return the difference of two tables, without values of 0 or less."""
    difference = {key: whole[key] - part.get(key, 0) for key in whole}
    return {key: value for key, value in difference.items() if value > 0}


def _add(tables):
    """Return the sum of tables."""
    total = collections.Counter()
    for table in tables:
        total.update(table)
    return dict(total)


@attrs.frozen
class Amounts:
    """Demand and load at one instance, or totals of several instances.

    A table with a level in its metadata is sent from that level on only.

    Parameters
    ----------
    demand : dict
        Client account to its demand, in units a second.
    loads : dict
        Short name of an endpoint to the number of requests in flight there.
    work : dict
        Service to the engine time taken by its prompts, in seconds a
        second.
    work_times : dict
        Service to the number of instances that have seen one of its endpoints
        report its work time; not sent while it is empty.
    room : dict
        Service, rank and client account, as one short key, to the demand
        for room, in places. Older builds do not decode this table.
    speed_weights, speed_sums : dict
        Short name of an endpoint to the weight of the observations of its
        slowness, and to their weighted sum; not sent while they are empty.
    time_weights, time_sums : dict
        The same for the learned costs of requests, by name.
    """

    demand: dict = attrs.field(factory=dict)
    loads: dict = attrs.field(factory=dict)
    work: dict = attrs.field(factory=dict)
    work_times: dict = attrs.field(factory=dict, metadata={"level": 1})
    room: dict = attrs.field(factory=dict, metadata={"level": 1})
    speed_weights: dict = attrs.field(factory=dict, metadata={"level": 1})
    speed_sums: dict = attrs.field(factory=dict, metadata={"level": 1})
    time_weights: dict = attrs.field(factory=dict, metadata={"level": 1})
    time_sums: dict = attrs.field(factory=dict, metadata={"level": 1})

    def minus(self, other):
        """Return the difference to other amounts, without values <= 0."""
        return Amounts(
            _subtract(self.demand, other.demand),
            _subtract(self.loads, other.loads),
            _subtract(self.work, other.work),
            _subtract(self.work_times, other.work_times),
            _subtract(self.room, other.room),
            _subtract(self.speed_weights, other.speed_weights),
            _subtract(self.speed_sums, other.speed_sums),
            _subtract(self.time_weights, other.time_weights),
            _subtract(self.time_sums, other.time_sums),
        )


@attrs.frozen
class Total:
    """Aggregated amounts of several instances.

    Parameters
    ----------
    amounts : Amounts
        The aggregate.
    count : int
        Number of instances covered that grant the credit of quotas.
    """

    amounts: Amounts = Amounts()
    count: int = 0

    @classmethod
    def of(cls, totals):
        """Return the sum of several totals."""
        totals = tuple(totals)
        return cls(
            Amounts(
                _add(each.amounts.demand for each in totals),
                _add(each.amounts.loads for each in totals),
                _add(each.amounts.work for each in totals),
                _add(each.amounts.work_times for each in totals),
                _add(each.amounts.room for each in totals),
                _add(each.amounts.speed_weights for each in totals),
                _add(each.amounts.speed_sums for each in totals),
                _add(each.amounts.time_weights for each in totals),
                _add(each.amounts.time_sums for each in totals),
            ),
            sum(each.count for each in totals),
        )


def rank_collectors(failure_domain, names):
    """Return the instances of a domain, its preferred collector first.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    names : iterable of str
        Live instances of the domain.
    """
    return membership.rank_by_rendezvous(f"collector {failure_domain}", names)


class AggregateTable:
    """Recent reports received by one instance.

    Parameters
    ----------
    instance : str
        Name of this instance.

    Notes
    -----
    An instance reports to the collector of its failure domain, the collectors
    report the aggregates of their domains to each other, and the reply to
    an instance's report is the aggregate over all instances. So an
    instance sends one message a round, whatever the size of the fleet, and
    a lost message costs one round.
    """

    def __init__(self, instance):
        self._instance = instance
        self._members = {}
        self._domains = {}
        self._reply = None

    def merge_member(self, name, total, now_s):
        """Merge the report of an instance of the local domain."""
        self._members[name] = now_s, total

    def merge_domain(self, failure_domain, total, now_s):
        """Merge the report of another domain's collector."""
        self._domains[failure_domain] = now_s, total

    def merge_reply(self, total, local, now_s):
        """Merge the reply of the collector to a report of this instance.

        Parameters
        ----------
        total : Total
            Aggregate over all instances.
        local : Total
            What this instance had reported; it is part of `total` and is
            subtracted.
        now_s : float
            The time, in seconds.
        """
        remote = Total(
            total.amounts.minus(local.amounts),
            max(0, total.count - local.count),
        )
        self._reply = now_s, remote

    def sum_domain(self, now_s):
        """Return the Total of the local domain."""
        return Total.of(_list_recent(self._members, now_s))

    def sum_all(self, now_s):
        """Return the Total over all domains."""
        domains = _list_recent(self._domains, now_s)
        return Total.of([self.sum_domain(now_s), *domains])

    def measure_age_s(self, now_s):
        """Return the mean age of the reports in `sum_remote`, in seconds."""
        if self._has_reply(now_s):
            return now_s - self._reply[0]
        entries = itertools.chain(self._members.items(), self._domains.items())
        ages_s = [
            now_s - reported_s
            for name, (reported_s, _) in entries
            if name != self._instance and now_s - reported_s < EXPIRY_S
        ]
        return sum(ages_s) / len(ages_s) if ages_s else 0.0

    def _has_reply(self, now_s):
        """Return whether a recent reply of a collector is known."""
        return self._reply is not None and now_s - self._reply[0] < EXPIRY_S

    def sum_remote(self, now_s):
        """Return the Total over all other instances."""
        if self._has_reply(now_s):
            return self._reply[1]
        members = {
            name: entry
            for name, entry in self._members.items()
            if name != self._instance
        }
        return Total.of(
            [
                *_list_recent(members, now_s),
                *_list_recent(self._domains, now_s),
            ]
        )


def _list_recent(entries, now_s):
    """Return the totals that are younger than `EXPIRY_S`."""
    return [
        total
        for reported_at_s, total in entries.values()
        if now_s - reported_at_s < EXPIRY_S
    ]
