"""Cache of answers whose caller has disconnected and may return."""

import collections
import threading

__all__ = ["DetachedAnswerCache"]

MAX_ANSWERS = 2_000
"""Maximum number of answers kept at one instance."""

MAX_BYTES = 32 << 20
"""Maximum size of the answers kept at one instance, in bytes."""

TOKEN_OVERHEAD_BYTES = 64
"""Size of a token beside its text, in bytes."""

MAX_AGE_S = 60.0
"""Time for which an answer is kept, in seconds."""


class DetachedAnswerCache:
    """Detached answers by request id, bounded in number, size and age.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._answers = collections.OrderedDict()
        self._size_bytes = 0
        self._lock = threading.Lock()

    def add(self, answer):
        """Add an answer; drop the oldest ones beyond the capacity.

        One that is too large by itself is not kept.
        """
        until_s = self._clock.now_s() + MAX_AGE_S
        request_id = answer.request.request_id
        with self._lock:
            self._remove(request_id)
            self._answers[request_id] = until_s, answer
            self._size_bytes += _compute_size(answer)
            while self._is_full():
                self._remove(next(iter(self._answers)))

    def pop(self, request_id):
        """Remove and return an answer; None when unknown or expired."""
        with self._lock:
            until_s, answer = self._remove(request_id)
        return answer if until_s > self._clock.now_s() else None

    def _remove(self, request_id):
        """Remove an answer; return its end and itself, or no answer."""
        until_s, answer = self._answers.pop(request_id, (0.0, None))
        if answer is not None:
            self._size_bytes -= _compute_size(answer)
        return until_s, answer

    def _is_full(self):
        """Return whether more is kept than the capacity allows."""
        is_too_many = len(self._answers) > MAX_ANSWERS
        return is_too_many or self._size_bytes > MAX_BYTES


def _compute_size(answer):
    """Return the approximate size of an answer in memory, in bytes."""
    tokens = sum(map(len, answer.tokens))
    return tokens + TOKEN_OVERHEAD_BYTES * len(answer.tokens)
