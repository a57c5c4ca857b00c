"""Handles bookings: claims each, sends it once, resolves its outcome.

The claim is stored before the booking is sent to an endpoint, so that
resends of the same idempotency key, at any instance, find it. An attempt of
unknown outcome is resolved by asking its endpoint before another attempt.
"""

import json
import logging

import attrs
import xxhash

from mulberryhollow.coordination import booking
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import endpoints as messages
from mulberryhollow.serving import attempts
from mulberryhollow.state import decoding

__all__ = ["BookingHandler"]

MAX_ATTEMPTS = 3
"""Maximum attempts of one booking at one instance.

The outcome of each attempt is resolved before the next is made.
"""

ANSWER_TIMEOUT_S = 3.0
"""Maximum wait for the answer of an endpoint, in seconds.

After that time, the endpoint is asked for the outcome of the booking.
"""

JOIN_POLL_INTERVAL_S = 0.1
"""Interval of reading the claim of another attempt, in seconds."""

JOIN_MARGIN_S = 3.0
"""Time before the deadline at which waiting for an attempt ends, in s.

Reserved for a last read of the claim of that attempt.
"""

STORE_RETRY_AFTER_S = 5.0
"""Retry delay sent when the store gave no usable answer, in seconds."""

UNKNOWN_RETRY_AFTER_S = 2.0
"""Retry delay sent for an unresolved outcome, in seconds."""

# Minimum time to the deadline for which a booking is sent, in seconds.
_SEND_MARGIN_S = 0.2

OUTCOME_UNKNOWN = events.declare(
    3002,
    logging.WARNING,
    "the outcome of a booking is unknown",
    "ask the owner of the endpoint; the caller may resend with the same key",
)
OUTCOME_UNWRITTEN = events.declare(
    3003,
    logging.WARNING,
    "the outcome of a booking could not be stored; its claim remains",
)
BOOKING_RESOLVED = events.declare(
    3004, logging.INFO, "the unknown outcome of a booking was resolved"
)


@attrs.frozen
class _Run:
    """One booking request with its validated key."""

    request: callers.CallerRequest
    key: booking.BookingKey
    body_digest: str
    fingerprint: str


@attrs.define
class _AttemptState:
    """What is reported of an attempt to the dispatcher at its end.

    Parameters
    ----------
    route : Route
        Chosen endpoint.
    fault : object
        Fault of the attempt; None for none.
    is_withdrawn : bool
        Whether nothing was sent, since the endpoint had left.
    is_answered : bool
        Whether the endpoint gave a complete answer.
    """

    route: attempts.Route
    fault: object = None
    is_withdrawn: bool = False
    is_answered: bool = False


@attrs.frozen
class _NoRoute:
    """Empty route of a claim that only serves to read the stored one."""

    endpoint_id: str = ""
    address: str = ""


_NO_ROUTE = _NoRoute()


class BookingHandler:
    """Answers booking requests and runs each booking at most once.

    Parameters
    ----------
    claims : ClaimStore
        Stores claims.
    endpoints : EndpointClient
        Client of the endpoints.
    dispatcher : Dispatcher
        Chooses endpoints.
    clock : Clock
        Source of time.
    """

    def __init__(self, claims, endpoints, dispatcher, clock):
        self._claims = claims
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._clock = clock

    def book(self, request, fingerprint):
        """Run a booking, or return the outcome of an earlier send.

        Parameters
        ----------
        request : CallerRequest
            The request, with a BookingRequest as its body.
        fingerprint : str
            Fingerprint of the request, checked by the quarantine.

        Returns
        -------
        BookingAnswer

        Raises
        ------
        RefusedError
            With `ExecutionStatus.NOT_RUN` only when no attempt can have run.
        """
        key = self._check_key(request)
        run = _Run(request, key, _compute_digest(request), fingerprint)
        excluded = set()
        for number in range(1, MAX_ATTEMPTS + 1):
            answer = self._make_attempt(run, number, excluded)
            if answer is not None:
                return answer
        return self._join_earlier(run)

    def _check_key(self, request):
        """Return the BookingKey of a request; raise when it is invalid."""
        if not request.key_text:
            raise callers.refuse(
                errors.RefusalKind.KEY_REQUIRED,
                "a booking needs an idempotency key",
                "send Idempotency-Key: UNIXSECONDS-RANDOM",
            )
        now_s = self._clock.wall_s()
        found = booking.parse_key(request.account, request.key_text, now_s)
        match found:
            case booking.MalformedKey(remedy):
                raise callers.refuse(
                    errors.RefusalKind.MALFORMED,
                    "the idempotency key is malformed",
                    remedy,
                )
            case booking.ExpiredKey():
                raise callers.refuse(
                    errors.RefusalKind.KEY_EXPIRED,
                    "the idempotency key has expired; an earlier send may"
                    " have run",
                    "check whether the booking exists; if not, use a new key",
                    ran=errors.ExecutionStatus.UNKNOWN,
                )
        return found

    def _make_attempt(self, run, number, excluded):
        """Make one attempt; return its answer, or None to retry."""
        try:
            chosen = self._dispatcher.choose(run.request, excluded)
        except errors.RefusedError:
            return self._join_earlier(run)
        attempt = _AttemptState(chosen)
        try:
            wanted = self._make_claim(run, number, chosen)
            match self._claims.claim(run.key.bucket, wanted):
                case booking.Granted(claim):
                    return self._send(run, claim, excluded, attempt)
                case booking.Held(claim):
                    return self._join(run, claim)
                case booking.KeyReused():
                    raise _refuse_reused()
                case booking.Unwritten(reason):
                    raise _refuse_unwritten(run, reason)
        finally:
            self._end_attempt(run, attempt)

    def _end_attempt(self, run, attempt):
        """Release the route of an attempt and report its fault."""
        if attempt.is_withdrawn:
            self._dispatcher.withdraw(attempt.route)
        elif attempt.fault is None:
            self._dispatcher.finish(
                attempt.route,
                fingerprint=run.fingerprint if attempt.is_answered else "",
            )
        else:
            attempts.report_fault(
                self._dispatcher,
                self._endpoints,
                attempt.route,
                attempt.fault,
                run.fingerprint,
            )

    def _make_claim(self, run, number, chosen):
        """Create the claim of an attempt at a chosen endpoint."""
        request = run.request
        return booking.Claim(
            identity=run.key.identity,
            body_digest=run.body_digest,
            request_id=f"{request.request_id}-{number}",
            attempt=1,
            endpoint_id=chosen.endpoint_id,
            address=chosen.address,
            run_until_s=request.deadline_s,
            claimed_s=self._clock.wall_s(),
        )

    def _send(self, run, claim, excluded, attempt):
        """Send a claimed attempt; return its answer, or None to retry."""
        remaining_s = claim.run_until_s - self._clock.wall_s()
        if remaining_s < _SEND_MARGIN_S:
            return self._end_not_run(run, claim, _refuse_late())
        try:
            # The write of the claim may have taken a while.
            self._dispatcher.check_send(attempt.route)
        except errors.EndpointLeftError:
            excluded.add(claim.endpoint_id)
            attempt.is_withdrawn = True
            self._record(run, claim, booking.ClaimState.NOT_RUN)
            return None
        try:
            answer = self._endpoints.book(
                claim.address,
                claim.request_id,
                run.key.text,
                run.request.body,
                min(remaining_s, ANSWER_TIMEOUT_S),
            )
        except errors.EndpointError as error:
            excluded.add(claim.endpoint_id)
            attempt.fault = error.fault
            return self._handle_fault(run, claim, error.fault)
        attempt.is_answered = True
        self._record_done(run, claim, answer)
        return answer

    def _handle_fault(self, run, claim, fault):
        """Resolve a fault; return an answer, None to retry, or raise."""
        match fault:
            case streams.NotSent():
                self._record(run, claim, booking.ClaimState.NOT_RUN)
                return None
            case streams.RefusedByEndpoint(reason):
                return self._end_not_run(
                    run, claim, _refuse_by_endpoint(reason)
                )
        return self._resolve_outcome(run, claim)

    def _end_not_run(self, run, claim, refused):
        """Record an attempt as not run and refuse the booking.

        When another send has claimed the booking meanwhile, the outcome of
        that attempt is returned instead.

        Parameters
        ----------
        run : _Run
            The booking request.
        claim : Claim
            Claim of the attempt.
        refused : RefusedError
            Raised when no other attempt gives an outcome.
        """
        result = self._record(run, claim, booking.ClaimState.NOT_RUN)
        if isinstance(result, booking.Lost) and result.claim is not None:
            answer = self._join(run, result.claim)
            if answer is not None:
                return answer
        raise refused

    def _resolve_outcome(self, run, claim):
        """Resolve the outcome of an attempt by asking its endpoint.

        Returns
        -------
        BookingAnswer or None
            None when the attempt has not run and never will.

        Raises
        ------
        RefusedError
            With kind OUTCOME_UNKNOWN when the endpoint gives no usable
            answer.
        """
        try:
            found = self._endpoints.find_booking(
                claim.address, claim.request_id, claim.claimed_s
            )
        except errors.EndpointError as error:
            events.log(
                OUTCOME_UNKNOWN,
                request_id=claim.request_id,
                endpoint=claim.endpoint_id,
                fault=str(error.fault),
            )
            self._record(run, claim, booking.ClaimState.UNKNOWN)
            raise _refuse_unknown() from error
        events.log(
            BOOKING_RESOLVED,
            request_id=claim.request_id,
            is_done=found is not None,
        )
        if found is not None:
            self._record_done(run, claim, found)
            return found
        state = booking.ClaimState.NOT_RUN
        result = self._record(run, claim, state)
        if isinstance(result, booking.Unwritten):
            raise _refuse_unwritten(run, result.reason)
        return None

    def _join(self, run, claim):
        """Wait for the outcome of another attempt of the same booking.

        Returns
        -------
        BookingAnswer or None
            None when that attempt has not run and never will.

        Raises
        ------
        RefusedError
            With kind OUTCOME_UNKNOWN when the outcome is not known by
            `JOIN_MARGIN_S` before the deadline.
        """
        while True:
            match claim.state:
                case booking.ClaimState.DONE:
                    return _decode_outcome(claim)
                case booking.ClaimState.NOT_RUN:
                    return None
                case booking.ClaimState.UNKNOWN:
                    return self._resolve_outcome(run, claim)
            now_s = self._clock.wall_s()
            if now_s > claim.run_until_s:
                return self._resolve_outcome(run, claim)
            if now_s > run.request.deadline_s - JOIN_MARGIN_S:
                raise _refuse_unknown()
            self._clock.sleep(JOIN_POLL_INTERVAL_S)
            claim = self._reread_claim(run, claim)

    def _join_earlier(self, run):
        """Join an earlier send of a booking that no endpoint accepts now.

        Raises
        ------
        RefusedError
            When no earlier send is found. The read may be stale, so only
            the refusal of a first send says that it has not run.
        """
        probe = self._make_claim(run, 0, _NO_ROUTE)
        found = self._claims.read(run.key.bucket, probe)
        match found:
            case booking.Unwritten(reason):
                raise _refuse_unwritten(run, reason)
            case booking.Standing(claim=claim) if claim is not None:
                if claim.body_digest != run.body_digest:
                    raise _refuse_reused()
                answer = self._join(run, claim)
                if answer is not None:
                    return answer
        raise callers.refuse_before_claim(run.request, _NO_CAPACITY)

    def _reread_claim(self, run, claim):
        """Return the stored claim, or the given one when none is read."""
        match self._claims.read(run.key.bucket, claim):
            case booking.Standing(claim=found) if found is not None:
                return found
        return claim

    def _record_done(self, run, claim, answer):
        """Store the outcome of a completed booking."""
        outcome = json.dumps(attrs.asdict(answer))
        self._record(run, claim, booking.ClaimState.DONE, outcome)

    def _record(self, run, claim, state, outcome=""):
        """Store the state of an ended attempt; return the result."""
        ended = attrs.evolve(claim, state=state, outcome=outcome)
        result = self._claims.record(run.key.bucket, ended)
        if isinstance(result, booking.Unwritten):
            events.log(
                OUTCOME_UNWRITTEN,
                request_id=claim.request_id,
                reason=result.reason,
            )
        return result


def _compute_digest(request):
    """Return a digest of the service and body of a booking."""
    text = json.dumps([request.service, attrs.asdict(request.body)])
    return xxhash.xxh3_128_hexdigest(text.encode())


def _decode_outcome(claim):
    """Decode the BookingAnswer that is stored in a claim."""
    return messages.BookingAnswer(**decoding.decode_json(claim.outcome))


def _refuse_unwritten(run, reason):
    """Return the refusal of a booking whose claim cannot be accessed."""
    refusal = errors.Refusal(
        errors.RefusalKind.STORE_UNAVAILABLE,
        f"the booking could not be claimed: {reason}",
        "resend with the same key",
        retry_after_s=STORE_RETRY_AFTER_S,
    )
    return callers.refuse_before_claim(run.request, refusal)


def _refuse_unknown():
    """Return the refusal of a booking that may have run."""
    return callers.refuse(
        errors.RefusalKind.OUTCOME_UNKNOWN,
        "the booking may have been made",
        "resend with the same key to learn its outcome",
        ran=errors.ExecutionStatus.UNKNOWN,
        retry_after_s=UNKNOWN_RETRY_AFTER_S,
    )


def _refuse_reused():
    """Return the refusal of a key that was used with another body."""
    return callers.refuse(
        errors.RefusalKind.KEY_REUSED,
        "the idempotency key was used before with another body",
        "use a new key for a new booking",
    )


def _refuse_by_endpoint(reason):
    """Return the refusal of a booking that the endpoint refused."""
    return callers.refuse(
        errors.RefusalKind.ENDPOINT_REFUSED,
        f"the endpoint refused the booking: {reason}",
        "choose another slot, or resend with the same key",
    )


def _refuse_late():
    """Return the refusal of a booking with no time left to send it."""
    return callers.refuse(
        errors.RefusalKind.DEADLINE_PASSED,
        "the deadline passed before the booking was sent",
        "resend with the same key and a longer X-Timeout-S",
        retry_after_s=1.0,
    )


_NO_CAPACITY = errors.Refusal(
    errors.RefusalKind.NO_CAPACITY,
    "no endpoint accepted the booking",
    "resend with the same key",
    retry_after_s=1.0,
)
