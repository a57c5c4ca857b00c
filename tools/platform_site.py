"""An instance in a process of its own on a model of the users' platform."""

import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from mulberryhollow.protocol import peer_requests
from standins import platform_site
from tools import processes

__all__ = [
    "PlatformSite",
    "make_configuration",
    "make_endpoint_record",
    "make_route",
    "send",
    "wait_until",
]

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 9.0

_POLL_INTERVAL_S = 0.05


class PlatformSite:
    """Stand-ins for the users' platform, two endpoints and an instance.

    Parameters
    ----------
    endpoint_zones : dict or None
        Failure domain of each endpoint, by name; None for one in common.
    **settings
        Fields to add to the settings of the instance.

    Attributes
    ----------
    server : PlatformServer
        Object store and usage API of the platform.
    endpoints : dict
        Name to PlatformEndpoint, for ``e1`` and ``e2``.
    callers_port, ready_port, control_port, peer_port, forward_port : int
        Ports of the instance for callers, readiness checks, control pages,
        gossip with peers and the requests that peers forward.
    process : subprocess.Popen
        Process of the instance.
    """

    def __init__(self, endpoint_zones=None, **settings):
        self.server = platform_site.PlatformServer()
        self._zones = endpoint_zones or {}
        self._settings = settings
        self.endpoints = {
            name: platform_site.PlatformEndpoint(name) for name in ("e1", "e2")
        }
        for name in self.endpoints:
            self.write_endpoint_record(name)
        self.configure(1)
        self.callers_port, self.ready_port, *other_ports = (
            processes.find_free_ports(5)
        )
        self.control_port, self.peer_port, self.forward_port = other_ports
        self._numbers = itertools.count()
        self._folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._folder.name) / "settings.json"
        path.write_text(json.dumps(self._build_settings(*other_ports)))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "mulberryhollow.platform"],
            cwd=processes.ROOT,
            env=os.environ | {"MULBERRYHOLLOW_BOOT": str(path)},
            stdout=subprocess.DEVNULL,
        )

    def wait_ready(self):
        """Wait until the readiness check of the instance succeeds."""
        wait_until(lambda: self.get_ready_status() == 200, START_TIMEOUT_S)

    def close(self):
        """End the instance and the platform."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for each in (self.server, *self.endpoints.values()):
            each.close()
        self._folder.cleanup()

    def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def write_endpoint_record(self, name, state="ready"):
        """Write the record of an endpoint to the store."""
        address = self.endpoints[name].address
        zone = self._zones.get(name, "z1")
        entry = make_endpoint_record(address, state) | {"zone": zone}
        self.server.store.put("servers", name, entry)

    def configure(self, version, *extra_routes, tenants=()):
        """Write a configuration with additional routes and tenants."""
        self.server.store.put(
            "config",
            "main",
            make_configuration(version, *extra_routes, tenants=tenants),
        )

    def call(self, method, path, **extra_headers):
        """Send a caller's request; return the answer, with its body as `data`.

        Parameters
        ----------
        method, path : str
            The request line.
        **extra_headers : str
            Header fields to add or replace.
        """
        headers = {
            "Host": "h.example",
            "Attempt-Id": f"r{next(self._numbers)}",
            "Deadline-Ms": "5000",
            "Key": "k1",
        }
        body = b"{}" if method == "POST" else None
        return send(
            self.callers_port, method, path, headers | extra_headers, body
        )

    def forward(self, body):
        """Send a call of a peer; return the answer, with its body as `data`.

        Parameters
        ----------
        body : bytes
            Body of the call.
        """
        return send(self.forward_port, "POST", peer_requests.PATH, {}, body)

    def get_ready_status(self):
        """Return the status of the readiness check; 0 without an answer."""
        try:
            return send(self.ready_port, "GET", "/v1/readyz", {}).status
        except OSError:
            return 0

    def get_metrics(self):
        """Return the lines of the metrics page of the instance."""
        answer = send(self.ready_port, "GET", "/metrics", {})
        return answer.data.decode().splitlines()

    def count_threads(self):
        """Return the number of threads of the instance."""
        path = pathlib.Path("/proc", str(self.process.pid), "task")
        return len(list(path.iterdir()))

    def list_executed_requests(self):
        """Return headers, path and body of each request that ran."""
        return [each for e in self.endpoints.values() for each in e.received]

    def _build_settings(self, control_port, first_peer_port, last_peer_port):
        """Return the settings of the instance."""
        return {
            "nodeName": "edge-1",
            "zone": "z1",
            "region": "r1",
            "ip": "127.0.0.1",
            "listen": {
                "frontend": f"127.0.0.1:{self.callers_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
                "control": f"127.0.0.1:{control_port}",
            },
            "internalPorts": [first_peer_port, last_peer_port],
            "bootstrap": True,
            "limits": {"maxFds": 4100},
            "bounds": {"graceS": 8},
            "platform": {"address": self.server.address},
            "cloudApi": {"address": self.server.address, "duties": []},
        } | self._settings


def make_endpoint_record(address, state="ready"):
    """Return the record of an endpoint, as the store holds it."""
    return {
        "service": "s",
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "born": 1700000000000,
    }


def make_route(prefix, kind, timeout_ms=3000):
    """Return the configuration of a route for one kind of request."""
    return {
        "name": f"r-{prefix}",
        "host": "h.example",
        "pathPrefix": f"/{prefix}/",
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 500,
        "service": "s",
        "maxAttempts": 2,
        "gapGoalMs": 400,
    }


def wait_until(condition, timeout_s):
    """Wait until a condition holds.

    Raises
    ------
    StartError
        When the condition does not hold in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= end_s:
            raise processes.StartError("the condition did not hold in time")
        time.sleep(_POLL_INTERVAL_S)


def make_configuration(version, *extra_routes, tenants=()):
    """Return a configuration with a route of each kind."""
    return {
        "version": version,
        "routes": [
            make_route("safe", "idempotent"),
            make_route("once", "non_idempotent"),
            make_route("stream", "streaming"),
            make_route("slow", "non_idempotent", 800),
            make_route("slow/y", "non_idempotent"),
            *extra_routes,
        ],
        "services": [{"name": "s", "maxConns": 100}],
        "tenants": [{"name": "acme", "apiKeys": ["k1"]}, *tenants],
    }


def send(port, method, path, headers, body=None, host="127.0.0.1"):
    """Send one request; return the answer, with its body as `data`."""
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    connection.request(method, path, body, headers)
    answer = connection.getresponse()
    answer.data = answer.read()
    connection.close()
    return answer
