"""Small site for the scripts of the second review.

The platform, the servers and the clients are stand-ins on loopback addresses;
the instances are the project's own processes, started with the command of the
deploy file.
"""

import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BORN_MS = 1_700_000_000_000
START_TIMEOUT_S = 30.0

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
"""Bounds of the small sites."""


class Record:
    """Writes what happens, with the time since the start, to record.txt."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._begin_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._begin_s

    def add(self, text):
        """Write one line; return its time."""
        with self._lock:
            at_s = self.now_s()
            self._file.write(f"{at_s:8.3f}  {text}\n")
            self._file.flush()
        return at_s


class _Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the ``handle_call`` method of its server."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def _pass_on(self):
        size = int(self.headers.get("Content-Length") or 0)
        self.server.owner.handle_call(self, self.rfile.read(size))
        with contextlib.suppress(OSError):
            self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _pass_on

    def log_message(self, *arguments):
        """Write no access log."""

    def reply(self, status, body=b"", headers=()):
        """Send a whole answer."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Print nothing about a connection that was cut."""


class Server:
    """HTTP server on a loopback address, one thread a connection."""

    def __init__(self, ip="127.0.0.1"):
        self._server = _HttpServer((ip, 0), _Handler)
        self._server.owner = self
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    @property
    def address(self):
        """Address on which the server listens, ``host:port``."""
        host, port = self._server.server_address
        return f"{host}:{port}"

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


class Store(Server):
    """The platform's metadata store, and the API for the duties.

    Attributes
    ----------
    record : Record
        Gets the calls of duties.
    """

    def __init__(self, record):
        self.record = record
        self._changed = threading.Condition()
        self._revision = 100
        self._objects = {}
        self._events = []
        super().__init__()

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        with self._changed:
            return self._write(kind, name, "spec", spec)

    def delete(self, kind, name):
        """Remove an object as the operator or the platform does."""
        with self._changed:
            self._remove(kind, name)

    def get(self, kind, name):
        """Return an object, or None."""
        with self._changed:
            return self._objects.get((kind, name))

    def handle_call(self, handler, body):
        """Answer one call."""
        split = urllib.parse.urlsplit(handler.path)
        if not split.path.startswith("/v1/objects/"):
            self.record.add(
                f"duty {handler.path} {body.decode()} holder "
                f"{handler.headers.get('Duty-Holder')} number "
                f"{handler.headers.get('Fencing-Token')}"
            )
            handler.reply(200, b"{}")
            return
        query = dict(urllib.parse.parse_qsl(split.query))
        parts = [
            urllib.parse.unquote(each)
            for each in split.path.removeprefix("/v1/objects/").split("/")
        ]
        fields = json.loads(body) if body else {}
        status, value = self._answer(handler.command, parts, query, fields)
        handler.reply(
            status,
            json.dumps(value).encode(),
            [("Content-Type", "application/json")],
        )

    def _answer(self, method, parts, query, fields):
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        part = parts[2] if len(parts) > 2 else "spec"
        if "watch" in query:
            return self._watch(
                kind, int(query["watch"]), int(query.get("waitMs", 0))
            )
        with self._changed:
            found = self._objects.get((kind, name))
            if method == "GET" and not name:
                return self._list(kind, query.get("after", ""))
            if method == "POST":
                name = fields["metadata"]["name"]
                found = self._objects.get((kind, name))
                if found is not None:
                    return 409, found
                return 201, self._write(kind, name, "spec", fields["spec"])
            if found is None:
                return 404, {}
            if method == "GET":
                return 200, found
            given = fields.get("metadata", {}).get("revision")
            given = given or query.get("revision")
            if given and int(given) != found["metadata"]["revision"]:
                return 409, found
            if method == "DELETE":
                self._remove(kind, name)
                return 200, {}
            return 200, self._write(kind, name, part, fields[part])

    def _write(self, kind, name, part, value):
        found = self._objects.get((kind, name))
        if found is not None and found[part] == value:
            return found
        self._revision += 1
        item = found or {
            "metadata": {
                "name": name,
                "created": self._revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": None,
            "status": None,
        }
        metadata = item["metadata"] | {"revision": self._revision}
        item = item | {"metadata": metadata, part: value}
        self._objects[kind, name] = item
        self._events.append((self._revision, kind, item, False))
        self._changed.notify_all()
        return item

    def _remove(self, kind, name):
        item = self._objects.pop((kind, name))
        self._revision += 1
        metadata = item["metadata"] | {"revision": self._revision}
        item = item | {"metadata": metadata}
        self._events.append((self._revision, kind, item, True))
        self._changed.notify_all()

    def _list(self, kind, after):
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        page = [self._objects[kind, each] for each in names[:500]]
        return 200, {
            "items": page,
            "hasMore": len(names) > len(page),
            "at": self._revision,
        }

    def _watch(self, kind, after, wait_ms):
        with self._changed:
            self._changed.wait_for(
                lambda: self._find_events(kind, after), wait_ms / 1000.0
            )
            events = self._find_events(kind, after)
            return 200, {"events": events, "at": self._revision}

    def _find_events(self, kind, after):
        return [
            {"object": item, "deleted": is_deleted}
            for at, k, item, is_deleted in self._events
            if k == kind and at > after
        ]


class Engine(Server):
    """A server of a service; subclasses say what it answers.

    Parameters
    ----------
    identity : str
        Its id.
    record : Record
        Gets the requests that it runs.
    """

    def __init__(self, identity, record, ip="127.0.0.1"):
        self.identity = identity
        self.record = record
        super().__init__(ip)

    def handle_call(self, handler, body):
        """Answer one request."""
        attempt = handler.headers.get("Attempt-Id", "")
        if handler.headers.get("Expect-Instance") != self.identity:
            handler.reply(
                421,
                headers=[
                    ("Attempt-Id", attempt),
                    ("Instance-Id", self.identity),
                ],
            )
            return
        self.record.add(
            f"server {self.identity} runs {attempt} {handler.command} "
            f"{handler.path} body {len(body)} bytes"
        )
        self.run(handler, attempt, body)

    def run(self, handler, attempt, body):
        """Run a request: answer it at once."""
        handler.reply(200, b"done", self.make_headers(attempt))

    def make_headers(self, attempt):
        """Return the headers of a success."""
        return [
            ("Attempt-Id", attempt),
            ("Response-Seal", f"seal.{self.identity}.{attempt}"),
        ]

    def make_entry(self, service, state="ready", zone="z1", version="v1"):
        """Return the entry by which it registers itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": version,
            "slots": 48,
            "state": state,
            "coldLeftMs": 0,
            "born": BORN_MS,
            "sequence": 1,
        }


def make_route(prefix, kind, service, **fields):
    """Return a route of the config."""
    return {
        "name": f"r-{prefix}",
        "host": HOST,
        "pathPrefix": f"/{prefix}/",
        "routeKind": kind,
        "timeoutMs": 10000,
        "goalMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "gapGoalMs": 400,
    } | fields


def make_config(version, routes, services):
    """Return a config for one tenant without a limit."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": each, "healthPath": "/healthz", "maxConns": 300}
            for each in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": TENANT, "apiKeys": [KEY], "ratePerS": 0, "burst": 0}
        ],
    }


class Instance:
    """An entry instance and its process."""

    def __init__(self, number, network, ports, folder):
        self.name = f"edge-z{number % 2 + 1}-{number}"
        self.zone = f"z{number % 2 + 1}"
        self.ip = f"{network}.{number}"
        self.ports = ports
        self.process = None
        self._path = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"

    def start(self, store_address, cloud_address, seeds, bootstrap=True):
        """Start the process with the command of the deploy file."""
        frontend, ready, control, first, last = self.ports
        settings = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1"},
            "listen": {
                "frontend": f"{self.ip}:{frontend}",
                "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "internalPorts": [first, last],
            "seeds": [f"{each}:{control}" for each in seeds],
            "bootstrap": bootstrap,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
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
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": cloud_address,
                "ratePerS": 50.0,
                "duties": ["metering", "autoscale"],
                "dutiesPerS": 50.0,
            },
        }
        self._path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MULBERRYHOLLOW_BOOT": str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            connection = http.client.HTTPConnection(
                self.ip, self.ports[1], timeout=1.0
            )
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def kill(self):
        """Kill the process, stopped or not."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Site:
    """The platform, the servers and the instances of one run.

    Parameters
    ----------
    record : Record
        Gets what happens.
    instances : int
        Number of instances.
    """

    def __init__(self, record, instances=2):
        self.record = record
        self.store = Store(record)
        self._folder = tempfile.TemporaryDirectory()
        network = f"127.{60 + os.getpid() % 60}.{random.randrange(250)}"
        ports = find_ports(5)
        folder = pathlib.Path(self._folder.name)
        self.folder = folder
        self.instances = [
            Instance(number, network, ports, folder)
            for number in range(1, instances + 1)
        ]

    def start(self, instance, bootstrap=True):
        """Start an instance."""
        instance.start(
            self.store.address,
            self.store.address,
            [each.ip for each in self.instances[:3]],
            bootstrap,
        )
        self.record.add(f"platform starts {instance.name}")

    def start_all(self):
        """Start all instances and wait until they are ready."""
        for each in self.instances:
            self.start(each)
        self.wait_ready()

    def wait_ready(self):
        """Wait until all instances are ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while not all(each.is_ready() for each in self.instances):
            if time.monotonic() > end_s:
                raise TimeoutError("an instance is not ready")
            time.sleep(0.1)

    def signal(self, instance, number):
        """Send a signal to an instance."""
        self.record.add(
            f"platform sends {signal.Signals(number).name} to {instance.name}"
        )
        instance.process.send_signal(number)

    def close(self):
        """End every process that was started."""
        for each in self.instances:
            each.kill()
        self._folder.cleanup()


def find_ports(count):
    """Return free ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def encode_request(method, path, attempt, deadline_ms, body=b"", **headers):
    """Return the bytes of a client's request."""
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Key": KEY,
    } | headers
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def is_with_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, run):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : path
        Folder of the case, in which the record is written.
    run : callable
        ``run(record)`` returns whether the rule was broken.
    """
    record = Record(folder)
    try:
        is_broken = run(record)
    except Exception as error:  # noqa: BLE001
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.stdout.flush()
        os._exit(2)
    result = "BROKEN" if is_broken else "held"
    record.add(f"the rule was {result}")
    print(f"the rule was {result}")
    sys.stdout.flush()
    os._exit(1 if is_broken else 0)
