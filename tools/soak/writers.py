"""Writers of the platform's store: the operator and the endpoints."""

import itertools
import threading

from tools import platform_site
from tools.soak import records
from tools.soak import site as sites
from tools.soak import stand_ins

__all__ = ["Endpoints", "Operator"]

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
"""Silence after which the store removes an endpoint's entry, in seconds."""

REWRITE_RANGE_S = (0.5, 2.0)
"""Time after a restore until the operator has written again, in seconds."""

REPLACEMENT_DELAY_S = 1.0
ROUTES_KEPT = 2
"""Number of versions for which an added route stays in the configuration."""


class Operator:
    """Writes configurations, each of which adds and removes a route.

    Parameters
    ----------
    server : SoakServer
        Store to write to.
    recorder : Recorder
        Gets the confirmations.
    generator : random.Random
        Source of delays and of steps between versions.
    fixed_routes : tuple of dict
        Routes that stay in all versions.
    """

    def __init__(self, server, recorder, generator, fixed_routes=()):
        self._fixed_routes = fixed_routes
        self._server = server
        self._recorder = recorder
        self._generator = generator
        self._version = 0
        self._due_s = None
        self.routes = ()

    def configure(self):
        """Write the next version, unless the store is down."""
        if self._server.is_refusing:
            return
        self._version += self._generator.randrange(1, 4)
        self.routes = (*self.routes, f"v{self._version}")[-ROUTES_KEPT:]
        self._write()

    def tick(self, now_s):
        """Write the newest version again where a restore has lost it."""
        stored = self._server.store.objects.get(("config", "main"))
        is_lost = not stored or stored["spec"]["version"] != self._version
        if self._server.is_refusing or not is_lost:
            self._due_s = None
        elif self._due_s is None:
            self._due_s = now_s + self._generator.uniform(*REWRITE_RANGE_S)
        elif now_s >= self._due_s:
            self._write()

    def _write(self):
        """Write the newest version and record the confirmation."""
        extra = (
            platform_site.make_route(name, "idempotent")
            for name in self.routes
        )
        document = platform_site.make_configuration(
            self._version, *self._fixed_routes, *extra
        )
        document["tenants"][0] |= {"ratePerS": 1e4, "burst": 1e4}
        zone_prices = dict.fromkeys(sites.ZONES, 1.0)
        document["services"][0]["scaling"] = {
            "min": 1,
            "max": 6,
            "bootS": 2,
            "zonePrices": zone_prices,
        }
        # Recorded on both sides of the write: an instance may serve the
        # version before the operator has seen the confirmation.
        written = records.ConfigurationWritten
        begun_s = self._recorder.now_s()
        self._server.store.put("config", "main", document)
        now_s = self._recorder.now_s()
        self._recorder.add(written(begun_s, now_s, self._version, self.routes))


class Endpoints:
    """Endpoints with heartbeats that leave and are replaced.

    Parameters
    ----------
    server : SoakServer
        Store to write to.
    recorder : Recorder
        Gets what the endpoints do.
    generator : random.Random
        Source of delays.
    make : callable
        Returns an endpoint, given its name and the recorder.
    per_zone, slots : int
        Number of endpoints in each failure domain, and of slots of each.
    """

    def __init__(
        self,
        server,
        recorder,
        generator,
        make=stand_ins.SoakEndpoint,
        per_zone=2,
        slots=16,
    ):
        self._make = make
        self._slots = slots
        self._server = server
        self._recorder = recorder
        self._generator = generator
        self._numbers = itertools.count(1)
        self._beats = {}
        self._silent_since = {}
        self._entries = {}
        self._exits = {}
        self._replacements = []
        self._leaving = {}
        self._running = {}
        for zone in sites.ZONES * per_zone:
            self._start(zone)

    def close(self):
        """Stop all endpoints."""
        for each in self._running.values():
            each.close()

    def pause(self, index, duration_s):
        """Let an endpoint pause all its streams."""
        self._select(index).pause(duration_s)

    def fill(self, index, duration_s):
        """Let an endpoint refuse streams as full."""
        self._select(index).fill(duration_s)

    def _select(self, index):
        """Return a running endpoint."""
        return self._running[sorted(self._running)[index]]

    def leave(self, index, way, now_s):
        """Let an endpoint leave.

        Parameters
        ----------
        index : int
            Selects the endpoint among those that stay.
        way : str
            Whether the entry is changed to draining or removed, and whether
            all answers say so.
        now_s : float
            The time, in seconds.
        """
        staying = sorted(set(self._running) - set(self._exits))
        if len(staying) < len(sites.ZONES) + 1:
            return
        name = staying[index % len(staying)]
        if "answers" in way:
            self._running[name].is_leaving = True
        self._leaving[name] = way
        self._beats[name] = now_s
        drain_s = sites.BOUNDS["drainMs"] / 1000
        # The endpoint serves for some time beyond the bound.
        stays_s = drain_s + self._generator.uniform(1.0, 4.0)
        self._exits[name] = now_s + stays_s

    def tick(self, now_s):
        """Write heartbeats, expire entries, end and replace endpoints."""
        for name in [n for n, at_s in self._exits.items() if now_s >= at_s]:
            self._exit(name, now_s)
        for at_s, zone in tuple(self._replacements):
            if now_s >= at_s:
                self._replacements.remove((at_s, zone))
                self._start(zone)
        if not self._server.is_refusing:
            for name in self._running:
                if now_s >= self._beats[name]:
                    self._write(name)
                    self._beats[name] = now_s + HEARTBEAT_S
            self._expire(now_s)

    def _start(self, zone):
        """Start a new endpoint; its entry is written at the next tick."""
        name = f"e{next(self._numbers)}"
        endpoint = self._make(name, self._recorder)
        record = platform_site.make_endpoint_record(endpoint.address)
        self._entries[name] = record | {"zone": zone, "slots": self._slots}
        self._running[name] = endpoint
        self._beats[name] = 0.0

    def _write(self, name):
        """Write the entry of an endpoint, or remove it, if that is due."""
        store = self._server.store
        way = self._leaving.get(name, "")
        is_stored = ("servers", name) in store.objects
        if way == "removed":
            # Without an entry there is nothing that the store confirms.
            if not is_stored:
                return
            store.remove("servers", name)
        elif way.startswith("entry"):
            entry = self._entries[name] | {"state": "draining"}
            store.put("servers", name, entry)
        else:
            store.put("servers", name, self._entries[name])
            return
        self._recorder.add(
            records.EndpointLeft(self._recorder.now_s(), name, way)
        )

    def _exit(self, name, now_s):
        """End an endpoint that has left."""
        del self._exits[name]
        endpoint = self._running.pop(name)
        # Closing waits for the thread that accepts connections.
        threading.Thread(target=endpoint.close, daemon=True).start()
        endpoint.cut_connections()
        store = self._server.store
        is_stored = ("servers", name) in store.objects
        if is_stored and not self._server.is_refusing:
            store.remove("servers", name)
        zone = self._entries[name]["zone"]
        self._replacements.append((now_s + REPLACEMENT_DELAY_S, zone))

    def _expire(self, now_s):
        """Remove entries whose endpoints have been silent for too long.

        A restored copy may list endpoints that are gone.
        """
        listed = {
            n for kind, n in self._server.store.objects if kind == "servers"
        }
        silent = listed - set(self._running)
        self._silent_since = {
            name: self._silent_since.get(name, now_s) for name in silent
        }
        for name, since_s in self._silent_since.items():
            if now_s - since_s >= EXPIRY_S:
                self._server.store.remove("servers", name)
