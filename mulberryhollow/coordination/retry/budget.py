"""Budget that keeps retries a fraction of the successes."""

__all__ = ["RetryBudget"]

RATIO = 0.1
BURST = 20.0


class RetryBudget:
    """Credit that successes earn and retries spend.

    Parameters
    ----------
    ratio : float
        Retries that one success pays for.
    burst : float
        Most retries that are ever in credit; the credit at the start.
    """

    def __init__(self, ratio=RATIO, burst=BURST):
        self._ratio = ratio
        self._burst = burst
        self._credit = burst

    @property
    def credit(self):
        """Retries in credit."""
        return self._credit

    def record_success(self):
        """Earn the credit of one success."""
        self._credit = min(self._burst, self._credit + self._ratio)

    def spend(self):
        """Spend one retry; return whether there was credit for it."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
