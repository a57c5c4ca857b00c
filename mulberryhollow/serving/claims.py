"""Actor that stores booking claims in the object store of the platform."""

import concurrent.futures
import logging

import attrs

from mulberryhollow.coordination import booking
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import claims as codec
from mulberryhollow.transport import actors
from mulberryhollow.transport import store as store_adapter

__all__ = ["ClaimActor", "ClaimStore", "ExpiredClaimCleaner"]

KIND = "claims"
"""Kind of the stored bucket objects."""

CLAIM_TIMEOUT_S = 3.0
"""Maximum wait for the result of a claim operation, in seconds."""

_STORE_THREADS = 8
# Number of buckets in memory from which idle ones are dropped.
_IDLE_CLEANUP_BUCKETS = 64

BUCKET_MALFORMED = events.declare(
    3001,
    logging.ERROR,
    "a claim bucket is malformed; its bookings are refused",
    "restore the object from its last valid version",
)


NOT_FORWARDED = events.declare(
    3005,
    logging.INFO,
    "the owner of a claim bucket did not answer; running the call locally",
)


@attrs.frozen
class _Submit:
    """A claim operation and the future that receives its result."""

    call: codec.ClaimCall
    future: concurrent.futures.Future

    @property
    def bucket(self):
        """Name of the bucket object."""
        return self.call.bucket


@attrs.frozen
class _Finished:
    """Result of a store call of a bucket."""

    bucket: str
    action: object
    result: object


class ClaimActor(actors.ResilientActor):
    """Owns the claim buckets; store calls run in a thread pool.

    Parameters
    ----------
    store : StoreClient
        Client of the object store of the platform.
    """

    use_daemon_thread = True

    def __init__(self, store):
        super().__init__()
        self._store = store
        self._buckets = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _STORE_THREADS, thread_name_prefix="claims"
        )

    def on_stop(self):
        """Wait for the store calls in progress."""
        self._threads.shutdown(wait=True)

    def on_receive(self, message):
        """Process one message and start the next call of its bucket."""
        bucket = self._get_bucket(message.bucket)
        match message:
            case _Submit(call, future):
                _submit(bucket, call, future)
            case _Finished():
                self._finish(bucket, message)
        self._start_next_call(bucket)

    def _get_bucket(self, name):
        """Return a bucket; drop idle buckets when there are too many."""
        if name not in self._buckets:
            if len(self._buckets) >= _IDLE_CLEANUP_BUCKETS:
                self._buckets = {
                    key: bucket
                    for key, bucket in self._buckets.items()
                    if not bucket.is_idle
                }
            self._buckets[name] = booking.Bucket(name)
        return self._buckets[name]

    def _start_next_call(self, bucket):
        """Start the next store call of a bucket, if one is due."""
        action, answers = bucket.step()
        _resolve(answers)
        if action is not None:
            self._threads.submit(self._run_action, bucket.name, action)

    def _run_action(self, name, action):
        """Make one store call and send its result to the actor."""
        match action:
            case booking.Read():
                result = self._read(name)
            case booking.Write():
                result = self._store.put(
                    KIND,
                    name,
                    action.value,
                    action.expected_version,
                    store_adapter.make_change_id(),
                )
        self.actor_ref.tell(_Finished(name, action, result))

    def _read(self, name):
        """Return the stored object of a bucket, None, or the error."""
        try:
            return self._store.get(KIND, name)
        except errors.StoreUnavailableError as error:
            return error

    @staticmethod
    def _finish(bucket, message):
        """Pass the result of a store call to its bucket."""
        if isinstance(message.action, booking.Write):
            _resolve(bucket.finish_write(message.result))
            return
        if isinstance(message.result, errors.StoreUnavailableError):
            _resolve(bucket.fail_read(message.result.message))
            return
        try:
            bucket.finish_read(message.result)
        except ValueError as error:
            events.log(BUCKET_MALFORMED, bucket=bucket.name)
            _resolve(bucket.fail_read(str(error)))


def _resolve(answers):
    """Set each result on the future of the thread that waits for it."""
    for answer in answers:
        answer.token.set_result(answer.result)


class ExpiredClaimCleaner:
    """Removes claim buckets whose keys have expired, checking each once.

    Parameters
    ----------
    store : StoreClient
        Client of the object store of the platform.
    clock : Clock
        Source of time.
    is_owner : callable
        Returns whether this instance removes buckets; two instances doing
        so at once do no harm.
    """

    def __init__(self, store, clock, is_owner):
        self._store = store
        self._clock = clock
        self._is_owner = is_owner
        self._checked = set()

    def remove(self):
        """Remove the buckets that have expired since the last call.

        Raises
        ------
        StoreUnavailableError
            When the store gave no usable answer; the next call retries.
        """
        if not self._is_owner():
            return
        names = booking.list_expired_buckets(self._clock.wall_s())
        for name in names:
            if name in self._checked:
                continue
            found = self._store.get(KIND, name)
            if found is not None:
                self._store.delete(KIND, name, found.version)
            self._checked.add(name)
        self._checked.intersection_update(names)


class ClaimStore:
    """Thread-safe interface of the claim buckets for request threads.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running ClaimActor.

    Notes
    -----
    `find_owner` returns the instance that usually writes a bucket, or None
    for this instance; `forward` sends an encoded call to the owner. When
    the owner does not answer, or cannot use the store, this instance
    executes the call itself. This is safe because the conditional update of
    the bucket decides between two writers.
    """

    def __init__(self, actor):
        self.find_owner = lambda bucket: None
        self.forward = None
        self._actor = actor

    def claim(self, bucket, claim):
        """Claim a booking; return Granted, Held, KeyReused or Unwritten."""
        return self._run(
            codec.ClaimCall(bucket, codec.ClaimOperation.CLAIM, claim)
        )

    def record(self, bucket, claim):
        """Store an attempt's outcome; return Recorded, Lost or Unwritten."""
        return self._run(
            codec.ClaimCall(bucket, codec.ClaimOperation.RECORD, claim)
        )

    def read(self, bucket, claim):
        """Read the stored claim; return Standing or Unwritten."""
        return self._run(
            codec.ClaimCall(bucket, codec.ClaimOperation.LOOK, claim)
        )

    def answer(self, payload):
        """Execute the encoded call of a peer; return the encoded result."""
        call = codec.decode_call(payload)
        return codec.encode_result(self._run_locally(call))

    def _run(self, call):
        """Execute a call at the bucket's owner, or locally if that fails."""
        owner = self.find_owner(call.bucket)
        if owner is None:
            return self._run_locally(call)
        try:
            data = self.forward(owner, codec.encode_call(call))
            result = codec.decode_result(data)
        except (errors.PeerError, ValueError) as error:
            events.log(NOT_FORWARDED, owner=owner, reason=str(error))
            return self._run_locally(call)
        if isinstance(result, booking.Unwritten):
            return self._run_locally(call)
        return result

    def _run_locally(self, call):
        """Execute a call locally, within `CLAIM_TIMEOUT_S`.

        Notes
        -----
        No attempt runs on a claim that is stored after this time: its
        request is refused, and a resend resolves the claim.
        """
        future = concurrent.futures.Future()
        self._actor.tell(_Submit(call, future))
        try:
            return future.result(CLAIM_TIMEOUT_S)
        except TimeoutError:
            return booking.Unwritten("the store did not answer in time")


def _submit(bucket, call, future):
    """Submit a call to its bucket."""
    match call.wish:
        case codec.ClaimOperation.CLAIM:
            bucket.submit_claim(future, call.claim)
        case codec.ClaimOperation.RECORD:
            bucket.submit_outcome(future, call.claim)
        case codec.ClaimOperation.LOOK:
            bucket.submit_lookup(future, call.claim)
