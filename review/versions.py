"""Engines of two versions and clients that send bookings to them."""

import itertools
import random
import threading
import time

from review import harness
from standins import platform_site
from tools import platform_site as documents

CLIENTS = 24
PAUSE_S = 0.15
WORK_S = 0.01


class Engine(platform_site.Server):
    """Engine of one version, which may fail a part of its requests.

    Parameters
    ----------
    identity, version : str
        Id of the engine, and the version of its software.
    record : Record
        Gets the runs.
    failing_share : float
        Share of the requests that are answered with a failure.
    load_per_s : int
        Requests in the last second from which it fails any.

    Attributes
    ----------
    runs : list of tuple
        Time, attempt and status of each run.
    """

    def __init__(
        self, identity, version, record, failing_share=0.0, load_per_s=0
    ):
        self.identity = identity
        self.version = version
        self.runs = []
        self._record = record
        self._failing_share = failing_share
        self._load_per_s = load_per_s
        self._random = random.Random(identity)
        super().__init__()
        self._server.handle_error = lambda *_: None

    def handle(self, handler, body):
        """Answer one request."""
        attempt = handler.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt}
        if handler.headers.get("Expect-Instance") != self.identity:
            handler.reply(421, headers, b"")
            return
        since_s = self._record.now_s() - 1.0
        latest = self.runs[-self._load_per_s :] if self._load_per_s else ()
        is_loaded = len(latest) == self._load_per_s and all(
            at_s >= since_s for at_s, _, _ in latest
        )
        draw = self._random.random()
        is_bad = is_loaded and draw < self._failing_share
        status = 500 if is_bad else 200
        at_s = self._record.add(
            "run", engine=self.identity, attempt=attempt, status=status
        )
        self.runs.append((at_s, attempt, status))
        time.sleep(WORK_S)
        headers["Response-Seal"] = f"seal {self.identity}"
        handler.reply(status, headers, attempt.encode())


class Clients:
    """Clients that send bookings to all instances in turn."""

    def __init__(self, site):
        self._site = site
        self.sent = {}
        self.stopped = threading.Event()
        self._numbers = itertools.count()

    def start(self):
        """Start one thread for each client."""
        for number in range(CLIENTS):
            threading.Thread(
                target=self._run, args=(number,), daemon=True
            ).start()

    def _run(self, number):
        names = itertools.cycle(self._site.names)
        for _ in range(number % len(self._site.names)):
            next(names)
        while not self.stopped.is_set():
            name = next(names)
            attempt = f"a{number}-{next(self._numbers)}"
            headers = {
                "Host": "h.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": "2000",
                "Key": "k1",
            }
            sent_s = self._site.record.now_s()
            self.sent[attempt] = sent_s, name
            status = harness.send_request(
                self._site.get_ip(name),
                self._site.callers_port,
                "POST",
                "/once/x",
                headers,
                b"{}",
            )
            self._site.record.add(
                "answer",
                attempt=attempt,
                instance=name,
                sent=f"{sent_s:.3f}",
                status=status,
            )
            time.sleep(PAUSE_S)


def register(store, engine, zone, state="ready"):
    """Write the entry of an engine, or the new state of one."""
    known = store.objects.get(("servers", engine.identity))
    if known is not None:
        entry = known["spec"] | {"state": state}
    else:
        entry = documents.make_endpoint_record(engine.address, state) | {
            "zone": zone,
            "version": engine.version,
            "slots": 16,
            "born": int(time.time() * 1000),
        }
    store.put("servers", engine.identity, entry)
