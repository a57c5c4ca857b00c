"""Notices callers that leave while their request is at an endpoint."""

import logging
import threading

from mulberryhollow import events

__all__ = ["CallerWatch"]

POLL_S = 0.1
"""Time between two looks at the callers, in seconds.

An endpoint stops working for a caller that has left only when its
connection ends, so this bounds the work that is done for nobody.
"""

CALLER_LEFT = events.declare(
    2002, logging.INFO, "a caller left before its answer was whole"
)


class CallerWatch:
    """Aborts the work of callers that have left.

    Parameters
    ----------
    clock : Clock
        Source of waiting.
    """

    def __init__(self, clock):
        self._clock = clock
        self._watched = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self):
        """Start the thread that looks."""
        threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        ).start()

    def stop(self):
        """Let the thread end."""
        self._stopped.set()

    def add(self, key, is_gone, abort):
        """Watch the caller of a request.

        Parameters
        ----------
        key : object
            Names the request for `remove`.
        is_gone : callable
            Whether the caller has left.
        abort : callable
            Called once when it has; must not wait.
        """
        with self._lock:
            self._watched[key] = (is_gone, abort)

    def remove(self, key):
        """Watch the caller of a request no longer."""
        with self._lock:
            self._watched.pop(key, None)

    def look(self):
        """Abort the work of every caller that has left."""
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
        """Look again and again."""
        while not self._stopped.is_set():
            self.look()
            self._clock.wait(self._stopped, POLL_S)
