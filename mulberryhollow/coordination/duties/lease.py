"""Lease with fencing token, held by conditional writes of one object."""

import dataclasses
import json

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import objects

__all__ = ["Lease", "LeaseRules", "Read", "Write"]


@attrs.frozen
class LeaseRules:
    """Intervals of a lease.

    Parameters
    ----------
    renew_s : float
        Interval between renewals by the holder, and between reads by the
        other instances, in seconds.
    hold_s : float
        Time after the start of a renewal during which the holder may act,
        in seconds.
    takeover_s : float
        Time without a renewal after which another instance takes over,
        in seconds; longer than `hold_s` by more than the longest call.
    """

    renew_s: float = 1.0
    hold_s: float = 2.0
    takeover_s: float = 4.0


@dataclasses.dataclass(frozen=True)
class Read:
    """Request to read the lease object."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Request to write the lease object conditionally.

    Parameters
    ----------
    value : bytes
        New content.
    expected_version : int
        Version that the object must have; 0 if it must not exist.
    planned_s : float
        When the write was planned, in seconds; the hold time counts from
        here.
    """

    value: bytes
    expected_version: int
    planned_s: float


class Lease:
    """State of the lease as seen by one instance.

    Parameters
    ----------
    instance : str
        Name of this instance.
    rules : LeaseRules
        Intervals of the lease.

    Notes
    -----
    Times must come from a clock that also runs while the process or host
    is suspended, so that a resumed instance does not act on an expired
    lease. The version of the write that acquired the lease is the holder's
    fencing token.
    """

    def __init__(self, instance, rules):
        self._instance = instance
        self._rules = rules
        self._version = None
        self._holder = ""
        self._fencing_token = 0
        self._renewals = 0
        self._changed_s = float("-inf")
        self._polled_s = float("-inf")
        self._held_until_s = float("-inf")

    @property
    def holder(self):
        """Name of the last known holder; empty for none."""
        return self._holder

    @property
    def fencing_token(self):
        """Fencing token of this instance; 0 unless it acquired the lease."""
        return self._fencing_token

    def is_held(self, now_s):
        """Return whether this instance may act as the holder."""
        return self._fencing_token > 0 and now_s < self._held_until_s

    def plan(self, now_s):
        """Return the next store call: Read, Write or None."""
        if now_s - self._polled_s < self._rules.renew_s:
            return None
        self._polled_s = now_s
        if self._version is None:
            return Read()
        if self._fencing_token:
            return self._plan_write(now_s)
        is_free = not self._holder and self._version >= 0
        if is_free or now_s - self._changed_s >= self._rules.takeover_s:
            return self._plan_write(now_s)
        return Read()

    def plan_release(self, now_s):
        """Return the Write that releases the lease; None if not the holder.

        From this call on the instance does not act as the holder.
        """
        if not self._fencing_token:
            return None
        self._held_until_s = float("-inf")
        return Write(_encode("", self._renewals), self._version, now_s)

    def observe(self, found, now_s):
        """Apply the result of a read.

        Parameters
        ----------
        found : StoredObject or None
            The lease object; None if it does not exist. A version lower
            than the last known one is ignored as a stale read.
        now_s : float
            The time, in seconds.
        """
        version = found.version if found else 0
        if self._version is not None and version < self._version:
            return
        if version == self._version:
            return
        self._version = version
        self._changed_s = now_s
        self._holder = _decode(found.value) if found else ""
        if self._holder != self._instance:
            self._fencing_token = 0

    def resolve(self, write, outcome, now_s):
        """Apply the outcome of a planned write.

        Parameters
        ----------
        write : Write
            The planned write.
        outcome : WriteApplied or WriteRejected
            The outcome that the store reported.
        now_s : float
            The time, in seconds.

        Returns
        -------
        bool
            Whether this instance has just become the holder.
        """
        match outcome:
            case objects.WriteApplied(version):
                was_holder = self._fencing_token > 0
                self._version = version
                self._changed_s = now_s
                self._holder = _decode(write.value)
                if self._holder != self._instance:
                    self._fencing_token = 0
                    return False
                if not was_holder:
                    self._fencing_token = version
                self._held_until_s = write.planned_s + self._rules.hold_s
                return not was_holder
            case objects.WriteRejected("conflict"):
                self._fencing_token = 0
                self._version = None
                self._polled_s = float("-inf")
        return False

    def _plan_write(self, now_s):
        """Return the write that acquires or renews the lease."""
        self._renewals += 1
        value = _encode(self._instance, self._renewals)
        return Write(value, self._version, now_s)


def _encode(holder, renewals):
    """Return the content of the lease object."""
    fields = {"holder": holder, "renewals": renewals}
    return json.dumps(fields, sort_keys=True).encode()


def _decode(value):
    """Return the holder in the content; empty for none or malformed."""
    try:
        return str(decoding.decode_json(value)["holder"])
    except (ValueError, KeyError, TypeError):
        return ""
