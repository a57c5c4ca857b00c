"""Retry policy: whether and when a failed request is retried."""

import dataclasses
import random

import attrs

from mulberryhollow.coordination.retry.budget import RetryBudget
from mulberryhollow.errors import ExecutionStatus
from mulberryhollow.errors import Refusal
from mulberryhollow.errors import RefusalKind
from mulberryhollow.state.endpoints import FailureKind

__all__ = ["FailRequest", "RetryAfter", "RetryPolicy", "RetryRules"]


@attrs.frozen
class RetryRules:
    """Limits of the retries of one request.

    Parameters
    ----------
    max_attempts : int
        Maximum number of attempts, including the first.
    base_delay_s, max_delay_s : float
        Upper bounds of the first delay and of any delay, in seconds.
    min_remaining_s : float
        Minimum time before the deadline to start an attempt, in seconds.
    retry_after_s : float
        Retry time given to the caller of a failed request, in seconds.
    """

    max_attempts: int = 4
    base_delay_s: float = 0.05
    max_delay_s: float = 1.0
    min_remaining_s: float = 0.05
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class RetryAfter:
    """The request is retried.

    Parameters
    ----------
    delay_s : float
        Delay before the next attempt, in seconds.
    fresh_connection : bool
        Whether to open a new connection instead of using a pooled one.
    may_have_run : bool
        Argument for the next call of `RetryPolicy.decide` for the request.
    """

    delay_s: float
    fresh_connection: bool
    may_have_run: bool


@dataclasses.dataclass(frozen=True)
class FailRequest:
    """The request fails.

    Parameters
    ----------
    refusal : Refusal
        The final answer to the caller.
    """

    refusal: Refusal


class RetryPolicy:
    """Exponential backoff with full jitter and one retry budget a node.

    Parameters
    ----------
    rng : random.Random or None
        Source of the jitter; seeded with 0 when None.
    budget : RetryBudget or None
        Budget for all requests of the node; `RetryBudget()` when None.
    rules : RetryRules or None
        The limits; `RetryRules()` when None.
    """

    def __init__(self, rng=None, budget=None, rules=None):
        self.budget = budget or RetryBudget()
        self._rng = rng or random.Random(0)
        self._rules = rules or RetryRules()

    def decide(
        self,
        attempt,
        kind,
        idempotent,
        deadline_s,
        now_s,
        may_have_run=False,
    ):
        """Decide whether to retry after a failed attempt.

        Parameters
        ----------
        attempt : int
            Number of attempts made so far, from 1.
        kind : FailureKind
            Failure of the last attempt.
        idempotent : bool
            Whether the request may be executed twice.
        deadline_s : float
            When the caller stops waiting, in seconds of the clock.
        now_s : float
            The time, in seconds.
        may_have_run : bool
            Whether an earlier attempt may have been executed.

        Returns
        -------
        RetryAfter or FailRequest
            A retry always starts before the deadline.
        """
        may_have_run = may_have_run or not _implies_not_run(kind)
        if may_have_run and not idempotent:
            return FailRequest(_refuse_unknown())
        if attempt >= self._rules.max_attempts:
            return self._fail(kind, may_have_run)
        remaining_s = deadline_s - now_s - self._rules.min_remaining_s
        if remaining_s <= 0:
            return FailRequest(_refuse_late(may_have_run))
        if not self.budget.spend():
            return self._fail(kind, may_have_run)
        delay_s = min(remaining_s, self._draw_delay(attempt, kind))
        return RetryAfter(delay_s, _needs_fresh(kind), may_have_run)

    def _draw_delay(self, attempt, kind):
        """Return a delay with full jitter, in seconds."""
        if kind is FailureKind.SILENT_POOLED:
            return 0.0
        rules = self._rules
        max_delay_s = min(
            rules.max_delay_s, rules.base_delay_s * 2 ** (attempt - 1)
        )
        return self._rng.uniform(0.0, max_delay_s)

    def _fail(self, kind, may_have_run):
        """Return the decision that ends a request without another attempt."""
        incomplete = kind is FailureKind.INCOMPLETE
        return FailRequest(
            Refusal(
                RefusalKind.INCOMPLETE
                if incomplete
                else RefusalKind.NO_CAPACITY,
                f"the last attempt failed: {kind.value}",
                "send the request again after the given time",
                _get_execution_status(may_have_run),
                self._rules.retry_after_s,
            )
        )


def _implies_not_run(kind):
    """Return whether a failure implies that the request was not executed."""
    match kind:
        case FailureKind.CONNECT_FAILED | FailureKind.REFUSED:
            return True
        case _:
            return False


def _needs_fresh(kind):
    """Return whether the next attempt needs a new connection."""
    match kind:
        case FailureKind.SILENT_POOLED | FailureKind.SILENT_FRESH:
            return True
        case FailureKind.CONNECTION_LOST | FailureKind.CRASHED:
            return True
        case _:
            return False


def _get_execution_status(may_have_run):
    """Return the execution status of a request."""
    return ExecutionStatus.UNKNOWN if may_have_run else ExecutionStatus.NOT_RUN


def _refuse_unknown():
    """Return the refusal of a non-idempotent request with unknown outcome."""
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        "the endpoint may have executed the request before it failed",
        "ask for the outcome with the same Idempotency-Key",
        ExecutionStatus.UNKNOWN,
    )


def _refuse_late(may_have_run):
    """Return the refusal of a request whose deadline is too close."""
    return Refusal(
        RefusalKind.DEADLINE_PASSED,
        "the deadline leaves no time for another attempt",
        "send the request again with a later deadline",
        _get_execution_status(may_have_run),
    )
