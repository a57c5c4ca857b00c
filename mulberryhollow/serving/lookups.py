"""Handles look-ups, which are safe to retry at another endpoint."""

from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow.serving import attempts

__all__ = ["LookupHandler"]

ATTEMPT_TIMEOUT_S = 1.0
"""Inactivity timeout of one attempt, in seconds."""


class LookupHandler:
    """Answers look-ups, with retries, within their deadline.

    Parameters
    ----------
    endpoints : EndpointClient
        Client of the endpoints.
    dispatcher : Dispatcher
        Chooses endpoints and decides about retries.
    clock : Clock
        Source of time.
    """

    def __init__(self, endpoints, dispatcher, clock):
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._clock = clock

    def look_up(self, request, fingerprint):
        """Return the LookupAnswer and the id of the endpoint that gave it.

        Parameters
        ----------
        request : CallerRequest
            The request, with a LookupRequest as its body.
        fingerprint : str
            Fingerprint of the request, checked by the quarantine.

        Raises
        ------
        RefusedError
            When no further attempt is allowed.
        """
        excluded = set()
        sent_attempts = 0
        attempt = 0
        while True:
            attempt += 1
            route = attempts.choose_with_fallback(
                self._dispatcher, request, excluded
            )
            try:
                self._dispatcher.check_send(route)
                answer = self._try(request, route, attempt)
            except errors.EndpointLeftError:
                excluded.add(route.endpoint_id)
                self._dispatcher.withdraw(route)
                continue
            except errors.EndpointError as error:
                excluded.add(route.endpoint_id)
                sent_attempts += streams.may_have_run(error.fault)
                kind = self._end_failed(route, error.fault, fingerprint)
                self._pause(request, sent_attempts, kind)
                continue
            self._dispatcher.finish(route, fingerprint=fingerprint)
            return answer, route.endpoint_id

    def _try(self, request, route, attempt):
        """Send one attempt and return its answer."""
        remaining_s = request.deadline_s - self._clock.wall_s()
        timeout_s = max(0.01, min(ATTEMPT_TIMEOUT_S, remaining_s))
        return self._endpoints.look_up(
            route.address,
            f"{request.request_id}~{attempt}",
            request.body.query,
            timeout_s,
        )

    def _end_failed(self, route, fault, fingerprint):
        """Report a failed attempt; return its FailureKind."""
        failure = attempts.report_fault(
            self._dispatcher, self._endpoints, route, fault, fingerprint
        )
        if failure.is_quarantined:
            raise attempts.refuse_quarantined()
        return failure.kind

    def _pause(self, request, sent_attempts, kind):
        """Wait before the next attempt, or raise when none is allowed."""
        decision = self._dispatcher.decide_retry(
            max(1, sent_attempts),
            kind,
            True,
            request.deadline_s,
            sent_attempts > 0,
        )
        self._clock.sleep(decision.delay_s)
