"""Record of one endpoint: its listing, load estimate and failures."""

import collections
import enum
import itertools
import math

import attrs

from mulberryhollow.state.endpoints.backlog import Backlog
from mulberryhollow.state.endpoints.circuit import Circuit
from mulberryhollow.state.endpoints.work_time import WorkTime

__all__ = ["Endpoint", "EndpointRecord", "FailureKind", "Work"]

# Number of finished requests kept to interpret late load reports.
MAX_FINISHED_KEPT = 256

FAILURE_SMOOTHING = 0.1
"""Weight of the latest answer in the smoothed failure rate."""

FAILURE_DECAY_S = 5.0
"""Time constant of the failure rate's exponential decay, in seconds.

The rate decays to about a third in this time without failures. That is long
enough to outlast a burst of retries and short enough for a recovered endpoint
to be used again within one window of the retry budget.
"""


class FailureKind(enum.Enum):
    """Kind of a request failure, as observed by the sending node.

    Notes
    -----
    Only ``CONNECT_FAILED`` and ``REFUSED`` guarantee that the request was
    not executed.
    """

    CONNECT_FAILED = "connect failed"
    SILENT_POOLED = "silent pooled connection"
    SILENT_FRESH = "silent fresh connection"
    CONNECTION_LOST = "connection lost"
    CRASHED = "endpoint crashed"
    REFUSED = "endpoint refused"
    FAILED = "endpoint failed"
    INCOMPLETE = "answer incomplete"


@attrs.frozen
class Endpoint:
    """Listed endpoint that requests can be routed to.

    Parameters
    ----------
    id : str
        Unique id, never reused: assigned by the platform, or
        `EndpointListing.key` of an endpoint that is registered in the store.
    role : str
        ``model`` or ``plain``; ``endpoint`` for one that is registered in
        the store.
    address : str
        ``IP:PORT``.
    failure_domain : str
        Failure domain in which the endpoint runs.
    service, version : str
        Service and version that the endpoint serves.
    market : str
        ``reclaimable`` or ``on_demand``.
    price_per_hour : float
        Price per hour, in the currency of the cloud.
    state : str
        Listed state, ``live`` or ``leaving``.
    identity : str
        Id that the endpoint uses for itself; empty if it equals `id`. After
        a restart under the same identity, the endpoint is a new one.
    slots : int
        Number of requests that the endpoint runs concurrently; 0 if it is
        not listed.
    """

    id: str
    role: str
    address: str
    failure_domain: str
    service: str
    version: str
    market: str = "on_demand"
    price_per_hour: float = 0.0
    state: str = "live"
    identity: str = ""
    slots: int = 0


@attrs.frozen(eq=False)
class Work:
    """A request that the local node has in flight at an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    cost : float
        Expected time to process the prompt (prefill), in seconds.
    started_at_s : float
        Monotonic time at which the request was sent, in seconds.
    hold_s : float
        Time that it is expected to stay there, in seconds; 0 if unknown.
    memory_tokens : float
        Expected use of the endpoint's memory, in tokens; 0 if unknown.
    """

    endpoint_id: str
    cost: float
    started_at_s: float
    hold_s: float = 0.0
    memory_tokens: float = 0.0


@attrs.define(eq=False)
class EndpointRecord:
    """State of one endpoint, as known to the local node.

    Parameters
    ----------
    endpoint : Endpoint
        Latest listing of the endpoint.
    is_leaving, is_draining : bool
        Whether the endpoint is leaving for good, or draining until further
        notice; either one excludes the endpoint from new work.
    is_evacuated : bool
        Whether the operator evacuates the endpoint's failure domain, which
        excludes the endpoint from new work.
    paused_until_s : float
        Monotonic time until which the endpoint has asked for no work, in
        seconds.
    is_paused : bool
        Whether that time has not passed yet, as of the last `resume`.
    rate_per_s : float or None
        Requests per second that the endpoint takes from all instances
        together; None while it names no limit.
    rate_observed_s : float
        Monotonic time of the answer that named or ended it, in seconds.
    cold_until_s : float
        Monotonic time until which the endpoint is cold, in seconds.
    circuit : Circuit
        Circuit breaker of the endpoint.
    running, queued, slots : int
        Latest load report, in requests.
    measured_at_s : float
        Monotonic time of the reported measurement, in seconds.
    local_reported : int
        Number of requests in the reported load that the local node sent.
    local_load : int
        Number of requests of the local node in flight at the endpoint.
    peer_load : float
        Requests that all peers have in flight at the endpoint, according to
        their latest messages.
    load : float
        Estimated number of running and queued requests.
    busy_until_s : float
        Monotonic time at which the prompts sent to the endpoint are expected
        to be processed, in seconds.
    stamp : int
        Version of the load estimate; incremented at each change.
    loaded : tuple of str
        Versions loaded according to the latest report; empty if the endpoint
        does not report versions.
    failure_rate : float
        Smoothed fraction of failed answers, 0 to 1, as of the last failure.
    failed_at_s : float
        Monotonic time of the last failure, in seconds.
    work_time : WorkTime
        Work time that the endpoint reports.
    listed_s : float
        Monotonic time at which the endpoint was first listed, in seconds.
    slowness, slowness_spread : float
        Expected time that work takes, relative to an average endpoint of the
        service, and the standard deviation of that estimate.
    backlog : Backlog
        Requests at the endpoint that peers have sent, as far as this instance
        knows; kept for services that report work time.
    """

    endpoint: Endpoint
    is_leaving: bool = False
    is_draining: bool = False
    is_evacuated: bool = False
    paused_until_s: float = float("-inf")
    is_paused: bool = False
    rate_per_s: float | None = None
    rate_observed_s: float = float("-inf")
    cold_until_s: float = float("-inf")
    circuit: Circuit = attrs.field(factory=Circuit)
    running: int = 0
    queued: int = 0
    slots: int = attrs.field()
    measured_at_s: float = float("-inf")
    local_reported: int = 0
    local_load: int = 0
    peer_load: float = 0.0
    load: float = 0.0
    busy_until_s: float = float("-inf")
    stamp: int = 0
    loaded: tuple = ()
    failure_rate: float = 0.0
    failed_at_s: float = float("-inf")
    work_time: WorkTime = attrs.field(factory=WorkTime)
    listed_s: float = float("-inf")
    slowness: float = 1.0
    slowness_spread: float = 0.0
    backlog: Backlog = attrs.field(factory=Backlog)
    _active: set = attrs.field(factory=set)
    _finished: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FINISHED_KEPT)
    )

    @slots.default
    def _get_default_slots(self):
        return max(1, self.endpoint.slots)

    def record_success(self):
        """Update the smoothed failure rate after a successful answer."""
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate

    def record_failure(self, now_s):
        """Update the smoothed failure rate after a failed answer."""
        rate = self.get_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_SMOOTHING * (1.0 - rate)
        self.failed_at_s = now_s

    def get_failure_rate(self, now_s):
        """Return the failure rate, decayed since the last failure."""
        if not self.failure_rate:
            return 0.0
        age_s = max(0.0, now_s - self.failed_at_s)
        return self.failure_rate * math.exp(-age_s / FAILURE_DECAY_S)

    def update_load(self):
        """Recompute the load estimate.

        The local load is known exactly. The remote load is the greater of
        the load that peers report and the remainder of the endpoint's last
        report after the local requests are subtracted.
        """
        reported = self.running + self.queued - self.local_reported
        self.load = self.local_load + max(0.0, self.peer_load, reported)

    @property
    def versions(self):
        """Versions that the endpoint can run requests with."""
        return self.loaded or (self.endpoint.version,)

    @property
    def relative_load(self):
        """Estimated number of requests per slot."""
        return self.load / self.slots

    def measure_local_work(self, now_s):
        """Return the remaining time and the memory of the local requests.

        In seconds and in tokens.
        """
        remaining_s = sum(
            max(0.0, work.started_at_s + work.hold_s - now_s)
            for work in self._active
        )
        return remaining_s, sum(work.memory_tokens for work in self._active)

    def is_staying(self):
        """Return whether the endpoint neither leaves nor drains."""
        return not (self.is_leaving or self.is_draining)

    def is_available(self):
        """Return whether new work may be sent to the endpoint."""
        is_excluded = self.is_paused or self.is_evacuated
        wants_work = self.is_staying() and not is_excluded
        return wants_work and self.circuit.admits_work()

    def pause(self, until_s):
        """Exclude the endpoint from new work until a time, in seconds."""
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.is_paused = True

    def resume(self, now_s):
        """Readmit the endpoint when its pause is over."""
        self.is_paused = now_s < self.paused_until_s

    def observe_rate(self, rate_per_s, observed_s):
        """Apply a rate limit unless a later one is known.

        Returns whether the limit has changed.
        """
        if observed_s < self.rate_observed_s:
            return False
        self.rate_observed_s = observed_s
        has_changed = rate_per_s != self.rate_per_s
        self.rate_per_s = rate_per_s
        return has_changed

    def start(self, work):
        """Count a request as sent."""
        self._active.add(work)
        self.local_load = len(self._active)
        self.add_prompt(work.cost, work.started_at_s)

    def add_prompt(self, cost, now_s):
        """Extend the time until which the endpoint processes prompts."""
        self.busy_until_s = max(now_s, self.busy_until_s) + cost

    def finish(self, work, now_s):
        """Count a request as ended; return whether it was in flight."""
        if work not in self._active:
            return False
        self._active.remove(work)
        self.local_load = len(self._active)
        self._finished.append((now_s, work))
        return True

    def withdraw(self, work):
        """Take back a request; return whether it counted as in flight."""
        if work not in self._active:
            return False
        self._active.remove(work)
        self.local_load = len(self._active)
        self.busy_until_s -= work.cost
        return True

    def report(self, running, queued, slots, measured_at_s):
        """Apply a load report; return False if a later one is known."""
        if measured_at_s < self.measured_at_s:
            return False
        self.running = running
        self.queued = queued
        self.slots = max(1, slots)
        self.measured_at_s = measured_at_s
        self.local_reported = self._count_local_reported()
        return True

    def expire_report(self):
        """Reset the reported load; return whether it was above zero."""
        if not (self.running or self.queued or self.local_reported):
            return False
        self.running = self.queued = self.local_reported = 0
        return True

    def _count_local_reported(self):
        """Count the local requests in flight when the load was measured."""
        at_s = self.measured_at_s
        while self._finished and self._finished[0][0] <= at_s:
            self._finished.popleft()
        ended = (work for _, work in self._finished)
        return sum(
            work.started_at_s <= at_s
            for work in itertools.chain(self._active, ended)
        )
