"""Watch of the objects of one kind in the platform's store."""

from mulberryhollow import errors

__all__ = ["ObjectFollow", "ObjectWatch"]

FOLLOW_WAIT_S = 2.5
"""Longest wait of one watch of a list that is followed, in seconds.

A connection that has gone silent is noticed one call's timeout later,
which together stays within the time that a change may take.
"""

AWAY_S = 1.5
"""Time of failed calls from which the store counts as away, in seconds.

Entries lapse after several heartbeats of a second or more; a watch that
was merely cut off is answered anew at once.
"""

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


class ObjectFollow:
    """Lists the objects of a kind, then waits for changes of them.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API, whose lists are up to date.
    kind : str
        Kind of the objects.
    clock : Clock
        Source of time.
    follower : object
        ``take_list(items)`` gets every object, ``take_changes(items)``
        those that have changed or gone, and ``note_return()`` is called
        when the store answers after it has been away.

    Attributes
    ----------
    last_contact_s : float or None
        When the store last answered, monotonic, in seconds.
    """

    def __init__(self, store, kind, clock, follower):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._follower = follower
        self._revision = None
        self._failed_s = None
        self.last_contact_s = None

    def read(self):
        """Read or wait once.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer.
        """
        try:
            if self._revision is None:
                self._list()
            else:
                self._wait()
        except errors.HistoryLostError:
            self._revision = None
            raise
        except errors.StoreUnavailableError:
            if self._failed_s is None:
                self._failed_s = self._clock.now_s()
            raise

    def _list(self):
        """Read every object."""
        revision, items = self._store.list_objects(self._kind)
        self._note_contact()
        self._follower.take_list(items)
        self._revision = revision

    def _wait(self):
        """Wait for changes."""
        revision, items = self._store.watch(
            self._kind, self._revision, FOLLOW_WAIT_S
        )
        self._note_contact()
        if items:
            self._follower.take_changes(items)
        self._revision = revision

    def _note_contact(self):
        """Note an answer, and whether the store had been away."""
        now_s = self._clock.now_s()
        failed_s, self._failed_s = self._failed_s, None
        self.last_contact_s = now_s
        if failed_s is not None and now_s - failed_s >= AWAY_S:
            self._follower.note_return()
