"""Limits of the client accounts: admission, quotas and retry budgets."""

import attrs

from mulberryhollow.coordination import admission
from mulberryhollow.coordination import limits
from mulberryhollow.coordination import retry
from mulberryhollow import errors
from mulberryhollow.serving.dispatch import calls
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment as environment_module

__all__ = [
    "Accept",
    "AccountCalls",
    "AccountLimits",
    "AccountMessage",
    "Admit",
    "Charge",
    "DecideRetry",
    "GiveBackRetry",
    "Reconcile",
    "Release",
    "SpendRetry",
    "SpentRetry",
]


@attrs.frozen
class AccountMessage:
    """A message about accounts to the dispatcher's actor."""


@attrs.frozen
class Admit(AccountMessage):
    """Admit a request of a client account."""

    account: str
    request_class: environment_module.RequestClass
    cost_tokens: float
    fingerprint: str


@attrs.frozen
class Release(AccountMessage):
    """Release an admission at the end of its request."""

    admitted: admission.Admitted


@attrs.frozen
class Charge(AccountMessage):
    """Charge a request to the quota of its account."""

    account: str
    service: str
    cost: float
    fingerprint: str
    parts: tuple


@attrs.frozen
class Reconcile(AccountMessage):
    """Charge a request after credit was requested from peers."""

    account: str
    service: str
    cost: float
    borrowed: object


@attrs.frozen
class Accept(AccountMessage):
    """Accept a request that a peer has charged."""

    service: str
    fingerprint: str
    exceeded: limits.QuotaExceeded | None
    parts: tuple


@attrs.frozen
class SpendRetry(AccountMessage):
    """Draw a retry from the budget of a service."""

    service: str
    is_speculative: bool


@attrs.frozen
class SpentRetry:
    """A retry that was drawn from the budget of a service.

    Parameters
    ----------
    service : str
        The service.
    spent_s : float
        Time at which it was drawn, in seconds.
    is_speculative : bool
        Whether an earlier attempt of the request goes on.
    """

    service: str
    spent_s: float
    is_speculative: bool


@attrs.frozen
class GiveBackRetry(AccountMessage):
    """Give back a retry that was not sent."""

    retry: SpentRetry


@attrs.frozen
class DecideRetry(AccountMessage):
    """Decide whether a failed attempt is retried."""

    attempt: int
    kind: endpoints.FailureKind
    is_idempotent: bool
    deadline_s: float
    may_have_run: bool


class AccountLimits:
    """Admission, quotas and retry budgets of the client accounts.

    Changed only in the thread of the actor that owns it.

    Parameters
    ----------
    rng : random.Random
        Source of the retry jitter.
    now_s : float
        Monotonic time, in seconds.
    check_quarantines : callable
        Called with the fingerprint of a request and the parts of its
        prompt; returns the Refusal of a quarantined request, or None.

    Attributes
    ----------
    admission : Admission
        Shares of the client accounts in the capacity, for admitted requests.
    retries : RetryPolicy
        Backoff and retry budget of admitted requests.
    quotas : QuotaTable
        Quotas of the client accounts, for forwarded requests.
    shared_retries : SharedRetryBudget
        Retry budget of forwarded requests, by service.
    """

    def __init__(self, rng, now_s, check_quarantines):
        self.admission = admission.Admission(1.0, {}, now_s)
        self.retries = retry.RetryPolicy(rng=rng)
        self.quotas = limits.QuotaTable()
        self.shared_retries = limits.SharedRetryBudget()
        self._check_quarantines = check_quarantines

    def handle(self, message, now_s):
        """Process one AccountMessage and return its result."""
        match message:
            case Admit():
                return self._admit(message, now_s)
            case Release(admitted):
                return self.admission.finish(admitted, now_s)
            case DecideRetry():
                return self._decide_retry(message, now_s)
            case Charge():
                return self._charge(message, now_s)
            case Reconcile():
                return self._reconcile(message, now_s)
            case Accept():
                return self._accept(message, now_s)
            case SpendRetry(service, is_speculative):
                return self._spend_retry(service, is_speculative, now_s)
            case GiveBackRetry(drawn):
                self.shared_retries.give_back(
                    drawn.service, drawn.spent_s, drawn.is_speculative
                )

    def _charge(self, message, now_s):
        """Return None if charged, else CreditShortfall or the Refusal."""
        refusal = self._check_quarantines(message.fingerprint, message.parts)
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
        refusal = self._check_quarantines(message.fingerprint, message.parts)
        if refusal is not None:
            return refusal
        return self._finish_charge(message.exceeded, message.service, now_s)

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
        refusal = self._check_quarantines(message.fingerprint)
        if refusal is not None:
            return refusal
        return self.admission.admit(
            message.account, message.request_class, message.cost_tokens, now_s
        )

    def _spend_retry(self, service, is_speculative, now_s):
        """Return the SpentRetry, or None when none is left."""
        if not self.shared_retries.spend(service, now_s, is_speculative):
            return None
        return SpentRetry(service, now_s, is_speculative)

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


class AccountCalls(calls.ActorCalls):
    """Thread-safe calls that admit and charge requests and their retries.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running DispatchActor.
    clock : Clock
        Source of time, the same as the actor's.

    Notes
    -----
    `on_retry` is called without arguments for each retry; for one of a
    forwarded request by `DrawnRetry`, once it has been sent.
    """

    def __init__(self, actor, clock):
        super().__init__(actor, clock)
        self.on_retry = lambda: None

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
            Admit(
                request.account,
                request.request_class,
                cost_tokens,
                fingerprint,
            )
        )

    def release(self, admitted):
        """Release an admission at the end of its request."""
        self._actor.tell(Release(admitted))

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
            DecideRetry(
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
        return self._ask(Charge(account, service, cost, fingerprint, parts))

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
        self._ask(Reconcile(account, service, cost, borrowed))

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
        self._ask(Accept(service, fingerprint, exceeded, parts))

    def spend_retry(self, service, is_speculative=False):
        """Draw a retry from a service's budget.

        Parameters
        ----------
        service : str
            The service.
        is_speculative : bool
            Whether an earlier attempt of the request goes on.

        Returns
        -------
        SpentRetry or None
            None when none is left.
        """
        return self._actor.ask(SpendRetry(service, is_speculative))

    def give_back_retry(self, retry):
        """Give back a SpentRetry with which nothing was sent."""
        self._actor.tell(GiveBackRetry(retry))


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
