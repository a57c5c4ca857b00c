"""A request that crashes engines reaches more of them than the rule allows."""

import itertools
import pathlib
import socket
import struct
import threading
import time

from review import harness
from standins import platform_site
from tools import platform_site as documents

INSTANCES = 8
ENGINES = 4
SLOTS = 48
DOWN_S = 2.5
EVENTS = 24
LAST_EVENT = 3
EVENT_S = 0.08
LENGTH_S = 66.0
STREAMS = 64
PAUSE_S = 0.25
RESEND_S = 6.0
MAX_RETRIES = 3
CONTACT_S = 3.0

_RESET = struct.pack("ii", 1, 0)


class Engine:
    """Model engine, whose process crashes at a bad request."""

    def __init__(self, identity, zone, site, has_trouble):
        self.identity = identity
        self.crashes = []
        self.has_trouble = has_trouble
        self.record = site.record
        self._zone = zone
        self._store = site.server.store
        self._server = None
        self.start()

    def start(self):
        """Start a process, and register it."""
        self._server = _EngineServer(self)
        entry = documents.make_endpoint_record(self._server.address) | {
            "zone": self._zone,
            "slots": SLOTS,
            "born": int(time.time() * 1000),
        }
        self._store.put("servers", self.identity, entry)

    def crash(self, server, attempt):
        """End the process, and start another one some seconds later."""
        at_s = self.record.add("crash", engine=self.identity, attempt=attempt)
        self.crashes.append((at_s, attempt))
        server.crash()
        threading.Timer(DOWN_S, self.start).start()

    def close(self):
        """End the process."""
        self._server.crash()


class _EngineServer(platform_site.Server):
    """One process of an engine."""

    def __init__(self, engine):
        self._engine = engine
        self._is_down = False
        self._running = 0
        self._lock = threading.Lock()
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
        """Answer one request, which counts as running meanwhile."""
        with self._lock:
            self._running += 1
        try:
            self._stream(handler, body)
        finally:
            with self._lock:
                self._running -= 1

    def _stream(self, handler, body):
        """Answer one request with a stream."""
        attempt = handler.headers.get("Attempt-Id", "")
        if handler.headers.get("Expect-Instance") != self._engine.identity:
            handler.reply(421, {"Attempt-Id": attempt}, b"")
            return
        is_bad = body == b"bad"
        self._engine.record.add(
            "run", engine=self._engine.identity, attempt=attempt
        )
        handler.send_response(200)
        handler.send_header("Attempt-Id", attempt)
        handler.send_header("Response-Seal", f"seal {self._engine.identity}")
        handler.send_header("Instance-Load", f"{self._running},0,{SLOTS}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(1, EVENTS + 1):
            time.sleep(EVENT_S)
            if self._is_down:
                handler.close_connection = True
                return
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            if is_bad and number == LAST_EVENT and self._engine.has_trouble:
                time.sleep(EVENT_S / 2)
                self._engine.crash(self, attempt)
                handler.close_connection = True
                return
        handler.wfile.write(b"0\r\n\r\n")


def _send(site, name, attempt, path, body):
    """Send one request for a stream; return its status."""
    headers = {
        "Host": "h.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": "3000",
        "Key": "k1",
    }
    sent_s = site.record.now_s()
    status = harness.send_request(
        site.get_ip(name), site.callers_port, "POST", path, headers, body
    )
    site.record.add(
        "answer",
        attempt=attempt,
        instance=name,
        sent=f"{sent_s:.3f}",
        status=status,
    )
    return status


class Clients:
    """Clients whose streams do no harm."""

    def __init__(self, site):
        self._site = site
        self.stopped = threading.Event()

    def start(self):
        """Start one thread for each client."""
        for number in range(STREAMS):
            threading.Thread(
                target=self._run, args=(number,), daemon=True
            ).start()

    def _run(self, number):
        names = itertools.cycle(self._site.names)
        for _ in range(number % len(self._site.names)):
            next(names)
        for count in itertools.count():
            if self.stopped.is_set():
                return
            attempt = f"c{number}-{count}"
            _send(
                self._site, next(names), attempt, "/stream/x", attempt.encode()
            )
            time.sleep(PAUSE_S)


def check(record, has_trouble):
    """Return the violations of the rule."""
    site = harness.Site(record, INSTANCES)
    engines = []
    sent = {}
    try:
        for number in range(ENGINES):
            zone = harness.ZONES[number % len(harness.ZONES)]
            engines.append(Engine(f"e{number}", zone, site, has_trouble))
        site.server.store.put(
            "config", "main", documents.make_configuration(1)
        )
        site.start_all()
        clients = Clients(site)
        clients.start()
        time.sleep(CONTACT_S + 1.0)
        began_s = record.now_s()
        for number, name in enumerate(itertools.cycle(site.names)):
            at_s = began_s + number * RESEND_S
            if at_s > began_s + LENGTH_S:
                break
            time.sleep(max(0.0, at_s - record.now_s()))
            attempt = f"bad-{number}"
            sent[attempt] = record.now_s()
            _send(site, name, attempt, "/stream/bad", b"bad")
        clients.stopped.set()
        time.sleep(DOWN_S + 1.0)
    finally:
        for each in engines:
            each.close()
        site.close()
    return list(_judge(engines, sent, record))


def _judge(engines, sent, record):
    """Yield the retries that reached engines too late."""
    crashes = sorted(each for engine in engines for each in engine.crashes)
    late = []
    if len(crashes) >= MAX_RETRIES:
        known_s = crashes[2][0] + CONTACT_S
        late = [
            attempt for at_s, attempt in crashes if sent[attempt] > known_s
        ]
    record.add("summary", crashes=len(crashes), late=len(late))
    print(f"{len(crashes)} crashes, {len(late)} retries after the third")
    if len(late) > MAX_RETRIES:
        yield (
            f"BUDGET: a request that had crashed three engines reached "
            f"{len(late)} more over {CONTACT_S:g} s later"
        )


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, check)
