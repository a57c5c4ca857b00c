"""Stand-in for the object store, with the cloud API in one process."""

import argparse
import base64
import collections
import threading
import time

import attrs

from standins import cloud
from standins import control
from standins import faults
from standins import http

__all__ = ["Store", "main"]

_MAX_VALUE_BYTES = 1_000_000
_MAX_WATCH_WAIT_S = 60.0
_NAME_PATTERN = "([A-Za-z0-9._:-]+)"
_STORE_FAULT_NAMES = {"outage", "slow", "drop_answer", "stale_reads"}


@attrs.frozen
class _ObjectRevision:
    """One revision of an object; the value is None after a delete."""

    name: str
    version: int
    value: bytes | None
    change_id: str

    def to_item(self):
        """Return the revision as an item of a list or watch."""
        item = {
            "name": self.name,
            "version": self.version,
            "change_id": self.change_id,
        }
        if self.value is None:
            return item | {"deleted": True}
        encoded = base64.b64encode(self.value).decode()
        return item | {"value_base64": encoded}


class Store:
    """Objects with versions, conditional writes and watches."""

    def __init__(self):
        self._changed = threading.Condition()
        self._revision = 0
        self._objects = collections.defaultdict(dict)
        self._previous = {}
        self._call_counts = collections.defaultdict(collections.Counter)
        self.faults = faults.FaultSet()

    def add_fault(self, fault):
        """Activate a fault; return whether the store supports it."""
        if fault.fault not in _STORE_FAULT_NAMES:
            return False
        self.faults.add(fault)
        with self._changed:
            self._changed.notify_all()
        return True

    def report_counters(self):
        """Return the number of calls by object kind, and the revision."""
        with self._changed:
            calls = {
                kind: dict(each) for kind, each in self._call_counts.items()
            }
            return {"revision": self._revision, "calls": calls}

    def make_routes(self):
        """Return the routes of the object API."""
        path = f"/v1/objects/{_NAME_PATTERN}/{_NAME_PATTERN}"
        return [
            http.Route("GET", path, self._get),
            http.Route("PUT", path, self._put),
            http.Route("DELETE", path, self._delete),
            http.Route("GET", f"/v1/objects/{_NAME_PATTERN}", self._list),
            http.Route("GET", "/v1/watch", self._watch),
        ]

    def _begin_call(self, kind, call):
        # Counts and delays a call; returns whether an outage is active.
        with self._changed:
            self._call_counts[kind][call] += 1
        slow = self.faults.get("slow")
        if slow:
            time.sleep(slow.delay_s)
        return self._is_outage_active()

    def _is_outage_active(self):
        return self.faults.get("outage") is not None

    def _get(self, _request, kind, name):
        if self._begin_call(kind, "get"):
            return _reply_outage()
        with self._changed:
            stored = self._read(kind, name, self.faults.consume("stale_reads"))
        if stored is None or stored.value is None:
            return http.reply_json(404, {"reason": "no such object"})
        headers = (
            ("X-Version", str(stored.version)),
            ("X-Change-Id", stored.change_id),
        )
        return http.Reply(
            200, stored.value, headers, "application/octet-stream"
        )

    def _read(self, kind, name, stale):
        if stale and (kind, name) in self._previous:
            return self._previous[kind, name]
        return self._objects[kind].get(name)

    def _list(self, _request, kind):
        if self._begin_call(kind, "list"):
            return _reply_outage()
        stale = self.faults.consume("stale_reads")
        with self._changed:
            read = [
                self._read(kind, name, stale) for name in self._objects[kind]
            ]
            revision = self._revision
        items = [
            stored.to_item()
            for stored in read
            if stored and stored.value is not None
        ]
        return http.reply_json(200, {"revision": revision, "items": items})

    def _put(self, request, kind, name):
        if self._begin_call(kind, "put"):
            return _reply_outage()
        if len(request.body) > _MAX_VALUE_BYTES:
            return http.reply_json(
                413, {"reason": "value is above one megabyte"}
            )
        return self._write(request, kind, name, request.body)

    def _delete(self, request, kind, name):
        if self._begin_call(kind, "delete"):
            return _reply_outage()
        with self._changed:
            present = self._get_version(kind, name)
        if not present:
            return http.reply_json(404, {"version": 0})
        return self._write(request, kind, name, None)

    def _get_version(self, kind, name):
        stored = self._objects[kind].get(name)
        return stored.version if stored and stored.value is not None else 0

    def _write(self, request, kind, name, value):
        with self._changed:
            version = self._get_version(kind, name)
            if not _is_precondition_met(request.headers, version):
                return http.reply_json(412, {"version": version})
            self._add_revision(kind, name, value, request.headers)
            written = self._revision
        if self.faults.consume("drop_answer"):
            raise http.ConnectionCutError
        return http.reply_json(200, {"version": written})

    def _add_revision(self, kind, name, value, headers):
        self._revision += 1
        change_id = headers.get("X-Change-Id", "")
        stored = _ObjectRevision(name, self._revision, value, change_id)
        self._previous[kind, name] = self._objects[kind].get(name)
        self._objects[kind][name] = stored
        self._changed.notify_all()

    def _watch(self, request):
        kind = request.query["kind"]
        after = int(request.query.get("after", 0))
        wait_s = min(float(request.query.get("wait_s", 0)), _MAX_WATCH_WAIT_S)
        if self._begin_call(kind, "watch"):
            return _reply_outage()
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._find_changes(kind, after) or self._is_outage_active()
                ),
                wait_s,
            )
            if self._is_outage_active():
                return _reply_outage()
            changes = self._find_changes(kind, after)
            revision = self._revision
        items = [stored.to_item() for stored in changes]
        return http.reply_json(200, {"revision": revision, "items": items})

    def _find_changes(self, kind, after):
        newer = [
            stored
            for stored in self._objects[kind].values()
            if stored.version > after
        ]
        return sorted(newer, key=lambda stored: stored.version)


def _is_precondition_met(headers, version):
    """Return whether the precondition headers of a write hold."""
    if headers.get("If-None-Match") == "*":
        return version == 0
    expected = headers.get("If-Match")
    return expected is None or expected.strip('"') == str(version)


def _reply_outage():
    """Return the answer of every call during an outage."""
    return http.reply_json(503, {"reason": "outage"})


def main():
    """Serve the object store and the cloud API."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    store = Store()
    instances = cloud.Cloud()

    def add(fault):
        if not (store.add_fault(fault) or instances.add_fault(fault)):
            raise ValueError(f"unknown fault {fault.fault}")

    def clear():
        store.faults.clear()
        instances.clear_faults()

    def report_counters():
        return store.report_counters() | {"cloud": instances.report_counters()}

    routes = control.make_routes(add, clear, report_counters)
    routes += store.make_routes() + instances.make_routes()
    http.serve(http.Server(arguments.port, routes))


if __name__ == "__main__":
    main()
