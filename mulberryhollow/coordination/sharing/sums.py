"""Amounts of each instance and their sums."""

import collections

import attrs

from mulberryhollow.coordination import membership

__all__ = ["Amounts", "SumTable", "Total", "rank_collectors"]

EXPIRY_S = 3.0
"""Time after which an amount that is not told again is dropped, in s.

A few tellings may be lost before an instance counts as silent.
"""


def _subtract(whole, part):
    """Return the difference of two tables, without negative values."""
    left = {key: whole[key] - part.get(key, 0) for key in whole}
    return {key: value for key, value in left.items() if value > 0}


def _add(tables):
    """Return the sum of tables."""
    total = collections.Counter()
    for table in tables:
        total.update(table)
    return dict(total)


@attrs.frozen
class Amounts:
    """What an instance has under way, or several of them together.

    Parameters
    ----------
    demand : dict
        Client account to what it asks for, in units a second.
    loads : dict
        Short name of an endpoint to the requests in flight there.
    work : dict
        Service to the engine time that prompts take, in seconds a
        second.
    """

    demand: dict = attrs.field(factory=dict)
    loads: dict = attrs.field(factory=dict)
    work: dict = attrs.field(factory=dict)

    def minus(self, other):
        """Return what is left without another one's part."""
        return Amounts(
            _subtract(self.demand, other.demand),
            _subtract(self.loads, other.loads),
            _subtract(self.work, other.work),
        )


@attrs.frozen
class Total:
    """A sum of amounts.

    Parameters
    ----------
    amounts : Amounts
        The sum.
    count : int
        Instances that it covers.
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
            ),
            sum(each.count for each in totals),
        )


def rank_collectors(failure_domain, names):
    """Return the instances of a domain, its usual collector first.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    names : iterable of str
        Its live instances.
    """
    return membership.rank_by_rendezvous(f"collector {failure_domain}", names)


class SumTable:
    """What one instance has been told, as far as it is recent.

    Parameters
    ----------
    instance : str
        Name of this instance.

    Notes
    -----
    An instance tells its own collector, the collectors tell each other
    the sums of their domains, and the answer to each telling is the sum
    over all. So an instance sends one message a round, whatever the size
    of the fleet, and a lost message costs one round.
    """

    def __init__(self, instance):
        self._instance = instance
        self._members = {}
        self._domains = {}
        self._answer = None

    def take_member(self, name, amounts, now_s):
        """Take what an instance of the own domain tells."""
        self._members[name] = now_s, Total(amounts, 1)

    def take_domain(self, failure_domain, total, now_s):
        """Take what the collector of another domain tells."""
        self._domains[failure_domain] = now_s, total

    def take_answer(self, total, own, now_s):
        """Take the sum over all that the own collector has answered.

        Parameters
        ----------
        total : Total
            The sum.
        own : Amounts
            What this instance had told it, which the sum contains.
        now_s : float
            The time, in seconds.
        """
        others = Total(total.amounts.minus(own), max(0, total.count - 1))
        self._answer = now_s, others

    def sum_domain(self, now_s):
        """Return the Total of the own domain."""
        return Total.of(_list_recent(self._members, now_s))

    def sum_all(self, now_s):
        """Return the Total over every domain."""
        domains = _list_recent(self._domains, now_s)
        return Total.of([self.sum_domain(now_s), *domains])

    def sum_others(self, now_s):
        """Return the Total over all but this instance."""
        if self._answer is not None and now_s - self._answer[0] < EXPIRY_S:
            return self._answer[1]
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
    """Return the totals that were told a short time ago."""
    return [
        total
        for told_s, total in entries.values()
        if now_s - told_s < EXPIRY_S
    ]
