"""Keeps the view of the endpoints in step with the platform's store."""

import collections
import functools
import logging

from mulberryhollow import events
from mulberryhollow.state import fleet as fleets

__all__ = ["FleetFeed"]

UNREADABLE = events.declare(
    4020,
    logging.WARNING,
    "an entry of the endpoint list names no endpoint to use",
    "look at the writer of the entry",
)
LISTED = events.declare(
    4021, logging.INFO, "the list of endpoints was read as a whole"
)
ADOPTED = events.declare(
    4023,
    logging.WARNING,
    "the list of endpoints was taken from a peer, since the store is away",
)
CHANGED = events.declare(
    4022, logging.INFO, "an endpoint came, changed or went"
)


class FleetFeed:
    """Follows the entries that endpoints write into the store.

    Parameters
    ----------
    decode : callable
        Returns the EndpointListing of a StoredObject or raises
        ValueError.
    dispatcher : Dispatcher
        Takes the list.
    clock : Clock
        Source of time.
    tell_leaving : callable
        ``tell_leaving(endpoint_id, is_listed)`` tells the peers of an
        endpoint that takes no new work.
    """

    def __init__(self, decode, dispatcher, clock, tell_leaving):
        self._decode = decode
        self._dispatcher = dispatcher
        self._clock = clock
        self._tell_leaving = tell_leaving
        self._told = set()
        self._fleet = fleets.Fleet()
        self.is_known = False

    @property
    def listings(self):
        """Every EndpointListing in use."""
        return self._fleet.list_listings()

    def take_list(self, items):
        """Take over a whole list."""
        listed = {item.name: self._read(item) for item in items}
        gone = self._fleet.replace(listed, self._clock.now_s())
        for listing in gone:
            self._tell_leaving(listing.key, False)
        events.log(LISTED, entries=len(listed))
        self._apply(listed.values())

    def take_changes(self, items):
        """Take over changed entries, the oldest first."""
        now_s = self._clock.now_s()
        changed = []
        for item in items:
            if item.is_deleted:
                gone = self._fleet.remove(item.name, now_s)
                if gone is not None:
                    self._tell_leaving(gone.key, False)
                events.log(CHANGED, endpoint=item.name, state="removed")
                continue
            listing = self._read(item)
            changed.append(listing)
            self._fleet.put(item.name, listing)
            if listing is not None:
                events.log(
                    CHANGED,
                    endpoint=listing.key,
                    service=listing.service,
                    address=listing.address,
                    is_leaving=listing.is_leaving,
                    version=item.version,
                )
        self._apply(changed)

    def note_return(self):
        """Note that the store had been away."""
        self._fleet.note_return(self._clock.now_s())

    def expire(self):
        """Drop entries that have not returned after the store has."""
        if self._fleet.expire(self._clock.now_s()):
            self._apply()

    def adopt(self, listings):
        """Use what a peer lists while the store has told nothing yet."""
        if self.is_known:
            return
        now_s = self._clock.now_s()
        self._fleet.replace({each.identity: each for each in listings}, now_s)
        events.log(ADOPTED, entries=len(listings))
        self._apply()

    def _read(self, item):
        """Return the listing of an entry; None when it is unreadable."""
        try:
            return self._decode(item)
        except ValueError as error:
            events.log(UNREADABLE, entry=item.name, reason=str(error))
            return None

    def _apply(self, relisted=()):
        """Give the list to the dispatch actor.

        Parameters
        ----------
        relisted : iterable of EndpointListing or None
            Entries that the store has just shown.
        """
        relisted = [each.key for each in relisted if each is not None]
        self.is_known = True
        listings = self.listings
        self._dispatcher.change(functools.partial(_apply, listings, relisted))
        leaving = {each.key for each in listings if each.is_leaving}
        for endpoint_id in sorted(leaving - self._told):
            self._tell_leaving(endpoint_id, True)
        self._told = leaving


def _apply(listings, relisted, actor, now_s):
    """Give the list to the view and the versions to the shares.

    What a peer saw go is used again only once the store shows it again.
    """
    before = {record.endpoint.id for record in actor.view}
    found = [listing.to_endpoint() for listing in listings]
    actor.view.apply_list(found, now_s)
    for endpoint_id in relisted:
        actor.view.set_draining(endpoint_id, False)
    for gone in before - {endpoint.id for endpoint in found}:
        actor.prefixes.drop(gone)
    mixes = collections.defaultdict(collections.Counter)
    for endpoint in found:
        mixes[endpoint.service][endpoint.version] += 1
    actor.shares.set_mixes(
        {
            service: {
                version: count / sum(counts.values())
                for version, count in counts.items()
            }
            for service, counts in mixes.items()
        }
    )
