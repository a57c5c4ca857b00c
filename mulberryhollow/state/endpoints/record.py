"""Data of one endpoint: what it is, its load and its failures."""

import collections
import enum
import itertools
import math

import attrs

from mulberryhollow.state.endpoints.circuit import Circuit

__all__ = ["Endpoint", "EndpointRecord", "FailureKind", "Work"]

FINISHED_KEPT = 256

FAILURE_SMOOTHING = 0.1
"""Weight of the latest answer in the failure rate."""

FAILURE_MEMORY_S = 5.0
"""Time in which an unused failure rate fades to a third, in seconds.

Long enough to outlast a burst of retries, short enough that an endpoint
that has recovered is used again within one window of the retry budget.
"""


class FailureKind(enum.Enum):
    """How a request failed, as seen by the node that sent it.

    Notes
    -----
    ``CONNECT_FAILED`` and ``REFUSED`` are the only kinds after which the
    request certainly did not run.
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
    """One item of the instance list that requests can be routed to.

    Parameters
    ----------
    id : str
        Identity given by the platform, never used twice.
    role : str
        ``model`` or ``plain``.
    address : str
        ``IP:PORT``.
    failure_domain : str
        Where it runs.
    service, version : str
        What it answers.
    market : str
        ``reclaimable`` or ``on_demand``.
    price_per_hour : float
        Its price, in the currency of the cloud, per hour.
    state : str
        ``live`` or ``leaving``, as the list says.
    identity : str
        The id by which the endpoint knows itself; empty when it is `id`.
        A restart under the same identity is another endpoint.
    slots : int
        Requests that it runs at once; 0 when the list does not say.
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
    """A request that this node has in flight at an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Where it runs.
    cost : float
        Time that its prompt is expected to keep the endpoint busy, in
        seconds.
    started_at_s : float
        When it was sent, in seconds.
    """

    endpoint_id: str
    cost: float
    started_at_s: float


@attrs.define(eq=False)
class EndpointRecord:
    """What a node knows about one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        The list's latest item.
    is_leaving, is_draining : bool
        Whether new work is kept away.
    circuit : Circuit
        Its circuit breaker.
    running, queued, slots : int
        The last load report, in requests.
    measured_at_s : float
        When the reported load was measured, in seconds.
    own_reported : int
        The part of the reported load that was this node's.
    peer_load : float
        Work of all peers in flight there, by their last messages, in
        requests.
    load : float
        Estimated requests at the endpoint, running and queued.
    busy_until_s : float
        When the prompts sent there are expected to be computed, in
        seconds.
    stamp : int
        Grows with each change of the load.
    loaded : tuple of str
        Versions that the last report shows as loaded; empty when the
        endpoint does not report any.
    failure_rate : float
        Smoothed part of its latest answers that were failures, 0 to 1,
        as of the last failure.
    failed_at_s : float
        When the last one failed, in seconds.
    """

    endpoint: Endpoint
    is_leaving: bool = False
    is_draining: bool = False
    circuit: Circuit = attrs.field(factory=Circuit)
    running: int = 0
    queued: int = 0
    slots: int = attrs.field()
    measured_at_s: float = float("-inf")
    own_reported: int = 0
    peer_load: float = 0.0
    load: float = 0.0
    busy_until_s: float = float("-inf")
    stamp: int = 0
    loaded: tuple = ()
    failure_rate: float = 0.0
    failed_at_s: float = float("-inf")
    _active: set = attrs.field(factory=set)
    _finished: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=FINISHED_KEPT)
    )

    @slots.default
    def _take_listed_slots(self):
        return max(1, self.endpoint.slots)

    def record_success(self):
        """Count an answer in the smoothed failure rate."""
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate

    def record_failure(self, now_s):
        """Count a failed answer in the smoothed failure rate."""
        rate = self.get_failure_rate(now_s)
        self.failure_rate = rate + FAILURE_SMOOTHING * (1.0 - rate)
        self.failed_at_s = now_s

    def get_failure_rate(self, now_s):
        """Return the failure rate, which fades after the last failure."""
        if not self.failure_rate:
            return 0.0
        age_s = max(0.0, now_s - self.failed_at_s)
        return self.failure_rate * math.exp(-age_s / FAILURE_MEMORY_S)

    def update_load(self):
        """Estimate the load again after a change.

        Own work is known exactly. That of the others is the larger one
        of what the peers tell and what the last report leaves for them.
        """
        reported = self.running + self.queued - self.own_reported
        self.load = self.own_load + max(0.0, self.peer_load, reported)

    @property
    def versions(self):
        """Versions that requests can run with here."""
        return self.loaded or (self.endpoint.version,)

    @property
    def relative_load(self):
        """Estimated requests for each slot."""
        return self.load / self.slots

    @property
    def own_load(self):
        """Requests that this node has in flight at the endpoint."""
        return len(self._active)

    def is_available(self):
        """Return whether new work may be sent to the endpoint."""
        is_wanted = not (self.is_leaving or self.is_draining)
        return is_wanted and self.circuit.admits_work()

    def start(self, work):
        """Count a request as sent."""
        self._active.add(work)
        self.add_prompt(work.cost, work.started_at_s)

    def add_prompt(self, cost, now_s):
        """Count a prompt that keeps the endpoint busy for a time."""
        self.busy_until_s = max(now_s, self.busy_until_s) + cost

    def finish(self, work, now_s):
        """Count a request as ended; return whether it was known."""
        if work not in self._active:
            return False
        self._active.remove(work)
        self._finished.append((now_s, work))
        return True

    def report(self, running, queued, slots, measured_at_s):
        """Take over a load report unless a later one is known."""
        if measured_at_s < self.measured_at_s:
            return False
        self.running = running
        self.queued = queued
        self.slots = max(1, slots)
        self.measured_at_s = measured_at_s
        self.own_reported = self._sum_reported()
        return True

    def expire_report(self):
        """Forget the reported load; return whether there was any."""
        if not (self.running or self.queued or self.own_reported):
            return False
        self.running = self.queued = self.own_reported = 0
        return True

    def _sum_reported(self):
        """Return own work that was there when the load was measured."""
        at_s = self.measured_at_s
        while self._finished and self._finished[0][0] <= at_s:
            self._finished.popleft()
        ended = (work for _, work in self._finished)
        return sum(
            work.started_at_s <= at_s
            for work in itertools.chain(self._active, ended)
        )
