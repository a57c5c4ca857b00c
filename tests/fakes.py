"""Fakes of the network adapters that command-line commands use."""

from mulberryhollow.coordination import membership
from mulberryhollow import errors
from mulberryhollow.state import objects

UNAVAILABLE = errors.StoreUnavailableError("the store is down", "wait")


class FakeStore:
    """In-memory object store with conditional writes and planned faults.

    `faults` has one entry for each write to come. With "lost", the write
    takes effect and its response is lost; with "dropped", the write takes no
    effect and its response is lost; a callable is called before the write,
    which then proceeds. `stale` holds the results of the next reads, in place
    of the stored objects.
    """

    def __init__(self):
        self.objects = {}
        self.era = None
        self.revision = 6
        self.is_down = False
        self.goes_down_at_write = False
        self.faults = []
        self.stale = []

    def get(self, kind, name, is_stale_ok=False):
        if self.is_down:
            raise UNAVAILABLE
        if self.stale:
            return self.stale.pop(0)
        return self.objects.get((kind, name))

    def list_objects(self, kind, is_stale_ok=False):
        if self.is_down:
            raise UNAVAILABLE
        found = [each for key, each in self.objects.items() if key[0] == kind]
        return self.revision, found

    def put(self, kind, name, value, expected_version, change_id):
        self.is_down = self.is_down or self.goes_down_at_write
        fault = self.faults.pop(0) if self.faults else None
        if self.is_down:
            return objects.WriteOutcomeUnknown("status 503")
        if callable(fault):
            fault()
        if fault == "dropped":
            return objects.WriteOutcomeUnknown("no answer")
        outcome = self._write(kind, name, value, expected_version, change_id)
        return (
            objects.WriteOutcomeUnknown("no answer")
            if fault == "lost"
            else outcome
        )

    def delete(self, kind, name, expected_version):
        if self.is_down:
            return objects.WriteOutcomeUnknown("status 503")
        found = self.objects.get((kind, name))
        if found is None or found.version != expected_version:
            version = found.version if found else 0
            return objects.WriteRejected("conflict", version)
        del self.objects[kind, name]
        self.revision += 1
        return objects.WriteApplied(self.revision)

    def write(self, kind, name, value, change_id="other"):
        """Write without a version check; return the new version."""
        found = self.objects.get((kind, name))
        version = found.version if found else 0
        return self._write(kind, name, value, version, change_id).version

    def _write(self, kind, name, value, expected_version, change_id):
        found = self.objects.get((kind, name))
        version = found.version if found else 0
        if version != expected_version:
            return objects.WriteRejected("conflict", version)
        self.revision += 1
        self.objects[kind, name] = objects.StoredObject(
            kind, name, self.revision, value, change_id
        )
        return objects.WriteApplied(self.revision)


class FakeInstances:
    """Instances that respond with a fixed body per address and path."""

    def __init__(self):
        self.bodies = {}

    def register(self, store, name, **bodies):
        """Register an instance with a response body for each path."""
        address = f"{name}:80"
        member = membership.Member(
            name, 1, f"{name}:81", address, "zone-a", "local", 0.0
        )
        store.write("member", name, membership.encode_registration(member))
        for path, body in bodies.items():
            self.bodies[address, f"/{path}"] = body

    def fetch(self, address, path, timeout_s):
        """Return the body, or raise PeerError when there is none."""
        if (address, path) not in self.bodies:
            raise errors.PeerError(f"{address} does not answer", "wait")
        return self.bodies[address, path]
