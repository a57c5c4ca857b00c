"""Own exceptions and the typed refusals that callers receive."""

import dataclasses
import enum

__all__ = [
    "ConfigurationError",
    "ConflictError",
    "CallerGoneError",
    "EndpointError",
    "HistoryLostError",
    "MovedError",
    "MulberryError",
    "PeerError",
    "RefusalKind",
    "Refusal",
    "Ran",
    "RefusedError",
    "SettingsError",
    "StoreUnavailableError",
]


class MulberryError(Exception):
    """Base of every exception raised by this library.

    Parameters
    ----------
    message : str
        What is wrong.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, message, remedy):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(MulberryError):
    """A setting of a daemon or command is missing or wrong."""


class ConfigurationError(MulberryError):
    """An environment document has faults.

    Parameters
    ----------
    faults : tuple of Fault
        Every fault, each naming section, key and remedy.
    """

    def __init__(self, faults):
        super().__init__(
            "; ".join(str(fault) for fault in faults),
            "correct each named key and check the document again",
        )
        self.faults = tuple(faults)


class ConflictError(MulberryError):
    """A conditional update met a version newer than the one read."""


class StoreUnavailableError(MulberryError):
    """The platform's object API gave no usable answer."""


class HistoryLostError(StoreUnavailableError):
    """A watch asked for changes that the object API no longer keeps."""


class PeerError(MulberryError):
    """A peer refused a message or could not be reached."""


class Ran(enum.Enum):
    """Whether a refused request ran at an endpoint."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    PARTLY = "partly run"


class RefusalKind(enum.Enum):
    """Kind of a refusal: its name on the wire and its HTTP status."""

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
    """Tagged outcome of a request that was given up.

    Parameters
    ----------
    kind : RefusalKind
        Why it was given up.
    message : str
        What happened, for a person.
    remedy : str
        What the caller can do about it.
    ran : Ran
        Whether the request may have run at an endpoint.
    retry_after_s : float or None
        When to come back, in seconds; None when a resend cannot help.
    """

    kind: RefusalKind
    message: str
    remedy: str
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float | None = None


class RefusedError(MulberryError):
    """Carries a refusal out of nested calls.

    Parameters
    ----------
    refusal : Refusal
        The final answer for the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message, refusal.remedy)
        self.refusal = refusal


class EndpointError(MulberryError):
    """An endpoint failed one attempt.

    Parameters
    ----------
    fault : object
        A tagged outcome of `mulberryhollow.coordination.streams.fault`.
    """

    def __init__(self, fault):
        super().__init__(str(fault), "try another endpoint")
        self.fault = fault


class CallerGoneError(MulberryError):
    """The caller has closed its connection."""

    def __init__(self):
        super().__init__("the caller has gone", "nothing waits for it")


class MovedError(MulberryError):
    """The answer goes on at another instance."""

    def __init__(self):
        super().__init__(
            "the answer goes on at another instance",
            "ask any instance for it by its request id",
        )
