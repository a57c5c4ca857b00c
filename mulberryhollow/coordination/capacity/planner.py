"""Plan of instance starts and stops, within a shared budget."""

import collections
import dataclasses
import itertools

import attrs

from mulberryhollow.coordination.capacity.market import InstanceOffer
from mulberryhollow.coordination.capacity.placement import PlacementSearch

__all__ = ["Plan", "PlanRules", "Shortfall", "Start", "plan"]

# Number of steps in which first the patient and then the urgent demand is
# reduced to fit the budget.
SCALE_STEPS = 16


@attrs.frozen
class PlanRules:
    """Rules of the plan.

    Parameters
    ----------
    on_demand_fraction : float
        Fraction of the urgent capacity that on-demand instances must
        provide, so that it remains when the cloud reclaims all
        reclaimable instances at once.
    """

    on_demand_fraction: float = 0.0


@attrs.frozen
class Start:
    """Instances to be started.

    Parameters
    ----------
    offer : InstanceOffer
        Kind of the instances.
    service, version, role : str
        Service, version and role that the instances are to serve.
    count : int
        Number of instances.
    """

    offer: InstanceOffer
    service: str
    version: str
    role: str
    count: int


@attrs.frozen
class Shortfall:
    """Capacity that the plan cannot provide for one demand.

    Parameters
    ----------
    service, version : str
        Service and version of the demand.
    patient_part_shed : float
        Fraction of the patient work to be refused, from 0 to 1.
    urgent_lacking : float
        Urgent capacity missing after the loss of the largest failure
        domain, in the unit of the demand.
    """

    service: str
    version: str
    patient_part_shed: float
    urgent_lacking: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Instances to be started and stopped.

    Parameters
    ----------
    starts : tuple of Start
        Instances to be started.
    stops : tuple of str
        Ids of instances to be shut down gracefully.
    shortfall : tuple of Shortfall
        One item for each demand that is not met.
    cost_per_hour : float
        Cost of all instances once the plan is executed, per hour.
    """

    starts: tuple = ()
    stops: tuple = ()
    shortfall: tuple = ()
    cost_per_hour: float = 0.0


def plan(demand, prices, running, refused, budget_per_hour, now_s, rules=None):
    """Plan the instances of all demands.

    Parameters
    ----------
    demand : sequence of Demand
        Capacity that must remain after the loss of any one failure domain.
    prices : sequence of InstanceOffer
        Instances that can be started.
    running : sequence of Instance
        Running instances.
    refused : RefusedStarts
        Offers whose starts were refused and are backed off.
    budget_per_hour : float
        Maximum cost of all instances together, per hour.
    now_s : float
        The time, in seconds.
    rules : PlanRules or None
        The rules; the defaults when None.

    Returns
    -------
    Plan
        Its cost is within the budget, unless the running instances exceed
        it already.
    """
    rules = rules or PlanRules()
    offers = [
        offer for offer in prices if not refused.is_blocked(offer, now_s)
    ]
    by_version = collections.defaultdict(list)
    for instance in running:
        by_version[instance.service, instance.version].append(instance)
    searches = [
        PlacementSearch(
            item,
            offers,
            by_version.pop((item.service, item.version), []),
            rules.on_demand_fraction,
        )
        for item in demand
    ]
    unneeded = list(itertools.chain.from_iterable(by_version.values()))
    placed = _fit_budget(searches, budget_per_hour)
    return _build_plan(searches, placed, unneeded)


def _fit_budget(searches, budget_per_hour):
    """Place the largest fraction of the demand that fits the budget.

    Replacing expensive instances by cheaper ones, which run in parallel
    for a while, is dropped first, then patient work, then urgent work.
    """
    scales = [(step / SCALE_STEPS, 0.0) for step in range(SCALE_STEPS)]
    scales += [(1.0, step / SCALE_STEPS) for step in range(SCALE_STEPS + 1)]
    for replaces in (True, False):
        placed = _place_all(searches, scales[-1], replaces)
        if _sum_costs(placed) <= budget_per_hour:
            return placed
    low, high = 0, len(scales) - 1
    placed = _place_all(searches, scales[low])
    while high - low > 1:
        middle = (low + high) // 2
        candidate = _place_all(searches, scales[middle])
        if _sum_costs(candidate) <= budget_per_hour:
            low, placed = middle, candidate
        else:
            high = middle
    return placed


def _place_all(searches, scale, replaces=False):
    """Place the same urgent and patient fractions of every demand."""
    return [search.place(*scale, replaces) for search in searches]


def _sum_costs(placed):
    """Return the cost of all placements, per hour."""
    return sum(item.cost_per_hour for item in placed)


def _build_plan(searches, placed, unneeded):
    """Return the plan that combines all placements.

    `unneeded` are running instances of versions without demand.
    """
    starts = [
        Start(
            offer,
            search.demand.service,
            search.demand.version,
            search.demand.role,
            count,
        )
        for search, item in zip(searches, placed, strict=True)
        for offer, count in item.starts.items()
    ]
    stops = [stop for item in placed for stop in item.stops]
    stops += [instance.id for instance in unneeded if not instance.is_leaving]
    shortfall = [
        _compute_shortfall(search.demand, item.surviving)
        for search, item in zip(searches, placed, strict=True)
        if item.surviving < search.demand.urgent + search.demand.patient
    ]
    return Plan(
        tuple(starts),
        tuple(stops),
        tuple(shortfall),
        _sum_costs(placed),
    )


def _compute_shortfall(demand, surviving):
    """Return the shortfall of a demand, taken from patient work first."""
    missing = demand.urgent + demand.patient - surviving
    from_patient = min(demand.patient, missing)
    shed_fraction = from_patient / demand.patient if demand.patient else 0.0
    return Shortfall(
        demand.service, demand.version, shed_fraction, missing - from_patient
    )
