"""Instances of two builds on one platform, as processes."""

import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import attrs

from standins import platform_site as standins
from tools import platform_site
from tools import processes

OLD_COMMIT = "b231d2d"
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0

ZONES = ("f0", "f1")
"""Failure domains of the instances with even and with odd numbers.

With these names the usual collector of f1 is edge-3 and that of f0 edge-16, so
that of 16 instances each half has one.
"""

LEVEL_CHANGED = 4041
REJECTED_EVENTS = {4032, 4024, 5001, 5201, 8103, 9033}
"""Events of a message or entry that an instance could not decode."""


class HistoryError(Exception):
    """The repository does not hold the commit of the old build."""


def add_old_worktree(folder):
    """Check the old build out into a folder.

    Raises
    ------
    HistoryError
        When the clone is shallow, or no clone at all.
    """
    done = subprocess.run(
        ["git", "worktree", "add", "--detach", str(folder), OLD_COMMIT],
        cwd=processes.ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        raise HistoryError(
            f"commit {OLD_COMMIT} cannot be checked out; this test needs a "
            "clone with the whole history, so fetch it with 'git fetch "
            f"--unshallow': {done.stderr.strip()}"
        )


def remove_old_worktree(folder):
    """Remove the worktree of the old build."""
    subprocess.run(
        ["git", "worktree", "remove", "--force", str(folder)],
        cwd=processes.ROOT,
        capture_output=True,
        check=True,
    )


@attrs.define
class Instance:
    """One instance and the process that runs it at the moment."""

    name: str
    ip: str
    build: str = ""
    process: object = None
    logs: list = attrs.field(factory=list)

    def read_events(self):
        """Return the log lines of the process that runs at the moment."""
        lines = self.logs[-1].read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def get_level(self):
        """Return the lowest protocol level that the instance has logged."""
        levels = [
            line["fields"]["level"]
            for line in self.read_events()
            if line.get("event") == LEVEL_CHANGED
        ]
        return levels[-1] if levels else 0


class MixedSite:
    """Stand-ins for the platform, and instances in two failure domains.

    Parameters
    ----------
    count : int
        Number of instances.
    """

    def __init__(self, count):
        self._folder = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._folder.name)
        self._numbers = itertools.count()
        self.roots = {"new": processes.ROOT, "old": self._path / "old"}
        add_old_worktree(self.roots["old"])
        self.server = standins.PlatformServer()
        self.endpoints = [standins.PlatformEndpoint(f"e{n}") for n in (1, 2)]
        for each in self.endpoints:
            record = platform_site.make_endpoint_record(each.address)
            self.server.store.put("servers", each.identity, record)
        configuration = platform_site.make_configuration(1)
        configuration["tenants"][0] |= {"ratePerS": 1e4, "burst": 1e4}
        self.server.store.put("config", "main", configuration)
        self._ports = processes.find_free_ports(5)
        self.instances = [
            Instance(f"edge-{number}", f"127.0.1.{number}")
            for number in range(1, count + 1)
        ]

    def close(self):
        """End all processes and the platform."""
        for each in self.instances:
            if each.process and each.process.poll() is None:
                each.process.kill()
                each.process.wait()
        for each in (self.server, *self.endpoints):
            each.close()
        remove_old_worktree(self.roots["old"])
        self._folder.cleanup()

    def start(self, instances, build):
        """Start processes of a build and wait until they are ready."""
        for each in instances:
            each.build = build
            each.logs.append(self._path / f"{next(self._numbers)}.log")
            settings = self._path / f"{each.name}.json"
            settings.write_text(json.dumps(self._build_settings(each)))
            with each.logs[-1].open("wb") as output:
                each.process = subprocess.Popen(
                    [sys.executable, "-m", "mulberryhollow.platform"],
                    cwd=self.roots[build],
                    env=os.environ
                    | {
                        "MULBERRYHOLLOW_BOOT": str(settings),
                        "PYTHONPATH": str(self.roots[build]),
                    },
                    stdout=output,
                )
        platform_site.wait_until(
            lambda: all(map(self.is_ready, instances)), START_TIMEOUT_S
        )

    def stop(self, instances, is_killed=False):
        """End processes by SIGTERM, or by SIGKILL."""
        for each in instances:
            if is_killed:
                each.process.kill()
            else:
                each.process.terminate()
        for each in instances:
            each.process.wait(STOP_TIMEOUT_S)

    def is_ready(self, instance):
        """Return whether the readiness check of an instance succeeds."""
        try:
            return self._send(instance, self._ports[1], "/v1/readyz") == 200
        except OSError:
            return False

    def call(self, instance):
        """Send a caller's request; return its status."""
        return self._send(
            instance,
            self._ports[0],
            "/safe/x",
            {
                "Host": "h.example",
                "Attempt-Id": f"r{next(self._numbers)}",
                "Deadline-Ms": "5000",
                "Key": "k1",
            },
        )

    def list_rejected(self):
        """Return the log lines of messages that could not be decoded.

        Lines about an instance that gave no answer since it was stopped are
        left out.
        """
        return [
            line
            for each in self.instances
            for log in each.logs
            for line in map(json.loads, log.read_text().splitlines())
            if line.get("event") in REJECTED_EVENTS
            and "malformed" in json.dumps(line["fields"])
        ]

    def _send(self, instance, port, path, headers=None):
        """Send a GET to a port of an instance; return the status."""
        answer = platform_site.send(
            port, "GET", path, headers or {}, host=instance.ip
        )
        return answer.status

    def _build_settings(self, instance):
        """Return the settings of an instance."""
        callers, ready, control, first, last = self._ports
        number = int(instance.name.rpartition("-")[2])
        return {
            "nodeName": instance.name,
            "zone": ZONES[number % 2],
            "region": "r1",
            "ip": instance.ip,
            "listen": {
                "frontend": f"{instance.ip}:{callers}",
                "ready": f"{instance.ip}:{ready}",
                "control": f"{instance.ip}:{control}",
            },
            "internalPorts": [first, last],
            "seeds": [f"127.0.1.1:{control}", f"127.0.1.2:{control}"],
            "limits": {"maxFds": 4100},
            "bounds": {"graceS": 8},
            "platform": {"address": self.server.address},
            "cloudApi": {
                "address": self.server.address,
                "duties": ["metering"],
            },
        }
