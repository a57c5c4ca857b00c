"""Codec of the calls by which a holder charges and places requests."""

import json

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing
from mulberryhollow.state import decoding

__all__ = [
    "Draw",
    "DrawnCredit",
    "RoomQuery",
    "RoomRefusal",
    "decode_draw",
    "decode_drawn",
    "encode_draw",
    "encode_drawn",
]


MAX_RANK = 9
"""Rank of the least urgent requests."""


@attrs.frozen
class RoomQuery:
    """Part of a draw that asks for room at the service.

    It is sent only to instances that decode it.

    Parameters
    ----------
    route : str
        Name of the route that the request matched.
    rank : int
        Urgency by account and route; 0 is the most urgent.
    goal_left_s, deadline_left_s : float
        Time left to the latency goal and to the deadline, in seconds.
    fingerprint : str
        Hash that the request shares with its resends.
    max_output_tokens : int
        Maximum length of the answer, in tokens; 0 if it is not stated.
    """

    route: str
    rank: int
    goal_left_s: float
    deadline_left_s: float
    fingerprint: str
    max_output_tokens: int = 0

    @classmethod
    def of(cls, request, now_s):
        """Return the query for a ForwardRequest."""
        return cls(
            request.route,
            request.rank,
            request.arrived_s + request.goal_s - now_s,
            request.deadline_s - now_s,
            request.fingerprint,
            request.max_output_tokens,
        )


@attrs.frozen
class RoomRefusal:
    """Outcome of a draw whose service has no room for the request.

    Parameters
    ----------
    rule : str
        Name of the rule that decided.
    retry_after_s : float
        Time after which the caller should return, in seconds.
    """

    rule: str
    retry_after_s: float


@attrs.frozen
class Draw:
    """Question of an instance to the holder of an account's credit.

    Parameters
    ----------
    account : str
        Client account of the request.
    cost : float
        Cost of the request in the unit of the account's quota.
    route_request : RouteRequest
        The request for which the holder is to choose an endpoint.
    room_query : RoomQuery or None
        Question for room; None if the holder is not to decide about it.
    """

    account: str
    cost: float
    route_request: routing.RouteRequest
    room_query: RoomQuery | None = None


@attrs.frozen
class DrawnCredit:
    """Answer of a holder.

    Parameters
    ----------
    exceeded : QuotaExceeded or None
        None when the request is admitted.
    placement : str
        Id of the endpoint chosen for the request; empty for none.
    permit : Permit or None
        Permit that has been drawn for that endpoint; None if it needs none.
    no_room : RoomRefusal or None
        Refusal for lack of room, after which nothing was charged. It is the
        answer only to a draw with a `RoomQuery`.
    """

    exceeded: limits.QuotaExceeded | None
    placement: str = ""
    permit: routing.Permit | None = None
    no_room: RoomRefusal | None = None


def encode_draw(request, now_s, room_query=None, level=0):
    """Return the question for a ForwardRequest as JSON bytes.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    now_s : float
        Monotonic time, in seconds.
    room_query : RoomQuery or None
        Question for room; None for a holder that does not decode it.
    level : int
        Protocol level of the fleet. At level 0 a holder may choose an
        endpoint outside the allowed regions, which the instance then does
        not use.
    """
    route_request = request.to_route_request()
    fields = {
        "account": request.account,
        "cost": request.cost,
        "request": route_request.request_id,
        "service": route_request.service,
        "class": route_request.request_class,
        "remaining_s": route_request.deadline_s - now_s,
        "idempotent": route_request.idempotent,
        "chain": attrs.astuple(route_request.chain, recurse=False),
    }
    if room_query is not None:
        fields["room"] = attrs.asdict(room_query)
    if level >= 1 and request.allowed_regions is not None:
        fields["allowed_regions"] = sorted(request.allowed_regions)
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_draw(payload, now_s):
    """Return the Draw in a payload.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the payload is malformed.
    """
    with decoding.convert_errors("draw"):
        fields = decoding.decode_json(payload)
        hashes, ends, tokens, shared_parts, *_ = fields["chain"]
        regions = fields.get("allowed_regions")
        route_request = routing.RouteRequest(
            request_id=str(fields["request"]),
            service=str(fields["service"]),
            version_shares={},
            request_class=str(fields["class"]),
            deadline_s=now_s + float(fields["remaining_s"]),
            idempotent=bool(fields["idempotent"]),
            chain=routing.PromptChain(
                tuple(hashes), tuple(ends), int(tokens), int(shared_parts)
            ),
            account=str(fields["account"]),
            allowed_regions=None if regions is None else frozenset(regions),
        )
        return Draw(
            route_request.account,
            float(fields["cost"]),
            route_request,
            _decode_room_query(fields.get("room")),
        )


def encode_drawn(drawn):
    """Return a DrawnCredit as JSON bytes."""
    exceeded, permit = drawn.exceeded, drawn.permit
    fields = {
        "exceeded": exceeded and _list_exceeded(exceeded),
        "placement": drawn.placement,
        "permit": permit and [permit.name, permit.owner],
    }
    if drawn.no_room is not None:
        fields["no_room"] = attrs.astuple(drawn.no_room)
    return json.dumps(fields).encode()


def _list_exceeded(exceeded):
    """Return the fields of a QuotaExceeded, without its account, as a list.

    Builds of level 0 reject a list of any other length.
    """
    return [
        exceeded.wait_s,
        exceeded.credit,
        exceeded.fraction,
        exceeded.rate_per_s,
    ]


def decode_drawn(account, answer):
    """Return the DrawnCredit in the answer for an account.

    Fields that a newer build adds are ignored.

    Raises
    ------
    ValueError
        When the answer is malformed.
    """
    with decoding.convert_errors("answer to a draw"):
        fields = decoding.decode_json(answer)
        exceeded = fields["exceeded"]
        if exceeded is not None:
            wait_s, credit, fraction, rate_per_s = map(float, exceeded[:4])
            exceeded = limits.QuotaExceeded(
                account, wait_s, credit, fraction, rate_per_s
            )
        permit = fields.get("permit")
        if permit is not None:
            name, owner, *_ = map(str, permit)
            permit = routing.Permit(name, owner)
        no_room = fields.get("no_room")
        if no_room is not None:
            no_room = RoomRefusal(str(no_room[0]), float(no_room[1]))
        return DrawnCredit(exceeded, str(fields["placement"]), permit, no_room)


def _decode_room_query(fields):
    """Return the RoomQuery in the fields of a draw; None without one."""
    if fields is None:
        return None
    return RoomQuery(
        route=str(fields["route"]),
        rank=min(MAX_RANK, max(0, int(fields["rank"]))),
        goal_left_s=float(fields["goal_left_s"]),
        deadline_left_s=float(fields["deadline_left_s"]),
        fingerprint=str(fields["fingerprint"]),
        max_output_tokens=int(fields.get("max_output_tokens", 0)),
    )
