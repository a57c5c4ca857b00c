"""Builds the requests that tests forward."""

from mulberryhollow.protocol import forwarding
from mulberryhollow.state import catalogue


def make_request(kind=catalogue.RequestKind.IDEMPOTENT, **fields):
    """Return a ForwardRequest that arrives at 0 s with deadline 10 s."""
    values = {
        "request_id": "r1",
        "route": "route",
        "service": "s",
        "account": "a",
        "kind": kind,
        "arrived_s": 0.0,
        "deadline_s": 10.0,
        "goal_s": 0.5,
        "gap_goal_s": 0.4,
        "payload": forwarding.Payload("GET", "/x", (), b""),
        "host": "h",
        "max_endpoints": 2,
    }
    return forwarding.ForwardRequest(**values | fields)
