"""Holds on endpoints of new versions until their orders can be known."""

import collections
import threading

__all__ = ["NoHolds", "VersionHolds"]

HOLD_S = 4.0
"""Longest time for which a new version is held back, in seconds.

A watch that sees no change is answered every 2.5 s, and an instance that
receives the orders through a collector learns of them half a second later.
"""


class NoHolds:
    """Stands for holds where no versions are moved by orders."""

    held = frozenset()

    def observe(self, listings, revision, now_s):
        """Hold nothing back."""


class VersionHolds:
    """Versions of services whose orders may not have been read yet.

    The endpoints and the orders are followed by different watches, so an
    endpoint of an ordered version may be seen before its order. A version
    that its service did not have is held back until the orders are known as
    of the entry of its first endpoint. Of the versions that a service has in
    the first list, that of the endpoint that started first is in use, and the
    others are held back.

    Attributes
    ----------
    held : frozenset of tuple
        Service and version of those held back.

    Notes
    -----
    Thread-safe.
    """

    def __init__(self):
        self._known = collections.defaultdict(set)
        self._since = {}
        self._lock = threading.Lock()
        self.held = frozenset()

    def observe(self, listings, revision, now_s):
        """Apply the current endpoints.

        Parameters
        ----------
        listings : iterable of EndpointListing
            All endpoints.
        revision : int
            Revision of the store of the latest entry; 0 if it is not known.
        now_s : float
            Monotonic time, in seconds.
        """
        by_start = sorted(listings, key=lambda each: each.started_ms)
        found = dict.fromkeys(
            (each.service, each.version) for each in by_start
        )
        oldest = dict(reversed(found))
        with self._lock:
            for service, version in found:
                used = self._known.get(service, {oldest[service]})
                if version not in used:
                    self._since[service, version] = revision, now_s
            for service, version in found:
                self._known[service].add(version)
            self.held = frozenset(self._since)

    def release(self, revision, now_s):
        """End the holds that are due; return whether any has ended.

        Parameters
        ----------
        revision : int or None
            Revision of the store as of which the orders are known.
        now_s : float
            Monotonic time, in seconds.
        """
        with self._lock:
            due = [
                name
                for name, (seen, since_s) in self._since.items()
                if (revision or 0) >= seen or now_s >= since_s + HOLD_S
            ]
            for name in due:
                del self._since[name]
            self.held = frozenset(self._since)
        return bool(due)
