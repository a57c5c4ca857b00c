"""Choice of the endpoint or the peer of each attempt of one request."""

import contextlib
import random

import attrs

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow import errors

__all__ = ["RouteChoice"]


@attrs.frozen
class _Tried:
    """What was tried before a trial.

    Parameters
    ----------
    excluded : frozenset of str
        Ids of the endpoints that are not chosen.
    offers, unsent : int
        Endpoints tried, and those of them to which nothing was sent.
    asked_peers : frozenset of str
        Instance ids of the peers that were chosen.
    """

    excluded: frozenset
    offers: int
    unsent: int
    asked_peers: frozenset


class RouteChoice:
    """Chooses the routes of one request, and remembers what was tried.

    Parameters
    ----------
    dependencies : ForwardDependencies
        Dependencies shared by all forwardings.
    permit : Permit or None
        Permit that the request got with its placement.

    Attributes
    ----------
    attempts : Attempts
        Counts of the failed attempts.
    """

    def __init__(self, dependencies, permit):
        self.attempts = decisions.Attempts()
        self._dependencies = dependencies
        self._permit = permit
        self._excluded = set()
        self._ran = set()
        self._asked_peers = {}
        self._unsent = 0
        self._needs_peer = False
        self._is_trial = False

    @property
    def is_first(self):
        """Whether no endpoint has been excluded."""
        return not self._excluded

    def exclude(self, endpoint_id):
        """Choose an endpoint no more."""
        self._excluded.add(endpoint_id)

    def begin_trial(self, endpoint_id):
        """Begin to try others while an attempt at an endpoint goes on.

        Returns
        -------
        _Tried
            What was tried before, for `end_trial`.
        """
        before = _Tried(
            frozenset(self._excluded),
            self.attempts.offers,
            self._unsent,
            frozenset(self._asked_peers),
        )
        self.exclude(endpoint_id)
        # The permit belongs to the attempt that goes on.
        self._permit = None
        self._is_trial = True
        return before

    def end_trial(self, before=None):
        """End a trial.

        Parameters
        ----------
        before : _Tried or None
            What was tried before the trial, when the attempt goes on: what
            has not run in the trial can be tried again. None when another
            endpoint has taken over.
        """
        self._is_trial = False
        if before is not None:
            self._excluded = {*before.excluded, *self._ran}
            self.attempts.offers = before.offers
            self._unsent = before.unsent
            self._asked_peers = {
                name: route_id
                for name, route_id in self._asked_peers.items()
                if name in before.asked_peers or route_id in self._ran
            }

    def record(self, fault, endpoint_id):
        """Count a failed attempt, and choose its endpoint no more."""
        self.attempts.record(fault)
        self._unsent += isinstance(fault, streams.NotSent)
        self.exclude(endpoint_id)
        if streams.may_have_run(fault):
            self._ran.add(endpoint_id)

    def require_peer(self):
        """Return whether only a peer can help, and choose only peers then."""
        self._needs_peer = self._has_reached_none()
        return self._needs_peer

    def choose(self, request):
        """Return the Route or the PeerRoute of the next attempt.

        Parameters
        ----------
        request : ForwardRequest
            The request.

        Raises
        ------
        RefusedError
            When neither an endpoint nor a peer accepts the request.
        """
        now_s = self._dependencies.clock.now_s()
        if request.deadline_s - now_s < decisions.MIN_REMAINING_S:
            raise errors.RefusedError(decisions.refuse_expired(self.attempts))
        is_lost = self._dependencies.peers.is_lost(request.service)
        if is_lost or self._needs_peer:
            route = self._choose_peer(request)
            if route is not None:
                return route
        if self._needs_peer:
            raise errors.RefusedError(self.refuse_no_capacity(request))
        try:
            return self._choose_endpoint(request)
        except errors.RefusedError as error:
            if self._has_reached_none():
                route = self._choose_peer(request)
                if route is not None:
                    return route
            raise self._refuse(request, error.refusal) from error

    def refuse_no_capacity(self, request, pause_s=0.0, reason=""):
        """Return the refusal for lack of endpoints or of retry budget."""
        return decisions.refuse_no_capacity(
            request, self.attempts, random.random(), pause_s, reason
        )

    def _refuse(self, request, refusal):
        """Return the error for a refusal of all endpoints."""
        is_restricted = request.allowed_regions is not None
        pause_s = self._dependencies.dispatcher.get_pause_s(
            request.service, request.account
        )
        return errors.RefusedError(
            self.refuse_no_capacity(
                request,
                pause_s,
                # Names the allowed regions if they have no endpoint.
                refusal.message if is_restricted else "",
            )
        )

    def _choose_endpoint(self, request):
        """Return the route to an endpoint, if possible one that is reached.

        Raises
        ------
        RefusedError
            When no endpoint accepts the request.
        """
        unreached = self._dependencies.peers.list_unreached(request.service)
        if unreached:
            if request.placement in unreached:
                self._drop_permit(request)
            with contextlib.suppress(errors.RefusedError):
                return self._choose_among(request, unreached)
            # A choice that failed may have given the permit back.
            self._drop_permit(request)
        return self._choose_among(request, frozenset())

    def _choose_among(self, request, avoided):
        """Return the route to an endpoint that is not avoided."""
        return self._dependencies.dispatcher.choose_endpoint(
            attrs.evolve(
                request.to_route_request(),
                avoided=avoided,
                permit=self._permit,
            ),
            self._excluded,
        )

    def _drop_permit(self, request):
        """Give the permit of the request back, and use it no more."""
        permit, self._permit = self._permit, None
        if permit is not None:
            self._dependencies.dispatcher.permits.give_back(
                request.placement, permit
            )

    def _choose_peer(self, request):
        """Return the route to a peer that forwards; None for none.

        Raises
        ------
        RefusedError
            When the peers that were asked could not forward it.
        """
        route = self._dependencies.peers.choose(
            self._asked_peers.keys(), request.allowed_regions
        )
        if route is not None:
            self._asked_peers[route.name] = route.endpoint_id
        elif self._asked_peers:
            raise errors.RefusedError(self.refuse_no_capacity(request))
        return route

    def _has_reached_none(self):
        """Return whether attempts were made and none reached an endpoint."""
        if self._is_trial:
            return False
        has_tried = 0 < self.attempts.offers == self._unsent
        return has_tried and not self._asked_peers
