"""A fake store that comes back from an older copy of its objects."""

import attrs

from mulberryhollow.state import objects
from mulberryhollow.transport import store as store_adapter
from tests import fakes


class RestoredStore(fakes.FakeStore):
    """A FakeStore whose versions hold an era, as those of a StoreClient.

    Attributes
    ----------
    era : int
        Era of the store, which rises with each restore.
    at_read : callable or None
        Called once, before the next read.
    late : list of callable
        Writes that have no answer and are carried out when called: their
        condition is checked then, on the revision alone.
    is_late : bool
        Whether the next writes are late.
    """

    resolve_write = store_adapter.StoreClient.resolve_write

    def __init__(self):
        super().__init__()
        self._era = 1
        self._era_queries = 0
        self._at_era_query = None
        self.at_read = None
        self.late = []
        self.is_late = False
        self.revision = objects.make_version(self.era, self.revision)

    @property
    def era(self):
        """Era of the store; another thread may see a new one at any query."""
        if self._at_era_query is not None:
            self._era_queries -= 1
            if self._era_queries == 0:
                at_query, self._at_era_query = self._at_era_query, None
                at_query()
        return self._era

    @era.setter
    def era(self, era):
        self._era = era

    def run_at_era_query(self, number, action):
        """Call an action once, at a query of the era from now on."""
        self._era_queries = number
        self._at_era_query = action

    def get(self, kind, name, is_stale_ok=False):
        """Return an object, after `at_read`."""
        if self.at_read is not None:
            at_read, self.at_read = self.at_read, None
            at_read()
        return super().get(kind, name, is_stale_ok)

    def put(self, kind, name, value, expected_version, change_id):
        """Write an object, now or when the late writes are carried out."""
        if not self.is_late:
            return super().put(kind, name, value, expected_version, change_id)

        def write():
            expected = expected_version and self._renew(expected_version)
            self._write(kind, name, value, expected, change_id)

        self.late.append(write)
        return objects.WriteOutcomeUnknown("no answer")

    def copy(self):
        """Return a copy, for `restore`."""
        return self.revision, dict(self.objects)

    def restore(self, copied):
        """Continue from a copy in a new era; revisions are given out again."""
        self.era += 1
        revision, found = copied
        self.revision = self._renew(revision)
        self.objects = {
            key: attrs.evolve(each, version=self._renew(each.version))
            for key, each in found.items()
        }

    def _renew(self, version):
        """Return the version of the new era for one of an earlier era."""
        return objects.make_version(self.era, objects.get_revision(version))
