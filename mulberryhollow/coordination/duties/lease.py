"""Lease with fencing token, held by conditional writes of one object."""

import dataclasses
import json

import attrs

from mulberryhollow.state import decoding
from mulberryhollow.state import objects

__all__ = ["Lease", "LeaseRules", "Read", "Write"]

TAKEOVER_MARGIN_S = 1.0
"""Least time from the end of a lease's time to the takeover, in seconds."""

MIN_TAKEOVER_CALLS = 4
"""Least time to a takeover, as a multiple of the longest call.

The holder may act for half of it, so its last call has twice its time.
"""

MAX_RENEW_S = 1.0
"""Largest interval between renewals and reads, in seconds.

A lease that is released is acquired after this time at the latest.
"""


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
    call_s : float
        Longest time of a call that the holder makes, in seconds.

    Raises
    ------
    ValueError
        If another instance could act before the holder's last call has
        ended, or the holder renews the lease too late to keep it.
    """

    renew_s: float = 1.0
    hold_s: float = 2.0
    takeover_s: float = 4.0
    call_s: float = 1.0

    def __attrs_post_init__(self):
        is_kept = 0 < self.renew_s < self.hold_s
        if not (is_kept and self.hold_s + self.call_s < self.takeover_s):
            raise ValueError(f"the intervals of a lease conflict: {self}")

    @classmethod
    def derive(cls, lease_s, call_s):
        """Return the rules for the time within which holders never alternate.

        Parameters
        ----------
        lease_s : float
            Time within which an earlier holder must not act again after
            another one, in seconds.
        call_s : float
            Longest time of a call that the holder makes, in seconds.
        """
        takeover_s = max(
            lease_s + TAKEOVER_MARGIN_S, MIN_TAKEOVER_CALLS * call_s
        )
        return cls(
            renew_s=min(MAX_RENEW_S, takeover_s / 4),
            hold_s=takeover_s / 2,
            takeover_s=takeover_s,
            call_s=call_s,
        )


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
        Version that the object must have. One without a revision, see
        `objects.get_revision`, if it must not exist.
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

    A restored store may show a lease as absent or released while the holder
    of before the restore still acts. So a lease without a holder is acquired
    only once this instance has known the store's era for `takeover_s`, unless
    it was released in this era. A released one is acquired like one that is
    no longer renewed by an instance that held the lease before, or has just
    started and may have: holders must not alternate within `takeover_s`.

    An instance that finds itself named after a conflict, less than
    `takeover_s` after the start of its last renewal, acquires the lease at
    once: nobody else can have held it meanwhile. Otherwise each restore would
    leave the duties without a holder for `takeover_s`.
    """

    def __init__(self, instance, rules):
        self._instance = instance
        self._rules = rules
        self._version = None
        self._holder = ""
        self._is_released = False
        self._has_held = False
        self._began_s = None
        self._era = None
        self._era_began_s = float("-inf")
        self._fencing_token = 0
        self._renewals = 0
        self._changed_s = float("-inf")
        self._polled_s = float("-inf")
        self._held_until_s = float("-inf")
        self._renewed_s = float("-inf")

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
        is_lapsed = now_s - self._changed_s >= self._rules.takeover_s
        is_free = not self._holder and self._may_follow(now_s)
        if is_lapsed or is_free or self._may_resume(now_s):
            return self._plan_write(now_s)
        return Read()

    def plan_release(self, now_s):
        """Return the Write that releases the lease; None if not the holder.

        From this call on the instance does not act as the holder.
        """
        if not self._fencing_token:
            return None
        self._held_until_s = float("-inf")
        self._renewed_s = float("-inf")
        value = _encode_release(self._renewals, self._version)
        return Write(value, self._version, now_s)

    def observe_era(self, era, now_s):
        """Note the store's era, which rises with each restore."""
        if self._began_s is None:
            self._began_s = now_s
        if self._era is None or era > self._era:
            self._era = era
            self._era_began_s = now_s

    def observe(self, found, now_s, era=0):
        """Apply the result of a read.

        Parameters
        ----------
        found : StoredObject or None
            The lease object; None if it does not exist. A version lower
            than the last known one is ignored as a stale read.
        now_s : float
            The time, in seconds.
        era : int
            Era of the store, if the object does not exist.
        """
        version = found.version if found else objects.make_version(era, 0)
        self.observe_era(objects.get_era(version), now_s)
        if self._version is not None and version < self._version:
            return
        if version == self._version:
            return
        self._version = version
        self._changed_s = now_s
        self._holder = _decode(found.value) if found else ""
        self._is_released = bool(found) and _is_release(found)
        if self._holder != self._instance:
            self._fencing_token = 0
        elif self._may_resume(now_s):
            self._polled_s = float("-inf")

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
            case objects.WriteApplied(version) if objects.get_era(
                version
            ) != objects.get_era(write.expected_version):
                self._forget()
            case objects.WriteApplied(version):
                was_holder = self._fencing_token > 0
                self._version = version
                self._changed_s = now_s
                self._holder = _decode(write.value)
                self._is_released = False
                if self._holder != self._instance:
                    self._fencing_token = 0
                    return False
                if not was_holder:
                    self._fencing_token = version
                    self._has_held = True
                self._held_until_s = write.planned_s + self._rules.hold_s
                self._renewed_s = write.planned_s
                return not was_holder
            case objects.WriteRejected("conflict"):
                self._forget()
        return False

    def _forget(self):
        """Give up the lease, which is read again at once."""
        self._fencing_token = 0
        self._version = None
        self._polled_s = float("-inf")

    def _may_follow(self, now_s):
        """Return whether a lease without a holder may be acquired now."""
        takeover_s = self._rules.takeover_s
        if self._is_released:
            has_run_s = now_s - self._began_s
            return not self._has_held and has_run_s >= takeover_s
        return now_s - self._era_began_s >= takeover_s

    def _may_resume(self, now_s):
        """Return whether nobody else can have held the lease since this one.

        Another instance acquires it `takeover_s` after it has first seen the
        version of the last renewal, or a later one, at the earliest.
        """
        since_renewal_s = now_s - self._renewed_s
        return (
            self._holder == self._instance
            and since_renewal_s < self._rules.takeover_s
        )

    def _plan_write(self, now_s):
        """Return the write that acquires or renews the lease."""
        self._renewals += 1
        value = _encode(self._instance, self._renewals)
        return Write(value, self._version, now_s)


def _encode(holder, renewals):
    """Return the content of the lease object."""
    fields = {"holder": holder, "renewals": renewals}
    return json.dumps(fields, sort_keys=True).encode()


def _encode_release(renewals, version):
    """Return the content of the object of a lease that is released.

    It names the era of the store, which tells a release from one that a
    restore has brought back.
    """
    fields = {
        "holder": "",
        "renewals": renewals,
        "era": objects.get_era(version),
    }
    return json.dumps(fields, sort_keys=True).encode()


def _is_release(found):
    """Return whether the lease was released in the era of its version."""
    if _decode(found.value):
        return False
    try:
        era = decoding.decode_json(found.value)["era"]
    except (ValueError, KeyError, TypeError):
        return False
    return era == objects.get_era(found.version)


def _decode(value):
    """Return the holder in the content; empty for none or malformed."""
    try:
        return str(decoding.decode_json(value)["holder"])
    except (ValueError, KeyError, TypeError):
        return ""
