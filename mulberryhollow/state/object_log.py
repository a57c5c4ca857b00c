"""Copy of the stored objects of a kind, with their recent changes."""

import collections
import itertools

import attrs

__all__ = ["FollowerState", "ObjectChanges", "ObjectLog"]

MAX_ENTRIES = 256
"""Maximum number of recent reads whose changes are kept.

A reader that is further behind gets every object.
"""


@attrs.frozen
class ObjectChanges:
    """Objects that bring a reader up to a revision of the store.

    Parameters
    ----------
    base : int or None
        Revision that the reader has; None if it has none.
    revision : int
        Revision that the reader has afterwards.
    items : tuple of StoredObject
        Every object, or those changed or deleted since `base`, the oldest
        first.
    is_complete : bool
        Whether `items` are all objects of the kind.
    """

    base: int | None
    revision: int
    items: tuple
    is_complete: bool


@attrs.frozen
class FollowerState:
    """What an instance knows of one kind of stored objects.

    Parameters
    ----------
    changes : ObjectChanges or None
        Changes since a given revision; None if there is nothing to tell.
    contact_s : float or None
        When the store last answered, monotonic, in seconds.
    recovered_s : float
        When the store last recovered from an outage, monotonic, in seconds;
        minus infinity if it never did.
    revision : int or None
        Revision of the store as of its last answer, for an instance that
        gets no changes; None if unknown.
    """

    changes: ObjectChanges | None
    contact_s: float | None
    recovered_s: float
    revision: int | None = None


class ObjectLog:
    """Objects of one kind as last read from the store.

    Attributes
    ----------
    revision : int or None
        Revision of the store as of the last read; None before the first.
    """

    def __init__(self):
        self.revision = None
        self._objects = {}
        self._entries = collections.deque()
        self._first_revision = None

    def apply(self, changes):
        """Apply `ObjectChanges` whose base is the revision of this log."""
        if changes.is_complete:
            self._objects.clear()
            self._entries.clear()
            self._first_revision = changes.revision
        elif changes.items:
            self._entries.append(changes)
        if len(self._entries) > MAX_ENTRIES:
            self._first_revision = self._entries.popleft().revision
        for item in changes.items:
            if item.is_deleted:
                self._objects.pop(item.name, None)
            else:
                self._objects[item.name] = item
        self.revision = changes.revision

    def list_changes(self, after):
        """Return the `ObjectChanges` for a reader.

        Parameters
        ----------
        after : int or None
            Revision that the reader has; None if it has none.

        Returns
        -------
        ObjectChanges or None
            None if nothing was read yet, or the reader is ahead.

        Notes
        -----
        A reader whose revision lies within the range of one read gets every
        object, since it may know a part of that read's changes.
        """
        if self.revision is None or (after or 0) > self.revision:
            return None
        if after is None or after < self._first_revision:
            return self._list_all(after)
        later = [each for each in self._entries if each.revision > after]
        if later and later[0].base < after:
            return self._list_all(after)
        items = itertools.chain.from_iterable(each.items for each in later)
        return ObjectChanges(after, self.revision, tuple(items), False)

    def _list_all(self, after):
        """Return every object as the changes for a reader."""
        items = tuple(self._objects.values())
        return ObjectChanges(after, self.revision, items, True)
