"""What a store that came back from an older copy may have lost."""

from mulberryhollow.state import objects

__all__ = ["RestoreGrace"]

GRACE_S = 10.0
"""Time to keep what a restored store lacks, in seconds.

What the operator wrote after the copy is written again within seconds of the
restore. Until then its absence does not tell that it was deleted.
"""


class RestoreGrace:
    """Decides whether the absence of an object tells that it was deleted.

    An object of an earlier era that a list of the current era lacks may have
    been written after the copy from which the store was restored. It is kept
    until `GRACE_S` after the first list of the era.
    """

    def __init__(self):
        self._era = -1
        self._until_s = float("-inf")

    def observe(self, revision, now_s):
        """Apply the revision of a complete list.

        Parameters
        ----------
        revision : int
            Revision of the store at which the list is complete.
        now_s : float
            Monotonic time, in seconds.
        """
        era = objects.get_era(revision)
        if era > self._era:
            self._era = era
            self._until_s = now_s + GRACE_S

    def precedes(self, version):
        """Return whether a version is of an earlier era than the lists."""
        return objects.get_era(version) < self._era

    def is_open(self, now_s):
        """Return whether lost objects may still be written again."""
        return now_s < self._until_s

    def keeps(self, version, now_s):
        """Return whether an absent object of a version is kept.

        Parameters
        ----------
        version : int
            Version of the object as last read.
        now_s : float
            Monotonic time, in seconds.
        """
        return self.precedes(version) and self.is_open(now_s)
