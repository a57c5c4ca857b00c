"""Reports the attempts that end before their answers are complete."""

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow.serving import attempts

__all__ = ["report_left", "report_overdue"]


def report_left(dispatcher, request, route, event_age_s):
    """Release an attempt whose caller has left.

    A stream that was going on shows that its endpoint is sound. Any other
    attempt shows nothing: the endpoint may be the reason why the caller left.

    Parameters
    ----------
    dispatcher : Dispatcher
        Releases the route.
    request : ForwardRequest
        The request.
    route : Route
        Route of the attempt.
    event_age_s : float or None
        Time since the last event, in seconds; None for no event. It contains
        the time in which a slow caller was waited for, and nothing is known
        of the endpoint.
    """
    dispatcher.finish(
        route,
        is_abandoned=True,
        is_sound=_is_going_on(request, event_age_s),
    )


def report_overdue(dispatcher, client, request, route, silence_s, event_age_s):
    """Release an attempt whose stream is not complete at its deadline.

    That it was going on shows that its endpoint is sound: a stream may have
    no end.

    Parameters
    ----------
    dispatcher, request, route, event_age_s
        As for `report_left`.
    client : EndpointClient
        As for `attempts.report_fault`.
    silence_s : float
        Time waited for the endpoint since its last event, in seconds.
    """
    if decisions.is_silent(request, silence_s):
        attempts.report_fault(
            dispatcher,
            client,
            route,
            streams.Silent(silence_s),
            request.fingerprint,
            is_answering=True,
            parts=request.parts,
        )
    else:
        dispatcher.finish(
            route,
            has_failed=True,
            is_sound=_is_going_on(request, event_age_s),
        )


def _is_going_on(request, event_age_s):
    """Return whether a stream has sent an event within the longest gap."""
    return event_age_s is not None and not decisions.is_silent(
        request, event_age_s
    )
