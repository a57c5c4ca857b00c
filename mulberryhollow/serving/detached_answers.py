"""Cache of answers whose caller has disconnected and may return."""

import collections
import math
import threading

import attrs

__all__ = ["DetachedAnswerCache"]

MAX_ANSWERS = 2_000
"""Maximum number of answers kept at one instance."""

MAX_BYTES = 32 << 20
"""Maximum size of the answers kept at one instance, in bytes."""

TOKEN_OVERHEAD_BYTES = 64
"""Size of a token beside its text, in bytes."""

MAX_AGE_S = 60.0
"""Time for which an answer is kept, in seconds."""


@attrs.frozen
class _KeptAnswer:
    """An answer, its size and the end of its time.

    Parameters
    ----------
    answer : DetachedAnswer or None
        The answer; None for one that is not kept.
    until_s : float
        Time until which it is kept, in seconds.
    size_bytes : int
        Approximate size in memory, in bytes.
    """

    answer: object = None
    until_s: float = -math.inf
    size_bytes: int = 0


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
            kept = _KeptAnswer(answer, until_s, _compute_size(answer))
            self._answers[request_id] = kept
            self._size_bytes += kept.size_bytes
            while self._is_full():
                self._remove(next(iter(self._answers)))

    def pop(self, request_id):
        """Remove and return an answer; None when unknown or expired."""
        with self._lock:
            kept = self._remove(request_id)
        return kept.answer if kept.until_s > self._clock.now_s() else None

    def _remove(self, request_id):
        """Remove an answer, if it is kept, and return the _KeptAnswer."""
        kept = self._answers.pop(request_id, _KeptAnswer())
        self._size_bytes -= kept.size_bytes
        return kept

    def _is_full(self):
        """Return whether more is kept than the capacity allows."""
        is_too_many = len(self._answers) > MAX_ANSWERS
        return is_too_many or self._size_bytes > MAX_BYTES


def _compute_size(answer):
    """Return the approximate size of an answer in memory, in bytes."""
    tokens = sum(map(len, answer.tokens))
    return tokens + TOKEN_OVERHEAD_BYTES * len(answer.tokens)
