"""Instances of the deploy file, a platform and model engines on loopback.

Shared by the scripts of the cases. The store is the project's stand-in.
"""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from standins import platform_site  # noqa: E402

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeEverywhere": False,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 140000,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "reportWindowS": 5,
    "usageOff": 0.05,
    "usageDelayS": 10,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "recoverS": 12,
    "iterationMs": 120,
    "cacheWindowS": 6,
}
"""Bounds of the small installations."""

START_TIMEOUT_S = 20.0

NETWORK = 40 + os.getpid() % 200
"""Part of the machines' loopback addresses, another one for each run."""

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case takes place."""


class CaseError(Exception):
    """The case could not run."""


def find_ports(count):
    """Return different ports that are free on loopback."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            stack.enter_context(listener)
            found.append(listener.getsockname()[1])
        return found


class Instance:
    """One process of the role ``entry``, with its settings file."""

    def __init__(self, name, folder, store_address, ip, ports, seeds):
        zone = "z1"
        self.name = name
        self.ip = ip
        self.callers_port, self.ready_port, control = ports[:3]
        self._path = pathlib.Path(folder, f"{name}.json")
        self._log = pathlib.Path(folder, f"{name}.log")
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": "r1",
            "zones": {zone: "r1"},
            "listen": {
                "frontend": f"{ip}:{self.callers_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{control}",
            },
            "internalPorts": ports[3:],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "quota",
                "leader",
                "rollout",
                "platform",
            ],
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "objects"},
            "cloudApi": {
                "address": store_address,
                "ratePerS": 50.0,
                "duties": ["metering"],
                "dutiesPerS": 50.0,
            },
        }
        self._path.write_text(json.dumps(settings))
        self.process = None

    def change_settings(self, **fields):
        """Replace fields of the settings file."""
        settings = json.loads(self._path.read_text())
        self._path.write_text(json.dumps(settings | fields))

    def change_limits(self, **fields):
        """Replace fields of the machine's limits."""
        limits = json.loads(self._path.read_text())["limits"]
        self.change_settings(limits=limits | fields)

    def start(self, root=ROOT):
        """Start the process with the command of the deploy file.

        ``root`` is the folder of the build to run.
        """
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "mulberryhollow.platform"],
                cwd=root,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "MULBERRYHOLLOW_BOOT": str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    @property
    def address(self):
        """Address on which the instance serves clients."""
        return self.ip, self.callers_port

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        request = b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n"
        with (
            contextlib.suppress(OSError),
            socket.create_connection((self.ip, self.ready_port), 1.0) as sock,
        ):
            sock.sendall(request)
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def wait_ready(self):
        """Wait until the instance is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise CaseError(f"{self.name} did not become ready")
            time.sleep(0.1)

    def close(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Engine:
    """A model engine: one thread for each connection.

    ``handle(connection, request)`` answers; it returns whether the connection
    is kept.
    """

    def __init__(self, identity, handle):
        self.identity = identity
        self._handle = handle
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def make_entry(self, service="s", slots=48):
        """Return the entry that the engine writes into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z1",
            "version": "1",
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1700000000000,
        }

    def close(self):
        """Stop listening."""
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            reader = sock.makefile("rb")
            while (request := read_request(reader)) is not None:
                if request.headers.get("expect-instance") != self.identity:
                    reply(sock, 421, request)
                elif not self._handle(sock, request):
                    return


class Request:
    """A request that an engine has read."""

    def __init__(self, line, headers, body):
        self.method, self.target = line.split()[:2]
        self.headers = headers
        self.body = body

    @property
    def id(self):
        """Id of the client's attempt."""
        return self.headers.get("attempt-id", "")


def read_request(reader):
    """Return the next Request of a connection; None at its end."""
    line = reader.readline().decode("latin-1")
    if not line:
        return None
    headers = {}
    while field := reader.readline().decode("latin-1").strip():
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    return Request(
        line, headers, reader.read(int(headers.get("content-length", 0)))
    )


def reply(sock, status, request, body=b"", headers=()):
    """Send a complete answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Attempt-Id: {request.id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)


class Site:
    """The platform's store and the instances of a case."""

    def __init__(self, names=("edge-1",)):
        self._folder = tempfile.TemporaryDirectory()
        self.server = platform_site.PlatformServer()
        self.engines = []
        # Ports are the same on all machines.
        ports = find_ports(5)
        ips = [f"127.{NETWORK}.0.{n}" for n in range(1, len(names) + 1)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        self.instances = [
            Instance(
                name, self._folder.name, self.server.address, ip, ports, seeds
            )
            for name, ip in zip(names, ips, strict=True)
        ]

    def configure(self, version, routes, services=("s",)):
        """Write a config."""
        self.server.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {"name": name, "maxConns": 300} for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [{"name": "acme", "apiKeys": ["k1"]}],
            },
        )

    def add_engine(self, engine, **fields):
        """Write the entry of an engine."""
        if engine not in self.engines:
            self.engines.append(engine)
        self.server.store.put(
            "servers", engine.identity, engine.make_entry(**fields)
        )

    def start(self):
        """Start the instances and wait until they are ready."""
        for each in self.instances:
            each.start()
        for each in self.instances:
            each.wait_ready()

    def close(self):
        """End all processes and stand-ins."""
        for each in self.instances:
            each.close()
        for each in self.engines:
            each.close()
        self.server.close()
        self._folder.cleanup()


def make_route(name, kind, **fields):
    """Return a route of the config."""
    return {
        "name": name,
        "host": "h.example",
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 10000,
        "goalMs": 500,
        "priority": 0,
        "service": "s",
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    } | fields


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self._path = path
        self._begin_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines = []

    def add(self, *words):
        """Add a line with the time."""
        now_s = time.monotonic() - self._begin_s
        with self._lock:
            self._lines.append(f"{now_s:8.3f} {' '.join(map(str, words))}")

    def write(self):
        """Write the lines into the file."""
        with self._lock:
            pathlib.Path(self._path).write_text("\n".join(self._lines) + "\n")


_NUMBERS = itertools.count(1)


def make_id():
    """Return the id of a new attempt of a client."""
    return f"{os.getpid():x}-{next(_NUMBERS):06d}"


def main(run, record, names=("edge-1",)):
    """Run a case on a site and exit with its code.

    ``run(site)`` returns whether the rule held.
    """
    code = 2
    here = Site(names)
    try:
        code = 0 if run(here) else 1
    except CaseError as error:
        record.add("the case could not run:", error)
    finally:
        here.close()
        record.write()
    sys.exit(code)
