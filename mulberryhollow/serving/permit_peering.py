"""Permits that all instances share, for endpoints that limit requests."""

import collections
import concurrent.futures
import functools
import itertools
import json
import logging
import threading

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import permits
from mulberryhollow.state import decoding

__all__ = ["PermitPeering", "UnlimitedPermits"]

TOPIC = "rate.draw"
END_TOPIC = "rate.end"

END_THREADS = 2
"""Maximum number of threads that give permits back."""

CALL_TIMEOUT_S = 0.08
"""Timeout of the call for a permit, in seconds.

Another endpoint may have to answer the request within its goal, and the
holder of an account's credit draws permits while an instance waits for it.
"""

OWNER_PAUSE_S = 0.5
"""Time for which an owner that gave no answer is not asked, in seconds."""

MAX_OWNERS = 2
"""Number of owners that are asked in turn for a permit."""

STANDBY_FRACTION = 0.25
"""Fraction of an endpoint's room granted by an instance that is asked second.

The first one may still be granting permits to other instances.
"""

NO_PERMIT = events.declare(
    4018,
    logging.INFO,
    "the owner of an endpoint's permits gave no usable answer",
    "check that instance if this repeats",
)


class UnlimitedPermits:
    """Permits of instances that share no limits: all are granted."""

    def acquire(self, service, chosen, account):
        """Return the Permit for a request."""
        return routing.Permit("")

    def give_back(self, endpoint_id, permit):
        """End a permit."""

    def list_exhausted(self, service, account):
        """Return the endpoints without a permit: none."""
        return frozenset()

    def get_wait_s(self, service, account):
        """Return the time until a permit is expected: 0 for now."""
        return 0.0


class PermitPeering:
    """Obtains permits for requests to endpoints that limit them.

    An endpoint may limit the rate of requests from all instances together,
    or be brittle, so that it must not have to turn any away, or be cold, so
    that it accepts only a low rate for some seconds.

    Each endpoint has an owner among the instances, chosen by rendezvous
    hashing. It grants the permits of all instances; a second one is asked
    while it gives no answer.

    Parameters
    ----------
    peers : Peers
        Calls between instances.
    clock : Clock
        Source of time.
    dispatcher : Dispatcher
        Holds the permits of the endpoints that this instance owns, and what
        it knows of their limits.
    collectors : Collectors
        Instances that own endpoints, until others are applied.
    submit : callable or None
        Calls a function without waiting for it; None for a thread pool.

    Notes
    -----
    A lost answer loses a permit and never duplicates one. An instance that
    reaches no owner sends nothing to the endpoint.
    """

    def __init__(self, peers, clock, dispatcher, collectors, submit=None):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._local_name = peers.local_member().instance_id
        self._collectors = collectors
        self._knows_members = False
        self._paused_until_s = {}
        self._exhausted = collections.defaultdict(dict)
        self._numbers = itertools.count()
        self._submit = (
            submit
            or concurrent.futures.ThreadPoolExecutor(
                END_THREADS, thread_name_prefix="permits"
            ).submit
        )
        self._lock = threading.Lock()

    def connect(self):
        """Register the handler of the peers' calls."""
        self._peers.handle(TOPIC, self._answer)
        self._peers.handle(END_TOPIC, self._answer_end)

    def apply_collectors(self, collectors):
        """Let the given `Collectors` own the endpoints from now on."""
        self._collectors = collectors
        self._knows_members = True

    def acquire(self, service, chosen, account):
        """Return the Permit for a request; None if there is none now.

        Parameters
        ----------
        service : str
            Service of the endpoint.
        chosen : Chosen
            Endpoint that limits its requests.
        account : str
            Client account of the request.
        """
        name = f"{self._local_name}.{next(self._numbers)}"
        known = self._dispatcher.read(
            functools.partial(_read_limits, chosen.endpoint_id)
        )
        question = permits.PermitQuestion(
            chosen.endpoint_id,
            account,
            name,
            known.rate_per_s,
            known.age_s,
            chosen.slots if chosen.brittle_rejections is not None else 0,
            known.cold_per_s,
        )
        if known.cold_per_s and not self._knows_members:
            # Each joining instance would be an owner of its own.
            owner, outcome = "", limits.PermitRefused(OWNER_PAUSE_S)
        else:
            owner, outcome = self._ask_owners(question)
        match outcome:
            case limits.PermitGranted():
                return routing.Permit(name, owner if question.slots else "")
            case limits.PermitRefused(wait_s):
                if known.rate_per_s is None and not question.slots:
                    wait_s = min(wait_s, known.cold_left_s)
                until_s = self._clock.now_s() + wait_s
                with self._lock:
                    waits = self._exhausted[service, account]
                    waits[chosen.endpoint_id] = until_s
                return None

    def give_back(self, endpoint_id, permit):
        """End a permit whose request has ended or was not sent.

        Does not wait for its owner.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        permit : Permit
            The permit.
        """
        if permit.owner == self._local_name:
            self._end_permit(endpoint_id, permit.name)
        elif permit.owner:
            self._submit(self._tell_end, endpoint_id, permit)

    def _tell_end(self, endpoint_id, permit):
        """Tell the owner of a permit that it has ended."""
        payload = json.dumps([endpoint_id, permit.name]).encode()
        try:
            self._peers.call(permit.owner, END_TOPIC, payload, CALL_TIMEOUT_S)
        except errors.PeerError as error:
            events.log(
                NO_PERMIT,
                peer=permit.owner,
                endpoint=endpoint_id,
                reason=str(error),
            )

    def _answer_end(self, payload):
        """End a permit that a peer gives back."""
        endpoint_id, name, *_ = decoding.decode_json(payload)
        self._end_permit(endpoint_id, name)
        return b"1"

    def _end_permit(self, endpoint_id, name):
        """End a permit that this instance has granted."""
        self._dispatcher.change(
            lambda actor, now_s: actor.endpoint_rooms.give_back(
                endpoint_id, name
            )
        )

    def list_exhausted(self, service, account):
        """Return the endpoints at which a client account has to wait.

        Parameters
        ----------
        service : str
            Service of the endpoints.
        account : str
            The client account.
        """
        return frozenset(self._list_waits(service, account))

    def get_wait_s(self, service, account):
        """Return the time until an account may ask again for some endpoint.

        In seconds; 0 when it does not have to wait.
        """
        waits = self._list_waits(service, account)
        if not waits:
            return 0.0
        return max(0.0, min(waits.values()) - self._clock.now_s())

    def _list_waits(self, service, account):
        """Return the endpoints to wait for, each with the end of its wait."""
        if not self._exhausted:
            return {}
        now_s = self._clock.now_s()
        with self._lock:
            key = service, account
            waits = {
                endpoint_id: until_s
                for endpoint_id, until_s in self._exhausted.pop(
                    key, {}
                ).items()
                if now_s < until_s
            }
            if waits:
                self._exhausted[key] = waits
            return dict(waits)

    def _ask_owners(self, question):
        """Return the first owner that answers, and its outcome."""
        for name in self._rank_owners(question.endpoint_id):
            if name == self._local_name:
                return name, self._draw(question)
            if self._clock.now_s() < self._paused_until_s.get(name, 0.0):
                continue
            try:
                answer = self._peers.call(
                    name,
                    TOPIC,
                    permits.encode_question(question, self._collectors.level),
                    CALL_TIMEOUT_S,
                )
                return name, permits.decode_permit(answer)
            except (errors.PeerError, ValueError) as error:
                self._paused_until_s[name] = (
                    self._clock.now_s() + OWNER_PAUSE_S
                )
                events.log(
                    NO_PERMIT,
                    peer=name,
                    endpoint=question.endpoint_id,
                    reason=str(error),
                )
        return "", limits.PermitRefused(OWNER_PAUSE_S)

    def _rank_owners(self, endpoint_id):
        """Return the possible owners of an endpoint, the usual one first."""
        return self._collectors.rank(
            f"rate {endpoint_id}", self._local_name, MAX_OWNERS
        )

    def _answer(self, payload):
        """Return the permit for a request of a peer, or its refusal."""
        question = permits.decode_question(payload)
        return permits.encode_permit(self._draw(question))

    def _draw(self, question):
        """Draw a permit of this instance."""
        owners = self._rank_owners(question.endpoint_id)
        part = _Part(
            self._collectors.reachable_fraction, owners[0] != self._local_name
        )
        return self._dispatcher.read(
            lambda actor, now_s: _draw(actor, question, part, now_s)
        )


@attrs.frozen
class _Part:
    """Part of the permits that this instance grants.

    Parameters
    ----------
    fraction : float
        Fraction of the instances that this one reaches, above 0.
    is_standby : bool
        Whether another instance is the endpoint's first owner.
    """

    fraction: float
    is_standby: bool

    @property
    def room_fraction(self):
        """Fraction of an endpoint's room for which permits are granted."""
        return self.fraction * (STANDBY_FRACTION if self.is_standby else 1.0)


@attrs.frozen
class _KnownLimits:
    """What this instance knows of an endpoint's limits.

    Parameters
    ----------
    rate_per_s : float or None
        Rate that the endpoint names, per second; None for none.
    age_s : float
        Age of that knowledge, in seconds.
    cold_per_s : float
        Rate while the endpoint is cold, per second; 0 for no limit.
    cold_left_s : float
        Time for which it remains cold, in seconds.
    """

    rate_per_s: float | None
    age_s: float
    cold_per_s: float
    cold_left_s: float


def _read_limits(endpoint_id, actor, now_s):
    """Return the _KnownLimits of an endpoint.

    Runs in the dispatch actor.
    """
    cold = actor.view.get_cold_limit(endpoint_id, now_s)
    record = actor.view.get(endpoint_id)
    if record is None or record.rate_per_s is None:
        return _KnownLimits(None, 0.0, *cold)
    age_s = max(0.0, now_s - record.rate_observed_s)
    return _KnownLimits(record.rate_per_s, age_s, *cold)


def _draw(actor, question, part, now_s):
    """Draw a permit by the latest limits that this instance or its peer knows.

    Runs in the dispatch actor.
    """
    endpoint_id = question.endpoint_id
    if question.rate_per_s is not None:
        actor.observe_rate(
            endpoint_id, question.rate_per_s, now_s - question.age_s
        )
    record = actor.view.get(endpoint_id)
    if question.slots:
        outcome = actor.endpoint_rooms.draw(
            limits.RoomDraw(
                endpoint_id,
                question.permit,
                question.slots,
                part.room_fraction,
            ),
            record.load if record else 0.0,
            now_s,
        )
        if isinstance(outcome, limits.PermitRefused):
            return outcome
    outcome = actor.endpoint_rates.draw(
        limits.RateDraw(
            endpoint_id,
            question.account,
            _list_limits(actor, question, record, now_s),
            part.fraction,
            part.is_standby,
        ),
        now_s,
    )
    if question.slots and isinstance(outcome, limits.PermitRefused):
        actor.endpoint_rooms.give_back(endpoint_id, question.permit)
    return outcome


def _list_limits(actor, question, record, now_s):
    """Return the RateLimit of each limit of an endpoint, as a tuple.

    An endpoint is limited as cold if either instance knows that it is; of
    two rates the lower one applies.
    """
    found = []
    rate_per_s = question.rate_per_s if record is None else record.rate_per_s
    if rate_per_s is not None:
        found.append(limits.RateLimit("named", rate_per_s))
    cold_per_s, _ = actor.view.get_cold_limit(question.endpoint_id, now_s)
    rates = list(filter(None, (cold_per_s, question.cold_per_s)))
    if rates:
        found.append(actor.endpoint_rates.make_cold_limit(min(rates)))
    return tuple(found)
