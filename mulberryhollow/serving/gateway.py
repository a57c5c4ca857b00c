"""Request handling of an instance, independent of the transport."""

import contextlib
import math
import threading

import attrs

from mulberryhollow.coordination import retry
from mulberryhollow import errors
from mulberryhollow.protocol import callers
from mulberryhollow.protocol import handover
from mulberryhollow.serving import detached_answers as detached_module
from mulberryhollow.serving import observer as observer_module
from mulberryhollow.serving import relay as relay_module
from mulberryhollow.state import keys

__all__ = ["Gateway", "GatewayDependencies", "RelayedAnswer"]

LEAVE_LEAD_S = 2.0
"""Time in which a stopping instance accepts new requests, in seconds."""

REQUEST_COST_TOKENS = 10.0
"""Cost of a booking or look-up, in tokens."""


@attrs.frozen
class GatewayDependencies:
    """Dependencies of a gateway.

    Parameters
    ----------
    instance : str
        Id of this instance.
    dispatcher : Dispatcher
        Admission and routing.
    relay_dependencies : RelayDependencies
        Dependencies shared by all relays.
    bookings : BookingHandler
        Handles bookings.
    lookups : LookupHandler
        Handles look-ups.
    detached_answers : DetachedAnswerCache
        Cache of answers whose caller has disconnected.
    clock : Clock
        Source of time.
    """

    instance: str
    dispatcher: object
    relay_dependencies: relay_module.RelayDependencies
    bookings: object
    lookups: object
    detached_answers: detached_module.DetachedAnswerCache
    clock: object


@attrs.frozen
class RelayedAnswer:
    """An answer that is streamed to a caller.

    Parameters
    ----------
    relay : Relay
        Produces the answer.
    known : int
        Number of tokens that the caller already has.
    """

    relay: relay_module.Relay
    known: int


class Gateway:
    """Admits requests and answers them.

    Parameters
    ----------
    dependencies : GatewayDependencies
        Dependencies of the gateway.

    Notes
    -----
    `fetch_from_peers` is called with a request id that this instance does
    not know and returns a DetachedAnswer or None. `hand_over` is called with
    a DetachedAnswer when this instance is leaving and returns whether a peer
    accepted the answer.
    """

    def __init__(self, dependencies):
        self.instance = dependencies.instance
        self.fetch_from_peers = lambda request_id: None
        self.hand_over = lambda answer: False
        self._dependencies = dependencies
        self._environment = None
        self._key_ring = None
        self._relays = {}
        self._active = 0
        self._observer = dependencies.relay_dependencies.observer
        self._closed_from_s = math.inf
        self._lock = threading.Lock()

    @property
    def environment(self):
        """The active Environment; None before the first document."""
        return self._environment

    @property
    def active_count(self):
        """Number of requests in progress."""
        return self._active

    @property
    def is_leaving(self):
        """Whether this instance is stopping."""
        return self._closed_from_s < math.inf

    def apply_environment(self, environment):
        """Replace the active environment and its API keys."""
        self._key_ring = keys.KeyRing(environment)
        self._environment = environment

    def leave(self, lead_s=LEAVE_LEAD_S):
        """Start draining: refuse new requests after a lead time.

        Parameters
        ----------
        lead_s : float
            Time in which new requests are still accepted, in seconds.
        """
        closed_from_s = self._dependencies.clock.now_s() + lead_s
        self._closed_from_s = min(self._closed_from_s, closed_from_s)

    def move_relays(self):
        """Stop every running relay, so that its answer moves to a peer.

        Each relay raises AnswerMovedError, and its caller is told to resume
        the answer at another instance.
        """
        with self._lock:
            relays = list(self._relays.values())
        for relay in relays:
            relay.stop()

    def compute_deadline(self, timeout_s):
        """Return the deadline of a request that arrives now.

        Parameters
        ----------
        timeout_s : float
            Timeout given by the caller, in seconds.

        Returns
        -------
        float
            Deadline, in Unix seconds.
        """
        return self._dependencies.clock.wall_s() + timeout_s

    def find_account(self, key):
        """Return the client account of an API key.

        Raises
        ------
        RefusedError
            When no account has the key, or no document is active.
        """
        if self._environment is None:
            raise _refuse_not_ready()
        account = self._key_ring.find(key) if key else None
        if account is None:
            raise callers.refuse(
                errors.RefusalKind.UNAUTHENTICATED,
                "no client account has this API key",
                "send Authorization: Bearer KEY",
            )
        return account

    def check_service(self, account, name, request_class):
        """Check that an account may send a request class to a service.

        Raises
        ------
        RefusedError
            When the service does not accept the class, or the account may
            not call the service.
        """
        service = self._environment.services.get(name)
        if service is None or request_class not in service.classes:
            raise callers.refuse(
                errors.RefusalKind.UNKNOWN_SERVICE,
                f"service {name} is unknown or does not accept "
                f"{request_class.value} requests",
                "check the service and the request class in the path",
            )
        if name not in account.services:
            raise callers.refuse(
                errors.RefusalKind.FORBIDDEN,
                f"client account {account.name} may not call {name}",
                "ask the account's council to add the service",
            )

    def look_up(self, request):
        """Answer a look-up; return (LookupAnswer, endpoint id)."""
        with (
            self._record_outcome(request),
            self._hold_admission(request, REQUEST_COST_TOKENS) as fingerprint,
        ):
            return self._dependencies.lookups.look_up(request, fingerprint)

    def book(self, request):
        """Make a booking and return its BookingAnswer.

        Raises
        ------
        RefusedError
            With `ExecutionStatus.NOT_RUN` only when no send of the booking can
            have run, whether by this request or by an earlier one.
        """
        with self._record_outcome(request), contextlib.ExitStack() as stack:
            try:
                fingerprint = stack.enter_context(
                    self._hold_admission(request, REQUEST_COST_TOKENS)
                )
            except errors.RefusedError as error:
                raise callers.refuse_before_claim(
                    request, error.refusal
                ) from error
            return self._dependencies.bookings.book(request, fingerprint)

    @contextlib.contextmanager
    def generate(self, request):
        """Provide the RelayedAnswer of a prompt as a context manager."""
        body = request.body
        cost = body.prompt.count(" ") + 1 + body.max_tokens
        with (
            self._record_outcome(request) as request_end,
            self._hold_admission(request, cost) as fingerprint,
        ):
            relay = relay_module.Relay(
                self._dependencies.relay_dependencies, request, fingerprint
            )
            with self._register_relay(relay):
                yield RelayedAnswer(relay, 0)
            if not relay.is_complete:
                request_end.outcome = _classify_incomplete(relay)

    @contextlib.contextmanager
    def attach(self, account, request_id, last_seq):
        """Provide the RelayedAnswer that resumes after a token.

        Parameters
        ----------
        account : Account
            Client account of the caller.
        request_id : str
            Id of the request.
        last_seq : int
            Index of the last token that the caller has; -1 for none.

        Raises
        ------
        RefusedError
            When no instance knows the request, or `last_seq` is beyond its
            answer.
        """
        answer = self._fetch_detached(account, request_id)
        if last_seq >= len(answer.tokens):
            self._dependencies.detached_answers.add(answer)
            raise callers.refuse(
                errors.RefusalKind.MALFORMED,
                "Last-Event-ID is beyond the end of the answer so far",
                "send the id of the last event that was received",
            )
        with self._count_active():
            relay = relay_module.Relay(
                self._dependencies.relay_dependencies,
                answer.request,
                answer.fingerprint,
                answer.tokens,
                may_have_run=True,
            )
            with self._register_relay(relay):
                yield RelayedAnswer(relay, last_seq + 1)

    def pop_detached(self, request_id):
        """Remove and return a detached answer; None if unknown."""
        return self._dependencies.detached_answers.pop(request_id)

    def _fetch_detached(self, account, request_id):
        """Remove and return the detached answer of an account's request.

        An answer of another account is put back and reported as unknown.
        """
        is_known = callers.is_request_id(request_id)
        answer = (
            self._dependencies.detached_answers.pop(request_id)
            if is_known
            else None
        )
        if answer is None and is_known:
            answer = self.fetch_from_peers(request_id)
        if answer is not None and answer.request.account == account.name:
            return answer
        if answer is not None:
            self._dependencies.detached_answers.add(answer)
        raise callers.refuse(
            errors.RefusalKind.UNKNOWN_REQUEST,
            f"request {request_id} is unknown or has already ended",
            "send the request again",
            ran=errors.ExecutionStatus.UNKNOWN,
        )

    @contextlib.contextmanager
    def _register_relay(self, relay):
        """Register a relay while it runs; then keep an incomplete answer."""
        request_id = relay.request.request_id
        with self._lock:
            self._relays[request_id] = relay
        try:
            yield
        finally:
            with self._lock:
                self._relays.pop(request_id, None)
            if not (relay.is_complete or relay.is_refused):
                self._keep_detached(relay)

    def _keep_detached(self, relay):
        """Keep an answer for a returning caller, at a peer if leaving."""
        answer = handover.DetachedAnswer(
            relay.request, relay.fingerprint, tuple(relay.tokens)
        )
        if not (self.is_leaving and self.hand_over(answer)):
            self._dependencies.detached_answers.add(answer)

    @contextlib.contextmanager
    def _hold_admission(self, request, cost_tokens):
        """Hold an admission of the request while it is answered."""
        self._check_open()
        fingerprint = _compute_fingerprint(request)
        with self._count_active():
            admitted = self._dependencies.dispatcher.admit(
                request, cost_tokens, fingerprint
            )
            try:
                yield fingerprint
            finally:
                self._dependencies.dispatcher.release(admitted)

    @contextlib.contextmanager
    def _record_outcome(self, request):
        """Record the outcome and the duration of a request."""
        begin_s = self._dependencies.clock.now_s()
        request_end = _RequestEnd()
        try:
            yield request_end
        except errors.RefusedError as error:
            request_end.outcome = observer_module.Outcome.REFUSED
            self._observer.count_refusal(error.refusal.kind)
            raise
        except BaseException:
            request_end.outcome = observer_module.Outcome.LEFT
            raise
        finally:
            duration_s = self._dependencies.clock.now_s() - begin_s
            self._observer.record_end(request, request_end.outcome, duration_s)

    @contextlib.contextmanager
    def _count_active(self):
        """Count a request as active."""
        with self._lock:
            self._active += 1
        self._observer.set_active(self._active)
        try:
            yield
        finally:
            with self._lock:
                self._active -= 1
            self._observer.set_active(self._active)

    def _check_open(self):
        """Refuse new requests once the leave lead time is over."""
        if self._dependencies.clock.now_s() >= self._closed_from_s:
            raise callers.refuse(
                errors.RefusalKind.LEAVING,
                "this instance is stopping",
                "send the request again on a new connection",
                retry_after_s=0.0,
            )


@attrs.define
class _RequestEnd:
    """Outcome of a request; DONE unless set otherwise."""

    outcome: observer_module.Outcome = observer_module.Outcome.DONE


def _classify_incomplete(relay):
    """Return the outcome of an incomplete answer."""
    if relay.is_refused:
        return observer_module.Outcome.REFUSED
    return observer_module.Outcome.LEFT


def _compute_fingerprint(request):
    """Return a hash of the work that the request causes."""
    text = repr(attrs.astuple(request.body)).encode()
    return retry.compute_fingerprint(
        request.service, request.request_class, text
    )


def _refuse_not_ready():
    """Return the refusal of an instance that has no document yet."""
    return callers.refuse(
        errors.RefusalKind.NO_CAPACITY,
        "this instance has no environment document yet",
        "send the request again on a new connection",
        retry_after_s=1.0,
    )
