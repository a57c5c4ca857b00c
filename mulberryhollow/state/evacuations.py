"""Failure domains whose endpoints get no new requests."""

import attrs

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
    Merging is commutative and idempotent: of two evacuations of a domain the
    one with the later revision of the store remains. So a report of a peer
    that is late or repeated never undoes what the store said afterwards, and
    without a new report the last known state remains.
    """

    def __init__(self, known_domains=()):
        self._known_domains = frozenset(known_domains)
        self._latest = {}

    def is_known_domain(self, failure_domain):
        """Return whether a failure domain can be evacuated."""
        known = self._known_domains
        return not known or failure_domain in known

    def merge(self, evacuation):
        """Merge an evacuation; return whether the domain's state changes.

        Parameters
        ----------
        evacuation : Evacuation
            Read from the store or reported by a peer.
        """
        domain = evacuation.failure_domain
        held = self._latest.get(domain)
        if held is not None and not evacuation.is_newer_than(held):
            return False
        self._latest[domain] = evacuation
        was_active = held is not None and held.is_active
        return evacuation.is_active is not was_active

    def list_withdrawn(self, listed_domains, revision):
        """Return the withdrawals that follow from a complete list.

        Parameters
        ----------
        listed_domains : set of str
            Failure domains that the list evacuates.
        revision : int
            Revision of the store at which the list is complete.

        Returns
        -------
        list of Evacuation
            For `merge`, which drops those that are older than what is known.
        """
        return [
            Evacuation(domain, revision, False)
            for domain, held in sorted(self._latest.items())
            if held.is_active and domain not in listed_domains
        ]

    def list_active(self):
        """Return the active evacuations, sorted by failure domain."""
        found = sorted(self._latest.items())
        return [held for _, held in found if held.is_active]

    def get_current(self):
        """Return the `Evacuations` of this time."""
        return Evacuations(
            frozenset(each.failure_domain for each in self.list_active())
        )
