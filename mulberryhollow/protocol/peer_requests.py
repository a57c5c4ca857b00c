"""Codec of the requests that an instance forwards through a peer."""

import json

import attrs

from mulberryhollow.coordination import routing
from mulberryhollow import errors
from mulberryhollow.protocol import forwarding as messages
from mulberryhollow.state import catalogue
from mulberryhollow.state import decoding

__all__ = [
    "PATH",
    "PeerHead",
    "decode_head",
    "decode_request",
    "encode_call",
    "encode_outcome",
    "encode_refusal",
]

PATH = "/v1/forward"
"""Path of the call that carries a forwarded request."""

OUTCOME_HEADER = "Mulberryhollow-Outcome"
"""What the peer knows of the answer, as JSON."""

_REFUSAL_STATUS = 503
_OTHER_KIND = errors.RefusalKind.NO_CAPACITY
_LEVEL_0_KINDS = frozenset(
    (
        "MALFORMED",
        "KEY_REQUIRED",
        "UNAUTHENTICATED",
        "FORBIDDEN",
        "UNKNOWN_SERVICE",
        "UNKNOWN_REQUEST",
        "UNKNOWN_PATH",
        "DEADLINE_PASSED",
        "KEY_REUSED",
        "ENDPOINT_REFUSED",
        "KEY_EXPIRED",
        "OVERSIZE",
        "QUARANTINED",
        "OVER_SHARE",
        "OUTCOME_UNKNOWN",
        "NO_CAPACITY",
        "STORE_UNAVAILABLE",
        "LEAVING",
        "INCOMPLETE",
        "INTERNAL",
    )
)
_FRAMING_HEADERS = frozenset(
    ("connection", "content-length", "keep-alive", "transfer-encoding")
)
_COPIED_FIELDS = (
    "request_id",
    "route",
    "service",
    "account",
    "goal_s",
    "gap_goal_s",
    "host",
    "priority",
    "cost",
    "fingerprint",
)


@attrs.frozen
class PeerHead(messages.AnswerHead):
    """Head of an answer that a peer has forwarded.

    Parameters
    ----------
    refusal : Refusal or None
        Refusal of the peer itself, which then is the whole answer.
    endpoint_id : str
        Endpoint that gave the answer; empty for a refusal.
    """

    refusal: errors.Refusal | None = None
    endpoint_id: str = ""


MAX_FIELDS_BYTES = 256 * 1024
"""Largest size of the fields before the payload's body in a call, in bytes.

The head of a caller's request, its decoded prompt and the escapes of JSON stay
below it.
"""


def encode_call(request, remaining_s, last_event_id):
    """Return the EndpointCall by which a peer gets a ForwardRequest.

    The peer lets one endpoint run it, so that the instance that sends it
    knows how many have, whatever becomes of the peer.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    remaining_s : float
        Time until its deadline, in seconds.
    last_event_id : str
        Id of the event after which the stream resumes; empty for none.
    """
    payload = request.payload
    chain = request.chain
    fields = {name: getattr(request, name) for name in _COPIED_FIELDS}
    fields |= {
        "kind": request.kind.name,
        "remaining_s": remaining_s,
        "last_event_id": last_event_id or request.last_event_id,
        "chain": chain and attrs.astuple(chain, recurse=False),
        "parts": request.parts,
        "method": payload.method,
        "target": payload.target,
        "headers": payload.headers,
    }
    if request.allowed_regions is not None:
        fields["allowed_regions"] = sorted(request.allowed_regions)
    body = json.dumps(fields).encode() + b"\n" + payload.body
    headers = (
        ("Host", "peer"),
        ("Content-Length", str(len(body))),
        ("Content-Type", "application/octet-stream"),
    )
    return messages.EndpointCall(
        request.request_id, "POST", PATH, headers, body
    )


def decode_request(body, now_s):
    """Return the ForwardRequest in the body of a call.

    Fields that a newer build adds are ignored. A kind of request that this
    build does not know is malformed, so that it is not run.

    Parameters
    ----------
    body : bytes
        The body.
    now_s : float
        Monotonic time, in seconds.

    Raises
    ------
    ValueError
        When the body is malformed.
    """
    text, _, payload = body.partition(b"\n")
    with decoding.convert_errors("request of a peer"):
        fields = decoding.decode_json(text)
        chain = fields["chain"]
        regions = fields.get("allowed_regions")
        if chain is not None:
            hashes, ends, tokens, shared_parts, *_ = chain
            chain = routing.PromptChain(
                tuple(hashes), tuple(ends), int(tokens), int(shared_parts)
            )
        return messages.ForwardRequest(
            **{name: fields[name] for name in _COPIED_FIELDS},
            kind=catalogue.RequestKind[fields["kind"]],
            max_endpoints=1,
            arrived_s=now_s,
            deadline_s=now_s + float(fields["remaining_s"]),
            last_event_id=str(fields["last_event_id"]),
            chain=chain,
            parts=tuple(map(str, fields["parts"])),
            allowed_regions=None if regions is None else frozenset(regions),
            payload=messages.Payload(
                str(fields["method"]),
                str(fields["target"]),
                tuple(tuple(map(str, each)) for each in fields["headers"]),
                payload,
            ),
        )


def encode_outcome(head, request_id, endpoint_id):
    """Return the headers that tell a peer about an endpoint's answer.

    Parameters
    ----------
    head : AnswerHead
        Head of the answer.
    request_id : str
        Id of the request.
    endpoint_id : str
        The endpoint.
    """
    rate_limit = head.rate_limit
    fields = {
        "request": request_id,
        "endpoint": endpoint_id,
        "is_leaving": head.is_leaving,
        "has_rate_limit": rate_limit is not None,
        "rate_per_s": rate_limit and rate_limit.per_s,
    }
    return _make_headers(fields)


def encode_refusal(refusal):
    """Return the status and headers that tell a peer about a refusal."""
    fields = {
        "refusal": _find_common_kind(refusal.kind).name,
        "exact": refusal.kind.name,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "ran": refusal.ran.name,
        "retry_after_s": refusal.retry_after_s,
    }
    return _REFUSAL_STATUS, _make_headers(fields)


def decode_head(status, headers):
    """Return the PeerHead for the status and headers of an answer.

    Raises
    ------
    ValueError
        When the peer's own header is missing or malformed.
    """
    text = next(
        (
            value
            for name, value in headers
            if name.lower() == OUTCOME_HEADER.lower()
        ),
        "",
    )
    dropped = _FRAMING_HEADERS | {OUTCOME_HEADER.lower()}
    passed = tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
    with decoding.convert_errors("answer of a peer"):
        fields = decoding.decode_json(text)
        if "refusal" in fields:
            return PeerHead(status, passed, refusal=_decode_refusal(fields))
        rate_limit = None
        if fields["has_rate_limit"]:
            rate_limit = messages.RateLimit(fields["rate_per_s"])
        return PeerHead(
            status,
            passed,
            str(fields["request"]),
            is_leaving=bool(fields["is_leaving"]),
            rate_limit=rate_limit,
            endpoint_id=str(fields["endpoint"]),
        )


def _find_common_kind(kind):
    """Return the kind by which a refusal is told to builds of level 0.

    They take an answer with a kind that they do not know for that of another
    request, and so lose that the request has not run.
    """
    return kind if kind.name in _LEVEL_0_KINDS else _OTHER_KIND


def _decode_refusal(fields):
    """Return the Refusal in the fields of an answer.

    A kind that a newer build adds becomes a general one; whether the request
    has run is kept, and is unknown for a status that this build does not
    know.
    """
    retry_after_s = fields["retry_after_s"]
    kinds = errors.RefusalKind.__members__
    name = fields.get("exact", fields["refusal"])
    return errors.Refusal(
        kinds.get(name) or kinds.get(fields["refusal"], _OTHER_KIND),
        str(fields["message"]),
        str(fields["remedy"]),
        errors.ExecutionStatus.__members__.get(
            fields["ran"], errors.ExecutionStatus.UNKNOWN
        ),
        None if retry_after_s is None else float(retry_after_s),
    )


def _make_headers(fields):
    """Return the header that holds the given fields."""
    return ((OUTCOME_HEADER, json.dumps(fields)),)
