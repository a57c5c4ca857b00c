"""Actor that owns admission, quotas, routing, retries and quarantine."""

import collections
import logging
import random

import attrs
import pykka

from mulberryhollow.coordination import admission
from mulberryhollow.coordination.admission import demand
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import retry
from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.serving import attempts
from mulberryhollow.serving import permit_peering
from mulberryhollow.serving import shares as version_shares
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment as environment_module
from mulberryhollow.state import prefixes

__all__ = [
    "DispatchActor",
    "Dispatcher",
    "Placed",
    "apply_environment",
]


MIN_REPORTED_PROMPT_S = 0.15
"""Minimum compute time of a prompt that is reported to peers, in seconds.

Long compared with a round trip between instances, so that the report
arrives while the prompt still occupies its endpoint, and rare enough that
reports cost little.
"""

WORK_DECAY_S = 5.0
"""Decay time of the smoothed compute demand of a service, in seconds.

About the boot time of an engine, so that scaling orders follow the load
and not single prompts.
"""

MAX_SHARED_CRASHES = 4096
"""Maximum number of requests whose shared crashes are counted.

A shared crash ends an endpoint that was answering several requests.
"""

NO_ENDPOINT = events.declare(
    4003,
    logging.WARNING,
    "no endpoint of a service accepts new requests",
    "check the listed endpoints and the capacity plan",
)
SAID_LEAVING = events.declare(
    4015, logging.INFO, "an endpoint says in an answer that it leaves"
)
PAUSED = events.declare(
    4016, logging.INFO, "an endpoint asks for a pause and gets no requests"
)
RATE_LIMITED = events.declare(
    4017, logging.INFO, "the rate limit that an endpoint names has changed"
)
BRITTLE = events.declare(
    4019,
    logging.WARNING,
    "the endpoints of a service began or ceased to be brittle",
    "check why the service's endpoints fall over when they are full",
)
CHANGE_FAILED = events.declare(
    4005,
    logging.ERROR,
    "an update of the dispatcher state failed and was dropped",
    "report a bug with the surrounding log lines",
)


@attrs.frozen
class CrashVerdict:
    """Verdict on the request that was running when its endpoint crashed.

    Parameters
    ----------
    is_recorded : bool
        Whether the crash counts against the request.
    is_quarantined : bool
        Whether the request is now quarantined, and so refused.
    part_crash : PartCrash or None
        Crash that counts against parts of the prompt.
    """

    is_recorded: bool
    is_quarantined: bool
    part_crash: retry.PartCrash | None = None


@attrs.frozen
class Placed:
    """Endpoint chosen for the request of a peer.

    Parameters
    ----------
    chosen : Chosen
        The endpoint.
    permit : Permit or None
        Permit for the request; None if the endpoint needs none.
    """

    chosen: routing.Chosen
    permit: routing.Permit | None


@attrs.frozen
class _Admit:
    account: str
    request_class: environment_module.RequestClass
    cost_tokens: float
    fingerprint: str


@attrs.frozen
class _Release:
    admitted: admission.Admitted


@attrs.frozen
class _Choose:
    request: routing.RouteRequest
    excluded: frozenset
    keeps_version: bool


@attrs.frozen
class _Place:
    request: routing.RouteRequest


@attrs.frozen
class _Finish:
    route: attempts.Route
    kind: endpoints.FailureKind | None
    fingerprint: str
    is_answering: bool
    parts: tuple


@attrs.frozen
class _DecideRetry:
    attempt: int
    kind: endpoints.FailureKind
    is_idempotent: bool
    deadline_s: float
    may_have_run: bool


@attrs.frozen
class _Charge:
    account: str
    service: str
    cost: float
    fingerprint: str
    parts: tuple


@attrs.frozen
class _Reconcile:
    account: str
    service: str
    cost: float
    borrowed: object


@attrs.frozen
class _Accept:
    service: str
    fingerprint: str
    exceeded: limits.QuotaExceeded | None
    parts: tuple


@attrs.frozen
class _SpendRetry:
    service: str


@attrs.frozen
class _ReportFirstToken:
    route: attempts.Route
    first_s: float


@attrs.frozen
class _ReportBegun:
    parts: tuple
    on_cleared: object


@attrs.frozen
class _ReportLeaving:
    endpoint_id: str
    on_leaving: object


@attrs.frozen
class _ReportPause:
    endpoint_id: str
    pause_s: float


@attrs.frozen
class _Withdraw:
    route: attempts.Route


@attrs.frozen
class _ReportBrittle:
    service: str
    rejections: int | None


@attrs.frozen
class _ReportRate:
    endpoint_id: str
    rate_per_s: float | None


@attrs.frozen
class _ReportLoad:
    route: attempts.Route
    load: object


@attrs.frozen
class _Change:
    """A function that changes the actor's state; its caller does not wait."""

    apply: object


@attrs.frozen
class _Query:
    """A function whose result the caller waits for."""

    apply: object


class DispatchActor(pykka.ThreadingActor):
    """Owns the endpoint view and all limits of this instance.

    Parameters
    ----------
    clock : Clock
        Source of time.
    seed : int
        Seed of the random endpoint samples and of retry jitter.

    Attributes
    ----------
    view : EndpointView
        Load and availability of the endpoints.
    prefixes : PrefixIndex
        Prompt prefixes that the endpoints have cached.
    router : Router
        Chooses the endpoint of each attempt.
    admission : Admission
        Shares of the client accounts in the capacity, for admitted requests.
    retries : RetryPolicy
        Backoff and retry budget of admitted requests.
    quarantine : Quarantine
        Requests that crashed endpoints.
    part_quarantine : PartQuarantine
        Parts of prompts that crashed endpoints.
    shares : VersionShares
        Traffic shares of the versions of each service.
    quotas : QuotaTable
        Quotas of the client accounts, for forwarded requests.
    shared_retries : SharedRetryBudget
        Retry budget of forwarded requests, by service.
    endpoint_rates : EndpointRateTable
        Permits by rate for the endpoints that this instance owns.
    endpoint_rooms : EndpointRoomTable
        Permits by room for those of them that are brittle.
    on_rate_changed : callable
        Called with the id of an endpoint and its new rate limit, or None,
        when an answer shows a change.
    work : DemandTable
        Smoothed compute demand of each service.
    """

    use_daemon_thread = True

    def __init__(self, clock, seed):
        super().__init__()
        rng = self._rng = random.Random(seed)
        self._clock = clock
        self.view = endpoints.EndpointView(rng)
        self.prefixes = prefixes.PrefixIndex()
        self.router = routing.Router(rng=rng)
        self.admission = admission.Admission(1.0, {}, clock.now_s())
        self.retries = retry.RetryPolicy(rng=rng)
        self.quarantine = retry.Quarantine()
        self.part_quarantine = retry.PartQuarantine()
        self.shares = version_shares.VersionShares()
        self.quotas = limits.QuotaTable()
        self.shared_retries = limits.SharedRetryBudget()
        self.endpoint_rates = limits.EndpointRateTable()
        self.endpoint_rooms = limits.EndpointRoomTable()
        self.on_rate_changed = lambda endpoint_id, rate_per_s: None
        self.work = demand.DemandTable(WORK_DECAY_S)
        self._shared_crashes = collections.Counter()

    def on_receive(self, message):
        """Process one message and return its result."""
        now_s = self._clock.now_s()
        match message:
            case _Choose():
                return self._choose(message, now_s)
            case _Place(request):
                return self._place(request, now_s)
            case _Finish():
                return self._finish(message, now_s)
            case _Admit():
                return self._admit(message, now_s)
            case _Release(admitted):
                return self.admission.finish(admitted, now_s)
            case _DecideRetry():
                return self._decide_retry(message, now_s)
            case _Charge():
                return self._charge(message, now_s)
            case _Reconcile():
                return self._reconcile(message, now_s)
            case _Accept():
                return self._accept(message, now_s)
            case _SpendRetry(service):
                return self.shared_retries.spend(service, now_s)
            case _ReportFirstToken(route, first_s):
                chosen = route.chosen
                self.router.learn(
                    route.service,
                    chosen.cached_tokens + chosen.computed_tokens,
                    chosen.computed_tokens,
                    first_s,
                )
            case _ReportBegun(parts, on_cleared):
                for part in self.part_quarantine.record_begun(parts):
                    on_cleared(part)
            case _ReportLeaving(endpoint_id, on_leaving):
                self._report_leaving(endpoint_id, on_leaving)
            case _ReportPause(endpoint_id, pause_s):
                self.view.pause(endpoint_id, now_s + pause_s)
                events.log(PAUSED, endpoint=endpoint_id, pause_s=pause_s)
            case _ReportRate(endpoint_id, rate_per_s):
                if self.observe_rate(endpoint_id, rate_per_s, now_s):
                    self.on_rate_changed(endpoint_id, rate_per_s)
            case _ReportBrittle(service, rejections):
                if self.view.set_brittle(service, rejections):
                    events.log(BRITTLE, service=service, rejections=rejections)
            case _Withdraw(route):
                self.view.withdraw(route.work)
                self.work.add(route.service, -route.chosen.compute_s, now_s)
            case _ReportLoad(route, load):
                self.view.report_load(
                    route.endpoint_id,
                    load.running,
                    load.queued,
                    load.slots,
                    0.0,
                    now_s,
                )
            case _Change(apply):
                self._change(apply, now_s)
            case _Query(apply):
                return apply(self, now_s)

    def _change(self, apply, now_s):
        """Apply a change; an exception must not stop the actor."""
        try:
            apply(self, now_s)
        except Exception as error:  # noqa: BLE001
            events.log(CHANGE_FAILED, error=repr(error))

    def _charge(self, message, now_s):
        """Return None if charged, else CreditShortfall or the Refusal."""
        refusal = self._check_quarantines(message)
        if refusal is not None:
            return refusal
        result = self.quotas.spend(message.account, message.cost, now_s)
        return self._finish_charge(result, message.service, now_s)

    def _reconcile(self, message, now_s):
        """Return None when the charge succeeds, else the Refusal."""
        borrowed = message.borrowed
        result = self.quotas.reconcile(
            message.account,
            message.cost,
            borrowed.lent,
            borrowed.owed,
            now_s,
            borrowed.asked,
        )
        return self._finish_charge(result, message.service, now_s)

    def _accept(self, message, now_s):
        """Return None, or the Refusal of a request charged by a peer."""
        refusal = self._check_quarantines(message)
        if refusal is not None:
            return refusal
        return self._finish_charge(message.exceeded, message.service, now_s)

    def _check_quarantines(self, message):
        """Return the refusal of a quarantined request, or None."""
        return self.quarantine.check(
            message.fingerprint
        ) or self.part_quarantine.check(message.parts)

    def _finish_charge(self, result, service, now_s):
        """Count a charged request; return the result for its caller."""
        match result:
            case None:
                self.shared_retries.record_request(service, now_s)
            case limits.QuotaExceeded():
                return _refuse_over_quota(result)
        return result

    def _admit(self, message, now_s):
        """Return Admitted or the Refusal."""
        refusal = self.quarantine.check(message.fingerprint)
        if refusal is not None:
            return refusal
        return self.admission.admit(
            message.account, message.request_class, message.cost_tokens, now_s
        )

    def _choose(self, message, now_s):
        """Return a Route or the Refusal."""
        shares = self.shares.get(message.request.service)
        if message.excluded and not message.keeps_version:
            shares = _select_main_version(shares)
        request = attrs.evolve(message.request, version_shares=shares)
        result = self._select(request, now_s, message.excluded)
        match result:
            case routing.NoEndpoint(refusal):
                self._log_no_endpoint(request)
                return refusal
        work = self.view.start(result.endpoint_id, result.cost, now_s)
        self.work.add(request.service, result.compute_s, now_s)
        return attempts.Route(
            result, work, request.service, request.request_class
        )

    def _place(self, request, now_s):
        """Return the Chosen or NoEndpoint for the request of a peer."""
        shares = self.shares.get(request.service)
        request = attrs.evolve(request, version_shares=shares)
        result = self._select(request, now_s)
        match result:
            case routing.Chosen(endpoint_id=endpoint_id, compute_s=compute_s):
                self.view.add_peer_prompt(endpoint_id, compute_s, now_s)
        return result

    def _select(self, request, now_s, excluded=frozenset()):
        """Return Chosen, whose prompt counts as cached, or NoEndpoint."""
        result = self.router.choose(
            request, self.view, self.prefixes, now_s, excluded
        )
        match result:
            case routing.Chosen(hashes=hashes) if hashes:
                self.prefixes.insert(result.endpoint_id, hashes)
        return result

    def _log_no_endpoint(self, request):
        """Log the state of a service whose endpoints accept no requests."""
        records = [
            record
            for record in self.view
            if record.endpoint.service == request.service
        ]
        events.log(
            NO_ENDPOINT,
            service=request.service,
            shares=request.version_shares,
            listed=len(records),
            leaving=sum(record.is_leaving for record in records),
            circuits=[record.circuit.state.value for record in records],
        )

    def _finish(self, message, now_s):
        """Release an attempt and update the health of its endpoint."""
        self.view.finish(message.route.work, now_s)
        endpoint_id = message.route.endpoint_id
        if message.kind is None:
            self.view.record_success(endpoint_id)
            self.retries.budget.record_success()
            return None
        if message.kind is endpoints.FailureKind.REFUSED:
            self._pause_brittle(message.route, now_s)
        verdict = CrashVerdict(False, False)
        if message.kind is endpoints.FailureKind.CRASHED:
            verdict = self._attribute_crash(message)
        self.view.record_failure(
            endpoint_id, message.kind, now_s, verdict.is_quarantined
        )
        return verdict

    def _pause_brittle(self, route, now_s):
        """Leave a brittle endpoint alone that has turned a request away."""
        rejections = self.view.get_brittle(route.service)
        if rejections is None:
            return
        pause_s = self.shared_retries.compute_rejection_pause_s(
            rejections, self._rng.random()
        )
        self.view.pause(route.endpoint_id, now_s + pause_s)

    def _attribute_crash(self, message):
        """Decide whether a crash counts against the request.

        Notes
        -----
        A crash of a leaving endpoint is never counted, since the leave
        may be its cause. When the request was being answered alongside
        others, only every second crash counts, since another of these
        requests may be the cause.
        """
        endpoint_id = message.route.endpoint_id
        fingerprint = message.fingerprint
        record = self.view.get(endpoint_id)
        if record is not None and record.is_leaving:
            return CrashVerdict(False, False)
        is_shared = record is not None and record.load >= 1.0
        if message.is_answering and is_shared:
            if len(self._shared_crashes) > MAX_SHARED_CRASHES:
                self._shared_crashes.clear()
            self._shared_crashes[fingerprint] += 1
            if self._shared_crashes[fingerprint] % 2:
                return CrashVerdict(False, False)
        is_quarantined = self.quarantine.record_crash(fingerprint, endpoint_id)
        if message.is_answering:
            return CrashVerdict(True, is_quarantined)
        part_crash = self.part_quarantine.record_crash(
            message.parts, endpoint_id
        )
        found = self.part_quarantine.find_quarantined(message.parts)
        return CrashVerdict(
            True, is_quarantined or found is not None, part_crash
        )

    def _report_leaving(self, endpoint_id, on_leaving):
        """Mark an endpoint as leaving; call a function the first time."""
        record = self.view.get(endpoint_id)
        if record is None or record.is_leaving:
            return
        self.view.mark_leaving(endpoint_id)
        events.log(SAID_LEAVING, endpoint=endpoint_id)
        on_leaving(endpoint_id)

    def observe_rate(self, endpoint_id, rate_per_s, observed_s):
        """Store the rate limit of an endpoint; return whether it changed.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        rate_per_s : float or None
            Requests per second that it takes; None when it names no limit.
        observed_s : float
            Monotonic time of the answer that told so, in seconds.
        """
        record = self.view.get(endpoint_id)
        if record is None or not record.observe_rate(rate_per_s, observed_s):
            return False
        events.log(RATE_LIMITED, endpoint=endpoint_id, rate_per_s=rate_per_s)
        return True

    def _decide_retry(self, message, now_s):
        """Return RetryAfter when a retry is allowed, else FailRequest."""
        return self.retries.decide(
            message.attempt,
            message.kind,
            message.is_idempotent,
            message.deadline_s,
            now_s,
            message.may_have_run,
        )


class Dispatcher:
    """Thread-safe interface of the DispatchActor for request threads.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running DispatchActor.
    clock : Clock
        Source of time, the same as the actor's.

    Notes
    -----
    `permits` grants the requests to endpoints that limit them;
    `on_crash` is called with the fingerprint of a request, the id of the
    endpoint that it crashed and whether the request is now quarantined,
    `on_part_crash` with the PartCrash of its prompt, `on_part_cleared` with
    a part that was suspected and to which an answer has begun,
    `on_endpoint_leaving` with the id of an endpoint whose answer says that
    it leaves,
    `on_retry` without arguments for each retry, `on_attempt_end` with the
    AttemptResult of each attempt, and `on_long_prompt` with the Chosen of a
    prompt whose compute time is at least `MIN_REPORTED_PROMPT_S`.
    """

    def __init__(self, actor, clock):
        self.permits = permit_peering.UnlimitedPermits()
        self.on_crash = lambda fingerprint, endpoint_id, is_quarantined: None
        self.on_part_crash = lambda crash: None
        self.on_part_cleared = lambda part: None
        self.on_endpoint_leaving = lambda endpoint_id: None
        self.on_retry = lambda: None
        self.on_attempt_end = lambda ended: None
        self.on_long_prompt = lambda chosen: None
        self._actor = actor
        self._clock = clock

    def admit(self, request, cost_tokens, fingerprint):
        """Admit a request of a client account.

        Parameters
        ----------
        request : CallerRequest
            The request.
        cost_tokens : float
            Estimated cost, in tokens.
        fingerprint : str
            Fingerprint of the request, checked by the quarantine.

        Returns
        -------
        Admitted

        Raises
        ------
        RefusedError
            When the account is over its share, this instance is over its
            limit, or the request is quarantined for crashing endpoints.
        """
        return self._ask(
            _Admit(
                request.account,
                request.request_class,
                cost_tokens,
                fingerprint,
            )
        )

    def release(self, admitted):
        """Release an admission at the end of its request."""
        self._actor.tell(_Release(admitted))

    def choose(
        self, request, excluded=(), is_idempotent=False, keeps_version=False
    ):
        """Choose the endpoint of one attempt of a caller's request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        excluded : iterable of str
            Ids of endpoints that must not be chosen.
        is_idempotent : bool
            Whether the request may run twice.
        keeps_version : bool
            Whether the request stays at its version after a failed attempt.

        Returns
        -------
        Route
            To be released by `finish`.

        Raises
        ------
        RefusedError
            When no endpoint accepts the request.
        """
        route_request = routing.RouteRequest(
            request_id=request.request_id,
            service=request.service,
            version_shares={},
            prompt=getattr(request.body, "prompt", ""),
            request_class=request.request_class,
            deadline_s=self._to_monotonic(request.deadline_s),
            idempotent=is_idempotent,
        )
        return self.choose_endpoint(route_request, excluded, keeps_version)

    def choose_endpoint(self, route_request, excluded=(), keeps_version=False):
        """Choose the endpoint of one attempt of any kind of request.

        Parameters
        ----------
        route_request : RouteRequest
            The request; its version shares are replaced by the active ones.
        excluded : iterable of str
            Ids of endpoints that must not be chosen.
        keeps_version : bool
            Whether the request stays at its version after a failed attempt.

        Returns
        -------
        Route
            To be released by `finish`.

        Raises
        ------
        RefusedError
            When no endpoint accepts the request.
        """
        excluded = frozenset(excluded)
        request = self._avoid_exhausted(route_request)
        while True:
            route = self._ask(_Choose(request, excluded, keeps_version))
            permit = self._draw_permit(route.chosen, request)
            if permit is not None or not route.chosen.needs_permit:
                break
            self._actor.tell(_Withdraw(route))
            request = self._avoid(request, route.endpoint_id)
        if route.endpoint_id != route_request.preferred:
            self._report_if_long(route.chosen)
        return route if permit is None else attrs.evolve(route, permit=permit)

    def _avoid_exhausted(self, request):
        """Return a RouteRequest that avoids endpoints without a permit."""
        avoided = self.permits.list_exhausted(request.service, request.account)
        if not avoided:
            return request
        if request.permit is not None:
            avoided -= {request.preferred}
        return attrs.evolve(request, avoided=request.avoided | avoided)

    @staticmethod
    def _avoid(request, endpoint_id):
        """Return a RouteRequest that avoids one more endpoint."""
        return attrs.evolve(
            request, avoided=request.avoided | {endpoint_id}, permit=None
        )

    def _draw_permit(self, chosen, request):
        """Return the Permit for the chosen endpoint; None without one."""
        if request.permit is not None:
            if chosen.endpoint_id == request.preferred:
                return request.permit
            self.permits.give_back(request.preferred, request.permit)
        if not chosen.needs_permit:
            return None
        return self.permits.acquire(request.service, chosen, request.account)

    def place(self, route_request):
        """Choose the endpoint of a peer's request, which the peer sends.

        Parameters
        ----------
        route_request : RouteRequest
            The request; its version shares are replaced by the active ones.

        Returns
        -------
        Placed or None
            The endpoint and its permit; None if none accepts new work.
        """
        request = self._avoid_exhausted(route_request)
        while True:
            match self._actor.ask(_Place(request)):
                case routing.Chosen() as chosen:
                    permit = self._draw_permit(chosen, request)
                    if permit is not None or not chosen.needs_permit:
                        self._report_if_long(chosen)
                        return Placed(chosen, permit)
                    self._remove_prompt(chosen)
                    request = self._avoid(request, chosen.endpoint_id)
                case _:
                    return None

    def _remove_prompt(self, chosen):
        """Take back a peer's prompt that is not sent to an endpoint."""
        self.change(
            lambda actor, now_s: actor.view.add_peer_prompt(
                chosen.endpoint_id, -chosen.compute_s, now_s
            )
        )

    def _report_if_long(self, chosen):
        """Report a long prompt, which delays others at its endpoint."""
        if chosen.compute_s >= MIN_REPORTED_PROMPT_S:
            self.on_long_prompt(chosen)

    def finish(
        self,
        route,
        kind=None,
        fingerprint="",
        first_byte_s=None,
        is_answering=False,
        parts=(),
    ):
        """Release the route of an attempt and report the result.

        Parameters
        ----------
        route : Route
            Route returned by `choose`.
        kind : FailureKind or None
            Kind of the failure; None for a successful attempt.
        fingerprint : str
            Fingerprint of the request, needed for a crash.
        first_byte_s : float or None
            Time to the first byte, in seconds; None for the time since the
            start of the attempt.
        is_answering : bool
            Whether part of the answer had been received.
        parts : tuple of str
            Parts of the prompt that other requests may have too.

        Returns
        -------
        bool
            Whether the request is quarantined for crashing endpoints.
        """
        if route.permit is not None:
            self.permits.give_back(route.endpoint_id, route.permit)
        is_crash = kind is endpoints.FailureKind.CRASHED
        message = _Finish(route, kind, fingerprint, is_answering, parts)
        is_quarantined = False
        if is_crash:
            verdict = self._actor.ask(message)
            is_quarantined = verdict.is_quarantined
            if verdict.part_crash is not None:
                self.on_part_crash(verdict.part_crash)
            if verdict.is_recorded:
                self.on_crash(fingerprint, route.endpoint_id, is_quarantined)
        else:
            self._actor.tell(message)
        if first_byte_s is None:
            first_byte_s = self._clock.now_s() - route.work.started_at_s
        self.on_attempt_end(
            attempts.AttemptResult(route, kind, first_byte_s, is_quarantined)
        )
        return is_quarantined

    def decide_retry(
        self, attempt, kind, is_idempotent, deadline_s, may_have_run
    ):
        """Return the RetryAfter of a failed attempt.

        Parameters
        ----------
        attempt : int
            Number of the attempt that failed, from 1.
        kind : FailureKind
            Kind of the failure.
        is_idempotent : bool
            Whether the request may run twice.
        deadline_s : float
            Deadline of the request, in Unix seconds.
        may_have_run : bool
            Whether an earlier attempt may have run.

        Raises
        ------
        RefusedError
            When no retry is allowed.
        """
        decision = self._actor.ask(
            _DecideRetry(
                attempt,
                kind,
                is_idempotent,
                self._to_monotonic(deadline_s),
                may_have_run,
            )
        )
        match decision:
            case retry.FailRequest(refusal):
                raise errors.RefusedError(refusal)
        self.on_retry()
        return decision

    def charge(self, account, service, cost, fingerprint, parts=()):
        """Charge a request to the quota of its client account.

        Parameters
        ----------
        account, service : str
            Client account and service of the request.
        cost : float
            Cost of the request in the unit of the account's quota.
        fingerprint : str
            Fingerprint of the request, checked by the quarantine.
        parts : tuple of str
            Parts of its prompt, checked by the quarantine of parts.

        Returns
        -------
        None or CreditShortfall
            None when the request is charged. CreditShortfall when credit
            has to be borrowed from peers first; `reconcile` then charges
            the request.

        Raises
        ------
        RefusedError
            When the account is over its quota, or the request is
            quarantined for crashing endpoints.
        """
        return self._ask(_Charge(account, service, cost, fingerprint, parts))

    def reconcile(self, account, service, cost, borrowed):
        """Charge a request after credit was requested from peers.

        Parameters
        ----------
        account, service : str
            Client account and service of the request.
        cost : float
            Cost of the request in the unit of the account's quota.
        borrowed : BorrowedCredit
            Credit and debt reported by the peers.

        Raises
        ------
        RefusedError
            When the account is over its quota.
        """
        self._ask(_Reconcile(account, service, cost, borrowed))

    def accept(self, service, fingerprint, exceeded, parts=()):
        """Accept a request that a peer has charged to its account.

        Parameters
        ----------
        service : str
            Service of the request.
        fingerprint : str
            Fingerprint of the request, checked by the quarantine.
        exceeded : QuotaExceeded or None
            Outcome of the charge.
        parts : tuple of str
            Parts of its prompt, checked by the quarantine of parts.

        Raises
        ------
        RefusedError
            When the account is over its quota, or the request is
            quarantined for crashing endpoints.
        """
        self._ask(_Accept(service, fingerprint, exceeded, parts))

    def spend_retry(self, service):
        """Draw a retry from a service's budget; return whether allowed."""
        is_allowed = self._actor.ask(_SpendRetry(service))
        if is_allowed:
            self.on_retry()
        return is_allowed

    def report_load(self, route, load):
        """Update the load that an endpoint reports; None is ignored."""
        if load is not None:
            self._actor.tell(_ReportLoad(route, load))

    def report_first_token(self, route, first_s):
        """Report the time to the first token of an attempt, in seconds."""
        self._actor.tell(_ReportFirstToken(route, first_s))

    def report_leaving(self, endpoint_id):
        """Report that an answer of an endpoint says that it leaves."""
        self._actor.tell(_ReportLeaving(endpoint_id, self.on_endpoint_leaving))

    def report_pause(self, endpoint_id, pause_s):
        """Report that an endpoint wants no requests for some seconds."""
        self._actor.tell(_ReportPause(endpoint_id, pause_s))

    def report_brittle(self, route, rejections):
        """Report whether an answer says that its endpoint is brittle.

        Parameters
        ----------
        route : Route
            Route of the attempt.
        rejections : int or None
            Rejections in a second that the endpoint bears; None when it does
            not say that it is brittle.
        """
        if rejections != route.chosen.brittle_rejections:
            self._actor.tell(_ReportBrittle(route.service, rejections))

    def report_rate(self, route, rate_limit):
        """Report the rate limit that an answer names, or that it names none.

        Parameters
        ----------
        route : Route
            Route of the attempt.
        rate_limit : RateLimit or None
            The limit; one that cannot be read is ignored.
        """
        if rate_limit is None:
            if route.rate_per_s is not None:
                self._actor.tell(_ReportRate(route.endpoint_id, None))
        else:
            self.report_named_rate(route.endpoint_id, rate_limit)

    def report_named_rate(self, endpoint_id, rate_limit):
        """Report the RateLimit that an endpoint names, if it can be read."""
        if rate_limit.per_s is not None:
            self._actor.tell(_ReportRate(endpoint_id, rate_limit.per_s))

    def get_pause_s(self, service, account=""):
        """Return the time until an endpoint of a service wants work again.

        Parameters
        ----------
        service : str
            The service.
        account : str
            Client account of the request.

        Returns
        -------
        float
            Time until the first pause or wait for a permit ends, in seconds;
            0 when there is none.
        """
        pause_s = self.read(
            lambda actor, now_s: actor.view.get_pause_s(service, now_s)
        )
        wait_s = self.permits.get_wait_s(service, account)
        return min(filter(None, (pause_s, wait_s)), default=0.0)

    def list_other_addresses(self, route, count):
        """Return addresses of other endpoints that accept requests.

        Parameters
        ----------
        route : Route
            Route of an attempt, whose service and version are looked up.
        count : int
            Maximum number of addresses.
        """
        group = self.read(
            lambda actor, now_s: actor.view.get_group(
                route.service, route.version
            ).list_least_loaded(count + 1)
        )
        addresses = [record.endpoint.address for record in group]
        return [each for each in addresses if each != route.address][:count]

    def report_begun(self, parts):
        """Report that an answer to a prompt with these parts has begun."""
        if parts:
            self._actor.tell(_ReportBegun(parts, self.on_part_cleared))

    def change(self, apply):
        """Run a function of (actor, now_s) in the actor, without waiting."""
        self._actor.tell(_Change(apply))

    def read(self, query):
        """Run a function of (actor, now_s) in the actor; return its result."""
        return self._actor.ask(_Query(query))

    def _ask(self, message):
        """Return the actor's answer; raise RefusedError for a Refusal."""
        answer = self._actor.ask(message)
        if isinstance(answer, errors.Refusal):
            raise errors.RefusedError(answer)
        return answer

    def _to_monotonic(self, wall_s):
        """Convert a wall-clock time to monotonic time, in seconds."""
        return wall_s - self._clock.wall_s() + self._clock.now_s()


def apply_environment(environment, actor, now_s):
    """Apply the account weights and service versions of a document.

    Parameters
    ----------
    environment : Environment
        The active document.
    actor : DispatchActor
        The actor to update; called in its thread.
    now_s : float
        Monotonic time, in seconds.

    Notes
    -----
    The capacity is set before the accounts: the token bucket of an account
    starts full, with a size that depends on the capacity.
    """
    weights = {
        account.name: account.weight
        for account in environment.accounts.values()
    }
    actor.admission.set_capacity(environment.capacity_tokens_per_s, now_s)
    actor.admission.set_accounts(weights, now_s)
    actor.shares.set_versions(
        {
            service.name: service.version
            for service in environment.services.values()
        }
    )


def _refuse_over_quota(exceeded):
    """Return the refusal of a request that exceeds its account's quota."""
    return errors.Refusal(
        errors.RefusalKind.OVER_SHARE,
        f"client account {exceeded.account} is over its quota: credit "
        f"{exceeded.credit:.0f}, share {exceeded.fraction:.3f}, "
        f"refill {exceeded.rate_per_s:.0f} per second",
        "send the request again after the Retry-After time",
        errors.ExecutionStatus.NOT_RUN,
        exceeded.wait_s,
    )


def _select_main_version(shares):
    """Return the shares for a retry: only the version with the largest share.

    Retries avoid a version that is still being rolled out, since it may
    be the cause of the failure.
    """
    if not shares:
        return shares
    return {max(sorted(shares), key=shares.get): 1.0}
