"""What follows a failed attempt."""

import dataclasses

import attrs

from mulberryhollow.coordination.streams import fault as faults
from mulberryhollow import errors

__all__ = [
    "MAX_OFFERS",
    "Attempts",
    "GiveUp",
    "GoOn",
    "decide_next",
    "refuse_full",
    "refuse_late",
]

MAX_OFFERS = 4
"""Endpoints that one request is offered to, refusals included.

Each endpoint that refuses says that it is full; after a few of them the
others most likely are too.
"""

RETURN_GOALS = 0.25
"""Part of its goal after which a refused request may come back."""

SPREAD = 1.0
"""Further part of that time over which returns are spread."""


@attrs.define
class Attempts:
    """Attempts of one request so far.

    Parameters
    ----------
    offers : int
        Endpoints that it was sent to, or that could not be reached.
    runs : int
        Endpoints that may have run it.
    """

    offers: int = 0
    runs: int = 0

    def record(self, fault):
        """Count a failed attempt."""
        self.offers += 1
        self.runs += faults.has_run(fault)


@dataclasses.dataclass(frozen=True)
class GoOn:
    """The request is offered to another endpoint at once.

    Parameters
    ----------
    draws_budget : bool
        Whether it draws on the retry budget, because the failed attempt
        reached an endpoint.
    """

    draws_budget: bool


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """The request gets its final answer.

    Parameters
    ----------
    refusal : Refusal
        The final answer.
    """

    refusal: errors.Refusal


def decide_next(request, made, fault, now_s, spread):
    """Decide what follows a failed attempt.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    made : Attempts
        Its attempts, the failed one included.
    fault : object
        How it failed, a tagged outcome of `coordination.streams`.
    now_s : float
        Monotonic time, in seconds.
    spread : float
        Random number from 0 to 1, which spreads the returns.

    Returns
    -------
    GoOn or GiveUp
    """
    if now_s >= request.deadline_s:
        return GiveUp(refuse_late(made))
    if made.runs and not request.kind.is_repeatable:
        return GiveUp(_refuse_unknown(fault))
    if made.runs >= request.max_endpoints:
        return GiveUp(_refuse_unknown(fault))
    if made.offers >= MAX_OFFERS:
        return GiveUp(refuse_full(request, made, spread))
    return GoOn(draws_budget=not isinstance(fault, faults.NotSent))


def refuse_full(request, made, spread):
    """Return the refusal of a request that no endpoint has room for.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    made : Attempts
        Its attempts.
    spread : float
        Random number from 0 to 1, which spreads the returns.
    """
    return_s = RETURN_GOALS * request.goal_s * (1.0 + SPREAD * spread)
    return errors.Refusal(
        errors.RefusalKind.NO_CAPACITY,
        f"no endpoint of service {request.service} has room",
        "send the request again after the given time",
        _tell_ran(made),
        return_s,
    )


def refuse_late(made):
    """Return the final answer of a request whose time is up.

    Parameters
    ----------
    made : Attempts
        Its attempts.
    """
    return errors.Refusal(
        errors.RefusalKind.DEADLINE_PASSED,
        "the time of the request is up",
        "send the request again with a later deadline",
        _tell_ran(made),
    )


def _refuse_unknown(fault):
    """Return the final answer of a request that may have run."""
    return errors.Refusal(
        errors.RefusalKind.OUTCOME_UNKNOWN,
        f"the endpoint may have run the request: {fault}",
        "find out what became of it before sending it again",
        errors.Ran.UNKNOWN,
    )


def _tell_ran(made):
    """Return what is known of whether the request ran."""
    return errors.Ran.UNKNOWN if made.runs else errors.Ran.NOT_RUN
