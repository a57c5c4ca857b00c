"""Exceptions of this library and the typed refusals sent to callers."""

import dataclasses
import enum

__all__ = [
    "AnswerMovedError",
    "CallerDisconnectedError",
    "ConfigurationError",
    "ConflictError",
    "EndpointError",
    "ExecutionStatus",
    "HistoryLostError",
    "MulberryError",
    "PeerError",
    "Refusal",
    "RefusalKind",
    "RefusedError",
    "SettingsError",
    "StoreUnavailableError",
]


class MulberryError(Exception):
    """Base class of the exceptions of this library.

    Parameters
    ----------
    message : str
        Description of the fault.
    remedy : str
        What the reader of the message can do about the fault.
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(MulberryError):
    """A setting of a daemon or command is missing or invalid."""


class ConfigurationError(MulberryError):
    """An environment document is invalid.

    Parameters
    ----------
    faults : tuple of Fault
        All faults found, each with its section, key and remedy.
    """

    def __init__(self, faults):
        super().__init__(
            "; ".join(str(fault) for fault in faults),
            "correct each named key and check the document again",
        )
        self.faults = tuple(faults)


class ConflictError(MulberryError):
    """A conditional write failed because the version read was outdated."""


class StoreUnavailableError(MulberryError):
    """The platform's object API did not return a usable answer."""


class HistoryLostError(StoreUnavailableError):
    """A watch requested changes that the object API has compacted."""


class PeerError(MulberryError):
    """A peer refused a message or could not be reached."""


class ExecutionStatus(enum.Enum):
    """Execution status of a refused request at the endpoints."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    PARTLY = "partly run"


class RefusalKind(enum.Enum):
    """Kind of a refusal, with its name on the wire and HTTP status."""

    MALFORMED = ("malformed_request", 400)
    KEY_REQUIRED = ("idempotency_key_required", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    UNKNOWN_SERVICE = ("unknown_service", 404)
    UNKNOWN_REQUEST = ("unknown_request", 404)
    UNKNOWN_PATH = ("unknown_path", 404)
    DEADLINE_PASSED = ("deadline_passed", 408)
    KEY_REUSED = ("idempotency_key_reused", 409)
    ENDPOINT_REFUSED = ("endpoint_refused", 409)
    KEY_EXPIRED = ("idempotency_key_expired", 410)
    OVERSIZE = ("request_too_large", 413)
    QUARANTINED = ("request_quarantined", 422)
    OVER_SHARE = ("over_share", 429)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502)
    NO_CAPACITY = ("no_capacity", 503)
    STORE_UNAVAILABLE = ("store_unavailable", 503)
    LEAVING = ("instance_leaving", 503)
    INCOMPLETE = ("answer_incomplete", 504)
    INTERNAL = ("internal_error", 500)

    def __init__(self, wire_name, http_status):
        self.wire_name = wire_name
        self.http_status = http_status


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Final outcome of a request that was refused or has failed.

    Parameters
    ----------
    kind : RefusalKind
        Reason for the refusal.
    message : str
        Human-readable description of what happened.
    remedy : str
        What the caller can do about the refusal.
    ran : ExecutionStatus
        Execution status: whether an endpoint may have executed the request.
    retry_after_s : float or None
        Delay before the caller should retry, in seconds; None if a retry
        cannot succeed.
    """

    kind: RefusalKind
    message: str
    remedy: str
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    retry_after_s: float | None = None


class RefusedError(MulberryError):
    """Exception that propagates a refusal out of nested calls.

    Parameters
    ----------
    refusal : Refusal
        The refusal to be sent to the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message, refusal.remedy)
        self.refusal = refusal


class EndpointError(MulberryError):
    """An attempt to run a request at an endpoint failed.

    Parameters
    ----------
    fault : object
        Outcome of the attempt; an instance of a class that is defined in
        `mulberryhollow.coordination.streams.fault`.
    """

    def __init__(self, fault):
        super().__init__(str(fault), "try another endpoint")
        self.fault = fault


class EndpointLeftError(MulberryError):
    """The chosen endpoint has left before anything was sent to it."""

    def __init__(self):
        super().__init__(
            "the chosen endpoint takes no new requests any more",
            "choose another endpoint",
        )


class CallerDisconnectedError(MulberryError):
    """The caller closed its connection."""

    def __init__(self):
        super().__init__(
            "the caller closed its connection",
            "no action is needed: nobody receives the answer",
        )


class AnswerMovedError(MulberryError):
    """The answer continues at another instance."""

    def __init__(self):
        super().__init__(
            "the answer continues at another instance",
            "fetch the answer from any instance by its request id",
        )
