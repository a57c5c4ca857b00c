"""Instances that follow the evacuations in a store, under a manual clock."""

import contextlib
import functools
import json
import types

from mulberryhollow.coordination import routing
from mulberryhollow.coordination import sharing
from mulberryhollow import errors
from mulberryhollow.platform import records
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import evacuations
from mulberryhollow.serving import store_relay
from mulberryhollow.serving import watch
from mulberryhollow.state import endpoints
from mulberryhollow.transport import store
from standins import platform
from tests import membership_cluster
from tests import rate_fleet

DOMAINS = 4
ENDPOINTS_PER_DOMAIN = 2
FOLLOW_INTERVAL_S = 0.1
TICKS_PER_REPORT = 5
LIMIT_S = 5.0

# Calls by which a holder of a large fleet places requests of its peers, and
# by which an instance sends its own.
SAMPLED_REQUESTS = 8


def name_domain(number):
    """Return the name that the cluster gives to a failure domain."""
    return f"fd-{number:02d}"


def make_endpoint(name, domain):
    return endpoints.Endpoint(name, "m", name, domain, "s", "v1", slots=8)


class Access:
    """Access of one instance to the store, which may turn it away."""

    def __init__(self, shared):
        self._shared = shared
        self.is_turned_away = False

    def request(self, *arguments, **named):
        if self.is_turned_away:
            return platform.Answer(503, b"{}")
        return self._shared.request(*arguments, **named)


class Instance:
    """One instance without threads, as a process that has just started."""

    def __init__(self, fleet, member, index):
        self.fleet = fleet
        self.index = index
        self.member = member
        self.access = Access(fleet.store)
        self.actor = dispatching.DispatchActor(fleet.clock, index)
        self.dispatcher = dispatching.Dispatcher(
            rate_fleet.InlineRef(self.actor), fleet.clock
        )
        self.actor.shares.set_endpoint_counts({"s": {"v1": 1}})
        self.actor.view.apply_list(fleet.endpoints, fleet.clock.now_s())
        name = member.instance_id
        table = fleet.cluster.nodes[name].table
        peers = types.SimpleNamespace(
            publish=functools.partial(fleet.cluster.publish, name),
            subscribe=table.subscribe,
        )
        self.watcher = evacuations.EvacuationWatcher(
            records.decode_evacuation,
            self.dispatcher,
            peers,
            fleet.clock,
            LIMIT_S,
            [name_domain(number) for number in range(DOMAINS)],
        )
        self.watcher.connect()
        client = store.StoreClient(
            "127.0.0.1:1", dialect=dialects.PlatformDialect()
        )
        client._pool = self.access
        self.follower = watch.ObjectFollower(
            client, records.EVACUATION_KIND, fleet.clock, self.watcher
        )
        others = [each for each in fleet.members if each != member]
        self.collectors = sharing.choose_collectors(
            member, others, len(fleet.members)
        )
        self.relay = store_relay.StoreRelay(
            [self.follower], fleet.clock, lambda: self.collectors.is_local
        )

    def read(self):
        with contextlib.suppress(errors.StoreUnavailableError):
            self.relay.read(self.follower)

    def report(self):
        """Ask a collector for the objects, as the aggregate reports do."""
        domain = self.member.failure_domain
        name = self.member.instance_id
        domains = self.collectors.domains
        asked = domains[domain][:1]
        if name in asked:
            asked = [names[0] for names in domains.values()]
        for other in set(asked) - {name}:
            question = json.loads(json.dumps(self.relay.ask()))
            answer = self.fleet.instances[other].relay.answer(question)
            self.relay.accept(json.loads(json.dumps(answer)))

    def list_accepting(self):
        """Return the failure domains whose endpoints accept requests."""
        return {
            record.endpoint.failure_domain
            for record in self.actor.view
            if record.endpoint.id in self.actor.view.get_group("s", "v1")
        }

    def list_used(self):
        """Return the domains that new requests of all sorts are sent to.

        These are requests of this instance, those that name an endpoint
        chosen by another instance, retries, and those placed for peers.
        """
        used = set()
        for number in range(SAMPLED_REQUESTS):
            preferred = self.fleet.endpoints[number].id
            first = self.choose(f"{number}")
            named = self.choose(f"{number}", preferred=preferred)
            again = self.choose(f"{number}", excluded=(first.endpoint_id,))
            placed = self.dispatcher.place(make_route_request(f"{number}"))
            used |= {first.endpoint_id, named.endpoint_id}
            used |= {again.endpoint_id, placed.chosen.endpoint_id}
        return {each.partition("/")[0] for each in used}

    def choose(self, request_id, preferred="", excluded=()):
        route = self.dispatcher.choose_endpoint(
            make_route_request(request_id, preferred), excluded
        )
        self.dispatcher.finish(route)
        return route


class EvacuationFleet:
    """Instances in four failure domains, each with endpoints of its own.

    The facts travel through the gossip of a simulated cluster.

    Parameters
    ----------
    size : int
        Number of instances.
    loss : float
        Fraction of the gossip's messages that are lost.
    """

    def __init__(self, size, loss=0.0):
        self.store = platform.PlatformStore()
        self.members = membership_cluster.make_members(size, DOMAINS)
        self.cluster = membership_cluster.Cluster(self.members, 1, loss=loss)
        self.clock = self.cluster.clock
        self.endpoints = [
            make_endpoint(
                f"{name_domain(domain)}/{number}", name_domain(domain)
            )
            for number in range(ENDPOINTS_PER_DOMAIN)
            for domain in range(DOMAINS)
        ]
        self.instances = {
            member.instance_id: Instance(self, member, index)
            for index, member in enumerate(self.members)
        }
        self._ticks = 0
        self.run(2.0)

    def run(self, for_s):
        for _ in range(round(for_s / FOLLOW_INTERVAL_S)):
            self.tick()

    def tick(self):
        self._ticks += 1
        for instance in self.instances.values():
            instance.read()
            instance.watcher.expire()
            if (self._ticks + instance.index) % TICKS_PER_REPORT == 0:
                instance.report()
        self.cluster.run(FOLLOW_INTERVAL_S)

    def measure(self, is_met, limit_s):
        """Run until all instances meet a condition; return the time."""
        began_s = self.clock.now_s()
        while not all(map(is_met, self.instances.values())):
            passed_s = self.clock.now_s() - began_s
            assert passed_s < limit_s, f"not within {limit_s} s"
            self.tick()
        return self.clock.now_s() - began_s

    def restart(self, name):
        """Replace an instance by a new process of the same name."""
        index = self.instances[name].index
        member = membership_cluster.make_member(
            index, self.members[index].failure_domain, "r-0", 2
        )
        self.members[index] = member
        self.cluster.start(member, self.members)
        self.instances[name] = Instance(self, member, index)


def make_route_request(request_id, preferred=""):
    return routing.RouteRequest(request_id, "s", {}, preferred=preferred)
