"""Endpoints as the platform lists them, over gaps in the list."""

import attrs

from mulberryhollow.state.endpoints import Endpoint

__all__ = ["EndpointListing", "Fleet"]

RETURN_S = 1.5
"""Time for which an entry that lapsed while the store was away is kept, in s.

Lapsed entries are back within two seconds of the store's return, and an
endpoint that has left may get no new work two seconds later: this leaves half
a second to notice it.
"""


@attrs.frozen
class EndpointListing:
    """What an endpoint says of itself in the store.

    Parameters
    ----------
    identity : str
        The id by which it knows itself.
    started_ms : int
        Its start, in Unix milliseconds; another start is another endpoint.
    service, address, failure_domain, version : str
        What it answers, and where.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it takes no new work.
    is_reclaimable : bool
        Whether it may be taken away at short notice.
    leaves_in_s : float or None
        Time until it is taken away, in seconds, once that is known.
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

    @property
    def key(self):
        """Id of this one life of the endpoint."""
        return f"{self.identity}.{self.started_ms}"

    def to_endpoint(self):
        """Return it as an item of the endpoint view."""
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
    """The endpoints in use, from lists and changes of the store.

    Notes
    -----
    Entries lapse while the store is away although their endpoints live.
    Those that are missing after its return are kept for `RETURN_S`.
    """

    def __init__(self):
        self._entries = {}
        self._missing_until_s = {}
        self._returned_s = float("-inf")

    def note_return(self, now_s):
        """Note that the store answers again after a failed call."""
        self._returned_s = now_s

    def replace(self, listed, now_s):
        """Take over a whole list.

        Parameters
        ----------
        listed : dict
            Object name to its EndpointListing, or to None for an entry
            that cannot be read.
        now_s : float
            Monotonic time, in seconds.

        Returns
        -------
        list of EndpointListing
            Those that are gone at once.
        """
        missing = self._entries.keys() - listed.keys()
        gone = [self.remove(name, now_s) for name in sorted(missing)]
        for name, listing in listed.items():
            self.put(name, listing)
        return [each for each in gone if each is not None]

    def put(self, name, listing):
        """Take over one entry; None names no endpoint to use."""
        self._missing_until_s.pop(name, None)
        if listing is None:
            self._entries.pop(name, None)
        else:
            self._entries[name] = listing

    def remove(self, name, now_s):
        """Note that an entry is no longer listed.

        Returns
        -------
        EndpointListing or None
            What it was, when it is gone at once.
        """
        until_s = self._returned_s + RETURN_S
        if now_s < until_s and name in self._entries:
            self._missing_until_s.setdefault(name, until_s)
            return None
        self._missing_until_s.pop(name, None)
        return self._entries.pop(name, None)

    def expire(self, now_s):
        """Drop what has not returned in time; return whether any was."""
        due = [
            name
            for name, until_s in self._missing_until_s.items()
            if now_s >= until_s
        ]
        for name in due:
            del self._missing_until_s[name]
            self._entries.pop(name, None)
        return bool(due)

    def list_listings(self):
        """Return every EndpointListing in use."""
        return tuple(self._entries.values())
