"""Scales the endpoints to the load of all instances, as a duty."""

import collections
import logging
import math

import attrs

from mulberryhollow.coordination import capacity
from mulberryhollow import events
from mulberryhollow.state import evacuations
from mulberryhollow.state import objects

__all__ = ["EndpointScaler", "Order"]

EVALUATION_INTERVAL_S = 1.0
"""Minimum time between two evaluations of the load, in seconds."""

REFUSAL_BACKOFF_S = 3.0
"""Time after which a refused order is retried, in seconds.

Until reclaimable endpoints can be had again, on-demand ones take their place.
"""

REPEAT_INTERVAL_S = 8.0
"""Time after which an unfulfilled order is repeated, in seconds.

An engine takes some seconds to boot, and an order may be lost on its way.
"""

NEED_WINDOW_S = 8.0
"""Length of the window over which the maximum need is taken, in seconds.

Longer than an engine takes to boot, so that a short dip in the load
releases no endpoint that would have to be ordered again.
"""

OBSERVATION_S = 6.0
"""Time from the first observed load until endpoints are released, in seconds.

Before that the load may be underestimated. Further endpoints are ordered at
once, since reclaimable ones may not be available later.
"""

NEED_CHANGED = events.declare(
    8122, logging.INFO, "the load requires a different number of endpoints"
)
ORDERED = events.declare(
    8120, logging.INFO, "a number of endpoints was ordered"
)
ORDER_REFUSED = events.declare(
    8121,
    logging.WARNING,
    "the platform did not accept an order; the order is retried",
    "check the platform's API if this repeats for on-demand endpoints",
)


@attrs.frozen
class Order:
    """The desired number of endpoints of one market in a failure domain.

    Parameters
    ----------
    service : str
        Service of the endpoints.
    failure_domain : str
        The failure domain.
    count : int
        Desired number of endpoints, including those that run already.
    is_reclaimable : bool
        Whether the platform may reclaim the endpoints; otherwise they are
        on-demand ones.
    """

    service: str
    failure_domain: str
    count: int
    is_reclaimable: bool


@attrs.define
class _ServiceState:
    """Scaling state of one service.

    Parameters
    ----------
    recent_needs : collections.deque
        Time and need of each evaluation within NEED_WINDOW_S.
    ordered : dict
        Slot to the count of its latest accepted order and its time.
    refused_s : dict
        Slot to the time of its latest refused order.
    first_load_s : float
        Time of the first observed load; infinite before it.
    need : int
        Need that was logged last, in endpoints.

    Notes
    -----
    All times are monotonic, in seconds.
    """

    recent_needs: collections.deque = attrs.field(factory=collections.deque)
    ordered: dict = attrs.field(factory=dict)
    refused_s: dict = attrs.field(factory=dict)
    first_load_s: float = math.inf
    need: int = 0


class EndpointScaler:
    """Scales the number of endpoints to the load, as a duty.

    Parameters
    ----------
    dispatcher : Dispatcher
        Source of the load of all instances.
    cloud : object
        ``order(fence, order)`` places an order.
    clock : Clock
        Source of time.
    get_services : callable
        Returns the ServiceSpec of each service by name.
    get_listings : callable
        Returns every EndpointListing in use.
    rules : SizingRules or None
        Sizing rules; the defaults if None.
    get_evacuations : callable
        Returns the current `Evacuations`. An evacuated failure domain counts
        as one without endpoints, and nothing is ordered or released there.
    get_moving : callable
        Returns the services whose version is being moved. The endpoints of
        the new version run beside the others and would look like too many,
        so nothing is ordered or released for such a service.
    """

    def __init__(
        self,
        dispatcher,
        cloud,
        clock,
        get_services,
        get_listings,
        rules=None,
        get_evacuations=lambda: evacuations.NONE,
        get_moving=frozenset,
    ):
        self._dispatcher = dispatcher
        self._cloud = cloud
        self._clock = clock
        self._get_services = get_services
        self._get_listings = get_listings
        self._get_evacuations = get_evacuations
        self._get_moving = get_moving
        self._rules = rules or capacity.SizingRules()
        self._services = collections.defaultdict(_ServiceState)
        self._evaluated_s = -math.inf

    def begin(self):
        """Reset the scaling state after the lease was acquired.

        Another instance may have ordered endpoints in the meantime.
        """
        self._services.clear()

    def work(self, fence, is_held):
        """Order the endpoints that the load requires.

        Parameters
        ----------
        fence : int
            Fencing token of the lease.
        is_held : callable
            Returns whether this instance still holds the lease.
        """
        now_s = self._clock.now_s()
        if now_s - self._evaluated_s < EVALUATION_INTERVAL_S:
            return
        self._evaluated_s = now_s
        loads = self._dispatcher.read(_read_loads)
        moving = self._get_moving()
        for name, spec in self._get_services().items():
            if spec.scaling is None or name in moving:
                continue
            load = loads.get(name, _Load())
            for order in self._plan(name, spec, load, now_s):
                if not is_held():
                    return
                self._place(fence, order, now_s)

    def _plan(self, name, spec, load, now_s):
        """Return the orders that are due for one service."""
        service = self._services[name]
        slots = spec.model.slots if spec.model else 1
        need = capacity.compute_required_count(
            load.busy, load.in_flight, slots, self._rules
        )
        if load.in_flight and service.first_load_s is math.inf:
            service.first_load_s = now_s
        if service.first_load_s is math.inf:
            return []
        may_release = now_s - service.first_load_s >= OBSERVATION_S
        need = _update_peak_need(service.recent_needs, need, now_s)
        evacuated = self._get_evacuations()
        present = self._count_present(
            name,
            service,
            evacuated,
            _measure_cold_part(spec, load, self._rules),
        )
        if need != service.need:
            service.need = need
            events.log(
                NEED_CHANGED,
                service=name,
                need=need,
                serving=present.total,
                busy=round(load.busy, 3),
                in_flight=round(load.in_flight, 1),
            )
        unavailable = {
            slot
            for slot, refused_s in service.refused_s.items()
            if now_s - refused_s < REFUSAL_BACKOFF_S
        }
        wanted = capacity.choose_counts(
            need,
            _exclude_domains(spec.scaling, evacuated),
            present,
            unavailable,
            self._rules,
        )
        return [
            Order(name, slot.failure_domain, count, slot.is_reclaimable)
            for slot, count in sorted(wanted.items())
            if slot not in unavailable
            and (may_release or count > present.count_committed(slot))
            and self._is_due(service, slot, count, present, now_s)
        ]

    def _count_present(self, name, service, evacuated, cold_part):
        """Return the counts of a service's endpoints, serving and ordered.

        Endpoints that are leaving or in evacuated domains do not count as
        serving; cold ones count by the load that they take on.
        """
        serving = [
            each
            for each in self._get_listings()
            if each.service == name
            and not (each.is_leaving or evacuated.excludes(each))
        ]
        cold = self._dispatcher.read(_list_cold)
        counts = collections.Counter(map(_get_slot, serving))
        lacking = collections.Counter()
        for each in serving:
            if each.key in cold:
                lacking[_get_slot(each)] += 1.0 - cold_part
        ordered = {slot: count for slot, (count, _) in service.ordered.items()}
        return capacity.EndpointCounts(dict(counts), ordered, dict(lacking))

    @staticmethod
    def _is_due(service, slot, count, present, now_s):
        """Return whether a count has to be ordered, or ordered again."""
        present_count = present.counts.get(slot, 0)
        ordered, at_s = service.ordered.get(slot, (present_count, -math.inf))
        if count != ordered:
            return True
        return count != present_count and now_s - at_s >= REPEAT_INTERVAL_S

    def _place(self, fence, order, now_s):
        """Place one order and record its outcome."""
        service = self._services[order.service]
        slot = capacity.Slot(order.failure_domain, order.is_reclaimable)
        outcome = self._cloud.order(fence, order)
        fields = attrs.asdict(order) | {"fence": fence}
        if isinstance(outcome, objects.WriteApplied):
            service.ordered[slot] = order.count, now_s
            service.refused_s.pop(slot, None)
            events.log(ORDERED, **fields)
            return
        service.ordered.pop(slot, None)
        service.refused_s[slot] = now_s
        events.log(ORDER_REFUSED, reason=str(outcome), **fields)


@attrs.frozen
class _Load:
    """Load of one service over all instances.

    Parameters
    ----------
    busy : float
        Engine time that prompts take, in seconds per second.
    in_flight : float
        Requests in flight at the service's endpoints.
    hold_s : float
        Time that a request occupies a slot, in seconds; 0 if not known.
    """

    busy: float = 0.0
    in_flight: float = 0.0
    hold_s: float = 0.0


def _exclude_domains(scaling, evacuated):
    """Return a Scaling without the evacuated failure domains."""
    prices = scaling.domain_prices
    remaining = evacuated.list_remaining(prices)
    return attrs.evolve(
        scaling, domain_prices={each: prices[each] for each in remaining}
    )


def _update_peak_need(recent_needs, need, now_s):
    """Add a need and return the highest one of the last NEED_WINDOW_S."""
    recent_needs.append((now_s, need))
    while recent_needs[0][0] < now_s - NEED_WINDOW_S:
        recent_needs.popleft()
    return max(each for _, each in recent_needs)


def _get_slot(listing):
    """Return the Slot that a listed endpoint belongs to."""
    return capacity.Slot(listing.failure_domain, listing.is_reclaimable)


def _measure_cold_part(spec, load, rules):
    """Return the load that a cold endpoint takes on, as part of a warm one's.

    The whole load if the service limits its cold endpoints in no way.
    """
    if spec.cold_start is None:
        return 1.0
    return capacity.compute_cold_part(
        spec.cold_start.rate_per_s,
        load.hold_s,
        spec.model.slots if spec.model else 1,
        rules,
    )


def _list_cold(actor, now_s):
    """Return the ids of the cold endpoints whose requests are limited.

    Runs in the dispatch actor.
    """
    return {
        record.endpoint.id
        for record in actor.view
        if actor.view.get_cold_limit(record.endpoint.id, now_s)[0]
    }


def _read_loads(actor, now_s):
    """Return the _Load of each service.

    Runs in the dispatch actor.
    """
    in_flight = collections.Counter()
    hold_s = {}
    for record in actor.view:
        service = record.endpoint.service
        in_flight[service] += record.load
        group = actor.view.get_group(service, record.endpoint.version)
        hold_s[service] = max(hold_s.get(service, 0.0), group.hold_s or 0.0)
    busy = actor.work.sum_all(now_s)
    return {
        service: _Load(busy.get(service, 0.0), amount, hold_s[service])
        for service, amount in in_flight.items()
    }
