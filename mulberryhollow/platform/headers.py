"""Headers of the platform's requests and answers."""

__all__ = [
    "ACCOUNT",
    "ANSWER_ID",
    "API_KEY",
    "CONNECTION_HEADERS",
    "DUTY_HOLDER",
    "EXPECTED_ENDPOINT",
    "FENCING_NUMBER",
    "LAST_EVENT",
    "LOAD",
    "NOT_RUN",
    "PROMPT_PARTS",
    "PROMPT_SIZE",
    "RANK",
    "REQUEST_ID",
    "SYSTEM_HEADERS",
    "TIME_LEFT",
]

REQUEST_ID = "Attempt-Id"
"""Id of one attempt of a caller; answers bear it too."""

ANSWER_ID = REQUEST_ID

TIME_LEFT = "Deadline-Ms"
"""A duration, not a point in time: what is left, in milliseconds."""

API_KEY = "Key"

ACCOUNT = "Tenant"
"""Name of the client account, for the endpoint."""

EXPECTED_ENDPOINT = "Expect-Instance"
"""Id of the endpoint that may run the request."""

NOT_RUN = "Not-Executed"

LOAD = "Instance-Load"
"""Running, waiting and slots of an endpoint, between commas."""

RANK = "Request-Priority"
"""0 goes first; 5 holds where the header is absent."""

LAST_EVENT = "Last-Event-Id"

PROMPT_PARTS = "Prompt-Prefix"
"""Every part of the prompt, not just a prefix: ID:TOKENS, in order."""

PROMPT_SIZE = "Token-Usage"
"""Tokens of the prompt and most tokens of the answer, not what was used."""

DUTY_HOLDER = "Duty-Holder"

FENCING_NUMBER = "Fencing-Token"

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
"""Headers, in lower case, that concern one connection only."""

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
"""Headers, in lower case, that are never passed on as a caller sent them."""
