"""Codec of the calls by which a holder charges and places requests."""

import json

import attrs

from mulberryhollow.coordination import limits
from mulberryhollow.coordination import routing

__all__ = [
    "Draw",
    "DrawnCredit",
    "decode_draw",
    "decode_drawn",
    "encode_draw",
    "encode_drawn",
]

_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


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
    """

    account: str
    cost: float
    route_request: routing.RouteRequest


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
    """

    exceeded: limits.QuotaExceeded | None
    placement: str = ""
    permit: routing.Permit | None = None


def encode_draw(request, now_s):
    """Return the question for a ForwardRequest as JSON bytes.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    now_s : float
        Monotonic time, in seconds.
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
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_draw(payload, now_s):
    """Return the Draw in a payload.

    Raises
    ------
    ValueError
        When the payload is malformed.
    """
    try:
        fields = json.loads(payload)
        hashes, ends, tokens, shared_parts = fields["chain"]
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
        )
        return Draw(
            route_request.account, float(fields["cost"]), route_request
        )
    except _DECODE_ERRORS as error:
        raise ValueError(f"malformed draw: {error!r}") from error


def encode_drawn(drawn):
    """Return a DrawnCredit as JSON bytes."""
    exceeded = drawn.exceeded
    fields = {
        "exceeded": None if exceeded is None else attrs.astuple(exceeded)[1:],
        "placement": drawn.placement,
        "permit": drawn.permit and attrs.astuple(drawn.permit),
    }
    return json.dumps(fields).encode()


def decode_drawn(account, answer):
    """Return the DrawnCredit in the answer for an account.

    Raises
    ------
    ValueError
        When the answer is malformed.
    """
    try:
        fields = json.loads(answer)
        exceeded = fields["exceeded"]
        if exceeded is not None:
            exceeded = limits.QuotaExceeded(account, *map(float, exceeded))
        permit = fields.get("permit")
        if permit is not None:
            permit = routing.Permit(*map(str, permit))
        return DrawnCredit(exceeded, str(fields["placement"]), permit)
    except _DECODE_ERRORS as error:
        raise ValueError(f"malformed answer to a draw: {error!r}") from error
