"""Number of endpoints of a service by failure domain and market."""

import collections
import math

import attrs

__all__ = [
    "EndpointCounts",
    "SizingRules",
    "Slot",
    "choose_counts",
    "compute_cold_part",
    "compute_required_count",
]

PREFILL_TIME_TARGET = 0.25
"""Target fraction of its time that an engine spends on prompts (prefill).

While an engine computes a prompt, the tokens of all its other requests come
ten times as slowly. Prompts arrive in bursts and differ a hundredfold in size.
"""

BATCH_FILL_TARGET = 0.35
"""Target fraction of an engine's batch slots in use.

Each further request slows down the tokens of all others.
"""

ON_DEMAND_FRACTION = 0.3
"""On-demand endpoints as a fraction of the required endpoints.

If all reclaimable endpoints are reclaimed at once, the on-demand ones serve
the urgent part of the load until replacements have booted.
"""

ROUNDING = 1e-9
"""Tolerance when parts of endpoints are added up, in endpoints."""


@attrs.frozen
class SizingRules:
    """Rules for the number of endpoints.

    Parameters
    ----------
    prefill_time_target : float
        Target fraction of an engine's time spent on prompts.
    batch_fill_target : float
        Target fraction of an engine's batch slots in use.
    on_demand_fraction : float
        On-demand endpoints as a fraction of the required endpoints.
    reclaimable_fraction : float or None
        Reclaimable endpoints as a fraction of the required endpoints; None
        for as many that the required number remains when those of one
        failure domain are reclaimed.
    """

    prefill_time_target: float = PREFILL_TIME_TARGET
    batch_fill_target: float = BATCH_FILL_TARGET
    on_demand_fraction: float = ON_DEMAND_FRACTION
    reclaimable_fraction: float | None = None

    def count_on_demand(self, need):
        """Return the number of on-demand endpoints for a requirement."""
        return math.ceil(need * self.on_demand_fraction)

    def count_reclaimable(self, need, domains):
        """Return the number of reclaimable endpoints for a requirement.

        Parameters
        ----------
        need : int
            Number of endpoints that the load requires.
        domains : int
            Number of failure domains over which they are spread.
        """
        if self.reclaimable_fraction is not None:
            return math.ceil(need * self.reclaimable_fraction)
        rest = need - self.count_on_demand(need)
        if domains < 2:
            return rest
        return math.ceil(rest * domains / (domains - 1))


@attrs.frozen(order=True)
class Slot:
    """A market in a failure domain, for which endpoints are ordered.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    is_reclaimable : bool
        True for the reclaimable market, False for the on-demand market.
    """

    failure_domain: str
    is_reclaimable: bool


@attrs.frozen
class EndpointCounts:
    """Number of serving and ordered endpoints of a service.

    Parameters
    ----------
    counts : dict
        Slot to the number of endpoints that accept new requests.
    ordered : dict
        Slot to the number ordered last; those above the count are still
        booting.
    lacking : dict
        Slot to the part of the count that its cold endpoints cannot take on
        yet, in endpoints.
    """

    counts: dict = attrs.field(factory=dict)
    ordered: dict = attrs.field(factory=dict)
    lacking: dict = attrs.field(factory=dict)

    @property
    def total(self):
        """Number of warm endpoints that could take on the same load."""
        return self._sum_able(self.counts)

    @property
    def reclaimable(self):
        """The same of the reclaimable endpoints only."""
        return self._sum_able(
            slot for slot in self.counts if slot.is_reclaimable
        )

    def _sum_able(self, slots):
        """Return the endpoints of some slots, rounded down."""
        slots = list(slots)
        count = sum(self.counts[slot] for slot in slots)
        lacking = sum(self.lacking.get(slot, 0.0) for slot in slots)
        return math.floor(count - lacking + ROUNDING)

    def count_committed(self, slot):
        """Return the number of endpoints of a slot, including booting ones."""
        return max(self.counts.get(slot, 0), self.ordered.get(slot, 0))


def compute_required_count(busy, in_flight, slots, rules):
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
    prefill_endpoints = busy / rules.prefill_time_target
    batch_endpoints = in_flight / (max(1, slots) * rules.batch_fill_target)
    return max(1, math.ceil(max(prefill_endpoints, batch_endpoints)))


def compute_cold_part(rate_per_s, hold_s, slots, rules):
    """Return the load that a cold endpoint takes on, as part of a warm one's.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that the cold endpoint accepts.
    hold_s : float
        Time that a request occupies a slot, in seconds.
    slots : int
        Number of requests that the endpoint runs concurrently.
    rules : SizingRules
        The target fractions.

    Returns
    -------
    float
        From 0 to 1.
    """
    warm_load = max(1, slots) * rules.batch_fill_target
    return min(1.0, rate_per_s * hold_s / warm_load)


def choose_counts(need, scaling, present, unavailable, rules):
    """Return the target number of endpoints of each slot.

    Parameters
    ----------
    need : int
        Number of endpoints that the load requires.
    scaling : Scaling
        Bounds and prices.
    present : EndpointCounts
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
    on_demand_count = rules.count_on_demand(need)
    reclaimable_count = rules.count_reclaimable(need, len(domains))
    reclaimable_domains = [
        domain
        for domain in domains
        if scaling.reclaimable_price is not None
        and Slot(domain, True) not in unavailable
    ]
    on_demand_count = max(on_demand_count, need - present.reclaimable)
    on_demand_domains = [
        domain for domain in domains if Slot(domain, False) not in unavailable
    ]
    _add_endpoints(
        wanted,
        on_demand_domains,
        False,
        on_demand_count,
        scaling.max_per_domain,
    )
    _add_endpoints(
        wanted,
        reclaimable_domains,
        True,
        reclaimable_count,
        scaling.max_per_domain,
    )
    _raise_to_min(wanted, domains, reclaimable_domains, scaling.min_per_domain)
    return _limit_shrinking(wanted, domains, present, need)


def _add_endpoints(wanted, domains, is_reclaimable, count, max_per_domain):
    """Add endpoints of a market evenly over domains, the cheapest first.

    `max_per_domain` bounds the endpoints of both markets in one domain.
    """
    for _ in range(count):
        free = [
            domain
            for domain in domains
            if _count_domain(wanted, domain) < max_per_domain
        ]
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


def _raise_to_min(wanted, domains, reclaimable_domains, min_per_domain):
    """Raise each domain to its minimum, with reclaimable ones if possible."""
    for domain in domains:
        missing = min_per_domain - _count_domain(wanted, domain)
        if missing > 0:
            wanted[Slot(domain, domain in reclaimable_domains)] += missing


def _count_domain(wanted, domain):
    """Return the target number of a domain, both markets together."""
    return wanted[Slot(domain, True)] + wanted[Slot(domain, False)]


def _limit_shrinking(wanted, domains, present, need):
    """Return the target numbers, limiting how many endpoints are removed.

    At most the serving endpoints above the requirement are removed.
    """
    result = {}
    spare = present.total - need
    for domain in domains:
        for is_reclaimable in (True, False):
            slot = Slot(domain, is_reclaimable)
            committed = present.count_committed(slot)
            surplus = committed - wanted[slot]
            removed = max(0, min(surplus, spare))
            spare -= removed
            result[slot] = max(wanted[slot], committed - removed)
    return result
