"""Group commit of the claims that share one bucket object.

One write carries every claim and outcome that arrived while the previous
write was in progress. After a conflict or an unknown outcome, the object
is read and every operation of the write is applied again. Operations
carry the request id of their attempt, which makes them idempotent:
applying one twice gives the same result.
"""

import attrs

from mulberryhollow.coordination.booking import claim as claims_module
from mulberryhollow.state import objects

__all__ = ["Answer", "Bucket", "Read", "Write"]

MAX_BUCKET_BYTES = 900_000
"""Size above which a bucket object accepts no new claims, in bytes."""

MAX_WRITE_ATTEMPTS = 6
"""Number of writes after which an operation fails as Unwritten."""


@attrs.frozen
class Read:
    """Request to read the bucket object.

    Parameters
    ----------
    name : str
        Name of the object.
    """

    name: str


@attrs.frozen
class Write:
    """Request to write the bucket object conditionally.

    Parameters
    ----------
    name : str
        Name of the object.
    value : bytes
        New content.
    expected_version : int
        Version on which the content is based; 0 to create the object.
    """

    name: str
    value: bytes
    expected_version: int


@attrs.frozen
class Answer:
    """The result of one submitted operation.

    Parameters
    ----------
    token : object
        The token passed to the submit method.
    result : object
        Granted, Held, KeyReused, Recorded, Lost, Standing or Unwritten.
    """

    token: object
    result: object


@attrs.define
class _Operation:
    """A submitted operation.

    Parameters
    ----------
    token : object
        Identifies the operation in its `Answer`.
    claim : Claim
        The claim, or the attempt with its outcome.
    apply : callable
        ``apply(claims, claim)`` returns the result and may change the
        claims.
    attempts : int
        Writes of the operation that met a conflict or an unknown outcome.
    """

    token: object
    claim: claims_module.Claim
    apply: object
    attempts: int = 0


class Bucket:
    """State machine of one bucket object.

    Parameters
    ----------
    name : str
        Name of the object.

    Notes
    -----
    After a submit method, call `step`, perform the read or write that it
    returns and report the result by `finish_read`, `fail_read` or
    `finish_write`. Repeat until `step` returns neither a read nor a write.
    """

    def __init__(self, name):
        self.name = name
        self._version = None
        self._claims = {}
        self._size_bytes = 0
        self._written_claims = {}
        self._queued = []
        self._writing = []
        self._results = []
        self._is_busy = False
        self._needs_read = False
        self._is_first_step = True

    @property
    def is_idle(self):
        """Whether no operation is queued and no store call is pending."""
        return not self._queued and not self._is_busy

    def submit_claim(self, token, claim):
        """Queue a claim; a later call returns its answer."""
        self._submit(token, claim, self._apply_claim)

    def submit_outcome(self, token, claim):
        """Queue the outcome of an attempt to be recorded."""
        self._submit(token, claim, claims_module.apply_outcome)

    def submit_lookup(self, token, claim):
        """Queue a lookup of a claim; the object is read from the store."""
        self._needs_read = True
        self._submit(token, claim, claims_module.find_claim)

    def step(self):
        """Return the next store call and the answers that need no write.

        Returns
        -------
        tuple
            Read, Write or None, and a list of Answer.
        """
        if self._is_busy or not self._queued:
            return None, []
        self._is_busy = True
        if self._may_create():
            self._version = 0
        self._is_first_step = False
        if self._version is None or self._needs_read:
            self._needs_read = False
            return Read(self.name), []
        return self._prepare_write()

    def finish_read(self, found):
        """Apply the result of a read.

        Parameters
        ----------
        found : StoredObject or None
            The object; None when it does not exist.

        Raises
        ------
        ValueError
            When the object is not a list of claims.
        """
        self._is_busy = False
        if found is None:
            self._version = 0
            self._claims = {}
            self._size_bytes = 0
            return
        self._size_bytes = len(found.value)
        self._claims = claims_module.decode_claims(found.value)
        self._version = found.version

    def fail_read(self, reason):
        """Fail all queued operations; return their answers.

        Parameters
        ----------
        reason : str
            Why the read failed.
        """
        self._is_busy = False
        result = claims_module.Unwritten(reason)
        answers = [Answer(each.token, result) for each in self._queued]
        self._queued = []
        return answers

    def finish_write(self, outcome):
        """Apply the outcome of a write; return the resulting answers.

        Parameters
        ----------
        outcome : WriteApplied, WriteRejected or WriteOutcomeUnknown
            What the store adapter reported.
        """
        self._is_busy = False
        match outcome:
            case objects.WriteApplied(version):
                self._version = version
                self._claims = self._written_claims
                return self._collect_answers()
            case (
                objects.WriteRejected("conflict")
                | objects.WriteOutcomeUnknown()
            ):
                return self._requeue(
                    "every write met a conflict or had an unknown outcome"
                )
            case objects.WriteRejected(reason):
                self._version = None
                return self._fail_writing(reason)

    def _may_create(self):
        """Return whether to create the object without reading it first.

        Notes
        -----
        A successful create proves that there were no earlier claims, so it
        can grant new ones. Outcomes and lookups need the stored claims.
        """
        claims_only = all(
            operation.apply == self._apply_claim for operation in self._queued
        )
        return self._is_first_step and claims_only

    def _prepare_write(self):
        """Apply the queued operations; return the write, if any.

        When no claim changes there is no write, and the answers are
        returned at once.
        """
        claims = dict(self._claims)
        self._writing = self._queued
        self._queued = []
        self._results = [op.apply(claims, op.claim) for op in self._writing]
        if claims == self._claims:
            self._is_busy = False
            return None, self._collect_answers()
        value = claims_module.encode_claims(claims)
        self._size_bytes = len(value)
        self._written_claims = claims
        return Write(self.name, value, self._version), []

    def _submit(self, token, claim, apply):
        """Queue one operation."""
        self._queued.append(_Operation(token, claim, apply))

    def _apply_claim(self, claims, claim):
        """Apply a claim, unless it is new and the object is full."""
        is_new = claim.identity not in claims
        if is_new and self._size_bytes > MAX_BUCKET_BYTES:
            return claims_module.Unwritten("the bucket object is full")
        return claims_module.apply_claim(claims, claim)

    def _collect_answers(self):
        """Return the answers of the operations just applied."""
        pairs = zip(self._writing, self._results, strict=True)
        answers = [Answer(op.token, result) for op, result in pairs]
        self._writing = []
        return answers

    def _requeue(self, reason):
        """Requeue the operations; fail those at `MAX_WRITE_ATTEMPTS`."""
        self._version = None
        for operation in self._writing:
            operation.attempts += 1
        exhausted = [
            op for op in self._writing if op.attempts >= MAX_WRITE_ATTEMPTS
        ]
        retried = [
            op for op in self._writing if op.attempts < MAX_WRITE_ATTEMPTS
        ]
        self._queued = retried + self._queued
        self._writing = exhausted
        return self._fail_writing(reason)

    def _fail_writing(self, reason):
        """Return Unwritten answers for the operations being written."""
        result = claims_module.Unwritten(reason)
        answers = [Answer(op.token, result) for op in self._writing]
        self._writing = []
        return answers
