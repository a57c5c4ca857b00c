"""A bad version gets requests again after a second order and restarts."""

import collections
import itertools
import json
import pathlib
import threading
import time

from review import harness
from standins import platform_site
from tools import platform_site as documents

DURATION_S = 15
CLIENTS = 24
PAUSE_S = 0.15
DRAIN_AFTER_S = 9.0
FAILING_SHARE = 0.45
ROLLBACK_S = 5.0


class Engine(platform_site.Server):
    """Engine of one version, which may fail a part of its requests."""

    def __init__(self, identity, version, record):
        self.identity = identity
        self.version = version
        self.runs = []
        self._record = record
        self._numbers = itertools.count()
        super().__init__()
        self._server.handle_error = lambda *_: None

    def handle(self, handler, body):
        """Answer one request."""
        attempt = handler.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt}
        if handler.headers.get("Expect-Instance") != self.identity:
            handler.reply(421, headers, b"")
            return
        number = next(self._numbers)
        is_bad = self.version == "v2" and number * FAILING_SHARE % 1 < (
            FAILING_SHARE
        )
        status = 500 if is_bad else 200
        at_s = self._record.add(
            "run", engine=self.identity, attempt=attempt, status=status
        )
        self.runs.append((at_s, attempt, status))
        time.sleep(0.01)
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


def check(record, has_trouble):
    """Return the violations of EXPOSURE."""
    site = harness.Site(record, 4)
    store = site.server.store
    engines = {}

    def add(identity, version, zone):
        engines[identity] = engine = Engine(identity, version, record)
        write(identity, "ready", zone)
        return engine

    def write(identity, state, zone="z1"):
        entry = documents.make_endpoint_record(
            engines[identity].address, state
        ) | {
            "zone": zone,
            "version": engines[identity].version,
            "slots": 16,
            "born": int(time.time() * 1000),
        }
        if state == "draining":
            known = store.objects["servers", identity]["spec"]
            entry = known | {"state": state}
        store.put("servers", identity, entry)

    def get_state():
        status = store.objects["rollouts", "s"]["status"]
        return status and status["state"]

    disturbed = collections.defaultdict(list)
    try:
        for number in (1, 2):
            add(f"old-{number}", "v1", f"z{number}")
        store.put("config", "main", documents.make_configuration(1))
        site.start_all()
        for name in site.names:
            disturbed[name].append(site.started_s[name])
        clients = Clients(site)
        clients.start()
        time.sleep(4)
        for number in (1, 2):
            add(f"bad-{number}", "v2", f"z{number}")
        order = {"service": "s", "target": "v2", "durationS": DURATION_S}
        store.put("rollouts", "s", order)
        ordered_s = record.add("order", target="v2", duration_s=DURATION_S)
        harness.wait_until(lambda: get_state() == "rolled_back", DURATION_S)
        back_s = record.add("state", state="rolled_back")
        time.sleep(0.5)
        for number in (1, 2):
            add(f"new-{number}", "v3", f"z{number}")
        store.put("rollouts", "s", order | {"target": "v3"})
        record.add("order", target="v3", duration_s=DURATION_S)
        time.sleep(0.2)
        if has_trouble:
            for name in site.names:
                site.kill(name)
            time.sleep(0.3)
            for name in site.names:
                site.start(name)
                disturbed[name].append(site.started_s[name])
        while record.now_s() < back_s + DRAIN_AFTER_S:
            time.sleep(0.05)
        for number in (1, 2):
            write(f"bad-{number}", "draining")
        record.add("drain", version="v2")
        while record.now_s() < ordered_s + DURATION_S:
            time.sleep(0.05)
        clients.stopped.set()
        time.sleep(2.5)
        record.add("status", text=json.dumps(store.objects["rollouts", "s"]))
    finally:
        site.close()
    return list(judge(engines, clients, disturbed, ordered_s, record))


def judge(engines, clients, disturbed, ordered_s, record):
    """Yield the violations of the rule."""

    def is_in_touch(name, at_s):
        return not any(at_s - 3.0 <= each <= at_s for each in disturbed[name])

    end_s = ordered_s + DURATION_S
    runs = [
        (at_s, attempt, status, engine.version)
        for engine in engines.values()
        for at_s, attempt, status in engine.runs
        if ordered_s <= at_s <= end_s
    ]
    bad = sorted(each for each in runs if each[3] == "v2")
    counted = [
        each for each in bad if is_in_touch(clients.sent[each[1]][1], each[0])
    ]
    allowed = 0.1 * len(runs) + 50
    record.add(
        "summary",
        requests=len(runs),
        bad=len(bad),
        counted=len(counted),
        allowed=f"{allowed:.0f}",
    )
    print(f"{len(runs)} {len(bad)} {len(counted)} allowed {allowed:.0f}")
    if len(counted) > allowed:
        yield (
            f"EXPOSURE: {len(counted)} of {len(runs)} requests reached the "
            f"bad version from machines in touch; allowed {allowed:.0f}"
        )
    failed = [each for each in bad if each[2] == 500]
    if len(failed) >= 50:
        known_s = failed[49][0]
        late = [
            each
            for each in counted
            if clients.sent[each[1]][0] > known_s + ROLLBACK_S
        ]
        print(f"50th bad answer at {known_s:.2f}, {len(late)} later")
        if late:
            yield (
                f"EXPOSURE: {len(late)} requests were sent to it over "
                f"{ROLLBACK_S:g} s after its 50th bad answer"
            )


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, check)
