"""Maintains the lease on the duties and performs them while it is held."""

import logging
import threading

from mulberryhollow.coordination import duties
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.serving import usage
from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter

__all__ = ["DutyManager"]

LEASE_OBJECT_NAME = "holder"
"""Name of the stored object that holds the lease."""

RELEASE_TIMEOUT_S = 2.0
"""Time that a release waits for the running call of a duty, in seconds.

Longer than one call takes; the instance leaves rotation meanwhile.
"""

IDLE_INTERVAL_S = 1.0
"""Interval between ticks of an instance that is no candidate, in seconds."""

ACQUIRED = events.declare(
    8110, logging.INFO, "this instance acquired the lease on the duties"
)
LOST = events.declare(
    8111, logging.INFO, "this instance no longer holds the duties"
)

NOT_RELEASED = events.declare(
    8112,
    logging.WARNING,
    "the duties were not released since a call had not ended; another "
    "instance acquires the lease when it lapses",
)


class DutyManager:
    """Acquires, renews and releases the lease; performs the duties.

    Parameters
    ----------
    instance : str
        Name of this instance.
    store : StoreClient
        Store that holds the lease.
    clock : Clock
        Source of time.
    handlers : tuple
        The duties. Each has ``begin()``, called after the lease was
        acquired, and ``work(fence, is_held)``, called at each tick while
        the lease is held.
    rules : LeaseRules or None
        Durations of the lease; the defaults if None.
    is_candidate : callable
        Returns whether this instance may acquire the lease. Each candidate
        reads the lease periodically, so a large fleet has a few of them.
    """

    def __init__(
        self,
        instance,
        store,
        clock,
        handlers,
        rules=None,
        is_candidate=lambda: True,
    ):
        self._store = store
        self._clock = clock
        self._handlers = handlers
        self._is_candidate = is_candidate
        self._lease = duties.Lease(instance, rules or duties.LeaseRules())
        self._was_held = False
        self._is_released = False
        self._lock = threading.Lock()
        self._is_idle = threading.Event()
        self._is_idle.set()

    def is_held(self):
        """Return whether this instance holds the lease and may act now."""
        return not self._is_released and self._lease.is_held(
            self._clock.elapsed_s()
        )

    def tick(self):
        """Read or renew the lease, then perform the duties if it is held.

        Returns
        -------
        float or None
            Time until the next call, in seconds; None for the usual one.
        """
        with self._lock:
            if self._is_released:
                return IDLE_INTERVAL_S
            if self._store.era is not None:
                self._lease.observe_era(
                    self._store.era, self._clock.elapsed_s()
                )
            is_idle = not (self._lease.fencing_token or self._is_candidate())
            if not is_idle:
                self._update_lease()
            self._is_idle.clear()
        try:
            self._perform_duties()
        finally:
            self._is_idle.set()
        return IDLE_INTERVAL_S if is_idle else None

    def release(self):
        """Release the lease and never acquire it again in this process.

        Another instance can then acquire it without waiting for expiry. A
        call that is on its way could reach the platform after the next
        holder's, so the lease is released only once it has ended.
        """
        self._is_released = True
        with self._lock:
            if not self._clock.wait(self._is_idle, RELEASE_TIMEOUT_S):
                if self._lease.fencing_token:
                    events.log(NOT_RELEASED, fence=self._lease.fencing_token)
                return
            write = self._lease.plan_release(self._clock.elapsed_s())
            if write is not None:
                self._write(write)

    def _perform_duties(self):
        """Perform the duties while the lease is held."""
        if self._was_held and not self._lease.fencing_token:
            self._was_held = False
            events.log(LOST, holder=self._lease.holder)
        for handler in self._handlers:
            if self.is_held():
                handler.work(self._lease.fencing_token, self.is_held)

    def _update_lease(self):
        """Carry out the read or write that the lease plans, if any."""
        match self._lease.plan(self._clock.elapsed_s()):
            case duties.Read():
                found = self._store.get(
                    usage.DUTY_KIND, LEASE_OBJECT_NAME, is_stale_ok=True
                )
                now_s = self._clock.elapsed_s()
                self._lease.observe(found, now_s, self._store.era or 0)
            case duties.Write() as write:
                self._write(write)

    def _write(self, write):
        """Carry out a planned write and resolve it with its outcome."""
        outcome = self._put(write)
        is_new = self._lease.resolve(write, outcome, self._clock.elapsed_s())
        if is_new:
            self._was_held = True
            events.log(ACQUIRED, fence=self._lease.fencing_token)
            for handler in self._handlers:
                handler.begin()

    def _put(self, write):
        """Return the outcome of a write; WriteRejected if it is unknown."""
        try:
            return store_adapter.put_and_resolve(
                self._store,
                usage.DUTY_KIND,
                LEASE_OBJECT_NAME,
                write.value,
                write.expected_version,
            )
        except errors.StoreUnavailableError as error:
            return objects.WriteRejected(error.message)
