"""Scales the running instances to the load within the budget."""

import json
import logging

import attrs

from mulberryhollow.coordination import capacity
from mulberryhollow import events
from mulberryhollow.protocol import cloud
from mulberryhollow.state import decoding
from mulberryhollow.state import known_fields
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = [
    "CapacityController",
    "CapacityDependencies",
    "PlanRecord",
    "estimate_loads",
]

KIND = "plan"
"""Kind of the stored object that holds the capacity plan."""

TASK = "capacity"
"""Task name by which rendezvous hashing picks the usual planner."""

LEASE_S = 15.0
"""Time for which only one instance may carry out a plan, in seconds."""

DRAIN_S = 30.0
"""Time from the notice of a planned stop to the termination, in seconds."""

HEADROOM_FACTOR = 1.3
"""Ratio of the planned capacity to the peak load."""

PEAK_DECAY_FACTOR = 0.98
"""Factor by which the remembered peak load decays with each plan."""

PLANNED = events.declare(
    8001, logging.INFO, "the capacity plan starts or stops instances"
)
START_REFUSED = events.declare(
    8002,
    logging.WARNING,
    "the cloud refused to start an instance; other offers are preferred "
    "for a while",
)
SHORTFALL = events.declare(
    8003,
    logging.WARNING,
    "the budget or the cloud does not allow the required capacity",
    "raise the budget, or expect patient requests to be refused",
)
PLAN_OVERTAKEN = events.declare(
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
            return cls(
                **known_fields.select_known(cls, decoding.decode_json(data))
            )
        except (ValueError, TypeError):
            return cls()


@attrs.frozen
class CapacityDependencies:
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
    peering : InstancePeering
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
    peering: object
    get_environment: object
    clock: object


class CapacityController:
    """Plans the capacity while this instance is the usual owner of the task.

    Parameters
    ----------
    dependencies : CapacityDependencies
        Dependencies of the controller.

    Notes
    -----
    Two instances may both see themselves as the usual owner; then the
    conditional update of the stored plan decides between them. A plan is
    carried out only after that update succeeded, and only within its
    lease. An instance whose start has an unknown outcome appears in a
    later list of instances; until then its price is not counted, and the
    total may exceed the budget by it.
    """

    def __init__(self, dependencies):
        self._dependencies = dependencies
        self._refused_starts = capacity.RefusedStarts()
        self._peak_loads = {}

    def tick(self):
        """Plan once and carry the plan out.

        Raises
        ------
        StoreUnavailableError
            If the platform gave no usable answer; the caller retries.
        """
        environment = self._dependencies.get_environment()
        if environment is None or not self._dependencies.peering.is_owner(
            TASK
        ):
            return
        stored = self._dependencies.store.get(
            KIND, self._dependencies.environment
        )
        record = PlanRecord.decode(stored.value) if stored else PlanRecord()
        now_s = self._dependencies.clock.wall_s()
        is_own = record.planner == self._dependencies.instance
        if not is_own and now_s < record.lease_until_s:
            return
        plan = self._plan(environment)
        self._report_shortfall(plan)
        new_record = self._make_record(record, plan, now_s)
        if not (plan.starts or new_record.stopping or record.stopping):
            return
        version = stored.version if stored else 0
        if self._write(new_record, version):
            self._execute(plan, new_record)

    def _plan(self, environment):
        """Return the Plan for the current load."""
        estimates = self._dependencies.dispatcher.read(estimate_loads)
        offers = self._dependencies.cloud.list_offers()
        return capacity.plan(
            [self._make_demand(each, offers) for each in estimates],
            offers,
            self._dependencies.cloud.list_instances(),
            self._refused_starts,
            environment.budget_per_hour,
            self._dependencies.clock.now_s(),
        )

    def _make_demand(self, load_estimate, offers):
        """Return the Demand of one version, from its decaying peak load."""
        key = load_estimate.service, load_estimate.version
        decayed_peak = self._peak_loads.get(key, 0.0) * PEAK_DECAY_FACTOR
        self._peak_loads[key] = max(load_estimate.load, decayed_peak, 1.0)
        slots = max(load_estimate.slots, 1.0)
        classes = {offer.machine_class for offer in offers}
        return capacity.Demand(
            load_estimate.service,
            load_estimate.version,
            load_estimate.role,
            self._peak_loads[key] * HEADROOM_FACTOR,
            capacity_by_class=dict.fromkeys(classes, slots),
        )

    def _make_record(self, record, plan, now_s):
        """Return the record with the stops in progress and the new ones."""
        stopping = {
            instance: at_s
            for instance, at_s in record.stopping.items()
            if now_s < at_s + DRAIN_S
        }
        new_stops = {
            instance: now_s + DRAIN_S
            for instance in plan.stops
            if instance not in stopping
        }
        return PlanRecord(
            self._dependencies.instance, now_s + LEASE_S, stopping | new_stops
        )

    def _write(self, new_record, version):
        """Store the plan; return whether the conditional update succeeded."""
        outcome = store_adapter.put_and_resolve(
            self._dependencies.store,
            KIND,
            self._dependencies.environment,
            new_record.encode(),
            version,
        )
        if not isinstance(outcome, objects.WriteApplied):
            events.log(PLAN_OVERTAKEN, planner=new_record.planner)
        return isinstance(outcome, objects.WriteApplied)

    def _execute(self, plan, new_record):
        """Start and terminate instances while the lease lasts."""
        events.log(
            PLANNED,
            starts=sum(start.count for start in plan.starts),
            stopping=sorted(new_record.stopping),
            cost_per_hour=plan.cost_per_hour,
        )
        for start in plan.starts:
            for _ in range(start.count):
                if not self._start(start, new_record):
                    break
        for instance, at_s in new_record.stopping.items():
            self._stop(instance, at_s, new_record)

    def _start(self, start, new_record):
        """Start one instance; return whether its offer may be used again."""
        if self._dependencies.clock.wall_s() >= new_record.lease_until_s:
            return False
        if self._dependencies.cloud.start(start):
            self._refused_starts.record_started(start.offer)
            return True
        now_s = self._dependencies.clock.now_s()
        self._refused_starts.record_refused(start.offer, now_s)
        events.log(START_REFUSED, offer=attrs.asdict(start.offer))
        return False

    def _stop(self, instance, at_s, new_record):
        """Publish a planned stop, or terminate the instance after DRAIN_S."""
        now_s = self._dependencies.clock.wall_s()
        if now_s >= new_record.lease_until_s:
            return
        if now_s >= at_s:
            self._dependencies.cloud.stop(instance)
            return
        self._dependencies.peering.publish_notice(
            cloud.Notice(0, instance, "", at_s)
        )

    def _report_shortfall(self, plan):
        """Log a shortfall and shed the patient requests that lack capacity."""
        shed = max(
            (each.patient_part_shed for each in plan.shortfall),
            default=0.0,
        )
        if plan.shortfall:
            lacking = [attrs.asdict(each) for each in plan.shortfall]
            events.log(SHORTFALL, shortfall=lacking)
        self._dependencies.dispatcher.change(
            lambda actor, now_s: actor.admission.set_patient_fraction(
                1.0 - shed
            )
        )


@attrs.frozen
class LoadEstimate:
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


def estimate_loads(actor, now_s):
    """Return the LoadEstimate of each listed version.

    Runs in the dispatch actor.
    """
    found = {}
    for record in actor.view:
        each = record.endpoint
        found.setdefault((each.service, each.version, each.role), []).append(
            record
        )
    return [
        LoadEstimate(
            *name,
            load=sum(record.load for record in records),
            slots=sum(record.slots for record in records) / len(records),
        )
        for name, records in found.items()
    ]
