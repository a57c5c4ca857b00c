"""Claims on booking keys and the results of operations on them."""

import dataclasses
import enum
import json

import attrs
import cattrs

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
    "find_standing",
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
    """An outcome of this attempt is stored, now or from before."""

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
        Why not.
    """

    reason: str


def apply_claim(claims, wanted):
    """Apply a claim to the stored claims of its bucket.

    Parameters
    ----------
    claims : dict
        identity to Claim; changed in place when the claim is granted.
    wanted : Claim
        The requested claim, in state RUNNING.

    Returns
    -------
    Granted, Held or KeyReused
        A claim that is applied again, after the store's answer was lost,
        is Granted again, unless the attempt has been resolved in the
        meantime.
    """
    standing = claims.get(wanted.identity)
    if standing is None:
        claims[wanted.identity] = wanted
        return Granted(wanted)
    if standing.body_digest != wanted.body_digest:
        return KeyReused(standing)
    if standing.request_id == wanted.request_id:
        return _answer_same_attempt(standing)
    if standing.state is not ClaimState.NOT_RUN:
        return Held(standing)
    renewed = attrs.evolve(wanted, attempt=standing.attempt + 1)
    claims[wanted.identity] = renewed
    return Granted(renewed)


def _answer_same_attempt(standing):
    """Grant the stored attempt again while it is still running."""
    if standing.state is ClaimState.RUNNING:
        return Granted(standing)
    return Held(standing)


def apply_outcome(claims, ended):
    """Record the outcome of one attempt.

    Parameters
    ----------
    claims : dict
        identity to Claim; changed in place.
    ended : Claim
        The attempt with its new state and outcome.

    Returns
    -------
    Recorded or Lost
        A final state (DONE or NOT_RUN) is never replaced; RUNNING and
        UNKNOWN are.
    """
    standing = claims.get(ended.identity)
    if standing is None or standing.request_id != ended.request_id:
        return Lost(standing)
    if standing.state in (ClaimState.DONE, ClaimState.NOT_RUN):
        return Recorded(standing)
    claims[ended.identity] = ended
    return Recorded(ended)


def find_standing(claims, looked_for):
    """Return the stored claim of the same key, as Standing."""
    return Standing(claims.get(looked_for.identity))


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
    try:
        rows = cattrs.structure(json.loads(value), list[Claim])
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ValueError(f"malformed claims: {error}") from error
    return {claim.identity: claim for claim in rows}
