"""Circuit breaker of one endpoint."""

import enum

import attrs

__all__ = ["Circuit", "CircuitState"]

# Total weight of consecutive failures that opens a circuit.
FAILURES_TO_OPEN = 3.0

# Maximum duration of the first opening, in seconds.
OPEN_BASE_S = 1.0

# Maximum duration of any opening, in seconds.
OPEN_MAX_S = 30.0


class CircuitState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half open"


@attrs.define
class Circuit:
    """Circuit breaker driven by consecutive failures of one endpoint.

    Parameters
    ----------
    state : CircuitState
        Current state; initially closed.
    failures : float
        Total weight of the failures since the last success.
    openings : int
        Number of openings since the last success.
    open_until_s : float
        Monotonic time at which an open circuit becomes half open, in
        seconds.
    probe : object or None
        Request that probes the half-open circuit; None if no probe is in
        flight.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: float = 0.0
    openings: int = 0
    open_until_s: float = 0.0
    probe: object = None

    def admits_work(self):
        """Return whether a new request may be sent to the endpoint."""
        match self.state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.HALF_OPEN:
                return self.probe is None
            case CircuitState.OPEN:
                return False

    def record_failure(self, weight, now_s, rng):
        """Count a failure and open the circuit if a limit is reached.

        The circuit opens when the failures reach `FAILURES_TO_OPEN` and at
        any failure while it is half open.

        Parameters
        ----------
        weight : float
            Weight of the failure; 1 for an unreachable endpoint.
        now_s : float
            Monotonic time, in seconds.
        rng : random.Random
            Source of jitter for the duration of the opening.
        """
        self.failures += weight
        if self.state is CircuitState.OPEN:
            return
        was_probe = self.state is CircuitState.HALF_OPEN
        if was_probe or self.failures >= FAILURES_TO_OPEN:
            self._open(now_s, rng)

    def record_success(self):
        """Close the circuit and reset the failure counts."""
        self.state = CircuitState.CLOSED
        self.failures = 0.0
        self.openings = 0
        self.probe = None

    def advance(self, now_s):
        """Set an open circuit to half open if its open time has passed."""
        is_due = now_s >= self.open_until_s
        if self.state is CircuitState.OPEN and is_due:
            self.state = CircuitState.HALF_OPEN
            self.probe = None

    def _open(self, now_s, rng):
        """Open the circuit for an exponentially growing, jittered time."""
        longest_s = min(OPEN_MAX_S, OPEN_BASE_S * 2**self.openings)
        self.state = CircuitState.OPEN
        self.openings = min(self.openings + 1, 16)
        self.open_until_s = now_s + longest_s * rng.uniform(0.5, 1.0)
        self.probe = None
