"""Exponential backoff of instance starts that the cloud refused."""

import random

import attrs

__all__ = ["RefusedStarts"]

BACKOFF_BASE_S = 5.0
BACKOFF_MAX_S = 300.0

# Maximum number of offers with a recorded backoff.
MAX_TRACKED_OFFERS = 4096


@attrs.frozen
class _Backoff:
    """Backoff of one offer.

    Parameters
    ----------
    refusals : int
        Number of consecutive refusals.
    until_s : float
        Time until which the offer is blocked, in seconds.
    """

    refusals: int
    until_s: float


class RefusedStarts:
    """Backoff of refused starts, by failure domain, machine class, market.

    Parameters
    ----------
    rng : random.Random or None
        Source of the jitter; seeded with 0 when None.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random(0)
        self._backoffs = {}

    def record_refused(self, offer, now_s):
        """Block an offer for a time that doubles with each refusal.

        The time is jittered. A refusal while the offer is blocked does not
        extend the time.

        Parameters
        ----------
        offer : InstanceOffer
            The offer whose start was refused.
        now_s : float
            The time, in seconds.
        """
        previous = self._backoffs.pop(offer.key, _Backoff(0, 0.0))
        if now_s < previous.until_s:
            self._backoffs[offer.key] = previous
            return
        max_delay_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**previous.refusals)
        until_s = now_s + max_delay_s * self._rng.uniform(0.5, 1.0)
        refusals = min(previous.refusals + 1, 16)
        self._backoffs[offer.key] = _Backoff(refusals, until_s)
        while len(self._backoffs) > MAX_TRACKED_OFFERS:
            del self._backoffs[next(iter(self._backoffs))]

    def record_started(self, offer):
        """Reset the backoff of an offer after a successful start."""
        self._backoffs.pop(offer.key, None)

    def is_blocked(self, offer, now_s):
        """Return whether an offer is blocked by its backoff."""
        backoff = self._backoffs.get(offer.key)
        return backoff is not None and now_s < backoff.until_s
