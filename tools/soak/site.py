"""The instances of a run, the platform around them and its writers."""

import http.client
import json
import os
import subprocess
import sys

import attrs

from tools import platform_site
from tools import processes
from tools.soak import records
from tools.soak import stand_ins

__all__ = ["BOUNDS", "Instance", "Site", "is_ready"]

BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "fencingEnforced": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "reportWindowS": 1,
    "usageDelayS": 10,
}
"""Bounds in the settings of the instances.

Those of the platform's example, with shorter windows of usage reports: more
of them lie between a copy of the store and its restore.
"""

ZONES = ("f0", "f1")
START_TIMEOUT_S = 60.0
NETWORK_OFFSET = 20
NETWORKS = 200
READY_TIMEOUT_S = 1.0


@attrs.define
class Instance:
    """One instance and its current process.

    Parameters
    ----------
    name, ip : str
        Name and address of the instance.
    zone : str
        Failure domain.
    process : subprocess.Popen
        Current process.
    life : int
        Number of the current process.
    is_stopping : bool
        Whether the process has got SIGTERM.
    """

    name: str
    ip: str
    zone: str
    process: object = None
    life: int = 0
    is_stopping: bool = False

    def is_running(self):
        """Return whether the process exists, frozen or not."""
        return self.process is not None and self.process.poll() is None


class Site:
    """Instances and stand-ins of a run.

    Parameters
    ----------
    count : int
        Number of instances.
    recorder : Recorder
        Gets what happens.
    folder : pathlib.Path
        Folder for settings and logs.

    Attributes
    ----------
    callers_port, ready_port : int
        Ports of every instance for callers and for readiness checks.
    """

    def __init__(self, count, recorder, folder):
        self._recorder = recorder
        self._folder = folder
        # Runs beside each other use other addresses.
        network = f"127.{NETWORK_OFFSET + os.getpid() % NETWORKS}.1"
        self.instances = [
            Instance(f"edge-{n}", f"{network}.{n}", ZONES[n % len(ZONES)])
            for n in range(1, count + 1)
        ]
        self.server = stand_ins.SoakServer(recorder, self.instances)
        ports = [processes.find_free_port() for _ in range(5)]
        self.callers_port, self.ready_port, self._control_port = ports[:3]
        self._peer_ports = ports[3:]

    def close(self):
        """Kill the processes that are left and stop the stand-ins."""
        for each in self.instances:
            if each.is_running():
                each.process.kill()
                each.process.wait()
        self.server.close()

    def start_all(self):
        """Start all instances and wait until they are ready."""
        for each in self.instances:
            self.start(each)
        platform_site.wait_until(
            lambda: all(is_ready(e, self.ready_port) for e in self.instances),
            START_TIMEOUT_S,
        )

    def start(self, instance):
        """Start a process of an instance."""
        path = self._folder / f"{instance.name}.json"
        path.write_text(json.dumps(self._build_settings(instance)))
        instance.life += 1
        instance.is_stopping = False
        log = self._folder / f"{instance.name}.{instance.life}.log"
        with log.open("wb") as output:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", "mulberryhollow.platform"],
                cwd=processes.ROOT,
                env=os.environ | {"MULBERRYHOLLOW_BOOT": str(path)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._recorder.begin(instance.name, "start")
        self._recorder.end(instance.name, "start")

    def signal(self, instance, number):
        """Send a signal to the process of an instance."""
        if instance.is_running():
            instance.process.send_signal(number)

    def find_holder(self):
        """Return the instance that made the last call of a duty."""
        calls = self._recorder.select(records.DutyCall)
        name = calls[-1].instance if calls else self.instances[0].name
        return next(e for e in self.instances if e.name == name)

    def _build_settings(self, instance):
        """Return the settings of an instance."""
        first = self.instances[:2]
        return {
            "nodeName": instance.name,
            "zone": instance.zone,
            "region": "r1",
            "ip": instance.ip,
            "listen": {
                "frontend": f"{instance.ip}:{self.callers_port}",
                "ready": f"{instance.ip}:{self.ready_port}",
                "control": f"{instance.ip}:{self._control_port}",
            },
            "internalPorts": self._peer_ports,
            "seeds": [f"{each.ip}:{self._control_port}" for each in first],
            "limits": {"maxFds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": self.server.address},
            "cloudApi": {
                "address": self.server.duty_apis[instance.name].address,
                "duties": ["metering", "autoscale"],
            },
        }


def is_ready(instance, port):
    """Return whether the readiness check of an instance succeeds."""
    if not instance.is_running():
        return False
    connection = http.client.HTTPConnection(
        instance.ip, port, timeout=READY_TIMEOUT_S
    )
    try:
        connection.request("GET", "/v1/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
