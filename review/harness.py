"""Site of processes and stand-ins that the scripts of the review share."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

from standins import platform
from standins import platform_site
from tools import platform_site as documents
from tools import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent

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
"""Bounds of the example in the platform's pages."""

CONTRACTS = [
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
]

ZONES = ("z1", "z2")
START_TIMEOUT_S = 30.0
POLL_S = 0.02
NETWORKS = 200


class Record:
    """Timed lines of what was sent, answered and run, kept in a file."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the time since the begin, in seconds."""
        return time.monotonic() - self._began_s

    def add(self, what, **fields):
        """Write one line; return its time."""
        with self._lock:
            at_s = self.now_s()
            text = " ".join(f"{name}={fields[name]}" for name in fields)
            self._file.write(f"{at_s:.3f} {what} {text}\n")
            self._file.flush()
            return at_s


class Store(platform.PlatformStore):
    """The platform's store, with deletions."""

    def _answer(self, method, segments, query, fields):
        """Return the answer to a call."""
        if method != "DELETE":
            return super()._answer(method, segments, query, fields)
        key = segments[0], segments[1]
        stored = self.objects.get(key)
        if stored is None:
            return platform.Answer(404, b"{}")
        expected = query.get("revision")
        if expected not in (None, str(stored["metadata"]["revision"])):
            return platform.Answer(409, json.dumps(stored).encode())
        del self.objects[key]
        self.revision += 1
        self.events.append((self.revision, key[0], stored, True))
        return platform.Answer(200, json.dumps(stored).encode())


class PlatformServer(platform_site.Server):
    """The store and the API of the duties.

    Parameters
    ----------
    record : Record
        Gets the calls of the duties.
    """

    def __init__(self, record):
        self.store = Store()
        self._record = record
        super().__init__()
        self._server.handle_error = lambda *_: None

    def handle(self, handler, body):
        """Answer one call; a watch waits as long as it asks for."""
        split = urllib.parse.urlsplit(handler.path)
        if split.path in ("/usage", "/scale"):
            self._record.add(
                "duty",
                path=split.path,
                holder=handler.headers["Duty-Holder"],
                token=handler.headers["Fencing-Token"],
                body=body.decode(),
            )
            handler.reply(200, {}, b"")
            return
        query = dict(urllib.parse.parse_qsl(split.query))
        answer = self.store.request(handler.command, handler.path, body)
        wait_s = int(query.get("waitMs", 0)) / 1000
        until_s = time.monotonic() + wait_s
        while "watch" in query and time.monotonic() < until_s:
            if answer.status != 200 or b'"events": []' not in answer.data:
                break
            time.sleep(POLL_S)
            answer = self.store.request(handler.command, handler.path, body)
        handler.reply(answer.status, answer.headers, answer.data)


class Site:
    """Entry instances as processes, beside a platform.

    Parameters
    ----------
    record : Record
        Gets what happens.
    count : int
        Number of instances.
    """

    def __init__(self, record, count):
        self.record = record
        self.server = PlatformServer(record)
        self._folder = tempfile.TemporaryDirectory()
        self._network = f"127.{20 + os.getpid() % NETWORKS}.2"
        ports = [processes.find_free_port() for _ in range(5)]
        self.callers_port, self.ready_port, self._control_port = ports[:3]
        self._peer_ports = sorted(ports[3:])
        self.names = [f"edge-{number}" for number in range(1, count + 1)]
        self._processes = {}
        self.started_s = {}
        self.disturbed_s = {}

    def get_ip(self, name):
        """Return the address of an instance."""
        return f"{self._network}.{name.rpartition('-')[2]}"

    def start(self, name):
        """Start a process of an instance with the deploy file's command."""
        path = pathlib.Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(self._build_settings(name)))
        env = os.environ | {
            "MULBERRYHOLLOW_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = pathlib.Path(self._folder.name) / f"{name}.log"
        with log.open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "mulberryhollow.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.started_s[name] = self.record.add("start", instance=name)
        self.disturbed_s[name] = self.started_s[name]

    def start_all(self):
        """Start every instance and wait until all are ready."""
        for name in self.names:
            self.start(name)
        wait_until(lambda: all(map(self.is_ready, self.names)))

    def kill(self, name):
        """Kill the process of an instance."""
        process = self._processes[name]
        process.kill()
        process.wait()
        self.disturbed_s[name] = self.record.add("kill", instance=name)

    def send_signal(self, name, number):
        """Send a signal to the process of an instance."""
        self._processes[name].send_signal(number)
        self.record.add(
            "signal", instance=name, number=signal.Signals(number).name
        )

    def get_exit_code(self, name):
        """Return the exit code of an instance; None while it runs."""
        return self._processes[name].poll()

    def read_log(self, name):
        """Return what the processes of an instance have written."""
        path = pathlib.Path(self._folder.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def is_ready(self, name):
        """Return whether the readiness check of an instance succeeds."""
        try:
            return self.get(name, "/v1/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False

    def get(self, name, path):
        """Return the answer of an instance's own page."""
        return documents.send(
            self.ready_port, "GET", path, {}, host=self.get_ip(name)
        )

    def close(self):
        """Kill every process and end the platform."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.server.close()
        self._folder.cleanup()

    def _build_settings(self, name):
        """Return the settings of an instance."""
        ip = self.get_ip(name)
        zone = ZONES[int(name.rpartition("-")[2]) % len(ZONES)]
        return {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": "r1",
            "zones": dict.fromkeys(ZONES, "r1"),
            "listen": {
                "frontend": f"{ip}:{self.callers_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self._control_port}",
            },
            "internalPorts": self._peer_ports,
            "seeds": [
                f"{self.get_ip(each)}:{self._control_port}"
                for each in self.names[:3]
            ],
            "bootstrap": name not in self.started_s,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "platform": {
                "address": self.server.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": self.server.address,
                "duties": ["metering"],
                "dutiesPerS": 50.0,
            },
        }


def wait_until(condition, timeout_s=START_TIMEOUT_S):
    """Wait until a condition holds; raise TimeoutError after a while."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= end_s:
            raise TimeoutError("the condition did not hold in time")
        time.sleep(POLL_S)


def run_case(folder, check):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : path
        Folder of the case, which gets the record.
    check : callable
        Given the Record and whether the disruption happens, returns the
        violations as a list of text.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        found = check(record, has_trouble)
    except Exception as error:  # noqa: BLE001
        record.add("could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    else:
        for each in found:
            record.add("violation", text=each)
            print(each)
        print("broken" if found else "held")
        code = 1 if found else 0
    sys.stdout.flush()
    os._exit(code)


def send_request(host, port, method, path, headers, body=None, timeout_s=8.0):
    """Send a request on a new connection; return its status, 0 for none."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    with contextlib.closing(connection):
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            return 0
        return answer.status
