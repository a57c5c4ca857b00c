"""Circuit breaker of one endpoint."""

import enum

import attrs

__all__ = ["Circuit", "CircuitState"]

FAILURES_TO_OPEN = 3.0
OPEN_BASE_S = 1.0
OPEN_MAX_S = 30.0


class CircuitState(enum.Enum):
    """Whether new work may go to an endpoint."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half open"


@attrs.define
class Circuit:
    """Consecutive failures of one endpoint and what follows from them.

    Parameters
    ----------
    state : CircuitState
        Closed at first.
    failures : float
        Weights of the consecutive failures so far.
    openings : int
        Consecutive openings without a success between them.
    open_until_s : float
        When an open circuit turns half open, in seconds.
    probe : object or None
        The request that probes a half-open circuit; None before it.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: float = 0.0
    openings: int = 0
    open_until_s: float = 0.0
    probe: object = None

    def admits_work(self):
        """Return whether the next request may go to the endpoint."""
        match self.state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.HALF_OPEN:
                return self.probe is None
            case CircuitState.OPEN:
                return False

    def record_failure(self, weight, now_s, rng):
        """Count a failure; open after enough of them or a failed probe.

        Parameters
        ----------
        weight : float
            How much it counts; 1 for an endpoint out of reach.
        now_s : float
            The time, in seconds.
        rng : random.Random
            Source of the jitter of the open time.
        """
        self.failures += weight
        if self.state is CircuitState.OPEN:
            return
        was_probe = self.state is CircuitState.HALF_OPEN
        if was_probe or self.failures >= FAILURES_TO_OPEN:
            self._open(now_s, rng)

    def record_success(self):
        """Close the circuit and forget the failures."""
        self.state = CircuitState.CLOSED
        self.failures = 0.0
        self.openings = 0
        self.probe = None

    def advance(self, now_s):
        """Turn an open circuit half open once its time has passed."""
        is_due = now_s >= self.open_until_s
        if self.state is CircuitState.OPEN and is_due:
            self.state = CircuitState.HALF_OPEN
            self.probe = None

    def _open(self, now_s, rng):
        """Open for a jittered time that doubles with each opening."""
        longest_s = min(OPEN_MAX_S, OPEN_BASE_S * 2**self.openings)
        self.state = CircuitState.OPEN
        self.openings = min(self.openings + 1, 16)
        self.open_until_s = now_s + longest_s * rng.uniform(0.5, 1.0)
        self.probe = None
