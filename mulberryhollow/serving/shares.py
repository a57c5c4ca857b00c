"""Traffic shares of the versions of each service at this instance."""

import attrs

__all__ = ["VersionShares"]


MIN_USED_RATIO = 0.5
"""Ratio of a version's share of the requests to its share of the endpoints
from which its endpoints count as room."""


@attrs.frozen
class _Move:
    """A service's latest move, as far as it sets shares."""

    from_version: str
    to_version: str
    share: float


class VersionShares:
    """Traffic share of each version of each service.

    Notes
    -----
    The versions of a service come from the active document or, where no
    document names them, from its endpoints.

    With a document, the shares of a move apply while the document still names
    the version that the move starts from; a document that names another
    version takes precedence.

    Without one, the version that a service moves to gets the share of the
    move, and the others get the rest by the number of their endpoints. A
    version that no move has made the service's own, and one that is held
    back, gets requests only if the service has no other version.
    """

    def __init__(self):
        self._versions = {}
        self._moves = {}
        self._counts = {}
        self._withdrawn = {}
        self._held = frozenset()
        self._service_shares = {}

    def set_versions(self, versions):
        """Set the version of each service that the active document names."""
        self._versions = dict(versions)

    def set_move(self, service, from_version, to_version, share, withdrawn=()):
        """Set the shares of a move.

        Parameters
        ----------
        service : str
            The service that moves.
        from_version, to_version : str
            Its old and its new version.
        share : float
            Share of the new version, 0 to 1.
        withdrawn : iterable of str
            Versions of earlier moves that were taken back.
        """
        aside = self._withdrawn.setdefault(service, set())
        aside.update(withdrawn)
        known = self._moves.get(service)
        if known is not None and known.share < 1.0:
            aside.add(known.to_version)
        aside -= {from_version, to_version}
        self._moves[service] = _Move(from_version, to_version, share)
        self._update(service)

    def get_move_share(self, service, version):
        """Return the share of the version a service moves to, or None.

        None if the service's latest move is to another version.
        """
        move = self._moves.get(service)
        is_target = move is not None and move.to_version == version
        return move.share if is_target else None

    def set_endpoint_counts(self, counts):
        """Set the number of endpoints of services that no document names.

        Parameters
        ----------
        counts : dict
            Number of endpoints of each version, by service.
        """
        self._counts = dict(counts)
        self._service_shares = {}
        for service in self._counts:
            self._update(service)

    def hold_back(self, versions):
        """Set the versions whose orders may not be known yet.

        Parameters
        ----------
        versions : frozenset of tuple
            Service and version of each.
        """
        changed = {service for service, _ in versions ^ self._held}
        self._held = versions
        for service in changed:
            self._update(service)

    def get(self, service):
        """Return the share of each version of a service, by version."""
        if service in self._service_shares:
            return self._service_shares[service]
        version = self._versions.get(service)
        if version is None:
            return {}
        move = self._moves.get(service)
        if move is None or move.from_version != version:
            return {version: 1.0}
        return {version: 1.0 - move.share, move.to_version: move.share}

    def list_unused(self, service):
        """Return the versions with far fewer requests than endpoints.

        Their endpoints are no room for the requests of the service.
        """
        counts = self._counts.get(service, {})
        total = sum(counts.values())
        shares = self._service_shares.get(service, {})
        return frozenset(
            version
            for version, share in shares.items()
            if share < MIN_USED_RATIO * counts[version] / total
        )

    def _update(self, service):
        """Compute the shares of a service from its endpoints."""
        counts = self._counts.get(service)
        if not counts:
            return
        limits = self._list_limits(service)
        free = {
            version: count
            for version, count in counts.items()
            if version not in limits
        }
        if not free:
            free = self._list_last_resort(service, counts)
            limits = {}
        given = sum(limits.get(version, 0.0) for version in counts)
        total = sum(free.values())
        self._service_shares[service] = {
            version: limits[version]
            if version in limits
            else (1.0 - given) * free.get(version, 0) / total
            for version in counts
        }

    def _list_limits(self, service):
        """Return the versions whose share doesn't follow their endpoints."""
        limits = dict.fromkeys(self._withdrawn.get(service, ()), 0.0)
        limits |= {
            version: 0.0 for name, version in self._held if name == service
        }
        move = self._moves.get(service)
        if move is not None and move.share < 1.0:
            limits[move.to_version] = move.share
        elif move is not None:
            limits[move.from_version] = 0.0
            limits.pop(move.to_version, None)
        return limits

    def _list_last_resort(self, service, counts):
        """Return the endpoints by version for a service without free ones."""
        withdrawn = self._withdrawn.get(service, ())
        preferred = {
            version: count
            for version, count in counts.items()
            if version not in withdrawn
        }
        return preferred or counts
