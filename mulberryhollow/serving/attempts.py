"""Attempts of requests: routes, results and classification of faults."""

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment as environment_module

__all__ = [
    "AnswerTimes",
    "AttemptResult",
    "Failure",
    "Route",
    "choose_with_fallback",
    "classify_fault",
    "refuse_quarantined",
    "report_fault",
]


MAX_TESTED_OTHERS = 2
"""Number of other endpoints tested before a crash is reported.

Another one may have crashed at the same time.
"""


@attrs.frozen
class Route:
    """A chosen endpoint and the load that the attempt adds to it.

    To be released by `Dispatcher.finish` when the attempt ends, or by
    `Dispatcher.withdraw` when nothing was sent.

    Parameters
    ----------
    chosen : Chosen
        Chosen endpoint and version.
    work : Work
        Load that is counted on the endpoint for this attempt.
    service : str
        Service of the request.
    request_class : RequestClass
        Class of the request.
    permit : Permit or None
        Permit of the attempt, if the endpoint requires one.
    """

    chosen: routing.Chosen
    work: endpoints.Work
    service: str
    request_class: environment_module.RequestClass
    permit: routing.Permit | None = None

    @property
    def endpoint_id(self):
        """Id of the endpoint."""
        return self.chosen.endpoint_id

    @property
    def address(self):
        """Address of the endpoint, ``host:port``."""
        return self.chosen.address

    @property
    def rate_per_s(self):
        """Rate limit that the endpoint was known to name; None for none."""
        return self.chosen.rate_per_s

    @property
    def version(self):
        """Version that the endpoint runs."""
        return self.chosen.version


@attrs.frozen
class AnswerTimes:
    """Times of an answer that was received in full from one endpoint.

    Parameters
    ----------
    first_s : float
        Time from sending the request to the first event, in seconds; to the
        end of an answer that is not a stream.
    total_s : float
        Time from sending the request to the end of the answer, in seconds.
    gap_s : float
        Median time between two events, in seconds; 0 if it is not known.
    events : int
        Number of events; 0 for an answer that is not a stream.
    load : Load or None
        Load that the endpoint reported with the head of the answer.
    """

    first_s: float
    total_s: float
    gap_s: float = 0.0
    events: int = 0
    load: object = None


@attrs.frozen
class AttemptResult:
    """Result of one attempt.

    Parameters
    ----------
    route : Route
        Route of the attempt.
    kind : FailureKind or None
        Kind of the failure; None for a successful attempt.
    first_byte_s : float
        Time to the first byte or to the failure, in seconds.
    is_quarantined : bool
        Whether the request is quarantined for crashing endpoints.
    has_failed : bool
        Whether the endpoint answered with a server error that was passed on,
        or did not complete its answer in time. Its health is not affected.
    is_abandoned : bool
        Whether the attempt ended because the caller has left, or before
        anything was sent.
    """

    route: Route
    kind: endpoints.FailureKind | None
    first_byte_s: float
    is_quarantined: bool
    has_failed: bool = False
    is_abandoned: bool = False


def choose_with_fallback(dispatcher, request, excluded, keeps_version=False):
    """Choose the endpoint of an attempt, reusing failed ones as last resort.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses the endpoint.
    request : CallerRequest
        The request.
    excluded : set of str
        Ids of endpoints that failed the request; cleared when no other
        endpoint accepts it.
    keeps_version : bool
        Whether the request stays at its version because part of the answer
        was produced there.

    Raises
    ------
    RefusedError
        When no endpoint accepts the request.
    """
    try:
        return dispatcher.choose(request, excluded, True, keeps_version)
    except errors.RefusedError:
        if not excluded:
            raise
    excluded.clear()
    return dispatcher.choose(request, excluded, True, keeps_version)


def classify_fault(fault, is_gone):
    """Return the FailureKind of a fault.

    Parameters
    ----------
    fault : object
        A tagged outcome of `coordination.streams`.
    is_gone : bool
        Whether the endpoint refused a connection after the fault.
    """
    match fault:
        case streams.NotSent():
            return endpoints.FailureKind.CONNECT_FAILED
        case streams.RefusedByEndpoint():
            return endpoints.FailureKind.REFUSED
        case streams.Failed():
            return endpoints.FailureKind.FAILED
        case streams.Silent():
            return endpoints.FailureKind.SILENT_FRESH
        case streams.Broken() if is_gone:
            return endpoints.FailureKind.CRASHED
        case streams.Broken():
            return endpoints.FailureKind.CONNECTION_LOST
        case _:
            return endpoints.FailureKind.INCOMPLETE


@attrs.frozen
class Failure:
    """Classification of a failed attempt.

    Parameters
    ----------
    kind : FailureKind
        Kind of the failure.
    is_quarantined : bool
        Whether the request is now quarantined for crashing endpoints.
    """

    kind: endpoints.FailureKind
    is_quarantined: bool


def report_fault(
    dispatcher,
    client,
    route,
    fault,
    fingerprint,
    is_answering=False,
    parts=(),
):
    """Report a failed attempt to the dispatcher; return its Failure.

    Parameters
    ----------
    dispatcher : Dispatcher
        Releases the route.
    client : EndpointClient
        Tests whether the endpoint's process has ended.
    route : Route
        Route of the attempt.
    fault : object
        A tagged outcome of `coordination.streams`.
    fingerprint : str
        Fingerprint of the request.
    is_answering : bool
        Whether part of the answer had been received.
    parts : tuple of str
        Parts of the request's prompt that other requests may have too.
    """
    is_gone = (
        isinstance(fault, streams.Broken)
        and client.has_ended(route.address)
        and _reaches_others(dispatcher, client, route)
    )
    kind = classify_fault(fault, is_gone)
    is_quarantined = dispatcher.finish(
        route, kind, fingerprint, is_answering=is_answering, parts=parts
    )
    return Failure(kind, is_quarantined)


def _reaches_others(dispatcher, client, route):
    """Return whether the service's other endpoints accept connections.

    If none of a few does, this instance is cut off, and what it lost says
    nothing about the endpoint. Without other endpoints the answer is yes.
    """
    others = dispatcher.list_other_addresses(route, MAX_TESTED_OTHERS)
    return not others or any(map(client.is_alive, others))


def refuse_quarantined():
    """Return the refusal of a request that has crashed endpoints."""
    return errors.RefusedError(
        errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "this request crashed the endpoints that ran it",
            "change the request before sending it again",
            errors.ExecutionStatus.PARTLY,
        )
    )
