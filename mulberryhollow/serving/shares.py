"""Traffic shares of the versions of each service at this instance."""

__all__ = ["VersionShares"]


class VersionShares:
    """Traffic share of each version of each service.

    Notes
    -----
    The shares of a move apply while the document still names the version
    that the move starts from; a document that names another version takes
    precedence.
    """

    def __init__(self):
        self._versions = {}
        self._moves = {}
        self._service_shares = {}

    def set_versions(self, versions):
        """Set the version of each service that the active document names."""
        self._versions = dict(versions)

    def set_move(self, service, from_version, to_version, share):
        """Set the share, 0 to 1, of the version that a service moves to."""
        shares = {from_version: 1.0 - share, to_version: share}
        self._moves[service] = from_version, shares

    def set_service_shares(self, service_shares):
        """Set the version shares of services that no document names.

        Parameters
        ----------
        service_shares : dict
            Share of each version, by service.
        """
        self._service_shares = dict(service_shares)

    def get(self, service):
        """Return the share of each version of a service, by version."""
        if service in self._service_shares:
            return self._service_shares[service]
        version = self._versions.get(service)
        if version is None:
            return {}
        from_version, shares = self._moves.get(service, (None, None))
        return shares if version == from_version else {version: 1.0}
