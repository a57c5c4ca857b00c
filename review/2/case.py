"""Two engines crash, and look-ups that did no harm are refused for good."""

import collections
import itertools
import pathlib
import socket
import struct
import threading
import time

from review import harness
from standins import platform_site
from tools import platform_site as documents

INSTANCES = 4
ENGINES = 9
CRASHED = 2
DOWN_S = 4.5
WORK_S = 0.1
LENGTH_S = 50.0
CRASHES_S = (4.0, 10.0, 16.0)
STEADY_S = CRASHES_S[-1] + DOWN_S + 5.0
APPLY_S = 2.5
CLIENTS = {"slots": 14, "bookings": 20}
INTERVALS_S = {"slots": 0.18, "bookings": 0.2}
MIN_SHARE = 0.25
MIN_REQUESTS = 20

_RESET = struct.pack("ii", 1, 0)


class Engine:
    """Engine whose process may crash: all its channels are reset."""

    def __init__(self, identity, zone, store, record):
        self.identity = identity
        self._zone = zone
        self._store = store
        self._record = record
        self._server = None
        self.start()

    def start(self):
        """Start a process, and register it."""
        self._server = _EngineServer(self.identity, self._record)
        entry = documents.make_endpoint_record(self._server.address) | {
            "zone": self._zone,
            "slots": 6,
            "born": int(time.time() * 1000),
        }
        self._store.put("servers", self.identity, entry)

    def crash(self):
        """End the process; nothing is told to the store."""
        self._server.crash()
        self._record.add("crash", engine=self.identity)

    def close(self):
        """End the process."""
        self._server.crash()


class _EngineServer(platform_site.Server):
    """One process of an engine."""

    def __init__(self, identity, record):
        self._identity = identity
        self._record = record
        self._is_down = False
        super().__init__()
        self._server.handle_error = lambda *_: None

    def crash(self):
        """Reset every channel and stop listening."""
        if self._is_down:
            return
        self._is_down = True
        self._server.socket.close()
        for each in tuple(self._server.open_connections):
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        threading.Thread(target=self._server.shutdown, daemon=True).start()

    def handle(self, handler, body):
        """Answer one request after its work."""
        attempt = handler.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt}
        if handler.headers.get("Expect-Instance") != self._identity:
            handler.reply(421, headers, b"")
            return
        self._record.add("run", engine=self._identity, attempt=attempt)
        time.sleep(WORK_S)
        if self._is_down:
            handler.close_connection = True
            return
        headers["Response-Seal"] = f"seal {self._identity}"
        handler.reply(200, headers, attempt.encode())


class Clients:
    """Clients of two kinds of request."""

    def __init__(self, site):
        self._site = site
        self.results = collections.defaultdict(list)
        self.stopped = threading.Event()
        self._numbers = itertools.count()

    def start(self):
        """Start one thread for each client."""
        for kind, count in CLIENTS.items():
            for number in range(count):
                threading.Thread(
                    target=self._run, args=(kind, number), daemon=True
                ).start()

    def _run(self, kind, number):
        names = itertools.cycle(self._site.names)
        for _ in range(number % len(self._site.names)):
            next(names)
        due_s = self._site.record.now_s() + number * 0.01
        while not self.stopped.is_set():
            _sleep_until(self._site.record, due_s)
            due_s += INTERVALS_S[kind]
            name = next(names)
            attempt = f"{kind}{number}-{next(self._numbers)}"
            headers = {
                "Host": "h.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": "1000",
                "Key": "k1",
            }
            is_look_up = kind == "slots"
            at_s = self._site.record.now_s()
            status = harness.send_request(
                self._site.get_ip(name),
                self._site.callers_port,
                "GET" if is_look_up else "POST",
                "/slots/free" if is_look_up else "/once/book",
                headers,
                None if is_look_up else attempt.encode(),
            )
            self.results[kind].append((at_s, status))
            self._site.record.add(
                "answer", attempt=attempt, instance=name, status=status
            )


def check(record, has_trouble):
    """Return the violations of the rule."""
    site = harness.Site(record, INSTANCES)
    store = site.server.store
    engines = []
    try:
        for number in range(ENGINES):
            engines.append(
                Engine(
                    f"e{number}",
                    harness.ZONES[number % len(harness.ZONES)],
                    store,
                    record,
                )
            )
        store.put("config", "main", documents.make_configuration(1))
        site.start_all()
        route = documents.make_route("slots", "idempotent")
        config = documents.make_configuration(2, route)
        store.put("config", "main", config)
        record.add("config", version=2, added="/slots/")
        time.sleep(APPLY_S)
        clients = Clients(site)
        began_s = record.now_s()
        clients.start()
        for number, crash_s in enumerate(CRASHES_S if has_trouble else ()):
            _sleep_until(record, began_s + crash_s)
            first = number * CRASHED
            crashed = engines[first : first + CRASHED]
            for each in crashed:
                each.crash()
            time.sleep(DOWN_S)
            for each in crashed:
                each.start()
        _sleep_until(record, began_s + LENGTH_S)
        clients.stopped.set()
        time.sleep(1.5)
    finally:
        for each in engines:
            each.close()
        site.close()
    return list(_judge(clients.results, began_s + STEADY_S, record))


def _judge(results, steady_s, record):
    """Yield the violation of the rule on routes that were added later."""
    shares = {}
    for kind, found in results.items():
        statuses = collections.Counter(
            status for at_s, status in found if at_s >= steady_s
        )
        total = statuses.total()
        shares[kind] = statuses[200] / total
        record.add("steady", kind=kind, statuses=dict(statuses))
        print(kind, dict(statuses), f"served {shares[kind]:.3f}")
        if kind == "slots" and total < MIN_REQUESTS:
            raise RuntimeError("too few requests on the added route")
    if shares["slots"] < MIN_SHARE * shares["bookings"]:
        yield (
            f"CONFIG: requests on the added route are served "
            f"{shares['slots']:.3f}, those on the first "
            f"{shares['bookings']:.3f}"
        )


def _sleep_until(record, at_s):
    """Sleep until a time of the record."""
    time.sleep(max(0.0, at_s - record.now_s()))


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, check)
