"""Cheapest placement of one demand that survives a failure domain's loss."""

import collections
import math

import attrs

__all__ = ["PlacementResult", "PlacementSearch"]

# Number of parts into which each pass divides its range of levels.
LEVEL_SEARCH_PARTS = 16

# Factor on the price of a running instance when it is ranked: an offer
# replaces a running instance only if it is cheaper by a fifth.
RUNNING_PRICE_FACTOR = 0.8

# Tolerance in comparisons of capacities.
CAPACITY_TOLERANCE = 1e-9


@attrs.frozen
class PlacementResult:
    """Placement of one demand: the starts and stops, and their effect.

    Parameters
    ----------
    starts : dict
        InstanceOffer to the number of instances to be started.
    stops : tuple of str
        Ids of instances that can be stopped.
    surviving : float
        Capacity remaining after the loss of the largest failure domain.
    cost_per_hour : float
        Cost of all instances after the starts and stops, per hour.
    """

    starts: dict
    stops: tuple
    surviving: float
    cost_per_hour: float


@attrs.frozen
class _Unit:
    """A running instance, or an offer as a candidate to be started."""

    failure_domain: str
    capacity: float
    price_per_hour: float
    is_on_demand: bool
    instance: object = None
    offer: object = None

    @property
    def unit_price(self):
        """Price per hour of one unit of capacity."""
        return self.price_per_hour / self.capacity

    def rank(self, replaces):
        """Return the sort key of the unit; preferred units sort first.

        Parameters
        ----------
        replaces : bool
            Whether an offer ranks before a running instance if it is
            cheaper by a fifth; otherwise running instances come first.
        """
        is_start = self.offer is not None
        price_factor = 1.0 if is_start else RUNNING_PRICE_FACTOR
        price = self.unit_price * price_factor
        return is_start and not replaces, price, is_start, self.failure_domain


class PlacementSearch:
    """Search for the cheapest placement of one demand.

    Parameters
    ----------
    demand : Demand
        The needed capacity.
    offers : sequence of InstanceOffer
        Instances that can be started.
    running : sequence of Instance
        Instances that serve the demand now.
    on_demand_fraction : float
        Fraction of the urgent capacity that on-demand instances must
        provide.

    Notes
    -----
    If no failure domain has more than `level` capacity, a total of the
    target plus `level` meets the target after the loss of any one domain.
    For each level of a range, the search selects the cheapest units; the
    first pass steps coarsely, the second finely around the best level. The
    cheapest result is kept.
    """

    def __init__(self, demand, offers, running, on_demand_fraction):
        self.demand = demand
        self._on_demand_fraction = on_demand_fraction
        self._offers = [
            offer
            for offer in offers
            if demand.capacity_by_class.get(offer.machine_class, 0.0) > 0
        ]
        self._running = self._list_running_units(
            instance for instance in running if not instance.is_leaving
        )
        self._starts = self._list_candidates()
        self._ordered = {
            replaces: sorted(
                self._running + self._starts,
                key=lambda unit: unit.rank(replaces),
            )
            for replaces in (False, True)
        }
        self._leaving_cost = sum(
            instance.price_per_hour
            for instance in running
            if instance.is_leaving
        )

    def place(self, urgent_fraction, patient_fraction, replaces):
        """Return the placement of a fraction of the demand.

        Parameters
        ----------
        urgent_fraction, patient_fraction : float
            Fractions of the demand to be met, from 0 to 1.
        replaces : bool
            Whether expensive instances are replaced by cheaper ones.

        Returns
        -------
        PlacementResult
            The cheapest placement that meets the target; if none does,
            the one with the most surviving capacity.
        """
        demand = self.demand
        target = (
            demand.urgent * urgent_fraction + demand.patient * patient_fraction
        )
        if target <= 0:
            return self._build_result([], 0.0)
        on_demand = demand.urgent * urgent_fraction * self._on_demand_fraction
        ordered = self._ordered[replaces]
        smallest = self._get_smallest_capacity()
        count = max(1, math.ceil(target / smallest))
        stride = max(1, count // LEVEL_SEARCH_PARTS)
        center = self._find_best_step(
            range(1, count + stride, stride), target, on_demand, ordered
        )
        first = max(1, center - stride)
        fine = range(
            first, center + stride, max(1, stride // LEVEL_SEARCH_PARTS)
        )
        best = self._find_best_step(fine, target, on_demand, ordered)
        units = self._select_units(target, on_demand, best * smallest, ordered)
        return self._build_result(units, target)

    def _find_best_step(self, steps, target, on_demand, ordered):
        """Return the step with the smallest shortfall, then the lowest cost.

        A step is a level in multiples of the smallest instance's capacity.
        """
        smallest = self._get_smallest_capacity()

        def evaluate(step):
            units = self._select_units(
                target, on_demand, step * smallest, ordered
            )
            shortfall = max(
                0.0,
                target - CAPACITY_TOLERANCE - _get_surviving_capacity(units),
            )
            return shortfall, _get_cost(units)

        return min(steps, key=evaluate)

    def _get_smallest_capacity(self):
        """Return the smallest capacity of any machine class."""
        sizes = self.demand.capacity_by_class.values()
        return min(size for size in sizes if size > 0)

    def _select_units(self, target, on_demand, level, ordered):
        """Return the units selected at one level, on-demand ones first."""
        selection = _UnitSelection(level)
        if on_demand > 0:
            selection.select(
                [unit for unit in ordered if unit.is_on_demand], on_demand
            )
        selection.select(ordered, target + level)
        return selection.units

    def _list_running_units(self, instances):
        """Return a unit for each running instance, the cheapest first."""
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
        return sorted(units, key=lambda unit: unit.unit_price)

    def _list_candidates(self):
        """Return a unit for each offer, the cheapest first."""
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
        return sorted(units, key=lambda unit: unit.unit_price)

    def _get_capacity(self, item):
        """Return the capacity of an instance or offer.

        Machine classes that the demand does not list get almost 0, which
        also avoids a division by 0.
        """
        return self.demand.capacity_by_class.get(item.machine_class, 1e-6)

    def _build_result(self, units, target):
        """Return the placement, with stops only where they are safe.

        An instance is stopped only if the other running instances meet the
        target on their own, so that nothing depends on a start that is not
        done yet.
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
        return PlacementResult(
            dict(starts),
            stops,
            _get_surviving_capacity(remaining),
            _get_cost(remaining) + self._leaving_cost,
        )

    def _list_stops(self, kept, target):
        """Return the ids of instances to stop, the most expensive first."""
        by_domain = _sum_by_domain(self._running)
        stops = []
        for unit in reversed(self._running):
            if unit.instance.id in kept:
                continue
            by_domain[unit.failure_domain] -= unit.capacity
            remaining_capacity = by_domain.total() - max(by_domain.values())
            if remaining_capacity >= target - CAPACITY_TOLERANCE:
                stops.append(unit.instance.id)
            else:
                by_domain[unit.failure_domain] += unit.capacity
        return tuple(stops)


class _UnitSelection:
    """Selected units, with at most `level` capacity per failure domain."""

    def __init__(self, level):
        self._level = level
        self._by_domain = collections.Counter()
        self._used_ids = set()
        self._total = 0.0
        self.units = []

    def select(self, units, total):
        """Select units until the total capacity is reached."""
        for unit in units:
            if self._total >= total - CAPACITY_TOLERANCE:
                return
            if unit.offer is not None:
                self._select_starts(unit, total)
            elif unit.instance.id not in self._used_ids and self._fits(unit):
                self._used_ids.add(unit.instance.id)
                self._add(unit)

    def _select_starts(self, unit, total):
        """Select as many instances of an offer as are needed and fit."""
        while self._total < total - CAPACITY_TOLERANCE and self._fits(unit):
            self._add(unit)

    def _fits(self, unit):
        """Return whether a unit keeps its failure domain within the level."""
        used = self._by_domain[unit.failure_domain]
        return used + unit.capacity <= self._level + CAPACITY_TOLERANCE

    def _add(self, unit):
        """Select one unit."""
        self._by_domain[unit.failure_domain] += unit.capacity
        self._total += unit.capacity
        self.units.append(unit)


def _sum_by_domain(units):
    """Return the capacity of units in each failure domain."""
    by_domain = collections.Counter()
    for unit in units:
        by_domain[unit.failure_domain] += unit.capacity
    return by_domain


def _get_surviving_capacity(units):
    """Return the capacity remaining after losing the largest domain."""
    by_domain = _sum_by_domain(units)
    return by_domain.total() - max(by_domain.values(), default=0.0)


def _get_cost(units):
    """Return the cost of units, per hour."""
    return sum(unit.price_per_hour for unit in units)
