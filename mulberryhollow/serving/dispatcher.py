"""Actor that owns admission, quotas, routing, retries and quarantine.

What it owns is kept by the modules of `mulberryhollow.serving.dispatch`:
the endpoints, the limits of the accounts, and the crashes.
"""

import logging
import random

import attrs

from mulberryhollow import events
from mulberryhollow.serving import attempts
from mulberryhollow.serving.dispatch import account_limits
from mulberryhollow.serving.dispatch import calls
from mulberryhollow.serving.dispatch import crash_records
from mulberryhollow.serving.dispatch import endpoint_calls
from mulberryhollow.serving.dispatch.endpoint_calls import Placed
from mulberryhollow.serving.dispatch import endpoint_work
from mulberryhollow.state import endpoints
from mulberryhollow.transport import actors

__all__ = [
    "DispatchActor",
    "Dispatcher",
    "Placed",
    "apply_environment",
]


CHANGE_FAILED = events.declare(
    4005,
    logging.ERROR,
    "an update of the dispatcher state failed and was dropped",
    "report a bug with the surrounding log lines",
)


@attrs.frozen
class _Finish:
    route: attempts.Route
    kind: endpoints.FailureKind | None
    fingerprint: str
    is_answering: bool
    parts: tuple
    is_sound: bool
    on_sound: object


@attrs.frozen
class _ReportBegun:
    parts: tuple
    on_cleared: object


class DispatchActor(actors.ResilientActor):
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
    observe_rate : callable
        Stores the rate limit of an endpoint, `EndpointWork.observe_rate`.
    set_region_map : callable
        Sets the region of each failure domain, `EndpointWork.set_region_map`.
    """

    use_daemon_thread = True

    def __init__(self, clock, seed):
        super().__init__()
        rng = self._rng = random.Random(seed)
        self._clock = clock
        self.on_rate_changed = lambda endpoint_id, rate_per_s: None
        work = self._endpoint_work = endpoint_work.EndpointWork(rng)
        self.view = work.view
        self.prefixes = work.prefixes
        self.router = work.router
        self.shares = work.shares
        self.endpoint_rates = work.endpoint_rates
        self.endpoint_rooms = work.endpoint_rooms
        self.work = work.work
        self.observe_rate = work.observe_rate
        self.set_region_map = work.set_region_map
        crashes = self._crash_records = crash_records.CrashRecords()
        self.quarantine = crashes.quarantine
        self.part_quarantine = crashes.part_quarantine
        accounts = self._account_limits = account_limits.AccountLimits(
            rng, clock.now_s(), crashes.check
        )
        self.admission = accounts.admission
        self.retries = accounts.retries
        self.quotas = accounts.quotas
        self.shared_retries = accounts.shared_retries

    def on_receive(self, message):
        """Process one message and return its result."""
        now_s = self._clock.now_s()
        match message:
            case endpoint_work.EndpointMessage():
                return self._endpoint_work.handle(
                    message, now_s, self.on_rate_changed
                )
            case account_limits.AccountMessage():
                return self._account_limits.handle(message, now_s)
            case _ReportBegun(parts, on_cleared):
                self._crash_records.record_begun(parts, on_cleared)
            case _Finish():
                return self._finish(message, now_s)
            case calls.Change(apply):
                self._change(apply, now_s)
            case calls.Query(apply):
                return apply(self, now_s)

    def _change(self, apply, now_s):
        """Apply a change; an exception must not stop the actor."""
        try:
            apply(self, now_s)
        except Exception as error:  # noqa: BLE001
            events.log(CHANGE_FAILED, error=repr(error))

    def _finish(self, message, now_s):
        """Release an attempt and update the health of its endpoint."""
        self.view.finish(message.route.work, now_s)
        endpoint_id = message.route.endpoint_id
        if message.kind is None and not message.is_sound:
            return None
        if message.kind is None:
            self.view.record_success(endpoint_id)
            self.retries.budget.record_success()
            if message.fingerprint:
                self._crash_records.record_completed(
                    message.fingerprint,
                    self._clock.wall_s(),
                    message.on_sound,
                )
            return None
        if message.kind is endpoints.FailureKind.REFUSED:
            self._pause_brittle(message.route, now_s)
        verdict = crash_records.CrashVerdict()
        if message.kind is endpoints.FailureKind.CRASHED:
            crash = crash_records.Crash(
                endpoint_id,
                message.fingerprint,
                message.is_answering,
                message.parts,
            )
            verdict = self._crash_records.attribute(
                crash, self.view.get(endpoint_id), self._clock.wall_s()
            )
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


class Dispatcher(endpoint_calls.EndpointCalls, account_limits.AccountCalls):
    """Thread-safe interface of the DispatchActor for request threads.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running DispatchActor.
    clock : Clock
        Source of time, the same as the actor's.

    Notes
    -----
    `on_crash` is called with the CrashFact of a request and whether the
    request is now quarantined, `on_sound` with the SoundFact of one that was
    suspected and then completed, `on_part_crash` with the PartCrash of its
    prompt, `on_part_cleared` with a part that was suspected and to which an
    answer has begun, and `on_attempt_end` with the AttemptResult of each
    attempt.
    """

    def __init__(self, actor, clock):
        super().__init__(actor, clock)
        self.on_crash = lambda crash, is_quarantined: None
        self.on_sound = lambda sound: None
        self.on_part_crash = lambda crash: None
        self.on_part_cleared = lambda part: None
        self.on_attempt_end = lambda ended: None

    def finish(
        self,
        route,
        kind=None,
        fingerprint="",
        first_byte_s=None,
        is_answering=False,
        parts=(),
        has_failed=False,
        is_abandoned=False,
        is_sound=True,
    ):
        """Release the route of an attempt and report the result.

        Parameters
        ----------
        route : Route
            Route returned by `choose`.
        kind : FailureKind or None
            Kind of the failure; None for a successful attempt.
        fingerprint : str
            Fingerprint of the request; empty if it says nothing about the
            request that the attempt has ended so.
        first_byte_s : float or None
            Time to the first byte, in seconds; None for the time since the
            start of the attempt.
        is_answering : bool
            Whether part of the answer had been received.
        parts : tuple of str
            Parts of the prompt that other requests may have too.
        has_failed, is_abandoned : bool
            As in `AttemptResult`.
        is_sound : bool
            Whether an attempt without a failure shows that its endpoint is
            sound.

        Returns
        -------
        bool
            Whether the request is quarantined for crashing endpoints.
        """
        if route.permit is not None:
            self.permits.give_back(route.endpoint_id, route.permit)
        is_crash = kind is endpoints.FailureKind.CRASHED
        message = _Finish(
            route,
            kind,
            fingerprint,
            is_answering,
            parts,
            is_sound,
            self.on_sound,
        )
        is_quarantined = False
        if is_crash:
            verdict = self._actor.ask(message)
            is_quarantined = verdict.is_quarantined
            if verdict.part_crash is not None:
                self.on_part_crash(verdict.part_crash)
            if verdict.crash is not None:
                self.on_crash(verdict.crash, is_quarantined)
        else:
            self._actor.tell(message)
        if first_byte_s is None:
            first_byte_s = self._clock.now_s() - route.work.started_at_s
        self.on_attempt_end(
            attempts.AttemptResult(
                route,
                kind,
                first_byte_s,
                is_quarantined,
                has_failed,
                is_abandoned,
            )
        )
        return is_quarantined

    def withdraw(self, route):
        """Release the route of an attempt of which nothing was sent.

        Parameters
        ----------
        route : Route
            Route returned by `choose`.
        """
        if route.permit is not None:
            self.permits.give_back(route.endpoint_id, route.permit)
        self._actor.tell(endpoint_work.Withdraw(route))
        self.on_attempt_end(
            attempts.AttemptResult(route, None, 0.0, False, is_abandoned=True)
        )

    def report_begun(self, parts):
        """Report that an answer to a prompt with these parts has begun."""
        if parts:
            self._actor.tell(_ReportBegun(parts, self.on_part_cleared))


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
