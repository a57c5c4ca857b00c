"""Attempts of requests: their routes, their ends and what follows."""

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.state import endpoints
from mulberryhollow.state import environment as environment_module

__all__ = [
    "Ended",
    "Failure",
    "Route",
    "choose_again",
    "classify_fault",
    "refuse_quarantined",
    "report_fault",
]


@attrs.frozen
class Route:
    """A chosen endpoint, with what has to be handed back at the end.

    Parameters
    ----------
    chosen : Chosen
        The endpoint and the version.
    work : Work
        The load that it was charged with.
    service : str
        Service of the request.
    request_class : RequestClass
        Its class.
    """

    chosen: routing.Chosen
    work: endpoints.Work
    service: str
    request_class: environment_module.RequestClass

    @property
    def endpoint_id(self):
        """Id of the endpoint."""
        return self.chosen.endpoint_id

    @property
    def address(self):
        """Address of the endpoint, ``host:port``."""
        return self.chosen.address

    @property
    def version(self):
        """Version that the endpoint runs."""
        return self.chosen.version


@attrs.frozen
class Ended:
    """The end of one attempt.

    Parameters
    ----------
    route : Route
        Where it went.
    kind : FailureKind or None
        How it failed; None when it gave its answer.
    first_byte_s : float
        Time to its first byte or its failure, in seconds.
    is_quarantined : bool
        Whether the request is known to crash endpoints.
    """

    route: Route
    kind: endpoints.FailureKind | None
    first_byte_s: float
    is_quarantined: bool


def choose_again(dispatcher, request, excluded, keeps_version=False):
    """Choose the endpoint of an attempt that may be repeated anywhere.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses.
    request : CallerRequest
        The request.
    excluded : set of str
        Ids of endpoints that failed it; emptied when no other is left.
    keeps_version : bool
        Whether it stays with its version, since it has a part of the
        answer.

    Raises
    ------
    RefusedError
        When no endpoint takes it.
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
    """What a failed attempt was taken for.

    Parameters
    ----------
    kind : FailureKind
        How it failed.
    is_quarantined : bool
        Whether the request is refused from now on for its crashes.
    """

    kind: endpoints.FailureKind
    is_quarantined: bool


def report_fault(
    dispatcher, client, route, fault, fingerprint, is_answering=False
):
    """Hand the route of a failed attempt back; return its Failure.

    Parameters
    ----------
    dispatcher : Dispatcher
        Takes the route.
    client : EndpointClient
        Finds out whether the endpoint is gone.
    route : Route
        Route of the attempt.
    fault : object
        A tagged outcome of `coordination.streams`.
    fingerprint : str
        Fingerprint of the request.
    is_answering : bool
        Whether a part of the answer had arrived.
    """
    is_broken = isinstance(fault, streams.Broken)
    is_gone = is_broken and not client.is_alive(route.address)
    kind = classify_fault(fault, is_gone)
    is_quarantined = dispatcher.finish(
        route, kind, fingerprint, is_answering=is_answering
    )
    return Failure(kind, is_quarantined)


def refuse_quarantined():
    """Return the refusal of a request that has crashed endpoints."""
    return errors.RefusedError(
        errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "this request took down the endpoints that ran it",
            "change the request before sending it again",
            errors.Ran.PARTLY,
        )
    )
