"""Booking claims in a single program, without the daemons.

Two workers share one conditional store and claim the same booking; the
conditional write of the store lets exactly one of them run the booking.
"""

import time

from mulberryhollow.coordination import booking
from mulberryhollow.state import objects


class MemoryStore:
    """In-memory store of one object with conditional writes."""

    def __init__(self):
        self.stored = None

    def read(self):
        """Return the object, or None before the first write."""
        return self.stored

    def write(self, write):
        """Write the object if the stored version is the expected one."""
        version = self.stored.version if self.stored else 0
        if version != write.expected_version:
            return objects.WriteRejected("conflict", version)
        self.stored = objects.StoredObject(
            "claims", write.name, version + 1, write.value
        )
        return objects.WriteApplied(version + 1)


class Worker:
    """Submits claims to a bucket and executes the store calls that result."""

    def __init__(self, name, store, bucket_name):
        self.name = name
        self._store = store
        self._bucket = booking.Bucket(bucket_name)

    def claim(self, key, body_digest):
        """Claim a booking; return Granted to one worker, Held to others."""
        now_s = time.time()
        self._bucket.submit_claim(
            "token",
            booking.Claim(
                identity=key.identity,
                body_digest=body_digest,
                request_id=f"{self.name}-1",
                attempt=1,
                endpoint_id="endpoint-1",
                address="127.0.0.1:9",
                run_until_s=now_s + 5.0,
                claimed_s=now_s,
            ),
        )
        while True:
            action, answers = self._bucket.step()
            match action:
                case booking.Read():
                    self._bucket.finish_read(self._store.read())
                case booking.Write():
                    outcome = self._store.write(action)
                    answers = self._bucket.finish_write(outcome)
            if answers:
                return answers[0].result


def main():
    """Let two workers claim one booking; print the result of each."""
    now_s = time.time()
    key = booking.parse_key("desk", f"{int(now_s)}-7f3a9c21e4", now_s)
    store = MemoryStore()
    workers = [Worker(name, store, key.bucket) for name in ("a", "b")]
    for worker in workers:
        result = worker.claim(key, "digest of the request")
        print(worker.name, type(result).__name__)


if __name__ == "__main__":
    main()
