"""Shares the rate that an endpoint names among all instances."""

import collections
import logging
import threading

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import rate_draws

__all__ = ["RatePeering", "UnlimitedPermits"]

TOPIC = "rate.draw"

CALL_TIMEOUT_S = 0.08
"""Timeout of the call for a permit, in seconds.

Another endpoint may have to answer the request within its goal, and the
holder of an account's credit draws permits while an instance waits for it.
"""

OWNER_PAUSE_S = 0.5
"""Time for which an owner that gave no answer is not asked, in seconds."""

MAX_OWNERS = 2
"""Number of owners that are asked in turn for a permit."""

NO_PERMIT = events.declare(
    4018,
    logging.INFO,
    "the owner of an endpoint's rate limit gave no usable answer",
    "check that instance if this repeats",
)


class UnlimitedPermits:
    """Permits of instances that share no rate limit: all are granted."""

    def acquire(self, service, endpoint_id, account):
        """Return whether a request may be sent: always True."""
        return True

    def list_exhausted(self, service, account):
        """Return the endpoints without a permit: none."""
        return frozenset()

    def get_wait_s(self, service, account):
        """Return the time until a permit is expected: 0 for now."""
        return 0.0


class RatePeering:
    """Obtains permits for requests to endpoints that limit their rate.

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
        Holds the buckets of the endpoints that this instance owns, and what
        it knows of their rates.
    collectors : Collectors
        Instances that own endpoints, until others are applied.

    Notes
    -----
    A lost answer loses a permit and never duplicates one. An instance that
    reaches no owner sends nothing to the endpoint.
    """

    def __init__(self, peers, clock, dispatcher, collectors):
        self._peers = peers
        self._clock = clock
        self._dispatcher = dispatcher
        self._local_name = peers.local_member().instance_id
        self._collectors = collectors
        self._paused_until_s = {}
        self._exhausted = collections.defaultdict(dict)
        self._lock = threading.Lock()

    def connect(self):
        """Register the handler of the peers' calls."""
        self._peers.handle(TOPIC, self._answer)

    def apply_collectors(self, collectors):
        """Let the given `Collectors` own the endpoints from now on."""
        self._collectors = collectors

    def acquire(self, service, endpoint_id, account):
        """Return whether a request may be sent to an endpoint.

        Parameters
        ----------
        service : str
            Service of the endpoint.
        endpoint_id : str
            Endpoint that limits its rate.
        account : str
            Client account of the request.
        """
        question = self._dispatcher.read(
            lambda actor, now_s: _make_question(
                actor, endpoint_id, account, now_s
            )
        )
        if question is None:
            return True
        match self._ask_owners(question):
            case limits.RateGranted():
                return True
            case limits.RateExhausted(wait_s):
                until_s = self._clock.now_s() + wait_s
                with self._lock:
                    waits = self._exhausted[service, account]
                    waits[endpoint_id] = until_s
                return False

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
        """Return the outcome of the first owner that answers."""
        for name in self._rank_owners(question.endpoint_id):
            if name == self._local_name:
                return self._draw(question)
            if self._clock.now_s() < self._paused_until_s.get(name, 0.0):
                continue
            try:
                answer = self._peers.call(
                    name,
                    TOPIC,
                    rate_draws.encode_question(question),
                    CALL_TIMEOUT_S,
                )
                return rate_draws.decode_permit(answer)
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
        return limits.RateExhausted(OWNER_PAUSE_S)

    def _rank_owners(self, endpoint_id):
        """Return the possible owners of an endpoint, the usual one first."""
        collectors = self._collectors
        names = list(collectors.others)
        if collectors.is_local:
            names.append(self._local_name)
        return membership.rank_by_rendezvous(f"rate {endpoint_id}", names)[
            :MAX_OWNERS
        ]

    def _answer(self, payload):
        """Return the permit for a request of a peer, or its refusal."""
        question = rate_draws.decode_question(payload)
        return rate_draws.encode_permit(self._draw(question))

    def _draw(self, question):
        """Draw a permit of this instance."""
        fraction = self._collectors.reachable_fraction
        owners = self._rank_owners(question.endpoint_id)
        if owners[0] != self._local_name:
            fraction *= limits.STANDBY_FRACTION
        return self._dispatcher.read(
            lambda actor, now_s: _draw(actor, question, fraction, now_s)
        )


def _make_question(actor, endpoint_id, account, now_s):
    """Return the RateQuestion for an endpoint; None without a limit.

    Runs in the dispatch actor.
    """
    record = actor.view.get(endpoint_id)
    if record is None or record.rate_per_s is None:
        return None
    return rate_draws.RateQuestion(
        endpoint_id,
        account,
        record.rate_per_s,
        max(0.0, now_s - record.rate_observed_s),
    )


def _draw(actor, question, fraction, now_s):
    """Draw a permit by the latest rate that this instance or its peer knows.

    Runs in the dispatch actor.
    """
    endpoint_id = question.endpoint_id
    actor.observe_rate(
        endpoint_id, question.rate_per_s, now_s - question.age_s
    )
    record = actor.view.get(endpoint_id)
    rate_per_s = question.rate_per_s if record is None else record.rate_per_s
    if rate_per_s is None:
        return limits.RateGranted()
    draw = limits.RateDraw(endpoint_id, question.account, rate_per_s, fraction)
    return actor.endpoint_rates.draw(draw, now_s)
