"""Requests that are passed on as they are, and the heads of answers."""

import attrs

from mulberryhollow.state import catalogue

__all__ = [
    "AnswerHead",
    "EndpointCall",
    "ForwardRequest",
    "Load",
    "Payload",
]


@attrs.frozen
class Payload:
    """What an endpoint gets to see of a caller's request.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query, as the caller sent them.
    headers : tuple of (str, str)
        Headers that are passed on.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: tuple
    body: bytes


@attrs.frozen
class ForwardRequest:
    """A caller's request, whatever its protocol.

    Parameters
    ----------
    request_id : str
        Id of this one attempt of the caller.
    route : str
        Name of its route.
    service : str
        The service that answers it.
    account : str
        Its client account; empty on a public route.
    kind : RequestKind
        What may be repeated, and how the answer comes.
    arrived_s : float
        When it was read, on the monotonic clock, in seconds.
    deadline_s : float
        When its caller or its route gives up, on the same clock.
    goal_s : float
        Time within which an answer is of full use, in seconds.
    payload : Payload
        What is passed on.
    host : str
        Host that the caller named.
    gap_goal_s : float
        Longest pause between events that is of full use, in seconds.
    priority : int
        Its rank; 0 is the most urgent.
    max_endpoints : int
        Most endpoints that may run it.
    chain : PromptChain or None
        The parts of its prompt; None for a plain request.
    cost : float
        What it counts in the quota of its account.
    last_event_id : str
        Event after which the caller wants a stream to go on; empty for
        the whole stream.
    fingerprint : str
        What it has in common with resends of the same work.
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
    last_event_id: str = ""
    fingerprint: str = ""


@attrs.frozen
class EndpointCall:
    """One attempt as it goes to an endpoint.

    Parameters
    ----------
    request_id : str
        Id that the answer has to bear.
    method, target : str
        First line of the request.
    headers : tuple of (str, str)
        Its headers.
    body : bytes
        Its body.
    """

    request_id: str
    method: str
    target: str
    headers: tuple
    body: bytes = b""


@attrs.frozen
class Load:
    """What an endpoint says of its own load.

    Parameters
    ----------
    running, queued, slots : int
        Requests that run, that wait, and that can run at once.
    """

    running: int
    queued: int
    slots: int


@attrs.frozen
class AnswerHead:
    """Head of an endpoint's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that are passed on to the caller.
    request_id : str
        Id that the answer bears; empty when it bears none.
    has_not_run : bool
        Whether the endpoint says that it did not run the request.
    is_other_endpoint : bool
        Whether another endpoint has the address now.
    load : Load or None
        The endpoint's load, if it tells.
    idle_limit_s : float or None
        How long the connection may stay idle, in seconds, if it tells.
    """

    status: int
    headers: tuple
    request_id: str = ""
    has_not_run: bool = False
    is_other_endpoint: bool = False
    load: Load | None = None
    idle_limit_s: float | None = None
