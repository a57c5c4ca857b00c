"""A fake store that comes back from an older copy of its objects."""

import attrs

from mulberryhollow.state import objects
from tests import fakes


class RestoredStore(fakes.FakeStore):
    """A FakeStore whose versions hold an era, as those of a StoreClient.

    Attributes
    ----------
    era : int
        Era of the store, which rises with each restore.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.revision = objects.make_version(self.era, self.revision)

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
