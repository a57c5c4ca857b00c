"""How many endpoints of a service are wanted, where and of which market."""

import collections
import math

import attrs

__all__ = ["Present", "SizingRules", "Slot", "choose_counts", "find_need"]

BUSY_TARGET = 0.35
"""Part of the time that an engine is to spend on prompts.

Prompts come in clumps and differ a hundredfold in size, so the wait for
others' prompts grows fast above a third.
"""

FILL_TARGET = 0.35
"""Part of an engine's batch that is to be taken.

Each further request slows the tokens of all others down.
"""

ON_DEMAND_PART = 0.5
"""Part of the endpoints that cannot be reclaimed.

They carry the whole load at twice their target until others have booted.
"""

RECLAIMABLE_SPARE = 1
"""Reclaimable endpoints beyond the need, for the loss of one."""


@attrs.frozen
class SizingRules:
    """Rules of the size.

    Parameters
    ----------
    busy_target, fill_target : float
        Parts of an engine's time and batch that are to be used.
    on_demand_part : float
        Part of the endpoints that cannot be reclaimed.
    reclaimable_spare : int
        Reclaimable endpoints beyond the need.
    """

    busy_target: float = BUSY_TARGET
    fill_target: float = FILL_TARGET
    on_demand_part: float = ON_DEMAND_PART
    reclaimable_spare: int = RECLAIMABLE_SPARE


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
    """

    counts: dict = attrs.field(factory=dict)

    @property
    def total(self):
        """All of them."""
        return sum(self.counts.values())


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
        Slot to its number. While there are fewer than the need, no slot
        shrinks: what replaces an endpoint serves before that one goes.
    """
    domains = sorted(
        scaling.domain_prices,
        key=lambda domain: (scaling.domain_prices[domain], domain),
    )
    wanted = collections.Counter()
    firm = math.ceil(need * rules.on_demand_part)
    loose = need - firm + rules.reclaimable_spare
    open_domains = [
        domain
        for domain in domains
        if scaling.reclaimable_price is not None
        and Slot(domain, True) not in unavailable
    ]
    _fill(wanted, open_domains, True, loose, scaling.most)
    placed = sum(wanted.values())
    firm = max(firm, need - placed)
    on_demand = [
        domain for domain in domains if Slot(domain, False) not in unavailable
    ]
    _fill(wanted, on_demand, False, firm, scaling.most)
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
            now = present.counts.get(slot, 0)
            surplus = now - wanted[slot]
            given_up = max(0, min(surplus, spare))
            spare -= given_up
            result[slot] = max(wanted[slot], now - given_up)
    return result
