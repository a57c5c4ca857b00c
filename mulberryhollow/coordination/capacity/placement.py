"""Cheapest spread of one demand that outlasts a failure domain."""

import collections
import math

import attrs

__all__ = ["Placed", "Placement"]

LEVELS_TRIED = 64
EPSILON = 1e-9


@attrs.frozen
class Placed:
    """One way to meet a demand.

    Parameters
    ----------
    starts : dict
        Offer to the number of instances to be started.
    stops : tuple of str
        Ids of instances that can go.
    surviving : float
        Capacity left after the loss of the largest failure domain.
    cost_per_hour : float
        Cost of all that then runs, per hour.
    """

    starts: dict
    stops: tuple
    surviving: float
    cost_per_hour: float


@attrs.frozen
class _Unit:
    """One instance that runs or could be started."""

    failure_domain: str
    capacity: float
    price_per_hour: float
    is_on_demand: bool
    instance: object = None
    offer: object = None

    @property
    def rank(self):
        """Order of preference: running first, then by unit price."""
        unit_price = self.price_per_hour / self.capacity
        return self.offer is not None, unit_price, self.failure_domain


class Placement:
    """Finds the cheapest placement of one demand.

    Parameters
    ----------
    demand : Demand
        What is needed.
    offers : sequence of Offer
        What can be started.
    running : sequence of Instance
        What runs for the demand.
    on_demand_part : float
        Part of the urgent capacity that on-demand instances must give.

    Notes
    -----
    With at most `level` in each failure domain, a total of the target
    plus `level` outlasts the loss of any one. Each level in reach is
    filled with the cheapest units, and the cheapest level is kept.
    """

    def __init__(self, demand, offers, running, on_demand_part):
        self.demand = demand
        self._on_demand_part = on_demand_part
        self._offers = [
            offer
            for offer in offers
            if demand.capacity_by_class.get(offer.machine_class, 0.0) > 0
        ]
        self._running = self._list_running(
            instance for instance in running if not instance.is_leaving
        )
        self._starts = self._list_starts()
        self._leaving_cost = sum(
            instance.price_per_hour
            for instance in running
            if instance.is_leaving
        )

    def place(self, urgent_part, patient_part):
        """Return the placement of a part of the demand.

        Parameters
        ----------
        urgent_part, patient_part : float
            Parts of the demand to be met, from 0 to 1.

        Returns
        -------
        Placed
            The cheapest one that meets the target, else the one with
            the most surviving capacity.
        """
        demand = self.demand
        target = demand.urgent * urgent_part + demand.patient * patient_part
        if target <= 0:
            return self._settle([], 0.0)
        on_demand = demand.urgent * urgent_part * self._on_demand_part
        options = [
            self._fill(target, on_demand, level)
            for level in self._list_levels(target)
        ]
        meeting = [
            units
            for units in options
            if _get_surviving(units) >= target - EPSILON
        ]
        if meeting:
            best = min(meeting, key=_get_cost)
        else:
            best = max(options, key=_get_surviving)
        return self._settle(best, target)

    def _list_levels(self, target):
        """Return the highest capacities in a failure domain to try."""
        sizes = self.demand.capacity_by_class.values()
        smallest = min(size for size in sizes if size > 0)
        count = max(1, math.ceil(target / smallest))
        stride = max(1, count // LEVELS_TRIED)
        return [step * smallest for step in range(1, count + stride, stride)]

    def _fill(self, target, on_demand, level):
        """Return the units of one level, on-demand ones first."""
        filling = _Filling(level)
        if on_demand > 0:
            filling.take(
                [unit for unit in self._running if unit.is_on_demand],
                [unit for unit in self._starts if unit.is_on_demand],
                on_demand,
            )
        filling.take(self._running, self._starts, target + level)
        return filling.units

    def _list_running(self, instances):
        """Return what runs, the best first."""
        units = [
            _Unit(
                instance.failure_domain,
                self._get_capacity(instance),
                instance.price_per_hour,
                instance.market == "on_demand",
                instance=instance,
            )
            for instance in instances
        ]
        return sorted(units, key=lambda unit: unit.rank)

    def _list_starts(self):
        """Return one unit for each offer, the best first."""
        units = [
            _Unit(
                offer.failure_domain,
                self._get_capacity(offer),
                offer.price_per_hour,
                offer.market == "on_demand",
                offer=offer,
            )
            for offer in self._offers
        ]
        return sorted(units, key=lambda unit: unit.rank)

    def _get_capacity(self, item):
        """Return the capacity of an instance or offer."""
        return self.demand.capacity_by_class.get(item.machine_class, 1e-6)

    def _settle(self, units, target):
        """Return the placement, with stops only where it is safe.

        What runs is stopped only while the rest of it meets the target
        on its own, so a start is never relied on before it is done.
        """
        starts = collections.Counter(
            unit.offer for unit in units if unit.offer is not None
        )
        kept = {unit.instance.id for unit in units if unit.instance}
        stops = self._list_stops(kept, target)
        stopped = set(stops)
        running = [
            unit for unit in self._running if unit.instance.id not in stopped
        ]
        started = [unit for unit in units if unit.offer is not None]
        remaining = running + started
        return Placed(
            dict(starts),
            stops,
            _get_surviving(remaining),
            _get_cost(remaining) + self._leaving_cost,
        )

    def _list_stops(self, kept, target):
        """Return the ids of what can go, the dearest first."""
        by_domain = _sum_by_domain(self._running)
        stops = []
        for unit in reversed(self._running):
            if unit.instance.id in kept:
                continue
            by_domain[unit.failure_domain] -= unit.capacity
            left = by_domain.total() - max(by_domain.values())
            if left >= target - EPSILON:
                stops.append(unit.instance.id)
            else:
                by_domain[unit.failure_domain] += unit.capacity
        return tuple(stops)


class _Filling:
    """Units taken so far, up to a level in each failure domain."""

    def __init__(self, level):
        self._level = level
        self._by_domain = collections.Counter()
        self._taken = set()
        self._total = 0.0
        self.units = []

    def take(self, running, starts, total):
        """Take units until their capacity reaches a total."""
        for unit in running:
            if self._total >= total - EPSILON:
                return
            if unit.instance.id not in self._taken and self._fits(unit):
                self._taken.add(unit.instance.id)
                self._add(unit)
        for unit in starts:
            while self._total < total - EPSILON and self._fits(unit):
                self._add(unit)

    def _fits(self, unit):
        """Return whether a unit keeps its failure domain's level."""
        used = self._by_domain[unit.failure_domain]
        return used + unit.capacity <= self._level + EPSILON

    def _add(self, unit):
        """Take one unit."""
        self._by_domain[unit.failure_domain] += unit.capacity
        self._total += unit.capacity
        self.units.append(unit)


def _sum_by_domain(units):
    """Return the capacity of units in each failure domain."""
    by_domain = collections.Counter()
    for unit in units:
        by_domain[unit.failure_domain] += unit.capacity
    return by_domain


def _get_surviving(units):
    """Return the capacity left after losing the largest domain."""
    by_domain = _sum_by_domain(units)
    return by_domain.total() - max(by_domain.values(), default=0.0)


def _get_cost(units):
    """Return the cost of units, per hour."""
    return sum(unit.price_per_hour for unit in units)
