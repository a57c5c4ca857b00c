"""Polls the active configuration of each instance during a run."""

import base64
import json
import threading
import time

import urllib3

from tools.chaos import configuration
from tools.history import record

__all__ = ["Observer", "is_ready"]

_POLL_INTERVAL_S = 0.2
_TIMEOUT_S = 1.0


class Observer(threading.Thread):
    """Thread that records active versions, store revisions and moves.

    Parameters
    ----------
    cluster : Cluster
        Store and entry instances to poll.
    stopped : threading.Event
        Ends the thread when set.
    """

    def __init__(self, cluster, stopped):
        super().__init__(name="observer", daemon=True)
        self._moves_revision = 0
        self._cluster = cluster
        self._stopped = stopped

    def run(self):
        """Poll the entry instances and the store at regular intervals."""
        while not self._stopped.wait(_POLL_INTERVAL_S):
            for (
                instance,
                address,
            ) in self._cluster.get_entry_addresses().items():
                self._read_entry(instance, address)
            self._read_store()
            self._read_moves()

    def _read_entry(self, instance, address):
        status = _get_json(address, "/status")
        if not status.get("document_version"):
            return
        self._cluster.recorder.add(
            record.ConfigurationSeen(
                at_s=time.time(),
                instance=instance,
                environment=configuration.ENVIRONMENT,
                version=status["document_version"],
            )
        )

    def _read_store(self):
        counters = _get_json(self._cluster.store, "/control")
        if "revision" in counters:
            self._cluster.recorder.add(
                record.StoreRevision(
                    at_s=time.time(),
                    kind="all",
                    name="all",
                    revision=counters["revision"],
                )
            )

    def _read_moves(self):
        """Record the moves that have changed since the last poll."""
        path = f"/v1/watch?kind=move&after={self._moves_revision}&wait_s=0"
        changed = _get_json(self._cluster.store, path)
        self._moves_revision = changed.get("revision", self._moves_revision)
        for item in changed.get("items", ()):
            move = json.loads(base64.b64decode(item["value_base64"]))
            self._cluster.recorder.add(
                record.MoveSeen(
                    at_s=time.time(),
                    move=move["id"],
                    state=move["stage"],
                    deadline_s=move["deadline_s"],
                    to_version=move["to_version"],
                )
            )


def is_ready(address):
    """Return whether the entry at an address reports to be ready."""
    return _get_json(address, "/readyz").get("ready", False)


def _get_json(address, path):
    """Return the JSON object of a path; empty without a valid answer."""
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}{path}",
            timeout=_TIMEOUT_S,
            retries=False,
            headers={"Connection": "close"},
        )
        return answer.json()
    except (urllib3.exceptions.HTTPError, ValueError):
        return {}
