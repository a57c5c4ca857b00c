"""Claims on booking keys and the results of operations on them."""

import dataclasses
import enum
import json

import attrs
import cattrs
from mulberryhollow.state import decoding

__all__ = [
    "Claim",
    "ClaimState",
    "Granted",
    "Held",
    "KeyReused",
    "Lost",
    "Recorded",
    "Standing",
    "Unwritten",
    "apply_claim",
    "apply_outcome",
    "decode_claims",
    "encode_claims",
    "find_claim",
]


class ClaimState(enum.Enum):
    """State of the latest attempt of a booking."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """One booking key and its latest attempt.

    Parameters
    ----------
    identity : str
        Digest of client account and key.
    body_digest : str
        Digest of the request, to detect another body under the same key.
    request_id : str
        Id of the attempt, as sent to the endpoint.
    attempt : int
        Number of the attempt, from 1.
    endpoint_id, address : str
        The endpoint of the attempt.
    run_until_s : float
        Wall-clock time after which the attempt sends nothing more, in
        seconds since the Unix epoch.
    claimed_s : float
        Wall-clock time of the claim, in seconds since the Unix epoch.
    state : ClaimState
        State of the attempt.
    outcome : str
        The endpoint's answer as JSON text; empty while there is none.
    """

    identity: str
    body_digest: str
    request_id: str
    attempt: int
    endpoint_id: str
    address: str
    run_until_s: float
    claimed_s: float
    state: ClaimState = ClaimState.RUNNING
    outcome: str = ""


@dataclasses.dataclass(frozen=True)
class Granted:
    """The claim is stored: only the claimant may run this attempt."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Held:
    """The key is already claimed, with the same body."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class KeyReused:
    """The key is already claimed, with another body."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Recorded:
    """An outcome of this attempt is stored, by this or an earlier write."""

    claim: Claim


@dataclasses.dataclass(frozen=True)
class Lost:
    """The key is not claimed by this attempt: its outcome is not stored."""

    claim: Claim | None


@dataclasses.dataclass(frozen=True)
class Standing:
    """The stored claim of a key; None when there is none."""

    claim: Claim | None


@dataclasses.dataclass(frozen=True)
class Unwritten:
    """The operation is not known to be stored: nothing may be run.

    Parameters
    ----------
    reason : str
        Why the operation is not known to be stored.
    """

    reason: str


def apply_claim(claims, requested):
    """Apply a claim to the stored claims of its bucket.

    Parameters
    ----------
    claims : dict
        identity to Claim; changed in place when the claim is granted.
    requested : Claim
        The requested claim, in state RUNNING.

    Returns
    -------
    Granted, Held or KeyReused
        A claim that is applied again, after the store's answer was lost,
        is Granted again, unless the attempt has been resolved in the
        meantime.
    """
    stored = claims.get(requested.identity)
    if stored is None:
        claims[requested.identity] = requested
        return Granted(requested)
    if stored.body_digest != requested.body_digest:
        return KeyReused(stored)
    if stored.request_id == requested.request_id:
        return _grant_again(stored)
    if stored.state is not ClaimState.NOT_RUN:
        return Held(stored)
    next_attempt = attrs.evolve(requested, attempt=stored.attempt + 1)
    claims[requested.identity] = next_attempt
    return Granted(next_attempt)


def _grant_again(stored):
    """Grant the stored attempt again while it is still running."""
    if stored.state is ClaimState.RUNNING:
        return Granted(stored)
    return Held(stored)


def apply_outcome(claims, finished):
    """Record the outcome of one attempt.

    Parameters
    ----------
    claims : dict
        identity to Claim; changed in place.
    finished : Claim
        The attempt with its new state and outcome.

    Returns
    -------
    Recorded or Lost
        A final state (DONE or NOT_RUN) is never replaced; RUNNING and
        UNKNOWN are.
    """
    stored = claims.get(finished.identity)
    if stored is None or stored.request_id != finished.request_id:
        return Lost(stored)
    if stored.state in (ClaimState.DONE, ClaimState.NOT_RUN):
        return Recorded(stored)
    claims[finished.identity] = finished
    return Recorded(finished)


def find_claim(claims, requested):
    """Return the stored claim of the same key, as Standing."""
    return Standing(claims.get(requested.identity))


def encode_claims(claims):
    """Return the bytes of a bucket object for a dict of claims."""
    rows = [cattrs.unstructure(claim) for claim in claims.values()]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_claims(value):
    """Return the dict of claims that a bucket object holds.

    Raises
    ------
    ValueError
        When the object is not a list of claims.
    """
    with decoding.convert_errors("claims", cattrs.BaseValidationError):
        rows = cattrs.structure(decoding.decode_json(value), list[Claim])
    return {claim.identity: claim for claim in rows}
