"""Instances that follow one store which comes back from older copies."""

import json
import types

import attrs

from mulberryhollow import clock as clocks
from mulberryhollow.platform import records
from mulberryhollow.serving import dispatcher as dispatching
from mulberryhollow.serving import fact_peering
from mulberryhollow.serving import fleet_watcher
from mulberryhollow.state import facts
from mulberryhollow.state import objects

LAPSE_S = 4.0
"""Time after which the store removes an entry that nobody writes, in s."""

FIELDS = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "d",
    "version": "v1",
    "slots": 4,
    "born": 5,
}


class Site:
    """The store, its endpoints and the instances.

    Parameters
    ----------
    rng : random.Random
        Source of the events.
    count : int
        Number of instances.
    """

    def __init__(self, rng, count):
        self.rng = rng
        self.now_s = 0.0
        self.era = 1
        self.revision = 10
        self.entries = {}
        self.events = []
        self.copies = []
        self.left = {}
        self.facts = []
        self.pending = []
        for number in range(6):
            self.write(f"e{number}", "ready")
        self.copies.append((self.revision, dict(self.entries)))
        self.instances = [Instance(self) for _ in range(count)]
        for each in self.instances:
            each.sync()

    def stop(self):
        for each in self.instances:
            each.actor.stop()

    def write(self, name, state, is_deleted=False):
        self.revision += 1
        item = objects.StoredObject(
            "servers",
            name,
            objects.make_version(self.era, self.revision),
            json.dumps(FIELDS | {"state": state}).encode(),
            is_deleted=is_deleted,
        )
        self.events.append(item)
        self.entries.pop(name, None)
        if not is_deleted:
            self.entries[name] = item

    def publish(self, source, fact):
        name = fact.key.partition(" ")[2].partition(".")[0]
        binding = name if name in self.left else None
        self.facts.append((fact, binding))
        self.pending += [
            (each, fact, binding)
            for each in self.instances
            if each is not source
        ]

    def step(self):
        """Run one event, chosen at random."""
        self.rng.choice(
            (
                self.leave,
                self.answer_leaving,
                self.copy,
                self.restore,
                self.pass_time,
                self.pass_time,
                self.restart,
                self.lapse,
                *(self.sync,) * 8,
                *(self.deliver,) * 6,
            )
        )()

    def leave(self):
        """Let an endpoint leave, with a word in its entry or without."""
        staying = sorted(self.entries.keys() - self.left.keys())
        if len(staying) < 2:
            return
        name = self.rng.choice(staying)
        self.left[name] = self.now_s
        is_silent = self.rng.random() < 0.5
        self.write(name, "draining", is_deleted=is_silent)

    def lapse(self):
        """Remove the entry of an endpoint that stays and writes it again."""
        staying = sorted(self.entries.keys() - self.left.keys())
        if staying:
            self.write(self.rng.choice(staying), "ready", is_deleted=True)

    def answer_leaving(self):
        """Let an endpoint that has left say so to one instance."""
        if self.left:
            instance = self.rng.choice(self.instances)
            name = self.rng.choice(sorted(self.left))
            instance.dispatcher.report_leaving(f"{name}.5")
            # Its report to the peers comes from the actor.
            instance.dispatcher.read(lambda actor, now_s: None)
            instance.known.add(name)

    def copy(self):
        self.copies.append((self.revision, dict(self.entries)))

    def restore(self):
        """Bring the store back from one of the latest copies."""
        self.revision, entries = self.rng.choice(self.copies[-2:])
        self.era += 1
        self.events = []
        self.entries = {
            name: attrs.evolve(
                item,
                version=objects.make_version(
                    self.era, objects.get_revision(item.version)
                ),
            )
            for name, item in entries.items()
        }
        self.copies = [(self.revision, dict(self.entries))]
        for name in self.left:
            self.left[name] = self.now_s

    def pass_time(self):
        """Let a second pass; entries lapse or are written again."""
        self.now_s += 1.0
        for name, since_s in self.left.items():
            if name in self.entries and self.now_s - since_s >= LAPSE_S:
                self.write(name, "draining", is_deleted=True)
        for number in range(6):
            name = f"e{number}"
            if name not in self.left and name not in self.entries:
                self.write(name, "ready")
        for each in self.instances:
            each.clock.advance(1.0)
            each.watcher.expire(each.contact_s)

    def sync(self):
        self.rng.choice(self.instances).sync()

    def deliver(self):
        if self.pending:
            index = self.rng.randrange(len(self.pending))
            instance, *received = self.pending.pop(index)
            instance.receive(*received)

    def restart(self):
        """Replace an instance; it copies the facts and a list of a peer."""
        index = self.rng.randrange(len(self.instances))
        old = self.instances[index]
        old.actor.stop()
        self.pending = [each for each in self.pending if each[0] is not old]
        new = self.instances[index] = Instance(self)
        for received in self.facts:
            new.receive(*received)
        peer = self.instances[index - 1]
        new.watcher.adopt(peer.watcher.listings)

    def settle(self):
        """Let all facts arrive and all instances follow for a while."""
        for _ in range(25):
            while self.pending:
                self.deliver()
            for each in self.instances:
                # The actor has to read the time before it passes.
                each.list_accepting()
            self.pass_time()
            for each in self.instances:
                each.sync()

    def list_lost(self):
        """Return the endpoints that stay and that instances do not use."""
        staying = self.entries.keys() - self.left.keys()
        return [
            (number, sorted(staying - each.list_accepting()))
            for number, each in enumerate(self.instances)
            if staying - each.list_accepting()
        ]

    def list_wrong(self):
        """Return the endpoints that instances use against their knowledge."""
        return [
            (number, sorted(each.known & each.list_accepting()))
            for number, each in enumerate(self.instances)
            if each.known & each.list_accepting()
        ]


class Instance:
    """One instance that follows the store and hears of its peers."""

    def __init__(self, site):
        self.site = site
        self.known = set()
        self.seen = None
        self.contact_s = None
        self.clock = clocks.ManualClock()
        self.actor = dispatching.DispatchActor.start(self.clock, 1)
        self.dispatcher = dispatching.Dispatcher(self.actor, self.clock)
        self._receive = None
        peering = fact_peering.FactPeering(
            self, self.clock, self.dispatcher, None, lambda actor: actor.quotas
        )
        peering.connect()
        self.dispatcher.on_endpoint_leaving = lambda endpoint_id: (
            peering.publish_leaving(endpoint_id, True)
        )
        self.watcher = fleet_watcher.FleetWatcher(
            records.decode_listing,
            self.dispatcher,
            self.clock,
            peering.publish_leaving,
        )

    def local_member(self):
        return types.SimpleNamespace(instance_id="me", failure_domain="d")

    def publish(self, fact):
        self.site.publish(self, fact)

    def subscribe(self, topic, callback):
        if topic is facts.Topic.NOTICE:
            self._receive = callback

    def handle(self, topic, handler):
        pass

    def receive(self, fact, binding):
        """Receive a fact of a peer and the endpoint that it shows to leave.

        The endpoint is None for a fact about an entry that only lapsed.
        """
        self._receive(fact)
        if binding is not None:
            self.known.add(binding)

    def sync(self):
        """Read what the store has that this instance has not."""
        site = self.site
        now = objects.make_version(site.era, site.revision)
        if self.seen is None or objects.get_era(self.seen) != site.era:
            items = tuple(site.entries.values())
            before = {each.identity for each in self.watcher.listings}
            self.watcher.handle_list(items, now)
            gone = before - site.entries.keys()
        else:
            items = [each for each in site.events if each.version > self.seen]
            gone = {each.name for each in items if each.is_deleted}
            if items:
                self.watcher.handle_changes(items)
        said = {
            each.name
            for each in items
            if not each.is_deleted and b"draining" in each.value
        }
        self.known |= (gone | said) & site.left.keys()
        self.seen, self.contact_s = now, self.clock.now_s()

    def list_accepting(self):
        """Return the names of the endpoints that may get requests."""
        return self.dispatcher.read(
            lambda actor, now_s: {
                record.endpoint.identity
                for record in actor.view
                if record.is_available()
            }
        )
