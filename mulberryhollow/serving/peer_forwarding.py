"""Forwarding through a peer by an instance that reaches no endpoint."""

import collections
import functools
import logging
import random
import threading

import attrs

from mulberryhollow.coordination import forwarding as decisions
from mulberryhollow.coordination import streams
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import peer_requests
from mulberryhollow.state import regions
from mulberryhollow.transport import http_server

__all__ = [
    "NoPeers",
    "OwnPathsOnly",
    "PeerCodec",
    "PeerForwarding",
    "PeerIngress",
    "PeerRoute",
    "SilentRecorder",
]

PEER_PAUSE_S = 1.0
"""Time for which a peer that could not help is not asked, in seconds."""

MAX_PEERS = 4
"""Maximum number of peers that are asked to forward one request.

One that cannot help says so at once.
"""

REGIONS_LEVEL = 1
"""Protocol level from which a peer obeys the allowed regions of a request."""

RETRY_AFTER_S = 0.1
"""Retry delay sent to a peer by an instance that forwards nothing, in s."""

PATHS_LOST = events.declare(
    4025,
    logging.WARNING,
    "no endpoint of a service is reached; peers forward its requests",
    "check the network between this instance and the endpoints",
)
PATHS_BACK = events.declare(
    4026, logging.INFO, "endpoints of a service are reached again"
)


@attrs.frozen
class PeerRoute:
    """A peer that is to forward an attempt.

    Parameters
    ----------
    name : str
        Instance id of the peer.
    address : str
        ``host:port`` on which it accepts requests of peers.
    """

    name: str
    address: str

    @property
    def endpoint_id(self):
        """Name of the peer in place of an endpoint, for log lines."""
        return f"peer {self.name}"

    @property
    def version(self):
        """Version of the endpoint, which the peer chooses: not known."""
        return ""


class NoPeers:
    """Stands for the peers of an instance that has its own paths only."""

    def is_lost(self, service):
        """Return whether the paths to a service are lost: always False."""
        return False

    def choose(self, excluded, allowed_regions=None):
        """Return no peer."""

    def record_failure(self, route, fault):
        """Ignore an attempt that reached no endpoint."""

    def record_answer(self, route, is_new_connection):
        """Ignore an answer of an endpoint."""

    def list_unreached(self, service):
        """Return the endpoints to avoid: none."""
        return frozenset()


class OwnPathsOnly(NoPeers):
    """Records what is reached, and never chooses a peer.

    Parameters
    ----------
    peers : PeerForwarding
        Receives the records.
    """

    def __init__(self, peers):
        self.record_failure = peers.record_failure
        self.record_answer = peers.record_answer
        self.list_unreached = peers.list_unreached


class PeerForwarding:
    """Chooses the peers that forward, while paths to endpoints are lost.

    Parameters
    ----------
    dispatcher : Dispatcher
        Knows the endpoints.
    client : ForwardClient
        Sends requests to peers, with a `PeerCodec`.
    endpoint_client : ForwardClient
        Tests whether endpoints accept connections.
    clock : Clock
        Source of time.
    get_members : callable
        Returns the other live members.
    get_address : callable
        Returns the address on which a Member accepts requests of peers.
    rng : random.Random or None
        Source of the choice; seeded with 0 when None.
    get_level : callable
        Returns the lowest protocol level of the reachable instances.

    Notes
    -----
    What one instance does not reach says nothing about the endpoints, so
    their records are left alone, and nothing is published.
    """

    def __init__(
        self,
        dispatcher,
        client,
        endpoint_client,
        clock,
        get_members,
        get_address,
        rng=None,
        get_level=lambda: 0,
    ):
        self.client = client
        self._dispatcher = dispatcher
        self._endpoint_client = endpoint_client
        self._clock = clock
        self._get_members = get_members
        self._get_address = get_address
        self._rng = rng or random.Random(0)
        self._get_level = get_level
        self._paths = decisions.EndpointPaths()
        self._in_flight = collections.Counter()
        self._paused_until_s = {}
        self._helpful = set()
        self._lock = threading.Lock()

    def is_lost(self, service):
        """Return whether no endpoint of a service is reached."""
        return self._paths.is_lost(service)

    def choose(self, excluded, allowed_regions=None):
        """Return the `PeerRoute` of an attempt, or None without a peer.

        Of two peers drawn at random the one with fewer requests of this
        instance is chosen. After one that could not help, peers that have
        helped before are preferred.

        Parameters
        ----------
        excluded : set of str
            Instance ids of the peers already asked.
        allowed_regions : frozenset of str or None
            Regions of the peers that may receive the request; None for any
            region. A peer of an older build would not restrict the choice
            of the endpoint, so a restricted request gets no peer before all
            instances have this build.
        """
        if len(excluded) >= MAX_PEERS:
            return None
        if allowed_regions is not None and self._get_level() < REGIONS_LEVEL:
            return None
        now_s = self._clock.now_s()
        with self._lock:
            members = [
                member
                for member in self._get_members()
                if member.instance_id not in excluded
                and regions.admits(allowed_regions, member.region)
                and self._paused_until_s.get(member.instance_id, 0.0) <= now_s
            ]
            if excluded:
                helpful = [
                    member
                    for member in members
                    if member.instance_id in self._helpful
                ]
                members = helpful or members
            if not members:
                return None
            chosen = min(
                self._rng.sample(members, min(2, len(members))),
                key=lambda member: self._in_flight[member.instance_id],
            )
            self._in_flight[chosen.instance_id] += 1
        return PeerRoute(chosen.instance_id, self._get_address(chosen))

    def release(self, route, has_failed=False):
        """End an attempt; a peer that could not help is left alone."""
        with self._lock:
            self._in_flight[route.name] -= 1
            if has_failed:
                until_s = self._clock.now_s() + PEER_PAUSE_S
                self._paused_until_s[route.name] = until_s
                self._helpful.discard(route.name)
            else:
                self._helpful.add(route.name)

    def withdraw(self, route):
        """End an attempt that does not show whether the peer can help."""
        with self._lock:
            self._in_flight[route.name] -= 1

    def record_failure(self, route, fault):
        """Record that an attempt got no answer from its endpoint.

        Parameters
        ----------
        route : Route
            Route of the attempt.
        fault : object
            Fault of the attempt; only one that may come from a lost path
            counts.

        Notes
        -----
        An endpoint that is silent may be at work. It counts only if it does
        not accept a connection either, which is tested in the calling thread.
        """
        if not isinstance(fault, streams.NotSent | streams.Silent):
            return
        is_silent = isinstance(fault, streams.Silent)
        if is_silent and self._endpoint_client.is_alive(route.address):
            return
        with self._lock:
            is_lost = self._paths.record_failure(
                route.service,
                route.endpoint_id,
                is_silent,
                self._clock.now_s(),
            )
        if is_lost:
            events.log(PATHS_LOST, service=route.service, fault=str(fault))

    def list_unreached(self, service):
        """Return the ids of endpoints to which no connection was opened.

        An attempt there would spend time that the next one needs.
        """
        with self._lock:
            return self._paths.list_unreached(service, self._clock.now_s())

    def record_answer(self, route, is_new_connection):
        """Record that an endpoint has answered.

        Parameters
        ----------
        route : Route
            Route of the attempt.
        is_new_connection : bool
            Whether the connection had just been opened.
        """
        if is_new_connection:
            with self._lock:
                self._paths.record_reached(route.service, route.endpoint_id)
        self._record_answer(route.service, is_new_connection)

    def _record_answer(self, service, is_new_connection):
        """Record that some endpoint of a service has answered."""
        with self._lock:
            is_back = self._paths.record_answer(service, is_new_connection)
        if is_back:
            events.log(PATHS_BACK, service=service)
            self._dispatcher.change(
                lambda actor, now_s: actor.view.close_circuits(service)
            )

    def tick(self):
        """Test one endpoint of each service whose paths are lost.

        One more endpoint is tested of those that are avoided one by one.
        """
        self._test_unreached()
        for service in self._paths.list_lost():
            addresses = self._dispatcher.read(
                functools.partial(_list_addresses, service)
            )
            if not addresses:
                continue
            address = self._rng.choice(addresses)
            if self._endpoint_client.is_alive(address):
                self._record_answer(service, True)

    def _test_unreached(self):
        """Test the next endpoint that is avoided."""
        with self._lock:
            found = self._paths.choose_test(self._clock.now_s())
        if found is None:
            return
        service, endpoint_id = found
        address = self._dispatcher.read(
            lambda actor, now_s: _get_address(actor, endpoint_id)
        )
        if address is None or self._endpoint_client.is_alive(address):
            with self._lock:
                self._paths.record_reached(service, endpoint_id)


class PeerIngress:
    """Forwards the requests of peers that reach no endpoint.

    They have been checked and charged by the peer, and are never passed on
    to a further one.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards with `OwnPathsOnly` and a `SilentRecorder`.
    clock : Clock
        Source of time.
    is_lost : callable
        Returns whether this instance reaches no endpoint of a service.
    """

    def __init__(self, forwarder, clock, is_lost):
        self._forwarder = forwarder
        self._clock = clock
        self._is_lost = is_lost
        self._is_closed = False

    def close(self):
        """Refuse new requests because the instance is stopping."""
        self._is_closed = True

    def accept(self, body, is_gone):
        """Forward the request in the body of a call; return its Forwarding.

        Parameters
        ----------
        body : bytes
            The body.
        is_gone : callable
            Returns whether the peer has disconnected.

        Raises
        ------
        RefusedError
            When the request is refused or no attempt succeeds.
        CallerDisconnectedError
            When the peer has disconnected.
        """
        try:
            request = peer_requests.decode_request(body, self._clock.now_s())
        except ValueError as error:
            raise errors.RefusedError(
                errors.Refusal(
                    errors.RefusalKind.MALFORMED,
                    str(error),
                    "check the version of the peer's program",
                )
            ) from error
        if self._is_closed or self._is_lost(request.service):
            raise errors.RefusedError(_CANNOT_FORWARD)
        try:
            forwarding = self._forwarder.forward(request, is_gone)
        except errors.RefusedError as error:
            has_run = error.refusal.ran is not errors.ExecutionStatus.NOT_RUN
            if has_run or not self._is_lost(request.service):
                raise
            raise errors.RefusedError(_CANNOT_FORWARD) from error
        forwarding.head = attrs.evolve(
            forwarding.head,
            headers=(
                *forwarding.head.headers,
                *peer_requests.encode_outcome(
                    forwarding.head, request.request_id, forwarding.endpoint_id
                ),
            ),
        )
        return forwarding


class PeerCodec:
    """Encodes requests for peers and decodes theirs, on both sides."""

    def decode(self, environ):
        """Return the body of a call from its WSGI environment."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        return environ["wsgi.input"].read(length)

    def encode_refusal(self, refusal):
        """Return the Reply that tells a peer about a refusal."""
        status, headers = peer_requests.encode_refusal(refusal)
        return http_server.Reply(status, headers)

    def get_wait_s(self, headers):
        """Return None: the body of a call names the time that is left."""

    def decode_head(self, status, headers):
        """Return the PeerHead for the head of a peer's answer.

        Raises
        ------
        EndpointError
            Crossed when it is no answer to a forwarded request.
        """
        try:
            return peer_requests.decode_head(status, headers)
        except ValueError as error:
            fault = streams.Crossed(f"status {status}: {error}")
            raise errors.EndpointError(fault) from error


class SilentRecorder:
    """Recorder of requests that a peer counts."""

    def record_begun(self, request):
        """Leave the usage to the peer."""

    def record_first(self, request, elapsed_s):
        """Leave the latency to the peer."""

    def record_end(self, request, outcome, elapsed_s):
        """Leave the outcome to the peer."""


def _get_address(actor, endpoint_id):
    """Return the address of an endpoint; None if it is not listed.

    Runs in the dispatch actor.
    """
    record = actor.view.get(endpoint_id)
    return None if record is None else record.endpoint.address


def _list_addresses(service, actor, now_s):
    """Return the addresses of a service's endpoints that may get requests.

    Runs in the dispatch actor.
    """
    return [
        record.endpoint.address
        for record in actor.view
        if record.endpoint.service == service
        and not (record.is_leaving or record.is_evacuated)
    ]


_CANNOT_FORWARD = errors.Refusal(
    errors.RefusalKind.LEAVING,
    "this instance reaches no endpoint of the service or is stopping",
    "send the request through another instance",
    errors.ExecutionStatus.NOT_RUN,
    RETRY_AFTER_S,
)
