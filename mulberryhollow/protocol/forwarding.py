"""Requests that are forwarded unchanged, and the heads of answers."""

import enum

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow.state import catalogue

__all__ = [
    "AnswerHead",
    "EndpointCall",
    "ForwardRequest",
    "Framing",
    "Load",
    "Payload",
    "RateLimit",
]


@attrs.frozen
class Payload:
    """The part of a caller's request that is forwarded to an endpoint.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query, as the caller sent them.
    headers : tuple of (str, str)
        Headers that are forwarded.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: tuple
    body: bytes


@attrs.frozen
class ForwardRequest:
    """A caller's request, independent of the caller's protocol.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller; a resend has another one.
    route : str
        Name of the route that the request matched.
    service : str
        Name of the service that answers the request.
    account : str
        Name of the client account; empty on a public route.
    kind : RequestKind
        Whether the request may be retried, and whether its answer is a
        stream.
    arrived_s : float
        Monotonic time at which the request was read, in seconds.
    deadline_s : float
        Monotonic time at which the timeout of the caller or of the
        route expires, in seconds.
    goal_s : float
        Latency goal: time within which an answer is of full use to the
        caller, in seconds.
    payload : Payload
        The part that is forwarded to an endpoint.
    host : str
        Host that the caller addressed.
    gap_goal_s : float
        Latency goal of a stream: longest pause between two events that
        is of full use to the caller, in seconds; 0 without a goal.
    priority : int
        Priority that is sent to the endpoint; 0 is the most urgent.
    rank : int
        Urgency by account and route for admission by room; 0 is the most
        urgent.
    is_admitted_by_room : bool
        Whether the room of the service decides if the request is served.
    max_output_tokens : int
        Maximum length of the answer, in tokens; 0 if it is not stated.
    max_endpoints : int
        Maximum number of endpoints that may run the request.
    chain : PromptChain or None
        The prompt as a chain of prefixes; None for a plain request.
    cost : float
        Units that the request consumes of its account's quota.
    placement : str
        Id of the endpoint that another instance has chosen for the first
        attempt; empty for none.
    permit : Permit or None
        Permit that this instance has drawn for that endpoint.
    last_event_id : str
        Id of the event after which the caller resumes a stream; empty
        for the whole stream.
    fingerprint : str
        Fingerprint that resends of the same work share.
    parts : tuple of str
        Hashes of the parts of the prompt that other requests may have too.
    allowed_regions : frozenset of str or None
        Regions of the endpoints and peers that may receive its content; None
        for any region.
    """

    request_id: str
    route: str
    service: str
    account: str
    kind: catalogue.RequestKind
    arrived_s: float
    deadline_s: float
    goal_s: float
    payload: Payload
    host: str = ""
    gap_goal_s: float = 0.0
    priority: int = 0
    max_endpoints: int = 1
    chain: object = None
    cost: float = 1.0
    placement: str = ""
    permit: routing.Permit | None = None
    last_event_id: str = ""
    fingerprint: str = ""
    parts: tuple = ()
    rank: int = 0
    is_admitted_by_room: bool = False
    max_output_tokens: int = 0
    allowed_regions: frozenset | None = None

    def to_route_request(self):
        """Return the `RouteRequest` for the first or a further attempt."""
        return routing.RouteRequest(
            request_id=self.request_id,
            service=self.service,
            version_shares={},
            request_class=self.route,
            deadline_s=min(self.deadline_s, self.arrived_s + self.goal_s),
            idempotent=self.kind.is_repeatable,
            chain=self.chain or routing.PromptChain(),
            preferred=self.placement,
            permit=self.permit,
            account=self.account,
            allowed_regions=self.allowed_regions,
        )


@attrs.frozen
class EndpointCall:
    """The HTTP request of one attempt at an endpoint.

    Parameters
    ----------
    request_id : str
        Id that the answer must carry.
    method, target : str
        HTTP method, and path with query.
    headers : tuple of (str, str)
        Headers of the request.
    body : bytes
        Body of the request.
    """

    request_id: str
    method: str
    target: str
    headers: tuple
    body: bytes = b""


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_CLOSE = "close"


@attrs.frozen
class Load:
    """Load that an endpoint reports in an answer.

    Parameters
    ----------
    running, queued, slots : int
        Requests that run, requests that wait, and the number of
        requests that can run at once.
    work_time : float or None
        How long work takes on the endpoint's machine at this moment, relative
        to the usual time; None when it is not reported.
    """

    running: int
    queued: int
    slots: int
    work_time: float | None = None


@attrs.frozen
class RateLimit:
    """Rate limit that an endpoint names in an answer.

    Parameters
    ----------
    per_s : float or None
        Requests per second that it takes from all instances together; None
        when the value cannot be read.
    """

    per_s: float | None


@attrs.frozen
class AnswerHead:
    """Head of an endpoint's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that are forwarded to the caller.
    request_id : str
        Id that the answer carries; empty when it carries none.
    has_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_other_endpoint : bool
        Whether the address belongs to another endpoint now.
    load : Load or None
        The endpoint's load; None when it is not reported.
    idle_limit_s : float or None
        Idle timeout of the connection at the endpoint, in seconds; None
        when it is not reported.
    is_leaving : bool
        Whether the endpoint states that it leaves.
    pause_s : float
        Time for which the endpoint wants no request from this instance, in
        seconds; 0 for none.
    rate_limit : RateLimit or None
        Rate limit of the endpoint; None when it names none.
    brittle_rejections : int or None
        Requests that the endpoint can turn away within a second without
        falling over; None when it does not say that it is brittle.
    flaw : str
        Why the answer must not be passed on; empty if it may be.
    """

    status: int
    headers: tuple
    request_id: str = ""
    has_not_run: bool = False
    is_other_endpoint: bool = False
    load: Load | None = None
    idle_limit_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    rate_limit: RateLimit | None = None
    brittle_rejections: int | None = None
    flaw: str = ""
