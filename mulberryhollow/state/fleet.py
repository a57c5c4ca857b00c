"""Endpoints registered in the store, retained across store outages."""

import collections

import attrs

from mulberryhollow.state.endpoints import Endpoint

__all__ = ["EndpointListing", "Fleet"]

MISSING_GRACE_S = 1.5
"""Time to keep missing entries after the store has recovered, in seconds.

Entries that expired during an outage are registered again within two seconds
of the store's recovery.
"""


COPIED_ENTRY_S = 10.0
"""Time after which an entry of a restored store counts as written, in seconds.

The store removes an entry after three heartbeats, of a second or so each,
without a write. A write that changes nothing but the sequence number is not
reported, so only the entry's survival shows it.
"""

MAX_ENDED = 10_000
"""Maximum number of endpoints of which it is kept that they have left."""


@attrs.frozen
class EndpointListing:
    """Entry by which an endpoint registers itself in the store.

    Parameters
    ----------
    identity : str
        Id that the endpoint uses for itself.
    started_ms : int
        Start time, in Unix milliseconds. An endpoint that has restarted
        counts as a new one.
    service, address, failure_domain, version : str
        Service, address, failure domain and version of the endpoint.
    slots : int
        Number of requests that the endpoint runs concurrently.
    is_leaving : bool
        Whether the endpoint no longer accepts new work.
    is_reclaimable : bool
        Whether the platform may reclaim the endpoint at short notice.
    leaves_in_s : float or None
        Time until the endpoint is reclaimed, in seconds; None if no time is
        known.
    cold_left_s : float
        Time for which the endpoint remains cold, from the writing of the
        entry, in seconds; 0 when it is warm.
    """

    identity: str
    started_ms: int
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    is_leaving: bool = False
    is_reclaimable: bool = False
    leaves_in_s: float | None = None
    cold_left_s: float = attrs.field(default=0.0, metadata={"level": 1})

    @property
    def key(self):
        """Endpoint id that changes with each start of the endpoint."""
        return f"{self.identity}.{self.started_ms}"

    def to_endpoint(self):
        """Convert the listing to an `Endpoint` for the endpoint view."""
        return Endpoint(
            id=self.key,
            role="endpoint",
            address=self.address,
            failure_domain=self.failure_domain,
            service=self.service,
            version=self.version,
            market="reclaimable" if self.is_reclaimable else "on_demand",
            state="leaving" if self.is_leaving else "live",
            identity=self.identity,
            slots=self.slots,
        )


class Fleet:
    """Endpoints in use, built from lists and change events of the store.

    Notes
    -----
    During an outage of the store, entries expire although their endpoints
    are alive. Entries that are missing after the store has recovered are
    kept until `MISSING_GRACE_S` after the recovery, but no longer than their
    endpoints may be used if they have left.

    An endpoint that has said that it leaves is listed as leaving from then
    on: a store that comes back from a copy may list it as ready. An entry of
    the copy whose endpoint was gone before is not used until the endpoint has
    written it again.
    """

    def __init__(self):
        self._entries = {}
        self._era = None
        self._copied_until_s = {}
        self._gone = collections.OrderedDict()
        self._leaving = collections.OrderedDict()
        self._missing_until_s = {}
        self._cold = {}
        self._keep_until_s = float("-inf")

    def record_recovery(self, at_s, last_use_s):
        """Record that the store answers again after an outage.

        Parameters
        ----------
        at_s : float
            Time of the answer, monotonic, in seconds.
        last_use_s : float
            Time until which an endpoint may be used whose entry was removed
            because it has left: the outage may have been one of the path to
            the store only, in which no entry expires. Monotonic, in seconds.
        """
        self._keep_until_s = min(at_s + MISSING_GRACE_S, last_use_s)

    def replace(self, listed, now_s, era=None):
        """Apply a complete list.

        Parameters
        ----------
        listed : dict
            EndpointListing of each object name; None for an entry that
            cannot be read.
        now_s : float
            Monotonic time, in seconds.
        era : int or None
            Era of the store in which the list was read; None if it comes from
            a peer.

        Returns
        -------
        list of EndpointListing
            Listings that were removed immediately.
        """
        self._observe_era(era, listed, now_s)
        missing = self._entries.keys() - listed.keys()
        gone = [self.remove(name, now_s) for name in sorted(missing)]
        for name, listing in listed.items():
            self._put_listed(name, listing, now_s)
        return [each for each in gone if each is not None]

    def _observe_era(self, era, names, now_s):
        """Count the entries as copied if the list is the first of an era.

        That of an instance which has just started may be one as well, unless
        the store never came back from a copy.
        """
        known = self._era
        if era is None or era == known:
            return
        self._era = era
        if known is not None or era:
            until_s = now_s + COPIED_ENTRY_S
            self._copied_until_s = dict.fromkeys(names, until_s)

    def _put_listed(self, name, listing, now_s):
        """Add or replace an entry of a complete list.

        One of an earlier process of the endpoint does not take the place of
        the running one's, which is missing from the copy.
        """
        if name not in self._copied_until_s or listing is None:
            self.put(name, listing)
            return
        current = self._entries.get(name)
        is_other = current is not None and current.key != listing.key
        if is_other and listing.key in self._gone:
            self.remove(name, now_s)
            if name in self._entries:
                return
        self._store(name, listing)

    def put(self, name, listing):
        """Add or replace an entry that its endpoint has written.

        Parameters
        ----------
        name : str
            Object name of the entry.
        listing : EndpointListing or None
            Content of the entry; None for an unreadable entry, which is
            removed.
        """
        self._copied_until_s.pop(name, None)
        if listing is None:
            self._missing_until_s.pop(name, None)
            self._entries.pop(name, None)
        else:
            self._gone.pop(listing.key, None)
            self._store(name, listing)

    def _store(self, name, listing):
        """Add or replace an entry, written or copied."""
        self._missing_until_s.pop(name, None)
        current = self._entries.get(name)
        if current is not None and current.key != listing.key:
            _add_limited(self._gone, current.key)
        self._entries[name] = self._keep_leaving(listing)

    def _is_withheld(self, name):
        """Return whether an entry may be a copy of one that was gone."""
        is_copied = name in self._copied_until_s
        return is_copied and self._entries[name].key in self._gone

    def _drop(self, name):
        """Remove an entry whose endpoint is gone; return its listing."""
        self._missing_until_s.pop(name, None)
        listing = self._entries.pop(name, None)
        if listing is not None:
            _add_limited(self._gone, listing.key)
        return listing

    def _keep_leaving(self, listing):
        """Return the listing, as leaving if its endpoint once said so."""
        if listing.is_leaving:
            _add_limited(self._leaving, listing.key)
        elif listing.key in self._leaving:
            return attrs.evolve(listing, is_leaving=True)
        return listing

    def remove(self, name, now_s):
        """Remove an entry, or schedule its removal after a store outage.

        Parameters
        ----------
        name : str
            Object name of the entry.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        EndpointListing or None
            The listing if it was removed immediately, else None.
        """
        until_s = self._keep_until_s
        is_kept = name in self._entries and not self._is_withheld(name)
        if now_s < until_s and is_kept:
            self._missing_until_s.setdefault(name, until_s)
            return None
        return self._drop(name)

    def expire(self, now_s):
        """Remove the missing entries whose grace period has ended.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        list of EndpointListing
            Listings that were removed.
        """
        due = [
            name
            for name, until_s in self._missing_until_s.items()
            if now_s >= until_s
        ]
        return [self._drop(name) for name in due]

    def list_kept(self):
        """Return the time until which each missing entry is kept.

        By endpoint id, monotonic, in seconds.
        """
        return {
            self._entries[name].key: until_s
            for name, until_s in self._missing_until_s.items()
        }

    def confirm_copied(self, contact_s):
        """Count the copied entries as written that have lasted long enough.

        Parameters
        ----------
        contact_s : float
            When the store last answered, monotonic, in seconds. A removal
            since then would not be known.

        Returns
        -------
        list of EndpointListing
            Listings of these entries.
        """
        due = [
            name
            for name, until_s in self._copied_until_s.items()
            if contact_s >= until_s and name not in self._missing_until_s
        ]
        for name in due:
            del self._copied_until_s[name]
        found = [self._entries[name] for name in due if name in self._entries]
        for listing in found:
            self._gone.pop(listing.key, None)
        return found

    def list_lasting(self):
        """Return the ids of the endpoints that are listed in the store.

        Without those of copied entries and of entries that are only kept.
        """
        return {
            listing.key
            for name, listing in self._entries.items()
            if name not in self._copied_until_s
            and name not in self._missing_until_s
        }

    def list_written(self, listed):
        """Return the listings of a complete list that are no mere copies."""
        return [
            listing
            for name, listing in listed.items()
            if listing is not None and name not in self._copied_until_s
        ]

    def observe_cold(self, listing, now_s):
        """Apply the time for which an endpoint remains cold.

        Parameters
        ----------
        listing : EndpointListing
            Entry that was just read.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        bool or None
            True if the endpoint has become cold, False if it has become
            warm, None if neither.

        Notes
        -----
        An entry that is read again unchanged, as by a complete list, does not
        extend the time.
        """
        known, until_s = self._cold.get(listing.key, (None, 0.0))
        if not listing.cold_left_s:
            self._cold.pop(listing.key, None)
            return False if now_s < until_s else None
        if listing == known:
            return None
        self._cold[listing.key] = listing, now_s + listing.cold_left_s
        return True if until_s <= now_s else None

    def list_cold(self):
        """Return the time until which each cold endpoint remains cold.

        By endpoint id, monotonic, in seconds.
        """
        return {key: until_s for key, (_, until_s) in self._cold.items()}

    def list_warmed(self, now_s):
        """Return the endpoints whose cold time has passed, each once.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.
        """
        due = [
            endpoint_id
            for endpoint_id, (_, until_s) in self._cold.items()
            if until_s <= now_s
        ]
        for endpoint_id in due:
            del self._cold[endpoint_id]
        return due

    def list_listings(self):
        """Return all listings in use, as a tuple of EndpointListing."""
        return tuple(
            listing
            for name, listing in self._entries.items()
            if not self._is_withheld(name)
        )


def _add_limited(keys, key):
    """Add a key as the latest one, and drop the earliest of too many."""
    keys[key] = None
    keys.move_to_end(key)
    while len(keys) > MAX_ENDED:
        keys.popitem(last=False)
