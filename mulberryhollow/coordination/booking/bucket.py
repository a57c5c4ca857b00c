"""Group commit of the claims that share one bucket object.

One write carries every claim and outcome that arrived while the write
before it was under way. A conflict or an unknown outcome is followed by
a read, after which every operation is decided anew; operations name
their attempt, so that deciding one twice gives the same result.
"""

import attrs

from mulberryhollow.coordination.booking import claim as claims_module
from mulberryhollow.state import objects

__all__ = ["Answer", "Bucket", "Read", "Write"]

CAPACITY_BYTES = 900_000
"""Largest bucket object that still takes claims, in bytes."""

ATTEMPTS = 6
"""Writes tried for one operation before it is given up."""


@attrs.frozen
class Read:
    """The bucket object has to be read."""

    name: str


@attrs.frozen
class Write:
    """The bucket object has to be written.

    Parameters
    ----------
    name : str
        Name of the object.
    value : bytes
        New content.
    expected_version : int
        Version that the content was worked out from; 0 to create.
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
        What the operation was submitted with.
    result : object
        Granted, Held, KeyReused, Recorded, Lost, Standing or Unwritten.
    """

    token: object
    result: object


@attrs.define
class _Operation:
    """A claim to decide and the function that decides it."""

    token: object
    claim: claims_module.Claim
    decide: object
    attempts: int = 0


class Bucket:
    """State machine of one bucket object.

    Parameters
    ----------
    name : str
        Name of the object.

    Notes
    -----
    Call a submit method, then carry out what `step`
    returns and report it by `finish_read` or `finish_write`, until
    `step` returns None.
    """

    def __init__(self, name):
        self.name = name
        self._version = None
        self._claims = {}
        self._size_bytes = 0
        self._written_claims = {}
        self._waiting = []
        self._writing = []
        self._results = []
        self._is_busy = False
        self._needs_read = False
        self._is_fresh = True

    @property
    def is_idle(self):
        """Whether nothing waits and nothing is under way."""
        return not self._waiting and not self._is_busy

    def submit_claim(self, token, claim):
        """Ask for a claim; the answer comes from a later step."""
        self._submit(token, claim, self._decide_claim)

    def submit_outcome(self, token, claim):
        """Ask for an outcome to be recorded."""
        self._submit(token, claim, claims_module.apply_outcome)

    def submit_look(self, token, claim):
        """Ask how a claim stands in the store now."""
        self._needs_read = True
        self._submit(token, claim, claims_module.find_standing)

    def step(self):
        """Return (Read, Write or None, answers that need no write)."""
        if self._is_busy or not self._waiting:
            return None, []
        self._is_busy = True
        if self._may_create():
            self._version = 0
        self._is_fresh = False
        if self._version is None or self._needs_read:
            self._needs_read = False
            return Read(self.name), []
        return self._prepare_write()

    def finish_read(self, found):
        """Take the object as read; None when there is none.

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
        """Give up everything that waits; return the answers."""
        self._is_busy = False
        result = claims_module.Unwritten(reason)
        answers = [Answer(each.token, result) for each in self._waiting]
        self._waiting = []
        return answers

    def finish_write(self, outcome):
        """Take the outcome of the write; return the answers it gives.

        Parameters
        ----------
        outcome : Done, NotDone or Unknown
            What the store adapter reported.
        """
        self._is_busy = False
        match outcome:
            case objects.Done(version):
                self._version = version
                self._claims = self._written_claims
                return self._answer_written()
            case objects.NotDone("conflict") | objects.Unknown():
                return self._decide_again("the store kept changing")
            case objects.NotDone(reason):
                self._version = None
                return self._give_up(reason)

    def _may_create(self):
        """Return whether to try a first write without a read before it.

        Notes
        -----
        Only claims are granted by a write that creates the object;
        anything else has to know what stands.
        """
        claims_only = all(
            operation.decide == self._decide_claim
            for operation in self._waiting
        )
        return self._is_fresh and claims_only

    def _prepare_write(self):
        """Decide what waits; return the write, or the answers alone."""
        claims = dict(self._claims)
        self._writing = self._waiting
        self._waiting = []
        self._results = [op.decide(claims, op.claim) for op in self._writing]
        if claims == self._claims:
            self._is_busy = False
            return None, self._answer_written()
        value = claims_module.encode_claims(claims)
        self._size_bytes = len(value)
        self._written_claims = claims
        return Write(self.name, value, self._version), []

    def _submit(self, token, claim, decide):
        """Queue one operation."""
        self._waiting.append(_Operation(token, claim, decide))

    def _decide_claim(self, claims, claim):
        """Decide a claim, unless it is new and the object is full."""
        is_new = claim.identity not in claims
        if is_new and self._size_bytes > CAPACITY_BYTES:
            return claims_module.Unwritten("the bucket object is full")
        return claims_module.apply_claim(claims, claim)

    def _answer_written(self):
        """Return the answers of the operations just decided."""
        pairs = zip(self._writing, self._results, strict=True)
        answers = [Answer(op.token, result) for op, result in pairs]
        self._writing = []
        return answers

    def _decide_again(self, reason):
        """Queue the operations again, giving up those tried too often."""
        self._version = None
        for operation in self._writing:
            operation.attempts += 1
        spent = [op for op in self._writing if op.attempts >= ATTEMPTS]
        again = [op for op in self._writing if op.attempts < ATTEMPTS]
        self._waiting = again + self._waiting
        self._writing = spent
        return self._give_up(reason)

    def _give_up(self, reason):
        """Return Unwritten for the operations being written."""
        result = claims_module.Unwritten(reason)
        answers = [Answer(op.token, result) for op in self._writing]
        self._writing = []
        return answers
