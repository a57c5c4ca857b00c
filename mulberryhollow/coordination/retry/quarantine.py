"""Quarantine of requests that crash the endpoints executing them."""

import collections

import attrs
import xxhash

from mulberryhollow import errors

__all__ = ["CrashFact", "LostRequest", "Quarantine", "compute_fingerprint"]

# Number of different endpoints whose crash quarantines a request.
QUARANTINE_CRASH_COUNT = 2

MAX_FINGERPRINTS = 4096


@attrs.frozen
class CrashFact:
    """An endpoint crashed while it executed a request.

    Parameters
    ----------
    fingerprint : str
        Result of `compute_fingerprint` for the request.
    endpoint_id : str
        The endpoint that crashed.
    """

    fingerprint: str
    endpoint_id: str


@attrs.frozen
class LostRequest:
    """A request in flight at an endpoint whose process ended.

    Parameters
    ----------
    fingerprint : str
        Result of `compute_fingerprint` for the request.
    is_answering : bool
        Whether the endpoint had sent a part of the answer.
    """

    fingerprint: str
    is_answering: bool


def compute_fingerprint(service, request_class, body):
    """Return a hash of a request that is independent of its caller.

    Parameters
    ----------
    service : str
        The service that the request calls.
    request_class : RequestClass
        Class of the request.
    body : bytes
        Input of the endpoint, without ids of the request.

    Returns
    -------
    str
        XXH3-128 hash in hexadecimal.
    """
    state = xxhash.xxh3_128()
    for part in (service.encode(), request_class.value.encode(), body):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


class Quarantine:
    """Fingerprints of requests and the endpoints that each crashed.

    Parameters
    ----------
    max_fingerprints : int
        Maximum number of fingerprints. Beyond it, fingerprints with a
        single crash are evicted first, the oldest of them first.

    Notes
    -----
    Facts are only added, so merging them from peers in any order and
    any number of times gives the same result.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        self._suspects = collections.OrderedDict()
        self._quarantined = collections.OrderedDict()

    def __len__(self):
        return len(self._suspects) + len(self._quarantined)

    def record_crash(self, fingerprint, endpoint_id):
        """Record a crash; return whether the request is quarantined now.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        endpoint_id : str
            The endpoint that crashed: its connection was lost and its
            process is gone.
        """
        if fingerprint in self._quarantined:
            return True
        crashed = self._suspects.setdefault(fingerprint, [])
        if endpoint_id not in crashed:
            crashed.append(endpoint_id)
        if len(crashed) >= QUARANTINE_CRASH_COUNT:
            self._quarantined[fingerprint] = self._suspects.pop(fingerprint)
        self._trim()
        return fingerprint in self._quarantined

    def mark_quarantined(self, fingerprint):
        """Quarantine a request that a peer has quarantined.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint.
        """
        crashed = self._suspects.pop(fingerprint, [])
        self._quarantined.setdefault(fingerprint, crashed)
        self._trim()

    def record_loss(self, endpoint_id, lost, is_leaving):
        """Record the crash of an endpoint that executed several requests.

        Parameters
        ----------
        endpoint_id : str
            The endpoint whose process is gone.
        lost : sequence of LostRequest
            Requests of this node in flight at the endpoint.
        is_leaving : bool
            Whether the endpoint was marked as leaving. Its end is then
            expected, and no request is blamed.

        Returns
        -------
        tuple of CrashFact
            Facts recorded, to be published to peers. Requests that were
            being answered are blamed only if there is no other request.
        """
        if is_leaving:
            return ()
        silent = [item for item in lost if not item.is_answering]
        facts = tuple(
            CrashFact(item.fingerprint, endpoint_id) for item in silent or lost
        )
        self.merge(facts)
        return facts

    def merge(self, facts):
        """Merge crashes that a peer reports.

        Parameters
        ----------
        facts : iterable of CrashFact
            Result of `list_facts` on the peer.
        """
        for fact in facts:
            self.record_crash(fact.fingerprint, fact.endpoint_id)

    def list_facts(self):
        """Return all recorded crashes."""
        return [
            CrashFact(fingerprint, endpoint_id)
            for known in (self._quarantined, self._suspects)
            for fingerprint, endpoints in known.items()
            for endpoint_id in endpoints
        ]

    def is_quarantined(self, fingerprint):
        """Return whether requests with the fingerprint are quarantined."""
        return fingerprint in self._quarantined

    def is_suspect(self, fingerprint):
        """Return whether the request crashed an endpoint, but too few yet.

        Notes
        -----
        A suspect should be sent to an endpoint that executes no other
        suspect, so that a second crash is blamed on a single request.
        """
        return fingerprint in self._suspects

    def check(self, fingerprint):
        """Return the refusal of a quarantined request; None otherwise."""
        if not self.is_quarantined(fingerprint):
            return None
        return errors.Refusal(
            errors.RefusalKind.QUARANTINED,
            "this request crashed the endpoints that executed it",
            "change the request before sending it again",
            errors.ExecutionStatus.NOT_RUN,
        )

    def _trim(self):
        """Evict fingerprints beyond the limit, suspects first."""
        while len(self) > self._max_fingerprints:
            oldest = self._suspects or self._quarantined
            oldest.popitem(last=False)
