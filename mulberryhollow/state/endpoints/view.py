"""View of all endpoints, built from delayed and incomplete reports."""

import collections
import heapq
import itertools
import random

from mulberryhollow.state.endpoints.backlog import MAX_PLACED_S
from mulberryhollow.state.endpoints.backlog import Placement
from mulberryhollow.state.endpoints.backlog import UsualLoad
from mulberryhollow.state.endpoints.circuit import CircuitState
from mulberryhollow.state.endpoints.group import EndpointGroup
from mulberryhollow.state.endpoints.held import measure_held
from mulberryhollow.state.endpoints.record import EndpointRecord
from mulberryhollow.state.endpoints.record import FailureKind
from mulberryhollow.state.endpoints.record import Work
from mulberryhollow.state.endpoints.room import ServiceRoom
from mulberryhollow.state import evacuations

__all__ = ["EndpointView"]

# Time to keep the leaving mark of an unlisted endpoint, in seconds.
LEAVING_MARK_RETENTION_S = 120.0

# Maximum number of leaving marks, and of draining marks.
MAX_LEAVING_MARKS = 10_000

# Circuit breaker weight of a failure at an endpoint that was reached.
REACHABLE_FAILURE_WEIGHT = 0.5

_EMPTY_GROUP = EndpointGroup()
_NO_LOAD = UsualLoad()


class EndpointView:
    """Load and availability of all endpoints.

    Parameters
    ----------
    rng : random.Random or None
        Source of jitter for the circuit breakers; None for one seeded by 0.

    Notes
    -----
    A leaving mark is kept while the endpoint is listed, whatever its listed
    state, and for ``LEAVING_MARK_RETENTION_S`` after the endpoint has
    disappeared from the list. An outdated list that is read later cannot undo
    the mark.

    Attributes
    ----------
    evacuations : Evacuations
        The evacuated failure domains, whose endpoints get no new work.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random(0)
        self._records = {}
        self._groups = collections.defaultdict(EndpointGroup)
        self._leaving_marks = collections.OrderedDict()
        self._draining_marks = collections.OrderedDict()
        self._domain_marks = {}
        self._loads_by_peer = collections.defaultdict(dict)
        self._schedule = []
        self._brittle_services = {}
        self._work_time_services = set()
        self._peer_work_time_services = set()
        self._ranked_services = frozenset()
        self._placement_ends = []
        self._placements = itertools.count()
        self.evacuations = evacuations.NONE
        self._usual_loads = {}
        self._cold_rates = {}
        self._memory_tokens = {}

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(self._records.values())

    def get(self, endpoint_id):
        """Return the record of an endpoint, or None if it is not listed."""
        return self._records.get(endpoint_id)

    def get_group(self, service, version):
        """Return the available endpoints of one version.

        Parameters
        ----------
        service, version : str
            Names of the service and the version.

        Returns
        -------
        EndpointGroup
            Group that the caller must not modify; empty if no endpoint is
            available.
        """
        return self._groups.get((service, version), _EMPTY_GROUP)

    def apply_list(self, endpoints, now_s):
        """Apply the instance list, which may be outdated.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All listed endpoints.
        now_s : float
            Monotonic time, in seconds.
        """
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in self._records.keys() - listed.keys():
            self._remove_endpoint(endpoint_id)
        for endpoint in listed.values():
            self._apply_listed(endpoint, now_s)
        self._prune_marks(listed, now_s)

    def mark_leaving(self, endpoint_id):
        """Permanently exclude an endpoint from new work.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint, which need not be listed yet.
        """
        _add_mark(self._leaving_marks, endpoint_id)
        record = self._records.get(endpoint_id)
        if record is not None:
            record.is_leaving = True
            self._index(record)

    def is_marked_leaving(self, endpoint_id):
        """Return whether an endpoint, listed or not, is marked as leaving."""
        return endpoint_id in self._leaving_marks

    def admits_send(self, endpoint_id):
        """Return whether a request may still be sent to a chosen endpoint.

        It may not if the endpoint is leaving, draining or no longer listed.
        Any thread may call this: it reads one record, which is replaced or
        changed by single assignments only.
        """
        record = self._records.get(endpoint_id)
        return record is not None and record.is_staying()

    def mark_domain_leaving(self, failure_domain, until_s=None):
        """Permanently exclude a failure domain's endpoints from new work.

        Parameters
        ----------
        failure_domain : str
            Failure domain that received a reclaim notice.
        until_s : float or None
            Endpoints of the domain that are first listed before this
            monotonic time, in seconds, are marked as well. If None, endpoints
            are marked that are first listed while a marked endpoint of the
            domain is still listed.
        """
        members = [
            record.endpoint.id
            for record in self._records.values()
            if record.endpoint.failure_domain == failure_domain
        ]
        self._domain_marks[failure_domain] = until_s
        for endpoint_id in members:
            self.mark_leaving(endpoint_id)

    def set_draining(self, endpoint_id, is_draining, now_s=0.0):
        """Exclude an endpoint from new work, or readmit it.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint, which need not be listed yet.
        is_draining : bool
            True to exclude the endpoint, False to readmit it.
        now_s : float
            Monotonic time, in seconds.
        """
        if is_draining:
            _add_mark(self._draining_marks, endpoint_id, now_s)
        else:
            self._draining_marks.pop(endpoint_id, None)
        record = self._records.get(endpoint_id)
        if record is not None:
            record.is_draining = is_draining
            self._index(record)

    def list_draining(self, until_s):
        """Return the endpoints that drain since a time or longer.

        Parameters
        ----------
        until_s : float
            Monotonic time, in seconds.
        """
        return [
            endpoint_id
            for endpoint_id, since_s in self._draining_marks.items()
            if since_s <= until_s
        ]

    def set_evacuations(self, current):
        """Exclude the endpoints of evacuated domains, readmit the others.

        Parameters
        ----------
        current : Evacuations
            The evacuated failure domains; also applied to endpoints that are
            listed later.
        """
        self.evacuations = current
        for record in self._records.values():
            is_evacuated = current.excludes(record.endpoint)
            if record.is_evacuated != is_evacuated:
                record.is_evacuated = is_evacuated
                self._index(record)

    def pause(self, endpoint_id, until_s):
        """Exclude an endpoint from new work until a time.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        until_s : float
            Monotonic time at which `advance` readmits it, in seconds.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            record.pause(until_s)
            heapq.heappush(self._schedule, (until_s, endpoint_id))
            self._index(record)

    def set_brittle(self, service, rejections):
        """Set whether the endpoints of a service are brittle.

        Parameters
        ----------
        service : str
            The service.
        rejections : int or None
            Rejections in a second above which an endpoint falls over; None
            when the endpoints are not brittle.

        Returns
        -------
        bool
            Whether this is a change.
        """
        if self._brittle_services.get(service) == rejections:
            return False
        if rejections is None:
            del self._brittle_services[service]
        else:
            self._brittle_services[service] = rejections
        return True

    def get_brittle(self, service):
        """Return the rejections that brittle endpoints bear, or None."""
        return self._brittle_services.get(service)

    def set_cold_rates(self, rates_per_s):
        """Set the rates of the cold endpoints.

        Parameters
        ----------
        rates_per_s : dict
            Requests per second that a cold endpoint accepts, by service;
            endpoints of other services have no limit while they are cold.
        """
        self._cold_rates = rates_per_s

    def set_cold_times(self, until_s):
        """Set which endpoints are cold.

        Parameters
        ----------
        until_s : dict
            Monotonic time until which an endpoint is cold, in seconds, by
            endpoint id; the others are warm.
        """
        for endpoint_id, record in self._records.items():
            record.cold_until_s = until_s.get(endpoint_id, float("-inf"))

    def get_cold_limit(self, endpoint_id, now_s):
        """Return the rate of an endpoint that is cold, and for how long.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        tuple of float
            Requests per second from all instances together, and the time for
            which the endpoint remains cold, in seconds; both 0 without a
            limit.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.cold_until_s <= now_s:
            return 0.0, 0.0
        rate_per_s = self._cold_rates.get(record.endpoint.service, 0.0)
        if not rate_per_s:
            return 0.0, 0.0
        return rate_per_s, record.cold_until_s - now_s

    def get_pause_s(self, service, now_s):
        """Return the time until the first pause in a service ends.

        In seconds; 0 when no endpoint of the service is pausing.
        """
        scheduled = (self._records.get(each) for _, each in self._schedule)
        ends = [
            record.paused_until_s
            for record in filter(None, scheduled)
            if record.is_paused and record.endpoint.service == service
        ]
        return max(0.0, min(ends) - now_s) if ends else 0.0

    def measure_room(self, service, now_s, unused=frozenset()):
        """Return the ServiceRoom of a service.

        Parameters
        ----------
        service : str
            The service.
        now_s : float
            Monotonic time, in seconds.
        unused : set of str
            Versions whose endpoints get few requests or none, and so are no
            room.
        """
        self.advance(now_s)
        is_work_based = self.is_work_based(service)
        records = [
            record
            for record in self._records.values()
            if record.endpoint.service == service
            and record.endpoint.version not in unused
            and record.is_available()
        ]
        slots = sum(record.slots for record in records)
        if not is_work_based:
            return ServiceRoom(
                endpoints=len(records),
                slots=slots,
                used_slots=sum(record.load for record in records),
                speed=float(len(records)),
            )
        held = measure_held(records, now_s)
        memory_tokens = self._memory_tokens.get(service, 0.0)
        return ServiceRoom(
            endpoints=len(records),
            slots=slots,
            used_slots=held.requests,
            memory_tokens=memory_tokens * len(records),
            used_memory_tokens=held.memory_tokens if memory_tokens else 0.0,
            speed=sum(1.0 / record.slowness for record in records),
            backlog_s=held.remaining_s,
            age_s=max(
                (
                    now_s - record.backlog.others_s
                    for record in records
                    if record.backlog.mean_others is not None
                ),
                default=0.0,
            ),
            is_work_based=True,
        )

    def is_work_based(self, service):
        """Return whether requests to a service are placed by their work.

        They are once an endpoint has reported its work time, to this
        instance or a peer, and where requests are ordered by urgency.
        """
        return (
            service in self._work_time_services
            or service in self._peer_work_time_services
            or service in self._ranked_services
        )

    def set_ranked_services(self, services):
        """Set the services whose requests are ordered by urgency."""
        self._ranked_services = frozenset(services)

    @property
    def has_work_based_services(self):
        """Whether requests to some service are placed by their work."""
        return bool(
            self._work_time_services
            or self._peer_work_time_services
            or self._ranked_services
        )

    def list_work_time_services(self):
        """Return the services whose work time this instance has seen."""
        return sorted(self._work_time_services)

    def add_peer_work_time(self, services):
        """Add services whose work time other instances have seen."""
        self._peer_work_time_services.update(services)

    def report_load(
        self,
        endpoint_id,
        running,
        queued,
        slots,
        age_s,
        now_s,
        work_time=None,
    ):
        """Apply a load report, unless a later one is known.

        Parameters
        ----------
        endpoint_id : str
            Id of the reporting endpoint.
        running, queued, slots : int
            Reported load, in requests.
        age_s : float
            Age of the measurement on arrival, in seconds.
        now_s : float
            Monotonic time, in seconds.
        work_time : float or None
            Reported work time, relative to the usual one; None for none.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        if work_time is not None:
            self._work_time_services.add(record.endpoint.service)
            record.work_time.observe(work_time, now_s - age_s)
        if record.report(running, queued, slots, now_s - age_s):
            record.backlog.observe_others(
                running + queued - record.local_reported,
                now_s - age_s,
                record.local_load,
            )
            self._index(record)

    def set_versions(self, endpoint_id, versions):
        """Set the versions that an endpoint has loaded.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        versions : tuple of str
            Loaded versions; empty if the endpoint does not report them.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.loaded == versions:
            return
        self._remove_from_groups(record)
        record.loaded = versions
        self._index(record)

    def start(self, endpoint_id, cost, now_s, hold_s=0.0, memory_tokens=0.0):
        """Count a request as sent to an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        cost : float
            Expected time to process the prompt (prefill), in seconds, as in
            `Chosen.cost`.
        now_s : float
            Monotonic time, in seconds.
        hold_s : float
            Time that the request is expected to stay there, in seconds.
        memory_tokens : float
            Expected use of the endpoint's memory, in tokens.

        Returns
        -------
        Work
            Handle to be passed to `finish` when the request ends.
        """
        self.advance(now_s)
        work = Work(endpoint_id, cost, now_s, hold_s, memory_tokens)
        record = self._records.get(endpoint_id)
        if record is not None:
            record.start(work)
            if record.circuit.state is CircuitState.HALF_OPEN:
                record.circuit.probe = work
            self._index(record)
        return work

    def finish(self, work, now_s):
        """Count a request as ended, whatever its outcome.

        Parameters
        ----------
        work : Work
            Handle returned by `start`; a second call has no effect.
        now_s : float
            Monotonic time, in seconds.
        """
        record = self._records.get(work.endpoint_id)
        if record is None or not record.finish(work, now_s):
            return
        for group in self._list_record_groups(record):
            group.record_hold_time(now_s - work.started_at_s)
        if record.circuit.probe is work:
            record.circuit.probe = None
        self._index(record)

    def withdraw(self, work):
        """Take back a request that was counted as sent and was not.

        Parameters
        ----------
        work : Work
            Handle returned by `start`.
        """
        record = self._records.get(work.endpoint_id)
        if record is None or not record.withdraw(work):
            return
        if record.circuit.probe is work:
            record.circuit.probe = None
        self._index(record)

    def set_peer_load(self, node, endpoint_id, amount):
        """Set the load that a peer has in flight at an endpoint.

        Parameters
        ----------
        node : str
            Name of the peer.
        endpoint_id : str
            Id of the endpoint.
        amount : float
            Local load of the peer at the endpoint, in requests.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        amounts = self._loads_by_peer[node]
        record.peer_load += amount - amounts.pop(endpoint_id, 0.0)
        if amount:
            amounts[endpoint_id] = amount
        self._index(record)

    def set_peer_loads(self, node, loads, measured_s):
        """Set the load that a peer has in flight at all endpoints.

        Parameters
        ----------
        node : str
            Name of the peer, or of the total of all peers.
        loads : dict
            Endpoint id to the peer's local load there, in requests; 0 where
            it is missing.
        measured_s : float
            Monotonic time at which the loads were counted, in seconds.
        """
        counted = collections.defaultdict(list)
        for endpoint_id, record in self._records.items():
            self.set_peer_load(node, endpoint_id, loads.get(endpoint_id, 0))
            service = record.endpoint.service
            if self.is_work_based(service):
                if record.listed_s <= measured_s:
                    record.backlog.observe_others(
                        record.peer_load, measured_s, record.local_load
                    )
                if record.is_available():
                    counted[service].append(record)
        self._usual_loads = {
            service: _average_load(records)
            for service, records in counted.items()
        }

    def set_memory(self, memory_tokens):
        """Set the memory of an endpoint, in tokens, by service."""
        self._memory_tokens = dict(memory_tokens)

    def get_usual_load(self, service):
        """Return the UsualLoad of a service."""
        return self._usual_loads.get(service, _NO_LOAD)

    def add_placement(self, endpoint_id, hold_s, now_s, memory_tokens=0.0):
        """Count a request that a peer sends where this instance placed it.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        hold_s : float
            Time that the request is expected to stay there, in seconds.
        now_s : float
            Monotonic time, in seconds.
        memory_tokens : float
            Expected use of the endpoint's memory, in tokens.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        end_s = now_s + min(hold_s, MAX_PLACED_S)
        placement = Placement(endpoint_id, now_s, end_s, memory_tokens)
        record.backlog.add(placement)
        entry = end_s, next(self._placements), placement
        heapq.heappush(self._placement_ends, entry)

    def withdraw_placement(self, endpoint_id):
        """Take back the latest placement at an endpoint."""
        record = self._records.get(endpoint_id)
        if record is not None:
            record.backlog.withdraw()

    def expire_reports(self, before_s):
        """Discard outdated load reports.

        Parameters
        ----------
        before_s : float
            Monotonic time, in seconds. Reports measured before this time are
            discarded, so that only the local load and the load reported by
            peers count.
        """
        for record in self._records.values():
            if record.measured_at_s < before_s and record.expire_report():
                self._index(record)

    def add_peer_prompt(self, endpoint_id, cost, now_s):
        """Count a prompt that a peer has sent to an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        cost : float
            Expected time to process the prompt (prefill), in seconds.
        now_s : float
            Monotonic time, in seconds.
        """
        record = self._records.get(endpoint_id)
        if record is not None:
            record.add_prompt(cost, now_s)

    def drop_peer(self, node):
        """Remove the load of a peer that has left."""
        for endpoint_id in list(self._loads_by_peer.pop(node, {})):
            record = self._records.get(endpoint_id)
            record.peer_load = sum(
                amounts.get(endpoint_id, 0.0)
                for amounts in self._loads_by_peer.values()
            )
            self._index(record)

    def get_local_load(self, endpoint_id):
        """Return the local load in flight at an endpoint, in requests."""
        record = self._records.get(endpoint_id)
        return 0 if record is None else record.local_load

    def list_local_loads(self):
        """Return the nonzero local loads in flight, by endpoint id."""
        return {
            name: record.local_load
            for name, record in self._records.items()
            if record.local_load
        }

    def record_failure(self, endpoint_id, kind, now_s, is_quarantined=False):
        """Count a request failure against its endpoint.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint that the request was sent to.
        kind : FailureKind
            Observed kind of failure.
        now_s : float
            Monotonic time, in seconds.
        is_quarantined : bool
            Whether the request is quarantined, in which case a crash is not
            counted against the endpoint.
        """
        self.advance(now_s)
        record = self._records.get(endpoint_id)
        weight = _get_failure_weight(kind, is_quarantined)
        if record is None or not weight:
            return
        record.record_failure(now_s)
        record.circuit.record_failure(weight, now_s, self._rng)
        if record.circuit.state is CircuitState.OPEN:
            entry = record.circuit.open_until_s, endpoint_id
            heapq.heappush(self._schedule, entry)
        self._index(record)

    def record_success(self, endpoint_id):
        """Count a successful answer and close the endpoint's circuit."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.record_success()
        was_closed = record.circuit.state is CircuitState.CLOSED
        record.circuit.record_success()
        if not was_closed:
            self._index(record)

    def close_circuits(self, service):
        """Close the circuits of a service that is reached again."""
        for record in self._records.values():
            is_open = record.circuit.state is not CircuitState.CLOSED
            if record.endpoint.service == service and is_open:
                record.circuit.record_success()
                self._index(record)

    def advance(self, now_s):
        """End what has passed: openings, pauses and placements."""
        ends = self._placement_ends
        while ends and ends[0][0] <= now_s:
            placement = heapq.heappop(ends)[-1]
            record = self._records.get(placement.endpoint_id)
            if record is not None:
                record.backlog.end(placement)
        while self._schedule and self._schedule[0][0] <= now_s:
            _, endpoint_id = heapq.heappop(self._schedule)
            record = self._records.get(endpoint_id)
            if record is not None:
                record.circuit.advance(now_s)
                record.resume(now_s)
                self._index(record)

    def _apply_listed(self, endpoint, now_s):
        """Add or update one listed endpoint."""
        record = self._records.get(endpoint.id)
        if record is None:
            is_draining = endpoint.id in self._draining_marks
            record = EndpointRecord(
                endpoint, is_draining=is_draining, listed_s=now_s
            )
            self._records[endpoint.id] = record
            self._mark_by_domain(endpoint, now_s)
        elif record.endpoint != endpoint:
            self._remove_from_groups(record)
            record.endpoint = endpoint
        if endpoint.state != "live":
            self.mark_leaving(endpoint.id)
        if endpoint.id in self._leaving_marks:
            self._leaving_marks[endpoint.id] = None
            record.is_leaving = True
        record.is_evacuated = self.evacuations.excludes(endpoint)
        self._index(record)

    def _mark_by_domain(self, endpoint, now_s):
        """Mark a newly listed endpoint if its domain is marked as leaving."""
        domain = endpoint.failure_domain
        if domain not in self._domain_marks:
            return
        until_s = self._domain_marks[domain]
        if until_s is None or now_s < until_s:
            self.mark_leaving(endpoint.id)

    def _prune_marks(self, listed, now_s):
        """Delete marks whose endpoints left the list long enough ago."""
        for endpoint_id, gone_at_s in list(self._leaving_marks.items()):
            if endpoint_id in listed:
                continue
            if gone_at_s is None:
                self._leaving_marks[endpoint_id] = now_s
            elif now_s - gone_at_s > LEAVING_MARK_RETENTION_S:
                del self._leaving_marks[endpoint_id]
        marked_domains = {
            listed[endpoint_id].failure_domain
            for endpoint_id in self._leaving_marks
            if endpoint_id in listed
        }
        self._domain_marks = {
            domain: until_s
            for domain, until_s in self._domain_marks.items()
            if _is_mark_needed(domain, until_s, marked_domains, now_s)
        }

    def _remove_endpoint(self, endpoint_id):
        """Remove an endpoint that is no longer listed."""
        record = self._records.pop(endpoint_id)
        self._remove_from_groups(record)
        for amounts in self._loads_by_peer.values():
            amounts.pop(endpoint_id, None)

    def _list_record_groups(self, record):
        """Return the groups of the versions that a record can run."""
        service = record.endpoint.service
        return [self._groups[service, each] for each in record.versions]

    def _remove_from_groups(self, record):
        """Remove a record from all its groups."""
        for group in self._list_record_groups(record):
            group.remove(record.endpoint.id)

    def _index(self, record):
        """Update the record's load estimate and its groups."""
        record.update_load()
        record.stamp += 1
        if not record.is_available():
            self._remove_from_groups(record)
            return
        for group in self._list_record_groups(record):
            group.add(record)


def _add_mark(marks, endpoint_id, since_s=None):
    """Add the mark of an endpoint; drop the earliest of too many."""
    marks[endpoint_id] = since_s
    marks.move_to_end(endpoint_id)
    while len(marks) > MAX_LEAVING_MARKS:
        marks.popitem(last=False)


def _average_load(records):
    """Return the UsualLoad of the endpoints of a service."""
    backlogs = [record.backlog for record in records]
    return UsualLoad(
        sum(backlog.mean_own for backlog in backlogs) / len(backlogs),
        sum(backlog.mean_others or 0.0 for backlog in backlogs)
        / len(backlogs),
    )


def _get_failure_weight(kind, is_quarantined):
    """Return the circuit breaker weight of a failure."""
    match kind:
        case FailureKind.CONNECT_FAILED | FailureKind.SILENT_FRESH:
            return 1.0
        case FailureKind.CRASHED:
            return 0.0 if is_quarantined else 1.0
        case FailureKind.SILENT_POOLED | FailureKind.REFUSED:
            return 0.0
        case _:
            return REACHABLE_FAILURE_WEIGHT


def _is_mark_needed(domain, until_s, marked_domains, now_s):
    """Return whether the mark of a failure domain must be kept."""
    if until_s is None:
        return domain in marked_domains
    return now_s < until_s
