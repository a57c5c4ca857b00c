"""Token bucket that limits retries to a fraction of the successes."""

__all__ = ["RetryBudget"]

RETRIES_PER_SUCCESS = 0.1

# Maximum and initial credit, in retries.
MAX_CREDIT_RETRIES = 20.0


class RetryBudget:
    """Token bucket filled by successes and drained by retries.

    Parameters
    ----------
    ratio : float
        Credit earned by one success, in retries.
    burst : float
        Maximum and initial credit, in retries.
    """

    def __init__(self, ratio=RETRIES_PER_SUCCESS, burst=MAX_CREDIT_RETRIES):
        self._ratio = ratio
        self._burst = burst
        self._credit = burst

    @property
    def credit(self):
        """Remaining credit, in retries."""
        return self._credit

    def record_success(self):
        """Add the credit of one success."""
        self._credit = min(self._burst, self._credit + self._ratio)

    def spend(self):
        """Return whether there is credit for a retry, and spend it if so."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
