"""Actor that keeps booking claims in the platform's store."""

import concurrent.futures
import logging

import attrs
import pykka

from mulberryhollow.coordination import booking
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import claims as codec
from mulberryhollow.transport import store as store_adapter

__all__ = ["ClaimKeeper", "ClaimStore", "ExpiredClaims"]

KIND = "claims"
"""Kind of the bucket objects."""

CLAIM_TIMEOUT_S = 3.0
"""Longest wait for the store to take a claim, in seconds."""

_STORE_THREADS = 8
_IDLE_BUCKETS = 64

BUCKET_MALFORMED = events.declare(
    3001,
    logging.ERROR,
    "a claim bucket is malformed; its bookings are refused",
    "restore the object from its last good version",
)


NOT_FORWARDED = events.declare(
    3005,
    logging.INFO,
    "the usual owner of a claim bucket gave no answer; it is written here",
)


@attrs.frozen
class _Submit:
    """A call and who waits for its result."""

    call: codec.ClaimCall
    future: concurrent.futures.Future

    @property
    def bucket(self):
        """Name of the bucket object."""
        return self.call.bucket


@attrs.frozen
class _Finished:
    """A store call of a bucket has ended."""

    bucket: str
    action: object
    result: object


class ClaimKeeper(pykka.ThreadingActor):
    """Owns the buckets; store calls run beside it on a few threads.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
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
        """Wait for the store calls under way."""
        self._threads.shutdown(wait=True)

    def on_receive(self, message):
        """Take one message and go on with the bucket it concerns."""
        bucket = self._get_bucket(message.bucket)
        match message:
            case _Submit(call, future):
                _submit(bucket, call, future)
            case _Finished():
                self._finish(bucket, message)
        self._go_on(bucket)

    def _get_bucket(self, name):
        """Return the bucket, forgetting idle ones when there are many."""
        if name not in self._buckets:
            if len(self._buckets) >= _IDLE_BUCKETS:
                self._buckets = {
                    key: bucket
                    for key, bucket in self._buckets.items()
                    if not bucket.is_idle
                }
            self._buckets[name] = booking.Bucket(name)
        return self._buckets[name]

    def _go_on(self, bucket):
        """Start the next store call of a bucket, if there is one."""
        action, answers = bucket.step()
        _resolve(answers)
        if action is not None:
            self._threads.submit(self._carry_out, bucket.name, action)

    def _carry_out(self, name, action):
        """Make one store call; report it to the actor."""
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
        """Read a bucket; return the object, None, or the error."""
        try:
            return self._store.get(KIND, name)
        except errors.StoreUnavailableError as error:
            return error

    @staticmethod
    def _finish(bucket, message):
        """Report the end of a store call to its bucket."""
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
    """Hand each result to the thread that waits for it."""
    for answer in answers:
        answer.token.set_result(answer.result)


class ExpiredClaims:
    """Removes buckets that are past the horizon, each looked at once.

    Parameters
    ----------
    store : StoreClient
        Adapter to the object API.
    clock : Clock
        Source of time.
    is_owner : callable
        Whether this instance usually does it; two at once do no harm.
    """

    def __init__(self, store, clock, is_owner):
        self._store = store
        self._clock = clock
        self._is_owner = is_owner
        self._done = set()

    def remove(self):
        """Remove what has expired since the last call.

        Raises
        ------
        StoreUnavailableError
            When the platform gave no usable answer; to be tried again.
        """
        if not self._is_owner():
            return
        names = booking.list_expired_buckets(self._clock.wall_s())
        for name in names:
            if name in self._done:
                continue
            found = self._store.get(KIND, name)
            if found is not None:
                self._store.delete(KIND, name, found.version)
            self._done.add(name)
        self._done.intersection_update(names)


class ClaimStore:
    """What the threads that serve bookings call.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running ClaimKeeper.

    Notes
    -----
    `find_owner` returns the usual owner of a bucket, or None for this
    instance; `forward` sends bytes to it. An owner that does not answer
    costs a write of this instance, and nothing else: the bucket's
    conditional update decides between two.
    """

    def __init__(self, actor):
        self.find_owner = lambda bucket: None
        self.forward = None
        self._actor = actor

    def claim(self, bucket, claim):
        """Return Granted, Held, KeyReused or Unwritten."""
        return self._run(codec.ClaimCall(bucket, codec.Wish.CLAIM, claim))

    def record(self, bucket, claim):
        """Return Recorded, Lost or Unwritten."""
        return self._run(codec.ClaimCall(bucket, codec.Wish.RECORD, claim))

    def look(self, bucket, claim):
        """Return Standing or Unwritten."""
        return self._run(codec.ClaimCall(bucket, codec.Wish.LOOK, claim))

    def answer(self, payload):
        """Carry out the call of a peer; return the bytes of the result."""
        call = codec.decode_call(payload)
        return codec.encode_result(self._run_here(call))

    def _run(self, call):
        """Let the usual owner carry out a call, or do it here."""
        owner = self.find_owner(call.bucket)
        if owner is None:
            return self._run_here(call)
        try:
            data = self.forward(owner, codec.encode_call(call))
            result = codec.decode_result(data)
        except (errors.PeerError, ValueError) as error:
            events.log(NOT_FORWARDED, owner=owner, reason=str(error))
            return self._run_here(call)
        if isinstance(result, booking.Unwritten):
            return self._run_here(call)
        return result

    def _run_here(self, call):
        """Carry out a call at this instance, within a bounded time.

        Notes
        -----
        A claim that is stored after that time is granted to nobody: its
        attempt sends nothing, and a resend settles it.
        """
        future = concurrent.futures.Future()
        self._actor.tell(_Submit(call, future))
        try:
            return future.result(CLAIM_TIMEOUT_S)
        except TimeoutError:
            return booking.Unwritten("the store did not answer in time")


def _submit(bucket, call, future):
    """Hand a call to its bucket."""
    match call.wish:
        case codec.Wish.CLAIM:
            bucket.submit_claim(future, call.claim)
        case codec.Wish.RECORD:
            bucket.submit_outcome(future, call.claim)
        case codec.Wish.LOOK:
            bucket.submit_look(future, call.claim)
