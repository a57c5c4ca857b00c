"""Faults of an attempt that returned no complete answer."""

import dataclasses

__all__ = [
    "Broken",
    "Crossed",
    "Failed",
    "NotSent",
    "RefusedByEndpoint",
    "Silent",
    "Truncated",
    "get_recomputation_cause",
    "may_have_run",
]


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request can have reached the endpoint."""

    reason: str


@dataclasses.dataclass(frozen=True)
class RefusedByEndpoint:
    """The endpoint reports that it did not run the request."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Failed:
    """The endpoint answered with an error status."""

    status: int


@dataclasses.dataclass(frozen=True)
class Broken:
    """The connection ended after bytes had been sent."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Silent:
    """No byte arrived within the inactivity timeout, in seconds."""

    timeout_s: float


@dataclasses.dataclass(frozen=True)
class Crossed:
    """A line belongs to another request or is out of sequence."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Truncated:
    """The answer ended without its end marker."""

    tokens: int


def may_have_run(fault):
    """Return whether the request may have run despite the fault."""
    return not isinstance(fault, NotSent | RefusedByEndpoint)


def get_recomputation_cause(fault):
    """Return the cause in the name of the recomputed-tokens metric."""
    match fault:
        case Broken() | NotSent():
            return "endpoint_lost"
        case Silent():
            return "silent"
        case Crossed():
            return "crossed"
        case Truncated():
            return "truncated"
        case _:
            return "endpoint_failed"
