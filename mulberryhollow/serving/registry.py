"""Registration of an instance in the platform's store."""

import concurrent.futures
import logging
import random

import attrs
import urllib3

from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.state import objects
from mulberryhollow.transport import bounded_pool
from mulberryhollow.transport import store as store_adapter

__all__ = ["Registry"]

MEMBER_PATH = "/member"
"""Path of an instance's page that returns its registration."""

SECOND_READ_DELAY_S = 3.0
"""Time from the registration to the second read of the members, in seconds.

When all instances start together, the first ones to register find few others.
"""

IDLE_INTERVAL_S = 30.0
"""Interval between calls once the members were read again, in seconds."""

REWRITE_SPREAD_S = 30.0
"""Longest wait before the registration is looked up after a restore.

In seconds. The instances of a large fleet see the restore at once, so each
waits for a random time: the store limits the writes of all together.
"""

_QUERY_TIMEOUT_S = 1.0
_MAX_QUERIES = 8

REGISTERED = events.declare(
    5100, logging.INFO, "the instance is registered in the store"
)


class Registry:
    """Discovers members and maintains one instance's registration object.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
    cloud : CloudClient
        Lists the instances while the store is down.
    peers : Peers
        Receives the members that were found.
    on_found : callable
        Called without arguments after members were added.
    """

    def __init__(self, store, cloud, peers, on_found=lambda: None):
        self._store = store
        self._cloud = cloud
        self._peers = peers
        self._on_found = on_found
        self._random = random.Random(peers.local_member().instance_id)
        self._version = 0
        self._is_read_again = False
        self._restored_era = 0

    def register(self):
        """Find the members and write the registration of this instance.

        Once the registration is written, the members are read once more.

        Returns
        -------
        float or None
            Time until the next call, in seconds; None for the usual one.

        Raises
        ------
        StoreUnavailableError
            If the platform gave no usable answer; the caller retries.
        """
        if self._is_from_earlier_era():
            return self._register_again()
        if self._version:
            return self._read_again()
        local_member = self._peers.local_member()
        try:
            _, found = self._store.list_objects(membership.KIND)
        except errors.StoreUnavailableError:
            self._add_listed(local_member)
            raise
        self._add_found(found)
        self._write(local_member, found)
        return SECOND_READ_DELAY_S if self._version else None

    def _read_again(self):
        """Read the members for the second time, unless that was done.

        Returns
        -------
        float
            Time until the next call, in seconds.
        """
        if not self._is_read_again:
            _, found = self._store.list_objects(
                membership.KIND, is_stale_ok=True
            )
            self._is_read_again = True
            self._add_found(found)
        return IDLE_INTERVAL_S

    def _is_from_earlier_era(self):
        """Return whether the store was restored since the registration."""
        era = self._store.era or 0
        return self._version > 0 and objects.get_era(self._version) < era

    def _register_again(self):
        """Write the registration again if the restored store has lost it.

        Returns
        -------
        float
            Time until the next call, in seconds: a random one when the era
            was first seen.
        """
        era = self._store.era
        if era != self._restored_era:
            self._restored_era = era
            return self._random.uniform(0.0, REWRITE_SPREAD_S)
        local_member = self._peers.local_member()
        found = self._find_registration(local_member)
        if found is not None and (
            found.value == membership.encode_registration(local_member)
        ):
            self._version = found.version
        else:
            self._write(local_member, [found] if found else [])
        return IDLE_INTERVAL_S if not self._is_from_earlier_era() else None

    def _find_registration(self, local_member):
        """Return the stored registration of a member, or None."""
        return self._store.get(membership.KIND, local_member.instance_id)

    def remove(self):
        """Delete the registration; one that remains is overwritten later.

        Raises
        ------
        StoreUnavailableError
            If the store was restored and does not answer.
        """
        if self._is_from_earlier_era():
            found = self._find_registration(self._peers.local_member())
            self._version = found.version if found else 0
        if self._version:
            name = self._peers.local_member().instance_id
            self._store.delete(membership.KIND, name, self._version)

    def _write(self, local_member, found):
        """Write the registration, over an older one of the same instance."""
        versions = [
            each.version
            for each in found
            if _is_registration_of(each, local_member)
        ]
        value = membership.encode_registration(local_member)
        outcome = store_adapter.put_and_resolve(
            self._store,
            membership.KIND,
            local_member.instance_id,
            value,
            versions[0] if versions else 0,
        )
        match outcome:
            case objects.WriteApplied(version):
                self._version = version
                events.log(REGISTERED, version=version)

    def _add_listed(self, local_member):
        """Contact instances that the cloud lists, unless a peer is usable."""
        usable_views = [
            view
            for view in self._peers.members()
            if view.is_usable
            and view.member.instance_id != local_member.instance_id
        ]
        if not usable_views:
            self._add(self._query_listed(local_member))

    def _add_found(self, found):
        """Add the members of the registration objects that can be read."""
        self._add([each for each in map(_decode, found) if each is not None])

    def _add(self, members):
        """Add members that were found and call `on_found`."""
        self._peers.add_members(members)
        self._on_found()

    def _query_listed(self, local_member):
        """Return the registrations of some instances that the cloud lists.

        Notes
        -----
        A few are enough, since gossip disseminates all members. Each call
        chooses a new random sample, so listed instances that are gone do
        no harm.
        """
        addresses = self._cloud.list_entries()
        chosen = self._random.sample(
            addresses, min(_MAX_QUERIES, len(addresses))
        )
        with concurrent.futures.ThreadPoolExecutor(_MAX_QUERIES) as threads:
            found = list(threads.map(_fetch_registration, chosen))
        return [
            each
            for each in found
            if each is not None
            and each.instance_id != local_member.instance_id
        ]


def _is_registration_of(item, local_member):
    """Return whether an object is the registration of a member."""
    return item.name == local_member.instance_id


def _decode(item):
    """Return the member of a registration object; None if malformed."""
    try:
        return membership.decode_registration(item.value)
    except ValueError:
        return None


def _fetch_registration(address):
    """Return the member registered at an HTTP address, or None."""
    try:
        answer = bounded_pool.fetch(
            *store_adapter.split_address(address),
            MEMBER_PATH,
            _QUERY_TIMEOUT_S,
        )
        return membership.decode_registration(answer.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None


def render_member(peers):
    """Return the page of the local registration: (status, value)."""
    return 200, attrs.asdict(peers.local_member())
