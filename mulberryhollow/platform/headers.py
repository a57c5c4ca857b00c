"""Names of the HTTP headers of the platform's requests and answers."""

__all__ = [
    "ACCOUNT",
    "ANSWER_REQUEST_ID",
    "API_KEY",
    "BRITTLE",
    "CONNECTION_HEADERS",
    "DUTY_HOLDER",
    "EXPECTED_ENDPOINT",
    "FENCING_TOKEN",
    "LAST_EVENT_ID",
    "LEAVING",
    "LOAD",
    "NOT_RUN",
    "PRIORITY",
    "PROMPT_PARTS",
    "PROMPT_SIZE",
    "RATE_LIMIT",
    "REMAINING_TIME",
    "REQUEST_ID",
    "SEAL",
    "SYSTEM_HEADERS",
]

REQUEST_ID = "Attempt-Id"
"""Id of one attempt of a caller; repeated in the answer."""

ANSWER_REQUEST_ID = REQUEST_ID

SEAL = "Response-Seal"
"""Proof of an endpoint that a success is its own; passed on to the caller."""

REMAINING_TIME = "Deadline-Ms"
"""Remaining time in milliseconds: a duration, not a point in time."""

API_KEY = "Key"

ACCOUNT = "Tenant"
"""Name of the client account, set for the endpoint."""

EXPECTED_ENDPOINT = "Expect-Instance"
"""Id of the endpoint that may run the request."""

NOT_RUN = "Not-Executed"

LOAD = "Instance-Load"
"""Running requests, queued requests and slots of an endpoint.

The three numbers are separated by commas.
"""

PRIORITY = "Request-Priority"
"""Priority of a request; 0 is the highest, and 5 the default."""

LAST_EVENT_ID = "Last-Event-Id"

LEAVING = "Server-Leaving"
"""Set to 1 in all answers of an endpoint that leaves."""

PROMPT_PARTS = "Prompt-Prefix"
"""All parts of the prompt in order, not only a prefix.

Each part is written as ``ID:TOKENS``; commas separate the parts.
"""

PROMPT_SIZE = "Token-Usage"
"""Tokens of the prompt and maximum tokens of the answer.

Despite its name, the header does not hold the number of tokens used.
"""

RATE_LIMIT = "Server-Limit"
"""Requests a second that an endpoint takes from all instances together.

A decimal number, in all answers of the endpoint for as long as it applies.
"""

BRITTLE = "Server-Brittle"
"""Rejections in a second that make an endpoint fall over if exceeded.

A whole number, in all answers of the endpoints of a service while they are
brittle.
"""

DUTY_HOLDER = "Duty-Holder"

FENCING_TOKEN = "Fencing-Token"

CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers, in lower case, that apply to a single connection only."""

SYSTEM_HEADERS = frozenset(
    (
        "deadline-ms",
        "duty-holder",
        "expect-instance",
        "expect-version",
        "fencing-token",
        "instance-id",
        "instance-load",
        "key",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "last-event-id",
        "not-executed",
        "pin-ms",
        "request-priority",
        "retention",
        "tenant",
        "wait-ms",
    )
)
"""Headers, in lower case, that are not forwarded from a caller.

The system sets some of them itself in its requests to endpoints.
"""
