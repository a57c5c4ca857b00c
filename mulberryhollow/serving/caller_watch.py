"""Detects callers that disconnect while their request is in progress."""

import logging
import threading

from mulberryhollow import events

__all__ = ["CallerWatch"]

POLL_INTERVAL_S = 0.1
"""Interval of checking the callers, in seconds.

An endpoint stops working on a request only when its connection closes, so
this bounds the work that is done for callers that have disconnected.
"""

CALLER_LEFT = events.declare(
    2002, logging.INFO, "a caller disconnected before its answer was complete"
)


class CallerWatch:
    """Aborts the requests of callers that have disconnected.

    Parameters
    ----------
    clock : Clock
        Clock that the polling thread waits on.
    """

    def __init__(self, clock):
        self._clock = clock
        self._watched = {}
        self._is_wanted = threading.Event()
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self):
        """Start the polling thread."""
        threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        ).start()

    def stop(self):
        """Stop the polling thread."""
        self._stopped.set()
        self._is_wanted.set()

    def add(self, key, is_gone, abort):
        """Watch the caller of a request.

        Parameters
        ----------
        key : object
            Identifies the request for `remove`.
        is_gone : callable
            Returns whether the caller has disconnected.
        abort : callable
            Called once when the caller has disconnected; must not block.
        """
        with self._lock:
            self._watched[key] = (is_gone, abort)
        self._is_wanted.set()

    def remove(self, key):
        """Stop watching the caller of a request."""
        with self._lock:
            self._watched.pop(key, None)

    def list_watched(self):
        """Return the keys of the requests whose callers are watched."""
        with self._lock:
            return list(self._watched)

    def poll(self):
        """Abort the request of every caller that has disconnected."""
        with self._lock:
            gone = [
                (key, abort)
                for key, (is_gone, abort) in self._watched.items()
                if is_gone()
            ]
            for key, _ in gone:
                del self._watched[key]
        for _, abort in gone:
            abort()

    def _run(self):
        """Poll until stopped, while any caller is watched."""
        while not self._stopped.is_set():
            self.poll()
            with self._lock:
                if not self._watched and not self._stopped.is_set():
                    self._is_wanted.clear()
            self._clock.wait(self._stopped, POLL_INTERVAL_S)
            self._is_wanted.wait()
