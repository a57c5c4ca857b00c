"""Watch of the objects of one kind in the platform's store."""

__all__ = ["ObjectWatch"]

WATCH_WAIT_S = 3.0
"""Longest wait of one watch at the platform, in seconds."""


class ObjectWatch:
    """Reads objects of a kind and waits for newer ones.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
    kind : str
        Kind of the objects.
    clock : Clock
        Source of time.
    take : callable
        Called with each StoredObject that is wanted.
    is_wanted : callable
        Whether an object that was found is to be taken.

    Attributes
    ----------
    last_contact_s : float or None
        When the store last answered, monotonic, in seconds.
    """

    def __init__(self, store, kind, clock, take, is_wanted=lambda item: True):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._take = take
        self._is_wanted = is_wanted
        self._revision = 0
        self.last_contact_s = None

    def read(self):
        """Read or wait once.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer; the next call asks
            for every object anew, so that nothing is missed.

        Notes
        -----
        The first watch asks for every object. A list would not do: it may
        be stale although its revision is the latest one.
        """
        known, self._revision = self._revision, 0
        revision, found = self._store.watch(self._kind, known, WATCH_WAIT_S)
        self.last_contact_s = self._clock.now_s()
        for each in found:
            if self._is_wanted(each) and not each.is_deleted:
                self._take(each)
        self._revision = revision
