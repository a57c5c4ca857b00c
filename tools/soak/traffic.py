"""Callers that keep a connection to one instance until the process is gone."""

import http.client
import itertools
import random
import threading

from tools.soak import records
from tools.soak import site as sites
from tools.soak import stand_ins

__all__ = ["Caller"]

TIMEOUT_S = 6.0
PAUSE_S = 0.1
OLD_ROUTES = 3
"""Number of removed routes that callers still try."""


class Caller(threading.Thread):
    """Thread that sends one request after the other to one instance.

    Parameters
    ----------
    site : Site
        The instances.
    instance : Instance
        Instance to send to.
    operator : Operator
        Names the routes that come and go.
    recorder : Recorder
        Gets the calls.
    name : str
        Name of the caller, also the seed of its choices.
    stopped : threading.Event
        Ends the thread.
    """

    timeout_s = TIMEOUT_S
    """Longest silence of an answer, in seconds."""

    def __init__(self, site, instance, operator, recorder, name, stopped):
        super().__init__(name=name, daemon=True)
        self._site = site
        self._instance = instance
        self._operator = operator
        self._recorder = recorder
        self._generator = random.Random(name)
        self._stopped = stopped
        self._numbers = itertools.count()
        self._connection = None
        self._life = 0
        self._routes = []

    def run(self):
        """Send requests until the end."""
        while not self._stopped.is_set():
            if self._connection is not None or self._connect():
                self._call()
            # The mean rate of all callers stays the same on large sites.
            scale = max(1.0, len(self._site.instances) / 8)
            self._stopped.wait(self._generator.uniform(0, 2 * PAUSE_S * scale))

    def _connect(self):
        """Connect to the instance if it is ready; return whether it was."""
        if not sites.is_ready(self._instance, self._site.ready_port):
            return False
        self._life = self._instance.life
        self._connection = http.client.HTTPConnection(
            self._instance.ip, self._site.callers_port, timeout=self.timeout_s
        )
        return True

    def _call(self):
        """Send one request and record how it ended."""
        method, path = self._choose()
        attempt = f"{self.name}-{next(self._numbers)}"
        sent_s = self._recorder.now_s()
        status, fault = 0, ""
        try:
            answer, body = self._exchange(method, path, attempt)
            status = answer.status
            fault = self._find_fault(answer, body, attempt)
            if answer.will_close:
                self._disconnect()
        except (OSError, http.client.HTTPException) as error:
            status, fault = 0, f"{type(error).__name__}: {error}"
            self._disconnect()
        self._recorder.add(
            records.Call(
                attempt=attempt,
                instance=self._instance.name,
                life=self._life,
                path=path,
                sent_s=sent_s,
                ended_s=self._recorder.now_s(),
                status=status,
                fault=fault,
            )
        )

    def _exchange(self, method, path, attempt):
        """Send one request; return its answer and the body."""
        headers = {
            "Host": "h.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": "5000",
            "Key": "k1",
        }
        body = b"{}" if method == "POST" else None
        self._connection.request(method, path, body, headers)
        answer = self._connection.getresponse()
        return answer, answer.read()

    def _disconnect(self):
        """Close the connection; the next request needs a new one."""
        self._connection.close()
        self._connection = None

    def _choose(self):
        """Return the method and path of the next request."""
        for name in self._operator.routes:
            if name not in self._routes:
                self._routes.append(name)
        known = self._routes[-len(self._operator.routes) - OLD_ROUTES :]
        kinds = ["safe", "once", "once", "once", "slow/y", *known]
        kind = self._generator.choice(kinds)
        is_post = kind in ("once", "slow/y")
        return "POST" if is_post else "GET", f"/{kind}/x"

    @staticmethod
    def _find_fault(answer, body, attempt):
        """Return what is wrong with an answer; empty for nothing."""
        if answer.status != 200:
            return ""
        seal = answer.getheader("Response-Seal", "")
        endpoint = seal.removeprefix("seal ")
        if not seal or body != stand_ins.make_body(endpoint, attempt):
            return f"seal {seal!r}, {len(body)} bytes that are not its answer"
        return ""
