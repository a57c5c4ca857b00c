"""Ingress: validates, charges and forwards requests of any protocol."""

import logging

import attrs
import xxhash

from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow import events
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.serving import room_admission
from mulberryhollow.state import catalogue as catalogues
from mulberryhollow.state import regions

__all__ = ["Ingress", "IngressDependencies", "IngressRequest"]

RETRY_AFTER_S = 0.1
"""Retry delay sent by an instance that accepts no requests, in seconds.

Short, since the caller's next connection most likely reaches another
instance.
"""

MAX_PRIORITY = 9
"""Priority value of the least urgent requests."""

PRIORITY_STEP = 3
"""Number of route priorities within one client account priority."""

MAX_PARTS = 64
"""Number of parts of a prompt that may be blamed for a crash.

It bounds what a request can make the instances tell each other.
"""

REFUSED = events.declare(
    2003,
    logging.INFO,
    "a request was refused before it was sent to an endpoint",
    "compare the request with the configuration version in the log line",
)


@attrs.frozen
class IngressRequest:
    """A request as received from a caller.

    Parameters
    ----------
    request_id : str
        Id of this send of the request; a resend by the caller has another.
    host, path : str
        Requested host, and path without the query.
    key : str
        API key of the caller; empty when none was sent.
    timeout_s : float or None
        Timeout given by the caller, in seconds; None for that of the route.
    payload : Payload
        Content that is forwarded to the endpoint.
    chain : PromptChain or None
        Segments of the prompt; None for a plain request.
    tokens : float or None
        Number of tokens of prompt and answer; None when the request does
        not state it.
    last_event_id : str
        Id of the event after which a stream resumes; empty for the whole
        stream.
    part_ids : tuple of str
        Ids of the parts of the prompt that other requests may have too.
    """

    request_id: str
    host: str
    path: str
    key: str
    timeout_s: float | None
    payload: messages.Payload
    chain: object = None
    tokens: float | None = None
    last_event_id: str = ""
    part_ids: tuple = ()


@attrs.frozen
class IngressDependencies:
    """Dependencies of the ingress.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards admitted requests to endpoints.
    clock : Clock
        Source of time.
    quotas : QuotaPeering
        Charges requests to the quotas of their client accounts.
    room : RoomAdmission or UnlimitedRoom
        Knows the services whose requests are admitted by room.
    has_allowed_regions : bool
        Whether the allowed regions of routes and accounts are in use.
    """

    forwarder: object
    clock: object
    quotas: object
    room: object = attrs.field(factory=room_admission.UnlimitedRoom)
    has_allowed_regions: bool = False


class Ingress:
    """Checks requests against the active catalogue and forwards them.

    Parameters
    ----------
    dependencies : IngressDependencies
        Dependencies of the ingress.
    """

    def __init__(self, dependencies):
        self._dependencies = dependencies
        self._catalogue = None
        self._is_closed = False

    @property
    def catalogue(self):
        """The active Catalogue; None before the first."""
        return self._catalogue

    def apply(self, catalogue):
        """Replace the active catalogue."""
        self._catalogue = catalogue

    def close(self):
        """Refuse new requests because the instance is stopping."""
        self._is_closed = True

    def accept(self, incoming, is_gone):
        """Forward a request and return its Forwarding.

        Parameters
        ----------
        incoming : IngressRequest
            The request.
        is_gone : callable
            Returns whether the caller has disconnected.

        Raises
        ------
        RefusedError
            When the request is refused or no attempt succeeds.
        CallerDisconnectedError
            When the caller has disconnected.
        """
        catalogue = self._catalogue
        try:
            request = self._check(incoming, catalogue)
            drawn = self._dependencies.quotas.charge(request)
        except errors.RefusedError as error:
            events.log(
                REFUSED,
                request=incoming.request_id,
                path=incoming.path,
                kind=error.refusal.kind.wire_name,
                reason=error.refusal.message,
                version=catalogue.number if catalogue else 0,
            )
            raise
        if drawn is not None and drawn.placement:
            request = attrs.evolve(
                request,
                placement=drawn.placement,
                permit=drawn.permit,
            )
        return self._dependencies.forwarder.forward(request, is_gone)

    def _check(self, incoming, catalogue):
        """Validate a request and return its ForwardRequest."""
        if catalogue is None or self._is_closed:
            raise errors.RefusedError(_NOT_READY)
        route = catalogue.find_route(incoming.host, incoming.path)
        if route is None:
            raise errors.RefusedError(_NO_ROUTE)
        account = _find_account(catalogue, route, incoming.key)
        now_s = self._dependencies.clock.now_s()
        timeout_s = route.timeout_s
        if incoming.timeout_s is not None:
            timeout_s = min(timeout_s, incoming.timeout_s)
        name = account.name if account else ""
        service = _pick_service(route, incoming.request_id)
        rank = _compute_rank(route, account)
        priority = _compute_priority(route, account)
        is_by_room = self._dependencies.room.is_on(service)
        if is_by_room:
            priority = rank
        return messages.ForwardRequest(
            request_id=incoming.request_id,
            route=route.name,
            service=service,
            account=name,
            kind=route.kind,
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
            goal_s=route.goal_s or timeout_s,
            gap_goal_s=route.gap_goal_s,
            payload=incoming.payload,
            host=incoming.host,
            priority=priority,
            rank=rank,
            is_admitted_by_room=is_by_room,
            max_output_tokens=_count_max_output(incoming),
            max_endpoints=route.max_endpoints,
            chain=incoming.chain,
            cost=_compute_cost(account, incoming),
            last_event_id=incoming.last_event_id,
            fingerprint=_compute_fingerprint(name, incoming.payload),
            parts=_hash_parts(service, incoming.part_ids),
            allowed_regions=self._find_regions(route, account),
        )

    def _find_regions(self, route, account):
        """Return the regions that route and account allow; None for any."""
        if not self._dependencies.has_allowed_regions:
            return None
        return regions.combine(
            route.allowed_regions, account and account.allowed_regions
        )


def _find_account(catalogue, route, key):
    """Return the ClientAccount of a request; None if none is required."""
    if catalogue.accounts is None or route.is_public:
        return None
    account = catalogue.find_account(key)
    if account is None:
        raise errors.RefusedError(_NO_ACCOUNT)
    return account


def _pick_service(route, request_id):
    """Choose the service of a request by the weights of its route."""
    pairs = [(share.service, share.weight) for share in route.shares]
    return routing.draw_by_hash(request_id, pairs)


def _compute_priority(route, account):
    """Return the priority: by client account first, then by route."""
    route_priority = min(route.priority, PRIORITY_STEP - 1)
    if account is None or account.priority is None:
        return min(MAX_PRIORITY, route_priority)
    return min(MAX_PRIORITY, account.priority * PRIORITY_STEP + route_priority)


def _compute_rank(route, account):
    """Return the urgency over the whole range, by account and route.

    Unlike `_compute_priority`, it tells all priorities of routes apart.
    """
    priority = max(0, route.priority)
    if account is not None and account.priority is not None:
        priority += PRIORITY_STEP * max(0, account.priority)
    return min(MAX_PRIORITY, priority)


def _count_max_output(incoming):
    """Return the maximum length of the answer in tokens; 0 if unknown."""
    if incoming.tokens is None or incoming.chain is None:
        return 0
    return max(0, int(incoming.tokens) - incoming.chain.tokens)


def _compute_cost(account, incoming):
    """Return the cost of a request in the unit of its account's quota.

    It is 0 for an account without a quota.
    """
    if account is None or not account.quota.is_limited:
        return 0.0
    match account.quota.unit:
        case catalogues.QuotaUnit.REQUESTS:
            return 1.0
        case catalogues.QuotaUnit.TOKENS if incoming.tokens is None:
            return account.quota.default_tokens
        case catalogues.QuotaUnit.TOKENS:
            return incoming.tokens


def _compute_fingerprint(account, payload):
    """Return a hash that a request shares with its resends."""
    state = xxhash.xxh3_128()
    for part in (account, payload.method, payload.target):
        state.update(part.encode("latin-1", "replace") + b"\0")
    state.update(payload.body)
    return state.hexdigest()


def _hash_parts(service, part_ids):
    """Return short hashes of the parts of a prompt, each for one service."""
    return tuple(
        xxhash.xxh3_64_hexdigest(f"{service}\0{part_id}".encode())
        for part_id in part_ids[:MAX_PARTS]
    )


_NOT_READY = errors.Refusal(
    errors.RefusalKind.LEAVING,
    "this instance has no configuration yet or is stopping",
    "send the request again on a new connection",
    errors.ExecutionStatus.NOT_RUN,
    RETRY_AFTER_S,
)
_NO_ROUTE = errors.Refusal(
    errors.RefusalKind.UNKNOWN_PATH,
    "no route matches this host and path",
    "check the host and path of the request",
)
_NO_ACCOUNT = errors.Refusal(
    errors.RefusalKind.UNAUTHENTICATED,
    "no client account has this API key",
    "send the API key of a client account",
)
