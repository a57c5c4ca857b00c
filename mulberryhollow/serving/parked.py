"""Answers that wait for their caller to come back."""

import collections
import threading

__all__ = ["Parked"]

CAPACITY = 2_000
"""Most answers kept at one instance."""

KEEP_S = 60.0
"""Longest time that an answer is kept, in seconds."""


class Parked:
    """Answers by request id, bounded in number and time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._answers = collections.OrderedDict()
        self._lock = threading.Lock()

    def park(self, answer):
        """Keep an answer; the oldest one goes when there are too many."""
        until_s = self._clock.now_s() + KEEP_S
        with self._lock:
            self._answers[answer.request.request_id] = until_s, answer
            while len(self._answers) > CAPACITY:
                self._answers.popitem(last=False)

    def take(self, request_id):
        """Return and remove an answer; None when there is none."""
        with self._lock:
            until_s, answer = self._answers.pop(request_id, (0.0, None))
        return answer if until_s > self._clock.now_s() else None
