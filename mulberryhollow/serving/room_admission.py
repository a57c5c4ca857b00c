"""Admits requests by the room of their service."""

import functools
import logging
import zlib

import attrs
import xxhash

from mulberryhollow.coordination import room as rooms
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import work
from mulberryhollow import errors
from mulberryhollow import events

__all__ = ["RoomAdmission", "UnlimitedRoom", "refuse_no_room"]

SWITCH_INTERVAL_S = 0.5
"""Interval between reads of whether a service is admitted by room, in s."""

MEASURE_INTERVAL_S = 0.02
"""Time for which a measured room is used again, in seconds.

The measurement visits every endpoint of the service.
"""

SHARED_AGE_S = 0.75
"""Age of the load of other instances, in seconds, where it is not stated.

The aggregates of all instances are exchanged twice a second.
"""

SHARING_LEVEL = 1
"""Protocol level from which the demand for room is sent to peers."""

MAX_SHARED_KEYS = 48
"""Maximum number of ranks and accounts in a report, the largest first.

It bounds the part of the aggregate reports to less than 1 KB.
"""

MIN_SHARED_PLACES = 0.001
"""Smallest demand that is reported, in places."""

CACHED_FRACTION = 0.7
"""Fraction of the shared parts of a prompt that is expected to be cached.

The endpoint is chosen only after the request has got room; the router expects
as much at the endpoint where requests with these parts meet.
"""

MIN_COVERED_FRACTION = 0.75
"""Fraction of the other acting instances whose demand has to be known.

Without the demand of more of them, shares would add up to more than the room.
"""

NO_ROOM = events.declare(
    4070,
    logging.INFO,
    "a request was refused because its service has too little room",
    "read 'Why was this caller refused' in the operations guide",
)


class UnlimitedRoom:
    """Admission of instances that do not decide by room: all are granted."""

    shares_demand = False

    def is_on(self, service):
        """Return whether requests of a service are admitted by room."""
        return False

    def decide(self, subject, query):
        """Return None: the request is granted."""

    def withdraw(self, subject, query):
        """Take back a granted request that another limit has refused."""

    def list_demand(self):
        """Return the local demand for the aggregate report: none."""
        return {}

    def apply_remote(self, table, count):
        """Apply the demand at the other instances."""

    def apply_collectors(self, collectors):
        """Let the given `Collectors` decide from now on."""


@attrs.define
class _Service:
    """State of one service; used in the dispatch actor only."""

    controller: rooms.RoomController
    room: object = None
    measured_at_s: float = float("-inf")


class RoomAdmission:
    """Decides by `RoomController` which requests of a service are served.

    Its state changes only in the thread of the dispatch actor, which also
    holds the view of the endpoints.

    Parameters
    ----------
    dispatcher : Dispatcher
        Runs the decisions.
    clock : Clock
        Source of time.
    instance : str
        Id of this instance.
    observer : Observer or None
        Counters and gauges; none are kept when None.

    Attributes
    ----------
    shares_demand : bool
        Whether all reachable instances decode the demand for room.
    """

    def __init__(self, dispatcher, clock, instance, observer=None):
        self.shares_demand = False
        self._dispatcher = dispatcher
        self._clock = clock
        self._seed = zlib.crc32(instance.encode())
        self._observer = observer
        self._services = {}
        self._switches = {}
        self._part = rooms.RoomPart()
        self._has_peers = False
        self._others = 0

    def is_on(self, service):
        """Return whether requests of a service are admitted by room."""
        now_s = self._clock.now_s()
        read_at_s, is_on = self._switches.get(service, (float("-inf"), False))
        if now_s - read_at_s >= SWITCH_INTERVAL_S:
            is_on = self._dispatcher.read(
                lambda actor, now_s: actor.view.measure_room(service, now_s)
            ).is_work_based
            self._switches[service] = now_s, is_on
        return is_on

    def decide(self, subject, query):
        """Decide on a request.

        Parameters
        ----------
        subject : RouteRequest
            The request.
        query : RoomQuery
            What else the decision depends on.

        Returns
        -------
        NoRoom or None
            None when the request is granted, or its service is not admitted
            by room.
        """
        decided = self._dispatcher.read(
            functools.partial(self._decide, subject, query)
        )
        outcome = decided and decided[1]
        if outcome is not None and self._observer is not None:
            self._record(subject.service, query, outcome)
        match outcome:
            case rooms.NoRoom(rule, retry_after_s, inputs):
                events.log(
                    NO_ROOM,
                    request=subject.request_id,
                    service=subject.service,
                    route=query.route,
                    account=subject.account,
                    rank=query.rank,
                    rule=rule.value,
                    retry_ms=round(1000 * retry_after_s),
                    work_ms=round(1000 * decided[0].work.total_s),
                    **_describe(inputs),
                )
                return outcome
        return None

    def _record(self, service, query, outcome):
        """Count a decision and set the gauges of its service's room."""
        verb = "granted" if isinstance(outcome, rooms.Granted) else "refused"
        self._observer.count(
            f"room.{verb}.{query.route}.{query.rank}.{outcome.rule.value}"
        )
        inputs = outcome.inputs
        for name, value in (
            ("use", inputs.use),
            ("wait_seconds", inputs.wait_s),
            ("demand_places", inputs.demand),
            ("capacity_places", inputs.capacity),
            ("age_seconds", inputs.age_s),
        ):
            self._observer.set_gauge(f"room.{name}.{service}", value)

    def withdraw(self, subject, query):
        """Take back a granted request that another limit has refused."""
        key = query.rank, _hash_account(subject.account)
        self._dispatcher.change(
            lambda actor, now_s: self._find(subject.service).withdraw(key)
        )

    def apply_collectors(self, collectors):
        """Let the given `Collectors` decide from now on."""
        self.shares_demand = collectors.level >= SHARING_LEVEL
        self._has_peers = collectors.live > 1
        self._others = len(collectors.others)
        parts = collectors.live
        if self.shares_demand and collectors.local:
            parts = collectors.parts
        part = rooms.RoomPart(max(1.0, parts), collectors.reachable_fraction)
        self._dispatcher.change(functools.partial(self._set_part, part))

    def list_demand(self):
        """Return the local demand by key, for the aggregate report."""
        if not self.shares_demand:
            return {}
        return self._dispatcher.read(self._list_demand)

    def apply_remote(self, table, count):
        """Apply the demand at the other instances.

        Parameters
        ----------
        table : dict
            Key to demand, in places.
        count : int
            Number of acting instances that the demand covers. While it is
            too small, this instance keeps to its own part of the room.
        """
        is_covered = count >= MIN_COVERED_FRACTION * self._others
        if self.shares_demand and is_covered:
            self._dispatcher.change(functools.partial(self._set_remote, table))

    def _find(self, service):
        """Return the RoomController of a service."""
        state = self._services.get(service)
        if state is None:
            seed = self._seed ^ zlib.crc32(service.encode())
            state = _Service(rooms.RoomController(seed))
            state.controller.set_part(self._part)
            self._services[service] = state
        return state.controller

    def _decide(self, subject, query, actor, now_s):
        """Return the RoomRequest and its outcome; None if not by room."""
        service = subject.service
        controller = self._find(service)
        state = self._services[service]
        if now_s - state.measured_at_s >= MEASURE_INTERVAL_S:
            room = actor.view.measure_room(
                service, now_s, actor.shares.list_unused(service)
            )
            if self._has_peers and not room.age_s:
                room = attrs.evolve(room, age_s=SHARED_AGE_S)
            state.room, state.measured_at_s = room, now_s
        if not state.room.is_work_based:
            return None
        features = _list_features(subject, query)
        expected = _estimate_work(features, state.room, actor)
        request = _make_room_request(subject, query, expected)
        return request, controller.decide(request, state.room, now_s)

    def _set_part(self, part, actor, now_s):
        """Set the part of the room about which this instance decides."""
        self._part = part
        for state in self._services.values():
            state.controller.set_part(part)

    def _list_demand(self, actor, now_s):
        """Return the largest demands by key."""
        demands = [
            (amount, f"{_hash_service(service)}{rank}{account}")
            for service, state in self._services.items()
            for (rank, account), amount in state.controller.list_demand(
                now_s
            ).items()
            if amount >= MIN_SHARED_PLACES
        ]
        largest = sorted(demands, reverse=True)[:MAX_SHARED_KEYS]
        return {key: round(amount, 3) for amount, key in largest}

    def _set_remote(self, table, actor, now_s):
        """Set the demand at the other instances."""
        for service, state in self._services.items():
            prefix = _hash_service(service)
            end = len(prefix)
            state.controller.set_remote(
                {
                    (int(key[end]), key[end + 1 :]): amount
                    for key, amount in table.items()
                    if key.startswith(prefix) and key[end : end + 1].isdigit()
                },
                now_s,
            )


def refuse_no_room(service, rule, retry_after_s):
    """Return the Refusal of a request that found no room.

    Parameters
    ----------
    service : str
        Service of the request.
    rule : str
        Name of the rule that decided.
    retry_after_s : float
        Time after which the caller should return, in seconds.
    """
    return errors.Refusal(
        errors.RefusalKind.NO_CAPACITY,
        f"service {service} has no room for this request now, rule {rule}",
        "send the request again after the Retry-After time",
        errors.ExecutionStatus.NOT_RUN,
        retry_after_s,
    )


def _estimate_work(features, room, actor):
    """Return the RequestWork at the batch that the request will meet.

    Runs in the dispatch actor.
    """
    used = min(room.used_slots, room.slots)
    batch = max(1.0, used / max(1, room.endpoints))
    return actor.router.estimator.estimate(features, batch)


def _list_features(subject, query):
    """Return the RequestFeatures of a RouteRequest and its RoomQuery."""
    chain = subject.chain or routing.PromptChain()
    shared = chain.count_tokens(chain.shared_parts)
    return work.RequestFeatures(
        subject.service,
        query.route,
        subject.account,
        prompt_tokens=chain.tokens,
        cached_tokens=int(CACHED_FRACTION * shared),
        max_output_tokens=query.max_output_tokens,
        affinity=chain.affinity,
    )


def _make_room_request(subject, query, expected):
    """Return the RoomRequest of a RouteRequest with the given work."""
    return rooms.RoomRequest(
        rank=query.rank,
        account=_hash_account(subject.account),
        work=expected,
        goal_left_s=query.goal_left_s,
        deadline_left_s=query.deadline_left_s,
        fingerprint=query.fingerprint,
    )


def _describe(inputs):
    """Return the inputs of a decision as log fields."""
    return {
        "use": round(inputs.use, 3),
        "wait_ms": round(1000 * inputs.wait_s),
        "share": round(inputs.share, 3),
        "demand": round(inputs.demand, 2),
        "capacity": round(inputs.capacity, 2),
        "age_ms": round(1000 * inputs.age_s),
    }


@functools.lru_cache(maxsize=4096)
def _hash_account(account):
    """Return a short hash of an account, for frequent messages."""
    return xxhash.xxh32_hexdigest(account.encode())


@functools.lru_cache(maxsize=256)
def _hash_service(service):
    """Return a short hash of a service, for frequent messages."""
    return xxhash.xxh32_hexdigest(service.encode())[:4]
