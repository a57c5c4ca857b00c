"""Shares of the versions of each service, as an instance uses them."""

__all__ = ["VersionShares"]


class VersionShares:
    """Share of each version of each service.

    Notes
    -----
    A move decides while the document still names the version that it
    moves away from; a document that names another version goes first.
    """

    def __init__(self):
        self._versions = {}
        self._moves = {}
        self._mixes = {}

    def set_versions(self, versions):
        """Take the version of each service from the document in force."""
        self._versions = dict(versions)

    def set_move(self, service, from_version, to_version, share):
        """Give a new version its share, 0 to 1, of a service."""
        shares = {from_version: 1.0 - share, to_version: share}
        self._moves[service] = from_version, shares

    def set_mixes(self, mixes):
        """Take the versions of services that no document names.

        Parameters
        ----------
        mixes : dict
            Service to the share of each of its versions.
        """
        self._mixes = dict(mixes)

    def get(self, service):
        """Return the shares of a service, by version."""
        if service in self._mixes:
            return self._mixes[service]
        version = self._versions.get(service)
        if version is None:
            return {}
        from_version, shares = self._moves.get(service, (None, None))
        return shares if version == from_version else {version: 1.0}
