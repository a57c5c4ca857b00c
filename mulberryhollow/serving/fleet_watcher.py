"""Keeps the view of the endpoints in sync with the platform's store."""

import collections
import functools
import logging

from mulberryhollow import events
from mulberryhollow.serving import version_holds
from mulberryhollow.state import fleet as fleets
from mulberryhollow.state import objects

__all__ = ["FleetWatcher"]

MALFORMED = events.declare(
    4020,
    logging.WARNING,
    "an entry of the endpoint list is malformed and is ignored; logged once "
    "until it is well-formed or gone",
    "check the program that wrote the entry",
)
LISTED = events.declare(
    4021, logging.INFO, "the complete list of endpoints was read"
)
ADOPTED = events.declare(
    4023,
    logging.WARNING,
    "the list of endpoints was copied from a peer, since the store is "
    "unavailable",
)
CHANGED = events.declare(
    4022, logging.INFO, "an endpoint was added, changed or removed"
)
KEPT = events.declare(
    4027,
    logging.INFO,
    "the entry of an endpoint is gone, and the endpoint stays in use for a "
    "while: the entry may only have lapsed in an outage of the store",
)
COLD = events.declare(
    4050, logging.INFO, "an endpoint is cold and takes few requests"
)
WARM = events.declare(4051, logging.INFO, "an endpoint is warm again")


class FleetWatcher:
    """Follows the entries that endpoints write into the store.

    Implements the callbacks that `ObjectFollower` calls.

    Parameters
    ----------
    decode : callable
        Returns the EndpointListing of a StoredObject or raises
        ValueError.
    dispatcher : Dispatcher
        Receives the list.
    clock : Clock
        Source of time.
    publish_leaving : callable
        ``publish_leaving(endpoint_id, is_listed)`` reports an endpoint that
        accepts no new requests to the peers.
    holds : VersionHolds or None
        Holds back the endpoints of a service's new versions; None to use
        them at once.

    Attributes
    ----------
    is_known : bool
        Whether a list was read from the store or copied from a peer.
    """

    def __init__(
        self,
        decode,
        dispatcher,
        clock,
        publish_leaving,
        holds=None,
    ):
        self._decode = decode
        self._dispatcher = dispatcher
        self._clock = clock
        self._publish_leaving = publish_leaving
        self._holds = holds or version_holds.NoHolds()
        self._reported_leaving = set()
        self._malformed = set()
        self._reported_kept = set()
        self._fleet = fleets.Fleet()
        self.is_known = False

    @property
    def listings(self):
        """Every EndpointListing in use."""
        return self._fleet.list_listings()

    def handle_list(self, items, revision=0):
        """Replace all entries by a complete list."""
        self._malformed &= {item.name for item in items}
        listed = {item.name: self._decode_entry(item) for item in items}
        gone = self._fleet.replace(
            listed, self._clock.now_s(), objects.get_era(revision)
        )
        events.log(LISTED, entries=len(listed))
        for listing in gone:
            self._report_gone(listing)
        self._log_kept()
        self._observe_cold(listed.values())
        self._apply(self._fleet.list_written(listed), revision)

    def handle_changes(self, items):
        """Apply changed and deleted entries, the oldest first."""
        now_s = self._clock.now_s()
        changed = []
        for item in items:
            if item.is_deleted:
                self._malformed.discard(item.name)
                gone = self._fleet.remove(item.name, now_s)
                if gone is not None:
                    self._report_gone(gone)
                continue
            listing = self._decode_entry(item)
            changed.append(listing)
            self._fleet.put(item.name, listing)
            if listing is not None:
                events.log(
                    CHANGED,
                    endpoint=listing.key,
                    service=listing.service,
                    address=listing.address,
                    is_leaving=listing.is_leaving,
                    version=listing.version,
                    revision=item.version,
                )
        self._log_kept()
        self._observe_cold(changed)
        self._apply(changed, max((item.version for item in items), default=0))

    def record_recovery(self, at_s, last_use_s):
        """Record when the store was available again after an outage.

        See `Fleet.record_recovery`.
        """
        self._fleet.record_recovery(at_s, last_use_s)

    def expire(self, contact_s=None):
        """Drop entries that were not written again after a store outage.

        After a restore of the store, use again those that have been.

        Parameters
        ----------
        contact_s : float or None
            When the store last answered, monotonic, in seconds; None if it is
            not known. What is in use is as of then.
        """
        now_s = self._clock.now_s()
        for endpoint_id in self._fleet.list_warmed(now_s):
            events.log(WARM, endpoint=endpoint_id)
        dropped = self._fleet.expire(now_s)
        for listing in dropped:
            _log_removed(listing)
        confirmed = []
        if contact_s is not None:
            confirmed = self._fleet.confirm_copied(contact_s)
        if dropped or confirmed:
            self._apply(confirmed)
        if contact_s is not None:
            self._dispatcher.change(
                functools.partial(
                    _end_draining,
                    self._fleet.list_lasting(),
                    contact_s - fleets.COPIED_ENTRY_S,
                )
            )

    def adopt(self, listings):
        """Use the listings of a peer if no list has been read yet."""
        if self.is_known:
            return
        now_s = self._clock.now_s()
        self._fleet.replace({each.identity: each for each in listings}, now_s)
        self._observe_cold(listings)
        events.log(ADOPTED, entries=len(listings))
        self._apply()

    def _report_gone(self, listing):
        """Tell the peers and the log that an endpoint's entry is gone."""
        self._publish_leaving(listing.key, False)
        _log_removed(listing)

    def _log_kept(self):
        """Log each missing entry whose endpoint stays in use, once."""
        now_s = self._clock.now_s()
        kept = self._fleet.list_kept()
        for endpoint_id in sorted(kept.keys() - self._reported_kept):
            left_s = round(kept[endpoint_id] - now_s, 3)
            events.log(KEPT, endpoint=endpoint_id, left_s=left_s)
        self._reported_kept = set(kept)

    def _decode_entry(self, item):
        """Return the listing of an entry; None if it is malformed.

        An entry is logged again only after it was well-formed or gone, since
        its writer may write it every second.
        """
        try:
            listing = self._decode(item)
        except ValueError as error:
            if item.name not in self._malformed:
                self._malformed.add(item.name)
                events.log(MALFORMED, entry=item.name, reason=str(error))
            return None
        self._malformed.discard(item.name)
        return listing

    def _apply(self, relisted=(), revision=0):
        """Send the list to the dispatch actor and report leaving endpoints.

        Parameters
        ----------
        relisted : iterable of EndpointListing or None
            Entries that their endpoints are known to have written since
            peers saw them gone; None in place of a malformed one.
        revision : int
            Revision of the store of the newest of them; 0 if they come from
            a peer.
        """
        relisted = [each for each in relisted if each is not None]
        self.is_known = True
        listings = self.listings
        self._holds.observe(listings, revision, self._clock.now_s())
        self._dispatcher.change(
            functools.partial(
                _apply,
                listings,
                [each.key for each in relisted],
                self._fleet.list_cold(),
                self._holds,
            )
        )
        leaving = {each.key for each in listings if each.is_leaving}
        for endpoint_id in sorted(leaving - self._reported_leaving):
            self._publish_leaving(endpoint_id, True)
        self._reported_leaving = leaving

    def _observe_cold(self, listings):
        """Apply how long each listed endpoint remains cold; log changes.

        A malformed entry is None in place of its listing.
        """
        now_s = self._clock.now_s()
        for listing in filter(None, listings):
            match self._fleet.observe_cold(listing, now_s):
                case True:
                    events.log(
                        COLD,
                        endpoint=listing.key,
                        service=listing.service,
                        cold_left_s=listing.cold_left_s,
                    )
                case False:
                    events.log(WARM, endpoint=listing.key)


def _log_removed(listing):
    """Log that an endpoint is out of use, since its entry is gone."""
    events.log(CHANGED, endpoint=listing.key, state="removed")


def _apply(listings, relisted, cold, holds, actor, now_s):
    """Apply the list to the view, the prefix index and the version shares.

    An endpoint that a peer reported as gone is used again only once it has
    written its entry again.
    """
    before = {record.endpoint.id for record in actor.view}
    found = [listing.to_endpoint() for listing in listings]
    actor.view.apply_list(found, now_s)
    actor.view.set_cold_times(cold)
    for endpoint_id in relisted:
        actor.view.set_draining(endpoint_id, False)
    for gone in before - {endpoint.id for endpoint in found}:
        actor.prefixes.drop(gone)
    actor.shares.hold_back(holds.held)
    actor.shares.set_endpoint_counts(_count_versions(found))


def _end_draining(lasting, until_s, actor, now_s):
    """Use endpoints again that peers saw gone and whose entries have lasted.

    The report of a peer may arrive after the entry is back, and the entry of
    an endpoint that stays may never change again.
    """
    draining = actor.view.list_draining(until_s)
    for endpoint_id in lasting.intersection(draining) if draining else ():
        actor.view.set_draining(endpoint_id, False)


def _count_versions(endpoints):
    """Return the number of endpoints of each version, by service.

    Endpoints that are leaving count only where a service has no others.
    """
    counts = collections.defaultdict(collections.Counter)
    staying = [each for each in endpoints if each.state != "leaving"]
    for endpoint in staying:
        counts[endpoint.service][endpoint.version] += 1
    remaining = {each.service for each in staying}
    for endpoint in endpoints:
        if endpoint.service not in remaining:
            counts[endpoint.service][endpoint.version] += 1
    return counts
