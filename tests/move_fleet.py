"""Instances that move a service between versions, on a paused clock."""

import concurrent.futures
import contextlib
import heapq
import itertools
import random
import types
from unittest import mock

import attrs

from mulberryhollow import clock as clocks
from mulberryhollow.coordination import rollout
from mulberryhollow.coordination.routing import shares as draws
from mulberryhollow import errors
from mulberryhollow.platform import move_wiring
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import attempts
from mulberryhollow.serving import shares
from mulberryhollow.serving import version_holds
from mulberryhollow.serving import watch
from mulberryhollow.state import endpoints
from mulberryhollow.state import fleet
from mulberryhollow.transport import store
from standins import platform

STEP_S = 0.05
TICK_STEPS = 4
SERVICE = "s"
GOSSIP_S = 0.3
"""Time until a published fact has reached all instances, in seconds."""

LIMIT = rollout.ExposureLimit(0.1, 50.0, 5.0)
LEASE_S = 3.0

ENDPOINTS_OF_VERSION = 4
BOOT_S = 0.4
"""Time from the order until the new endpoints are listed, in seconds."""


MAX_LATENCY_S = 0.15
"""Longest time that the old version takes, in seconds."""


@attrs.frozen
class Sent:
    """A request: when it was sent and ended, and whether it was bad."""

    sent_s: float
    version: str
    end_s: float
    is_bad: bool


class InlineExecutor:
    """Runs what is submitted at once."""

    def __init__(self, *arguments, **options):
        pass

    def submit(self, call, *arguments):
        future = concurrent.futures.Future()
        future.set_result(call(*arguments))
        return future


class Pool:
    """Connection of one instance to the store, which may be cut."""

    def __init__(self, platform_store):
        self._platform = platform_store
        self.is_cut = False

    def request(self, method, path, **options):
        if self.is_cut:
            return platform.Answer(503, b"{}")
        return self._platform.request(
            method, path, options.get("body"), options.get("headers")
        )


class Peers:
    """Facts with a delay, and calls between the instances of a fleet."""

    def __init__(self, site, name):
        self._site = site
        self.name = name
        self.handlers = {}
        self.subscribers = {}

    def local_member(self):
        return types.SimpleNamespace(instance_id=self.name, incarnation=1)

    def publish(self, fact):
        self._site.spread(self.name, fact)

    def subscribe(self, topic, callback):
        self.subscribers[topic.value] = callback

    def handle(self, topic, handler):
        self.handlers[topic] = handler

    def call(self, name, topic, payload, timeout_s):
        other = self._site.instances[name]
        if not other.is_running:
            raise errors.PeerError("the peer is gone", "none")
        return other.peers.handlers[topic](payload)


class Dispatcher:
    """The shares and endpoints of an instance, changed at once."""

    def __init__(self, view):
        self.actor = types.SimpleNamespace(
            view=view, shares=shares.VersionShares()
        )
        self.count_endpoints()

    def count_endpoints(self):
        """Set the number of endpoints of each version."""
        versions = [record.versions[0] for record in self.actor.view]
        counts = {each: versions.count(each) for each in versions}
        self.actor.shares.set_endpoint_counts({SERVICE: counts})

    def change(self, apply):
        apply(self.actor, 0.0)

    def read(self, apply):
        return apply(self.actor, 0.0)


def make_record(name, version):
    """Return the record of an endpoint with 8 slots."""
    endpoint = types.SimpleNamespace(
        address=f"{name}:1", service=SERVICE, role="endpoint"
    )
    return types.SimpleNamespace(
        endpoint=endpoint, versions=(version,), slots=8, is_leaving=False
    )


def make_listing(name, version):
    """Return the listing of an endpoint with 8 slots."""
    return fleet.EndpointListing(
        name, 1, SERVICE, f"{name}:1", "d", version, 8
    )


class Instance:
    """One instance with the platform's wiring of moves."""

    def __init__(self, site, name):
        self.is_running = True
        self.peers = Peers(site, name)
        self.dispatcher = Dispatcher([])
        client = store.StoreClient(
            "127.0.0.1:1", dialect=dialects.PlatformDialect()
        )
        self.pool = client._pool = Pool(site.platform)
        bounds = types.SimpleNamespace(exposure=LIMIT, lease_s=LEASE_S)
        settings = types.SimpleNamespace(bounds=bounds)
        self.listings = []
        self.list_version("v1")
        with mock.patch.object(
            concurrent.futures, "ThreadPoolExecutor", InlineExecutor
        ):
            self.moves = move_wiring.PlatformMoves(
                move_wiring.MoveWiring(
                    settings=lambda: settings,
                    store=client,
                    peers=self.peers,
                    dispatcher=self.dispatcher,
                    clock=site.clock,
                    holds=version_holds.VersionHolds(),
                    get_listings=lambda: self.listings,
                    get_members=lambda: site.list_members(name),
                )
            )
        self.moves.connect()
        self.follower = self.moves.follow(
            lambda kind, follower: watch.ObjectFollower(
                client, kind, site.clock, follower
            )
        )

    def read_orders(self):
        """Read the orders once, if the store answers."""
        with contextlib.suppress(errors.StoreUnavailableError):
            self.follower.read()

    def list_version(self, version):
        """List the endpoints of a version, unless that was done."""
        if any(each.version == version for each in self.listings):
            return
        names = [f"{version}-{n}" for n in range(ENDPOINTS_OF_VERSION)]
        self.listings += [make_listing(each, version) for each in names]
        view = self.dispatcher.actor.view
        view += [make_record(each, version) for each in names]
        self.dispatcher.count_endpoints()

    @property
    def is_ready(self):
        """Whether the platform gives this instance requests."""
        return self.moves.is_settled

    def flush(self):
        """Wait until the actor has handled what it was told."""
        return self.moves.render_metrics()

    def stop(self):
        """End the instance."""
        self.is_running = False
        self.moves._actor.stop()


class MoveFleet:
    """A fleet, its store and the load on a service.

    Parameters
    ----------
    count : int
        Number of instances.
    rate_per_s : float
        Requests of the service, per second.
    fault : callable
        Given a version, a route, the time since the order and a
        random.Random, returns the latency in seconds and whether the request
        fails.
    """

    def __init__(self, count, rate_per_s, fault):
        self.clock = clocks.ManualClock()
        self.platform = platform.PlatformStore()
        self.rate_per_s = rate_per_s
        self.fault = fault
        self.rng = random.Random(5)
        self.instances = {}
        self.ordered_s = None
        self.sent = []
        self._booted_s = {}
        self._facts = []
        self._known = {}
        self._ends = []
        self._numbers = itertools.count()
        self._owed = 0.0
        for number in range(count):
            self.add(f"i{number}")
        self.run(1.0)

    def add(self, name):
        """Start an instance."""
        self.instances[name] = Instance(self, name)

    def close(self):
        """End all instances."""
        for each in self.list_running():
            each.stop()

    def list_running(self):
        """Return the running instances."""
        return [each for each in self.instances.values() if each.is_running]

    def list_members(self, name):
        """Return the members that an instance knows."""
        return [
            types.SimpleNamespace(instance_id=each.peers.name)
            for each in self.list_running()
            if each.peers.name != name
        ]

    def spread(self, name, fact):
        """Deliver a fact to the others after a delay, unless it is known."""
        identity = fact.topic, fact.key
        if self._known.get(identity, (-1, b"")) >= (fact.version, fact.value):
            return
        self._known[identity] = fact.version, fact.value
        due_s = self.clock.now_s() + GOSSIP_S
        heapq.heappush(self._facts, (due_s, next(self._numbers), name, fact))

    def restart(self, count):
        """End the first instances at the same time, and start others."""
        ended = self.list_running()[:count]
        for each in ended:
            each.stop()
        for each in ended:
            self.add(f"{each.peers.name}-again")
        self._list_new()

    def order(self, duration_s, target="v2"):
        """Order a move to a version, whose endpoints are started."""
        self.ordered_s = self.clock.now_s()
        self._booted_s.setdefault(target, self.ordered_s + BOOT_S)
        spec = {"service": SERVICE, "target": target, "durationS": duration_s}
        self.platform.put("rollouts", SERVICE, spec)

    @property
    def status(self):
        """Status beside the order."""
        return self.platform.objects["rollouts", SERVICE]["status"] or {}

    @property
    def driver(self):
        """The instance that holds the lease of the move."""
        name = self.status["record"]["driver"].rpartition(".")[0]
        return self.instances[name]

    def cut_store(self, is_cut):
        """Cut all instances from the store, or connect them again."""
        for each in self.list_running():
            each.pool.is_cut = is_cut

    def run(self, seconds):
        """Advance the time, with requests, ticks and facts."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._list_new()
            self._deliver()
            self._end_requests()
            self._send_requests()
            for number, each in enumerate(self.list_running()):
                if (step + number) % TICK_STEPS == 0:
                    each.read_orders()
                    each.moves.tick()
            for each in self.list_running():
                each.flush()

    def _list_new(self):
        """List the new endpoints some time after their order."""
        now_s = self.clock.now_s()
        booted = [
            version
            for version, booted_s in self._booted_s.items()
            if booted_s <= now_s
        ]
        for each, version in itertools.product(self.list_running(), booted):
            each.list_version(version)

    def _deliver(self):
        """Deliver the facts that are due."""
        while self._facts and self._facts[0][0] <= self.clock.now_s():
            *_, name, fact = heapq.heappop(self._facts)
            for each in self.list_running():
                callback = each.peers.subscribers.get(fact.topic)
                if each.peers.name != name and callback:
                    callback(fact)

    def _send_requests(self):
        """Send the requests of one step."""
        self._owed += self.rate_per_s * STEP_S
        # An instance that starts is not ready until it knows the orders.
        ready = [each for each in self.list_running() if each.is_ready]
        for _ in range(int(self._owed) if ready else 0):
            self._send(self.rng.choice(ready))
        self._owed %= 1.0

    def _send(self, instance):
        """Send one request to the version that its instance draws."""
        number = next(self._numbers)
        found = instance.dispatcher.actor.shares.get(SERVICE)
        version = draws.list_versions(f"r{number}", found)[0]
        now_s = self.clock.now_s()
        since_s = now_s - (self.ordered_s or now_s)
        route_name = f"route{number % 2}"
        latency_s, has_failed = self.fault(
            version, route_name, since_s, self.rng
        )
        route = types.SimpleNamespace(
            service=SERVICE,
            version=version,
            request_class=route_name,
            work=types.SimpleNamespace(started_at_s=now_s),
        )
        instance.dispatcher.on_attempt_begin(route)
        is_bad = has_failed or latency_s > MAX_LATENCY_S
        self.sent.append(Sent(now_s, version, now_s + latency_s, is_bad))
        heapq.heappush(
            self._ends,
            (now_s + latency_s, number, instance, route, has_failed),
        )

    def _end_requests(self):
        """End the requests that are due."""
        while self._ends and self._ends[0][0] <= self.clock.now_s():
            end_s, _, instance, route, has_failed = heapq.heappop(self._ends)
            kind = endpoints.FailureKind.FAILED if has_failed else None
            took_s = end_s - route.work.started_at_s
            if instance.is_running:
                instance.dispatcher.on_attempt_end(
                    attempts.AttemptResult(route, kind, took_s, False)
                )
