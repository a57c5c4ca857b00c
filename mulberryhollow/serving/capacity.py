"""Scales the running instances to the load within the budget."""

import json
import logging

import attrs

from mulberryhollow.coordination import capacity
from mulberryhollow import events
from mulberryhollow.protocol import cloud
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = ["CapacityKeeper", "CapacityParts", "PlanRecord", "estimate"]

KIND = "plan"
"""Kind of the stored object that holds the capacity plan."""

TASK = "capacity"
"""Task name by which rendezvous hashing picks the usual planner."""

LEASE_S = 15.0
"""Time for which only one instance may carry out a plan, in seconds."""

DRAIN_S = 30.0
"""Time from the notice of a planned stop to the termination, in seconds."""

HEADROOM = 1.3
"""Ratio of the planned capacity to the peak load."""

PEAK_DECAY = 0.98
"""Factor by which the remembered peak load decays with each plan."""

PLANNED = events.declare(
    8001, logging.INFO, "the capacity plan starts or stops instances"
)
REFUSED = events.declare(
    8002,
    logging.WARNING,
    "the cloud refused to start an instance; other offers are preferred "
    "for a while",
)
SHORT = events.declare(
    8003,
    logging.WARNING,
    "the budget or the cloud does not allow the required capacity",
    "raise the budget, or expect patient requests to be refused",
)
LOST = events.declare(
    8004,
    logging.INFO,
    "another instance changed the capacity plan first; this instance does "
    "not carry out its own",
)


@attrs.frozen
class PlanRecord:
    """The stored capacity plan.

    Parameters
    ----------
    planner : str
        Instance that carries out the plan.
    lease_until_s : float
        End of the planner's exclusive lease, in Unix seconds.
    stopping : dict
        Id of each instance that is being drained to the time at which it
        is terminated, in Unix seconds.
    """

    planner: str = ""
    lease_until_s: float = 0.0
    stopping: dict = attrs.field(factory=dict)

    def encode(self):
        """Return the record as the JSON bytes of the stored object."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the record encoded in data; an empty one if malformed."""
        try:
            return cls(**json.loads(data))
        except (ValueError, TypeError):
            return cls()


@attrs.frozen
class CapacityParts:
    """Dependencies of the capacity controller.

    Parameters
    ----------
    instance : str
        Id of this instance.
    environment : str
        Name of the environment whose capacity is planned.
    store : StoreClient
        Store that holds the plan.
    cloud : CloudClient
        Lists, starts and terminates instances.
    dispatcher : Dispatcher
        Source of the load; its admission sheds patient requests.
    link : PeerLink
        Names the usual owner of a task and publishes planned stops.
    get_environment : callable
        Returns the active Environment, or None.
    clock : Clock
        Source of time.
    """

    instance: str
    environment: str
    store: object
    cloud: object
    dispatcher: object
    link: object
    get_environment: object
    clock: object


class CapacityKeeper:
    """Plans the capacity while this instance usually owns that task.

    Parameters
    ----------
    parts : CapacityParts
        Dependencies of the controller.

    Notes
    -----
    Two instances may both see themselves as the usual owner; then the
    conditional update of the stored plan decides between them. A plan is
    carried out only after that update succeeded, and only within its
    lease. An instance whose start has an unknown outcome appears in a
    later list of instances; until then its price may exceed the budget.
    """

    def __init__(self, parts):
        self._parts = parts
        self._refused = capacity.RefusedStarts()
        self._peaks = {}

    def tick(self):
        """Plan once and carry the plan out.

        Raises
        ------
        StoreUnavailableError
            If the platform gave no usable answer; the caller retries.
        """
        environment = self._parts.get_environment()
        if environment is None or not self._parts.link.is_owner(TASK):
            return
        stored = self._parts.store.get(KIND, self._parts.environment)
        record = PlanRecord.decode(stored.value) if stored else PlanRecord()
        now_s = self._parts.clock.wall_s()
        is_mine = record.planner == self._parts.instance
        if not is_mine and now_s < record.lease_until_s:
            return
        planned = self._plan(environment)
        self._tell_shortfall(planned)
        wanted = self._make_record(record, planned, now_s)
        if not (planned.starts or wanted.stopping or record.stopping):
            return
        version = stored.version if stored else 0
        if self._write(wanted, version):
            self._carry_out(planned, wanted)

    def _plan(self, environment):
        """Return the Plan for the current load."""
        seen = self._parts.dispatcher.read(estimate)
        offers = self._parts.cloud.list_offers()
        return capacity.plan(
            [self._make_demand(each, offers) for each in seen],
            offers,
            self._parts.cloud.list_instances(),
            self._refused,
            environment.budget_per_hour,
            self._parts.clock.now_s(),
        )

    def _make_demand(self, seen, offers):
        """Return the Demand of one version, from its decaying peak load."""
        name = seen.service, seen.version
        faded = self._peaks.get(name, 0.0) * PEAK_DECAY
        self._peaks[name] = max(seen.load, faded, 1.0)
        slots = max(seen.slots, 1.0)
        classes = {offer.machine_class for offer in offers}
        return capacity.Demand(
            seen.service,
            seen.version,
            seen.role,
            self._peaks[name] * HEADROOM,
            capacity_by_class=dict.fromkeys(classes, slots),
        )

    def _make_record(self, record, planned, now_s):
        """Return the record with the stops in progress and the new ones."""
        stopping = {
            instance: at_s
            for instance, at_s in record.stopping.items()
            if now_s < at_s + DRAIN_S
        }
        begun = {
            instance: now_s + DRAIN_S
            for instance in planned.stops
            if instance not in stopping
        }
        return PlanRecord(
            self._parts.instance, now_s + LEASE_S, stopping | begun
        )

    def _write(self, wanted, version):
        """Store the plan; return whether the conditional update succeeded."""
        outcome = store_adapter.put_settled(
            self._parts.store,
            KIND,
            self._parts.environment,
            wanted.encode(),
            version,
        )
        if not isinstance(outcome, objects.Done):
            events.log(LOST, planner=wanted.planner)
        return isinstance(outcome, objects.Done)

    def _carry_out(self, planned, wanted):
        """Start and terminate instances while the lease lasts."""
        events.log(
            PLANNED,
            starts=sum(start.count for start in planned.starts),
            stopping=sorted(wanted.stopping),
            cost_per_hour=planned.cost_per_hour,
        )
        for start in planned.starts:
            for _ in range(start.count):
                if not self._start(start, wanted):
                    break
        for instance, at_s in wanted.stopping.items():
            self._stop(instance, at_s, wanted)

    def _start(self, start, wanted):
        """Start one instance; return whether its offer may be used again."""
        if self._parts.clock.wall_s() >= wanted.lease_until_s:
            return False
        if self._parts.cloud.start(start):
            self._refused.record_started(start.offer)
            return True
        now_s = self._parts.clock.now_s()
        self._refused.record_refused(start.offer, now_s)
        events.log(REFUSED, offer=attrs.asdict(start.offer))
        return False

    def _stop(self, instance, at_s, wanted):
        """Publish a planned stop, or terminate the instance after DRAIN_S."""
        now_s = self._parts.clock.wall_s()
        if now_s >= wanted.lease_until_s:
            return
        if now_s >= at_s:
            self._parts.cloud.stop(instance)
            return
        self._parts.link.publish_notice(cloud.Notice(0, instance, "", at_s))

    def _tell_shortfall(self, planned):
        """Let admission shed the patient requests that lack capacity."""
        shed = max(
            (each.patient_part_shed for each in planned.shortfall),
            default=0.0,
        )
        if planned.shortfall:
            lacking = [attrs.asdict(each) for each in planned.shortfall]
            events.log(SHORT, shortfall=lacking)
        self._parts.dispatcher.change(
            lambda actor, now_s: actor.admission.set_patient_part(1.0 - shed)
        )


@attrs.frozen
class Estimate:
    """Estimated load of one version of a service.

    Parameters
    ----------
    service, version : str
        The service and its version.
    role : str
        Role of the version's endpoints.
    load : float
        Requests running and queued at the version's endpoints.
    slots : float
        Mean number of requests that one endpoint runs at once.
    """

    service: str
    version: str
    role: str
    load: float
    slots: float


def estimate(actor, now_s):
    """Return an Estimate of each listed version.

    Runs in the dispatch actor.
    """
    found = {}
    for record in actor.view:
        each = record.endpoint
        found.setdefault((each.service, each.version, each.role), []).append(
            record
        )
    return [
        Estimate(
            *name,
            load=sum(record.load for record in records),
            slots=sum(record.slots for record in records) / len(records),
        )
        for name, records in found.items()
    ]
