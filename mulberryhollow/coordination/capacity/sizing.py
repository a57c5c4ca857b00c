"""Number of endpoints of a service by failure domain and market."""

import collections
import math

import attrs

__all__ = ["Present", "SizingRules", "Slot", "choose_counts", "find_need"]

BUSY_TARGET = 0.25
"""Target fraction of its time that an engine spends on prompts (prefill).

While an engine computes a prompt, the tokens of all its other requests come
ten times as slowly. Prompts arrive in bursts and differ a hundredfold in size.
"""

FILL_TARGET = 0.35
"""Target fraction of an engine's batch slots in use.

Each further request slows down the tokens of all others.
"""

ON_DEMAND_PART = 0.4
"""On-demand endpoints as a fraction of the required endpoints.

If all reclaimable endpoints are reclaimed at once, the on-demand ones serve
the whole load until replacements have booted; with `BUSY_TARGET` that takes
less than two thirds of their time.
"""

RECLAIMABLE_PART = 0.9
"""Reclaimable endpoints as a fraction of the required endpoints.

Together with the on-demand ones this is a third more than required, so that
enough remain when one failure domain of four is reclaimed.
"""


@attrs.frozen
class SizingRules:
    """Rules for the number of endpoints.

    Parameters
    ----------
    busy_target : float
        Target fraction of an engine's time spent on prompts.
    fill_target : float
        Target fraction of an engine's batch slots in use.
    on_demand_part : float
        On-demand endpoints as a fraction of the required endpoints.
    reclaimable_part : float
        Reclaimable endpoints as a fraction of the required endpoints.
    """

    busy_target: float = BUSY_TARGET
    fill_target: float = FILL_TARGET
    on_demand_part: float = ON_DEMAND_PART
    reclaimable_part: float = RECLAIMABLE_PART


@attrs.frozen(order=True)
class Slot:
    """A market in a failure domain, for which endpoints are ordered.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    is_reclaimable : bool
        Whether the market is the reclaimable one, not on-demand.
    """

    failure_domain: str
    is_reclaimable: bool


@attrs.frozen
class Present:
    """Number of serving and ordered endpoints of a service.

    Parameters
    ----------
    counts : dict
        Slot to the number of endpoints that accept new requests.
    ordered : dict
        Slot to the number ordered last; those above the count are still
        booting.
    """

    counts: dict = attrs.field(factory=dict)
    ordered: dict = attrs.field(factory=dict)

    @property
    def total(self):
        """Number of all endpoints that accept new requests."""
        return sum(self.counts.values())

    @property
    def reclaimable(self):
        """Number of reclaimable endpoints that accept new requests."""
        return sum(
            count for slot, count in self.counts.items() if slot.is_reclaimable
        )

    def count_committed(self, slot):
        """Return the number of endpoints of a slot, including booting ones."""
        return max(self.counts.get(slot, 0), self.ordered.get(slot, 0))


def find_need(busy, in_flight, slots, rules):
    """Return the number of endpoints that the load requires.

    Parameters
    ----------
    busy : float
        Engine time spent on prompts at all endpoints, in seconds per
        second.
    in_flight : float
        Number of requests in flight at all endpoints.
    slots : int
        Number of requests that one endpoint runs concurrently.
    rules : SizingRules
        The target fractions.

    Returns
    -------
    int
        At least 1.
    """
    by_prompts = busy / rules.busy_target
    by_batch = in_flight / (max(1, slots) * rules.fill_target)
    return max(1, math.ceil(max(by_prompts, by_batch)))


def choose_counts(need, scaling, present, unavailable, rules):
    """Return the target number of endpoints of each slot.

    Parameters
    ----------
    need : int
        Number of endpoints that the load requires.
    scaling : Scaling
        Bounds and prices.
    present : Present
        Serving and ordered endpoints.
    unavailable : set of Slot
        Slots whose orders were refused recently.
    rules : SizingRules
        The fractions of each market.

    Returns
    -------
    dict
        Slot to its target number. Reclaimable endpoints count towards the
        requirement only once they serve. While fewer serve than are
        required, no slot shrinks: a replacement serves before the replaced
        endpoint is removed.
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
    """Add endpoints of a market evenly over domains, the cheapest first.

    `most` bounds the endpoints of one domain, of both markets together.
    """
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
    """Raise each domain to its minimum, with reclaimable ones if possible."""
    for domain in domains:
        lacking = least - _count(wanted, domain)
        if lacking > 0:
            wanted[Slot(domain, domain in open_domains)] += lacking


def _count(wanted, domain):
    """Return the target number of a domain, both markets together."""
    return wanted[Slot(domain, True)] + wanted[Slot(domain, False)]


def _hold(wanted, domains, present, need):
    """Return the target numbers, shrunk by no more than what is spare.

    Spare are serving endpoints above the requirement.
    """
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
