"""After an outage, lost history keeps all instances from the store."""

import contextlib
import http.client
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site_2 as site  # noqa: E402

OUTAGE_S = 4.5
PAUSE_S = 0.3
DEAF_S = 1.0
CONTACT_S = site.BOUNDS["contactMs"] / 1000
APPLY_S = site.BOUNDS["configApplyMs"] / 1000
CHECKS_S = 12.0


class WatchCutError(Exception):
    """A watch was waiting when the history was dropped."""


class DrillStore(site.Store):
    """A store that can turn calls away and drop its history."""

    def __init__(self, record):
        self.is_busy = False
        self._is_deaf = False
        self._oldest = 0
        super().__init__(record)

    def handle_call(self, handler, body):
        """Answer one call; 503 while the store is busy."""
        if self.is_busy and handler.path.startswith("/v1/objects/"):
            handler.reply(503, b"{}")
            return
        try:
            super().handle_call(handler, body)
        except WatchCutError:
            handler.close_connection = True
            with contextlib.suppress(OSError):
                handler.connection.shutdown(socket.SHUT_RDWR)

    def set_deaf(self, is_deaf):
        """Let watches hear nothing; then drop the history and cut them."""
        with self._changed:
            self._is_deaf = is_deaf
            if not is_deaf:
                self._oldest = self._revision
            self._changed.notify_all()

    def _watch(self, kind, after, wait_ms):
        end_s = time.monotonic() + wait_ms / 1000
        with self._changed:
            if not self._is_deaf and after < self._oldest:
                return 410, {"at": self._revision}
            while True:
                if self._is_deaf:
                    self._changed.wait_for(lambda: not self._is_deaf)
                    raise WatchCutError
                events = self._find_events(kind, after)
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left_s)


def check(record, instance, number):
    """Return the status of a request on the new route."""
    connection = http.client.HTTPConnection(
        instance.ip, instance.ports[0], timeout=3.0
    )
    attempt = f"check{number:04x}{instance.name[-1]}"
    headers = {
        "Host": site.HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "2000",
        "Key": site.KEY,
    }
    try:
        connection.request("GET", "/added/1", headers=headers)
        status = connection.getresponse().status
    except (OSError, http.client.HTTPException):
        status = 0
    connection.close()
    record.add(f"client {attempt} at {instance.name}: status {status}")
    return status


def run(record):
    """Return whether the confirmed config is not in force in its time."""
    site.Store = DrillStore
    fleet = site.Site(record, instances=3)
    try:
        engine = site.Engine("i-00000001", record)
        store = fleet.store
        store.put("servers", engine.identity, engine.make_entry("desk"))
        routes = [site.make_route("slots", "idempotent", "desk")]
        store.put("config", "main", site.make_config(1, routes, ["desk"]))
        fleet.start_all()
        time.sleep(5.0)
        if site.is_with_trouble():
            record.add("store answers 503")
            store.is_busy = True
            time.sleep(OUTAGE_S)
            store.is_busy = False
            record.add("store answers again")
            time.sleep(PAUSE_S)
            store.set_deaf(True)
        routes.append(site.make_route("added", "idempotent", "desk"))
        store.put("config", "main", site.make_config(4, routes, ["desk"]))
        record.add("store confirms config 4 with a new route")
        if site.is_with_trouble():
            time.sleep(DEAF_S)
            store.set_deaf(False)
            record.add("store has dropped its history")
        time.sleep(CONTACT_S + APPLY_S)
        end_s = time.monotonic() + CHECKS_S
        statuses = []
        while time.monotonic() < end_s:
            for each in fleet.instances:
                statuses.append(check(record, each, len(statuses)))
            time.sleep(1.0)
        late = statuses.count(404)
        record.add(f"{late} of {len(statuses)} requests got 404")
        return late > 0
    finally:
        fleet.close()


if __name__ == "__main__":
    site.main(pathlib.Path(__file__).resolve().parent, run)
