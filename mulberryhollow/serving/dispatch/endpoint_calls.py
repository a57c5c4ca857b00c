"""Calls of request threads that choose endpoints and report on them."""

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow.serving.dispatch import calls
from mulberryhollow.serving.dispatch import endpoint_work
from mulberryhollow.serving import permit_peering

__all__ = ["EndpointCalls", "Placed"]


MIN_REPORTED_PROMPT_S = 0.15
"""Minimum compute time of a prompt that is reported to peers, in seconds.

Long compared with a round trip between instances, so that the report
arrives while the prompt still occupies its endpoint, and rare enough that
reports cost little.
"""


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


class EndpointCalls(calls.ActorCalls):
    """Thread-safe calls that choose endpoints and report on them.

    Parameters
    ----------
    actor : pykka.ActorRef
        A running DispatchActor.
    clock : Clock
        Source of time, the same as the actor's.

    Notes
    -----
    `permits` grants the requests to endpoints that limit them;
    `on_attempt_begin` is called with the Route of each attempt, and
    `on_first_byte` with it and the time to the first event of a stream;
    `on_endpoint_leaving` is called with the id of an endpoint whose answer
    says that it leaves, and `on_long_prompt` with the Chosen of a prompt
    whose compute time is at least `MIN_REPORTED_PROMPT_S`.
    """

    def __init__(self, actor, clock):
        super().__init__(actor, clock)
        self.permits = permit_peering.UnlimitedPermits()
        self.on_endpoint_leaving = lambda endpoint_id: None
        self.on_long_prompt = lambda chosen: None
        self.on_attempt_begin = lambda route: None
        self.on_first_byte = lambda route, first_s: None
        self._view = None

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
            route = self._ask(
                endpoint_work.Choose(request, excluded, keeps_version)
            )
            permit = self._draw_permit(route.chosen, request)
            if permit is not None or not route.chosen.needs_permit:
                break
            self._actor.tell(endpoint_work.Withdraw(route))
            request = self._avoid(request, route.endpoint_id)
        if route.endpoint_id != route_request.preferred:
            self._report_if_long(route.chosen)
        if permit is not None:
            route = attrs.evolve(route, permit=permit)
        self.on_attempt_begin(route)
        return route

    def check_send(self, route):
        """Check, right before a send, that the endpoint has not left since.

        An attempt may wait for a permit or a connection after the choice.

        Parameters
        ----------
        route : Route
            Route of the attempt.

        Raises
        ------
        EndpointLeftError
            When nothing may be sent to the endpoint any more. The route has
            to be released by `Dispatcher.withdraw`.
        """
        if self._view is None:
            # The view is read in place: the actor may be busy.
            self._view = self.read(lambda actor, now_s: actor.view)
        if not self._view.admits_send(route.endpoint_id):
            raise errors.EndpointLeftError

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
            match self._actor.ask(endpoint_work.Place(request)):
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

        def remove(actor, now_s):
            actor.view.add_peer_prompt(
                chosen.endpoint_id, -chosen.compute_s, now_s
            )
            if chosen.hold_s:
                actor.view.withdraw_placement(chosen.endpoint_id)

        self.change(remove)

    def _report_if_long(self, chosen):
        """Report a long prompt, which delays others at its endpoint."""
        if chosen.compute_s / chosen.slowness >= MIN_REPORTED_PROMPT_S:
            self.on_long_prompt(chosen)

    def report_load(self, route, load):
        """Update the load that an endpoint reports; None is ignored."""
        if load is not None:
            self._actor.tell(endpoint_work.ReportLoad(route, load))

    def report_first_token(self, route, first_s):
        """Report the time to the first token of an attempt, in seconds."""
        self._actor.tell(endpoint_work.ReportFirstToken(route, first_s))
        self.on_first_byte(route, first_s)

    def report_served(self, route, times):
        """Report the AnswerTimes of an answer received in full."""
        if route.chosen.features is not None:
            self._actor.tell(endpoint_work.ReportServed(route, times))

    def report_leaving(self, endpoint_id):
        """Report that an answer of an endpoint says that it leaves."""
        self._actor.tell(
            endpoint_work.ReportLeaving(endpoint_id, self.on_endpoint_leaving)
        )

    def report_pause(self, endpoint_id, pause_s):
        """Report that an endpoint wants no requests for some seconds."""
        self._actor.tell(endpoint_work.ReportPause(endpoint_id, pause_s))

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
            self._actor.tell(
                endpoint_work.ReportBrittle(route.service, rejections)
            )

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
                self._actor.tell(
                    endpoint_work.ReportRate(route.endpoint_id, None)
                )
        else:
            self.report_named_rate(route.endpoint_id, rate_limit)

    def report_named_rate(self, endpoint_id, rate_limit):
        """Report the RateLimit that an endpoint names, if it can be read."""
        if rate_limit.per_s is not None:
            self._actor.tell(
                endpoint_work.ReportRate(endpoint_id, rate_limit.per_s)
            )

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
