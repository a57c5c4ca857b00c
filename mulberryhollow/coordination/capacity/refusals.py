"""Back-off of starts that the cloud refused."""

import random

import attrs

__all__ = ["RefusedStarts"]

BACKOFF_BASE_S = 5.0
BACKOFF_MAX_S = 300.0
KEPT = 4096


@attrs.frozen
class _Backoff:
    """Consecutive refusals of one offer."""

    refusals: int
    until_s: float


class RefusedStarts:
    """Refused starts by failure domain, machine class and market.

    Parameters
    ----------
    rng : random.Random or None
        Source of the jitter; seeded by 0 when None.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random(0)
        self._backoffs = {}

    def record_refused(self, offer, now_s):
        """Keep an offer out of plans for a jittered, doubling time.

        Parameters
        ----------
        offer : Offer
            What could not be started.
        now_s : float
            The time, in seconds.
        """
        before = self._backoffs.pop(offer.key, _Backoff(0, 0.0))
        if now_s < before.until_s:
            self._backoffs[offer.key] = before
            return
        longest_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**before.refusals)
        until_s = now_s + longest_s * self._rng.uniform(0.5, 1.0)
        refusals = min(before.refusals + 1, 16)
        self._backoffs[offer.key] = _Backoff(refusals, until_s)
        while len(self._backoffs) > KEPT:
            del self._backoffs[next(iter(self._backoffs))]

    def record_started(self, offer):
        """Forget the refusals of an offer that was started."""
        self._backoffs.pop(offer.key, None)

    def is_blocked(self, offer, now_s):
        """Return whether an offer is not to be tried yet."""
        backoff = self._backoffs.get(offer.key)
        return backoff is not None and now_s < backoff.until_s
