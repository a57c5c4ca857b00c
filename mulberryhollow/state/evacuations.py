"""Failure domains whose endpoints get no new requests."""

import attrs

from mulberryhollow.state import restores

__all__ = ["Evacuation", "EvacuationTable", "Evacuations", "NONE"]


@attrs.frozen
class Evacuation:
    """Request of the operator to evacuate a failure domain, or its end.

    Parameters
    ----------
    failure_domain : str
        The failure domain.
    revision : int
        Revision of the store at which it was requested or withdrawn.
    is_active : bool
        Whether the domain's endpoints get no new requests.
    """

    failure_domain: str
    revision: int
    is_active: bool

    @property
    def _rank(self):
        """Sort key: at equal revisions the withdrawal is the later one."""
        return self.revision, not self.is_active

    def is_newer_than(self, other):
        """Return whether this replaces another one of the same domain."""
        return self._rank > other._rank


@attrs.frozen
class Evacuations:
    """The evacuated failure domains at one time.

    Parameters
    ----------
    failure_domains : frozenset of str
        The evacuated failure domains.
    """

    failure_domains: frozenset = frozenset()

    def excludes(self, endpoint):
        """Return whether an endpoint gets no new requests.

        Parameters
        ----------
        endpoint : Endpoint or EndpointListing
            The endpoint.
        """
        return endpoint.failure_domain in self.failure_domains

    def list_remaining(self, failure_domains):
        """Return the failure domains that are not evacuated, in order."""
        return [
            each
            for each in failure_domains
            if each not in self.failure_domains
        ]


NONE = Evacuations()
"""No failure domain is evacuated."""


class EvacuationTable:
    """Latest known evacuation of each failure domain.

    Parameters
    ----------
    known_domains : iterable of str
        The failure domains that can be evacuated; empty for all.

    Notes
    -----
    A complete list of the store decides up to its revision, and of two other
    reports on a domain the one with the later revision remains. So a report
    of a peer that is late or repeated never undoes what the store said
    afterwards, and without a new report the last known state remains.

    A store that was restored from an older copy may lack a request. What is
    known of an earlier era remains for the time of `RestoreGrace`, unless the
    store reports the domain in the current era.
    """

    def __init__(self, known_domains=()):
        self._known_domains = frozenset(known_domains)
        self._latest = {}
        self._listed_revision = -1
        self._grace = restores.RestoreGrace()

    def is_known_domain(self, failure_domain):
        """Return whether a failure domain can be evacuated."""
        known = self._known_domains
        return not known or failure_domain in known

    def merge(self, evacuation, now_s):
        """Merge an evacuation; return whether the domain's state changes.

        A request that is not later than the last list is either known from
        it or withdrawn. A withdrawal may have an earlier revision, since the
        store reports a deletion with the revision of the last write.

        Parameters
        ----------
        evacuation : Evacuation
            A change in the store, or the report of a peer.
        now_s : float
            Monotonic time, in seconds.
        """
        domain = evacuation.failure_domain
        held = self._latest.get(domain)
        if held is not None and not evacuation.is_newer_than(held):
            return False
        is_listed = evacuation.revision <= self._listed_revision
        is_kept = self._grace.keeps(evacuation.revision, now_s)
        if evacuation.is_active and is_listed and not is_kept:
            return False
        return self._replace(evacuation)

    def apply_list(self, listed, revision, now_s):
        """Apply a complete list; return the evacuations that are a change.

        Parameters
        ----------
        listed : iterable of Evacuation
            All evacuations in the store.
        revision : int
            Revision of the store at which the list is complete.
        now_s : float
            Monotonic time, in seconds.
        """
        self._grace.observe(revision, now_s)
        found = {each.failure_domain: each for each in listed}
        domains = sorted(self._latest.keys() | found.keys())
        latest = [
            found.get(domain, Evacuation(domain, revision, False))
            for domain in domains
            if self._is_decided(domain, domain in found, revision, now_s)
        ]
        self._listed_revision = max(self._listed_revision, revision)
        return [each for each in latest if self._replace(each)]

    def _is_decided(self, domain, is_found, revision, now_s):
        """Return whether a list decides on a failure domain."""
        held = self._latest.get(domain)
        if held is None:
            return True
        is_kept = not is_found and self._grace.keeps(held.revision, now_s)
        return held.revision <= revision and not is_kept

    def expire(self, now_s):
        """End the evacuations that were not written again after a restore.

        Parameters
        ----------
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        list of Evacuation
            The evacuations that are a change.
        """
        if self._grace.is_open(now_s):
            return []
        ended = [
            Evacuation(held.failure_domain, self._listed_revision, False)
            for held in self.list_active()
            if self._grace.precedes(held.revision)
        ]
        return [each for each in ended if self._replace(each)]

    def _replace(self, evacuation):
        """Store an evacuation; return whether the domain's state changes."""
        held = self._latest.get(evacuation.failure_domain)
        self._latest[evacuation.failure_domain] = evacuation
        was_active = held is not None and held.is_active
        return evacuation.is_active is not was_active

    def list_active(self):
        """Return the active evacuations, sorted by failure domain."""
        found = sorted(self._latest.items())
        return [held for _, held in found if held.is_active]

    def get_current(self):
        """Return the `Evacuations` of this time."""
        return Evacuations(
            frozenset(each.failure_domain for each in self.list_active())
        )
