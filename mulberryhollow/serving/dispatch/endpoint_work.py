"""Endpoints of the dispatcher: their load, the work and the choice."""

import logging

import attrs

from mulberryhollow.coordination.admission import demand
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import work
from mulberryhollow import events
from mulberryhollow.serving import attempts
from mulberryhollow.serving import shares as version_shares
from mulberryhollow.state import endpoints
from mulberryhollow.state import prefixes
from mulberryhollow.state import regions

__all__ = [
    "Choose",
    "EndpointMessage",
    "EndpointWork",
    "Place",
    "ReportBrittle",
    "ReportFirstToken",
    "ReportLeaving",
    "ReportLoad",
    "ReportPause",
    "ReportRate",
    "ReportServed",
    "Withdraw",
]


WORK_DECAY_S = 5.0
"""Decay time of the smoothed compute demand of a service, in seconds.

About the boot time of an engine, so that scaling orders follow the load
and not single prompts.
"""

NO_ENDPOINT = events.declare(
    4003,
    logging.WARNING,
    "no endpoint of a service accepts new requests",
    "check the listed endpoints and the capacity plan",
)
SAID_LEAVING = events.declare(
    4015, logging.INFO, "an endpoint says in an answer that it leaves"
)
PAUSED = events.declare(
    4016, logging.INFO, "an endpoint asks for a pause and gets no requests"
)
RATE_LIMITED = events.declare(
    4017, logging.INFO, "the rate limit that an endpoint names has changed"
)
BRITTLE = events.declare(
    4019,
    logging.WARNING,
    "the endpoints of a service began or ceased to be brittle",
    "check why the service's endpoints fall over when they are full",
)


@attrs.frozen
class EndpointMessage:
    """A message about endpoints to the dispatcher's actor."""


@attrs.frozen
class Choose(EndpointMessage):
    """Choose the endpoint of an attempt and count its work there."""

    request: routing.RouteRequest
    excluded: frozenset
    keeps_version: bool


@attrs.frozen
class Place(EndpointMessage):
    """Choose the endpoint of a request that a peer sends."""

    request: routing.RouteRequest


@attrs.frozen
class Withdraw(EndpointMessage):
    """Take back a chosen endpoint to which nothing was sent."""

    route: attempts.Route


@attrs.frozen
class ReportFirstToken(EndpointMessage):
    """Learn from the time to the first token of an attempt."""

    route: attempts.Route
    first_s: float


@attrs.frozen
class ReportLeaving(EndpointMessage):
    """Mark an endpoint as leaving."""

    endpoint_id: str
    on_leaving: object


@attrs.frozen
class ReportPause(EndpointMessage):
    """Leave an endpoint alone for some seconds."""

    endpoint_id: str
    pause_s: float


@attrs.frozen
class ReportBrittle(EndpointMessage):
    """Store whether the endpoints of a service are brittle."""

    service: str
    rejections: int | None


@attrs.frozen
class ReportRate(EndpointMessage):
    """Store the rate limit that an endpoint names."""

    endpoint_id: str
    rate_per_s: float | None


@attrs.frozen
class ReportLoad(EndpointMessage):
    """Store the load that an endpoint reports."""

    route: attempts.Route
    load: object


@attrs.frozen
class ReportServed(EndpointMessage):
    """Learn from an answer that has been received in full."""

    route: attempts.Route
    times: attempts.AnswerTimes


class EndpointWork:
    """Load of the endpoints, the work on them and the choice among them.

    Changed only in the thread of the actor that owns it.

    Parameters
    ----------
    rng : random.Random
        Source of the endpoint samples.

    Attributes
    ----------
    view : EndpointView
        Load and availability of the endpoints.
    prefixes : PrefixIndex
        Prompt prefixes that the endpoints have cached.
    router : Router
        Chooses the endpoint of each attempt.
    shares : VersionShares
        Traffic shares of the versions of each service.
    endpoint_rates : EndpointRateTable
        Permits by rate for the endpoints that this instance owns.
    endpoint_rooms : EndpointRoomTable
        Permits by room for those of them that are brittle.
    work : DemandTable
        Smoothed compute demand of each service.
    region_map : RegionMap
        Region of each failure domain, for requests with allowed regions.
    """

    def __init__(self, rng):
        self.view = endpoints.EndpointView(rng)
        self.prefixes = prefixes.PrefixIndex()
        self.router = routing.Router(rng=rng)
        self.shares = version_shares.VersionShares()
        self.endpoint_rates = limits.EndpointRateTable()
        self.endpoint_rooms = limits.EndpointRoomTable()
        self.work = demand.DemandTable(WORK_DECAY_S)
        self.region_map = regions.RegionMap()

    def handle(self, message, now_s, on_rate_changed):
        """Process one EndpointMessage and return its result.

        Parameters
        ----------
        message : EndpointMessage
            The message.
        now_s : float
            Monotonic time, in seconds.
        on_rate_changed : callable
            Called with the id of an endpoint and its new rate limit, or
            None, when an answer shows a change.
        """
        match message:
            case Choose():
                return self._choose(message, now_s)
            case Place(request):
                return self._place(request, now_s)
            case ReportFirstToken(route, first_s):
                chosen = route.chosen
                self.router.learn(
                    route.service,
                    chosen.cached_tokens + chosen.computed_tokens,
                    chosen.computed_tokens,
                    first_s,
                )
            case ReportServed(route, times):
                self._learn_served(route, times, now_s)
            case ReportLeaving(endpoint_id, on_leaving):
                self._report_leaving(endpoint_id, on_leaving)
            case ReportPause(endpoint_id, pause_s):
                self.view.pause(endpoint_id, now_s + pause_s)
                events.log(PAUSED, endpoint=endpoint_id, pause_s=pause_s)
            case ReportRate(endpoint_id, rate_per_s):
                if self.observe_rate(endpoint_id, rate_per_s, now_s):
                    on_rate_changed(endpoint_id, rate_per_s)
            case ReportBrittle(service, rejections):
                if self.view.set_brittle(service, rejections):
                    events.log(BRITTLE, service=service, rejections=rejections)
            case Withdraw(route):
                self.view.withdraw(route.work)
                self.work.add(route.service, -route.chosen.demand_s, now_s)
            case ReportLoad(route, load):
                self.view.report_load(
                    route.endpoint_id,
                    load.running,
                    load.queued,
                    load.slots,
                    0.0,
                    now_s,
                    load.work_time,
                )

    def _choose(self, message, now_s):
        """Return a Route or the Refusal."""
        shares = self.shares.get(message.request.service)
        if message.excluded and not message.keeps_version:
            shares = _select_main_version(shares)
        request = attrs.evolve(message.request, version_shares=shares)
        result = self._select(request, now_s, message.excluded)
        match result:
            case routing.NoEndpoint(refusal):
                self._log_no_endpoint(request)
                if not self._has_allowed_endpoint(request):
                    return routing.refuse_no_region(request)
                return refusal
        started = self.view.start(
            result.endpoint_id,
            result.cost,
            now_s,
            result.hold_s,
            result.memory_tokens,
        )
        self.work.add(request.service, result.demand_s, now_s)
        return attempts.Route(
            result, started, request.service, request.request_class
        )

    def _place(self, request, now_s):
        """Return the Chosen or NoEndpoint for the request of a peer."""
        shares = self.shares.get(request.service)
        request = attrs.evolve(request, version_shares=shares)
        result = self._select(request, now_s)
        match result:
            case routing.Chosen(endpoint_id=endpoint_id, compute_s=compute_s):
                self.view.add_peer_prompt(endpoint_id, compute_s, now_s)
                if result.hold_s:
                    self.view.add_placement(
                        endpoint_id,
                        result.hold_s,
                        now_s,
                        result.memory_tokens,
                    )
        return result

    def _select(self, request, now_s, excluded=frozenset()):
        """Return Chosen, whose prompt counts as cached, or NoEndpoint."""
        excluded = excluded | self._list_disallowed(request)
        result = self.router.choose(
            request, self.view, self.prefixes, now_s, excluded
        )
        match result:
            case routing.Chosen(hashes=hashes) if hashes:
                self.prefixes.insert(result.endpoint_id, hashes)
        return result

    def _list_disallowed(self, request):
        """Return the ids of the endpoints outside the allowed regions."""
        allowed = request.allowed_regions
        if allowed is None:
            return frozenset()
        return frozenset(
            record.endpoint.id
            for record in self.view
            if record.endpoint.service == request.service
            and not self.region_map.admits(allowed, record.endpoint)
        )

    def _has_allowed_endpoint(self, request):
        """Return whether an endpoint is listed in an allowed region."""
        allowed = request.allowed_regions
        return allowed is None or any(
            self.region_map.admits(allowed, record.endpoint)
            for record in self.view
            if record.endpoint.service == request.service
        )

    def _learn_served(self, route, times, now_s):
        """Learn the costs of a request and the speed of its endpoint."""
        chosen = route.chosen
        record = self.view.get(route.endpoint_id)
        if chosen.features is None or record is None:
            return
        batch, wait_s = chosen.load + 1.0, chosen.wait_s
        if times.load is not None:
            batch = max(1.0, times.load.running)
            queue_s = chosen.hold_s - chosen.wait_s
            wait_s = queue_s * times.load.queued / record.slots
            if chosen.features.prompt_tokens:
                wait_s = max(wait_s, chosen.wait_s)
        self.router.estimator.observe(
            route.endpoint_id,
            work.Served(
                chosen.features,
                times.first_s,
                times.gap_s,
                times.events,
                times.total_s,
                min(batch, record.slots),
                wait_s,
                1.0 < batch >= record.slots,
                chosen.hold_s,
            ),
            record.slowness,
            now_s,
        )

    def _log_no_endpoint(self, request):
        """Log the state of a service whose endpoints accept no requests."""
        records = [
            record
            for record in self.view
            if record.endpoint.service == request.service
        ]
        events.log(
            NO_ENDPOINT,
            service=request.service,
            shares=request.version_shares,
            listed=len(records),
            leaving=sum(record.is_leaving for record in records),
            evacuated=sum(record.is_evacuated for record in records),
            regions=_list_regions(request),
            circuits=[record.circuit.state.value for record in records],
        )

    def set_region_map(self, region_map):
        """Set the `RegionMap` by which allowed regions are enforced."""
        self.region_map = region_map

    def _report_leaving(self, endpoint_id, on_leaving):
        """Mark an endpoint as leaving; call a function the first time.

        The endpoint need not be listed: its entry may be back later.
        """
        if self.view.is_marked_leaving(endpoint_id):
            return
        self.view.mark_leaving(endpoint_id)
        events.log(SAID_LEAVING, endpoint=endpoint_id)
        on_leaving(endpoint_id)

    def observe_rate(self, endpoint_id, rate_per_s, observed_s):
        """Store the rate limit of an endpoint; return whether it changed.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        rate_per_s : float or None
            Requests per second that it takes; None when it names no limit.
        observed_s : float
            Monotonic time of the answer that told so, in seconds.
        """
        record = self.view.get(endpoint_id)
        if record is None or not record.observe_rate(rate_per_s, observed_s):
            return False
        events.log(RATE_LIMITED, endpoint=endpoint_id, rate_per_s=rate_per_s)
        return True


def _list_regions(request):
    """Return the allowed regions of a request for a log line, or None."""
    allowed = request.allowed_regions
    return None if allowed is None else sorted(allowed)


def _select_main_version(shares):
    """Return the shares for a retry: only the version with the largest share.

    Retries avoid a version that is still being rolled out, since it may
    be the cause of the failure.
    """
    if not shares:
        return shares
    return {max(sorted(shares), key=shares.get): 1.0}
