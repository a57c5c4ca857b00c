"""Instances that follow a kind of objects in a store that loses its history.

Time passes on a paused clock, between the calls of the instances' loops.
"""

import functools
import json
import random
import urllib.parse

import urllib3

from mulberryhollow import clock as clocks
from mulberryhollow.platform import daemon
from mulberryhollow.platform import store as dialects
from mulberryhollow.serving import pollers
from mulberryhollow.serving import store_relay
from mulberryhollow.serving import watch
from mulberryhollow.transport import store as stores
from standins import platform

KIND = "config"

STEP_S = 0.01
"""Resolution of the time, in seconds."""


class Access:
    """The path of one instance to the store.

    Attributes
    ----------
    is_away : bool
        Whether no call is answered.
    at_call : callable
        Called with ``list`` or ``watch`` before each call; it may change the
        store or raise the error with which the call fails.
    lists, watches : int
        Number of calls of each sort; the pages of a list count as one.
    """

    def __init__(self, stored):
        self._stored = stored
        self.is_away = False
        self.at_call = lambda name: None
        self.lists = self.watches = 0

    def request(self, method, path, **options):
        if self.is_away:
            raise urllib3.exceptions.HTTPError("no answer")
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        if "watch" in query:
            self.watches += 1
        elif "after" not in query:
            self.lists += 1
        self.at_call("watch" if "watch" in query else "list")
        return self._stored.request(method, path, **options)


class Instance:
    """A follower of the kind, its relay and the loops that drive them."""

    def __init__(self, stored, clock, seed, is_collector=True):
        self.access = Access(stored)
        self.names = set()
        self.lists = 0
        client = stores.StoreClient(
            "127.0.0.1:1", dialect=dialects.PlatformDialect()
        )
        client._pool = self.access
        self.follower = watch.ObjectFollower(client, KIND, clock, self)
        self.relay = store_relay.StoreRelay(
            [self.follower], clock, lambda: is_collector
        )
        self.loop = pollers.Loop(
            KIND,
            clock,
            daemon.FOLLOW_INTERVAL_S,
            functools.partial(self.relay.read, self.follower),
            daemon.MAX_FOLLOW_INTERVAL_S,
        )
        self.loop._random = random.Random(seed)
        self.read_s = clock.now_s()
        self.ask_s = clock.now_s() + (seed % 7) / 7

    def handle_list(self, items, revision):
        self.lists += 1
        self.names = {each.name for each in items}

    def handle_changes(self, items):
        for each in items:
            if each.is_deleted:
                self.names.discard(each.name)
            else:
                self.names.add(each.name)

    def record_recovery(self, at_s, last_use_s):
        pass

    def ask(self, other):
        """Ask another instance for its state, as aggregate reports do."""
        question = json.loads(json.dumps(self.relay.ask()))
        answer = json.loads(json.dumps(other.relay.answer(question)))
        self.relay.accept(answer)


class Fleet:
    """Instances that read one store and ask each other.

    Parameters
    ----------
    seed : int
        Seed of the phases and the random parts of their loops.
    count : int
        Number of instances.
    """

    def __init__(self, seed, count=4):
        self.store = platform.PlatformStore()
        self.store.put(KIND, "first", {})
        self.clock = clocks.ManualClock()
        self.instances = [
            Instance(self.store, self.clock, seed * count + number)
            for number in range(count)
        ]
        self.run(3.0)

    def run(self, for_s):
        """Let time pass; call each loop when it is due."""
        end_s = self.clock.now_s() + for_s
        while self.clock.now_s() < end_s:
            for each in self.instances:
                self._call(each, self.clock.now_s())
            self.clock.advance(STEP_S)

    def set_away(self, is_away):
        """Let the store answer nobody, or everybody again."""
        for each in self.instances:
            each.access.is_away = is_away

    def measure_until_known(self, name, limit_s):
        """Return the time until each instance knows an object, in seconds.

        It is at least the limit if some do not know it by then.
        """
        began_s = self.clock.now_s()
        while self.clock.now_s() < began_s + limit_s:
            if all(name in each.names for each in self.instances):
                break
            self.run(STEP_S)
        return self.clock.now_s() - began_s

    def _call(self, each, now_s):
        if now_s >= each.ask_s:
            each.ask_s = now_s + daemon.AGGREGATE_INTERVAL_S
            for other in self.instances:
                if other is not each:
                    each.ask(other)
        if now_s >= each.read_s:
            each.read_s = now_s + each.loop.call_once()
