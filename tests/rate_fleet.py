"""Instances before endpoints that name a rate, on a simulated clock."""

import heapq
import itertools
import random
import types

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import caller_watch
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import forwarder
from mulberryhollow.state import catalogue
from mulberryhollow.state import endpoints
from tests import requests

# The rule of the platform: in each window an endpoint may get this many times
# what its rate allows, and some requests more, from instances that have passed
# on such an answer this long before.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
GRACE_S = 0.5
FIRST_COUNTED_S = 3.0

SESSIONS = 64


class InlineRef:
    """Passes the messages for an actor to it in the calling thread."""

    def __init__(self, actor):
        self._actor = actor

    def ask(self, message):
        return self._actor.on_receive(message)

    tell = ask


class Endpoint:
    """Counts requests; its answers name its rate while there is one."""

    def __init__(self, name):
        self.listing = endpoints.Endpoint(name, "m", name, "d", "s", "v1")
        self.rate = None
        self.arrivals = []


class Instance:
    """One instance without threads; also its peers and its client."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"n{index}"
        self.domain = f"d{index % fleet.domains}"
        self.is_running = True
        self.handlers = {}
        self.subscribers = {}
        self.told_s = {}
        self.collectors = None
        actor = dispatching.DispatchActor(fleet.clock, index)
        ref = InlineRef(actor)
        self.actor = actor
        self.dispatcher = dispatching.Dispatcher(ref, fleet.clock)
        listings = [each.listing for each in fleet.endpoints.values()]
        actor.view.apply_list(listings, fleet.clock.now_s())
        actor.shares.set_service_shares({"s": {"v1": 1.0}})
        self.forwarder = forwarder.Forwarder(
            forwarder.ForwardDependencies(
                self.dispatcher,
                self,
                self,
                fleet.clock,
                caller_watch.CallerWatch(fleet.clock),
                self,
            )
        )
        self.wire()

    def wire(self):
        """Connect what shares the rate among the instances."""

    def local_member(self):
        return types.SimpleNamespace(
            instance_id=self.name, failure_domain=self.domain
        )

    def apply_members(self):
        """Apply the members that this instance reaches, shuffled."""
        others = [
            each.local_member()
            for each in self.fleet.instances.values()
            if each is not self and self.fleet.reaches(self, each)
        ]
        self.fleet.random.shuffle(others)
        live = len(self.fleet.instances)
        self.collectors = sharing.choose_collectors(
            self.local_member(), tuple(others), live
        )

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    def call(self, name, topic, payload, timeout_s):
        self.fleet.calls += 1
        other = self.fleet.instances.get(name)
        if other is None or not self.fleet.reaches(self, other):
            raise errors.PeerError("no answer", "none")
        return other.handlers[topic](payload)

    def encode_call(self, request, chosen, remaining_s, last_event_id):
        return chosen.endpoint_id

    def open(self, attempt, on_channel):
        """Answer an attempt at once, as the endpoint's client."""
        endpoint = self.fleet.endpoints[attempt.call]
        now_s = self.fleet.clock.now_s()
        told_s = self.told_s.get(attempt.call, now_s)
        is_counted = now_s - told_s >= GRACE_S
        endpoint.arrivals.append((now_s, is_counted))
        limit = None
        if endpoint.rate is not None:
            limit = messages.RateLimit(endpoint.rate)
            self.told_s.setdefault(attempt.call, now_s)
        head = messages.AnswerHead(200, (), "r1", rate_limit=limit)
        return types.SimpleNamespace(
            head=head,
            framing=messages.Framing.LENGTH,
            read_piece=lambda timeout_s: b"",
            close=lambda: None,
        )

    def is_alive(self, address):
        return True

    def record_begun(self, request):
        pass

    def record_end(self, request, outcome, elapsed_s):
        pass


class RateFleet:
    """Instances whose callers' requests arrive at random.

    Parameters
    ----------
    size : int
        Number of instances.
    endpoint_count : int
        Number of endpoints of the one service.
    seed : int
        Seed of the random numbers.
    """

    def __init__(self, size, endpoint_count, seed, domains=4):
        self.clock = clocks.ManualClock()
        self.random = random.Random(seed)
        self.domains = domains
        self.calls = 0
        self.cut = {}
        self.endpoints = {
            f"e{number}": Endpoint(f"e{number}")
            for number in range(endpoint_count)
        }
        self.instances = {}
        self.served = []
        self.refusals = []
        self._sessions = [self.random.getrandbits(64) for _ in range(SESSIONS)]
        self._events = []
        self._order = itertools.count()
        for index in range(size):
            self.add_instance(index)
        self.apply_members()

    def add_instance(self, index):
        instance = Instance(self, index)
        self.instances[instance.name] = instance
        return instance

    def apply_members(self):
        for instance in self.instances.values():
            if instance.is_running:
                instance.apply_members()

    def reaches(self, one, other):
        """Return whether a running instance reaches another one."""
        same_side = self.cut.get(one.name) == self.cut.get(other.name)
        return one.is_running and other.is_running and same_side

    def schedule(self, delay_s, call):
        """Run a call after a delay of the simulated clock."""
        at_s = self.clock.now_s() + delay_s
        heapq.heappush(self._events, (at_s, next(self._order), call))

    def run(self, duration_s, rate_per_s, accounts=("a",), weights=None):
        """Let requests arrive at all instances, rate_per_s in total."""
        end_s = self.clock.now_s() + duration_s
        while True:
            gap_s = self.random.expovariate(rate_per_s)
            self._advance(min(end_s, self.clock.now_s() + gap_s))
            if self.clock.now_s() >= end_s:
                return
            running = [e for e in self.instances.values() if e.is_running]
            instance = self.random.choice(running)
            (account,) = self.random.choices(accounts, weights)
            self._forward(instance, account)

    def _advance(self, until_s):
        """Run the scheduled calls until a time, then move the clock there."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, call = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            call()
        self.clock.advance(until_s - self.clock.now_s())

    def _forward(self, instance, account):
        """Forward one request with a shared prompt part at an instance."""
        session = self.random.choice(self._sessions)
        now_s = self.clock.now_s()
        request = requests.make_request(
            catalogue.RequestKind.NON_IDEMPOTENT,
            arrived_s=now_s,
            deadline_s=now_s + 10.0,
            account=account,
            chain=routing.PromptChain((session, ~session), (500, 600), 600, 1),
        )
        try:
            forwarding = instance.forwarder.forward(request)
        except errors.RefusedError as error:
            self.refusals.append((now_s, account, error.refusal))
            return
        forwarding.close()
        self.served.append((now_s, account))

    def count_worst(self, endpoint, since_s=FIRST_COUNTED_S):
        """Return the most counted requests in a window at an endpoint."""
        times = [
            at_s
            for at_s, is_counted in endpoint.arrivals
            if is_counted and at_s >= since_s
        ]
        worst = 0
        first = 0
        for index, at_s in enumerate(times):
            while at_s - times[first] >= WINDOW_S:
                first += 1
            worst = max(worst, index - first + 1)
        return worst


def allow(rate_per_s):
    """Return the number of requests that a rate allows in a window."""
    return TOLERATED_FACTOR * rate_per_s * WINDOW_S + TOLERATED_REQUESTS
