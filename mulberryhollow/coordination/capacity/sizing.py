"""How many endpoints of a service are wanted, where and of which market."""

import collections
import math

import attrs

__all__ = ["Present", "SizingRules", "Slot", "choose_counts", "find_need"]

BUSY_TARGET = 0.25
"""Part of the time that an engine is to spend on prompts.

While it computes a prompt, the tokens of all its other requests come ten
times as slowly, and prompts come in clumps and differ a hundredfold in size.
"""

FILL_TARGET = 0.35
"""Part of an engine's batch that is to be taken.

Each further request slows the tokens of all others down.
"""

ON_DEMAND_PART = 0.4
"""Part of the need that is met by endpoints that cannot be reclaimed.

With `BUSY_TARGET` they carry the whole load, if every other is reclaimed at
once, at less than two thirds of their time until others have booted.
"""

RECLAIMABLE_PART = 0.9
"""Reclaimable endpoints as a part of the need.

With the others this is a third more than the need, so that it is still met
when one failure domain of four is reclaimed.
"""


@attrs.frozen
class SizingRules:
    """Rules of the size.

    Parameters
    ----------
    busy_target, fill_target : float
        Parts of an engine's time and batch that are to be used.
    on_demand_part : float
        Part of the endpoints that cannot be reclaimed.
    reclaimable_part : float
        Reclaimable endpoints as a part of the need.
    """

    busy_target: float = BUSY_TARGET
    fill_target: float = FILL_TARGET
    on_demand_part: float = ON_DEMAND_PART
    reclaimable_part: float = RECLAIMABLE_PART


@attrs.frozen(order=True)
class Slot:
    """Endpoints of one market in one failure domain.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    is_reclaimable : bool
        The market.
    """

    failure_domain: str
    is_reclaimable: bool


@attrs.frozen
class Present:
    """Endpoints of a service that take new work.

    Parameters
    ----------
    counts : dict
        Slot to its endpoints.
    ordered : dict
        Slot to what was ordered last; what is above the count boots.
    """

    counts: dict = attrs.field(factory=dict)
    ordered: dict = attrs.field(factory=dict)

    @property
    def total(self):
        """All that take new work."""
        return sum(self.counts.values())

    @property
    def reclaimable(self):
        """Those of them that can be reclaimed."""
        return sum(
            count for slot, count in self.counts.items() if slot.is_reclaimable
        )

    def count_committed(self, slot):
        """Return the endpoints of a slot, with those that boot."""
        return max(self.counts.get(slot, 0), self.ordered.get(slot, 0))


def find_need(busy, in_flight, slots, rules):
    """Return how many endpoints the load calls for.

    Parameters
    ----------
    busy : float
        Engine time that prompts take, in seconds a second.
    in_flight : float
        Requests at all endpoints.
    slots : int
        Requests that one endpoint runs at once.
    rules : SizingRules
        The rules.

    Returns
    -------
    int
        At least 1.
    """
    by_prompts = busy / rules.busy_target
    by_batch = in_flight / (max(1, slots) * rules.fill_target)
    return max(1, math.ceil(max(by_prompts, by_batch)))


def choose_counts(need, scaling, present, unavailable, rules):
    """Return the wanted number of endpoints of each slot.

    Parameters
    ----------
    need : int
        Endpoints that the load calls for.
    scaling : Scaling
        Bounds and prices.
    present : Present
        What takes new work now.
    unavailable : set of Slot
        What has just been refused.
    rules : SizingRules
        The rules.

    Returns
    -------
    dict
        Slot to its number. Reclaimable endpoints count for the need once
        they serve. While fewer serve than are needed, no slot shrinks:
        what replaces an endpoint serves before that one goes.
    """
    domains = sorted(
        scaling.domain_prices,
        key=lambda domain: (scaling.domain_prices[domain], domain),
    )
    wanted = collections.Counter()
    firm = math.ceil(need * rules.on_demand_part)
    loose = math.ceil(need * rules.reclaimable_part)
    open_domains = [
        domain
        for domain in domains
        if scaling.reclaimable_price is not None
        and Slot(domain, True) not in unavailable
    ]
    firm = max(firm, need - present.reclaimable)
    on_demand = [
        domain for domain in domains if Slot(domain, False) not in unavailable
    ]
    _fill(wanted, on_demand, False, firm, scaling.most)
    _fill(wanted, open_domains, True, loose, scaling.most)
    _raise_to_least(wanted, domains, open_domains, scaling.least)
    return _hold(wanted, domains, present, need)


def _fill(wanted, domains, is_reclaimable, count, most):
    """Spread endpoints of a market over domains, the cheapest first."""
    for _ in range(count):
        free = [domain for domain in domains if _count(wanted, domain) < most]
        if not free:
            return
        chosen = min(
            free,
            key=lambda domain: (
                wanted[Slot(domain, is_reclaimable)],
                domains.index(domain),
            ),
        )
        wanted[Slot(chosen, is_reclaimable)] += 1


def _raise_to_least(wanted, domains, open_domains, least):
    """Add to each domain what the bounds ask for, the cheaper market."""
    for domain in domains:
        lacking = least - _count(wanted, domain)
        if lacking > 0:
            wanted[Slot(domain, domain in open_domains)] += lacking


def _count(wanted, domain):
    """Return the endpoints wanted in a domain, of both markets."""
    return wanted[Slot(domain, True)] + wanted[Slot(domain, False)]


def _hold(wanted, domains, present, need):
    """Return the numbers with no slot shrunk too early."""
    result = {}
    spare = present.total - need
    for domain in domains:
        for is_reclaimable in (True, False):
            slot = Slot(domain, is_reclaimable)
            now = present.count_committed(slot)
            surplus = now - wanted[slot]
            given_up = max(0, min(surplus, spare))
            spare -= given_up
            result[slot] = max(wanted[slot], now - given_up)
    return result
