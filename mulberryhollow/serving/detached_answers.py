"""Cache of answers whose caller has disconnected and may return."""

import collections
import threading

__all__ = ["DetachedAnswerCache"]

MAX_ANSWERS = 2_000
"""Maximum number of answers kept at one instance."""

MAX_AGE_S = 60.0
"""Time for which an answer is kept, in seconds."""


class DetachedAnswerCache:
    """Detached answers by request id, bounded in number and age.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._answers = collections.OrderedDict()
        self._lock = threading.Lock()

    def add(self, answer):
        """Add an answer; drop the oldest ones beyond the capacity."""
        until_s = self._clock.now_s() + MAX_AGE_S
        with self._lock:
            self._answers[answer.request.request_id] = until_s, answer
            while len(self._answers) > MAX_ANSWERS:
                self._answers.popitem(last=False)

    def pop(self, request_id):
        """Remove and return an answer; None when unknown or expired."""
        with self._lock:
            until_s, answer = self._answers.pop(request_id, (0.0, None))
        return answer if until_s > self._clock.now_s() else None
