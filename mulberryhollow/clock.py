"""Injectable clocks: the system's, a slewed one, and one for tests."""

import threading
import time

__all__ = ["Clock", "ManualClock", "SlewedWallClock", "SystemClock"]


class Clock:
    """Interface for reading the time and for waiting.

    Components of the daemon receive a clock instead of calling the `time`
    module, so that tests can replace it.
    """

    def now_s(self):
        """Return monotonic time, in seconds."""
        raise NotImplementedError

    def wall_s(self):
        """Return wall-clock time, in seconds since the Unix epoch."""
        raise NotImplementedError

    def elapsed_s(self):
        """Return monotonic time including system suspension, in seconds."""
        return self.now_s()

    def wait(self, event, timeout_s):
        """Wait for a threading.Event; return whether it was set.

        Parameters
        ----------
        event : threading.Event
            Event to wait for.
        timeout_s : float
            Maximum wait, in seconds.

        Returns
        -------
        bool
            True if the event was set, False after a timeout.
        """
        raise NotImplementedError

    def sleep(self, duration_s):
        """Block for a duration, in seconds."""
        self.wait(threading.Event(), duration_s)


class SystemClock(Clock):
    """The clock of the operating system."""

    def now_s(self):
        """Return monotonic time, in seconds."""
        return time.monotonic()

    def wall_s(self):
        """Return wall-clock time, in seconds since the Unix epoch."""
        return time.time()

    def elapsed_s(self):
        """Return monotonic time including system suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wait(self, event, timeout_s):
        """Wait for a threading.Event; return whether it was set."""
        return event.wait(timeout_s)


class SlewedWallClock:
    """Wall-clock time that is slewed, not stepped, when the clock jumps.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    The returned time approaches the underlying clock by at most
    `MAX_SLEW_RATE` seconds per elapsed second. A jump that is soon reverted
    therefore has little effect, and a lasting one is corrected within
    minutes. Thread-safe.
    """

    MAX_SLEW_RATE = 0.02
    """Maximum correction per elapsed second, as a fraction."""

    def __init__(self, clock):
        self._clock = clock
        self._at_s = clock.elapsed_s()
        self._offset_s = clock.wall_s() - self._at_s
        self._lock = threading.Lock()

    def wall_s(self):
        """Return wall-clock time, in seconds since the Unix epoch."""
        with self._lock:
            now_s = self._clock.elapsed_s()
            difference_s = self._clock.wall_s() - now_s - self._offset_s
            max_slew_s = self.MAX_SLEW_RATE * max(0.0, now_s - self._at_s)
            self._offset_s += max(-max_slew_s, min(max_slew_s, difference_s))
            self._at_s = now_s
            return now_s + self._offset_s


class ManualClock(Clock):
    """A clock for tests, which moves only by `advance` and `step`.

    Parameters
    ----------
    start_s : float
        Initial monotonic and wall-clock time, in seconds.
    """

    def __init__(self, start_s=1_000.0):
        self._now_s = start_s
        self._step_s = 0.0
        self._changed = threading.Condition()

    def now_s(self):
        """Return the manually advanced time, in seconds."""
        return self._now_s

    def wall_s(self):
        """Return the advanced time plus all steps, in seconds."""
        return self._now_s + self._step_s

    def step(self, by_s):
        """Shift only the wall-clock time, as when a clock is set.

        Parameters
        ----------
        by_s : float
            Size of the step, in seconds; negative for a step back.
        """
        self._step_s += by_s

    def advance(self, by_s):
        """Move the time forward.

        Parameters
        ----------
        by_s : float
            Duration, in seconds; not negative.
        """
        with self._changed:
            self._now_s += by_s
            self._changed.notify_all()

    def wait(self, event, timeout_s):
        """Wait until the event is set or `advance` passes the timeout."""
        end_s = self._now_s + timeout_s
        with self._changed:
            while not event.is_set() and self._now_s < end_s:
                self._changed.wait(0.01)
        return event.is_set()
