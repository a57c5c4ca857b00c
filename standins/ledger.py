"""Ledger of the requests that arrived and ran at an endpoint."""

import json
import os
import threading
import time

import attrs

__all__ = ["Entry", "Ledger"]


@attrs.frozen(kw_only=True)
class Entry:
    """One step of a request at an endpoint.

    Parameters
    ----------
    step : str
        ``arrived`` when the request was accepted; ``ran`` when its
        execution began (engine) or took effect (plain service).
    kind : str
        ``generate``, ``lookup`` or ``booking``.
    request_id, key, slot, booking_id : str
        From the request and its effect; empty where a kind has none.
    at_s : float
        Time of the step, in Unix seconds.
    version : str
        Requested version; empty when the request names none.
    """

    step: str
    kind: str
    request_id: str
    at_s: float
    key: str = ""
    slot: str = ""
    booking_id: str = ""
    version: str = ""


class Ledger:
    """Entries in order, in memory and in a file that outlives the process.

    Parameters
    ----------
    path : str
        File that entries are appended to; empty for none.

    Attributes
    ----------
    since_s : float
        Time from which the ledger is complete, in Unix seconds.
    """

    def __init__(self, path=""):
        self.since_s = time.time()
        self._lock = threading.Lock()
        self._entries = []
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def add(self, **fields):
        """Append an entry with the current time."""
        entry = Entry(at_s=time.time(), **fields)
        with self._lock:
            self._entries.append(entry)
            if self._file is not None:
                line = json.dumps(attrs.asdict(entry)) + "\n"
                os.write(self._file, line.encode())

    def list_entries(self, kind, step="ran"):
        """Return the entries of a kind and step as JSON values."""
        with self._lock:
            return [
                attrs.asdict(entry)
                for entry in self._entries
                if (entry.kind, entry.step) == (kind, step)
            ]
