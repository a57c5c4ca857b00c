"""Lease on the duties, decided by conditional writes of one object."""

import dataclasses
import json

import attrs

from mulberryhollow.state import objects

__all__ = ["Lease", "LeaseRules", "Read", "Write"]


@attrs.frozen
class LeaseRules:
    """Times of a lease.

    Parameters
    ----------
    renew_s : float
        Time between two renewals, and between two looks of the others,
        in seconds.
    hold_s : float
        Time after the start of a renewal in which its holder acts, in
        seconds.
    takeover_s : float
        Time without a renewal after which another instance takes over,
        in seconds; above `hold_s` by more than a call can take.
    """

    renew_s: float = 1.0
    hold_s: float = 2.0
    takeover_s: float = 4.0


@dataclasses.dataclass(frozen=True)
class Read:
    """The object is to be read."""


@dataclasses.dataclass(frozen=True)
class Write:
    """The object is to be written conditionally.

    Parameters
    ----------
    value : bytes
        Its content.
    expected_version : int
        Version that it must have; 0 when it must not exist.
    began_s : float
        When this was planned, in seconds.
    """

    value: bytes
    expected_version: int
    began_s: float


class Lease:
    """What one instance knows of the lease.

    Parameters
    ----------
    instance : str
        Name of this instance.
    rules : LeaseRules
        Its times.

    Notes
    -----
    Times come from a clock that also counts suspension, so an instance
    that was frozen does not act on a lease that has run out meanwhile.
    The version of the write that took the lease is the fencing number of
    its holder.
    """

    def __init__(self, instance, rules):
        self._instance = instance
        self._rules = rules
        self._version = None
        self._holder = ""
        self._fence = 0
        self._renewals = 0
        self._seen_s = float("-inf")
        self._looked_s = float("-inf")
        self._held_until_s = float("-inf")

    @property
    def holder(self):
        """Name of the holder, as far as it is known; empty for none."""
        return self._holder

    @property
    def fence(self):
        """Fencing number of this instance as the holder; 0 before."""
        return self._fence

    def is_held(self, now_s):
        """Return whether this instance may act as the holder."""
        return self._fence > 0 and now_s < self._held_until_s

    def plan(self, now_s):
        """Return what is to be done now: Read, Write or None."""
        if now_s - self._looked_s < self._rules.renew_s:
            return None
        self._looked_s = now_s
        if self._version is None:
            return Read()
        if self._fence:
            return self._plan_write(now_s)
        is_free = not self._holder and self._version >= 0
        if is_free or now_s - self._seen_s >= self._rules.takeover_s:
            return self._plan_write(now_s)
        return Read()

    def plan_release(self, now_s):
        """Return the Write that gives the lease up, or None."""
        if not self._fence:
            return None
        self._held_until_s = float("-inf")
        return Write(_encode("", self._renewals), self._version, now_s)

    def observe(self, found, now_s):
        """Take over what a read has found.

        Parameters
        ----------
        found : StoredObject or None
            The object.
        now_s : float
            The time, in seconds.
        """
        version = found.version if found else 0
        if self._version is not None and version < self._version:
            return
        if version == self._version:
            return
        self._version = version
        self._seen_s = now_s
        self._holder = _decode(found.value) if found else ""
        if self._holder != self._instance:
            self._fence = 0

    def settle(self, write, outcome, now_s):
        """Take over the outcome of a planned write.

        Parameters
        ----------
        write : Write
            What was planned.
        outcome : Done or NotDone
            What became of it.
        now_s : float
            The time, in seconds.

        Returns
        -------
        bool
            Whether this instance has just become the holder.
        """
        match outcome:
            case objects.Done(version):
                was_holder = self._fence > 0
                self._version = version
                self._seen_s = now_s
                self._holder = _decode(write.value)
                if self._holder != self._instance:
                    self._fence = 0
                    return False
                if not was_holder:
                    self._fence = version
                self._held_until_s = write.began_s + self._rules.hold_s
                return not was_holder
            case objects.NotDone("conflict"):
                self._fence = 0
                self._version = None
                self._looked_s = float("-inf")
        return False

    def _plan_write(self, now_s):
        """Return the write that takes or renews the lease."""
        self._renewals += 1
        value = _encode(self._instance, self._renewals)
        return Write(value, self._version, now_s)


def _encode(holder, renewals):
    """Return the content of the object."""
    fields = {"holder": holder, "renewals": renewals}
    return json.dumps(fields, sort_keys=True).encode()


def _decode(value):
    """Return the holder that the content names; empty for none."""
    try:
        return str(json.loads(value)["holder"])
    except (ValueError, KeyError, TypeError):
        return ""
